package jobs

import (
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

// The states of tasks; a job has those but claimed and evicting, and may be moved.
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

// live reports whether an attempt may be running.
func (s State) live() bool { return s == StateClaimed || s == StateRunning || s == StateEvicting }

func (s State) final() bool { return s == StateSucceeded || s == StateFailed || s == StateCancelled }

// ServicePrefix starts the ids of service replicas, which no batch job may use.
const ServicePrefix = "svc/"

type job struct {
	spec      ledger.Spec
	submitted int64
	arrived   time.Time
	ended     int64
	moves     int
	movedTo   fleet.PartitionID
	cancelled bool
	tasks     []*task
	open      int
	attempted bool
	passing   bool

	service  fleet.ServiceID
	revision store.Revision
}

// task holds the recorded state first and then what only this owner knows.
type task struct {
	id         fleet.TaskID
	job        *job
	state      State
	attempt    fleet.Attempt
	worker     fleet.WorkerID
	failures   int
	failedOn   []fleet.WorkerID
	checkpoint []byte
	reason     string
	retired    bool

	pending   bool
	sent      bool
	startBusy bool
	sentEpoch fleet.Epoch
	confirmed time.Time
	unclear   bool
	inherited bool
	mayRunTo  time.Time
	stopAt    time.Time
	stopBusy  bool
	stopKeep  bool
	// reserved is the worker of a reservation whose claim is not durable yet.
	reserved    fleet.WorkerID
	reservedAt  time.Time
	reservedFor string
	victims     []plat.TaskRef
	notBefore   time.Time
}

func (t *task) ref() plat.TaskRef { return plat.TaskRef{Task: t.id, Attempt: t.attempt} }

func (t *task) nextRef() plat.TaskRef { return plat.TaskRef{Task: t.id, Attempt: t.attempt + 1} }

// resetVolatile clears what belongs to one attempt.
func (t *task) resetVolatile() {
	t.pending, t.sent, t.startBusy, t.unclear, t.inherited = false, false, false, false, false
	t.stopBusy, t.stopKeep = false, false
	t.confirmed, t.mayRunTo, t.stopAt = time.Time{}, time.Time{}, time.Time{}
	t.sentEpoch, t.reserved, t.reservedFor, t.victims = 0, "", "", nil
}

// worker is a worker of the partition, or a former one that may still run attempts.
type worker struct {
	info      fleet.Worker
	listed    bool
	fence     uint64
	fenced    bool
	usable    bool
	tasks     map[fleet.TaskID]*task
	acks      []plat.TaskRef
	statusAt  time.Time
	busy      bool
	renewAt   time.Time
	renewBusy bool
	failedAt  time.Time
}

func (w *worker) suspect() bool { return !w.failedAt.IsZero() }

func taskID(j fleet.JobID, index int) fleet.TaskID {
	return fleet.TaskID(string(j) + "/" + strconv.Itoa(index))
}

func serviceJob(s fleet.ServiceID) fleet.JobID { return fleet.JobID(ServicePrefix + string(s)) }

func jobOf(t fleet.TaskID) fleet.JobID {
	at := strings.LastIndexByte(string(t), '/')
	if at < 0 {
		return fleet.JobID(t)
	}
	return fleet.JobID(t[:at])
}

// apply changes the recorded state and reports whether the record had an effect; it is the same for commits and for
// recovery, so that both end in the same state.
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
		if j == nil || j.ended != 0 {
			return false
		}
		j.movedTo, j.ended = r.To, r.AtMS
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
	// A job may return to a partition that passed it on earlier.
	if old != nil && (old.movedTo == "" || r.Moves <= old.moves) {
		return false
	}
	j := &job{spec: r.Spec, submitted: r.AtMS, moves: r.Moves, open: r.Spec.Tasks}
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
	service := t.job.service != ""
	switch {
	case t.job.cancelled:
		m.close(t, StateCancelled, r.AtMS)
	case service && t.retired:
		m.removeTask(t)
	case service && r.Outcome == ledger.OutcomeFailed:
		t.failures++
		t.state = StateWaiting
	case r.Outcome == ledger.OutcomeSucceeded && !service:
		m.close(t, StateSucceeded, r.AtMS)
	case r.Outcome == ledger.OutcomeFailed:
		t.failures++
		if !slices.Contains(t.failedOn, t.worker) {
			t.failedOn = append(t.failedOn, t.worker)
		}
		t.state = StateWaiting
		if t.failures >= t.job.spec.MaxAttempts {
			m.close(t, StateFailed, r.AtMS)
		}
	default:
		t.state = StateWaiting
	}
	return true
}

func (m *Machine) close(t *task, s State, atMS int64) {
	t.state = s
	t.checkpoint = nil
	t.job.open--
	if t.job.open == 0 {
		t.job.ended = atMS
	}
}

func (m *Machine) applyCancelled(r ledger.JobCancelled) bool {
	j := m.jobs[r.Job]
	if j == nil || j.ended != 0 || j.cancelled {
		return false
	}
	j.cancelled = true
	for _, t := range j.tasks {
		if t.state == StateWaiting {
			m.close(t, StateCancelled, r.AtMS)
		}
	}
	return true
}

func (m *Machine) dropTasks(j *job) {
	for _, t := range j.tasks {
		delete(m.tasks, t.id)
		t.state = StateMoved
	}
	j.tasks = nil
}

func (m *Machine) removeTask(t *task) {
	delete(m.tasks, t.id)
	t.job.tasks = slices.DeleteFunc(t.job.tasks, func(o *task) bool { return o == t })
	t.state = StateCancelled
}

func (m *Machine) applyTask(r ledger.TaskSnapshot) {
	t := m.tasks[r.Task]
	if t == nil {
		j := m.jobs[jobOf(r.Task)]
		if j == nil || j.service == "" {
			return
		}
		// A replica that was removed from the configuration but has not stopped yet.
		t = &task{id: r.Task, job: j, retired: true}
		j.tasks = append(j.tasks, t)
		m.tasks[t.id] = t
	}
	t.state, t.attempt, t.worker = State(r.State), r.Attempt, r.Worker
	t.failures, t.failedOn = r.Failures, r.FailedOn
	t.checkpoint, t.reason = r.Checkpoint, r.Reason
	if t.attempt > 0 {
		t.job.attempted = true
	}
	if t.state.final() {
		t.job.open--
		if t.job.open == 0 {
			t.job.ended = r.EndedMS
		}
	}
}
