package flow

import (
	"fmt"
	"time"
)

const (
	// waitReportTime is how long a long-running step waits before its wait is reported.
	waitReportTime = 4 * time.Second
	// waitCheckInterval is the interval of the checks for such steps, and waitReportInterval the pause between two
	// reports about the same step.
	waitCheckInterval  = time.Second
	waitReportInterval = 5 * time.Second
	// maxWaitReports limits the reports of one check. Under overload hundreds of steps wait for the same reason.
	maxWaitReports = 4
)

// reportWaits counts the long-running steps that have waited for some time, and logs why some of them wait.
func (m *Machine) reportWaits() {
	if m.now.Sub(m.waitsCheckedAt) < waitCheckInterval {
		return
	}
	m.waitsCheckedAt = m.now
	m.longWaits = 0
	reports := 0
	for _, r := range m.rankedSteps {
		if r.removed || !r.step.spec.LongRunning || m.now.Sub(r.readySince) < waitReportTime {
			continue
		}
		m.longWaits++
		if reports == maxWaitReports || m.now.Sub(r.waitReportedAt) < waitReportInterval {
			continue
		}
		reports++
		r.waitReportedAt = m.now
		m.emit(Log{Text: "long-running tasks are waiting", Job: r.occ.job.spec.ID, Reason: m.waitReason(r)})
	}
}

// waitReason states how many tasks of a step wait, and why: what holds up the step, or the number of workers by why they
// cannot take a task.
func (m *Machine) waitReason(r *readyStep) string {
	v := m.viewStep(r.occ, r.index, r.step)
	reason := v.BlockedReason
	if reason == "" {
		reason = "workers: " + formatCounts(v.WorkersByReason)
	}
	return fmt.Sprintf("step %d, %d tasks for %d ms; %s", r.index, v.Waiting, m.now.Sub(r.readySince).Milliseconds(), reason)
}

// LongWaits returns the number of long-running steps that have waited for several seconds.
func (m *Machine) LongWaits() int { return m.longWaits }

// overdueTime is how long a long-running step waits for a worker that is not quarantined. Quarantines last longer and can
// be prolonged, and a long-running task must run again 6 s after its last run.
const overdueTime = 2 * time.Second

// isOverdue reports whether a step uses quarantined workers too. A long-running task that fails there loses little; any
// other task would lose its work.
func (m *Machine) isOverdue(r *readyStep) bool {
	return r.step.spec.LongRunning && m.readySteps[r.step] == r && m.now.Sub(r.readySince) >= overdueTime
}
