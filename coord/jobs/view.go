package jobs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/ledger"
)

// View is a job as callers see it.
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

// TaskView is a task as callers see it; Why tells what a waiting task waits for.
type TaskView struct {
	Task     fleet.TaskID   `json:"task_id"`
	State    State          `json:"state"`
	Attempt  fleet.Attempt  `json:"attempt"`
	Worker   fleet.WorkerID `json:"worker,omitempty"`
	Failures int            `json:"failures,omitempty"`
	Reason   string         `json:"reason,omitempty"`
	WaitReason      string         `json:"why,omitempty"`
}

// Job returns a job with its tasks, and false if the partition does not know it.
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

// Filter selects jobs; the zero value of Customer or State matches all. Jobs come in ascending order of id, those after
// the given one first, and at most Limit of them.
type Filter struct {
	Customer fleet.CustomerID `json:"customer"`
	State    State            `json:"state"`
	After    fleet.JobID      `json:"after"`
	Limit    int              `json:"limit"`
}

// List returns the selected jobs without their tasks.
func (m *Machine) List(f Filter) []View {
	var all []View
	for id, j := range m.jobs {
		if j.movedTo != "" || j.service != "" || id <= f.After || (f.Customer != "" && j.spec.Customer != f.Customer) {
			continue
		}
		if v := m.view(j); f.State == "" || v.State == f.State {
			all = append(all, v)
		}
	}
	return Page(all, f.Limit)
}

// Page sorts jobs by id and returns the first of them.
func Page(all []View, limit int) []View {
	slices.SortFunc(all, func(a, b View) int { return cmp.Compare(a.Job, b.Job) })
	return all[:min(len(all), limit)]
}

// Explain returns a job whose waiting tasks tell what they wait for, and false if the partition does not know it.
func (m *Machine) Explain(now time.Time, id fleet.JobID) (View, bool) {
	v, known := m.Job(id)
	if !known {
		return v, false
	}
	for i, tv := range v.Tasks {
		if t := m.tasks[tv.Task]; t != nil {
			v.Tasks[i].WaitReason = m.why(now, t)
		}
	}
	return v, true
}

func (m *Machine) view(j *job) View {
	v := View{
		Spec: j.spec, State: j.state(), Partition: m.partition, MovedTo: j.movedTo,
		SubmittedMS: j.submitted, EndedMS: j.ended, Counts: make(map[State]int),
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

func (m *Machine) why(now time.Time, t *task) string {
	switch {
	case t.state == StateRunning || t.state.final():
		return ""
	case t.state.live() && t.inherited:
		return "a former owner may have started it: waits for the worker's report or the end of its lease"
	case t.state == StateEvicting:
		return "the old attempt is being checkpointed and stopped"
	case t.unclear:
		return "the answer to its start was lost: waits for the worker's report"
	case t.state == StateClaimed:
		return "claimed: waits for the worker to confirm the start"
	case !m.permit.Write:
		return notOwner
	case t.job.passing:
		return "the job is being passed on to another partition"
	case t.pending:
		return "placed on " + string(t.reserved) + ": waits for the record of its claim"
	case t.reserved != "":
		return "placed on " + string(t.reserved) + ": waits for evictions there"
	case now.Before(t.notBefore):
		return "waits " + t.notBefore.Sub(now).Round(time.Millisecond).String() + " after its last attempt: " + t.reason
	}
	if q := m.byShape[shapeOf(t)]; q != nil && q.why != "" {
		return q.why
	}
	return "waits for its turn"
}

// Snapshot returns records that rebuild the state of all durable records, and forgets jobs that ended long ago.
func (m *Machine) Snapshot(now time.Time) []ledger.Record {
	oldest, oldestMoved := now.Add(-retention).UnixMilli(), now.Add(-retentionMoved).UnixMilli()
	var records []ledger.Record
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		j := m.jobs[id]
		if j.ended != 0 && (j.ended < oldest && j.movedTo == "" || j.ended < oldestMoved) {
			m.dropTasks(j)
			delete(m.jobs, id)
			continue
		}
		records = append(records, m.jobRecords(j)...)
	}
	return records
}

func (m *Machine) jobRecords(j *job) []ledger.Record {
	if j.service != "" {
		return append([]ledger.Record{ledger.ServiceConfigured{
			Service: j.service, Class: j.spec.Class, Replicas: j.replicas(), Resources: j.spec.Resources, Revision: j.revision,
		}}, taskRecords(j)...)
	}
	records := []ledger.Record{ledger.JobSubmitted{Spec: j.spec, AtMS: j.submitted, Moves: j.moves}}
	if j.movedTo != "" {
		return append(records, ledger.JobMoved{Job: j.spec.Job, To: j.movedTo, AtMS: j.ended})
	}
	records = append(records, taskRecords(j)...)
	if j.cancelled && j.ended == 0 {
		// After the tasks, so that it closes none of them a second time.
		records = append(records, ledger.JobCancelled{Job: j.spec.Job, AtMS: j.submitted})
	}
	return records
}

// taskRecords leaves out tasks that were never claimed; their state follows from the job.
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
			FailedOn: t.failedOn, Checkpoint: t.checkpoint, Reason: t.reason, EndedMS: j.ended,
		})
	}
	return records
}
