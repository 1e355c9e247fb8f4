package flow

import (
	"errors"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// refusalsOfAbsence is how many refused connections in a row prove that a worker's process is gone.
const refusalsOfAbsence = 2

func (m *Machine) addWorker(info infra.Worker) *worker {
	w := &worker{
		Worker: info, runs: make(map[infra.Task]*run), reachable: true, speed: 1, decayAt: m.now,
		serving: make(map[*step]int), images: make(map[string]int), failed: make(map[fleet.JobID]float64), fillers: make(map[string]float64), settled: make(map[string]float64), settledAt: m.now,
	}
	m.workers[info.ID] = w
	at := len(m.order)
	for i, o := range m.order {
		if o.ID > info.ID {
			at = i
			break
		}
	}
	m.order = append(m.order, nil)
	copy(m.order[at+1:], m.order[at:])
	m.order[at] = w
	return w
}

func (m *Machine) removeWorker(w *worker) {
	delete(m.workers, w.ID)
	for i, o := range m.order {
		if o == w {
			m.order = append(append([]*worker(nil), m.order[:i]...), m.order[i+1:]...)
			break
		}
	}
	if _, found := m.roster[w.ID]; found {
		delete(m.roster, w.ID)
		m.rosterDirty = true
	}
}

func (m *Machine) seeWorker(info infra.Worker) {
	w := m.workers[info.ID]
	if w == nil {
		w = m.addWorker(info)
		m.emit(Note{Text: "worker listed", Worker: info.ID, Reason: info.Service})
	}
	if w.Born != 0 && info.Born != 0 && info.Born < w.Born {
		return
	}
	if w.Born != 0 && info.Born > w.Born {
		m.reborn(w, info.Born)
	}
	if info.Draining && !w.Draining {
		m.emit(Note{Text: "worker drains", Worker: info.ID})
		m.rosterDirty = true
	}
	if !w.listed {
		w.holdAt = m.now
	}
	born := max(w.Born, info.Born)
	w.Worker, w.listed = info, true
	w.Born = born
	if m.roster[w.ID] != info.Address {
		m.roster[w.ID] = info.Address
		m.rosterDirty = true
		w.enrolled = false
	}
	m.placeNext = true
}

func (m *Machine) loseWorker(id fleet.WorkerID) {
	w := m.workers[id]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	m.emit(Note{Text: "worker no longer listed", Worker: id})
	m.checkLeft(w)
}

// checkLeft frees what a worker ran that drained and is neither listed nor reachable any more: it has left.
func (m *Machine) checkLeft(w *worker) {
	if !w.Draining || w.listed || w.reachable {
		return
	}
	m.clearWorker(w, "worker has left")
	delete(m.unsettled, w.ID)
	m.placeNext = true
}

// reborn takes note of a new life of a worker: nothing of the former one runs any more, but an order without an answer
// may still reach the new life.
func (m *Machine) reborn(w *worker, born int64) {
	m.emit(Note{Text: "worker has started again", Worker: w.ID})
	for _, r := range w.sortedRuns() {
		if r.listed > 0 {
			m.counts.Vanished++
			m.vanish(r, "worker started again")
			continue
		}
		// The start may have reached the new life, or still reach it, which is there to be told otherwise.
		r.state, r.stopAt, r.reason = fencing, m.now, "worker started again"
	}
	w.Born = born
	w.fenced, w.trusted = false, false
	w.clock, w.leaseEnd, w.seen, w.durable, w.unsaved = 0, 0, 0, 0, 0
	w.ends, w.speed = 0, 1
	clear(w.failed)
	w.restUntil = time.Time{}
	// The answer to a hold of the former life may take until its timeout.
	w.holding, w.holdAt = false, m.now
}

// clearWorker frees everything on a worker on which nothing runs any more. A start without an answer may still reach a
// later life of the worker.
func (m *Machine) clearWorker(w *worker, reason string) {
	for _, r := range w.sortedRuns() {
		if r.confirmed == 0 || r.state == fencing {
			m.ghosts[w.ID] = append(m.ghosts[w.ID], ghost{task: r.id, run: r.number, until: m.now.Add(lateOrders)})
		}
		m.counts.Vanished++
		m.vanish(r, reason)
	}
}

// lateOrders is how long an order without an answer may still be carried out; the platform names 12 s.
const lateOrders = 13 * time.Second

// ghost is a start without an answer to a former life of a worker.
type ghost struct {
	task  infra.Task
	run   infra.Run
	until time.Time
}

// fenceGhosts lets a new life of a worker reject the starts that were meant for a former one.
func (m *Machine) fenceGhosts(w *worker) {
	for _, g := range m.ghosts[w.ID] {
		if m.now.Before(g.until) {
			m.emit(Stop{To: w.address(), Order: infra.StopOrder{Task: g.task, Run: g.run, Token: m.token}})
		}
	}
	delete(m.ghosts, w.ID)
}

// vanish ends a run of which the worker keeps no end.
func (m *Machine) vanish(r *run, reason string) {
	m.emit(Note{Text: "run lost", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
	m.release(r)
	m.requeue(r, "")
}

func (w *worker) sortedRuns() []*run {
	all := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		all = append(all, r)
	}
	sortRuns(all)
	return all
}

// hold asks a worker for its report and renews its lease.
func (m *Machine) hold(w *worker) {
	order := infra.HoldOrder{Token: m.token, Seen: w.durable}
	// A worker that does not answer is not renewed, so that its lease ends at a known time.
	if w.clock > 0 && w.reachable {
		order.Deadline = w.estimate(m.now) + m.opts.hold.Milliseconds()
		w.leaseEnd = max(w.leaseEnd, order.Deadline)
	}
	if w.unsaved == 0 && w.fenced && w.reachable {
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
	var unsent *infra.UnsentError
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
		m.emit(Note{Text: "worker not reachable", Worker: w.ID, Reason: ev.Err.Error()})
	}
	w.reachable = false
	m.checkLeft(w)
	if !errors.As(ev.Err, &unsent) || !unsent.Refused {
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
func (m *Machine) held(ev Held) {
	w := m.workers[ev.Worker]
	if w == nil || ev.Sequence != w.holds {
		return
	}
	w.holding, w.holdAt, w.refusals = false, m.now, 0
	if w.Born != 0 && ev.Report.Born != 0 && ev.Report.Born != w.Born {
		if ev.Report.Born < w.Born {
			return
		}
		m.reborn(w, ev.Report.Born)
		return
	}
	if w.Born == 0 {
		w.Born = ev.Report.Born
	}
	if !w.reachable {
		m.emit(Note{Text: "worker reachable", Worker: w.ID})
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
		m.emit(Note{Text: "every worker of the former scheduler has answered"})
	}
}

// takeEnds applies the ends that are new and reports whether there were any.
func (m *Machine) takeEnds(w *worker, ended []infra.End) bool {
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

func (m *Machine) end(w *worker, e infra.End) {
	r := w.runs[e.Task]
	own := r != nil && r.number == e.Run
	s, t := m.lookup(e.Task)
	m.emit(Note{Text: "run ended", Task: e.Task, Run: e.Run, Worker: w.ID, Reason: string(e.Outcome)})
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
	case infra.Done:
		m.counts.Done++
		m.complete(o, s, e)
		return
	case infra.Failed:
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
func (m *Machine) lookup(id infra.Task) (*step, *task) {
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
func (m *Machine) complete(o *occurrence, s *step, e infra.End) {
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
	o.open = 0
	for i := range o.steps {
		if !o.steps[i].complete() {
			o.open++
		}
	}
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
		delete(m.ready, s)
	}
}

func (m *Machine) closeOccurrence(o *occurrence) {
	j := o.job
	if j.complete() {
		return
	}
	j.closed++
	for i := range o.steps {
		delete(m.ready, &o.steps[i])
	}
	if j.complete() {
		m.emit(Note{Text: "job complete", Job: j.spec.ID})
		m.finish(j)
	}
}

// fail counts a failed run; a task that failed too often fails its job.
func (m *Machine) fail(o *occurrence, t *task, e infra.End) {
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
func (m *Machine) checkAttempts(j *job, t *task, id infra.Task) bool {
	if !j.live() || len(t.failed) < m.attempts(j) {
		return false
	}
	j.failed = true
	m.emit(Note{Text: "job failed", Job: j.spec.ID, Task: id, Run: t.lastRun, Reason: "attempts used up"})
	m.closeJob(j, "job failed")
	return true
}

// defaultAttempts holds for a job that was stored without a bound.
const defaultAttempts = 4

func (m *Machine) attempts(j *job) int {
	if m.catalog != nil {
		if q, found := m.catalog.Queue(j.spec.Queue); found && q.MaxAttempts > 0 {
			return q.MaxAttempts
		}
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
	present := make(map[infra.Task]bool, len(report.Running))
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
		case r.confirmed > 0 && report.Clock > r.confirmed:
			m.counts.Vanished++
			m.vanish(r, "not listed by the worker")
		}
	}
}

// observe updates a run from its row.
func (m *Machine) observe(r *run, row infra.Running, clock int64) {
	if r.state == starting || r.state == fencing {
		r.state = running
	}
	r.confirmed, r.listed = max(r.confirmed, clock), clock
	r.figure = row.Figure
	r.percent = max(r.percent, row.Percent)
	if _, t := m.lookup(r.id); t != nil && row.Checkpoint != "" {
		t.saved = row.Checkpoint
	}
}

// adopt takes over a run that this scheduler did not start, or stops it if the task must not run there.
func (m *Machine) adopt(w *worker, row infra.Running, clock int64) {
	s, t := m.lookup(row.Task)
	r := &run{id: row.Task, number: row.Run, worker: w, state: running, since: m.now, mark: row.Percent, markAt: m.now, confirmed: clock, listed: clock, percent: row.Percent, figure: row.Figure, pace: fullPace}
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
		delete(m.ready, s)
	}
	m.emit(Note{Text: "run taken over", Task: row.Task, Run: row.Run, Worker: w.ID})
}

// sizeOf returns what a run holds whose task is not scheduled any more; a run of an unknown job may hold the whole worker.
func (m *Machine) sizeOf(w *worker, id infra.Task) fleet.Resources {
	j := m.jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.spec.Steps) {
		return w.Capacity
	}
	return j.spec.Steps[id.Step].Reserved()
}

func (m *Machine) startAnswered(ev StartAnswered) {
	w := m.workers[ev.Worker]
	if w == nil {
		return
	}
	r := w.runs[ev.Order.Task]
	if r == nil || r.number != ev.Order.Run {
		return
	}
	var refused *infra.RefusedError
	var unsent *infra.UnsentError
	switch {
	case ev.Err == nil:
		if r.state == starting {
			r.state = running
		}
		r.confirmed = max(r.confirmed, ev.Clock)
		return
	case errors.As(ev.Err, &refused):
		m.startRefused(w, r, refused)
	case errors.As(ev.Err, &unsent):
		w.reachable = w.reachable && !unsent.Refused
		m.notStarted(r, "worker not reachable")
	default:
		// The start may still happen; a report after its deadline tells.
		m.emit(Note{Text: "start without an answer", Task: r.id, Run: r.number, Worker: w.ID, Reason: ev.Err.Error()})
		w.unhealthyUntil = m.now.Add(lostRest)
	}
}

// lostRest keeps new work away from a worker that left an order unanswered; orders are left out for seconds at a time.
const lostRest = 2 * time.Second

// unhealthyRest keeps new work away from a worker that says it is unhealthy.
const unhealthyRest = time.Second

func (m *Machine) startRefused(w *worker, r *run, refused *infra.RefusedError) {
	m.counts.Refused++
	switch refused.Reason {
	case infra.ReasonFenced:
		m.emit(Resign{Worker: w.ID})
		return
	case infra.ReasonUnhealthy, infra.ReasonNoRoom:
		w.unhealthyUntil = m.now.Add(unhealthyRest)
	case infra.ReasonInstance:
		w.reachable = false
	case infra.ReasonInvalid:
		w.restUntil = m.now.Add(unhealthyRest)
	case infra.ReasonTicket:
		m.dropTicket(r)
	case infra.ReasonSuperseded, infra.ReasonExpired:
	}
	if r.confirmed > 0 {
		return
	}
	m.notStarted(r, string(refused.Reason))
}

// notStarted gives a task back to the queue whose start has certainly not happened and will not.
func (m *Machine) notStarted(r *run, reason string) {
	m.emit(Note{Text: "start refused", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
	m.release(r)
	m.requeue(r, r.worker.ID)
	m.placeNext = true
}

func (m *Machine) stop(r *run, reason string) {
	if r.state == stopping || r.state == fencing {
		return
	}
	r.state, r.reason = stopping, reason
	m.emit(Note{Text: "stop", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
	m.sendStop(r)
}

func (m *Machine) sendStop(r *run) {
	r.stopAt = m.now.Add(stopRetry)
	m.emit(Stop{To: r.worker.address(), Order: infra.StopOrder{Task: r.id, Run: r.number, Token: m.token}})
}

func (m *Machine) stopAnswered(ev StopAnswered) {
	w := m.workers[ev.Worker]
	if w == nil {
		return
	}
	var refused *infra.RefusedError
	if errors.As(ev.Err, &refused) && refused.Reason == infra.ReasonFenced {
		m.emit(Resign{Worker: w.ID})
		return
	}
	r := w.runs[ev.Order.Task]
	if r == nil || r.number != ev.Order.Run || ev.Err != nil {
		return
	}
	if r.state == fencing {
		// The later life has taken the stop, so it rejects the start.
		m.vanish(r, "start to a former life is fenced")
		return
	}
	if r.confirmed == 0 {
		// A run that was not there yet is rejected from now on; a report after this moment tells whether it was there.
		r.confirmed = ev.Clock
	}
}

func (m *Machine) paceAnswered(ev PaceAnswered) {
	var refused *infra.RefusedError
	if errors.As(ev.Err, &refused) && refused.Reason == infra.ReasonFenced {
		m.emit(Resign{Worker: ev.Worker})
		return
	}
	w := m.workers[ev.Worker]
	if w == nil || ev.Err == nil {
		return
	}
	if r := w.runs[ev.Order.Task]; r != nil && r.number == ev.Order.Run && r.pace == ev.Order.Percent {
		// Whether the order was carried out is not known; full speed is assumed, and the next look slows the run again.
		m.assumePace(r, fullPace)
	}
}
