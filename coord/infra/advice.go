package infra

import (
	"context"
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
)

// StepID names a step of one occurrence of a job.
type StepID struct {
	Job        fleet.JobID
	Occurrence int64
	Step       int
}

// Approval is what the policy service says of a step: a ticket for each worker that may run it.
type Approval struct {
	Tickets   map[fleet.WorkerID]string
	TicketTTL time.Duration
}

// Advisor asks the policy service which workers may run a step. Its errors are [*BusyError] or those of the call.
type PolicyService interface {
	Approve(ctx context.Context, step StepID, workers []fleet.WorkerID) (Approval, error)
}

// BusyError reports that the policy service has too many calls waiting.
type PolicyBusyError struct {
	Step StepID
}

// Error names the step.
func (e *PolicyBusyError) Error() string {
	return fmt.Sprintf("step %v: the policy service is busy", e.Step)
}
