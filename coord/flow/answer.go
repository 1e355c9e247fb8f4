package flow

import (
	"errors"
	"time"

	"lovagefork.example/coord/infra"
)

func (m *Machine) startAnswered(ev StartAnswered) {
	m.placementDue = m.placementDue || m.unansweredStarts >= maxUnanswered
	m.unansweredStarts--
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
		r.confirmedClock = max(r.confirmedClock, ev.Clock)
		return
	case errors.As(ev.Err, &refused):
		m.startRefused(w, r, refused)
	case errors.As(ev.Err, &unsent):
		w.reachable = w.reachable && !unsent.Refused
		m.notStarted(r, "worker not reachable")
	default:
		// The start may have happened, or may still: a report tells of the first, and a stop prevents the second.
		m.emit(Note{Text: "start without an answer", Task: r.id, Run: r.number, Worker: w.ID, Reason: ev.Err.Error()})
		w.unhealthyUntil = m.now.Add(lostOrderPause)
		r.startUnanswered = true
		m.copyRun(r, "start without an answer")
		m.holdNow(w)
	}
}

// lostRest keeps new work away from a worker that left an order unanswered; orders are left out for seconds at a time.
const lostOrderPause = 2 * time.Second

// unhealthyRest keeps new work away from a worker that says it is unhealthy.
const unhealthyPause = time.Second

func (m *Machine) startRefused(w *worker, r *run, refused *infra.RefusedError) {
	m.counts.Refused++
	switch refused.Reason {
	case infra.ReasonFenced:
		m.emit(Resign{Worker: w.ID})
		return
	case infra.ReasonUnhealthy, infra.ReasonNoRoom:
		w.unhealthyUntil = m.now.Add(unhealthyPause)
	case infra.ReasonInstance:
		w.reachable = false
	case infra.ReasonInvalid:
		w.quarantinedUntil = m.now.Add(unhealthyPause)
	case infra.ReasonTicket:
		m.dropTicket(r)
	case infra.ReasonSuperseded, infra.ReasonExpired:
	}
	if r.confirmedClock > 0 {
		return
	}
	m.notStarted(r, string(refused.Reason))
}

// notStarted gives a task back to the queue whose start has certainly not happened and will not.
func (m *Machine) notStarted(r *run, reason string) {
	m.emit(Note{Text: "start refused", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
	m.releaseRun(r)
	m.requeue(r, r.worker.ID)
	m.placementDue = true
}

func (m *Machine) stop(r *run, reason string) {
	if r.state == stopping || r.state == fencing {
		return
	}
	r.state, r.stopReason = stopping, reason
	m.emit(Note{Text: "stop", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
	m.sendStop(r)
}

func (m *Machine) sendStop(r *run) {
	r.nextStop = m.now.Add(stopRetryPause)
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
		m.dropRun(r, "start to a former life is fenced")
		return
	}
	if r.confirmedClock == 0 {
		// A run that was not there yet is rejected from now on; a report after this moment tells whether it was there.
		r.confirmedClock = ev.Clock
		m.holdNow(w)
	}
}

// lookEach is the least pause between two reports of a worker that are asked for at once; each is priced.
const holdNowInterval = 50 * time.Millisecond

// look asks a worker for its report at once, because whether a start has happened cannot be told without it.
func (m *Machine) holdNow(w *worker) {
	if !w.reachable || m.now.Sub(w.heldNowAt) < holdNowInterval {
		return
	}
	w.heldNowAt = m.now
	m.sendHold(w)
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
		m.applyPace(r, fullPace)
	}
}
