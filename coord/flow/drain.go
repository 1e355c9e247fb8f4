package flow

import (
	"time"

	"lovagefork.example/coord/fleet"
)

const (
	// evacuateEach is the pause between two looks at the runs of a draining worker.
	evacuateEach = 200 * time.Millisecond
	// evacuateMargin is left of a draining worker's time for the stop of a run and its report.
	evacuateMargin = 400 * time.Millisecond
)

// vacate takes a worker out of service.
func (m *Machine) vacate(ev Cordon) {
	w := m.workers[ev.Worker]
	if w == nil {
		m.emit(Evacuated{Worker: ev.Worker})
		return
	}
	m.emit(Log{Text: "worker is taken out of service", Worker: w.ID})
	w.cordoned, w.leavesAt = true, ev.By
	m.evacuate(w)
}

// reinstate puts a worker back into service.
func (m *Machine) reinstate(id fleet.WorkerID) {
	w := m.workers[id]
	if w == nil || !w.cordoned {
		return
	}
	m.emit(Log{Text: "worker is back in service", Worker: id})
	w.cordoned, w.vacated, w.leavesAt = false, false, time.Time{}
	m.placeNext = true
}

// reportVacated tells that a worker that was taken out of service runs nothing any more, or nothing that must go on after
// its time is up.
func (m *Machine) reportVacated(w *worker) {
	if w.vacated || (len(w.runs) > 0 || !w.fenced) && m.now.Before(w.leavesAt) {
		return
	}
	ending := make(map[*step]int)
	for _, r := range w.runs {
		if r.step == nil || r.step.spec.MaxUnavailable == 0 || !r.occ.job.live() {
			continue
		}
		if r.state == running && r.percent >= workingPercent {
			ending[r.step]++
		}
	}
	for s, count := range ending {
		if s.away()+count > s.spec.MaxUnavailable {
			return
		}
	}
	w.vacated = true
	m.emit(Evacuated{Worker: w.ID})
}

// evacuate moves the runs away that a draining worker will not finish, while other workers have room for them.
func (m *Machine) evacuate(w *worker) {
	if w.cordoned {
		m.reportVacated(w)
	}
	if !w.Draining && !w.cordoned || !w.reachable || w.leavesAt.IsZero() || m.now.Sub(w.evacuatedAt) < evacuateEach {
		return
	}
	w.evacuatedAt = m.now
	clear(m.candidates)
	left := w.leavesAt.Sub(m.now) - evacuateMargin
	for _, r := range w.sortedRuns() {
		if r.state != running || r.step == nil || r.step.spec.Gang || !r.occ.job.live() || m.timeLeft(r) <= left {
			continue
		}
		if spec := &r.step.spec; spec.LongRunning && spec.MaxUnavailable > 0 && r.step.away() >= spec.MaxUnavailable {
			continue
		}
		_, t := m.lookup(r.id)
		if t == nil || m.pick(m.readyFor(r), t) == nil {
			continue
		}
		m.stop(r, "worker is emptied")
	}
}

// readyFor returns the step of a run as one that waits for a worker.
func (m *Machine) readyFor(r *run) *readyStep {
	ready := &readyStep{occ: r.occ, index: r.id.Step, step: r.step, since: r.since}
	m.setRank(ready)
	return ready
}

// workingPercent is the progress of a long-running task that is at work.
const workingPercent = 100

// forever is longer than any worker stays.
const forever = 24 * time.Hour

// timeLeft estimates how much longer a run takes.
func (m *Machine) timeLeft(r *run) time.Duration {
	if r.step.spec.LongRunning {
		return forever
	}
	return m.length(r.occ.job, r.step) * time.Duration(100-r.percent) / 100
}

// away counts the tasks of a step that are not at work.
func (s *step) away() int {
	count := 0
	for i := range s.tasks {
		atWork := false
		for _, r := range s.tasks[i].runs {
			atWork = atWork || r.state == running && r.percent >= workingPercent && !r.worker.vacated
		}
		if !atWork {
			count++
		}
	}
	return count
}
