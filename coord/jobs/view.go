package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/ledger"
)

// View is the public representation of a job.
type View struct {
	ledger.Spec
	State       State             `json:"state"`
	Partition   fleet.PartitionID `json:"partition"`
	MovedTo     fleet.PartitionID `json:"moved_to,omitempty"`
	SubmittedMS int64             `json:"submitted_ms"`
	EndedMS     int64             `json:"ended_ms,omitempty"`
	Counts      map[State]int     `json:"task_states"`
	Tasks       []TaskView        `json:"task_list,omitempty"`
}

// TaskView is the public representation of a task. WaitReason is set by [Machine.Explain] for tasks that do not run
// yet.
type TaskView struct {
	Task       fleet.TaskID   `json:"task_id"`
	State      State          `json:"state"`
	Attempt    fleet.Attempt  `json:"attempt"`
	Worker     fleet.WorkerID `json:"worker,omitempty"`
	Failures   int            `json:"failures,omitempty"`
	Crashes    int            `json:"crashes,omitempty"`
	Reason     string         `json:"reason,omitempty"`
	WaitReason string         `json:"why,omitempty"`
}

// Job returns a job with its tasks. It returns false if the partition has no such job.
func (m *Machine) Job(id fleet.JobID) (View, bool) {
	j := m.jobs[id]
	if j == nil {
		return View{}, false
	}
	v := m.view(j)
	for _, t := range j.tasks {
		v.Tasks = append(v.Tasks, t.view())
	}
	return v, true
}

// Filter selects at most Limit jobs with an id greater than After, in ascending order of id. The zero value of Customer
// or State matches all jobs.
type Filter struct {
	Customer fleet.CustomerID `json:"customer"`
	State    State            `json:"state"`
	After    fleet.JobID      `json:"after"`
	Limit    int              `json:"limit"`
}

// List returns the jobs that match the filter, without their tasks.
func (m *Machine) List(f Filter) []View {
	var all []View
	for id, j := range m.jobs {
		if j.movedTo != "" || j.serviceID != "" || id <= f.After || (f.Customer != "" && j.spec.Customer != f.Customer) {
			continue
		}
		if v := m.view(j); f.State == "" || v.State == f.State {
			all = append(all, v)
		}
	}
	return Page(all, f.Limit)
}

// Page sorts jobs by id and returns at most the first limit of them.
func Page(all []View, limit int) []View {
	slices.SortFunc(all, func(a, b View) int { return cmp.Compare(a.Job, b.Job) })
	return all[:min(len(all), limit)]
}

// Explain returns a job with the wait reasons of its tasks. It returns false if the partition has no such job.
func (m *Machine) Explain(now time.Time, id fleet.JobID) (View, bool) {
	v, found := m.Job(id)
	if !found {
		return v, false
	}
	for i, tv := range v.Tasks {
		if t := m.tasks[tv.Task]; t != nil {
			v.Tasks[i].WaitReason = m.waitReason(now, t)
		}
	}
	return v, true
}

func (m *Machine) view(j *job) View {
	v := View{
		Spec: j.spec, State: j.state(), Partition: m.partition, MovedTo: j.movedTo,
		SubmittedMS: j.submittedMS, EndedMS: j.endedMS, Counts: make(map[State]int),
	}
	for _, t := range j.tasks {
		v.Counts[t.state]++
	}
	return v
}

func (t *task) view() TaskView {
	return TaskView{
		Task: t.id, State: t.state, Attempt: t.attempt, Worker: t.worker, Failures: t.failures, Reason: t.reason,
	}
}

// waitReason returns what a task waits for, or "" if it runs or has ended.
func (m *Machine) waitReason(now time.Time, t *task) string {
	switch {
	case t.state == StateRunning || t.state.final():
		return ""
	case t.state.live() && t.inherited:
		return "a former owner may have started it: waits for the worker's report or the end of its lease"
	case t.state == StateEvicting:
		return "the old attempt is being checkpointed and stopped"
	case t.startUnanswered:
		return "the answer to its start was lost: waits for the worker's report"
	case t.state == StateClaimed:
		return "claimed: waits for the worker to confirm the start"
	case !m.permit.Write:
		return reasonNotWritable
	case t.job.moving:
		return "the job is being passed on to another partition"
	case t.recordPending:
		return "placed on " + string(t.reservedOn) + ": waits for the record of its claim"
	case t.reservedOn != "":
		return "placed on " + string(t.reservedOn) + ": waits for evictions there"
	case now.Before(t.notBefore):
		return "waits " + t.notBefore.Sub(now).Round(time.Millisecond).String() + " after its last attempt: " + t.reason
	}
	if q := m.byShape[shapeOf(t)]; q != nil && q.blockedReason != "" {
		return q.blockedReason
	}
	return "waits for its turn"
}

// Snapshot returns records that restore the current recorded state. It removes jobs that ended longer ago than their
// retention.
func (m *Machine) Snapshot(now time.Time) []ledger.Record {
	oldest, oldestMoved := now.Add(-retention).UnixMilli(), now.Add(-movedRetention).UnixMilli()
	var records []ledger.Record
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		j := m.jobs[id]
		if j.endedMS != 0 && (j.endedMS < oldest && j.movedTo == "" || j.endedMS < oldestMoved) {
			m.dropTasks(j)
			delete(m.jobs, id)
			continue
		}
		records = append(records, m.jobRecords(j)...)
	}
	return records
}

func (m *Machine) jobRecords(j *job) []ledger.Record {
	if j.serviceID != "" {
		return append([]ledger.Record{ledger.ServiceConfigured{
			Service: j.serviceID, Class: j.spec.Class, Replicas: j.replicas(), Resources: j.spec.Resources, Revision: j.revision,
		}}, taskRecords(j)...)
	}
	records := []ledger.Record{ledger.JobSubmitted{Spec: j.spec, AtMS: j.submittedMS, Moves: j.moves}}
	if j.movedTo != "" {
		return append(records, ledger.JobMoved{Job: j.spec.Job, To: j.movedTo, AtMS: j.endedMS})
	}
	records = append(records, taskRecords(j)...)
	if j.cancelled && j.endedMS == 0 {
		// This record follows the tasks, so that it does not cancel any of them a second time.
		records = append(records, ledger.JobCancelled{Job: j.spec.Job, AtMS: j.submittedMS})
	}
	return records
}

// taskRecords returns the records of a job's tasks. It omits tasks that were never claimed, because their state follows
// from the job's record.
func taskRecords(j *job) []ledger.Record {
	var records []ledger.Record
	for _, t := range j.tasks {
		if t.state == StateWaiting && t.attempt == 0 {
			continue
		}
		state := t.state
		if state.live() {
			state = StateClaimed
		}
		records = append(records, ledger.TaskSnapshot{
			Task: t.id, State: string(state), Attempt: t.attempt, Worker: t.worker, Failures: t.failures,
			FailedOn: t.failedOn, Crashes: t.crashes, SharedCrashes: t.sharedCrashes, Checkpoint: t.checkpoint, Reason: t.reason, EndedMS: j.endedMS,
		})
	}
	return records
}
