package flow

import (
	"time"

	"lovagefork.example/coord/fleet"
)

// startedSaveDelay is how long a job whose first task has started waits for a batch with room. Callers see it as queued until then.
const startedSaveDelay = 500 * time.Millisecond

// noteStarted notes that a worker has shown that a task of a job has started, by its answer to the start, a report or an end. An
// order that was sent shows nothing: the worker may refuse it, or never carry it out.
func (m *Machine) noteStarted(id fleet.JobID) {
	j := m.jobs[id]
	if j == nil || j.started {
		return
	}
	j.started = true
	if !j.live() {
		return
	}
	if len(m.startedJobs) == 0 {
		m.startedSaveAt = m.now.Add(startedSaveDelay)
	}
	m.startedJobs = append(m.startedJobs, j)
}

// isStartedDue reports whether the started jobs must be saved without waiting for a batch with room.
func (m *Machine) isStartedDue() bool {
	return len(m.startedJobs) >= maxBatchJobs || len(m.startedJobs) > 0 && !m.now.Before(m.startedSaveAt)
}

// takeStarted returns up to n started jobs that no other save makes durable.
func (m *Machine) takeStarted(n int) []*job {
	var taken []*job
	for len(taken) < n && len(m.startedJobs) > 0 {
		j := m.startedJobs[0]
		m.startedJobs = m.startedJobs[1:]
		if !j.dirty && j.live() && j.durableState != j.state() {
			taken = append(taken, j)
		}
	}
	if len(m.startedJobs) > 0 {
		m.startedSaveAt = m.now
	}
	return taken
}
