package flow

import (
	"cmp"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// openRun names the worker that may have crashed under a run of a task, and the start time of that incarnation. It is durable
// before a trial starts, so that a successor can find out whether the trial ended in a crash. For other recent runs it is
// recorded once their worker is unreachable.
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
	if suspected.crashes == 0 || t.openRun == open {
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
	if r.step.mostSuspected(nil).crashes == 0 {
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

// closeReleasedRun does the same for a run that no longer exists, unless its worker is silent and may have crashed.
func (m *Machine) closeReleasedRun(r *run, t *task) {
	if _, silenced := m.silenced[r.worker.ID]; !silenced {
		m.closeRun(r.id, t, r.worker.ID)
	}
}

// rememberOpenRuns keeps the open runs in the record of a job until their workers answer.
func (m *Machine) rememberOpenRuns(j *job) {
	if !j.live() {
		return
	}
	for _, o := range j.occurrences {
		for i := range o.steps {
			for index, t := range o.steps[i].tasks.allocated() {
				on := t.openRun.worker
				if t.phase == done || t.openRun.startedAt == 0 {
					continue
				}
				id := infra.TaskID{Job: j.spec.ID, Occurrence: o.number, Step: i, Index: index}
				m.silenced[on] = append(m.silenced[on], silencedRun{id, t.lastRun, t.openRun.startedAt, true})
			}
		}
	}
}

// recordSuspects records the recent runs on a worker that has become unreachable as open. Whether it has crashed shows later,
// maybe to a successor.
func (m *Machine) recordSuspects(w *worker) {
	if w.Draining || w.cordoned || w.StartedAt == 0 {
		return
	}
	for _, r := range w.suspects() {
		if _, t := m.lookupTask(r.id); t != nil && t.openRun.worker == "" {
			t.openRun = openRun{worker: w.ID, startedAt: w.StartedAt}
			m.markTaskDirty(r.id)
		}
	}
}

// workerReturned closes the open runs on a worker that is reachable again and has not crashed, except that of a trial which
// goes on.
func (m *Machine) workerReturned(w *worker) {
	for _, r := range w.runsByTask {
		if _, t := m.lookupTask(r.id); t != nil && r != w.trial {
			m.closeRun(r.id, t, w.ID)
		}
	}
	for _, r := range m.silenced[w.ID] {
		if _, t := m.lookupTask(r.task); t != nil {
			m.closeRun(r.task, t, w.ID)
		}
	}
	delete(m.silenced, w.ID)
}
