package infra

import (
	"context"
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
)

// Jobs is what the system offers to callers. Errors are [*InvalidJobError], [*NoJobError], [*NotRunError] or
// [*UnclearError].
type Jobs interface {
	// Catalog returns the configuration in force, or nil before the first one.
	Catalog() *Catalog
	// Submit returns nil once the job is durable; a repeat of the same id is the same job.
	Submit(ctx context.Context, q Queue, j Job) error
	State(ctx context.Context, q Queue, id fleet.JobID) (State, error)
	// Cancel returns nil once the cancellation is durable.
	Cancel(ctx context.Context, q Queue, id fleet.JobID) error
	// Pending counts the accepted jobs of the queue of which no task has started.
	Pending(ctx context.Context, q Queue) (int, error)
}

// NoJobError reports an id that names no job.
type JobNotFoundError struct {
	Job fleet.JobID
}

// Error names the job.
func (e *JobNotFoundError) Error() string { return fmt.Sprintf("no job %s", e.Job) }

// NotRunError reports a call that had no effect and never will; it may be repeated after RetryAfter.
type NotRunError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error gives the reason.
func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// UnclearError reports a call that may have taken effect.
type OutcomeUnknownError struct {
	Reason string
}

// Error gives the reason.
func (e *OutcomeUnknownError) Error() string { return "outcome unknown: " + e.Reason }
