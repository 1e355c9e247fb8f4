package budget

import (
	"fmt"
	"time"
)

// Rates are calls a second for the whole system.
type Rates struct {
	Writes float64
	Reads  float64
}

// Priority orders the waiting calls of a process; a lower value goes first.
type Priority uint8

// The priorities, first to last.
const (
	PrioritySession Priority = iota
	PriorityClaims
	PriorityLedger
	PriorityConfig
	PriorityRecovery
	PriorityProbe
	priorities
)

// String returns the name of the priority for logs.
func (p Priority) String() string {
	names := [...]string{"session", "claims", "ledger", "config", "recovery", "probe"}
	if int(p) >= len(names) {
		return fmt.Sprintf("priority(%d)", uint8(p))
	}
	return names[p]
}

// Event is an input of [Machine.Step]: [Members], [Held], [Ask], [Cancel] or [Tick].
type Event interface{ event() }

// Members tells how many processes hold a session in the store, as just read from it.
type MembersCounted struct{ Count int }

// Held tells until when this process surely holds a session; the zero time means that it holds none.
type SessionConfirmed struct{ Until time.Time }

// Ask announces a call that waits for its turn.
type Enqueue struct {
	ID       uint64
	Write    bool
	Priority Priority
}

// Cancel withdraws a call that still waits.
type Cancel struct{ ID uint64 }

// Tick lets waiting calls go whose time has come.
type Tick struct{}

func (MembersCounted) event()   {}
func (SessionConfirmed) event() {}
func (Enqueue) event()          {}
func (Cancel) event()           {}
func (Tick) event()             {}

// Effect is an output of [Machine.Step]: [Proceed], [Refuse] or [Wake].
type Effect interface{ effect() }

// Proceed lets a call go now.
type Proceed struct{ ID uint64 }

// Refuse turns a call away because too many calls wait.
type Reject struct{ ID uint64 }

// Wake asks for a [Tick] at a time; a later Wake replaces it.
type Wake struct{ At time.Time }

func (Proceed) effect() {}
func (Reject) effect()  {}
func (Wake) effect()    {}
