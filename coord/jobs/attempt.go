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
		if t != nil && t.reserved != "" && t.attempt+1 == r.Attempt {
			t.pending = false
			m.unreserve(now, t)
		}
		return
	}
	reason := t.reservedFor
	t.resetVolatile()
	m.worker(t.worker).tasks[t.id] = t
	m.pendingStart = append(m.pendingStart, t)
	m.note("place: task placed", "task", t.id, "attempt", t.attempt, "worker", t.worker, "reason", reason)
	if m.permit.Write {
		m.sendStarts(now)
	}
}

// sendStarts sends the starts of durable claims; those that came due while the session had lapsed follow later.
func (m *Machine) sendStarts(now time.Time) {
	due := m.pendingStart
	m.pendingStart = nil
	for _, t := range due {
		switch {
		case t.pending:
			// A report has closed the attempt already, and the record of that is under way.
		case t.state == StateClaimed && !t.sent && !t.job.cancelled && !t.retired:
			m.sendStart(now, t)
		case t.state.live() && !t.sent:
			m.end(now, t, ledger.OutcomeNotStarted, nil, "cancelled before its start")
		}
	}
}

func (m *Machine) sendStart(now time.Time, t *task) {
	w := m.worker(t.worker)
	t.sent, t.startBusy, t.sentEpoch = true, true, m.workerEpoch(w)
	spec := t.job.spec
	m.emit(Start{Worker: w.info, Start: plat.StartRequest{
		TaskRef: t.ref(), Epoch: t.sentEpoch, LeaseMS: TaskLeaseTTL.Milliseconds(), Resources: spec.Resources,
		RunMS: spec.EstimatedMS, Kind: spec.Kind, Checkpoint: t.checkpoint,
	}})
}

func (m *Machine) startDone(now time.Time, ev StartDone) {
	t := m.tasks[ev.Ref.Task]
	if t == nil || t.ref() != ev.Ref || !t.state.live() || t.sentEpoch != ev.Epoch {
		return
	}
	t.startBusy = false
	w := m.worker(t.worker)
	var refused *plat.RefusedError
	var unreachable *plat.UnreachableError
	switch {
	case ev.Err == nil:
		t.mayRunTo = now.Add(TaskLeaseTTL + TaskLeaseMargin)
		m.confirm(now, t)
	case errors.As(ev.Err, &refused):
		m.startRefused(now, w, t, refused)
	case errors.As(ev.Err, &unreachable) && !t.unclear:
		m.notStarted(now, t, ev.Err.Error())
	default:
		t.unclear = true
		t.mayRunTo = now.Add(TaskLeaseTTL + TaskLeaseMargin + unclearExtra)
		m.note("jobs: start unclear", "task", t.id, "attempt", t.attempt, "worker", t.worker, "error", ev.Err)
		m.raiseFence(now, w)
	}
}

func (m *Machine) startRefused(now time.Time, w *worker, t *task, refused *plat.RefusedError) {
	switch {
	case refused.Reason == plat.ReasonStaleEpoch && t.sentEpoch < m.workerEpoch(w):
		// Our own fence overtook the start, which proves that it did not run.
		t.sent = false
		m.pendingStart = append(m.pendingStart, t)
	case refused.Reason == plat.ReasonStaleEpoch:
		m.emit(Superseded{Worker: w.info.ID})
	case t.unclear:
		m.raiseFence(now, w)
	default:
		m.notStarted(now, t, refused.Error())
	}
}

// notStarted closes an attempt whose start had no effect, or sends it again once records are allowed.
func (m *Machine) notStarted(now time.Time, t *task, reason string) {
	if m.permit.Write {
		m.end(now, t, ledger.OutcomeNotStarted, nil, reason)
		return
	}
	t.sent = false
	m.pendingStart = append(m.pendingStart, t)
}

// raiseFence makes the worker refuse every command sent before, and asks what it runs.
func (m *Machine) raiseFence(now time.Time, w *worker) {
	w.fence++
	w.statusAt = now
	m.pollStatus(now, w)
}

// confirm notes that the worker runs the attempt.
func (m *Machine) confirm(now time.Time, t *task) {
	t.inherited, t.unclear = false, false
	if t.confirmed.IsZero() {
		t.confirmed = now
		m.placer.Step(now, place.Started{TaskRef: t.ref(), Worker: t.worker})
		m.note("jobs: task started", "task", t.id, "attempt", t.attempt, "worker", t.worker)
	}
	if t.state == StateClaimed {
		t.state = StateRunning
		m.dirty = m.dirty || t.job.service != ""
	}
	switch {
	case t.job.cancelled || t.retired:
		m.stop(now, t, false)
	case t.state == StateEvicting:
		m.stop(now, t, true)
	}
}

// stop asks the worker to end an attempt; a lost request or answer is repeated by the tick.
func (m *Machine) stop(now time.Time, t *task, checkpoint bool) {
	t.stopKeep = checkpoint
	if t.stopAt.IsZero() {
		t.stopAt = now
	}
	m.sendStop(now, t)
}

func (m *Machine) sendStop(now time.Time, t *task) {
	w := m.worker(t.worker)
	if !m.permit.Write || t.pending || t.stopBusy || t.startBusy || !t.sent || now.Before(t.stopAt) {
		return
	}
	t.stopBusy, t.stopAt = true, now.Add(stopEvery)
	m.emit(Stop{Worker: w.info, Epoch: m.workerEpoch(w), Ref: t.ref(), Checkpoint: t.stopKeep})
}

func (m *Machine) stopDone(now time.Time, ev StopDone) {
	t := m.tasks[ev.Ref.Task]
	if t == nil || t.ref() != ev.Ref || !t.state.live() {
		return
	}
	t.stopBusy = false
	w := m.worker(ev.Worker)
	var refused *plat.RefusedError
	switch {
	case ev.Err == nil:
		m.reported(now, w, t, ev.Status)
	case errors.As(ev.Err, &refused) && refused.Reason == plat.ReasonStaleEpoch:
		if ev.Epoch >= m.workerEpoch(w) {
			m.emit(Superseded{Worker: w.info.ID})
		}
	case errors.As(ev.Err, &refused) && refused.Reason == plat.ReasonUnknownTask:
		m.raiseFence(now, w)
	}
}

// reported takes a worker's word on an attempt that this owner knows.
func (m *Machine) reported(now time.Time, w *worker, t *task, s plat.TaskStatus) {
	if t.worker != w.info.ID {
		return
	}
	switch s.State {
	case plat.TaskRunning:
		m.confirm(now, t)
	case plat.TaskSucceeded:
		m.end(now, t, ledger.OutcomeSucceeded, nil, "")
	case plat.TaskFailed:
		m.end(now, t, ledger.OutcomeFailed, s.Checkpoint, s.Reason)
	case plat.TaskStopped:
		m.end(now, t, ledger.OutcomeEvicted, s.Checkpoint, s.Reason)
	case plat.TaskExpired:
		m.end(now, t, ledger.OutcomeLost, s.Checkpoint, "lease expired at the worker")
	}
}

// end asks for the record that closes an attempt, which has provably ended.
func (m *Machine) end(now time.Time, t *task, o ledger.Outcome, checkpoint []byte, reason string) {
	if t.pending || !m.permit.Write || !t.state.live() {
		return
	}
	t.pending = true
	m.emit(Append{Records: []ledger.Record{ledger.AttemptEnded{
		Task: t.id, Attempt: t.attempt, Outcome: o, Checkpoint: checkpoint, Reason: reason, AtMS: now.UnixMilli(),
	}}})
}

func (m *Machine) attemptEnded(now time.Time, r ledger.AttemptEnded) {
	if !m.apply(r) {
		return
	}
	t := m.tasks[r.Task]
	if t == nil { // a retired replica, which apply has removed
		m.replicaRemoved(now, r)
		return
	}
	m.release(now, t, r)
	m.note("jobs: attempt ended", "task", t.id, "attempt", r.Attempt, "worker", t.worker,
		"outcome", r.Outcome, "state", t.state, "reason", r.Reason)
	t.resetVolatile()
	if t.state == StateWaiting {
		t.notBefore = now.Add(nextDelay(t, r.Outcome))
		m.enqueue(t)
	}
	m.finishJob(t.job)
}

func (m *Machine) release(now time.Time, t *task, r ledger.AttemptEnded) {
	w := m.worker(t.worker)
	delete(w.tasks, t.id)
	w.acks = append(w.acks, plat.TaskRef{Task: r.Task, Attempt: r.Attempt})
	ref := plat.TaskRef{Task: r.Task, Attempt: r.Attempt}
	switch r.Outcome {
	case ledger.OutcomeSucceeded:
		m.act(now, m.placer.Step(now, place.Succeeded{TaskRef: ref, Worker: t.worker}))
	case ledger.OutcomeFailed:
		m.act(now, m.placer.Step(now, place.Failed{TaskRef: ref, Worker: t.worker}))
	}
	m.placer.Step(now, place.Ended{TaskRef: ref, Worker: t.worker})
	m.hold(t, -1)
	m.version++
	m.dirty = m.dirty || t.job.service != ""
}

func nextDelay(t *task, o ledger.Outcome) time.Duration {
	switch {
	case o == ledger.OutcomeSucceeded: // a service replica that has ended although it should not
		return backoffMin
	case o == ledger.OutcomeFailed:
		return min(backoffMin<<min(t.failures-1, 10), backoffMax)
	case o == ledger.OutcomeNotStarted:
		return notStartedDelay
	}
	return 0
}

func (m *Machine) finishJob(j *job) {
	if j.ended == 0 || j.service != "" {
		return
	}
	m.note("jobs: job ended", "job", j.spec.Job, "customer", j.spec.Customer, "state", j.state())
}

func (j *job) state() State {
	if j.movedTo != "" {
		return StateMoved
	}
	if j.ended == 0 {
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
