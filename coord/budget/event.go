package budget

import (
	"fmt"
	"time"
)

// Rates are limits in calls per second, of the whole system or of one process.
type Rates struct {
	Writes float64
	Reads  float64
}

// Priority orders the waiting calls of a process; lower values are sent first.
type Priority uint8

// The priorities, highest first.
const (
	PrioritySession Priority = iota
	PriorityClaims
	PriorityLedger
	PriorityConfig
	PriorityRecovery
	PriorityProbe
	numPriorities
)

// String returns the name of the priority for logs.
func (p Priority) String() string {
	names := [...]string{"session", "claims", "ledger", "config", "recovery", "probe"}
	if int(p) >= len(names) {
		return fmt.Sprintf("priority(%d)", uint8(p))
	}
	return names[p]
}

// Event is an input of [Machine.Step]: [MembersCounted], [SessionConfirmed], [Enqueue], [Cancel] or [Tick].
type Event interface{ event() }

// MembersCounted reports the number of processes that hold a session, as just read from the store.
type MembersCounted struct{ Count int }

// SessionConfirmed reports until when this process is certain to hold a session; the zero time means that it holds
// none.
type SessionConfirmed struct{ Until time.Time }

// Enqueue adds a call to the waiting calls.
type Enqueue struct {
	ID       uint64
	Write    bool
	Priority Priority
}

// Cancel removes a call that still waits.
type Cancel struct{ ID uint64 }

// Tick admits the waiting calls for which there are tokens.
type Tick struct{}

func (MembersCounted) event()   {}
func (SessionConfirmed) event() {}
func (Enqueue) event()          {}
func (Cancel) event()           {}
func (Tick) event()             {}

// Effect is an output of [Machine.Step]: [Proceed], [Reject] or [Wake].
type Effect interface{ effect() }

// Proceed allows a call to be sent now.
type Proceed struct{ ID uint64 }

// Reject rejects a call because too many calls wait.
type Reject struct{ ID uint64 }

// Wake requests a [Tick] at a time; a later Wake replaces it.
type Wake struct{ At time.Time }

func (Proceed) effect() {}
func (Reject) effect()  {}
func (Wake) effect()    {}
