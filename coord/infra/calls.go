package infra

import (
	"context"
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
)

// Jobs accepts, reports on and cancels jobs on behalf of callers. Its errors are [*InvalidJobError],
// [*JobNotFoundError], [*JobCancelledError], [*NotRunError] or [*OutcomeUnknownError].
type Jobs interface {
	// Catalog returns the configuration in force, or nil before the first one.
	Catalog() *Catalog
	// Submit returns nil once the job is durable. It is idempotent: a second submission with the same ID has no
	// effect.
	Submit(ctx context.Context, q Queue, j Job) error
	// State returns the state of a job.
	State(ctx context.Context, q Queue, id fleet.JobID) (State, error)
	// Cancel returns nil once the cancellation is durable.
	Cancel(ctx context.Context, q Queue, id fleet.JobID) error
	// Pending returns the number of accepted jobs in the queue that have not started any task.
	Pending(ctx context.Context, q Queue) (int, error)
}

// JobNotFoundError reports a job ID that does not exist.
type JobNotFoundError struct {
	Job fleet.JobID
}

// Error includes the job ID.
func (e *JobNotFoundError) Error() string { return fmt.Sprintf("no job %s", e.Job) }

// JobCancelledError reports the submission of a job that was cancelled before. The job never runs.
type JobCancelledError struct {
	Job fleet.JobID
}

// Error includes the job ID.
func (e *JobCancelledError) Error() string {
	return fmt.Sprintf("job %s was cancelled before it was submitted", e.Job)
}

// NotRunError reports a call that had no effect and will have none later. The caller may retry it after RetryAfter.
type NotRunError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error includes the reason.
func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// OutcomeUnknownError reports a call that may or may not have taken effect.
type OutcomeUnknownError struct {
	Reason string
}

// Error includes the reason.
func (e *OutcomeUnknownError) Error() string { return "outcome unknown: " + e.Reason }
