package colo

import (
	"slices"

	"lovagefork.example/coord/place"
	"lovagefork.example/coord/sets"
)

func (r *run) apply(effects []place.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case place.Throttle:
			if t := r.running[e.TaskRef]; t != nil {
				t.permille = e.Permille
			}
		case place.Evict:
			if t := r.running[e.TaskRef]; t != nil {
				r.evict(t)
			}
		}
	}
}

// evict checkpoints a task and queues it again once its attempt has ended; a second request changes nothing.
func (r *run) evict(t *task) {
	ref := t.place.Ref
	if t.evicting == ref.Attempt {
		return
	}
	t.evicting = ref.Attempt
	r.score.evictions++
	r.loop.After(checkpoint, func() {
		if r.running[ref] != t {
			return
		}
		t.saved = t.remaining + restart
		r.end(t)
		r.again(t)
	})
}

// kill ends a task for lack of memory; what it did since its last checkpoint is lost.
func (r *run) kill(t *task) {
	r.score.kills++
	avoid := t.place.Avoid
	if avoid.Len() == 0 {
		avoid = sets.Of(t.worker.ID)
	}
	t.place.Avoid = avoid.With(t.worker.ID)
	r.apply(r.m.Step(r.loop.Now(), place.Failed{TaskRef: t.place.Ref, Worker: t.worker.ID}))
	r.end(t)
	t.failures++
	if t.failures >= maxAttempts {
		r.score.lost++
		return
	}
	r.again(t)
}

func (r *run) again(t *task) {
	t.remaining = t.saved
	t.place.Ref.Attempt++
	r.waiting[t.kind] = append(r.waiting[t.kind], t)
}

func (r *run) finish(t *task) {
	r.score.finished(t, r.kinds[t.kind].run)
	r.apply(r.m.Step(r.loop.Now(), place.Succeeded{TaskRef: t.place.Ref, Worker: t.worker.ID}))
	r.end(t)
}

// end tells the machine that the attempt has ended and starts what waited for it.
func (r *run) end(t *task) {
	ref, w := t.place.Ref, t.worker
	delete(r.running, ref)
	w.drop(t)
	r.apply(r.m.Step(r.loop.Now(), place.Ended{TaskRef: ref, Worker: w.ID}))
	for _, o := range r.pending {
		delete(o.waits, ref)
	}
	r.pending = slices.DeleteFunc(r.pending, r.startIfReady)
}
