package flow

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// Event is an input of the scheduler: a change in the store, a worker's answer, or the passing of time.
type Event interface{ event() }

// RosterRestored carries the part of the stored state that the leases of tasks depend on. It may precede [Restored], whose
// fields of the same names have no effect then, so that leases are renewed while the jobs are being read.
type RosterRestored struct {
	Roster    []RosterEntry
	Takeovers []Takeover
	Term      int64
}

// Restored is the first event of a scheduler, except for [RosterRestored], and carries the complete state from the store.
type Restored struct {
	Jobs []StoredJob
	// Cancelled lists the stored cancellations without a job.
	Cancelled []fleet.JobID
	// Roster lists the workers on which predecessors may have started tasks.
	Roster []RosterEntry
	// Takeovers are the elections that this process has observed, in any order. They shorten the wait for workers that do not
	// answer.
	Takeovers []Takeover
	// Term is the number of schedulers elected before this one.
	Term int64
	// Interference holds the interference models that a predecessor stored.
	Interference []InterferenceRecord
	// OrphanedParts are the stored parts of jobs that do not exist.
	OrphanedParts []PartKey
}

// StoredJob is a job as read from the store.
type StoredJob struct {
	Job       infra.Job
	Cancelled bool
	// Record is nil for a job without progress.
	Record *Record
	// Parts are the stored parts of the progress, in any order.
	Parts []PartRecord
}

// RosterEntry is a worker that may run tasks, with the address of its agent. Only schedulers of terms before RenewedBefore
// have renewed the lease of the tasks, or have started any; 0 stands for the term of the reader. A worker that is Joining does
// not count when most workers are needed, because a scheduler that may still act counts by the workers without it. StartedAt is
// the start time of the life that has answered last, in Unix milliseconds, 0 if it is not known; Restarted is set while a later one
// has registered which has not answered.
type RosterEntry struct {
	Worker        fleet.WorkerID `cbor:"worker"`
	Address       string         `cbor:"address"`
	RenewedBefore int64          `cbor:"renewed_before,omitempty"`
	Joining       bool           `cbor:"joining,omitempty"`
	StartedAt     int64          `cbor:"started_at,omitempty"`
	Restarted     bool           `cbor:"restarted,omitempty"`
}

// Cordon takes a worker out of service and requests its evacuation by Deadline, because its machine will be taken
// down. Without a deadline, its tasks are left alone.
type Cordon struct {
	Worker   fleet.WorkerID
	Deadline time.Time
}

// Uncordon reverts a [Cordon].
type Uncordon struct{ Worker fleet.WorkerID }

// Configured carries the operator's configuration. A version that is not newer than the current one is ignored.
type Configured struct{ Catalog *infra.Catalog }

// Submitted carries a job that is durable. Revision is the store revision at which it was stored; 0 if it is not known.
type Submitted struct {
	Job      infra.Job
	Revision int64
}

// CancelRequested carries a cancellation that is durable.
type CancelRequested struct{ Job fleet.JobID }

// WorkerListed carries the registration of a worker from the platform's list.
type WorkerListed struct{ Worker infra.Worker }

// WorkerUnlisted reports that the platform no longer lists a worker.
type WorkerUnlisted struct{ Worker fleet.WorkerID }

// RenewAnswered carries the report that answers the [Renew] with the same sequence number.
type RenewAnswered struct {
	Worker   fleet.WorkerID
	Sequence int64
	Order    infra.RenewOrder
	Report   infra.Report
}

// RenewFailed reports a [Renew] that was not answered with a report.
type RenewFailed struct {
	Worker   fleet.WorkerID
	Sequence int64
	Order    infra.RenewOrder
	Err      error
}

// Relays lists the entry hosts through which starts can be sent. It replaces the last one.
type Relays struct{ Relays []Relay }

// StartAnswered carries the outcome of a [Start]; Clock is the worker's clock in milliseconds, and Via the relay of the start.
type StartAnswered struct {
	Worker fleet.WorkerID
	Via    fleet.EntryHostID
	Order  infra.StartOrder
	Clock  int64
	Err    error
}

// StopAnswered carries the outcome of a [Stop]; Clock is the worker's clock in milliseconds.
type StopAnswered struct {
	Worker fleet.WorkerID
	Order  infra.StopOrder
	Clock  int64
	Err    error
}

// ThrottleAnswered carries the outcome of a [Throttle].
type ThrottleAnswered struct {
	Worker fleet.WorkerID
	Order  infra.ThrottleOrder
	Err    error
}

// Saved reports that the batch of a [Save] is durable. Revision is the store revision at which it was written, on condition that
// this scheduler leads, so that the token of any successor is higher; 0 if it is not known.
type Saved struct{ Batch, Revision int64 }

// SaveRejected reports that the store will never accept the batch of a [Save], and why.
type SaveRejected struct {
	Batch  int64
	Reason string
}

// JobsLookedUp is the end of a [LookUpJobs]. The jobs that exist were submitted before it.
type JobsLookedUp struct{ Jobs []fleet.JobID }

// ApprovalAnswered carries the answer to a [RequestApproval] that was sent at Sent.
type ApprovalAnswered struct {
	Step     infra.StepID
	Workers  []fleet.WorkerID
	Sent     time.Time
	Approval infra.Approval
	Err      error
}

// PredecessorStopped reports that the previous scheduler has sent no more orders for the time Ago at least.
type PredecessorStopped struct{ Ago time.Duration }

// PredecessorLeaseEnded reports that no predecessor can have started a job that was stored after Revision: the lease of each
// had ended when the store was at that revision, which is above 0, and a scheduler without a lease takes no new jobs.
type PredecessorLeaseEnded struct{ Revision int64 }

// Tick advances time; Wall is the time of day. ConfirmedAt is when the last renewal of the leadership that the store has
// confirmed was sent, zero for the present, and LeaseUnconfirmed is set while the lease is shorter than the time since then.
type Tick struct {
	Wall             time.Time
	ConfirmedAt      time.Time
	LeaseUnconfirmed bool
}

func (RosterRestored) event()        {}
func (Restored) event()              {}
func (Configured) event()            {}
func (Submitted) event()             {}
func (CancelRequested) event()       {}
func (WorkerListed) event()          {}
func (WorkerUnlisted) event()        {}
func (RenewAnswered) event()         {}
func (RenewFailed) event()           {}
func (Relays) event()                {}
func (StartAnswered) event()         {}
func (StopAnswered) event()          {}
func (ThrottleAnswered) event()      {}
func (Saved) event()                 {}
func (SaveRejected) event()          {}
func (ApprovalAnswered) event()      {}
func (JobsLookedUp) event()          {}
func (PredecessorStopped) event()    {}
func (PredecessorLeaseEnded) event() {}
func (Tick) event()                  {}
func (Cordon) event()                {}
func (Uncordon) event()              {}

// Effect is an action that the runtime carries out for the scheduler.
type Effect interface{ effect() }

// Renew renews the lease of a worker's tasks and requests its report. Only the answer to the latest Renew of a worker
// is used.
type Renew struct {
	To       infra.AgentAddress
	Sequence int64
	Order    infra.RenewOrder
}

// Start orders a worker to start a task, through the relay Via unless that is empty.
type Start struct {
	To    infra.AgentAddress
	Via   fleet.EntryHostID
	Order infra.StartOrder
}

// Stop orders a worker to stop a run.
type Stop struct {
	To    infra.AgentAddress
	Order infra.StopOrder
}

// Throttle orders a worker to change the speed of a run.
type Throttle struct {
	To    infra.AgentAddress
	Order infra.ThrottleOrder
}

// RequestApproval requests a decision of the policy service on which of the workers may run a step.
type RequestApproval struct {
	Step    infra.StepID
	Workers []fleet.WorkerID
}

// Save makes a batch of state durable. At most one batch is in flight.
type Save struct {
	Batch  int64
	Jobs   []JobRecord
	Parts  []PartRecord
	Delete []fleet.JobID
	// DeleteParts lists the parts to delete.
	DeleteParts []PartKey
	// Finished replaces stored jobs by the form that [Finished] returns.
	Finished []infra.Job
	// Roster replaces the stored roster unless it is nil.
	Roster []RosterEntry
	// Interference replaces the stored interference models unless it is nil.
	Interference []InterferenceRecord
}

// LookUpJobs requests that the stored ones of the jobs are submitted, with their cancellations, and then [JobsLookedUp]. At
// most one is in flight.
type LookUpJobs struct{ Jobs []fleet.JobID }

// JobRecord is the durable progress of one job.
type JobRecord struct {
	Job    fleet.JobID
	Record Record
}

// Resign reports that a worker has seen a newer scheduler's token, so that this scheduler must step down.
type Resign struct{ Worker fleet.WorkerID }

// Fenced reports that more than half of the workers on which predecessors may have started tasks have accepted this
// scheduler's token, so that no predecessor renews a lease any more.
type Fenced struct{}

// Evacuated reports that the machine of a cordoned worker may be taken down.
type Evacuated struct{ Worker fleet.WorkerID }

// Log is a log entry for a decision of the scheduler.
type Log struct {
	Text   string
	Job    fleet.JobID
	Task   infra.TaskID
	Worker fleet.WorkerID
	Run    infra.Run
	Reason string
	// Slack is the remaining slack of the job and ReportAge the age of the worker's last report when a task is
	// started. Both are 0 for other decisions.
	Slack     time.Duration
	ReportAge time.Duration
	// Via is the relay of a start; empty if there is none.
	Via fleet.EntryHostID
	// Revision is the store revision at which a received job was stored. MayHaveRun is set if a predecessor may have
	// started it.
	Revision   int64
	MayHaveRun bool
}

func (Renew) effect()           {}
func (Start) effect()           {}
func (Stop) effect()            {}
func (Throttle) effect()        {}
func (RequestApproval) effect() {}
func (Save) effect()            {}
func (LookUpJobs) effect()      {}
func (Resign) effect()          {}
func (Fenced) effect()          {}
func (Evacuated) effect()       {}
func (Log) effect()             {}
