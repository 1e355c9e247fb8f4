package infra

import (
	"context"
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
)

// Token is the fencing token of a scheduler. A worker rejects orders with a lower token than the highest that it has
// seen.
type Token int64

// Run is the number of a run of a task. It starts at 1 and increases with each start, also across schedulers.
type Run int64

// TaskID identifies a task of one occurrence of a job.
type TaskID struct {
	Job        fleet.JobID
	Occurrence int64
	Step       int
	Index      int
}

// Worker is the registration of one incarnation of a worker, that is, of the worker from one start to its end.
// StartedAt is the time of that start in Unix milliseconds.
type Worker struct {
	ID       fleet.WorkerID
	Address  string
	Service  string
	Zone     fleet.AvailabilityZone
	Version  string
	Labels   []string
	Capacity fleet.Resources
	Draining bool
	// Remaining is the minimum time until a draining worker terminates.
	Remaining time.Duration
	// Warmup is the time until the worker has warmed up; until then it runs tasks slowly.
	Warmup    time.Duration
	StartedAt int64
}

// AgentAddress is the address of a worker's agent, as "host:port", and the worker that the call is for. Another
// worker at the same address rejects the call.
type AgentAddress struct {
	Worker   fleet.WorkerID
	HostPort string
}

// StartOrder requests the start of a task. Deadline is a time on the worker's clock in milliseconds.
type StartOrder struct {
	Task       TaskID
	Run        Run
	Spec       string
	Checkpoint string
	Ticket     string
	Deadline   int64
	Token      Token
}

// StopOrder requests the stop of a run.
type StopOrder struct {
	Task  TaskID
	Run   Run
	Token Token
}

// ThrottleOrder limits the speed of a run to a percentage of its full speed.
type ThrottleOrder struct {
	Task         TaskID
	Run          Run
	SpeedPercent int
	Token        Token
}

// RenewOrder renews the lease of all runs on a worker and requests a report. Deadline is the new end of the lease on
// the worker's clock in milliseconds, or 0 to leave the lease as it is. AckedEnd acknowledges the ended runs up to
// that number, which the worker then drops from its reports. The worker delays its report by at most Wait until
// another run has ended.
type RenewOrder struct {
	Deadline int64
	AckedEnd int64
	Wait     time.Duration
	Token    Token
}

// Outcome is the way in which a run ended.
type Outcome string

// The outcomes of a run.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeStopped Outcome = "stopped"
	// OutcomeLeaseExpired means that the lease was not renewed in time.
	OutcomeLeaseExpired Outcome = "lapsed"
	OutcomeBroken       Outcome = "broken"
	// OutcomeGangTimeout means that the other tasks of the gang did not run in time.
	OutcomeGangTimeout Outcome = "alone"
)

// ActiveRun is a run in progress as reported by its worker. Progress is in percent. Measurement is the tail latency
// in milliseconds for a serving task, and the processor time in use in thousandths of a core for any other task.
type ActiveRun struct {
	Task        TaskID
	Run         Run
	Checkpoint  string
	Progress    int
	Measurement float64
}

// EndedRun is an ended run as reported by its worker. Number counts the ended runs of one incarnation of the worker
// from 1.
type EndedRun struct {
	Number     int64
	Task       TaskID
	Run        Run
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's answer to a [RenewOrder]. Clock is its monotonic clock in milliseconds, and StartedAt the
// start of the worker in Unix milliseconds. HasMoreEnds is set if further runs may have ended that Ended does not list; the
// worker lists them once the listed ones are acknowledged.
type Report struct {
	Clock       int64
	StartedAt   int64
	Running     []ActiveRun
	Ended       []EndedRun
	HasMoreEnds bool
}

// Agents sends orders to the agents of workers. Its errors are [*RefusedError], [*NotSentError] or [*NoAnswerError].
type Agents interface {
	// Start starts a task and returns the worker's clock in milliseconds.
	Start(ctx context.Context, to AgentAddress, o StartOrder) (int64, error)
	// Stop stops a run and returns the worker's clock in milliseconds.
	Stop(ctx context.Context, to AgentAddress, o StopOrder) (int64, error)
	// Throttle limits the speed of a run.
	Throttle(ctx context.Context, to AgentAddress, o ThrottleOrder) error
	// Renew renews the lease of all runs on a worker and returns its report.
	Renew(ctx context.Context, to AgentAddress, o RenewOrder) (Report, error)
}

// RefusalReason is the reason why a worker refused an order.
type RefusalReason string

// Reasons for refusing an order.
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

// RefusedError reports an order that the worker refused. Clock is the worker's clock in milliseconds, or 0 if
// unknown.
type RefusedError struct {
	Worker fleet.WorkerID
	Reason RefusalReason
	Clock  int64
}

// Error includes the worker and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s: order refused: %s", e.Worker, e.Reason)
}

// NotSentError reports an order that was not sent. ConnRefused is set if connections to the worker's address are refused: the worker
// has ended, or is cut off and runs on.
type NotSentError struct {
	Worker      fleet.WorkerID
	ConnRefused bool
	Cause       error
}

// Error includes the worker and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("worker %s: not sent: %v", e.Worker, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// NoAnswerError reports an order that was not answered. The worker may have executed it, or may still do so.
type NoAnswerError struct {
	Worker fleet.WorkerID
	Cause  error
}

// Error includes the worker and the cause.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("worker %s: no answer: %v", e.Worker, e.Cause)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }
