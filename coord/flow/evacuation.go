package flow

import (
	"time"

	"lovagefork.example/coord/fleet"
)

const (
	// evacuateInterval is the pause between two evacuation checks of a draining worker.
	evacuateInterval = 200 * time.Millisecond
	// evacuateMargin is the part of a draining worker's remaining time that is reserved for stopping a run and
	// reporting its end.
	evacuateMargin = 400 * time.Millisecond
)

// cordon takes a worker out of service. A worker that is not known yet, or is forgotten meanwhile, is cordoned once it is listed.
func (m *Machine) cordon(ev Cordon) {
	m.cordons[ev.Worker] = struct{}{}
	m.emit(Log{Text: "worker cordoned", Worker: ev.Worker})
	w := m.workers[ev.Worker]
	if w == nil {
		m.emit(Evacuated{Worker: ev.Worker})
		return
	}
	w.cordoned = true
	if !ev.Deadline.IsZero() {
		w.leavesAt = ev.Deadline
	}
	m.evacuate(w)
}

// uncordon returns a worker to service.
func (m *Machine) uncordon(id fleet.WorkerID) {
	delete(m.cordons, id)
	w := m.workers[id]
	if w == nil || !w.cordoned {
		return
	}
	m.emit(Log{Text: "worker uncordoned", Worker: id})
	w.cordoned, w.evacuationReported, w.leavesAt = false, false, time.Time{}
	m.searchAgain()
}

// reportEvacuated reports that the machine of a cordoned worker may be taken down, which ends all that the worker knows. That
// is the case when the worker is not needed any more, or when its time is up, the ends that it has reported are durable, and its
// remaining long-running tasks may be interrupted. Until a worker that answers has reported to this scheduler, its tasks are not
// known.
func (m *Machine) reportEvacuated(w *worker) {
	isNeeded := !w.tokenAccepted || !m.isForgettable(w)
	isUnknown := m.isUnreconciled(w) && w.reachable
	if w.evacuationReported || w.hasUnsavedEnds() || isUnknown || isNeeded && m.now.Before(w.leavesAt) {
		return
	}
	interrupted := make(map[*step]int)
	for _, r := range w.runs {
		if r.step == nil || r.step.spec.MaxUnavailable == 0 || !r.occ.job.live() {
			continue
		}
		if r.state == running && r.percent >= operationalPercent {
			interrupted[r.step]++
		}
	}
	for s, count := range interrupted {
		if s.unavailableTasks()+count > s.spec.MaxUnavailable {
			return
		}
	}
	w.evacuationReported = true
	m.emit(Evacuated{Worker: w.ID})
}

// evacuate stops the runs that will not complete before a draining or cordoned worker leaves, if another worker can
// take them.
func (m *Machine) evacuate(w *worker) {
	if w.cordoned {
		m.reportEvacuated(w)
	}
	if !w.Draining && !w.cordoned || !w.reachable || w.leavesAt.IsZero() || m.now.Sub(w.evacuationCheckedAt) < evacuateInterval {
		return
	}
	w.evacuationCheckedAt = m.now
	clear(m.candidates)
	available := w.leavesAt.Sub(m.now) - evacuateMargin
	for _, r := range w.sortedRuns() {
		if r.state != running || r.step == nil || r.step.spec.Gang || !r.occ.job.live() || m.remainingTime(r) <= available {
			continue
		}
		if spec := &r.step.spec; spec.LongRunning && spec.MaxUnavailable > 0 && r.step.unavailableTasks() >= spec.MaxUnavailable {
			continue
		}
		_, t := m.lookupTask(r.id)
		if t == nil || m.pickWorker(m.readyStepOf(r), t) == nil {
			continue
		}
		m.stop(r, "worker is being evacuated")
	}
}

// readyStepOf returns the step of a run as a ready step.
func (m *Machine) readyStepOf(r *run) *readyStep {
	ready := &readyStep{occ: r.occ, index: r.id.Step, step: r.step, readySince: r.startedAt}
	m.setRank(ready)
	return ready
}

// operationalPercent is the progress at which a long-running task is fully operational.
const operationalPercent = 100

// unboundedTime is longer than any worker remains.
const unboundedTime = 24 * time.Hour

// remainingTime estimates how much longer a run takes.
func (m *Machine) remainingTime(r *run) time.Duration {
	if r.step.spec.LongRunning {
		return unboundedTime
	}
	return m.expectedRunTime(r.occ.job, r.step) * time.Duration(100-r.percent) / 100
}

// unavailableTasks returns the number of tasks of a step that are not fully operational.
func (s *step) unavailableTasks() int {
	count := s.tasks.len()
	for _, t := range s.tasks.allocated() {
		operational := false
		for _, r := range t.runs {
			operational = operational || r.state == running && r.percent >= operationalPercent && !r.worker.evacuationReported
		}
		if operational {
			count--
		}
	}
	return count
}
