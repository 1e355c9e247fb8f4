package jobs

import (
	"errors"
	"slices"
	"time"

	"lovagefork.example/coord/place"

	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/plat"
)

// claimed starts an attempt whose claim is durable.
func (m *Machine) claimed(now time.Time, r ledger.TaskClaimed) {
	t := m.tasks[r.Task]
	if !m.apply(r) {
		// The task was cancelled between the decision and its record.
		if t != nil && t.reservedOn != "" && t.attempt+1 == r.Attempt {
			t.recordPending = false
			m.unreserve(now, t)
		}
		return
	}
	reason := t.placementReason
	t.resetAttempt()
	m.worker(t.worker).tasks[t.id] = t
	m.pendingStarts = append(m.pendingStarts, t)
	m.log("place: task placed", "task", t.id, "attempt", t.attempt, "worker", t.worker, "reason", reason)
	if m.permit.Write {
		m.sendStarts(now)
	}
}

// sendStarts sends the starts of durable claims, including claims that became durable while the permit forbade starts.
func (m *Machine) sendStarts(now time.Time) {
	due := m.pendingStarts
	m.pendingStarts = nil
	for _, t := range due {
		switch {
		case t.recordPending:
			// A report has already ended the attempt, and the record of that is not durable yet.
		case t.state == StateClaimed && !t.startSent && !t.job.cancelled && !t.retired:
			m.sendStart(now, t)
		case t.state.live() && !t.startSent:
			m.recordEnd(now, t, ledger.OutcomeNotStarted, nil, "cancelled before its start")
		}
	}
}

func (m *Machine) sendStart(now time.Time, t *task) {
	w := m.worker(t.worker)
	t.startSent, t.startInFlight, t.startEpoch, t.startSentAt = true, true, m.workerEpoch(w), now
	spec := t.job.spec
	m.emit(Start{Worker: w.info, Start: plat.StartRequest{
		TaskRef: t.ref(), Epoch: t.startEpoch, LeaseMS: TaskLeaseTTL.Milliseconds(), Resources: spec.Resources,
		RunMS: spec.EstimatedMS, Kind: spec.Kind, Checkpoint: t.checkpoint,
	}})
}

func (m *Machine) startDone(now time.Time, ev StartDone) {
	t := m.tasks[ev.Ref.Task]
	if t == nil || t.ref() != ev.Ref || !t.state.live() || t.startEpoch != ev.Epoch {
		return
	}
	t.startInFlight = false
	w := m.worker(t.worker)
	var refused *plat.RefusedError
	var unreachable *plat.UnreachableError
	switch {
	case ev.Err == nil:
		t.mayRunUntil = now.Add(TaskLeaseTTL + TaskLeaseMargin)
		m.confirm(now, t)
	case errors.As(ev.Err, &refused):
		m.startRefused(now, w, t, refused)
	case errors.As(ev.Err, &unreachable) && !t.startUnanswered:
		m.notStarted(now, t, ev.Err.Error())
	default:
		t.startUnanswered = true
		t.mayRunUntil = now.Add(TaskLeaseTTL + TaskLeaseMargin + lateCommandMargin)
		m.log("jobs: outcome of start unknown", "task", t.id, "attempt", t.attempt, "worker", t.worker, "error", ev.Err)
		m.raiseFence(now, w)
	}
}

func (m *Machine) startRefused(now time.Time, w *worker, t *task, refused *plat.RefusedError) {
	switch {
	case refused.Reason == plat.ReasonStaleEpoch && t.startEpoch < m.workerEpoch(w):
		// A higher fence of this owner overtook the start, so the start had no effect.
		t.startSent = false
		m.pendingStarts = append(m.pendingStarts, t)
	case refused.Reason == plat.ReasonStaleEpoch:
		m.emit(Superseded{Worker: w.info.ID})
	case t.startUnanswered:
		m.raiseFence(now, w)
	default:
		m.notStarted(now, t, refused.Error())
	}
}

// notStarted ends an attempt whose start had no effect. Without permission to append records, it queues the start
// again.
func (m *Machine) notStarted(now time.Time, t *task, reason string) {
	if m.permit.Write {
		m.recordEnd(now, t, ledger.OutcomeNotStarted, nil, reason)
		return
	}
	t.startSent = false
	m.pendingStarts = append(m.pendingStarts, t)
}

// raiseFence increments the worker's fence counter and reads its status. Once the worker has answered, it refuses all
// commands that were sent before.
func (m *Machine) raiseFence(now time.Time, w *worker) {
	w.fence++
	w.nextStatusAt = now
	m.pollStatus(now, w)
}

// confirm marks an attempt as running at its worker, and stops it if its job was cancelled or it must leave the worker.
func (m *Machine) confirm(now time.Time, t *task) {
	t.inherited, t.startUnanswered = false, false
	if t.confirmedAt.IsZero() {
		t.confirmedAt = now
		m.placer.Step(now, place.Started{TaskRef: t.ref(), Worker: t.worker})
		m.log("jobs: task started", "task", t.id, "attempt", t.attempt, "worker", t.worker)
	}
	if t.state == StateClaimed {
		t.state = StateRunning
		m.endpointsChanged = m.endpointsChanged || t.job.serviceID != ""
	}
	switch {
	case t.job.cancelled || t.retired:
		m.stop(now, t, false)
	case t.state == StateEvicting:
		m.stop(now, t, true)
	}
}

// stop stops an attempt. Ticks repeat the request until the attempt has ended, because a request or its answer may be
// lost.
func (m *Machine) stop(now time.Time, t *task, checkpoint bool) {
	t.checkpointOnStop = checkpoint
	if t.nextStopAt.IsZero() {
		t.nextStopAt = now
	}
	m.sendStop(now, t)
}

func (m *Machine) sendStop(now time.Time, t *task) {
	w := m.worker(t.worker)
	if !m.permit.Write || t.recordPending || t.stopInFlight || t.startInFlight || !t.startSent || now.Before(t.nextStopAt) {
		return
	}
	t.stopInFlight, t.nextStopAt = true, now.Add(stopInterval)
	m.emit(Stop{Worker: w.info, Epoch: m.workerEpoch(w), Ref: t.ref(), Checkpoint: t.checkpointOnStop})
}

func (m *Machine) stopDone(now time.Time, ev StopDone) {
	t := m.tasks[ev.Ref.Task]
	if t == nil || t.ref() != ev.Ref || !t.state.live() {
		return
	}
	t.stopInFlight = false
	w := m.worker(ev.Worker)
	var refused *plat.RefusedError
	switch {
	case ev.Err == nil:
		m.handleTaskStatus(now, w, t, ev.Status)
	case errors.As(ev.Err, &refused) && refused.Reason == plat.ReasonStaleEpoch:
		if ev.Epoch >= m.workerEpoch(w) {
			m.emit(Superseded{Worker: w.info.ID})
		}
	case errors.As(ev.Err, &refused) && refused.Reason == plat.ReasonUnknownTask:
		m.raiseFence(now, w)
	}
}

// handleTaskStatus handles the status of an attempt that this owner manages.
func (m *Machine) handleTaskStatus(now time.Time, w *worker, t *task, s plat.TaskStatus) {
	if t.worker != w.info.ID {
		return
	}
	switch s.State {
	case plat.TaskRunning:
		m.confirm(now, t)
	case plat.TaskSucceeded:
		m.recordEnd(now, t, ledger.OutcomeSucceeded, nil, "")
	case plat.TaskFailed:
		m.recordEnd(now, t, ledger.OutcomeFailed, s.Checkpoint, s.Reason)
	case plat.TaskStopped:
		m.recordEnd(now, t, ledger.OutcomeEvicted, s.Checkpoint, s.Reason)
	case plat.TaskExpired:
		m.recordEnd(now, t, ledger.OutcomeLost, s.Checkpoint, "lease expired at the worker")
	}
}

// recordEnd appends the record that ends an attempt. Call it only if the attempt has provably ended.
func (m *Machine) recordEnd(now time.Time, t *task, o ledger.Outcome, checkpoint []byte, reason string) {
	m.appendEnd(now, t, ledger.AttemptEnded{Outcome: o, Checkpoint: checkpoint, Reason: reason})
}

func (m *Machine) appendEnd(now time.Time, t *task, end ledger.AttemptEnded) {
	if t.recordPending || !m.permit.Write || !t.state.live() {
		return
	}
	t.recordPending = true
	end.Task, end.Attempt, end.AtMS = t.id, t.attempt, now.UnixMilli()
	m.emit(Append{Records: []ledger.Record{end}})
}

func (m *Machine) attemptEnded(now time.Time, r ledger.AttemptEnded) {
	if !m.apply(r) {
		return
	}
	t := m.tasks[r.Task]
	if t == nil { // apply has removed a retired replica
		m.replicaRemoved(now, r)
		return
	}
	m.releaseWorker(now, t, r)
	m.log("jobs: attempt ended", "task", t.id, "attempt", r.Attempt, "worker", t.worker,
		"outcome", r.Outcome, "state", t.state, "reason", r.Reason)
	t.resetAttempt()
	if t.state == StateWaiting {
		t.notBefore = now.Add(retryDelay(t, r.Outcome))
		m.enqueue(t)
	}
	m.logJobEnd(t.job)
}

// releaseWorker frees the worker and the quota of an ended attempt, and passes its outcome to the placer.
func (m *Machine) releaseWorker(now time.Time, t *task, r ledger.AttemptEnded) {
	w := m.worker(t.worker)
	delete(w.tasks, t.id)
	w.pendingAcks = append(w.pendingAcks, plat.TaskRef{Task: r.Task, Attempt: r.Attempt})
	ref := plat.TaskRef{Task: r.Task, Attempt: r.Attempt}
	switch r.Outcome {
	case ledger.OutcomeSucceeded:
		m.applyPlacement(now, m.placer.Step(now, place.Succeeded{TaskRef: ref, Worker: t.worker}))
	case ledger.OutcomeFailed:
		m.applyPlacement(now, m.placer.Step(now, place.Failed{TaskRef: ref, Worker: t.worker}))
	}
	m.placer.Step(now, place.Ended{TaskRef: ref, Worker: t.worker})
	m.addUsed(t, -1)
	m.placementVersion++
	m.endpointsChanged = m.endpointsChanged || t.job.serviceID != ""
}

// retryDelay returns the delay before the next attempt of a task.
func retryDelay(t *task, o ledger.Outcome) time.Duration {
	switch {
	case o == ledger.OutcomeSucceeded: // a service replica that exited on its own
		return backoffMin
	case o == ledger.OutcomeFailed:
		return min(backoffMin<<min(t.failures-1, 10), backoffMax)
	case o == ledger.OutcomeCrashed:
		return min(backoffMin<<min(max(0, t.crashes-1), 10), backoffMax)
	case o == ledger.OutcomeNotStarted:
		return notStartedBackoff
	}
	return 0
}

func (m *Machine) logJobEnd(j *job) {
	if j.endedMS == 0 || j.serviceID != "" {
		return
	}
	m.log("jobs: job ended", "job", j.spec.Job, "customer", j.spec.Customer, "state", j.state())
}

func (j *job) state() State {
	if j.movedTo != "" {
		return StateMoved
	}
	if j.endedMS == 0 {
		if slices.ContainsFunc(j.tasks, func(t *task) bool { return t.state != StateWaiting }) {
			return StateRunning
		}
		return StateWaiting
	}
	state := StateSucceeded
	for _, t := range j.tasks {
		switch {
		case t.state == StateCancelled:
			return StateCancelled
		case t.state == StateFailed:
			state = StateFailed
		}
	}
	return state
}
