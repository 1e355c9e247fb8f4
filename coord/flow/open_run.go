package flow

import (
	"cmp"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// openRun names the worker that may crash under a run of a task, and the start time of that incarnation. It is durable before a
// trial starts, so that a successor can find out whether the trial ended in a crash.
type openRun struct {
	worker    fleet.WorkerID
	startedAt int64
}

// recordTrial reports whether the record of a task has the open run that a trial on a worker needs, and otherwise enters it.
// Until the record is durable no other trial begins on the worker.
func (m *Machine) recordTrial(r *readyStep, index int, w *worker) bool {
	t := r.step.tasks.at(index)
	suspected := r.step.mostSuspected(t)
	open := openRun{worker: w.ID, startedAt: w.StartedAt}
	if !suspected.isSuspect() || t.openRun == open {
		return true
	}
	t.openRun, r.occ.job.crashed = open, true
	t.unsavedSeq = m.markTaskDirty(r.task(index))
	if m.needsIsolation(r.step, t) {
		w.reservedUntil, w.reservedFor = m.now.Add(soundRunTime), suspected
	}
	return false
}

// recordGangTrial does the same for all members of a gang. The workers are sorted, so that another search finds the same
// worker for each member.
func (m *Machine) recordGangTrial(r *readyStep, chosen []*worker) bool {
	if !r.step.mostSuspected(nil).isSuspect() {
		return true
	}
	slices.SortFunc(chosen, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	recorded := true
	for i, w := range chosen {
		recorded = m.recordTrial(r, i, w) && recorded
	}
	return recorded
}

// hasOpenRunOn reports whether the record of a task has an open run on a worker.
func (t *task) hasOpenRunOn(w *worker) bool {
	return t.openRun == openRun{worker: w.ID, startedAt: w.StartedAt}
}

// isReservedForOther reports whether a worker is kept for the trial of another task, which is being recorded.
func (w *worker) isReservedForOther(now time.Time, t *task) bool {
	return w.reservedFor != nil && w.reservedFor != t && now.Before(w.reservedUntil)
}

// closeRun removes the open run of a task on a worker from its record.
func (m *Machine) closeRun(id infra.TaskID, t *task, on fleet.WorkerID) {
	if t.openRun.worker == on {
		t.openRun = openRun{}
		m.markTaskDirty(id)
	}
}
