package flow

import (
	"errors"
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

func (m *Machine) startAnswered(ev StartAnswered) {
	m.placementDue = m.placementDue || m.tooManyUnanswered() || m.linkFull
	m.unansweredStarts--
	if ev.Via != "" {
		m.unansweredRelayed--
	}
	var refused *infra.RefusedError
	m.settle(startID{ev.Order.Task, ev.Order.Run}, ev.Err == nil || errors.As(ev.Err, &refused))
	isRelayTrusted := m.isTrusted(ev.Via)
	m.judgeRelay(ev.Via, ev.Err)
	if ev.Err == nil {
		m.noteStarted(ev.Order.Task.Job)
	}
	w := m.workers[ev.Worker]
	if w == nil {
		return
	}
	m.startSettled(w)
	r := w.runs[ev.Order.Task]
	if r == nil || r.number != ev.Order.Run {
		return
	}
	var unsent *infra.NotSentError
	var unrelayed *RelayError
	switch {
	case ev.Err == nil:
		if r.state == starting {
			r.state = running
		}
		r.confirmedClock = max(r.confirmedClock, ev.Clock)
		m.observeRun(r, ev.Clock)
		if w.isOtherClock(ev.Clock) {
			m.beganElsewhere(r, fmt.Sprintf("the answer has the clock %d, the last report had %d", ev.Clock, w.clock))
			if !w.sawOtherClock {
				w.sawOtherClock = true
				m.noteRestart(w)
				m.sendRenewal(w)
			}
		}
		return
	case errors.As(ev.Err, &refused):
		m.startRefused(w, r, refused)
	case errors.As(ev.Err, &unrelayed) && unrelayed.NotSent:
		m.notStarted(r, unrelayed.Error(), "")
	case errors.As(ev.Err, &unsent):
		m.notStarted(r, "worker unreachable", w.ID)
		if w.reachable && unsent.ConnRefused {
			w.reachable, w.unreachableSince = false, m.now
			m.loseRuns(w, w.suspects())
		}
	default:
		// The start may have been carried out or may still be. A report shows the former, and a stop prevents the
		// latter.
		m.emit(Log{Text: "start not answered", Task: r.id, Run: r.number, Worker: w.ID, Reason: ev.Err.Error()})
		// A relay that is cut off from the workers finds all of them silent.
		if unrelayed == nil && isRelayTrusted {
			w.unhealthyUntil = m.now.Add(lostOrderPause)
		}
		r.startUnanswered = true
		if _, t := m.lookupTask(r.id); t != nil && m.link.hasRoom(startBytes(r.occ.job, t)) {
			m.copyRun(r, "start not answered")
		}
		m.sendImmediateRenewal(w)
	}
}

// beganElsewhere notes that another life of a worker than the one meant has carried out a start.
func (m *Machine) beganElsewhere(r *run, reason string) {
	m.counts.OtherLife++
	m.emit(Log{Text: "start reached another life", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
}

// startSettled notes that one start of a worker less is without an answer. The worker may be listed anew since the start was sent.
func (m *Machine) startSettled(w *worker) {
	if w.unansweredStarts == m.maxUnansweredOf() {
		m.markChanged(w)
		m.placementDue = true
	}
	w.unansweredStarts = max(0, w.unansweredStarts-1)
}

// judgeRelay puts a relay aside that has not sent a start or got no answer.
func (m *Machine) judgeRelay(relay fleet.EntryHostID, err error) {
	var unrelayed *RelayError
	var refused *infra.RefusedError
	switch {
	case errors.As(err, &unrelayed):
		m.counts.RelayFailures++
		pause := relayPause
		if unrelayed.NotSent {
			pause = relayDoubtPause
		}
		m.rest(relay, pause)
	case relay == "":
	case err != nil && !errors.As(err, &refused):
		m.rest(relay, relayDoubtPause)
	default:
		m.relayWorks(relay)
	}
}

// lostOrderPause is how long a worker takes no new tasks after an unanswered order. Workers fail to answer for seconds
// at a time.
const lostOrderPause = 2 * time.Second

// unhealthyPause is how long a worker takes no new tasks after it reported that it is unhealthy.
const unhealthyPause = time.Second

func (m *Machine) startRefused(w *worker, r *run, refused *infra.RefusedError) {
	m.counts.Refused++
	switch refused.Reason {
	case infra.ReasonFenced:
		if m.isFencedBySuccessor(w, r.token) {
			m.emit(Resign{Worker: w.ID})
			return
		}
	case infra.ReasonUnhealthy, infra.ReasonNoRoom:
		w.unhealthyUntil = m.now.Add(unhealthyPause)
	case infra.ReasonInstance:
		w.reachable, w.unreachableSince = false, m.now
	case infra.ReasonInvalid:
		w.quarantinedUntil = m.now.Add(unhealthyPause)
	case infra.ReasonTicket:
		m.ticketRejected(r)
	case infra.ReasonSuperseded, infra.ReasonExpired:
	}
	if r.confirmedClock > 0 {
		return
	}
	m.notStarted(r, string(refused.Reason), w.ID)
}

// notStarted requeues a task whose start has definitely not been carried out and will not be; avoid is the worker to blame, if
// any.
func (m *Machine) notStarted(r *run, reason string, avoid fleet.WorkerID) {
	m.emit(Log{Text: "task not started", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
	m.dropLostRun(r)
	m.releaseRun(r)
	m.requeue(r, avoid)
	m.searchAgain()
}

func (m *Machine) stop(r *run, reason string) {
	if r.state == stopping || r.state == fencing {
		return
	}
	r.state, r.stopReason = stopping, reason
	m.emit(Log{Text: "stop", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
	m.sendStop(r)
}

func (m *Machine) sendStop(r *run) {
	r.nextStop = m.now.Add(stopRetryPause)
	m.emit(Stop{To: r.worker.address(), Order: infra.StopOrder{Task: r.id, Run: r.number, Token: r.worker.token}})
}

func (m *Machine) stopAnswered(ev StopAnswered) {
	w := m.workers[ev.Worker]
	if w == nil {
		return
	}
	var refused *infra.RefusedError
	if errors.As(ev.Err, &refused) && refused.Reason == infra.ReasonFenced {
		if m.isFencedBySuccessor(w, ev.Order.Token) {
			m.emit(Resign{Worker: w.ID})
		}
		return
	}
	if ev.Err == nil {
		m.lateStartStopped(w, ev.Order)
	}
	r := w.runs[ev.Order.Task]
	if r == nil || r.number != ev.Order.Run || ev.Err != nil {
		return
	}
	if r.state == fencing {
		// The new incarnation rejects the start from now on, but it may have carried it out before.
		r.state, r.confirmedClock = stopping, 0
	}
	if r.confirmedClock == 0 {
		// From now on the worker rejects a start that it had not received; the next report shows whether it had.
		r.confirmedClock = ev.Clock
		m.sendImmediateRenewal(w)
	}
}

// immediateRenewalInterval is the minimum pause between two immediate renewals of a worker, since each call has a cost.
const immediateRenewalInterval = 50 * time.Millisecond

// sendImmediateRenewal sends a [Renew] at once, because only a report shows whether a start was carried out.
func (m *Machine) sendImmediateRenewal(w *worker) {
	if !w.reachable || m.now.Sub(w.immediateRenewalAt) < immediateRenewalInterval {
		return
	}
	w.immediateRenewalAt = m.now
	m.sendRenewal(w)
}

func (m *Machine) throttleAnswered(ev ThrottleAnswered) {
	w := m.workers[ev.Worker]
	if w == nil || ev.Err == nil {
		return
	}
	var refused *infra.RefusedError
	if errors.As(ev.Err, &refused) && refused.Reason == infra.ReasonFenced && m.isFencedBySuccessor(w, ev.Order.Token) {
		m.emit(Resign{Worker: ev.Worker})
		return
	}
	if r := w.runs[ev.Order.Task]; r != nil && r.number == ev.Order.Run && r.speedPercent == ev.Order.SpeedPercent {
		// It is unknown whether the order was carried out. Full speed, which disturbs others most, is assumed until the
		// order is repeated.
		m.applySpeed(r, fullSpeedPercent)
		r.throttleFailed = true
	}
}
