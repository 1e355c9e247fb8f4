package jobs

import (
	"time"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/plat"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
)

// Durations of task leases and of the calls to workers.
const (
	// TaskLeaseTTL is the duration of the lease under which a worker runs a task.
	TaskLeaseTTL = time.Minute
	// TaskLeaseMargin is added to TaskLeaseTTL before a task whose lease was not renewed counts as stopped. It allows
	// for a clock drift of 10 %.
	TaskLeaseMargin = TaskLeaseTTL / 10
	// RenewInterval is the time between two renewals of a lease. It leaves three more attempts after a lost renewal.
	RenewInterval = 15 * time.Second

	// lateCommandMargin bounds how long after its timeout an unanswered command may still reach the worker.
	lateCommandMargin = 5 * time.Second
	// recoveryMargin covers commands that the former owner sent just before it lost the partition.
	recoveryMargin        = 10 * time.Second
	statusInterval        = time.Second
	idleStatusInterval    = 5 * time.Second
	suspectStatusInterval = 2 * time.Second
	stopInterval          = 2 * time.Second
	publishInterval       = 30 * time.Second
	// unusableAfter is how long a worker may be suspect before it gets no new tasks.
	unusableAfter = 5 * time.Second
	backoffMin    = time.Second
	backoffMax    = 30 * time.Second
	// notStartedBackoff prevents a tight loop of placing a task on the same full or unreachable worker.
	notStartedBackoff = 500 * time.Millisecond
	// evictTimeout is how long an urgent task waits for the evictions on its worker before it is placed again.
	evictTimeout = 20 * time.Second
	// moveDelay is how long a job waits for free capacity in its partition before it moves to another one.
	moveDelay = 5 * time.Second
	// urgentMoveDelay replaces moveDelay for urgent jobs. It leaves time to start elsewhere within the target of two
	// seconds for urgent work.
	urgentMoveDelay = 750 * time.Millisecond
	// maxMoves bounds the moves of a job that would fit a worker of its partition.
	maxMoves = 3
	// maxForcedMoves bounds the moves of a job whose partitions lose their workers one after another.
	maxForcedMoves = 50
	// forcedMoveInterval is the time between two forced moves beyond maxMoves. It is so long that maxForcedMoves are
	// not used up while a process reaches no worker at all.
	forcedMoveInterval = 30 * time.Second
	// retention is how long a finished job is kept in order to recognize repeated submissions.
	retention = 24 * time.Hour
	// movedRetention applies to moved jobs. It is longer because such a job may run for days elsewhere, and lookups
	// start at its home partition.
	movedRetention = 30 * 24 * time.Hour
)

// fenceBits is the number of low bits of a worker's epoch that hold its fence counter; see [Machine.workerEpoch].
const fenceBits = 20

// Permit holds the operations that the state of the partition's ownership allows at the moment.
type Permit struct {
	// Write allows appending records and sending starts, stops and acknowledgements.
	Write bool
	// Renew allows reading the status of workers and renewing the leases of running tasks.
	Renew bool
}

// Amount is a number of running tasks and the sum of their resources.
type Amount struct {
	Tasks     int
	Resources fleet.Resources
}

// Event is an input of [Machine.Step].
type Event interface{ event() }

type (
	// Tick triggers the periodic work; send it every [ledger.TickInterval].
	Tick struct{}
	// Submit adds a job. It is answered by a [Response] with the same Call, like the other events with a Call.
	Submit struct {
		Call uint64
		Spec ledger.Spec
	}
	// Cancel ends a job.
	Cancel struct {
		Call uint64
		Job  fleet.JobID
	}
	// Evict moves the running tasks of a job, or one task of it if Task is set, to other workers.
	Evict struct {
		Call uint64
		Job  fleet.JobID
		Task fleet.TaskID
	}
	// JobReceived adds a job that another partition moved to this one by writing it to the inbox key Key at Revision. The
	// entry may have been received before, and the key may hold another one since.
	JobReceived struct {
		Key      string
		Revision store.Revision
		Job      ledger.JobSubmitted
	}
	// Committed reports that records of this machine are durable.
	Committed struct{ Records []ledger.Record }
	// WorkerListed adds a worker of the partition or updates its host list entry.
	WorkerListed struct{ Worker fleet.Worker }
	// WorkerUnlisted reports that a worker is no longer in the host list. Its attempts are kept until they have
	// provably ended.
	WorkerUnlisted struct{ ID fleet.WorkerID }
	// Capacities sets the capacities of the largest workers of every partition. They determine where a job that does
	// not fit here can move.
	Capacities struct {
		Workers map[fleet.PartitionID][]fleet.Resources
	}
	// Configured sets a customer's quota and the service replicas that this partition runs.
	Configured struct {
		Document config.VersionedDocument
		Services []ledger.ServiceConfigured
	}
	// StartDone answers [Start].
	StartDone struct {
		Ref    plat.TaskRef
		Worker fleet.WorkerID
		Epoch  fleet.Epoch
		Err    error
	}
	// RenewDone answers [Renew].
	RenewDone struct {
		Worker  fleet.WorkerID
		Epoch   fleet.Epoch
		Tasks   []plat.TaskRef
		Unknown []plat.TaskRef
		Err     error
	}
	// StatusDone answers [ReadStatus].
	StatusDone struct {
		Worker fleet.WorkerID
		Epoch  fleet.Epoch
		SentAt time.Time
		Status plat.WorkerStatus
		Err    error
	}
	// StopDone answers [Stop].
	StopDone struct {
		Ref    plat.TaskRef
		Worker fleet.WorkerID
		Epoch  fleet.Epoch
		Status plat.TaskStatus
		Err    error
	}
)

func (Tick) event()           {}
func (Submit) event()         {}
func (Cancel) event()         {}
func (Evict) event()          {}
func (JobReceived) event()    {}
func (Committed) event()      {}
func (WorkerListed) event()   {}
func (WorkerUnlisted) event() {}
func (Capacities) event()     {}
func (Configured) event()     {}
func (QuotaGrant) event()     {}
func (StartDone) event()      {}
func (RenewDone) event()      {}
func (StatusDone) event()     {}
func (StopDone) event()       {}

// Effect is an output of [Machine.Step].
type Effect interface{ effect() }

type (
	// Append makes records durable, together with store operations in the same transaction. Urgent gives the
	// transaction priority over other store calls.
	Append struct {
		Records []ledger.Record
		Ops     []store.Op
		Urgent  bool
	}
	// DiscardInboxEntry deletes an inbox key if it was last written at Revision.
	DiscardInboxEntry struct {
		Key      string
		Revision store.Revision
	}
	// Start starts a claimed attempt.
	Start struct {
		Worker fleet.Worker
		Start  plat.StartRequest
	}
	// Renew renews task leases on a worker.
	Renew struct {
		Worker fleet.Worker
		Epoch  fleet.Epoch
		Tasks  []plat.TaskRef
	}
	// ReadStatus reads the status report of a worker.
	ReadStatus struct {
		Worker fleet.Worker
		Epoch  fleet.Epoch
	}
	// Stop stops an attempt, with a checkpoint if Checkpoint is set.
	Stop struct {
		Worker     fleet.Worker
		Epoch      fleet.Epoch
		Ref        plat.TaskRef
		Checkpoint bool
	}
	// Throttle limits an attempt to Permille thousandths of its declared processor time.
	Throttle struct {
		Worker   fleet.Worker
		Epoch    fleet.Epoch
		Ref      plat.TaskRef
		Permille int
	}
	// Ack lets a worker discard terminal task reports whose records are durable.
	Ack struct {
		Worker fleet.Worker
		Epoch  fleet.Epoch
		Tasks  []plat.TaskRef
	}
	// PublishEndpoints announces the workers that run service replicas.
	PublishEndpoints struct{ Endpoints wire.Endpoints }
	// Response answers the call with the same Call. Status is an HTTP status, and Reason is set if it is an error.
	Response struct {
		Call   uint64
		Status int
		Reason string
		Job    fleet.JobID
	}
	// Superseded reports that a worker has accepted a higher epoch than this owner's.
	Superseded struct{ Worker fleet.WorkerID }
	// Log is a log line with its attributes.
	Log struct {
		Text string
		Args []any
	}
)

func (Append) effect()            {}
func (DiscardInboxEntry) effect() {}
func (Start) effect()             {}
func (Renew) effect()             {}
func (ReadStatus) effect()        {}
func (Stop) effect()              {}
func (Throttle) effect()          {}
func (Ack) effect()               {}
func (PublishEndpoints) effect()  {}
func (Response) effect()          {}
func (Superseded) effect()        {}
func (Log) effect()               {}
