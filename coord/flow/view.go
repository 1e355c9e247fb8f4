package flow

import (
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// State returns the state of a job as callers are shown it; a final state is durable.
func (m *Machine) State(id fleet.JobID) (infra.State, bool) {
	j := m.jobs[id]
	switch {
	case j == nil:
		return "", false
	case j.cancelled:
		return infra.Cancelled, true
	case j.durable.Final():
		return j.durable, true
	case j.begun:
		return infra.Active, true
	default:
		return infra.Queued, true
	}
}

// Pending counts the jobs of a queue of which no task has started.
func (m *Machine) Pending(queue string) int {
	count := 0
	for _, j := range m.jobs {
		if j.spec.Queue == queue && !j.begun && j.live() {
			count++
		}
	}
	return count
}

// Counts returns totals since the scheduler was elected.
func (m *Machine) Counts() Counts { return m.counts }
