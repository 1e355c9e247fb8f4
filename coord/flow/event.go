package flow

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// Event is anything that changes what the scheduler knows.
type Event interface{ event() }

// Restored is the first event of a scheduler: everything that the store holds.
type Restored struct {
	Jobs []StoredJob
	// Roster lists the workers on which former schedulers may have started tasks.
	Roster []RosterEntry
	// Term counts the schedulers before this one.
	Term int64
	// Learnt is what a former scheduler knew of the interference of images.
	Interference []InterferenceRecord
}

// StoredJob is a job as the store holds it.
type StoredJob struct {
	Job       infra.Job
	Cancelled bool
	// Record is nil for a job without progress.
	Record *Record
}

// RosterEntry names a worker that may run tasks and where its agent listens.
type RosterEntry struct {
	Worker  fleet.WorkerID `cbor:"worker"`
	Address string         `cbor:"address"`
	// Draining workers that the platform no longer lists have left.
	Draining bool `cbor:"draining,omitempty"`
}

// Vacate asks for a worker to be emptied by a time, because its machine is to be taken down.
type Cordon struct {
	Worker fleet.WorkerID
	By     time.Time
}

// Reinstate ends a [Vacate].
type Uncordon struct{ Worker fleet.WorkerID }

// Configured brings the operator's configuration; a version that is not newer changes nothing.
type Configured struct{ Catalog *infra.Catalog }

// Submitted brings a job that is durable.
type Submitted struct{ Job infra.Job }

// CancelRequested brings a cancellation that is durable.
type CancelRequested struct{ Job fleet.JobID }

// WorkerSeen brings a worker's description of itself.
type WorkerListed struct{ Worker infra.Worker }

// WorkerGone reports that the platform no longer lists a worker.
type WorkerUnlisted struct{ Worker fleet.WorkerID }

// Held brings the answer to a [Hold]; Sequence is that of the hold.
type HoldAnswered struct {
	Worker   fleet.WorkerID
	Sequence int64
	Order    infra.RenewOrder
	Report   infra.Report
}

// HoldFailed reports a [Hold] without a report.
type HoldFailed struct {
	Worker   fleet.WorkerID
	Sequence int64
	Order    infra.RenewOrder
	Err      error
}

// StartAnswered brings the outcome of a [Start]; Clock is the worker's clock in milliseconds.
type StartAnswered struct {
	Worker fleet.WorkerID
	Order  infra.StartOrder
	Clock  int64
	Err    error
}

// StopAnswered brings the outcome of a [Stop]; Clock is the worker's clock in milliseconds.
type StopAnswered struct {
	Worker fleet.WorkerID
	Order  infra.StopOrder
	Clock  int64
	Err    error
}

// PaceAnswered brings the outcome of a [Pace].
type PaceAnswered struct {
	Worker fleet.WorkerID
	Order  infra.ThrottleOrder
	Err    error
}

// Saved reports that the batch of a [Save] is durable.
type Saved struct{ Batch int64 }

// Advised brings the answer to an [Advise], which was sent at Sent.
type AdviseAnswered struct {
	Step     infra.StepID
	Workers  []fleet.WorkerID
	Sent     time.Time
	Approval infra.Approval
	Err      error
}

// FormerOver reports that the former scheduler sends no more orders.
type PredecessorStopped struct{}

// Tick lets time pass; Wall is the time of day. Doubted is set while the store has not confirmed this scheduler for the
// time of its lease.
type Tick struct {
	Wall             time.Time
	LeaseUnconfirmed bool
}

func (Restored) event()           {}
func (Configured) event()         {}
func (Submitted) event()          {}
func (CancelRequested) event()    {}
func (WorkerListed) event()       {}
func (WorkerUnlisted) event()     {}
func (HoldAnswered) event()       {}
func (HoldFailed) event()         {}
func (StartAnswered) event()      {}
func (StopAnswered) event()       {}
func (PaceAnswered) event()       {}
func (Saved) event()              {}
func (AdviseAnswered) event()     {}
func (PredecessorStopped) event() {}
func (Tick) event()               {}
func (Cordon) event()             {}
func (Uncordon) event()           {}

// Effect is something that the runtime does for the scheduler.
type Effect interface{ effect() }

// Hold renews the lease of a worker and asks for its report. Only the answer to the last hold of a worker counts.
type Hold struct {
	To       infra.AgentAddress
	Sequence int64
	Order    infra.RenewOrder
}

// Start starts a task.
type Start struct {
	To    infra.AgentAddress
	Order infra.StartOrder
}

// Stop stops a run.
type Stop struct {
	To    infra.AgentAddress
	Order infra.StopOrder
}

// Pace changes the speed of a run.
type Pace struct {
	To    infra.AgentAddress
	Order infra.ThrottleOrder
}

// Advise asks the policy service which of the workers may run a step.
type Advise struct {
	Step    infra.StepID
	Workers []fleet.WorkerID
}

// Save makes progress durable; one batch is on its way at a time.
type Save struct {
	Batch  int64
	Jobs   []JobRecord
	Delete []fleet.JobID
	// Roster replaces the stored roster unless it is nil.
	Roster []RosterEntry
	// Learnt replaces what is stored of the interference of images unless it is nil.
	Interference []InterferenceRecord
}

// JobRecord is the progress of one job.
type JobRecord struct {
	Job    fleet.JobID
	Record Record
}

// Resign reports that another scheduler has taken over.
type Resign struct{ Worker fleet.WorkerID }

// Vacated reports that the machine of a worker may be taken down.
type Evacuated struct{ Worker fleet.WorkerID }

// Note is a line for the log: a decision, what it is about, and what decided it.
type Log struct {
	Text   string
	Job    fleet.JobID
	Task   infra.TaskID
	Worker fleet.WorkerID
	Run    infra.Run
	Reason string
	// Slack is the time that a job had left when a task of it was started, and ReportAge the age of what was known of the
	// worker; both are 0 for other decisions.
	Slack     time.Duration
	ReportAge time.Duration
}

func (Hold) effect()      {}
func (Start) effect()     {}
func (Stop) effect()      {}
func (Pace) effect()      {}
func (Advise) effect()    {}
func (Save) effect()      {}
func (Resign) effect()    {}
func (Evacuated) effect() {}
func (Log) effect()       {}
