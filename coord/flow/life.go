package flow

import (
	"fmt"
	"slices"
	"time"

	"lovagefork.example/coord/infra"
)

// A worker that starts again under its ID begins another life: it knows neither runs nor tokens, and its clock and its numbers of
// ends start anew. Calls name the worker by its ID only, so that its next life carries out those that were still on their way.

const (
	// maxOrderDelay exceeds the 12 s for which an unanswered order may still be carried out according to the platform.
	maxOrderDelay = 13 * time.Second
	// renewalTransit is how long a renewal may take to its worker, unless it is carried out late.
	renewalTransit = 700 * time.Millisecond
)

const (
	// OrderTimeout bounds a start, stop or throttle order that need not wait for the link, see [MaxLinkDelay]. A round trip
	// between zones takes up to 10 ms; the timeout allows for one retransmitted packet.
	OrderTimeout = 400 * time.Millisecond
	// RelayBudget is how long after its dispatch a relay may send a start, which includes a read of the spec.
	RelayBudget = 500 * time.Millisecond
)

// startTransit returns how long a start may take to its worker, unless it is carried out late.
func (m *Machine) startTransit(via *lane) time.Duration {
	transit := OrderTimeout + MaxLinkDelay(m.opts.linkBitsPerSecond)
	if via != m.link {
		transit += RelayBudget
	}
	return transit
}

// raiseToken lets the next order to a worker carry a higher token than those before it, so that the life which accepts it rejects
// all calls that were meant for an earlier one. It must stay below the token of any successor; until the store has confirmed the
// leadership at a higher revision, the token remains as it is.
func (m *Machine) raiseToken(w *worker) {
	if w.tokenUsed && w.token < m.maxToken {
		w.token++
		w.tokenUsed = false
	}
}

// isFencedBySuccessor reports whether only a successor can have fenced an order with a token. An order with a lower token than the
// present one was overtaken by an order of this scheduler.
func (m *Machine) isFencedBySuccessor(w *worker, token infra.Token) bool { return token >= w.token }

// hasFenced reports whether the present life of a worker has accepted a higher token than that of a start, which it then rejects.
func (w *worker) hasFenced(r *run) bool { return r.token > 0 && r.token < w.acceptedToken }

// longestLease returns for how long runs can last after the last call that has reached their worker, whatever deadline it had.
func (m *Machine) longestLease() time.Duration {
	return time.Duration(float64(m.opts.maxLease)/(1-maxClockDrift)) + clockMargin
}

// noteRestart records that a later life of a worker is known which has not answered, also for a successor.
func (m *Machine) noteRestart(w *worker) {
	if e, found := m.roster[w.ID]; found && !e.Restarted {
		e.Restarted = true
		m.roster[w.ID], m.rosterDirty = e, true
	}
}

// noteReach records until when a call that prolongs leases may have reached a worker, unless it is carried out late.
func (w *worker) noteReach(until time.Time) { w.reachedBy = later(w.reachedBy, until) }

// maxStepPause is the longest pause between two events while the scheduler's host is not suspended. It ticks every 10 ms.
const maxStepPause = 500 * time.Millisecond

// noteSuspension takes into account that calls which were on their way when the scheduler's host was suspended may go out after it.
func (m *Machine) noteSuspension(now time.Time) {
	pause := now.Sub(m.now)
	if m.now.IsZero() || pause <= maxStepPause {
		return
	}
	for _, w := range m.workersByID {
		if w.reachedBy.After(m.now) {
			w.reachedBy = w.reachedBy.Add(pause)
		}
	}
}

// beginLife determines the lease of a life that has answered for the first time, which calls for another one may have prolonged.
func (m *Machine) beginLife(w *worker) {
	w.leaseEnd = max(w.leaseEnd, w.maxClock(m.now)+m.opts.maxLease.Milliseconds())
}

// hasLapsed reports whether a run on a worker that does not answer has certainly ended. If a report of the present life has listed
// it, the run ends with the lease of that life. Any other may have begun in a later one, and late if there is a sign of one.
func (m *Machine) hasLapsed(r *run) bool {
	w := r.worker
	switch {
	case r.listedClock > 0:
		return w.leaseExpired(m.now)
	case w.clock > 0 && !w.leaseExpired(m.now):
		return false
	}
	until := w.reachedBy.Add(m.longestLease())
	if r.state == fencing || w.mayHaveRestarted() || !w.tokenAccepted {
		until = until.Add(maxOrderDelay)
	}
	return m.now.After(until)
}

// expireRuns drops the runs of an unreachable worker that have certainly ended.
func (m *Machine) expireRuns(w *worker) {
	if !slices.ContainsFunc(w.runsByTask, m.hasLapsed) {
		return
	}
	lapsed := slices.DeleteFunc(w.sortedRuns(), func(r *run) bool { return !m.hasLapsed(r) })
	m.emit(Log{Text: "lease expired", Worker: w.ID, Reason: fmt.Sprintf(
		"worker unreachable; last report %d ms ago; %d of %d runs were listed, %d have ended; restart announced %t",
		w.reportAge(m.now), w.listedRuns(), len(w.runs), len(lapsed), w.unconfirmed != nil,
	)})
	m.loseRuns(w, lapsed)
	m.clearRuns(w, lapsed, "lease expired")
}
