package upkeep

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// Event is an input of [Planner.Step].
type Event interface{ event() }

// WaveRequested adds a wave with the progress that an earlier planner saved for it; the zero Record if there is none. Wall is
// the time of day.
type WaveRequested struct {
	Wave   infra.Wave
	Record Record
	Wall   time.Time
}

// MachinesListed carries the result of a [ListMachines] call that started at StartedAt. Machines is nil if the call
// failed.
type MachinesListed struct {
	Machines  []infra.Machine
	StartedAt time.Time
}

// RecordSaved reports that a [SaveRecord] is durable.
type RecordSaved struct {
	Wave    int64
	Version int64
}

// WorkerEvacuated reports that the machine of a worker may be taken down.
type WorkerEvacuated struct{ Worker fleet.WorkerID }

// OrderAnswered carries the result of an [OrderMaintenance].
type OrderAnswered struct {
	Wave    int64
	Machine infra.MachineID
	Err     error
}

// Tick advances the planner's clock.
type Tick struct{}

func (WaveRequested) event()   {}
func (MachinesListed) event()  {}
func (RecordSaved) event()     {}
func (WorkerEvacuated) event() {}
func (OrderAnswered) event()   {}
func (Tick) event()            {}

// Effect is an action that the caller of [Planner.Step] performs.
type Effect interface{ effect() }

// ListMachines reads the list of machines; the result is a [MachinesListed].
type ListMachines struct{}

// CordonWorker stops new placements on a worker and lets its tasks finish or move until Deadline. Its evacuation is
// reported by [WorkerEvacuated]. Without a deadline its tasks are left alone, because its order has been sent.
type CordonWorker struct {
	Worker   fleet.WorkerID
	Deadline time.Time
}

// UncordonWorker reverts a [CordonWorker], so that the worker accepts tasks again.
type UncordonWorker struct{ Worker fleet.WorkerID }

// SaveRecord makes the record of a wave durable and updates the wave's status for the operator.
type SaveRecord struct {
	Wave    int64
	Version int64
	Record  Record
}

// OrderMaintenance orders the platform to take a machine down for its maintenance.
type OrderMaintenance struct {
	Wave    int64
	Machine infra.MachineID
}

// Resign gives up the scheduler's leadership, because Machine has received orders with a newer fencing token.
type Resign struct{ Machine infra.MachineID }

// Log is a message for the log.
type Log struct {
	Text    string
	Wave    int64
	Machine infra.MachineID
	Reason  string
}

func (ListMachines) effect()     {}
func (CordonWorker) effect()     {}
func (UncordonWorker) effect()   {}
func (SaveRecord) effect()       {}
func (OrderMaintenance) effect() {}
func (Resign) effect()           {}
func (Log) effect()              {}

// Record is the durable progress of a wave. A machine is added to Ordered before its order is sent, so that a later
// planner counts orders that may still be carried out.
type Record struct {
	// RequestedAt is the time of day in Unix milliseconds when a planner first received the wave; 0 if it is not known.
	RequestedAt int64             `cbor:"requested_at,omitempty"`
	Evacuating  []Evacuation      `cbor:"evacuating,omitempty"`
	Ordered     []infra.MachineID `cbor:"ordered,omitempty"`
	Done        []infra.MachineID `cbor:"done,omitempty"`
	Completed   bool              `cbor:"completed,omitempty"`
}

// Evacuation is a machine whose worker finishes or moves its tasks. Deadline is in milliseconds since the request of the wave.
type Evacuation struct {
	Machine  infra.MachineID `cbor:"machine"`
	Deadline int64           `cbor:"deadline_ms"`
}
