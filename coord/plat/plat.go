package plat

import (
	"context"
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
)

// TaskState is the state of an attempt as its worker reports it.
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

// TaskRef names one attempt of a task.
type TaskRef struct {
	Task    fleet.TaskID  `json:"task_id" cbor:"task_id"`
	Attempt fleet.Attempt `json:"attempt" cbor:"attempt"`
}

// Start asks a worker to run an attempt under a lease; a repeated start of the same attempt changes nothing.
type StartRequest struct {
	TaskRef
	Epoch      fleet.Epoch     `json:"epoch"`
	LeaseMS    int64           `json:"lease_ms"`
	Resources  fleet.Resources `json:"resources"`
	RunMS      int64           `json:"run_ms"`
	Kind       string          `json:"kind"`
	Checkpoint []byte          `json:"checkpoint,omitempty"`
}

// TaskStatus is a worker's report on one attempt; SlowdownPermille is 1000 for undisturbed progress.
type TaskStatus struct {
	TaskRef
	State            TaskState `json:"state" cbor:"state"`
	Checkpoint       []byte    `json:"checkpoint,omitempty" cbor:"checkpoint,omitempty"`
	SlowdownPermille int       `json:"slowdown_permille" cbor:"slowdown_permille"`
	Reason           string    `json:"reason,omitempty" cbor:"reason,omitempty"`
}

// Usage is what a worker's tasks used AgeMS milliseconds before the report.
type Usage struct {
	AgeMS int64 `json:"age_ms"`
	fleet.Resources
}

// Status is a worker's report: the highest epoch it has seen, its attempts, and its usage.
type WorkerStatus struct {
	Epoch fleet.Epoch  `json:"epoch"`
	Tasks []TaskStatus `json:"tasks"`
	Usage Usage        `json:"usage"`
}

// HostList is the platform's list of workers as it was AgeMS milliseconds before the answer.
type HostList struct {
	AgeMS int64          `json:"age_ms"`
	Hosts []fleet.Worker `json:"hosts"`
}

// Age returns the lag of the list.
func (l HostList) Age() time.Duration { return time.Duration(l.AgeMS) * time.Millisecond }

// Agent commands the tasks of workers; errors are [*RefusedError], [*UnreachableError] or [*UnclearError].
type Agent interface {
	// Start runs an attempt.
	Start(ctx context.Context, w fleet.Worker, s StartRequest) error
	// Renew extends the leases of attempts and returns those that the worker does not run.
	Renew(ctx context.Context, w fleet.Worker, epoch fleet.Epoch, lease time.Duration, tasks []TaskRef) ([]TaskRef, error)
	// Stop ends an attempt, with a checkpoint if asked, and returns its final status.
	Stop(ctx context.Context, w fleet.Worker, epoch fleet.Epoch, task TaskRef, checkpoint bool) (TaskStatus, error)
	// Throttle limits an attempt to permille thousandths of its declared processor time.
	Throttle(ctx context.Context, w fleet.Worker, epoch fleet.Epoch, task TaskRef, permille int) error
	// Status reads a worker's report and raises the epoch that the worker accepts to at least the given one.
	Status(ctx context.Context, w fleet.Worker, epoch fleet.Epoch) (WorkerStatus, error)
	// Ack lets the worker forget the terminal reports of attempts.
	Ack(ctx context.Context, w fleet.Worker, epoch fleet.Epoch, tasks []TaskRef) error
}

// Hosts reads the platform's host list.
type HostLister interface {
	// List returns the latest published list, which lags.
	List(ctx context.Context) (HostList, error)
}

// Reasons of a [RefusedError].
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

// Error names the worker, the command and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s: %s refused: %s", e.Worker, e.Op, e.Reason)
}

// UnreachableError reports a command of which no byte reached the worker.
type UnreachableError struct {
	Worker fleet.WorkerID
	Op     string
	Cause  error
}

// Error names the worker, the command and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("worker %s: %s not sent: %v", e.Worker, e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// UnclearError reports a command that may or may not have taken effect.
type OutcomeUnknownError struct {
	Worker fleet.WorkerID
	Op     string
	Cause  error
}

// Error names the worker, the command and the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("worker %s: %s outcome unknown: %v", e.Worker, e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }
