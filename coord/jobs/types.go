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
	// TaskTTL is the lease of a task at its worker.
	TaskLeaseTTL = time.Minute
	// TaskMargin is added before an unrenewed task counts as stopped: clock drift of 10 %.
	TaskLeaseMargin = TaskLeaseTTL / 10
	// RenewEvery leaves three further attempts after a lost renewal.
	RenewInterval = 15 * time.Second

	// unclearExtra bounds how long after its timeout a command without an answer may still reach the worker.
	unclearExtra = 5 * time.Second
	// recoverExtra covers commands that the former owner sent just before it lost the partition.
	recoverExtra  = 10 * time.Second
	statusEvery   = time.Second
	idleEvery     = 5 * time.Second
	suspectEvery  = 2 * time.Second
	stopEvery     = 2 * time.Second
	publishEvery  = 30 * time.Second
	unusableAfter = 5 * time.Second
	backoffMin    = time.Second
	backoffMax    = 30 * time.Second
	// notStartedDelay keeps a task from being offered to the same full or unreachable worker in a tight loop.
	notStartedDelay = 500 * time.Millisecond
	// evictWait is how long an urgent task waits for the evictions on its worker before it is placed again.
	evictWait = 20 * time.Second
	// moveAfter is how long a job waits for room in its partition before it is passed on.
	moveAfter = 5 * time.Second
	// moveUrgentAfter leaves time for a start elsewhere within the two seconds of urgent work.
	moveUrgentAfter = 750 * time.Millisecond
	maxMoves        = 3
	// maxForcedMoves bounds the moves of a job whose partitions lose their workers one after another.
	maxForcedMoves = 50
	// forcedMoveEvery makes these moves last longer than a process that reaches no worker at all.
	forcedMoveEvery = 30 * time.Second
	// retention is how long a finished job answers repeated submissions.
	retention = 24 * time.Hour
	// retentionMoved is longer, because a job that was passed on may run for days elsewhere, and is found by its home.
	retentionMoved = 30 * 24 * time.Hour
)

// fenceBits is the part of an epoch that counts the fences of a worker under one owner; see [Machine] and worker.epoch.
const fenceBits = 20

// Permit tells what the ownership of the partition allows at the moment.
type Permit struct {
	// Claim allows records, starts, stops and acknowledgements.
	Write bool
	// Renew allows to read status and to renew the leases of running tasks.
	Renew bool
}

// Holding is what a customer's running tasks hold.
type Amount struct {
	Tasks     int
	Resources fleet.Resources
}

// Event is an input of [Machine.Step].
type Event interface{ event() }

type (
	// Tick tells that time has passed; send it every [ledger.TickEvery].
	Tick struct{}
	// Submit adds a job; it is answered by [Answer] with the same Call.
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
	// Inbox adds a job that another partition passed on under the given key.
	JobReceived struct {
		Key string
		Job ledger.JobSubmitted
	}
	// Committed tells that records of this machine are durable.
	Committed struct{ Records []ledger.Record }
	// WorkerSeen adds a worker of the partition or replaces what is known of it.
	WorkerListed struct{ Worker fleet.Worker }
	// WorkerGone tells that the host list has no such worker; its tasks stay until they provably ended.
	WorkerUnlisted struct{ ID fleet.WorkerID }
	// Capacities gives the largest workers of every partition, by which a job that does not fit here is passed on.
	Capacities struct {
		Workers map[fleet.PartitionID][]fleet.Resources
	}
	// Configured gives a customer's quota and the replicas that this partition runs.
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
	// StatusDone answers [Status].
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

func (Tick) event()       {}
func (Submit) event()     {}
func (Cancel) event()     {}
func (Evict) event()      {}
func (JobReceived) event()      {}
func (Committed) event()  {}
func (WorkerListed) event() {}
func (WorkerUnlisted) event() {}
func (Capacities) event() {}
func (Configured) event() {}
func (QuotaGrant) event()      {}
func (StartDone) event()  {}
func (RenewDone) event()  {}
func (StatusDone) event() {}
func (StopDone) event()   {}

// Effect is an output of [Machine.Step].
type Effect interface{ effect() }

type (
	// Append asks to make records durable, together with store operations; Urgent claims go before other store calls.
	Append struct {
		Records []ledger.Record
		Ops     []store.Op
		Urgent  bool
	}
	// Start asks to start a claimed attempt.
	Start struct {
		Worker fleet.Worker
		Start  plat.StartRequest
	}
	// Renew asks to renew task leases on a worker.
	Renew struct {
		Worker fleet.Worker
		Epoch  fleet.Epoch
		Tasks  []plat.TaskRef
	}
	// Status asks for a worker's report.
	ReadStatus struct {
		Worker fleet.Worker
		Epoch  fleet.Epoch
	}
	// Stop asks to end an attempt.
	Stop struct {
		Worker     fleet.Worker
		Epoch      fleet.Epoch
		Ref        plat.TaskRef
		Checkpoint bool
	}
	// Throttle asks to limit an attempt.
	Throttle struct {
		Worker   fleet.Worker
		Epoch    fleet.Epoch
		Ref      plat.TaskRef
		Permille int
	}
	// Ack lets a worker forget terminal reports whose records are durable.
	Ack struct {
		Worker fleet.Worker
		Epoch  fleet.Epoch
		Tasks  []plat.TaskRef
	}
	// Publish spreads where service replicas run.
	PublishEndpoints struct{ Endpoints wire.Endpoints }
	// Answer answers a call; Status is an HTTP status and Reason is set if it is an error.
	Response struct {
		Call   uint64
		Status int
		Reason string
		Job    fleet.JobID
	}
	// Superseded tells that a worker has accepted a higher epoch than this owner's.
	Superseded struct{ Worker fleet.WorkerID }
	// Note is a log line.
	Log struct {
		Text string
		Args []any
	}
)

func (Append) effect()     {}
func (Start) effect()      {}
func (Renew) effect()      {}
func (ReadStatus) effect()     {}
func (Stop) effect()       {}
func (Throttle) effect()   {}
func (Ack) effect()        {}
func (PublishEndpoints) effect()    {}
func (Response) effect()     {}
func (Superseded) effect() {}
func (Log) effect()       {}
