package colo

import (
	"slices"

	"lovagefork.example/coord/place"
	"lovagefork.example/coord/sets"
)

func (r *simulation) applyEffects(effects []place.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case place.Throttle:
			if t := r.running[e.TaskRef]; t != nil {
				t.throttlePermille = e.Permille
			}
		case place.Evict:
			if t := r.running[e.TaskRef]; t != nil {
				r.evict(t)
			}
		}
	}
}

// evict checkpoints a task and queues it again once its attempt has ended; a second request changes nothing.
func (r *simulation) evict(t *task) {
	ref := t.spec.Ref
	if t.evicting == ref.Attempt {
		return
	}
	t.evicting = ref.Attempt
	r.results.evictions++
	r.loop.After(checkpointTime, func() {
		if r.running[ref] != t {
			return
		}
		t.checkpointed = t.remaining + restartTime
		r.endAttempt(t)
		r.requeue(t)
	})
}

// kill ends a task for lack of memory; what it did since its last checkpoint is lost.
func (r *simulation) killForMemory(t *task) {
	r.results.memoryKills++
	avoid := t.spec.Avoid
	if avoid.Len() == 0 {
		avoid = sets.Of(t.worker.ID)
	}
	t.spec.Avoid = avoid.With(t.worker.ID)
	r.applyEffects(r.placer.Step(r.loop.Now(), place.Failed{TaskRef: t.spec.Ref, Worker: t.worker.ID}))
	r.endAttempt(t)
	t.failures++
	if t.failures >= maxAttempts {
		r.results.tasksLost++
		return
	}
	r.requeue(t)
}

func (r *simulation) requeue(t *task) {
	t.remaining = t.checkpointed
	t.spec.Ref.Attempt++
	r.waiting[t.kind] = append(r.waiting[t.kind], t)
}

func (r *simulation) finishTask(t *task) {
	r.results.recordFinished(t, r.kinds[t.kind].runTime)
	r.applyEffects(r.placer.Step(r.loop.Now(), place.Succeeded{TaskRef: t.spec.Ref, Worker: t.worker.ID}))
	r.endAttempt(t)
}

// end tells the machine that the attempt has ended and starts what waited for it.
func (r *simulation) endAttempt(t *task) {
	ref, w := t.spec.Ref, t.worker
	delete(r.running, ref)
	w.removeTask(t)
	r.applyEffects(r.placer.Step(r.loop.Now(), place.Ended{TaskRef: ref, Worker: w.ID}))
	for _, o := range r.awaitingEvictions {
		delete(o.evictionsPending, ref)
	}
	r.awaitingEvictions = slices.DeleteFunc(r.awaitingEvictions, r.startIfReady)
}
