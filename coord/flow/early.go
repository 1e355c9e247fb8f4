package flow

import "lovagefork.example/coord/infra"

// renewBeforeJobs renews the leases that are due while the jobs are being read. Nothing else is decided until then, and of a
// report only the clock and the acceptance of the token count: the worker lists its runs and ends again.
func (m *Machine) renewBeforeJobs() {
	if m.needsWitnesses() {
		m.countWitnesses()
	}
	if m.isRosterOpen() {
		m.openRoster()
	}
	m.sendDueRenewals()
}

// renewedBeforeJobs schedules the next renewal of a worker that has answered one before the jobs are known. Reports share the
// link with the jobs, so that a lease is renewed when half of it is left.
func (m *Machine) renewedBeforeJobs(w *worker, order infra.RenewOrder) {
	lease := m.maxLease(w)
	switch {
	case lease <= 0:
		w.nextRenewal = m.now.Add(renewUnsavedPause)
	case order.Deadline == 0:
		m.sendRenewal(w)
	default:
		w.nextRenewal = m.now.Add(lease / 2)
	}
}

// resumeReports requests a report of each worker at once, now that the jobs are known.
func (m *Machine) resumeReports() {
	for _, w := range m.workersByID {
		w.nextRenewal, w.secondReportDue = m.now, true
	}
}
