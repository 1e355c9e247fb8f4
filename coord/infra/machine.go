package infra

import (
	"context"
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
)

// MachineID names a machine, whose worker changes with each of its lives.
type MachineID string

// Machine is an entry of the platform's list of machines; Up is set while its worker can run tasks, and Resting while it is
// down for its upkeep.
type Machine struct {
	ID            MachineID
	Pool          string
	Worker        fleet.WorkerID
	Up            bool
	InMaintenance bool
}

// Wave asks for the upkeep of machines within Duration, with at most Cap of them down for it at once.
type Wave struct {
	Number   int64
	Machines []MachineID
	Duration time.Duration
	MaxDown  int
}

// Holder is who sends orders for machines; the platform compares its token for each machine.
type LeaseHolder struct {
	EntryHost fleet.EntryHostID
	Token     Token
}

// Machines lists machines and takes them down for upkeep.
type Machines interface {
	// List returns all machines.
	List(ctx context.Context) ([]Machine, error)
	// Upkeep ends everything on a machine and takes it down; it returns nil also if the machine had its upkeep of this wave.
	// Its errors are [*MachineError] for an order that had no effect, or [*UnclearError].
	StartMaintenance(ctx context.Context, id MachineID, wave int64, h LeaseHolder) error
}

// MachineReason is why an order for a machine was not carried out.
type MachineReason string

// The reasons of a refused order for a machine.
const (
	// MachineFenced means that a holder with a higher token has sent orders for the machine.
	MachineFenced MachineReason = "fenced"
	// MachineBusy means that the machine is not up, or leaves.
	MachineBusy MachineReason = "busy"
	// MachineOtherWave means that the machine is not part of the wave.
	MachineNotInWave MachineReason = "other_wave"
	// MachineUnknown means that there is no such machine.
	MachineUnknown MachineReason = "unknown"
	// MachineLater means that the platform takes no more orders at the moment, or could not be reached.
	MachineUnavailable MachineReason = "later"
)

// MachineError reports an order for a machine that had no effect.
type MachineError struct {
	Machine MachineID
	Reason  MachineReason
}

// Error names the machine and the reason.
func (e *MachineError) Error() string {
	return fmt.Sprintf("machine %s: order refused: %s", e.Machine, e.Reason)
}
