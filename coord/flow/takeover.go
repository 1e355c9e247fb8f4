package flow

import (
	"fmt"
	"maps"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// WitnessTimeout is how long a scheduler that the store does not confirm may act after most workers have last shown that they
// know no newer one.
const WitnessTimeout = 2500 * time.Millisecond

// Takeover is an election that this process has observed. The schedulers of earlier terms have lost the store at least
// ElectedAgo ago, and if IsFenced is set, most workers of their rosters have rejected them for at least FencedAgo.
type Takeover struct {
	Term       int64
	ElectedAgo time.Duration
	IsFenced   bool
	FencedAgo  time.Duration
}

// leaseBound returns when the lease of a worker has certainly expired if it was renewed by a scheduler that was confirmed
// last at a time, by the store or by most workers.
func (m *Machine) leaseBound(confirmed time.Time) time.Time {
	return confirmed.Add(time.Duration(float64(m.opts.taskLease)*(1+2*maxClockDrift)) + clockMargin)
}

// awaitedUntil returns until when a worker that does not answer may run tasks of a scheduler that was confirmed last at a time. Without
// a confirmation it acts for [WitnessTimeout], and a later life of the worker may carry out its calls late.
func (m *Machine) awaitedUntil(id fleet.WorkerID, confirmed time.Time) time.Time {
	if m.roster[id].Restarted {
		return confirmed.Add(WitnessTimeout + maxOrderDelay + m.longestLease())
	}
	return m.leaseBound(confirmed)
}

// restoreRoster restores the workers on which predecessors may have started tasks, and determines until when the leases that
// they have granted can last.
func (m *Machine) restoreRoster(ev RosterRestored) {
	m.term, m.rosterRestored = ev.Term, true
	m.predecessorEnd = m.now.Add(m.opts.leadershipTimeout)
	if m.electedAt.IsZero() {
		m.electedAt = m.confirmedAt
	}
	for _, e := range ev.Roster {
		if e.RenewedBefore <= 0 || e.RenewedBefore > ev.Term {
			e.RenewedBefore = ev.Term
		}
		m.roster[e.Worker] = e
		m.unreconciledWorkers[e.Worker] = m.lastConfirmation(e.RenewedBefore, ev.Term, ev.Takeovers)
		w := m.workers[e.Worker]
		if w == nil {
			w = m.addWorker(infra.Worker{ID: e.Worker, Address: e.Address, StartedAt: e.StartedAt})
		}
		w.answeredAt, w.isLeaseKnown = e.Address, e.RenewedBefore == ev.Term
	}
	m.storedRoster = witnessIDs(ev.Roster)
	m.predecessorWorkers = len(m.storedRoster)
	if len(ev.Roster) > 0 {
		m.emit(Log{Text: "awaiting the workers of previous schedulers", Reason: m.waitSummary()})
	}
	if len(ev.Roster) > 0 {
		m.rosterDueAt = m.now.Add(rosterSaveInterval)
	}
	m.fencePredecessors()
}

// lastConfirmation returns the latest time at which a scheduler of a term before the given one can have been confirmed; term is
// that of this scheduler.
func (m *Machine) lastConfirmation(before, term int64, takeovers []Takeover) time.Time {
	last := m.predecessorEnd
	for _, t := range takeovers {
		// The terms of a lost record say nothing about those of the roster.
		if t.Term < before || t.Term > term {
			continue
		}
		last = earlier(last, m.now.Add(m.opts.leadershipTimeout-t.ElectedAgo))
		if t.IsFenced {
			last = earlier(last, m.now.Add(-t.FencedAgo))
		}
	}
	return last
}

// maxLease returns the longest lease that may be granted on a worker; it is not positive if there is none. Until the roster
// entry with this scheduler's term is stored, a successor may count from this election, if the worker was renewed until then.
func (m *Machine) maxLease(w *worker) time.Duration {
	confirmed := m.lastConfirmed()
	switch {
	case w.inStoredRoster:
	case w.isLeaseKnown:
		confirmed = earlier(confirmed, m.electedAt)
	default:
		return 0
	}
	return m.opts.taskLease - m.now.Sub(confirmed)
}

// acceptedBy notes that a worker has accepted the token of this scheduler.
func (m *Machine) acceptedBy(w *worker) {
	if e, isKnown := m.roster[w.ID]; !isKnown || e.Joining || m.isFenced {
		return
	}
	m.fencedWorkers[w.ID] = struct{}{}
	m.fencePredecessors()
}

// fencePredecessors ends the wait for silent workers one lease after more than half of the workers in the roster have
// accepted the token. A predecessor that the store does not confirm acts only while more than half of them know no newer
// token, and one of these must be the same worker. Until then no worker leaves the roster, and those that join do not count.
func (m *Machine) fencePredecessors() {
	if m.isFenced || m.predecessorWorkers > 0 && len(m.fencedWorkers) <= m.predecessorWorkers/2 {
		return
	}
	m.isFenced, m.rosterDueAt = true, m.now
	m.predecessorEnd = earlier(m.predecessorEnd, m.now.Add(WitnessTimeout))
	m.shortenWaits(m.now)
	m.emit(Fenced{})
	if m.predecessorWorkers > 0 {
		m.emit(Log{Text: "most workers of the previous schedulers have accepted the token", Reason: m.waitSummary()})
	}
	m.openRoster()
}

// predecessorStopped notes that no predecessor has sent an order since a time.
func (m *Machine) predecessorStopped(at time.Time) {
	m.predecessorEnd = earlier(m.predecessorEnd, at)
	m.shortenWaits(at)
}

// shortenWaits takes into account that no predecessor was confirmed after a time.
func (m *Machine) shortenWaits(confirmed time.Time) {
	for id, known := range m.unreconciledWorkers {
		m.unreconciledWorkers[id] = earlier(known, confirmed)
	}
}

// AwaitedWorkers returns the number of workers that may run tasks which a predecessor started and this scheduler has not seen
// yet.
func (m *Machine) AwaitedWorkers() int { return len(m.unreconciledWorkers) }

// waitSummary states for how many workers the scheduler waits, and for how long at most.
func (m *Machine) waitSummary() string {
	longest := time.Duration(0)
	for id, confirmed := range m.unreconciledWorkers {
		longest = max(longest, m.awaitedUntil(id, confirmed).Sub(m.now))
	}
	return fmt.Sprintf("%d workers are awaited, for at most %d ms", len(m.unreconciledWorkers), longest.Milliseconds())
}

// isRosterOpen reports whether the workers that count may change. Most workers of a roster that has changed need not be
// most workers of that by which a predecessor counts.
func (m *Machine) isRosterOpen() bool { return m.isFenced || !m.now.Before(m.predecessorEnd) }

// openRoster lets the workers that have joined count.
func (m *Machine) openRoster() {
	if m.rosterOpened {
		return
	}
	m.rosterOpened = true
	for _, w := range m.workersByID {
		m.addToRoster(w)
	}
}

// expireUnreconciled stops waiting for the workers on which the leases of all predecessors have expired, except those whose
// ends are not all known, and those on which runs may go on under a lease that this scheduler has renewed.
func (m *Machine) expireUnreconciled() {
	known := len(m.unreconciledWorkers)
	maps.DeleteFunc(m.unreconciledWorkers, func(id fleet.WorkerID, confirmed time.Time) bool {
		w := m.workers[id]
		switch {
		case !m.now.After(m.awaitedUntil(id, confirmed)):
			return false
		case w == nil:
			return true
		case w.clock > 0 && !w.leaseExpired(m.now):
			return false
		}
		return !w.hasMoreEnds || !w.reachable
	})
	if expired := known - len(m.unreconciledWorkers); expired > 0 {
		m.emit(Log{Text: "leases of the previous schedulers have expired", Reason: fmt.Sprintf("on %d workers; %s", expired, m.waitSummary())})
		m.searchAgain()
	}
}

func (m *Machine) isUnreconciled(w *worker) bool {
	_, found := m.unreconciledWorkers[w.ID]
	return found
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
