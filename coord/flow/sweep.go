package flow

import (
	"fmt"
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
	if !w.reachable && !m.leaseUnconfirmed && len(w.runs) > 0 && w.leaseExpired(m.now) {
		m.emit(Log{Text: "lease expired", Worker: w.ID, Reason: fmt.Sprintf(
			"worker unreachable; last report %d ms ago; %d of %d runs were listed; restart announced %t",
			w.reportAge(m.now), w.listedRuns(), len(w.runs), w.unconfirmed != nil,
		)})
		if !w.crashCounted {
			m.rememberRuns(w)
		}
		m.clearWorker(w, "lease expired")
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

// repeatStops sends the stops that are due again, and gives up starts that can no longer be carried out.
func (m *Machine) repeatStops(w *worker) {
	for _, r := range w.sortedRuns() {
		if r.state == stopping && !m.now.Before(r.nextStop) {
			m.sendStop(r)
		}
		if r.state == fencing && m.now.Sub(r.startedAt) > maxOrderDelay {
			m.dropRun(r, "start to a previous incarnation has expired")
		} else if r.state == fencing && w.tokenAccepted && !m.now.Before(r.nextStop) {
			m.sendStop(r)
		}
	}
}
