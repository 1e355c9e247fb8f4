package member

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// Event is an input of [Machine.Step]: [HostListed], [Contacted], [Unreachable] or [Tick].
type Event interface{ event() }

// HostListed is an answer of the host list to a request that was sent at Sent.
type HostsListed struct {
	List plat.HostList
	SentAt time.Time
}

// Contacted tells that a worker's agent or backend server answered a call of this process.
type Contacted struct{ Worker fleet.WorkerID }

// Unreachable tells that a call to a worker's agent or backend server failed.
type Unreachable struct{ Worker fleet.WorkerID }

// Tick lets time pass; it is due at least every second.
type Tick struct{}

func (HostsListed) event()  {}
func (Contacted) event()   {}
func (Unreachable) event() {}
func (Tick) event()        {}

// Effect is an output of [Machine.Step]: [Changed].
type Effect interface{ effect() }

// Changed tells that a worker's state or its description changed, and why; Forgotten is set when it is no longer known.
type WorkerChanged struct {
	Worker    fleet.Worker
	Reason    Reason
	Removed bool
}

func (WorkerChanged) effect() {}

// Reason says why a worker has its state.
type Reason string

// The reasons. Only [ReasonListed] goes with [fleet.HostLive].
const (
	ReasonListed      Reason = "listed as live"
	ReasonLeaving     Reason = "marked as leaving"
	ReasonFlapping    Reason = "marked as leaving repeatedly"
	ReasonUnlisted    Reason = "no longer listed"
	ReasonUnreachable Reason = "unreachable from here"
)

// Status is a worker with its state as this process sees it, and the reason.
type Status struct {
	Worker fleet.Worker
	Reason Reason
}

// Usable reports whether the worker takes new work.
func (s Status) Usable() bool { return s.Worker.State == fleet.HostLive }
