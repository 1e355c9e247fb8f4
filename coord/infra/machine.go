package infra

import (
	"context"
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
)

// MachineID identifies a machine. Each boot of the machine registers a new worker.
type MachineID string

// Machine is an entry of the platform's list of machines. Up is set while its worker can run tasks, and InMaintenance
// while the machine is down for maintenance. Pool is the name of a service.
type Machine struct {
	ID            MachineID
	Pool          string
	Worker        fleet.WorkerID
	Up            bool
	InMaintenance bool
}

// Wave is an operator's request for maintenance of a set of machines. It should be completed within Duration, with at
// most MaxDown of the machines in maintenance at once.
type Wave struct {
	Number   int64
	Machines []MachineID
	Duration time.Duration
	MaxDown  int
}

// LeaseHolder identifies the scheduler that sends an order for a machine. The platform keeps the highest token that
// it has seen for each machine and rejects orders with a lower one.
type LeaseHolder struct {
	EntryHost fleet.EntryHostID
	Token     Token
}

// Machines is a client of the platform's service that lists machines and takes them down for maintenance.
type Machines interface {
	// List returns all machines.
	List(ctx context.Context) ([]Machine, error)
	// StartMaintenance stops all tasks on a machine and takes it down. It returns nil if the machine has already had
	// its maintenance of this wave. Its errors are [*MachineError] for an order that had no effect, or
	// [*OutcomeUnknownError].
	StartMaintenance(ctx context.Context, id MachineID, wave int64, h LeaseHolder) error
}

// MachineReason is the reason why an order for a machine was refused.
type MachineReason string

// Reasons for refusing an order for a machine.
const (
	// MachineFenced means that a lease holder with a higher token has sent an order for the machine.
	MachineFenced MachineReason = "fenced"
	// MachineBusy means that the machine is not up, or is being removed.
	MachineBusy MachineReason = "busy"
	// MachineNotInWave means that the machine is not part of the wave.
	MachineNotInWave MachineReason = "other_wave"
	// MachineUnknown means that the machine does not exist.
	MachineUnknown MachineReason = "unknown"
	// MachineUnavailable means that the platform accepts no more orders at the moment, or could not be reached.
	MachineUnavailable MachineReason = "later"
)

// MachineError reports an order for a machine that had no effect.
type MachineError struct {
	Machine MachineID
	Reason  MachineReason
}

// Error includes the machine and the reason.
func (e *MachineError) Error() string {
	return fmt.Sprintf("machine %s: order refused: %s", e.Machine, e.Reason)
}
