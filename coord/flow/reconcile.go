package flow

import (
	"slices"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// reconcileWorker records that the runs and all ends of a worker are known. A run that ended while the worker made its first
// report may be in neither of its lists, and is in the second one.
func (m *Machine) reconcileWorker(w *worker) {
	if !m.isUnreconciled(w) || w.hasMoreEnds {
		return
	}
	if !w.hasReported {
		w.hasReported, w.secondReportDue = true, true
		return
	}
	m.searchAgain()
	delete(m.unreconciledWorkers, w.ID)
	if len(m.unreconciledWorkers) == 0 {
		m.emit(Log{Text: "all workers of the previous scheduler have answered"})
	}
}

// reconcileRuns compares the runs that a worker reports with those that it should run.
func (m *Machine) reconcileRuns(w *worker, report infra.Report) {
	w.reports++
	w.secondReportDue = false
	for _, row := range report.Running {
		r := w.runs[row.Task]
		if r == nil || r.number != row.Run {
			m.adopt(w, row, report.Clock)
			continue
		}
		m.updateRun(r, row, report.Clock)
	}
	if w.hasMoreEnds {
		// The end of a run that is not listed may follow.
		return
	}
	isMissing := func(r *run) bool { return r.lastReport != w.reports && (r.state != fencing || w.hasFenced(r)) }
	if !slices.ContainsFunc(w.runsByTask, isMissing) {
		return
	}
	for _, r := range w.sortedRuns() {
		if !isMissing(r) {
			continue
		}
		isConfirmed := r.confirmedClock > 0
		isLost := isConfirmed && report.Clock > r.confirmedClock || !isConfirmed && report.Clock > r.deadline || w.hasFenced(r)
		switch {
		case isLost && r.state != stopping && (r.missingReport == 0 || r.missingReport != w.reports-1):
			// A worker need not read its clock and its lists at one moment.
			r.missingReport, w.secondReportDue = w.reports, true
		case isLost && isConfirmed:
			m.counts.Vanished++
			m.dropRun(r, "not listed by the worker")
		case isLost:
			m.counts.Lost++
			m.dropRun(r, "unanswered start was not carried out")
		case r.startUnanswered && r.state == starting && !isConfirmed:
			m.stop(r, "start not answered")
		}
	}
}

// updateRun updates a run from its entry in a report.
func (m *Machine) updateRun(r *run, row infra.ActiveRun, clock int64) {
	r.lastReport = r.worker.reports
	if r.occ != nil && !r.occ.job.started {
		m.noteStarted(r.id.Job)
	}
	if r.state == fencing {
		m.beganElsewhere(r, "a report of the present life lists the run")
	}
	if r.state == starting || r.state == fencing {
		r.state = running
	}
	r.confirmedClock, r.listedClock = max(r.confirmedClock, clock), clock
	m.observeRun(r, clock)
	r.measurement = row.Measurement
	r.percent = max(r.percent, row.Progress)
	_, t := m.lookupTask(r.id)
	if t == nil {
		return
	}
	t.located = t.located || m.now.After(m.predecessorEnd)
	t.updateCheckpoint(row.Run, row.Checkpoint)
}

// pausedUseShare is the share of its requested processor time below which an adopted filler is assumed to be paused.
const pausedUseShare = 0.5

// adopt takes over a run that this scheduler did not start, or stops it if the task must not run there.
func (m *Machine) adopt(w *worker, row infra.ActiveRun, clock int64) {
	m.createReportedOccurrence(row.Task)
	s, t := m.lookupTask(row.Task)
	o := m.lookupOccurrence(row.Task)
	r := &run{
		lastReport: w.reports,
		id:         row.Task, number: row.Run, worker: w, state: running, startedAt: m.now, measuredPercent: row.Progress, measuredAt: m.now,
		confirmedClock: clock, listedClock: clock, firstClock: clock, percent: row.Progress, measurement: row.Measurement, speedPercent: fullSpeedPercent,
		excludeRunTime: true,
	}
	if old := w.runs[row.Task]; old != nil {
		old.lastReport = w.reports
		if old.number > row.Run {
			m.emit(Stop{To: w.address(), Order: infra.StopOrder{Task: row.Task, Run: row.Run, Token: w.token}})
			return
		}
		m.releaseRun(old)
	}
	if t == nil {
		r.size, r.sizeUnknown = m.sizeOf(row.Task)
		w.add(m.now, r)
		if m.jobs[row.Task.Job] == nil {
			u := m.noteUnknown(row.Task.Job)
			u.runs = append(u.runs, r)
			return
		}
		m.stop(r, "unknown task")
		return
	}
	r.step, r.occ, r.size = s, o, s.spec.Reserved()
	if s.spec.Filler {
		r.fillerCPU, r.fillerImage = s.spec.Size.MilliCPU, m.fillerImages.of(s.spec.Image)
	}
	t.lastRun = max(t.lastRun, row.Run)
	t.located = t.located || m.now.After(m.predecessorEnd)
	t.updateCheckpoint(row.Run, row.Checkpoint)
	w.add(m.now, r)
	// The run may have been started just now.
	w.lastStart = m.now
	t.runs = append(t.runs, r)
	o.runs++
	if s.runsPerWorker != nil {
		s.runsPerWorker[w.ID]++
	}
	m.noteStarted(row.Task.Job)
	if !o.job.live() || t.phase != waiting {
		m.stop(r, "task must not run")
		return
	}
	s.setPhase(row.Task.Index, active)
	if s.waiting == 0 {
		m.removeReady(s)
	}
	m.emit(Log{Text: "run adopted", Task: row.Task, Run: row.Run, Worker: w.ID, Reason: w.adoptionNote()})
	if row.Measurement < pausedUseShare*float64(r.fillerCPU) {
		// A run that has just started is not measured yet and looks like a paused one. The order makes it one, and the
		// next adjustment may resume it.
		m.setSpeed(r, 0)
		w.adjustedAt = m.now
	}
}

// adoptionNote returns what is not known yet about a worker whose runs are adopted.
func (w *worker) adoptionNote() string {
	if !w.listed {
		return "before the worker was listed"
	}
	return ""
}

// sizeOf returns the resources held by a run whose task is no longer scheduled. They are unknown if its job is.
func (m *Machine) sizeOf(id infra.TaskID) (size fleet.Resources, unknown bool) {
	j := m.jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.spec.Steps) {
		return fleet.Resources{}, true
	}
	return j.spec.Steps[id.Step].Reserved(), false
}
