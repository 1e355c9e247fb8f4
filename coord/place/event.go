package place

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// Event is an input of [Machine.Step].
type Event interface{ event() }

// WorkerUpdated adds a worker or replaces its description; reservations on it stay.
type WorkerUpdated struct{ Worker fleet.Worker }

// WorkerRemoved stops placements on a worker; reservations on it stay until they end.
type WorkerRemoved struct{ ID fleet.WorkerID }

// ReservationRestored restores a reservation after recovery; a non-zero Attempt replaces that of Task.Ref.
//
// The worker need not be known: the host list may be read later.
type ReservationRestored struct {
	Task    Task
	Worker  fleet.WorkerID
	Attempt fleet.Attempt
}

// Started reports that the worker confirmed the start of a reserved attempt.
type Started struct {
	plat.TaskRef
	Worker fleet.WorkerID
}

// Ended reports that an attempt is confirmed to have stopped or that its start was abandoned; it releases the
// reservation.
type Ended struct {
	plat.TaskRef
	Worker fleet.WorkerID
}

// Succeeded reports that an attempt succeeded; it does not release the reservation.
type Succeeded struct {
	plat.TaskRef
	Worker fleet.WorkerID
}

// Failed reports that an attempt could not start or failed other than by eviction or cancellation; it does not release
// the reservation.
type Failed struct {
	plat.TaskRef
	Worker fleet.WorkerID
}

// Report is a worker's report of its usage and tasks; MeasuredAt is the time of the measurement on the clock of
// [Machine.Step].
type Report struct {
	Worker     fleet.WorkerID
	MeasuredAt time.Time
	Usage      fleet.Resources
	Tasks      []plat.TaskStatus
}

// Tick expires old failures, moves and workers; send it about once a second.
type Tick struct{}

func (WorkerUpdated) event()       {}
func (WorkerRemoved) event()       {}
func (ReservationRestored) event() {}
func (Started) event()             {}
func (Ended) event()               {}
func (Succeeded) event()           {}
func (Failed) event()              {}
func (Report) event()              {}
func (Tick) event()                {}

// Effect is an output of [Machine.Step].
type Effect interface{ effect() }

// Throttle limits a task to Permille thousandths of its declared processor time; 1000 removes the limit.
type Throttle struct {
	plat.TaskRef
	Worker   fleet.WorkerID
	Permille int
	Reason   string
}

// Evict requests that a task is checkpointed and run elsewhere; its resources stay reserved until [Ended].
type Evict struct {
	plat.TaskRef
	Worker fleet.WorkerID
	Reason string
}

// ProbationChanged reports, for the log, that a worker was put on probation or taken off it.
type ProbationChanged struct {
	Worker fleet.WorkerID
	On     bool
	Reason string
}

func (Throttle) effect()         {}
func (Evict) effect()            {}
func (ProbationChanged) effect() {}
