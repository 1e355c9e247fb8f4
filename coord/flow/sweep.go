package flow

import (
	"slices"
	"time"
)

// tick advances time and starts the work that is due: the sweep, placement and saving.
func (m *Machine) tick(wall time.Time) {
	m.wall, m.wallAt = wall, m.now
	if !m.rosterRestored {
		return
	}
	if m.now.Sub(m.sweptAt) >= sweepInterval {
		m.sweptAt = m.now
		if m.restored {
			m.sweep()
		} else {
			m.renewBeforeJobs()
		}
	}
	if !m.restored {
		m.save()
		return
	}
	if m.placementDue && m.now.Sub(m.placedAt) >= placeInterval {
		m.placedAt = m.now
		m.place()
	}
	m.save()
}

// sweep handles everything that changes only with time: due renewals and occurrences, repeated stops, and expired
// leases.
func (m *Machine) sweep() {
	for _, j := range m.scheduledJobs {
		m.createDueOccurrences(j)
	}
	// While another scheduler may have been elected, it may also have renewed the leases.
	if m.needsWitnesses() {
		m.countWitnesses()
	}
	if len(m.unreconciledWorkers) > 0 && !m.leaseUnconfirmed {
		m.expireUnreconciled()
	}
	if m.isRosterOpen() {
		m.openRoster()
	}
	m.sendDueRenewals()
	for _, w := range m.workersByID {
		m.tickWorker(w)
	}
	m.sweepLateStarts()
	m.pruneLostLives()
	m.lookUpJobs()
	m.expire()
	m.expireEarlyCancels()
	m.adjustFillers()
	m.logSummary()
	m.reportWaits()
	m.interferenceDirty = m.interferenceDirty || len(m.interferenceModels) > 0 && m.now.Sub(m.interferenceSavedAt) >= interferenceSaveInterval
	if len(m.readySteps) > 0 && (m.linkFull || m.now.Sub(m.placedAt) >= placeRetryInterval) {
		m.placementDue = true
	}
}

func (m *Machine) tickWorker(w *worker) {
	if w.tokenAccepted && !w.leadershipConfirmed && !m.leaseUnconfirmed {
		w.leadershipConfirmed = true
		m.searchAgain()
	}
	// While another scheduler may have been elected, it may also have renewed the lease.
	if !w.reachable && !m.leaseUnconfirmed {
		m.expireRuns(w)
	}
	m.probeTrial(w)
	m.evacuate(w)
	w.decaySpeed(m.now)
	if slices.ContainsFunc(w.runsByTask, func(r *run) bool { return r.state == stopping || r.state == fencing }) {
		m.repeatStops(w)
	}
	if !m.rosterOpened || !m.isForgettable(w) {
		return
	}
	if w.Draining {
		m.removeFromRoster(w, "drained")
	}
	if !w.listed && !w.renewalInFlight {
		m.removeWorker(w)
	}
}

// isRenewalDue reports whether a renewal must be sent to a worker.
func (m *Machine) isRenewalDue(w *worker) bool {
	return !w.renewalInFlight && !m.now.Before(w.nextRenewal) && (w.listed || !m.isForgettable(w))
}

// repeatStops sends the stops that are due again, until reports can show what became of starts to earlier lives.
func (m *Machine) repeatStops(w *worker) {
	for _, r := range w.sortedRuns() {
		if r.state == stopping && !m.now.Before(r.nextStop) {
			m.sendStop(r)
		}
		switch {
		case r.state != fencing || !w.tokenAccepted || !w.reachable:
		case m.now.Sub(r.startedAt) > maxOrderDelay:
			// The start can no longer be carried out, and the next reports show whether it was.
			r.state, r.confirmedClock = running, w.maxClock(m.now)
		case !m.now.Before(r.nextStop):
			m.sendStop(r)
		}
	}
}
