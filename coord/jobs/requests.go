package jobs

import (
	"net/http"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/store"
)

// reasonNotWritable answers calls while the permit forbids writes. Such a call has no effect.
const reasonNotWritable = "the partition cannot record changes at the moment"

// submission holds a job whose record is not durable yet, and the calls that wait for it.
type submission struct {
	spec  ledger.Spec
	calls []uint64
}

func (m *Machine) respond(call uint64, status int, job fleet.JobID, reason string) {
	m.emit(Response{Call: call, Status: status, Job: job, Reason: reason})
}

func (m *Machine) submit(now time.Time, ev Submit) {
	if j := m.jobs[ev.Spec.Job]; j != nil {
		m.respondRepeated(ev.Call, j.spec, ev.Spec)
		return
	}
	if s := m.pendingSubmissions[ev.Spec.Job]; s != nil {
		if s.spec != ev.Spec {
			m.respondRepeated(ev.Call, s.spec, ev.Spec)
			return
		}
		s.calls = append(s.calls, ev.Call)
		return
	}
	if !m.permit.Write {
		m.respond(ev.Call, http.StatusServiceUnavailable, ev.Spec.Job, reasonNotWritable)
		return
	}
	m.pendingSubmissions[ev.Spec.Job] = &submission{spec: ev.Spec, calls: []uint64{ev.Call}}
	m.emit(Append{Records: []ledger.Record{ledger.JobSubmitted{Spec: ev.Spec, AtMS: now.UnixMilli()}}})
}

// respondRepeated answers a submission whose job id is already known. It is a conflict unless the spec is the same.
func (m *Machine) respondRepeated(call uint64, known, submitted ledger.Spec) {
	if known != submitted {
		m.respond(call, http.StatusConflict, submitted.Job, "a different job has this job_id")
		return
	}
	m.respond(call, http.StatusOK, submitted.Job, "")
}

func (m *Machine) submitted(now time.Time, r ledger.JobSubmitted) {
	added := m.apply(r)
	delete(m.pendingReceived, r.Spec.Job)
	if s := m.pendingSubmissions[r.Spec.Job]; s != nil {
		delete(m.pendingSubmissions, r.Spec.Job)
		for i, call := range s.calls {
			status := http.StatusCreated
			if i > 0 {
				status = http.StatusOK
			}
			m.respond(call, status, r.Spec.Job, "")
		}
	}
	if !added {
		return
	}
	j := m.jobs[r.Spec.Job]
	j.arrivedAt = now
	m.unfinishedJobs = append(m.unfinishedJobs, j)
	for _, t := range j.tasks {
		if t.state == StateWaiting {
			m.enqueue(t)
		}
	}
	m.log("jobs: job accepted", "job", r.Spec.Job, "customer", r.Spec.Customer, "class", r.Spec.Class,
		"tasks", r.Spec.Tasks, "moves", r.Moves)
}

// receiveJob records a job that another partition moved here. The same transaction deletes the inbox key.
func (m *Machine) receiveJob(ev JobReceived) {
	if !m.permit.Write || m.pendingReceived[ev.Job.Spec.Job] {
		return
	}
	if j := m.jobs[ev.Job.Spec.Job]; j != nil && ev.Job.Moves <= j.moves {
		// The job may have returned since, and the key hold its only copy.
		m.emit(DiscardInboxEntry{Key: ev.Key, Revision: ev.Revision})
		return
	}
	m.pendingReceived[ev.Job.Spec.Job] = true
	m.emit(Append{Records: []ledger.Record{ev.Job}, Ops: []store.Op{store.Delete{Key: ev.Key}}})
}

func (m *Machine) cancel(now time.Time, ev Cancel) {
	j := m.jobs[ev.Job]
	switch {
	case j == nil || j.serviceID != "":
		m.respond(ev.Call, http.StatusNotFound, ev.Job, "no such job")
	case j.cancelled || j.state() == StateCancelled:
		m.respond(ev.Call, http.StatusOK, ev.Job, "")
	case j.endedMS != 0:
		m.respond(ev.Call, http.StatusConflict, ev.Job, "the job has already "+string(j.state()))
	case !m.permit.Write:
		m.respond(ev.Call, http.StatusServiceUnavailable, ev.Job, reasonNotWritable)
	case j.moving:
		// Cancelling here would not reach the copy in the inbox of the other partition.
		m.respond(ev.Call, http.StatusServiceUnavailable, ev.Job, "the job is being passed on")
	default:
		waiting := m.pendingCancels[ev.Job]
		m.pendingCancels[ev.Job] = append(waiting, ev.Call)
		if len(waiting) == 0 {
			m.emit(Append{Records: []ledger.Record{ledger.JobCancelled{Job: ev.Job, AtMS: now.UnixMilli()}}})
		}
	}
}

func (m *Machine) jobCancelled(now time.Time, r ledger.JobCancelled) {
	applied := m.apply(r)
	calls := m.pendingCancels[r.Job]
	delete(m.pendingCancels, r.Job)
	j := m.jobs[r.Job]
	for _, call := range calls {
		if applied {
			m.respond(call, http.StatusOK, r.Job, "")
		} else {
			m.respond(call, http.StatusConflict, r.Job, "the job has already "+string(j.state()))
		}
	}
	if !applied {
		return
	}
	m.log("jobs: job cancelled", "job", r.Job, "customer", j.spec.Customer)
	for _, t := range j.tasks {
		if t.state.live() && t.startSent {
			m.stop(now, t, false)
		}
	}
	m.logJobEnd(j)
}

func (m *Machine) evictJob(now time.Time, ev Evict) {
	j := m.jobs[ev.Job]
	if j == nil {
		m.respond(ev.Call, http.StatusNotFound, ev.Job, "no such job")
		return
	}
	if !m.permit.Write {
		m.respond(ev.Call, http.StatusServiceUnavailable, ev.Job, reasonNotWritable)
		return
	}
	evicted := 0
	for _, t := range j.tasks {
		if (ev.Task == "" || ev.Task == t.id) && m.evict(now, t.ref(), "asked by an operator") {
			evicted++
		}
	}
	if evicted == 0 {
		m.respond(ev.Call, http.StatusConflict, ev.Job, "no such task is running")
		return
	}
	m.respond(ev.Call, http.StatusAccepted, ev.Job, "")
}

// moveWaitingJobs moves jobs without an active task to other partitions. A job moves at once if no worker here is large
// enough for a task, as after the loss of an availability zone. It moves after moveDelay if the workers are full and
// none of its tasks was ever claimed. The number of moves is bounded, so that jobs do not circulate during an overload.
func (m *Machine) moveWaitingJobs(now time.Time) {
	if now.Before(m.nextMoveCheck) || len(m.capacities) == 0 {
		return
	}
	m.nextMoveCheck = now.Add(blockedQueueRetry)
	m.unfinishedJobs = slices.DeleteFunc(m.unfinishedJobs, func(j *job) bool {
		return j.endedMS != 0 || j.cancelled || len(j.tasks) == 0 || j.serviceID != ""
	})
	for _, j := range m.unfinishedJobs {
		fitsHere := m.fitsHere(now, j.spec.Resources)
		if fitsHere && (j.attempted || j.moves >= maxMoves || now.Sub(j.arrivedAt) < j.moveDelay()) {
			continue
		}
		if j.moves >= maxMoves && now.Sub(j.arrivedAt) < forcedMoveInterval {
			continue
		}
		if j.moves >= maxForcedMoves || j.moving || len(m.pendingCancels[j.spec.Job]) > 0 || j.hasActiveTask() {
			continue
		}
		if fitsHere && m.quotaReason(shapeOf(j.tasks[0])) != "" {
			continue
		}
		if to := m.nextPartition(j); to != "" {
			m.moveJob(now, j, to)
		}
	}
}

func (j *job) moveDelay() time.Duration {
	if j.spec.Class == fleet.Urgent {
		return urgentMoveDelay
	}
	return moveDelay
}

// hasActiveTask reports whether a task of the job is reserved, claimed or running.
func (j *job) hasActiveTask() bool {
	return slices.ContainsFunc(j.tasks, func(t *task) bool { return t.recordPending || t.reservedOn != "" || t.state.live() })
}

// fitsHere reports whether some worker of the partition is large enough. A worker that has been suspect for longer than
// unusableAfter does not count, because the host list shows it as live until the platform detects the failure.
func (m *Machine) fitsHere(now time.Time, need fleet.Resources) bool {
	return slices.ContainsFunc(m.sortedWorkers, func(w *worker) bool {
		lost := w.suspect() && now.Sub(w.failingSince) > unusableAfter
		return w.listed && !lost && w.info.State == fleet.HostLive && need.Fits(w.info.Capacity)
	})
}

func fitsAny(need fleet.Resources, capacities []fleet.Resources) bool {
	return slices.ContainsFunc(capacities, func(c fleet.Resources) bool { return need.Fits(c) })
}

// nextPartition returns another partition with a worker that is large enough, or "". The choice depends on the number
// of moves, so that each move may lead to a different partition.
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

// InboxPrefix returns the prefix of the store keys that hold the jobs moved to a partition.
func InboxPrefix(p fleet.PartitionID) string { return "inbox/" + string(p) + "/" }

// moveJob appends the record of a move, together with the write of the job to the inbox of the other partition.
func (m *Machine) moveJob(now time.Time, j *job, to fleet.PartitionID) {
	record := ledger.JobSubmitted{Spec: j.spec, AtMS: j.submittedMS, Moves: j.moves + 1}
	for _, r := range taskRecords(j) {
		record.Tasks = append(record.Tasks, r.(ledger.TaskSnapshot))
	}
	value, err := ledger.EncodeRecord(record)
	if err != nil || len(value) > ledger.MaxChunkBytes {
		return
	}
	j.moving = true
	m.log("place: job moved", "job", j.spec.Job, "to", to, "moves", j.moves+1, "reason", "no room here")
	m.emit(Append{
		Records: []ledger.Record{ledger.JobMoved{Job: j.spec.Job, To: to, AtMS: now.UnixMilli()}},
		Ops:     []store.Op{store.Put{Key: InboxPrefix(to) + string(j.spec.Job), Value: value}},
	})
}

func (m *Machine) jobMoved(r ledger.JobMoved) {
	if j := m.jobs[r.Job]; j != nil {
		j.moving = false
	}
	m.apply(r)
}
