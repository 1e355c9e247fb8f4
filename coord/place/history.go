package place

import (
	"fmt"
	"strings"
	"time"

	"lovagefork.example/coord/fleet"
)

const (
	// minFailedJobs is the number of distinct jobs that must fail on a worker without a success in between before it is
	// put on probation.
	minFailedJobs = 3
	// minFailedWorkers is the number of other workers on which a job must have failed for its failures to be attributed to
	// the job.
	minFailedWorkers = 2
	// failureTTL is the time after which a failure on a worker expires, so that a repaired worker gets work again.
	failureTTL = 10 * time.Minute
	// jobTTL is how long the history of a job without new outcomes is kept.
	jobTTL = time.Hour
)

// FailureCause says whether the failures of a job on a worker are attributed to the job or to the worker.
type FailureCause uint8

// The values of [FailureCause].
const (
	CauseUnknown FailureCause = iota
	CauseJob
	CauseWorker
)

// workerHistory holds, for each job that failed on a worker since its last success, the time of the last failure.
type workerHistory struct {
	failures  map[fleet.JobID]time.Time
	probation bool
}

// jobHistory holds the workers on which a job failed, and whether it succeeded on any.
type jobHistory struct {
	failedOn      map[fleet.WorkerID]time.Time
	succeeded     bool
	lastOutcomeAt time.Time
}

// jobOf returns the job of a task, the part of its id before the last slash.
func jobOf(id fleet.TaskID) fleet.JobID {
	if i := strings.LastIndexByte(string(id), '/'); i >= 0 {
		return fleet.JobID(id[:i])
	}
	return fleet.JobID(id)
}

// FailureCause attributes a failure of the task on the worker by comparing the history of its job on other workers with
// the history of other jobs on the worker.
func (m *Machine) FailureCause(task fleet.TaskID, worker fleet.WorkerID) FailureCause {
	h, found := m.hosts[worker]
	switch {
	case m.jobAtFault(jobOf(task), worker):
		return CauseJob
	case found && h.history.probation:
		return CauseWorker
	default:
		return CauseUnknown
	}
}

// OnProbation reports whether a worker is limited to one task at a time because of recent failures on it.
func (m *Machine) OnProbation(id fleet.WorkerID) bool {
	h, ok := m.hosts[id]
	return ok && h.history.probation
}

// jobAtFault reports whether the job has failed on at least minFailedWorkers other workers that are not on probation
// and has never succeeded.
func (m *Machine) jobAtFault(id fleet.JobID, worker fleet.WorkerID) bool {
	hist, ok := m.jobHistories[id]
	if !ok || hist.succeeded {
		return false
	}
	others := 0
	for w := range hist.failedOn {
		if w != worker && !m.OnProbation(w) {
			others++
		}
	}
	return others >= minFailedWorkers
}

// jobHistory returns the history of a job, created if needed, and sets the time of its last outcome to now.
func (m *Machine) jobHistory(now time.Time, id fleet.JobID) *jobHistory {
	hist, ok := m.jobHistories[id]
	if !ok {
		hist = &jobHistory{failedOn: map[fleet.WorkerID]time.Time{}}
		m.jobHistories[id] = hist
	}
	hist.lastOutcomeAt = now
	return hist
}

func (m *Machine) succeeded(now time.Time, ev Succeeded) []Effect {
	m.jobHistory(now, jobOf(ev.Task)).succeeded = true
	h, ok := m.hosts[ev.Worker]
	if !ok {
		return nil
	}
	clear(h.history.failures)
	return m.updateProbation(h)
}

func (m *Machine) failed(now time.Time, ev Failed) []Effect {
	id := jobOf(ev.Task)
	hist := m.jobHistory(now, id)
	hist.failedOn[ev.Worker] = now
	h := m.host(ev.Worker)
	if h.history.failures == nil {
		h.history.failures = map[fleet.JobID]time.Time{}
	}
	h.history.failures[id] = now
	// Another failure may attribute the earlier failures to the job and so end the probation of other workers.
	var effects []Effect
	for _, other := range m.hostsByID {
		if _, ok := hist.failedOn[other.worker.ID]; ok {
			effects = append(effects, m.updateProbation(other)...)
		}
	}
	return effects
}

// updateProbation puts the worker on probation, or takes it off, according to the jobs whose failures are attributed to
// it.
func (m *Machine) updateProbation(h *host) []Effect {
	failedJobs := 0
	for id := range h.history.failures {
		if !m.jobAtFault(id, h.worker.ID) {
			failedJobs++
		}
	}
	on := failedJobs >= minFailedJobs
	if on == h.history.probation {
		return nil
	}
	h.history.probation = on
	reason := fmt.Sprintf("%d distinct jobs failed on it since its last success", failedJobs)
	return []Effect{ProbationChanged{Worker: h.worker.ID, On: on, Reason: reason}}
}

// expire removes old failures, job histories, moves, ended runs and removed workers without reservations.
func (m *Machine) expire(now time.Time) []Effect {
	for id, hist := range m.jobHistories {
		if now.Sub(hist.lastOutcomeAt) > jobTTL {
			delete(m.jobHistories, id)
		}
	}
	for id, at := range m.lastMovedAt {
		if now.Sub(at) > minMoveInterval {
			delete(m.lastMovedAt, id)
		}
	}
	var effects []Effect
	for _, h := range m.hostsByID {
		for id, at := range h.history.failures {
			if now.Sub(at) > failureTTL {
				delete(h.history.failures, id)
			}
		}
		if h.history.probation {
			effects = append(effects, m.updateProbation(h)...)
		}
		h.dropEndedRuns(now.Add(-endedRunTTL))
	}
	m.dropRemovedHosts(now)
	return effects
}

// dropRemovedHosts deletes hosts that left the host list, once they have no reservations and their failures have
// expired.
func (m *Machine) dropRemovedHosts(now time.Time) {
	kept := m.hostsByID[:0]
	for _, h := range m.hostsByID {
		if !h.listed && len(h.byRef) == 0 && now.Sub(h.removedAt) > failureTTL {
			delete(m.hosts, h.worker.ID)
			continue
		}
		kept = append(kept, h)
	}
	clear(m.hostsByID[len(kept):])
	m.hostsByID = kept
}
