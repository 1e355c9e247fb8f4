package flow

import (
	"errors"
	"slices"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// hold asks a worker for its report and renews its lease.
func (m *Machine) hold(w *worker) {
	order := infra.RenewOrder{Token: m.token, AckedEnd: w.durable}
	// A worker that does not answer is not renewed, so that its lease ends at a known time.
	if w.clock > 0 && w.reachable {
		order.Deadline = w.estimate(m.now) + m.opts.hold.Milliseconds()
		w.leaseEnd = max(w.leaseEnd, order.Deadline)
	}
	if w.unsaved == 0 && w.fenced && w.reachable && !m.now.Equal(w.lookedAt) {
		order.Wait = holdWait
		if len(w.serving) > 0 && w.filler > 0 {
			order.Wait = holdWatch
		}
	}
	w.holding = true
	w.holds++
	m.emit(Hold{To: w.address(), Sequence: w.holds, Order: order})
}

func (m *Machine) holdFailed(ev HoldFailed) {
	w := m.workers[ev.Worker]
	if w == nil || ev.Sequence != w.holds {
		return
	}
	w.holding = false
	w.holdAt = m.now.Add(holdRetry)
	var refused *infra.RefusedError
	var unsent *infra.NotSentError
	switch {
	case errors.As(ev.Err, &refused) && refused.Reason == infra.ReasonFenced:
		m.emit(Resign{Worker: w.ID})
		return
	case errors.As(ev.Err, &refused) && refused.Reason == infra.ReasonInstance:
		m.clearWorker(w, "another worker answers at the address")
		delete(m.unsettled, w.ID)
		w.reachable = false
		return
	case errors.As(ev.Err, &refused):
		w.unhealthyUntil = m.now.Add(holdRetry)
		return
	}
	if w.reachable {
		m.emit(Log{Text: "worker not reachable", Worker: w.ID, Reason: ev.Err.Error()})
	}
	w.reachable = false
	m.checkLeft(w)
	if !errors.As(ev.Err, &unsent) || !unsent.ConnRefused {
		w.refusals = 0
		return
	}
	w.refusals++
	if w.refusals >= refusalsOfAbsence {
		m.clearWorker(w, "nothing listens at the worker's address")
		delete(m.unsettled, w.ID)
		m.placeNext = true
	}
}

// held takes up a worker's report.
func (m *Machine) held(ev HoldAnswered) {
	w := m.workers[ev.Worker]
	if w == nil || ev.Sequence != w.holds {
		return
	}
	w.holding, w.holdAt, w.refusals = false, m.now, 0
	if w.StartedAt != 0 && ev.Report.StartedAt != 0 && ev.Report.StartedAt != w.StartedAt {
		if ev.Report.StartedAt < w.StartedAt {
			return
		}
		m.reborn(w, ev.Report.StartedAt)
		return
	}
	if w.StartedAt == 0 {
		w.StartedAt = ev.Report.StartedAt
	}
	if !w.reachable {
		m.emit(Log{Text: "worker reachable", Worker: w.ID})
		w.reachable = true
		m.placeNext = true
	}
	w.observeClock(m.now, ev.Report.Clock)
	if !w.fenced {
		w.fenced, w.trusted = true, !m.doubted
		m.settle(w)
		m.fenceGhosts(w)
	}
	fresh := m.takeEnds(w, ev.Report.Ended)
	m.takeRunning(w, ev.Report)
	m.measure(w)
	m.measureSpeed(w)
	if fresh {
		w.unsaved = m.dirtySeq
		if m.savedSeq >= m.dirtySeq {
			w.unsaved, w.durable = 0, w.seen
		}
	}
	if w.unsaved > 0 {
		w.holdAt = m.now.Add(holdUnsaved)
		return
	}
	m.hold(w)
}

func (m *Machine) settle(w *worker) {
	m.placeNext = true
	if !m.isUnsettled(w) {
		return
	}
	delete(m.unsettled, w.ID)
	if len(m.unsettled) == 0 {
		m.emit(Log{Text: "every worker of the former scheduler has answered"})
	}
}

// takeEnds applies the ends that are new and reports whether there were any.
func (m *Machine) takeEnds(w *worker, ended []infra.EndedRun) bool {
	fresh := false
	for _, e := range ended {
		if e.Number <= w.seen {
			continue
		}
		w.seen = e.Number
		fresh = true
		m.end(w, e)
	}
	return fresh
}

func (m *Machine) end(w *worker, e infra.EndedRun) {
	r := w.runs[e.Task]
	own := r != nil && r.number == e.Run
	s, t := m.lookup(e.Task)
	m.emit(Log{Text: "run ended", Task: e.Task, Run: e.Run, Worker: w.ID, Reason: string(e.Outcome)})
	m.placeNext = true
	if own {
		m.measureEnd(r, e.Outcome)
		m.release(r)
	}
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	if e.Checkpoint != "" {
		t.saved = e.Checkpoint
	}
	o := m.jobs[e.Task.Job].occurrences[e.Task.Occurrence]
	switch e.Outcome {
	case infra.OutcomeDone:
		m.counts.Done++
		m.complete(o, s, e)
		return
	case infra.OutcomeFailed:
		m.counts.Failed++
		m.fail(o, t, e)
	default:
		m.counts.Stopped++
	}
	if own {
		m.requeue(r, w.ID)
	}
}

// lookup returns the step and task of a name, or nil if it names none.
func (m *Machine) lookup(id infra.TaskID) (*step, *task) {
	j := m.jobs[id.Job]
	if j == nil {
		return nil, nil
	}
	o := j.occurrences[id.Occurrence]
	if o == nil || id.Step < 0 || id.Step >= len(o.steps) {
		return nil, nil
	}
	s := &o.steps[id.Step]
	if id.Index < 0 || id.Index >= len(s.tasks) {
		return nil, nil
	}
	return s, &s.tasks[id.Index]
}

// complete takes note of a task that is done; one end stands for all tasks of a gang.
func (m *Machine) complete(o *occurrence, s *step, e infra.EndedRun) {
	m.markDirty(o.job)
	o.job.begun = true
	if s.spec.Gang {
		for i := range s.tasks {
			m.completeTask(s, i)
		}
	} else {
		m.completeTask(s, e.Task.Index)
	}
	if !s.complete() {
		return
	}
	o.countOpen()
	if o.open == 0 {
		m.closeOccurrence(o)
		return
	}
	m.refresh(o)
}

func (m *Machine) completeTask(s *step, index int) {
	t := &s.tasks[index]
	if t.phase == done {
		return
	}
	s.setPhase(index, done)
	t.saved = ""
	for _, r := range t.runs {
		m.stop(r, "task is done")
	}
	if s.waiting == 0 {
		m.unready(s)
	}
}

func (m *Machine) closeOccurrence(o *occurrence) {
	j := o.job
	if j.complete() {
		return
	}
	j.closed++
	for i := range o.steps {
		m.unready(&o.steps[i])
	}
	if j.complete() {
		m.emit(Log{Text: "job complete", Job: j.spec.ID})
		m.finish(j)
	}
}

// fail counts a failed run; a task that failed too often fails its job.
func (m *Machine) fail(o *occurrence, t *task, e infra.EndedRun) {
	j := o.job
	m.markDirty(j)
	j.begun = true
	s := &o.steps[e.Task.Step]
	if s.spec.LongRunning || slices.Contains(t.failed, e.Run) {
		return
	}
	t.failed = append(t.failed, e.Run)
	m.checkAttempts(j, t, e.Task)
}

// checkAttempts fails a job if one of its tasks has failed too often, and reports whether it has.
func (m *Machine) checkAttempts(j *job, t *task, id infra.TaskID) bool {
	if !j.live() || len(t.failed) < m.attempts(j) {
		return false
	}
	j.failed = true
	m.emit(Log{Text: "job failed", Job: j.spec.ID, Task: id, Run: t.lastRun, Reason: "attempts used up"})
	m.closeJob(j, "job failed")
	return true
}

// defaultAttempts holds for a job that was stored without a bound.
const defaultAttempts = 4

func (m *Machine) attempts(j *job) int {
	if j.queue.MaxAttempts > 0 {
		return j.queue.MaxAttempts
	}
	if j.spec.MaxAttempts > 0 {
		return j.spec.MaxAttempts
	}
	return defaultAttempts
}

// release frees the capacity of a run that is not present any more.
func (m *Machine) release(r *run) {
	r.worker.remove(m.now, r)
	s, t := m.lookup(r.id)
	if t == nil {
		return
	}
	for i, other := range t.runs {
		if other == r {
			t.runs = append(append([]*run(nil), t.runs[:i]...), t.runs[i+1:]...)
			break
		}
	}
	if s.perWorker != nil {
		s.perWorker[r.worker.ID]--
	}
}

// requeue lets a task wait for its next start if no run of it is left.
func (m *Machine) requeue(r *run, avoid fleet.WorkerID) {
	s, t := m.lookup(r.id)
	if t == nil || t.phase == done || len(t.runs) > 0 {
		return
	}
	t.avoid = avoid
	s.setPhase(r.id.Index, waiting)
	m.refresh(m.jobs[r.id.Job].occurrences[r.id.Occurrence])
}

// takeRunning compares what the worker lists with what it should run.
func (m *Machine) takeRunning(w *worker, report infra.Report) {
	present := make(map[infra.TaskID]bool, len(report.Running))
	for _, row := range report.Running {
		present[row.Task] = true
		r := w.runs[row.Task]
		if r == nil || r.number != row.Run {
			m.adopt(w, row, report.Clock)
			continue
		}
		m.observe(r, row, report.Clock)
	}
	for _, r := range w.sortedRuns() {
		if present[r.id] || r.state == fencing {
			continue
		}
		switch {
		case r.confirmed == 0 && report.Clock > r.deadline:
			m.counts.Lost++
			m.vanish(r, "start without an answer did not happen")
		case r.lost && r.state == starting && r.confirmed == 0:
			m.stop(r, "start without an answer")
		case r.confirmed > 0 && report.Clock > r.confirmed:
			m.counts.Vanished++
			m.vanish(r, "not listed by the worker")
		}
	}
}

// observe updates a run from its row.
func (m *Machine) observe(r *run, row infra.ActiveRun, clock int64) {
	if r.state == starting || r.state == fencing {
		r.state = running
	}
	r.confirmed, r.listed = max(r.confirmed, clock), clock
	r.figure = row.Measurement
	r.percent = max(r.percent, row.Progress)
	if _, t := m.lookup(r.id); t != nil && row.Checkpoint != "" {
		t.saved = row.Checkpoint
	}
}

// adopt takes over a run that this scheduler did not start, or stops it if the task must not run there.
func (m *Machine) adopt(w *worker, row infra.ActiveRun, clock int64) {
	s, t := m.lookup(row.Task)
	r := &run{id: row.Task, number: row.Run, worker: w, state: running, since: m.now, mark: row.Progress, markAt: m.now, confirmed: clock, listed: clock, percent: row.Progress, figure: row.Measurement, pace: fullPace}
	if old := w.runs[row.Task]; old != nil {
		if old.number > row.Run {
			m.emit(Stop{To: w.address(), Order: infra.StopOrder{Task: row.Task, Run: row.Run, Token: m.token}})
			return
		}
		m.release(old)
	}
	if t == nil {
		r.size = m.sizeOf(w, row.Task)
		w.add(m.now, r)
		m.stop(r, "task of no known job")
		return
	}
	o := m.jobs[row.Task.Job].occurrences[row.Task.Occurrence]
	r.step, r.occ, r.size = s, o, s.spec.Reserved()
	if s.spec.Filler {
		r.filler = s.spec.Size.MilliCPU
	}
	t.lastRun = max(t.lastRun, row.Run)
	if row.Checkpoint != "" {
		t.saved = row.Checkpoint
	}
	w.add(m.now, r)
	t.runs = append(t.runs, r)
	if s.perWorker != nil {
		s.perWorker[w.ID]++
	}
	o.job.begun = true
	if !o.job.live() || t.phase != waiting {
		m.stop(r, "task must not run")
		return
	}
	s.setPhase(row.Task.Index, active)
	if s.waiting == 0 {
		m.unready(s)
	}
	m.emit(Log{Text: "run taken over", Task: row.Task, Run: row.Run, Worker: w.ID})
}

// sizeOf returns what a run holds whose task is not scheduled any more; a run of an unknown job may hold the whole worker.
func (m *Machine) sizeOf(w *worker, id infra.TaskID) fleet.Resources {
	j := m.jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.spec.Steps) {
		return w.Capacity
	}
	return j.spec.Steps[id.Step].Reserved()
}
