package jobs

import (
	"net/http"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/store"
)

// notOwner answers calls while the session of the owner has lapsed; the call had no effect.
const notOwner = "the partition cannot record changes at the moment"

// submission is a job whose record is not durable yet, and the calls that wait for it.
type submission struct {
	spec  ledger.Spec
	calls []uint64
}

func (m *Machine) answer(call uint64, status int, job fleet.JobID, reason string) {
	m.emit(Response{Call: call, Status: status, Job: job, Reason: reason})
}

func (m *Machine) submit(now time.Time, ev Submit) {
	if j := m.jobs[ev.Spec.Job]; j != nil {
		m.repeated(ev.Call, j.spec, ev.Spec)
		return
	}
	if s := m.submits[ev.Spec.Job]; s != nil {
		if s.spec != ev.Spec {
			m.repeated(ev.Call, s.spec, ev.Spec)
			return
		}
		s.calls = append(s.calls, ev.Call)
		return
	}
	if !m.permit.Write {
		m.answer(ev.Call, http.StatusServiceUnavailable, ev.Spec.Job, notOwner)
		return
	}
	m.submits[ev.Spec.Job] = &submission{spec: ev.Spec, calls: []uint64{ev.Call}}
	m.emit(Append{Records: []ledger.Record{ledger.JobSubmitted{Spec: ev.Spec, AtMS: now.UnixMilli()}}})
}

// repeated answers a submission of a known job id; only the same job is a repetition.
func (m *Machine) repeated(call uint64, known, asked ledger.Spec) {
	if known != asked {
		m.answer(call, http.StatusConflict, asked.Job, "a different job has this job_id")
		return
	}
	m.answer(call, http.StatusOK, asked.Job, "")
}

func (m *Machine) submitted(now time.Time, r ledger.JobSubmitted) {
	fresh := m.apply(r)
	delete(m.inboxSeen, r.Spec.Job)
	if s := m.submits[r.Spec.Job]; s != nil {
		delete(m.submits, r.Spec.Job)
		for i, call := range s.calls {
			status := http.StatusCreated
			if i > 0 {
				status = http.StatusOK
			}
			m.answer(call, status, r.Spec.Job, "")
		}
	}
	if !fresh {
		return
	}
	j := m.jobs[r.Spec.Job]
	j.arrived = now
	m.open = append(m.open, j)
	for _, t := range j.tasks {
		if t.state == StateWaiting {
			m.enqueue(t)
		}
	}
	m.note("jobs: job accepted", "job", r.Spec.Job, "customer", r.Spec.Customer, "class", r.Spec.Class,
		"tasks", r.Spec.Tasks, "moves", r.Moves)
}

// inbox takes over a job that another partition passed on; the inbox key is removed in the same transaction.
func (m *Machine) inbox(ev JobReceived) {
	if !m.permit.Write || m.inboxSeen[ev.Job.Spec.Job] {
		return
	}
	m.inboxSeen[ev.Job.Spec.Job] = true
	m.emit(Append{Records: []ledger.Record{ev.Job}, Ops: []store.Op{store.Delete{Key: ev.Key}}})
}

func (m *Machine) cancel(now time.Time, ev Cancel) {
	j := m.jobs[ev.Job]
	switch {
	case j == nil || j.service != "":
		m.answer(ev.Call, http.StatusNotFound, ev.Job, "no such job")
	case j.cancelled || j.state() == StateCancelled:
		m.answer(ev.Call, http.StatusOK, ev.Job, "")
	case j.ended != 0:
		m.answer(ev.Call, http.StatusConflict, ev.Job, "the job has already "+string(j.state()))
	case !m.permit.Write:
		m.answer(ev.Call, http.StatusServiceUnavailable, ev.Job, notOwner)
	case j.passing:
		// The copy in the inbox of the other partition could no longer be cancelled from here.
		m.answer(ev.Call, http.StatusServiceUnavailable, ev.Job, "the job is being passed on")
	default:
		waiting := m.cancels[ev.Job]
		m.cancels[ev.Job] = append(waiting, ev.Call)
		if len(waiting) == 0 {
			m.emit(Append{Records: []ledger.Record{ledger.JobCancelled{Job: ev.Job, AtMS: now.UnixMilli()}}})
		}
	}
}

func (m *Machine) jobCancelled(now time.Time, r ledger.JobCancelled) {
	won := m.apply(r)
	calls := m.cancels[r.Job]
	delete(m.cancels, r.Job)
	j := m.jobs[r.Job]
	for _, call := range calls {
		if won {
			m.answer(call, http.StatusOK, r.Job, "")
		} else {
			m.answer(call, http.StatusConflict, r.Job, "the job has already "+string(j.state()))
		}
	}
	if !won {
		return
	}
	m.note("jobs: job cancelled", "job", r.Job, "customer", j.spec.Customer)
	for _, t := range j.tasks {
		if t.state.live() && t.sent {
			m.stop(now, t, false)
		}
	}
	m.finishJob(j)
}

func (m *Machine) evictJob(now time.Time, ev Evict) {
	j := m.jobs[ev.Job]
	if j == nil {
		m.answer(ev.Call, http.StatusNotFound, ev.Job, "no such job")
		return
	}
	if !m.permit.Write {
		m.answer(ev.Call, http.StatusServiceUnavailable, ev.Job, notOwner)
		return
	}
	evicted := 0
	for _, t := range j.tasks {
		if (ev.Task == "" || ev.Task == t.id) && m.evict(now, t.ref(), "asked by an operator") {
			evicted++
		}
	}
	if evicted == 0 {
		m.answer(ev.Call, http.StatusConflict, ev.Job, "no such task is running")
		return
	}
	m.answer(ev.Call, http.StatusAccepted, ev.Job, "")
}

// moveWaiting passes on jobs without a running task: at once if no worker here could hold a task, as after the loss of an
// availability zone, and after moveAfter if the workers are full and no task was ever placed. The number of moves is
// bounded, so that an overload does not pass jobs in circles.
func (m *Machine) moveWaiting(now time.Time) {
	if now.Before(m.nextMove) || len(m.capacities) == 0 {
		return
	}
	m.nextMove = now.Add(retryFull)
	m.open = slices.DeleteFunc(m.open, func(j *job) bool {
		return j.ended != 0 || j.cancelled || len(j.tasks) == 0 || j.service != ""
	})
	for _, j := range m.open {
		fitsHere := m.fitsHere(now, j.spec.Resources)
		if fitsHere && (j.attempted || j.moves >= maxMoves || now.Sub(j.arrived) < j.moveAfter()) {
			continue
		}
		if j.moves >= maxMoves && now.Sub(j.arrived) < forcedMoveEvery {
			continue
		}
		if j.moves >= maxForcedMoves || j.passing || len(m.cancels[j.spec.Job]) > 0 || j.busy() {
			continue
		}
		if fitsHere && m.overQuota(shapeOf(j.tasks[0])) != "" {
			continue
		}
		if to := m.nextPartition(j); to != "" {
			m.pass(now, j, to)
		}
	}
}

func (j *job) moveAfter() time.Duration {
	if j.spec.Class == fleet.Urgent {
		return moveUrgentAfter
	}
	return moveAfter
}

// busy reports whether an attempt of the job may run or be claimed.
func (j *job) busy() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.pending || t.reserved != "" || t.state.live() })
}

// fitsHere reports whether some worker of the partition is large enough. A worker that has not answered this owner for a
// while does not count, because the host list goes on to show it as live for as long as the platform has not noticed.
func (m *Machine) fitsHere(now time.Time, need fleet.Resources) bool {
	return slices.ContainsFunc(m.order, func(w *worker) bool {
		lost := w.suspect() && now.Sub(w.failedAt) > unusableAfter
		return w.listed && !lost && w.info.State == fleet.HostLive && need.Fits(w.info.Capacity)
	})
}

func fitsAny(need fleet.Resources, capacities []fleet.Resources) bool {
	return slices.ContainsFunc(capacities, func(c fleet.Resources) bool { return need.Fits(c) })
}

// nextPartition chooses another partition with workers that are large enough; each move chooses anew.
func (m *Machine) nextPartition(j *job) fleet.PartitionID {
	var fitting []fleet.PartitionID
	for p, capacities := range m.capacities {
		if p != m.partition && fitsAny(j.spec.Resources, capacities) {
			fitting = append(fitting, p)
		}
	}
	slices.Sort(fitting)
	return fleet.Rendezvous(string(j.spec.Job)+"#"+string(rune('0'+j.moves)), fitting)
}

// InboxPrefix returns the prefix of the keys by which jobs are passed on to a partition.
func InboxPrefix(p fleet.PartitionID) string { return "inbox/" + string(p) + "/" }

func (m *Machine) pass(now time.Time, j *job, to fleet.PartitionID) {
	record := ledger.JobSubmitted{Spec: j.spec, AtMS: j.submitted, Moves: j.moves + 1}
	for _, r := range taskRecords(j) {
		record.Tasks = append(record.Tasks, r.(ledger.TaskSnapshot))
	}
	value, err := ledger.EncodeRecord(record)
	if err != nil || len(value) > ledger.MaxChunkBytes {
		return
	}
	j.passing = true
	m.note("place: job passed on", "job", j.spec.Job, "to", to, "moves", j.moves+1, "reason", "no room here")
	m.emit(Append{
		Records: []ledger.Record{ledger.JobMoved{Job: j.spec.Job, To: to, AtMS: now.UnixMilli()}},
		Ops:     []store.Op{store.Put{Key: InboxPrefix(to) + string(j.spec.Job), Value: value}},
	})
}

func (m *Machine) jobMoved(r ledger.JobMoved) {
	if j := m.jobs[r.Job]; j != nil {
		j.passing = false
	}
	m.apply(r)
}
