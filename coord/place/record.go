package place

import (
	"fmt"
	"strings"
	"time"

	"lovagefork.example/coord/fleet"
)

const (
	// probationJobs is the number of distinct jobs that must fail on a worker, without a success between them.
	minFailedJobs = 3
	// badJobWorkers is the number of other workers on which a job must have failed to be blamed itself.
	minFailedWorkers = 2
	// failureTTL is how long a failure counts against a worker; a repaired worker then gets work again.
	failureTTL = 10 * time.Minute
	// jobTTL is how long the record of a job without new outcomes is kept.
	jobTTL = time.Hour
)

// Fault tells whom the record blames for the failures of a task's job on a worker.
type FailureCause uint8

// The values of [Fault].
const (
	CauseUnknown FailureCause = iota
	CauseJob
	CauseWorker
)

// workerRecord holds the jobs that failed on a worker since its last success.
type workerHistory struct {
	failures  map[fleet.JobID]time.Time
	probation bool
}

// jobRecord holds the workers that a job failed on, and whether it succeeded anywhere.
type jobHistory struct {
	failedOn  map[fleet.WorkerID]time.Time
	succeeded bool
	lastOutcomeAt      time.Time
}

// job returns the job of a task id, which is all before its last slash.
func jobOf(id fleet.TaskID) fleet.JobID {
	if i := strings.LastIndexByte(string(id), '/'); i >= 0 {
		return fleet.JobID(id[:i])
	}
	return fleet.JobID(id)
}

// Fault compares the record of the task's job on other workers with the worker's record on other jobs.
func (m *Machine) FailureCause(task fleet.TaskID, worker fleet.WorkerID) FailureCause {
	h, known := m.hosts[worker]
	switch {
	case m.jobAtFault(jobOf(task), worker):
		return CauseJob
	case known && h.history.probation:
		return CauseWorker
	default:
		return CauseUnknown
	}
}

// OnProbation reports whether a worker may run only one task at a time because recent starts failed on it.
func (m *Machine) OnProbation(id fleet.WorkerID) bool {
	h, ok := m.hosts[id]
	return ok && h.history.probation
}

// jobIsBad reports whether the job has failed on enough workers other than the given one and succeeded nowhere.
func (m *Machine) jobAtFault(id fleet.JobID, worker fleet.WorkerID) bool {
	r, ok := m.jobHistories[id]
	if !ok || r.succeeded {
		return false
	}
	others := 0
	for w := range r.failedOn {
		if w != worker && !m.OnProbation(w) {
			others++
		}
	}
	return others >= minFailedWorkers
}

func (m *Machine) jobHistory(now time.Time, id fleet.JobID) *jobHistory {
	r, ok := m.jobHistories[id]
	if !ok {
		r = &jobHistory{failedOn: map[fleet.WorkerID]time.Time{}}
		m.jobHistories[id] = r
	}
	r.lastOutcomeAt = now
	return r
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
	r := m.jobHistory(now, id)
	r.failedOn[ev.Worker] = now
	h := m.host(ev.Worker)
	if h.history.failures == nil {
		h.history.failures = map[fleet.JobID]time.Time{}
	}
	h.history.failures[id] = now
	// One more failure elsewhere may show that the job is bad, and clear the workers that it failed on before.
	var effects []Effect
	for _, other := range m.byID {
		if _, ok := r.failedOn[other.worker.ID]; ok {
			effects = append(effects, m.updateProbation(other)...)
		}
	}
	return effects
}

// judge puts the worker on probation or takes it off, as its record says.
func (m *Machine) updateProbation(h *host) []Effect {
	blamed := 0
	for id := range h.history.failures {
		if !m.jobAtFault(id, h.worker.ID) {
			blamed++
		}
	}
	on := blamed >= minFailedJobs
	if on == h.history.probation {
		return nil
	}
	h.history.probation = on
	reason := fmt.Sprintf("%d distinct jobs failed on it since its last success", blamed)
	return []Effect{ProbationChanged{Worker: h.worker.ID, On: on, Reason: reason}}
}

// expire forgets old outcomes, and workers that left and hold nothing.
func (m *Machine) expire(now time.Time) []Effect {
	for id, r := range m.jobHistories {
		if now.Sub(r.lastOutcomeAt) > jobTTL {
			delete(m.jobHistories, id)
		}
	}
	for id, at := range m.lastMoved {
		if now.Sub(at) > minMoveInterval {
			delete(m.lastMoved, id)
		}
	}
	var effects []Effect
	for _, h := range m.byID {
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

// dropGone forgets workers that left, once nothing is reserved on them and their failures have expired.
func (m *Machine) dropRemovedHosts(now time.Time) {
	kept := m.byID[:0]
	for _, h := range m.byID {
		if !h.known && len(h.byRef) == 0 && now.Sub(h.removedAt) > failureTTL {
			delete(m.hosts, h.worker.ID)
			continue
		}
		kept = append(kept, h)
	}
	clear(m.byID[len(kept):])
	m.byID = kept
}
