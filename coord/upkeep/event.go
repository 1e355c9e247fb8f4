package upkeep

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// Event is anything that changes what the planner knows.
type Event interface{ event() }

// Requested brings a wave, and what a former planner has recorded of it.
type Requested struct {
	Wave   infra.Wave
	Record Record
}

// Listed brings the list of machines as of a reading that began at Began.
type Listed struct {
	Machines []infra.Machine
	Began    time.Time
}

// Recorded reports that a [Save] of a wave is durable.
type Recorded struct {
	Wave    int64
	Version int64
}

// Vacated reports that a worker may be taken down.
type Vacated struct{ Worker fleet.WorkerID }

// Answered brings the outcome of an [Order].
type Answered struct {
	Wave    int64
	Machine infra.MachineID
	Err     error
}

// Tick lets time pass.
type Tick struct{}

func (Requested) event() {}
func (Listed) event()    {}
func (Recorded) event()  {}
func (Vacated) event()   {}
func (Answered) event()  {}
func (Tick) event()      {}

// Effect is something that the runtime does for the planner.
type Effect interface{ effect() }

// List reads the list of machines.
type List struct{}

// Empty lets a worker finish or move what it runs until By, and take nothing new; the runtime answers with [Vacated].
type Empty struct {
	Worker fleet.WorkerID
	By     time.Time
}

// Release ends an [Empty].
type Release struct{ Worker fleet.WorkerID }

// Save makes the record of a wave durable, and tells the operator its state.
type Save struct {
	Wave    int64
	Version int64
	Record  Record
}

// Order takes a machine down for its upkeep.
type Order struct {
	Wave    int64
	Machine infra.MachineID
}

// Resign reports that another planner sends orders for the machines.
type Resign struct{ Machine infra.MachineID }

// Note is a line for the log.
type Note struct {
	Text    string
	Wave    int64
	Machine infra.MachineID
	Reason  string
}

func (List) effect()    {}
func (Empty) effect()   {}
func (Release) effect() {}
func (Save) effect()    {}
func (Order) effect()   {}
func (Resign) effect()  {}
func (Note) effect()    {}

// Record is the durable progress of a wave. A machine is ordered before its order is sent, so that a later planner counts
// an order that may still be carried out.
type Record struct {
	Ordered   []infra.MachineID `cbor:"ordered,omitempty"`
	Done      []infra.MachineID `cbor:"done,omitempty"`
	Completed bool              `cbor:"completed,omitempty"`
}
