package serve

import (
	"net/http"
	"time"

	"lovagefork.example/coord/admit"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/route"
)

// maxAttempts is the maximum number of times that a request is sent.
const maxAttempts = 3

// dispatch sends queued requests until none of them has a free slot.
func (m *Machine) dispatch(now time.Time) []Effect {
	var effects []Effect
	for {
		it, ok := m.admission.Next(now, func(it admit.Item) bool { return m.canRun(now, it) })
		if !ok {
			return effects
		}
		r := m.requests[it.ID]
		if rejected, paused := m.rejectPaused(now, r); paused {
			effects = append(effects, rejected...)
			continue
		}
		effects = append(effects, m.sendOrRequeue(now, r)...)
	}
}

// canRun reports whether an eligible worker has a free slot for the request. It marks a flow without one as blocked,
// which saves the search for the flow's other requests until [Machine.unblock].
func (m *Machine) canRun(now time.Time, it admit.Item) bool {
	if m.blockedFlows[it.Flow] {
		return false
	}
	for _, id := range m.backends.workersFor(it.Flow.Service) {
		if m.freeSlots(now, id, it.Deadline) > 0 && m.router.Eligible(now, id) {
			return true
		}
	}
	m.blockedFlows[it.Flow] = true
	return false
}

// unblock clears the marks of canRun after an event that may have freed a slot.
func (m *Machine) unblock() { clear(m.blockedFlows) }

func (m *Machine) freeSlots(now time.Time, id fleet.WorkerID, until time.Time) int {
	own, borrowed := m.grants.FreeSlots(now, id, until)
	return own + borrowed
}

func (m *Machine) chooseWorker(now time.Time, r *request) (route.Choice, bool) {
	var candidates []route.Candidate
	for _, id := range m.backends.workersFor(r.Service) {
		if n := m.freeSlots(now, id, r.Deadline); n > 0 {
			candidates = append(candidates, route.Candidate{Worker: id, FreeSlots: n})
		}
	}
	return m.router.Choose(now, candidates)
}

// sendOrRequeue sends a request that was taken from its queue, or puts it back if no slot is free.
func (m *Machine) sendOrRequeue(now time.Time, r *request) []Effect {
	effects, ok := m.trySend(now, r)
	if !ok {
		m.blockedFlows[m.flowOf(now, r.Request)] = true
		m.admission.Step(now, admit.Requeue{Item: m.item(now, r.Request)})
	}
	return effects
}

// trySend sends a request if a backend server has a free slot for it, and reports whether it did.
func (m *Machine) trySend(now time.Time, r *request) ([]Effect, bool) {
	choice, ok := m.chooseWorker(now, r)
	if !ok {
		return nil, false
	}
	taken, ok := m.grants.Step(now, grant.Acquire{Ticket: r.ID, Worker: choice.Worker, Until: r.Deadline})[0].(grant.Acquired)
	if !ok {
		return nil, false
	}
	m.router.Step(now, route.Started{Worker: choice.Worker})
	r.phase, r.worker = sending, choice.Worker
	r.attempt++
	r.sends++
	if r.sends == 1 {
		m.retryBudget.deposit()
	}
	share := m.grants.Share(choice.Worker)
	reason := choice.Reason
	if taken.Loan != "" {
		reason += ", borrowed slot " + taken.Loan
	}
	return []Effect{Send{
		Request: r.Request, Attempt: r.attempt, Worker: m.backends.workers[choice.Worker],
		// Non-idempotent requests do not reuse connections: net/http may resend a request if a kept-alive connection
		// turns out to be closed.
		KeepAlive:   taken.Loan == "" && share.KeepAlive() && !r.NonIdempotent,
		Connections: share.Slots,
		Reason:      reason,
	}}, true
}

func (m *Machine) attemptEnded(now time.Time, ev AttemptEnded) []Effect {
	r := m.requests[ev.ID]
	if r == nil || r.phase != sending || r.attempt != ev.Attempt {
		return nil
	}
	m.grants.Step(now, grant.Release{Ticket: r.ID, Aborted: ev.Result == ResultInterrupted})
	effects := m.recordAttempt(now, r, ev)
	switch {
	case ev.Result == ResultCompleted:
		m.crashes.answered(r.Request)
	case ev.Result == ResultInterrupted && !r.callerDone && now.Before(r.Deadline):
		m.crashes.brokenOff(now, r)
		r.tests = false
	}
	m.unblock()
	switch ev.Result {
	case ResultCompleted:
		m.costs.addSample(now, r.Service, ev.Latency)
		r.mayHaveRun = true
		if ev.Status == http.StatusServiceUnavailable && m.tryRequeue(now, r) {
			break
		}
		effects = append(effects, m.finish(now, r, Response{
			ID: r.ID, Attempt: ev.Attempt, Outcome: OutcomeRan, Reason: "answered", Status: ev.Status,
		})...)
	case ResultInterrupted:
		r.mayHaveRun = true
		effects = append(effects, m.retryOrFail(now, r, "no_answer")...)
	case ResultNotSent:
		effects = append(effects, m.retryOrFail(now, r, "backend_unreachable")...)
	}
	return append(effects, m.dispatch(now)...)
}

// recordAttempt reports the result of an attempt to the worker selection, which may eject the worker. An attempt that
// ended without a complete response after its caller disconnected does not count, since the caller caused its end.
func (m *Machine) recordAttempt(now time.Time, r *request, ev AttemptEnded) []Effect {
	ended := route.Ended{
		Worker: r.worker, Latency: ev.Latency,
		Failed:  ev.Result != ResultCompleted || indicatesUnhealthy(ev.Status),
		Ignored: r.callerDone && ev.Result != ResultCompleted,
	}
	var effects []Effect
	for _, e := range m.router.Step(now, ended) {
		if e, ok := e.(route.Ejected); ok {
			effects = append(effects, Ejected{Worker: e.Worker, For: e.For, Reason: e.Reason})
		}
	}
	return effects
}

// indicatesUnhealthy reports whether an HTTP status means that the server cannot serve requests, as opposed to a fault
// of the request or of its handler.
func indicatesUnhealthy(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable
}

// retryOrFail queues a request for another attempt, or ends it if it must not be retried.
func (m *Machine) retryOrFail(now time.Time, r *request, reason string) []Effect {
	if m.tryRequeue(now, r) {
		return nil
	}
	return m.finish(now, r, m.failureResponse(r, reason))
}

// tryRequeue queues a request for another attempt and reports whether it did. A retry must be within the retry budget
// and have enough time until the deadline, and a non-idempotent request is retried only if no earlier attempt can have
// run.
func (m *Machine) tryRequeue(now time.Time, r *request) bool {
	repeatable := !r.NonIdempotent || !r.mayHaveRun
	inTime := now.Add(m.costs.estimate(r.Service)).Before(r.Deadline)
	if r.callerDone || r.Forwarded || !repeatable || !inTime || r.sends >= maxAttempts || !m.retryBudget.withdraw() {
		return false
	}
	r.phase = queued
	m.admission.Step(now, admit.Requeue{Item: m.item(now, r.Request)})
	return true
}

func (m *Machine) failureResponse(r *request, reason string) Response {
	outcome := r.unansweredOutcome()
	status := http.StatusServiceUnavailable
	if outcome == OutcomeUnknown {
		status = http.StatusBadGateway
	}
	return Response{ID: r.ID, Outcome: outcome, Reason: reason, Status: status, RetryAfter: time.Second}
}

// streamStarted responds to the caller; the attempt keeps its slot until it ends.
func (m *Machine) streamStarted(ev StreamStarted) []Effect {
	r := m.requests[ev.ID]
	if r == nil || r.phase != sending || r.attempt != ev.Attempt || r.callerDone {
		return nil
	}
	r.callerDone, r.mayHaveRun = true, true
	return []Effect{Response{ID: r.ID, Attempt: ev.Attempt, Outcome: OutcomeRan, Reason: "streamed", Status: ev.Status}}
}

func (m *Machine) callerDisconnected(now time.Time, id uint64) []Effect {
	r := m.requests[id]
	if r == nil {
		return nil
	}
	r.callerDone = true
	switch r.phase {
	case queued:
		m.admission.Step(now, admit.Withdraw{ID: id})
		return m.finish(now, r, Response{Outcome: r.unansweredOutcome()})
	case claiming:
		return m.finish(now, r, Response{Outcome: OutcomeNotRun})
	}
	return []Effect{Cancel{ID: id, Attempt: r.attempt}}
}
