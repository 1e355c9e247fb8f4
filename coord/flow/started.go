package flow

import "lovagefork.example/coord/fleet"

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
	m.awaitRoom()
	m.startedJobs = append(m.startedJobs, j)
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
	return taken
}
