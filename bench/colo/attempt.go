package colo

import (
	"slices"

	"lovagefork.example/coord/place"
	"lovagefork.example/coord/sets"
)

func (sim *simulation) applyEffects(effects []place.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case place.Throttle:
			if t := sim.runningTasks[e.TaskRef]; t != nil {
				t.throttlePermille = e.Permille
			}
		case place.Evict:
			if t := sim.runningTasks[e.TaskRef]; t != nil {
				sim.evict(t)
			}
		}
	}
}

// evict checkpoints a task, ends its attempt and queues it again. Evicting the same attempt again has no effect.
func (sim *simulation) evict(t *task) {
	ref := t.spec.Ref
	if t.evictingAttempt == ref.Attempt {
		return
	}
	t.evictingAttempt = ref.Attempt
	sim.results.evictions++
	sim.loop.After(checkpointTime, func() {
		if sim.runningTasks[ref] != t {
			return
		}
		t.remainingAtCheckpoint = t.remainingTime + restartTime
		sim.endAttempt(t)
		sim.requeue(t)
	})
}

// killForMemory ends an attempt because its worker is out of memory. Progress since the last checkpoint is lost, and
// the task avoids the worker from then on. After maxAttempts such failures the task is lost.
func (sim *simulation) killForMemory(t *task) {
	sim.results.memoryKills++
	avoid := t.spec.Avoid
	if avoid.Len() == 0 {
		avoid = sets.Of(t.worker.ID)
	}
	t.spec.Avoid = avoid.With(t.worker.ID)
	sim.applyEffects(sim.placer.Step(sim.loop.Now(), place.Failed{TaskRef: t.spec.Ref, Worker: t.worker.ID}))
	sim.endAttempt(t)
	t.failures++
	if t.failures >= maxAttempts {
		sim.results.tasksLost++
		return
	}
	sim.requeue(t)
}

func (sim *simulation) requeue(t *task) {
	t.remainingTime = t.remainingAtCheckpoint
	t.spec.Ref.Attempt++
	sim.waitingTasks[t.kind] = append(sim.waitingTasks[t.kind], t)
}

func (sim *simulation) finishTask(t *task) {
	sim.results.recordFinished(t, sim.kinds[t.kind].runTime)
	sim.applyEffects(sim.placer.Step(sim.loop.Now(), place.Succeeded{TaskRef: t.spec.Ref, Worker: t.worker.ID}))
	sim.endAttempt(t)
}

// endAttempt reports the end of an attempt to the placer and starts the tasks that waited only for this eviction.
func (sim *simulation) endAttempt(t *task) {
	ref, w := t.spec.Ref, t.worker
	delete(sim.runningTasks, ref)
	w.removeTask(t)
	sim.applyEffects(sim.placer.Step(sim.loop.Now(), place.Ended{TaskRef: ref, Worker: w.ID}))
	for _, waiter := range sim.tasksAwaitingEvictions {
		delete(waiter.pendingEvictions, ref)
	}
	sim.tasksAwaitingEvictions = slices.DeleteFunc(sim.tasksAwaitingEvictions, sim.startIfReady)
}
