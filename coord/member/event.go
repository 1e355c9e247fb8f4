package member

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// Event is an input of [Machine.Step]: [HostsListed], [Contacted], [Unreachable] or [Tick].
type Event interface{ event() }

// HostsListed is the host list returned for a request that was sent at SentAt.
type HostsListed struct {
	List   plat.HostList
	SentAt time.Time
}

// Contacted reports that a worker's agent or backend server answered a call of this process.
type Contacted struct{ Worker fleet.WorkerID }

// Unreachable reports that a call to a worker's agent or backend server failed.
type Unreachable struct{ Worker fleet.WorkerID }

// Tick updates states that depend on the time; send it at least every second.
type Tick struct{}

func (HostsListed) event() {}
func (Contacted) event()   {}
func (Unreachable) event() {}
func (Tick) event()        {}

// Effect is an output of [Machine.Step]: [WorkerChanged].
type Effect interface{ effect() }

// WorkerChanged reports that a worker's state or description changed. Reason explains its state. Removed is set if the
// worker was deleted from the machine.
type WorkerChanged struct {
	Worker  fleet.Worker
	Reason  Reason
	Removed bool
}

func (WorkerChanged) effect() {}

// Reason is the reason for the state of a worker.
type Reason string

// The values of [Reason]. A worker is [fleet.HostLive] only with [ReasonListed].
const (
	ReasonListed      Reason = "listed as live"
	ReasonLeaving     Reason = "marked as leaving"
	ReasonFlapping    Reason = "marked as leaving repeatedly"
	ReasonUnlisted    Reason = "no longer listed"
	ReasonUnreachable Reason = "unreachable from here"
)

// Status is a worker with the state determined by this process, and the reason for it.
type Status struct {
	Worker fleet.Worker
	Reason Reason
}

// Usable reports whether the worker may be given new work.
func (s Status) Usable() bool { return s.Worker.State == fleet.HostLive }
