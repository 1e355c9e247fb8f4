package infra

import (
	"context"
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
)

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        fleet.JobID
	Occurrence int64
	Step       int
}

// Approval is the policy service's answer for a step: a ticket for each worker that may run it. Tickets are valid for
// TicketTTL.
type Approval struct {
	Tickets   map[fleet.WorkerID]string
	TicketTTL time.Duration
}

// PolicyService is a client of the service that decides which workers may run a step.
type PolicyService interface {
	// Approve returns which of the workers may run a step. It returns a [*PolicyBusyError] or the error of the call.
	Approve(ctx context.Context, step StepID, workers []fleet.WorkerID) (Approval, error)
}

// PolicyBusyError reports that the policy service has too many calls waiting.
type PolicyBusyError struct {
	Step StepID
}

// Error includes the step.
func (e *PolicyBusyError) Error() string {
	return fmt.Sprintf("step %v: the policy service is busy", e.Step)
}
