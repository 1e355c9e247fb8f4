package place

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// Event is an input of [Machine.Step].
type Event interface{ event() }

// WorkerUpdated adds a worker or replaces what is known of it; reservations on it stay.
type WorkerUpdated struct{ Worker fleet.Worker }

// WorkerRemoved stops placements on a worker; reservations on it stay until they end.
type WorkerRemoved struct{ ID fleet.WorkerID }

// Reserved restores a reservation after recovery; Attempt replaces that of Task.Ref unless it is zero.
//
// The worker may be unknown until the host list is read.
type ReservationRestored struct {
	Task    Task
	Worker  fleet.WorkerID
	Attempt fleet.Attempt
}

// Started tells that the worker confirmed the start of a reserved attempt.
type Started struct {
	plat.TaskRef
	Worker fleet.WorkerID
}

// Ended tells that an attempt provably runs no more, or that its start was given up; it frees the reservation.
type Ended struct {
	plat.TaskRef
	Worker fleet.WorkerID
}

// Succeeded tells that an attempt succeeded; it frees nothing.
type Succeeded struct {
	plat.TaskRef
	Worker fleet.WorkerID
}

// Failed tells that an attempt could not start or failed by itself, not by eviction or cancel; it frees nothing.
type Failed struct {
	plat.TaskRef
	Worker fleet.WorkerID
}

// Report is a worker's report; MeasuredAt is when its usage was measured, on the clock of Step's now.
type Report struct {
	Worker     fleet.WorkerID
	MeasuredAt time.Time
	Usage      fleet.Resources
	Tasks      []plat.TaskStatus
}

// Tick lets records expire; send it about once a second.
type Tick struct{}

func (WorkerUpdated) event() {}
func (WorkerRemoved) event() {}
func (ReservationRestored) event()      {}
func (Started) event()       {}
func (Ended) event()         {}
func (Succeeded) event()     {}
func (Failed) event()        {}
func (Report) event()        {}
func (Tick) event()          {}

// Effect is an output of [Machine.Step].
type Effect interface{ effect() }

// Throttle limits a task to Permille thousandths of its declared processor time; 1000 lifts the limit.
type Throttle struct {
	plat.TaskRef
	Worker   fleet.WorkerID
	Permille int
	Reason   string
}

// Evict asks to checkpoint a task and to run it elsewhere; its resources stay reserved until [Ended].
type Evict struct {
	plat.TaskRef
	Worker fleet.WorkerID
	Reason string
}

// Probation tells that a worker was put on probation or taken off it, for the log.
type ProbationChanged struct {
	Worker fleet.WorkerID
	On     bool
	Reason string
}

func (Throttle) effect()  {}
func (Evict) effect()     {}
func (ProbationChanged) effect() {}
