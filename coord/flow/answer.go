package flow

import (
	"errors"
	"time"

	"lovagefork.example/coord/infra"
)

func (m *Machine) startAnswered(ev StartAnswered) {
	m.placeNext = m.placeNext || m.unanswered >= maxUnanswered
	m.unanswered--
	w := m.workers[ev.Worker]
	if w == nil {
		return
	}
	r := w.runs[ev.Order.Task]
	if r == nil || r.number != ev.Order.Run {
		return
	}
	var refused *infra.RefusedError
	var unsent *infra.NotSentError
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
		w.reachable = w.reachable && !unsent.ConnRefused
		m.notStarted(r, "worker not reachable")
	default:
		// The start may have happened, or may still: a report tells of the first, and a stop prevents the second.
		m.emit(Log{Text: "start without an answer", Task: r.id, Run: r.number, Worker: w.ID, Reason: ev.Err.Error()})
		w.unhealthyUntil = m.now.Add(lostRest)
		r.lost = true
		m.copyRun(r, "start without an answer")
		m.look(w)
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
	m.emit(Log{Text: "start refused", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
	m.release(r)
	m.requeue(r, r.worker.ID)
	m.placeNext = true
}

func (m *Machine) stop(r *run, reason string) {
	if r.state == stopping || r.state == fencing {
		return
	}
	r.state, r.reason = stopping, reason
	m.emit(Log{Text: "stop", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
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
		m.look(w)
	}
}

// lookEach is the least pause between two reports of a worker that are asked for at once; each is priced.
const lookEach = 50 * time.Millisecond

// look asks a worker for its report at once, because whether a start has happened cannot be told without it.
func (m *Machine) look(w *worker) {
	if !w.reachable || m.now.Sub(w.lookedAt) < lookEach {
		return
	}
	w.lookedAt = m.now
	m.hold(w)
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
	if r := w.runs[ev.Order.Task]; r != nil && r.number == ev.Order.Run && r.pace == ev.Order.SpeedPercent {
		// Whether the order was carried out is not known; full speed is assumed, and the next look slows the run again.
		m.assumePace(r, fullPace)
	}
}
