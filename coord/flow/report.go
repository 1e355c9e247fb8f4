package flow

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// sendRenewal renews a worker's lease and requests its report.
func (m *Machine) sendRenewal(w *worker) {
	if !w.reachable || w.mayHaveRestarted() || !w.tokenAccepted {
		m.raiseToken(w)
	}
	order := infra.RenewOrder{Token: w.token}
	// Numbers of ends and times of the worker's clock mean nothing to another incarnation.
	isSameIncarnation := !w.mayHaveRestarted()
	isImmediate := m.now.Equal(w.immediateRenewalAt)
	// A renewal that another life carries out must not acknowledge its ends, so that only one that has something to acknowledge
	// does. An immediate renewal may follow an order without an answer.
	if isSameIncarnation && w.reachable && !isImmediate && w.durableEnd > w.ackedEnd {
		order.AckedEnd = w.durableEnd
	}
	// The lease of an unreachable worker is not renewed, so that it ends at a known time. A worker that an immediate renewal
	// asks for a report may be one.
	lease := m.maxLease(w)
	if w.clock > 0 && w.reachable && isSameIncarnation && !isImmediate && lease > 0 {
		order.Deadline = w.maxClock(m.now) + lease.Milliseconds()
		w.leaseEnd = max(w.leaseEnd, order.Deadline)
		w.noteReach(m.now.Add(renewalTransit))
	}
	if m.restored && isSameIncarnation && !w.hasUnsavedEnds() && w.tokenAccepted && w.reachable && !isImmediate && !w.secondReportDue {
		order.Wait = reportWait
		if len(w.servingSteps) > 0 && w.fillerCPU > 0 {
			order.Wait = reportWaitColocated
		}
	}
	w.renewalSentAt, w.renewalToken, w.renewalAckedEnd = m.now, order.Token, order.AckedEnd
	w.tokenUsed = w.tokenUsed || order.Deadline > 0 || order.AckedEnd > 0
	w.renewalInFlight = true
	w.renewalSequence++
	m.reports.sent(m.now, w, order)
	m.emit(Renew{To: w.address(), Sequence: w.renewalSequence, Order: order})
}

func (m *Machine) renewFailed(ev RenewFailed) {
	w := m.workers[ev.Worker]
	if w == nil || ev.Sequence != w.renewalSequence {
		return
	}
	w.renewalInFlight, w.probed = false, false
	m.reports.settle(w.ID, false)
	w.nextRenewal = m.now.Add(m.retryPause(w))
	w.failedRenewals++
	var refused *infra.RefusedError
	var unsent *infra.NotSentError
	switch {
	case errors.As(ev.Err, &refused) && refused.Reason == infra.ReasonFenced:
		if m.isFencedBySuccessor(w, w.renewalToken) {
			m.emit(Resign{Worker: w.ID})
		}
		return
	case errors.As(ev.Err, &refused) && refused.Reason == infra.ReasonInstance && m.restored:
		m.addressTaken(w)
		return
	case errors.As(ev.Err, &refused):
		w.unhealthyUntil = m.now.Add(renewRetryPause)
		return
	}
	if w.reachable {
		w.unreachableSince = m.now
		m.emit(Log{Text: "worker unreachable", Worker: w.ID, Reason: ev.Err.Error()})
		m.loseRuns(w, w.suspects())
		// If the connection ended with a life of the worker, the next one is up, and late calls reach it until it is fenced.
		w.nextRenewal = m.now
	}
	w.reachable = false
	if !errors.As(ev.Err, &unsent) || !unsent.ConnRefused || !m.restored {
		w.connRefusals = 0
		return
	}
	w.connRefusals++
	if w.connRefusals == restartConnRefusals {
		m.expectLateStarts(w)
		m.loseRuns(w, w.runsByTask)
		m.emit(Log{Text: "connections to the worker's address are refused", Worker: w.ID, Reason: fmt.Sprintf("%d runs may have ended", len(w.runs))})
	}
}

// addressTaken handles the answer of another worker at a worker's address. It shows that the worker has ended only if the
// worker had been there before.
func (m *Machine) addressTaken(w *worker) {
	if w.reachable {
		w.reachable, w.unreachableSince = false, m.now
	}
	if w.Address != w.answeredAt {
		return
	}
	m.loseRuns(w, w.runsByTask)
	m.countCrash(w.ID, anyLife, "address belongs to another worker")
	m.clearRuns(w, w.sortedRuns(), "address belongs to another worker")
	delete(m.unreconciledWorkers, w.ID)
}

// retryPause returns the pause after a failed renewal. It doubles for a worker that has not answered yet and on which no
// task can run. Unanswered starts of a predecessor can reach a worker of its roster that restarts, until that has seen the token.
func (m *Machine) retryPause(w *worker) time.Duration {
	mayGetLateStart := !w.tokenAccepted && m.roster[w.ID].Worker != "" && m.now.Before(m.electedAt.Add(m.opts.leadershipTimeout+maxOrderDelay))
	if w.clock > 0 || len(w.runs) > 0 || m.isUnreconciled(w) || mayGetLateStart {
		return renewRetryPause
	}
	return min(renewRetryPause<<min(w.failedRenewals, 10), maxFirstContactPause)
}

// renewAnswered applies a worker's report.
func (m *Machine) renewAnswered(ev RenewAnswered) {
	w := m.workers[ev.Worker]
	if w == nil || ev.Sequence != w.renewalSequence {
		return
	}
	w.renewalInFlight, w.nextRenewal, w.connRefusals, w.failedRenewals = false, m.now, 0, 0
	m.reports.answered(w, ev.Order, ev.Report)
	if w.StartedAt != 0 && ev.Report.StartedAt != 0 && ev.Report.StartedAt != w.StartedAt {
		// The start time is earlier if the clock of the worker's host was set back.
		announced := w.unconfirmed
		m.workerRestarted(w, ev.Report.StartedAt)
		m.countRestart(w)
		if announced != nil && announced.StartedAt == ev.Report.StartedAt {
			m.workerListed(*announced)
		}
		return
	}
	w.unconfirmed, w.sawOtherClock, w.answeredAt = nil, false, w.Address
	w.acceptedToken, w.ackedEnd = max(w.acceptedToken, w.renewalToken), max(w.ackedEnd, w.renewalAckedEnd)
	if m.roster[w.ID].Restarted {
		m.addToRoster(w)
	}
	if w.StartedAt == 0 {
		w.StartedAt = ev.Report.StartedAt
	}
	if m.restored && !w.hasAnswered {
		w.hasAnswered = true
		m.workerAnswered(w)
	}
	if !w.reachable {
		m.emit(Log{Text: "worker reachable", Worker: w.ID})
		m.takeBackLosses(w, false)
		w.reachable = true
		m.searchAgain()
	}
	m.markChanged(w)
	w.observeClock(m.now, ev.Report.Clock)
	w.askedAt = w.renewalSentAt
	if !w.tokenAccepted {
		w.tokenAccepted, w.acceptedAt, w.leadershipConfirmed = true, m.now, !m.leaseUnconfirmed
		m.beginLife(w)
		m.addToRoster(w)
		m.acceptedBy(w)
		if m.isFenced {
			m.save()
		}
		m.fenceLateStarts(w)
		m.searchAgain()
	}
	if !m.restored {
		m.renewedBeforeJobs(w, ev.Order)
		return
	}
	m.placementDue = m.placementDue || w.probed
	w.probed = false
	hasNew := m.applyEnds(w, ev.Report.Ended)
	w.hasMoreEnds = ev.Report.HasMoreEnds
	m.reconcileRuns(w, ev.Report)
	m.reconcileWorker(w)
	m.learnInterference(w)
	m.measureSpeed(w)
	if hasNew {
		m.awaitSave(w)
		m.confirmEnds(w)
		m.addToRoster(w)
	}
	if w.hasUnsavedEnds() || m.isRosterPending(w) && m.maxLease(w) <= 0 {
		w.nextRenewal = m.now.Add(renewUnsavedPause)
		return
	}
	m.sendRenewal(w)
}

// applyEnds applies the reported ends that are new, and reports whether there were any.
func (m *Machine) applyEnds(w *worker, ended []infra.EndedRun) bool {
	hasNew := false
	for _, e := range ended {
		if e.Number <= w.seenEnd {
			continue
		}
		if missing := e.Number - w.seenEnd - 1; missing > 0 && w.life > 0 {
			m.counts.MissingEnds += missing
			m.emit(Log{Text: "ends are missing", Worker: w.ID, Reason: fmt.Sprintf("%d before end %d of life %d", missing, e.Number, w.life)})
		}
		w.seenEnd = e.Number
		hasNew = true
		m.applyEnd(w, e)
	}
	return hasNew
}

func (m *Machine) applyEnd(w *worker, e infra.EndedRun) {
	r := w.runs[e.Task]
	isCurrent := r != nil && r.number == e.Run
	m.createReportedOccurrence(e.Task)
	m.noteStarted(e.Task.Job)
	s, t := m.lookupTask(e.Task)
	o := m.lookupOccurrence(e.Task)
	reason := string(e.Outcome)
	if t == nil {
		reason += ", unknown task"
	}
	m.emit(Log{Text: "run ended", Task: e.Task, Run: e.Run, Worker: w.ID, Reason: reason})
	m.placementDue = true
	if isCurrent {
		m.measureEnd(r, e.Outcome)
		if e.Outcome == infra.OutcomeDone {
			m.markSound(r)
		}
		m.releaseRun(r)
	}
	if t == nil {
		if m.jobs[e.Task.Job] == nil {
			m.holdEnd(w, e)
		}
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	t.updateCheckpoint(e.Run, e.Checkpoint)
	m.closeRun(e.Task, t, w.ID)
	switch e.Outcome {
	case infra.OutcomeDone:
		m.counts.Done++
		m.completeRun(o, s, e)
		return
	case infra.OutcomeFailed:
		m.counts.Failed++
		m.countFailure(o, t, e)
	default:
		m.counts.Stopped++
	}
	if isCurrent {
		m.requeue(r, w.ID)
	}
}

// lookupOccurrence returns the occurrence of a task, or nil if there is none. That of a schedule is dropped with its last run, so that
// it has to be looked up before a run is released.
func (m *Machine) lookupOccurrence(id infra.TaskID) *occurrence {
	if j := m.jobs[id.Job]; j != nil {
		return j.occurrences[id.Occurrence]
	}
	return nil
}

// lookupTask returns the step and the task with an ID, or nil if there is no such task.
func (m *Machine) lookupTask(id infra.TaskID) (*step, *task) {
	o := m.lookupOccurrence(id)
	if o == nil || id.Step < 0 || id.Step >= len(o.steps) {
		return nil, nil
	}
	s := &o.steps[id.Step]
	if id.Index < 0 || id.Index >= s.tasks.len() {
		return nil, nil
	}
	return s, s.tasks.at(id.Index)
}

// completeRun records a successful run. For a gang, one such end completes all tasks. The end may have been recorded by a
// predecessor.
func (m *Machine) completeRun(o *occurrence, s *step, e infra.EndedRun) {
	if o.complete() {
		return
	}
	if s.spec.Gang {
		for i := range s.tasks.len() {
			m.completeTask(s, i)
		}
	} else {
		m.completeTask(s, e.Task.Index)
	}
	if s.complete() {
		o.countOpenSteps()
	}
	if o.complete() {
		m.markDirty(o.job)
		m.completeOccurrence(o)
		return
	}
	m.markCompleted(o, s, e.Task)
	if !s.complete() {
		return
	}
	m.updateReady(o)
}

// markCompleted requests that the completion of a task is saved, or that of all tasks of its gang.
func (m *Machine) markCompleted(o *occurrence, s *step, id infra.TaskID) {
	if !s.spec.Gang || o.parts == nil {
		m.markTaskDirty(id)
		return
	}
	for id.Index = range s.tasks.len() {
		m.markTaskDirty(id)
	}
}

func (m *Machine) completeTask(s *step, index int) {
	t := s.tasks.at(index)
	if t.phase == done {
		return
	}
	s.setPhase(index, done)
	t.checkpoint = ""
	for _, r := range t.runs {
		m.stop(r, "task is done")
	}
	if s.waiting == 0 {
		m.removeReady(s)
	}
}

func (m *Machine) completeOccurrence(o *occurrence) {
	j := o.job
	if j.complete() {
		return
	}
	j.completed.add(o.number)
	if o.number < j.createdOccurrences {
		j.openOccurrences--
	}
	for i := range o.steps {
		m.removeReady(&o.steps[i])
	}
	m.deleteParts(o)
	m.dropCompleted(o)
	if j.complete() {
		m.emit(Log{Text: "job completed", Job: j.spec.ID})
		m.finish(j)
	}
}

// countFailure records a failed run. The job fails once a task has used up its attempts.
func (m *Machine) countFailure(o *occurrence, t *task, e infra.EndedRun) {
	j := o.job
	m.markTaskDirty(e.Task)
	s := &o.steps[e.Task.Step]
	// A copy can fail after another one was done, or the end can be reported again.
	if s.spec.LongRunning || t.phase == done || slices.Contains(t.failedRuns, e.Run) {
		return
	}
	t.failedRuns = append(t.failedRuns, e.Run)
	m.checkAttempts(j, t, e.Task)
}

// checkAttempts fails a job if one of its tasks has used up its attempts, and reports whether it did.
func (m *Machine) checkAttempts(j *job, t *task, id infra.TaskID) bool {
	if !j.live() || len(t.failedRuns) < m.maxAttempts(j) {
		return false
	}
	m.failJob(j, t, id, "attempts exhausted")
	return true
}

// failJob fails a job because of one of its tasks.
func (m *Machine) failJob(j *job, t *task, id infra.TaskID, reason string) {
	j.failed = true
	m.emit(Log{Text: "job failed", Job: j.spec.ID, Task: id, Run: t.lastRun, Reason: reason})
	m.stopJob(j, "job failed")
}

// defaultMaxAttempts applies to a job that was stored without a limit.
const defaultMaxAttempts = 4

func (m *Machine) maxAttempts(j *job) int {
	if j.queue.MaxAttempts > 0 {
		return j.queue.MaxAttempts
	}
	if j.spec.MaxAttempts > 0 {
		return j.spec.MaxAttempts
	}
	return defaultMaxAttempts
}

// releaseRun frees the capacity of a run that no longer exists on its worker.
func (m *Machine) releaseRun(r *run) {
	r.worker.remove(m.now, r)
	m.markChanged(r.worker)
	if r.worker.trial == r {
		r.worker.trial = nil
		m.searchAgain()
	}
	s, t := m.lookupTask(r.id)
	if t == nil || r.step == nil {
		// A run whose task was unknown when it was reported is not counted for its step.
		return
	}
	m.closeRun(r.id, t, r.worker.ID)
	for i, other := range t.runs {
		if other == r {
			t.runs = append(append([]*run(nil), t.runs[:i]...), t.runs[i+1:]...)
			if r.occ.runs--; r.occ.runs == 0 {
				r.occ.idleSince = m.now
			}
			m.dropCompleted(r.occ)
			break
		}
	}
	if s.runsPerWorker != nil {
		s.runsPerWorker[r.worker.ID]--
	}
}

// requeue returns a task to the waiting phase if it has no runs left.
func (m *Machine) requeue(r *run, avoid fleet.WorkerID) {
	s, t := m.lookupTask(r.id)
	if t == nil || t.phase == done || len(t.runs) > 0 {
		return
	}
	t.avoidWorker = avoid
	s.setPhase(r.id.Index, waiting)
	m.updateReady(m.jobs[r.id.Job].occurrences[r.id.Occurrence])
}
