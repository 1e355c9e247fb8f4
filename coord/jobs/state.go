package jobs

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/plat"
	"lovagefork.example/coord/store"
)

// State is the state of a task or job.
type State string

// The states of tasks and jobs. Jobs are never claimed or evicting; only jobs are moved.
const (
	StateWaiting   State = "waiting"
	StateClaimed   State = "claimed"
	StateRunning   State = "running"
	StateEvicting  State = "evicting"
	StateSucceeded State = "succeeded"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
	StateMoved     State = "moved"
)

// live reports whether an attempt of a task in this state may be running.
func (s State) live() bool { return s == StateClaimed || s == StateRunning || s == StateEvicting }

func (s State) final() bool { return s == StateSucceeded || s == StateFailed || s == StateCancelled }

// ServicePrefix is the prefix of the job ids of services, which no batch job may use.
const ServicePrefix = "svc/"

// job is a batch job, or the replicas of a service if serviceID is set.
type job struct {
	spec            ledger.Spec
	submittedMS     int64
	arrivedAt       time.Time
	endedMS         int64 // 0 until the job has ended or moved away
	moves           int
	movedTo         fleet.PartitionID
	cancelled       bool
	tasks           []*task
	unfinishedTasks int
	attempted       bool // some task was claimed
	moving          bool // the record of a move is not durable yet

	serviceID fleet.ServiceID
	revision  store.Revision
}

// task holds the recorded state of a task, followed by the state that is not recorded and that a new owner lacks.
type task struct {
	id            fleet.TaskID
	job           *job
	state         State
	attempt       fleet.Attempt
	worker        fleet.WorkerID
	failures      int
	failedOn      []fleet.WorkerID
	crashes       int // attempts that may have crashed their worker
	sharedCrashes int // attempts that were lost while many workers crashed
	checkpoint    []byte
	reason        string
	retired       bool // a replica that the configuration no longer has

	recordPending    bool // the record of a claim or an end is not durable yet
	startSent        bool
	startInFlight    bool
	startEpoch       fleet.Epoch
	startSentAt      time.Time
	confirmedAt      time.Time
	startUnanswered  bool // the start got no answer
	inherited        bool // claimed under a former owner and not confirmed since
	mayRunUntil      time.Time
	nextStopAt       time.Time
	stopInFlight     bool
	checkpointOnStop bool
	// reservedOn is the worker of a reservation whose claim is not durable yet.
	reservedOn      fleet.WorkerID
	reservedAt      time.Time
	placementReason string
	victims         []plat.TaskRef // attempts to evict before the claim
	notBefore       time.Time
}

func (t *task) ref() plat.TaskRef { return plat.TaskRef{Task: t.id, Attempt: t.attempt} }

func (t *task) nextRef() plat.TaskRef { return plat.TaskRef{Task: t.id, Attempt: t.attempt + 1} }

// resetAttempt clears the unrecorded state of an attempt.
func (t *task) resetAttempt() {
	t.recordPending, t.startSent, t.startInFlight, t.startUnanswered, t.inherited = false, false, false, false, false
	t.stopInFlight, t.checkpointOnStop = false, false
	t.confirmedAt, t.mayRunUntil, t.nextStopAt, t.startSentAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}
	t.startEpoch, t.reservedOn, t.placementReason, t.victims = 0, "", "", nil
}

// worker is a worker of the partition, or a former worker that may still run attempts.
type worker struct {
	info           fleet.Worker
	listed         bool // in the host list
	fence          uint64
	epochAccepted  bool
	usable         bool
	tasks          map[fleet.TaskID]*task
	pendingAcks    []plat.TaskRef
	nextStatusAt   time.Time
	statusInFlight bool
	nextRenewAt    time.Time
	renewInFlight  bool
	failingSince   time.Time // zero unless the worker is suspect
	failedAt       time.Time // the last failed call
}

// suspect reports whether a call to the worker failed and no status read has succeeded since.
func (w *worker) suspect() bool { return !w.failingSince.IsZero() }

func taskID(j fleet.JobID, index int) fleet.TaskID {
	return fleet.TaskID(string(j) + "/" + strconv.Itoa(index))
}

func serviceJob(s fleet.ServiceID) fleet.JobID { return fleet.JobID(ServicePrefix + string(s)) }

// jobOf returns the job id within a task id.
func jobOf(t fleet.TaskID) fleet.JobID {
	i := strings.LastIndexByte(string(t), '/')
	if i < 0 {
		return fleet.JobID(t)
	}
	return fleet.JobID(t[:i])
}

// apply applies a record to the recorded state and reports whether it changed anything. Commits and recovery both use
// it, so that they end in the same state.
func (m *Machine) apply(r ledger.Record) bool {
	switch r := r.(type) {
	case ledger.JobSubmitted:
		return m.applySubmitted(r)
	case ledger.TaskClaimed:
		t := m.tasks[r.Task]
		if t == nil || t.state != StateWaiting || r.Attempt <= t.attempt {
			return false
		}
		t.state, t.attempt, t.worker = StateClaimed, r.Attempt, r.Worker
		t.job.attempted = true
		return true
	case ledger.AttemptEnded:
		return m.applyEnded(r)
	case ledger.JobCancelled:
		return m.applyCancelled(r)
	case ledger.JobMoved:
		j := m.jobs[r.Job]
		if j == nil || j.endedMS != 0 {
			return false
		}
		j.movedTo, j.endedMS = r.To, r.AtMS
		m.dropTasks(j)
		return true
	case ledger.ServiceConfigured:
		return m.applyService(r)
	case ledger.TaskSnapshot:
		m.applyTask(r)
		return true
	}
	return false
}

func (m *Machine) applySubmitted(r ledger.JobSubmitted) bool {
	old := m.jobs[r.Spec.Job]
	// A job may return to a partition that moved it away earlier.
	if old != nil && (old.movedTo == "" || r.Moves <= old.moves) {
		return false
	}
	j := &job{spec: r.Spec, submittedMS: r.AtMS, moves: r.Moves, unfinishedTasks: r.Spec.Tasks}
	j.tasks = make([]*task, r.Spec.Tasks)
	for i := range j.tasks {
		t := &task{id: taskID(r.Spec.Job, i), job: j, state: StateWaiting}
		j.tasks[i] = t
		m.tasks[t.id] = t
	}
	m.jobs[r.Spec.Job] = j
	for _, t := range r.Tasks {
		m.applyTask(t)
	}
	return true
}

func (m *Machine) applyEnded(r ledger.AttemptEnded) bool {
	t := m.tasks[r.Task]
	if t == nil || !t.state.live() || t.attempt != r.Attempt {
		return false
	}
	t.reason = r.Reason
	if len(r.Checkpoint) > 0 {
		t.checkpoint = r.Checkpoint
	}
	service := t.job.serviceID != ""
	switch {
	case t.job.cancelled:
		m.finishTask(t, StateCancelled, r.AtMS)
	case service && t.retired:
		m.removeTask(t)
	case r.Outcome == ledger.OutcomeCrashed:
		t.countCrash(r.Shared)
		t.state = StateWaiting
		if !service && (t.crashes >= maxCrashes || t.crashes+t.sharedCrashes >= maxSharedCrashes) {
			t.reason = fmt.Sprintf("given up: %d workers crashed while they ran it", t.crashes+t.sharedCrashes)
			m.finishTask(t, StateFailed, r.AtMS)
		}
	case service && r.Outcome == ledger.OutcomeFailed:
		t.failures++
		t.state = StateWaiting
	case r.Outcome == ledger.OutcomeSucceeded && !service:
		m.finishTask(t, StateSucceeded, r.AtMS)
	case r.Outcome == ledger.OutcomeFailed:
		t.failures++
		t.addFailedOn(t.worker)
		t.state = StateWaiting
		if t.failures >= t.job.spec.MaxAttempts {
			m.finishTask(t, StateFailed, r.AtMS)
		}
	default:
		t.state = StateWaiting
	}
	return true
}

func (t *task) addFailedOn(id fleet.WorkerID) {
	if !slices.Contains(t.failedOn, id) {
		t.failedOn = append(t.failedOn, id)
	}
}

// finishTask sets a final state, and ends the job with its last unfinished task.
func (m *Machine) finishTask(t *task, s State, atMS int64) {
	t.state = s
	t.checkpoint = nil
	t.job.unfinishedTasks--
	if t.job.unfinishedTasks == 0 {
		t.job.endedMS = atMS
	}
}

func (m *Machine) applyCancelled(r ledger.JobCancelled) bool {
	j := m.jobs[r.Job]
	if j == nil || j.endedMS != 0 || j.cancelled {
		return false
	}
	j.cancelled = true
	for _, t := range j.tasks {
		if t.state == StateWaiting {
			m.finishTask(t, StateCancelled, r.AtMS)
		}
	}
	return true
}

// dropTasks removes all tasks of a job that has moved away or whose retention is over.
func (m *Machine) dropTasks(j *job) {
	for _, t := range j.tasks {
		delete(m.tasks, t.id)
		t.state = StateMoved
	}
	j.tasks = nil
}

// removeTask removes a single task, the replica of a service.
func (m *Machine) removeTask(t *task) {
	delete(m.tasks, t.id)
	t.job.tasks = slices.DeleteFunc(t.job.tasks, func(o *task) bool { return o == t })
	t.state = StateCancelled
}

func (m *Machine) applyTask(r ledger.TaskSnapshot) {
	t := m.tasks[r.Task]
	if t == nil {
		j := m.jobs[jobOf(r.Task)]
		if j == nil || j.serviceID == "" {
			return
		}
		// The replica was removed from the configuration but has not stopped yet.
		t = &task{id: r.Task, job: j, retired: true}
		j.tasks = append(j.tasks, t)
		m.tasks[t.id] = t
	}
	t.state, t.attempt, t.worker = State(r.State), r.Attempt, r.Worker
	t.failures, t.failedOn, t.crashes, t.sharedCrashes = r.Failures, r.FailedOn, r.Crashes, r.SharedCrashes
	t.checkpoint, t.reason = r.Checkpoint, r.Reason
	if t.attempt > 0 {
		t.job.attempted = true
	}
	if t.state.final() {
		t.job.unfinishedTasks--
		if t.job.unfinishedTasks == 0 {
			t.job.endedMS = r.EndedMS
		}
	}
}
