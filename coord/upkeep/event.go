package upkeep

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// Event is anything that changes what the planner knows.
type Event interface{ event() }

// Requested brings a wave, and what a former planner has recorded of it.
type WaveRequested struct {
	Wave   infra.Wave
	Record Record
}

// Listed brings the list of machines as of a reading that began at Began.
type MachinesListed struct {
	Machines []infra.Machine
	StartedAt    time.Time
}

// Recorded reports that a [Save] of a wave is durable.
type RecordSaved struct {
	Wave    int64
	Version int64
}

// Vacated reports that a worker may be taken down.
type WorkerDrained struct{ Worker fleet.WorkerID }

// Answered brings the outcome of an [Order].
type OrderAnswered struct {
	Wave    int64
	Machine infra.MachineID
	Err     error
}

// Tick lets time pass.
type Tick struct{}

func (WaveRequested) event() {}
func (MachinesListed) event()    {}
func (RecordSaved) event()  {}
func (WorkerDrained) event()   {}
func (OrderAnswered) event()  {}
func (Tick) event()      {}

// Effect is something that the runtime does for the planner.
type Effect interface{ effect() }

// List reads the list of machines.
type ListMachines struct{}

// Empty lets a worker finish or move what it runs until By, and take nothing new; the runtime answers with [Vacated].
type DrainWorker struct {
	Worker fleet.WorkerID
	Deadline     time.Time
}

// Release ends an [Empty].
type ReinstateWorker struct{ Worker fleet.WorkerID }

// Save makes the record of a wave durable, and tells the operator its state.
type SaveRecord struct {
	Wave    int64
	Version int64
	Record  Record
}

// Order takes a machine down for its upkeep.
type OrderMaintenance struct {
	Wave    int64
	Machine infra.MachineID
}

// Resign reports that another planner sends orders for the machines.
type Resign struct{ Machine infra.MachineID }

// Note is a line for the log.
type Log struct {
	Text    string
	Wave    int64
	Machine infra.MachineID
	Reason  string
}

func (ListMachines) effect()    {}
func (DrainWorker) effect()   {}
func (ReinstateWorker) effect() {}
func (SaveRecord) effect()    {}
func (OrderMaintenance) effect()   {}
func (Resign) effect()  {}
func (Log) effect()    {}

// Record is the durable progress of a wave. A machine is ordered before its order is sent, so that a later planner counts
// an order that may still be carried out.
type Record struct {
	Ordered   []infra.MachineID `cbor:"ordered,omitempty"`
	Done      []infra.MachineID `cbor:"done,omitempty"`
	Completed bool              `cbor:"completed,omitempty"`
}
