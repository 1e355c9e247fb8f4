package plat

import (
	"context"
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
)

// TaskState is the state of an attempt as reported by its worker.
type TaskState string

// The states of an attempt; all but the first are terminal.
const (
	TaskRunning   TaskState = "running"
	TaskSucceeded TaskState = "succeeded"
	TaskFailed    TaskState = "failed"
	TaskStopped   TaskState = "stopped"
	TaskExpired   TaskState = "expired"
)

// Terminal reports whether the attempt has ended.
func (s TaskState) Terminal() bool { return s != TaskRunning }

// TaskRef identifies an attempt of a task.
type TaskRef struct {
	Task    fleet.TaskID  `json:"task_id" cbor:"task_id"`
	Attempt fleet.Attempt `json:"attempt" cbor:"attempt"`
}

// StartRequest requests that a worker run an attempt under a lease. A repeated request for the same attempt has no
// effect.
type StartRequest struct {
	TaskRef
	Epoch      fleet.Epoch     `json:"epoch"`
	LeaseMS    int64           `json:"lease_ms"`
	Resources  fleet.Resources `json:"resources"`
	RunMS      int64           `json:"run_ms"`
	Kind       string          `json:"kind"`
	Checkpoint []byte          `json:"checkpoint,omitempty"`
}

// TaskStatus is a worker's report on an attempt; SlowdownPermille is 1000 if other tasks do not slow it down.
type TaskStatus struct {
	TaskRef
	State            TaskState `json:"state" cbor:"state"`
	Checkpoint       []byte    `json:"checkpoint,omitempty" cbor:"checkpoint,omitempty"`
	SlowdownPermille int       `json:"slowdown_permille" cbor:"slowdown_permille"`
	Reason           string    `json:"reason,omitempty" cbor:"reason,omitempty"`
}

// Usage is the resource usage of a worker's tasks, measured AgeMS milliseconds before the report.
type Usage struct {
	AgeMS int64 `json:"age_ms"`
	fleet.Resources
}

// WorkerStatus is a worker's report: the highest epoch that it has received, its attempts, and its usage.
type WorkerStatus struct {
	Epoch fleet.Epoch  `json:"epoch"`
	Tasks []TaskStatus `json:"tasks"`
	Usage Usage        `json:"usage"`
}

// HostList is the platform's list of workers, as of AgeMS milliseconds before the response.
type HostList struct {
	AgeMS int64          `json:"age_ms"`
	Hosts []fleet.Worker `json:"hosts"`
}

// Age returns AgeMS as a duration.
func (l HostList) Age() time.Duration { return time.Duration(l.AgeMS) * time.Millisecond }

// Agent sends commands to workers. Its errors are [*RefusedError], [*UnreachableError] or [*OutcomeUnknownError].
type Agent interface {
	// Start runs an attempt.
	Start(ctx context.Context, w fleet.Worker, s StartRequest) error
	// Renew extends the leases of attempts and returns those that the worker does not run.
	Renew(ctx context.Context, w fleet.Worker, epoch fleet.Epoch, lease time.Duration, tasks []TaskRef) ([]TaskRef, error)
	// Stop ends an attempt, after a checkpoint if requested, and returns its final status.
	Stop(ctx context.Context, w fleet.Worker, epoch fleet.Epoch, task TaskRef, checkpoint bool) (TaskStatus, error)
	// Throttle limits an attempt to permille/1000 of its declared CPU time.
	Throttle(ctx context.Context, w fleet.Worker, epoch fleet.Epoch, task TaskRef, permille int) error
	// Status reads a worker's report and raises the epoch that the worker accepts to at least the given one.
	Status(ctx context.Context, w fleet.Worker, epoch fleet.Epoch) (WorkerStatus, error)
	// Ack acknowledges the terminal states of attempts, so that the worker can delete their reports.
	Ack(ctx context.Context, w fleet.Worker, epoch fleet.Epoch, tasks []TaskRef) error
}

// HostLister reads the platform's host list.
type HostLister interface {
	// List returns the latest published list, which is out of date by [HostList.Age].
	List(ctx context.Context) (HostList, error)
}

// Values of [RefusedError.Reason].
const (
	ReasonStaleEpoch            = "stale_epoch"
	ReasonInsufficientResources = "insufficient_resources"
	ReasonUnknownTask           = "unknown_task"
)

// RefusedError reports a command that the worker refused without effect.
type RefusedError struct {
	Worker fleet.WorkerID
	Op     string
	Reason string
}

// Error returns a message with the worker, the command and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s: %s refused: %s", e.Worker, e.Op, e.Reason)
}

// UnreachableError reports a command of which no byte was sent to the worker.
type UnreachableError struct {
	Worker fleet.WorkerID
	Op     string
	Cause  error
}

// Error returns a message with the worker, the command and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("worker %s: %s not sent: %v", e.Worker, e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports a command that may or may not have taken effect.
type OutcomeUnknownError struct {
	Worker fleet.WorkerID
	Op     string
	Cause  error
}

// Error returns a message with the worker, the command and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("worker %s: %s outcome unknown: %v", e.Worker, e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }
