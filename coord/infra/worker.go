package infra

import (
	"context"
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
)

// Token is the fencing token of a scheduler; a worker does nothing for a lower token than the highest it has seen.
type Token int64

// Run counts the starts of a task; it rises from 1 across schedulers.
type Run int64

// Task names one task of one occurrence of a job.
type Task struct {
	Job        fleet.JobID
	Occurrence int64
	Step       int
	Index      int
}

// Worker is one life of a worker as it describes itself; Born is its start in Unix milliseconds and Clock its steady
// clock at the time of the description.
type Worker struct {
	ID       fleet.WorkerID
	Address  string
	Service  string
	Zone     fleet.AvailabilityZone
	Version  string
	Labels   []string
	Capacity fleet.Resources
	Draining bool
	// Remaining is the minimum time until a draining worker leaves.
	Remaining time.Duration
	// Warmup is how much longer the worker runs tasks slowly after its start.
	Warmup time.Duration
	Born   int64
}

// Address names a worker's agent and the life of the worker that a call is meant for.
type Address struct {
	Worker   fleet.WorkerID
	HostPort string
}

// StartOrder asks a worker to start a task; Deadline is on the worker's clock in milliseconds.
type StartOrder struct {
	Task       Task
	Run        Run
	Spec       string
	Checkpoint string
	Ticket     string
	Deadline   int64
	Token      Token
}

// StopOrder asks a worker to stop a run of a task.
type StopOrder struct {
	Task  Task
	Run   Run
	Token Token
}

// PaceOrder asks a worker to let a run work at a share of its full speed, in percent.
type PaceOrder struct {
	Task    Task
	Run     Run
	Percent int
	Token   Token
}

// HoldOrder renews the lease of everything on a worker until Deadline on the worker's clock in milliseconds (0: no
// renewal), lets it forget the ends up to Seen, and waits at most Wait for an end.
type HoldOrder struct {
	Deadline int64
	Seen     int64
	Wait     time.Duration
	Token    Token
}

// Outcome is how a run ended.
type Outcome string

// The outcomes of a run.
const (
	Done    Outcome = "done"
	Failed  Outcome = "failed"
	Stopped Outcome = "stopped"
	Lapsed  Outcome = "lapsed"
	Broken  Outcome = "broken"
	Alone   Outcome = "alone"
)

// Running is a run that a worker lists as present; Percent is its progress, and Figure the tail latency of a serving
// task in milliseconds or the processor time in use, in thousandths of a core, of any other task.
type Running struct {
	Task       Task
	Run        Run
	Checkpoint string
	Percent    int
	Figure     float64
}

// End is a run that a worker lists as ended; Number counts the ends of one life of the worker from 1.
type End struct {
	Number     int64
	Task       Task
	Run        Run
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's answer to a [HoldOrder]; Clock is its steady clock in milliseconds.
type Report struct {
	Clock   int64
	Born    int64
	Running []Running
	Ended   []End
}

// Agents carries orders to workers. Errors are [*RefusedError], [*UnsentError] or [*LostError].
type Agents interface {
	// Start returns the worker's clock in milliseconds.
	Start(ctx context.Context, to Address, o StartOrder) (int64, error)
	// Stop returns the worker's clock in milliseconds.
	Stop(ctx context.Context, to Address, o StopOrder) (int64, error)
	Pace(ctx context.Context, to Address, o PaceOrder) error
	Hold(ctx context.Context, to Address, o HoldOrder) (Report, error)
}

// Reason is why a worker did not carry out an order.
type Reason string

// The reasons of a refusal.
const (
	ReasonFenced     Reason = "fenced"
	ReasonSuperseded Reason = "superseded"
	ReasonExpired    Reason = "expired"
	ReasonNoRoom     Reason = "no_room"
	ReasonTicket     Reason = "ticket"
	ReasonInstance   Reason = "other_instance"
	ReasonUnhealthy  Reason = "unhealthy"
	ReasonInvalid    Reason = "invalid"
)

// RefusedError reports an order that the worker did not carry out; Clock is its clock in milliseconds, 0 if unknown.
type RefusedError struct {
	Worker fleet.WorkerID
	Reason Reason
	Clock  int64
}

// Error names the worker and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s: order refused: %s", e.Worker, e.Reason)
}

// UnsentError reports an order that never left this process; Refused is set if nothing listens at the worker's address, so
// that nothing of it runs.
type UnsentError struct {
	Worker  fleet.WorkerID
	Refused bool
	Cause   error
}

// Error names the worker and the cause.
func (e *UnsentError) Error() string {
	return fmt.Sprintf("worker %s: not sent: %v", e.Worker, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// LostError reports an order without an answer; it may have been carried out, or may be later.
type LostError struct {
	Worker fleet.WorkerID
	Cause  error
}

// Error names the worker and the cause.
func (e *LostError) Error() string { return fmt.Sprintf("worker %s: no answer: %v", e.Worker, e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }
