package flow

import (
	"maps"
	"slices"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// maxLookups limits the jobs that are looked up at a time.
const maxLookups = 16

// unknownJob is a job of which workers report runs or ends although the scheduler has not received it. A predecessor may have
// started it after this scheduler had read the stored jobs. Its runs continue and its ends are not acknowledged until the
// store shows whether the job exists.
type unknownJob struct {
	runs []*run
	ends []heldEnd
}

// heldEnd is the reported end of a run of an unknown job. It counts for one life of the worker.
type heldEnd struct {
	worker *worker
	life   int
	end    infra.EndedRun
}

// noteUnknown returns the entry of an unknown job, which lookUpJobs asks the store about.
func (m *Machine) noteUnknown(id fleet.JobID) *unknownJob {
	u := m.unknownJobs[id]
	if u == nil {
		u = &unknownJob{}
		m.unknownJobs[id] = u
		m.emit(Log{Text: "unknown job", Job: id, Reason: "a worker reports a run"})
	}
	return u
}

// holdEnd keeps the end of a run of an unknown job until it is known whether the job exists.
func (m *Machine) holdEnd(w *worker, e infra.EndedRun) {
	u := m.noteUnknown(e.Task.Job)
	u.ends = append(u.ends, heldEnd{worker: w, life: w.life, end: e})
	w.heldEnds++
}

// lookUpJobs asks the store for unknown jobs, unless a lookup is in flight.
func (m *Machine) lookUpJobs() {
	if m.lookupInFlight || len(m.unknownJobs) == 0 {
		return
	}
	m.lookupInFlight = true
	ids := slices.Sorted(maps.Keys(m.unknownJobs))
	m.emit(LookUpJobs{Jobs: ids[:min(maxLookups, len(ids))]})
}

// jobsLookedUp handles the end of a lookup. The jobs that are still unknown do not exist.
func (m *Machine) jobsLookedUp(ids []fleet.JobID) {
	m.lookupInFlight = false
	for _, id := range ids {
		u := m.unknownJobs[id]
		if u == nil {
			continue
		}
		delete(m.unknownJobs, id)
		m.emit(Log{Text: "unknown job does not exist", Job: id})
		for _, r := range u.runs {
			if r.worker.runs[r.id] == r {
				m.stop(r, "task of an unknown job")
			}
		}
		m.releaseEnds(u)
	}
}

// resolveUnknown adopts the runs and applies the ends that were reported before their job was received.
func (m *Machine) resolveUnknown(id fleet.JobID) {
	u := m.unknownJobs[id]
	if u == nil {
		return
	}
	delete(m.unknownJobs, id)
	for _, r := range u.runs {
		if r.worker.runs[r.id] != r {
			continue
		}
		m.releaseRun(r)
		m.adopt(r.worker, infra.ActiveRun{Task: r.id, Run: r.number, Progress: r.percent, Measurement: r.measurement}, r.listedClock)
	}
	for _, h := range u.ends {
		m.applyEnd(h.worker, h.end)
	}
	m.releaseEnds(u)
}

// releaseEnds allows the ends of a job to be acknowledged once what they have changed is durable.
func (m *Machine) releaseEnds(u *unknownJob) {
	for _, h := range u.ends {
		w := h.worker
		if w.life != h.life {
			continue
		}
		w.heldEnds--
		// What the end has changed is saved later than the ends that were reported after it.
		w.unsavedEnds = nil
		m.awaitSave(w)
		if m.confirmEnds(w) && !w.renewalInFlight {
			m.sendRenewal(w)
		}
	}
}
