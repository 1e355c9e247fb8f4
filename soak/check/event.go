package check

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/platform/wkfake"
)

// Event is an observation from outside the entry processes.
type Event interface{ event() }

// WorkerJoined reports a new worker with its capacity and its labels.
type WorkerJoined struct {
	Worker   fleet.WorkerID
	Capacity fleet.Resources
	Labels   []string
}

// WorkerSaw carries what a worker has seen.
type WorkerSaw struct{ wkfake.Event }

// Submitted reports that a caller sends a job.
type Submitted struct {
	Job infra.Job
	// MaxAttempts is that of the job's queue.
	MaxAttempts int
}

// SubmitAnswer is how an attempt to submit a job has ended.
type SubmitAnswer uint8

// The answers to a submission. Without an answer the job may have been accepted.
const (
	SubmitUnknown SubmitAnswer = iota
	SubmitAccepted
	SubmitRejected
)

// SubmitAnswered reports the answer to a [Submitted].
type SubmitAnswered struct {
	Job    fleet.JobID
	Answer SubmitAnswer
}

// CancelSent reports that a caller cancels a job, and CancelAcked that this was acknowledged.
type CancelSent struct{ Job fleet.JobID }

// CancelAcked reports that a cancellation was acknowledged.
type CancelAcked struct{ Job fleet.JobID }

// StateSeen reports the state of a job that a caller was shown.
type StateSeen struct {
	Job   fleet.JobID
	State infra.State
}

// UnknownSeen reports that a caller was told that there is no such job.
type UnknownSeen struct {
	Job  fleet.JobID
	Host string
}

// FaultBegan and FaultEnded enclose a disturbance. It is planned if it only stops or reloads an entry process in order.
type FaultBegan struct {
	Text      string
	IsPlanned bool
}

// FaultEnded ends a [FaultBegan].
type FaultEnded struct {
	Text      string
	IsPlanned bool
}

// HostStarted reports that an entry process was started.
type HostStarted struct{ Host string }

// StopRequested reports that an entry process was told to stop in order.
type StopRequested struct{ Host string }

// CallBroken reports a call whose connection ended without a complete answer, Took after its last byte was sent.
type CallBroken struct {
	Host string
	Took time.Duration
	Text string
}

// Configured reports that the store has accepted a configuration.
type Configured struct{ Version int64 }

// RouteAsked reports a call of a queue that exists since the last [Configured] if Exists is set, or was removed by it, and
// whether it was found. Sent is when the call was sent.
type RouteAsked struct {
	Host   string
	Exists bool
	Found  bool
	Sent   time.Duration
}

// HostUnavailable reports an entry process that does not serve callers although no fault is left.
type HostUnavailable struct {
	Host   string
	Reason string
}

// Ticked reports that time has passed. Bounds of time without an event at their end are checked by it.
type Ticked struct{}

// Finished reports the end of the observation; the jobs had time to complete.
type Finished struct{}

func (WorkerJoined) event()    {}
func (WorkerSaw) event()       {}
func (Submitted) event()       {}
func (SubmitAnswered) event()  {}
func (CancelSent) event()      {}
func (CancelAcked) event()     {}
func (StateSeen) event()       {}
func (UnknownSeen) event()     {}
func (FaultBegan) event()      {}
func (FaultEnded) event()      {}
func (HostStarted) event()     {}
func (StopRequested) event()   {}
func (CallBroken) event()      {}
func (Configured) event()      {}
func (RouteAsked) event()      {}
func (HostUnavailable) event() {}
func (Ticked) event()          {}
func (Finished) event()        {}
