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
type TaskID struct {
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
	Warmup    time.Duration
	StartedAt int64
}

// Address names a worker's agent and the life of the worker that a call is meant for.
type AgentAddress struct {
	Worker   fleet.WorkerID
	HostPort string
}

// StartOrder asks a worker to start a task; Deadline is on the worker's clock in milliseconds.
type StartOrder struct {
	Task       TaskID
	Run        Run
	Spec       string
	Checkpoint string
	Ticket     string
	Deadline   int64
	Token      Token
}

// StopOrder asks a worker to stop a run of a task.
type StopOrder struct {
	Task  TaskID
	Run   Run
	Token Token
}

// PaceOrder asks a worker to let a run work at a share of its full speed, in percent.
type ThrottleOrder struct {
	Task         TaskID
	Run          Run
	SpeedPercent int
	Token        Token
}

// HoldOrder renews the lease of everything on a worker until Deadline on the worker's clock in milliseconds (0: no
// renewal), lets it forget the ends up to Seen, and waits at most Wait for an end.
type RenewOrder struct {
	Deadline int64
	AckedEnd int64
	Wait     time.Duration
	Token    Token
}

// Outcome is how a run ended.
type Outcome string

// The outcomes of a run.
const (
	OutcomeDone         Outcome = "done"
	OutcomeFailed       Outcome = "failed"
	OutcomeStopped      Outcome = "stopped"
	OutcomeLeaseExpired Outcome = "lapsed"
	OutcomeBroken       Outcome = "broken"
	OutcomeGangTimeout  Outcome = "alone"
)

// Running is a run that a worker lists as present; Percent is its progress, and Figure the tail latency of a serving
// task in milliseconds or the processor time in use, in thousandths of a core, of any other task.
type ActiveRun struct {
	Task        TaskID
	Run         Run
	Checkpoint  string
	Progress    int
	Measurement float64
}

// End is a run that a worker lists as ended; Number counts the ends of one life of the worker from 1.
type EndedRun struct {
	Number     int64
	Task       TaskID
	Run        Run
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's answer to a [HoldOrder]; Clock is its steady clock in milliseconds.
type Report struct {
	Clock     int64
	StartedAt int64
	Running   []ActiveRun
	Ended     []EndedRun
}

// Agents carries orders to workers. Errors are [*RefusedError], [*UnsentError] or [*LostError].
type Agents interface {
	// Start returns the worker's clock in milliseconds.
	Start(ctx context.Context, to AgentAddress, o StartOrder) (int64, error)
	// Stop returns the worker's clock in milliseconds.
	Stop(ctx context.Context, to AgentAddress, o StopOrder) (int64, error)
	Throttle(ctx context.Context, to AgentAddress, o ThrottleOrder) error
	Renew(ctx context.Context, to AgentAddress, o RenewOrder) (Report, error)
}

// Reason is why a worker did not carry out an order.
type RefusalReason string

// The reasons of a refusal.
const (
	ReasonFenced     RefusalReason = "fenced"
	ReasonSuperseded RefusalReason = "superseded"
	ReasonExpired    RefusalReason = "expired"
	ReasonNoRoom     RefusalReason = "no_room"
	ReasonTicket     RefusalReason = "ticket"
	ReasonInstance   RefusalReason = "other_instance"
	ReasonUnhealthy  RefusalReason = "unhealthy"
	ReasonInvalid    RefusalReason = "invalid"
)

// RefusedError reports an order that the worker did not carry out; Clock is its clock in milliseconds, 0 if unknown.
type RefusedError struct {
	Worker fleet.WorkerID
	Reason RefusalReason
	Clock  int64
}

// Error names the worker and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s: order refused: %s", e.Worker, e.Reason)
}

// UnsentError reports an order that never left this process; Refused is set if nothing listens at the worker's address, so
// that nothing of it runs.
type NotSentError struct {
	Worker      fleet.WorkerID
	ConnRefused bool
	Cause       error
}

// Error names the worker and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("worker %s: not sent: %v", e.Worker, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError reports an order without an answer; it may have been carried out, or may be later.
type NoAnswerError struct {
	Worker fleet.WorkerID
	Cause  error
}

// Error names the worker and the cause.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("worker %s: no answer: %v", e.Worker, e.Cause)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }
