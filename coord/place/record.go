package place

import (
	"fmt"
	"strings"
	"time"

	"lovagefork.example/coord/fleet"
)

const (
	// probationJobs is the number of distinct jobs that must fail on a worker, without a success between them.
	probationJobs = 3
	// badJobWorkers is the number of other workers on which a job must have failed to be blamed itself.
	badJobWorkers = 2
	// failureTTL is how long a failure counts against a worker; a repaired worker then gets work again.
	failureTTL = 10 * time.Minute
	// jobTTL is how long the record of a job without new outcomes is kept.
	jobTTL = time.Hour
)

// Fault tells whom the record blames for the failures of a task's job on a worker.
type Fault uint8

// The values of [Fault].
const (
	FaultUnknown Fault = iota
	FaultJob
	FaultWorker
)

// workerRecord holds the jobs that failed on a worker since its last success.
type workerRecord struct {
	failures  map[fleet.JobID]time.Time
	probation bool
}

// jobRecord holds the workers that a job failed on, and whether it succeeded anywhere.
type jobRecord struct {
	failedOn  map[fleet.WorkerID]time.Time
	succeeded bool
	last      time.Time
}

// job returns the job of a task id, which is all before its last slash.
func job(id fleet.TaskID) fleet.JobID {
	if i := strings.LastIndexByte(string(id), '/'); i >= 0 {
		return fleet.JobID(id[:i])
	}
	return fleet.JobID(id)
}

// Fault compares the record of the task's job on other workers with the worker's record on other jobs.
func (m *Machine) Fault(task fleet.TaskID, worker fleet.WorkerID) Fault {
	h, known := m.hosts[worker]
	switch {
	case m.jobIsBad(job(task), worker):
		return FaultJob
	case known && h.record.probation:
		return FaultWorker
	default:
		return FaultUnknown
	}
}

// OnProbation reports whether a worker may run only one task at a time because recent starts failed on it.
func (m *Machine) OnProbation(id fleet.WorkerID) bool {
	h, ok := m.hosts[id]
	return ok && h.record.probation
}

// jobIsBad reports whether the job has failed on enough workers other than the given one and succeeded nowhere.
func (m *Machine) jobIsBad(id fleet.JobID, worker fleet.WorkerID) bool {
	r, ok := m.jobs[id]
	if !ok || r.succeeded {
		return false
	}
	others := 0
	for w := range r.failedOn {
		if w != worker && !m.OnProbation(w) {
			others++
		}
	}
	return others >= badJobWorkers
}

func (m *Machine) jobRecord(now time.Time, id fleet.JobID) *jobRecord {
	r, ok := m.jobs[id]
	if !ok {
		r = &jobRecord{failedOn: map[fleet.WorkerID]time.Time{}}
		m.jobs[id] = r
	}
	r.last = now
	return r
}

func (m *Machine) succeeded(now time.Time, ev Succeeded) []Effect {
	m.jobRecord(now, job(ev.Task)).succeeded = true
	h, ok := m.hosts[ev.Worker]
	if !ok {
		return nil
	}
	clear(h.record.failures)
	return m.judge(h)
}

func (m *Machine) failed(now time.Time, ev Failed) []Effect {
	id := job(ev.Task)
	r := m.jobRecord(now, id)
	r.failedOn[ev.Worker] = now
	h := m.host(ev.Worker)
	if h.record.failures == nil {
		h.record.failures = map[fleet.JobID]time.Time{}
	}
	h.record.failures[id] = now
	// One more failure elsewhere may show that the job is bad, and clear the workers that it failed on before.
	var effects []Effect
	for _, other := range m.order {
		if _, ok := r.failedOn[other.worker.ID]; ok {
			effects = append(effects, m.judge(other)...)
		}
	}
	return effects
}

// judge puts the worker on probation or takes it off, as its record says.
func (m *Machine) judge(h *host) []Effect {
	blamed := 0
	for id := range h.record.failures {
		if !m.jobIsBad(id, h.worker.ID) {
			blamed++
		}
	}
	on := blamed >= probationJobs
	if on == h.record.probation {
		return nil
	}
	h.record.probation = on
	reason := fmt.Sprintf("%d distinct jobs failed on it since its last success", blamed)
	return []Effect{Probation{Worker: h.worker.ID, On: on, Reason: reason}}
}

// expire forgets old outcomes, and workers that left and hold nothing.
func (m *Machine) expire(now time.Time) []Effect {
	for id, r := range m.jobs {
		if now.Sub(r.last) > jobTTL {
			delete(m.jobs, id)
		}
	}
	for id, at := range m.moves {
		if now.Sub(at) > moveGap {
			delete(m.moves, id)
		}
	}
	var effects []Effect
	for _, h := range m.order {
		for id, at := range h.record.failures {
			if now.Sub(at) > failureTTL {
				delete(h.record.failures, id)
			}
		}
		if h.record.probation {
			effects = append(effects, m.judge(h)...)
		}
		h.forgetRuns(now.Add(-runTTL))
	}
	m.dropGone(now)
	return effects
}

// dropGone forgets workers that left, once nothing is reserved on them and their failures have expired.
func (m *Machine) dropGone(now time.Time) {
	kept := m.order[:0]
	for _, h := range m.order {
		if !h.known && len(h.tasks) == 0 && now.Sub(h.goneAt) > failureTTL {
			delete(m.hosts, h.worker.ID)
			continue
		}
		kept = append(kept, h)
	}
	clear(m.order[len(kept):])
	m.order = kept
}
