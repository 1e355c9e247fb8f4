package serve

import (
	"net/http"
	"time"

	"lovagefork.example/coord/admit"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/route"
)

// maxAttempts bounds how often a request is sent.
const maxAttempts = 3

// dispatch sends queued requests while there are slots for them.
func (m *Machine) dispatch(now time.Time) []Effect {
	var effects []Effect
	for {
		it, ok := m.admits.Next(now, func(it admit.Item) bool { return m.canRun(now, it) })
		if !ok {
			return effects
		}
		effects = append(effects, m.run(now, m.requests[it.ID])...)
	}
}

// canRun remembers flows without a free slot until a slot may have become free.
func (m *Machine) canRun(now time.Time, it admit.Item) bool {
	if m.blocked[it.Flow] {
		return false
	}
	for _, id := range m.backends.of(it.Flow.Service) {
		if m.free(now, id, it.Deadline) > 0 && m.routes.Eligible(now, id) {
			return true
		}
	}
	m.blocked[it.Flow] = true
	return false
}

func (m *Machine) unblock() { clear(m.blocked) }

func (m *Machine) free(now time.Time, id fleet.WorkerID, until time.Time) int {
	own, borrowed := m.grants.FreeSlots(now, id, until)
	return own + borrowed
}

func (m *Machine) choose(now time.Time, r *request) (route.Choice, bool) {
	var candidates []route.Candidate
	for _, id := range m.backends.of(r.Service) {
		if n := m.free(now, id, r.Deadline); n > 0 {
			candidates = append(candidates, route.Candidate{Worker: id, Free: n})
		}
	}
	return m.routes.Choose(now, candidates)
}

// run sends a request that was taken from its queue.
func (m *Machine) run(now time.Time, r *request) []Effect {
	effects, ok := m.try(now, r)
	if !ok {
		m.blocked[m.flow(now, r.Request)] = true
		m.admits.Step(now, admit.Requeue{Item: m.item(now, r.Request)})
	}
	return effects
}

// try sends a request if a backend server has a free slot for it.
func (m *Machine) try(now time.Time, r *request) ([]Effect, bool) {
	choice, ok := m.choose(now, r)
	if !ok {
		return nil, false
	}
	taken, ok := m.grants.Step(now, grant.Acquire{Ticket: r.ID, Worker: choice.Worker, Until: r.Deadline})[0].(grant.Acquired)
	if !ok {
		return nil, false
	}
	m.routes.Step(now, route.Started{Worker: choice.Worker})
	r.phase, r.worker = sending, choice.Worker
	r.attempt++
	r.sends++
	if r.sends == 1 {
		m.retries.deposit()
	}
	share := m.grants.Share(choice.Worker)
	reason := choice.Reason
	if taken.Loan != "" {
		reason += ", borrowed slot " + taken.Loan
	}
	return []Effect{Send{
		Request: r.Request, Attempt: r.attempt, Worker: m.backends.workers[choice.Worker],
		// A non-idempotent request gets a connection of its own: net/http may send a request again when a kept
		// connection turns out to be closed.
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
	m.grants.Step(now, grant.Release{Ticket: r.ID, Aborted: ev.Result == Broken})
	effects := m.score(now, r, ev)
	m.unblock()
	switch ev.Result {
	case Answered:
		m.costs.add(now, r.Service, ev.Latency)
		r.touched = true
		if ev.Status == http.StatusServiceUnavailable && m.requeue(now, r) {
			break
		}
		effects = append(effects, m.finish(now, r, Answer{
			ID: r.ID, Attempt: ev.Attempt, Outcome: Ran, Reason: "answered", Status: ev.Status,
		})...)
	case Broken:
		r.touched = true
		effects = append(effects, m.again(now, r, "no_answer")...)
	case NotSent:
		effects = append(effects, m.again(now, r, "backend_unreachable")...)
	}
	return append(effects, m.dispatch(now)...)
}

// score tells the selection how the worker did. An attempt that its caller gave up says nothing about the worker.
func (m *Machine) score(now time.Time, r *request, ev AttemptEnded) []Effect {
	ended := route.Ended{
		Worker: r.worker, Latency: ev.Latency,
		Failed:  ev.Result != Answered || unhealthy(ev.Status),
		Ignored: r.answered && ev.Result != Answered,
	}
	var effects []Effect
	for _, e := range m.routes.Step(now, ended) {
		if e, ok := e.(route.Ejected); ok {
			effects = append(effects, Ejected{Worker: e.Worker, For: e.For, Reason: e.Reason})
		}
	}
	return effects
}

// unhealthy reports the statuses by which a server says that it cannot serve, not that the request is wrong.
func unhealthy(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable
}

// again queues a request for another attempt, or ends it.
func (m *Machine) again(now time.Time, r *request, reason string) []Effect {
	if m.requeue(now, r) {
		return nil
	}
	return m.finish(now, r, m.failure(r, reason))
}

// requeue queues a request for another attempt if that is safe, timely and within the retry budget.
func (m *Machine) requeue(now time.Time, r *request) bool {
	safe := !r.NonIdempotent || !r.touched
	timely := now.Add(m.costs.of(r.Service)).Before(r.Deadline)
	if r.answered || r.Forwarded || !safe || !timely || r.sends >= maxAttempts || !m.retries.withdraw() {
		return false
	}
	r.phase = queued
	m.admits.Step(now, admit.Requeue{Item: m.item(now, r.Request)})
	return true
}

func (m *Machine) failure(r *request, reason string) Answer {
	outcome := r.untouched()
	status := http.StatusServiceUnavailable
	if outcome == Unknown {
		status = http.StatusBadGateway
	}
	return Answer{ID: r.ID, Outcome: outcome, Reason: reason, Status: status, RetryAfter: time.Second}
}

// streamStarted answers the caller while the attempt still holds its slot.
func (m *Machine) streamStarted(ev StreamStarted) []Effect {
	r := m.requests[ev.ID]
	if r == nil || r.phase != sending || r.attempt != ev.Attempt || r.answered {
		return nil
	}
	r.answered, r.touched = true, true
	return []Effect{Answer{ID: r.ID, Attempt: ev.Attempt, Outcome: Ran, Reason: "streamed", Status: ev.Status}}
}

func (m *Machine) callerGone(now time.Time, id uint64) []Effect {
	r := m.requests[id]
	if r == nil {
		return nil
	}
	r.answered = true
	switch r.phase {
	case queued:
		m.admits.Step(now, admit.Withdraw{ID: id})
		return m.finish(now, r, Answer{Outcome: r.untouched()})
	case claiming:
		return m.finish(now, r, Answer{Outcome: NotRun})
	}
	return []Effect{Cancel{ID: id, Attempt: r.attempt}}
}
