package admit

import (
	"time"

	"lovagefork.example/coord/fleet"
)

// Item is one request that asks for a slot; Cost is its expected time on a backend server.
type Item struct {
	ID       uint64
	Class    fleet.Class
	Customer fleet.CustomerID
	Flow     Flow
	Deadline time.Time
	Cost     time.Duration
}

// Reason tells why a request was rejected.
type Reason string

// The reasons of a rejection.
const (
	ReasonRate     Reason = "rate_limited"
	ReasonQueue    Reason = "queue_full"
	ReasonDeadline Reason = "deadline_unreachable"
)

// Event is an input of a [Machine].
type Event interface{ event() }

// Check asks whether a request would be queued, and takes it from its customer's rate.
type Check struct{ Item Item }

// Push queues a request that passed [Check].
type Push struct{ Item Item }

// Requeue puts a request back that was already taken from the queue; it goes to the front.
type Requeue struct{ Item Item }

// Withdraw removes a request whose caller has gone.
type Withdraw struct{ ID uint64 }

// Limits replaces the limits of customers; a customer without an entry has weight 1 and no rate limit.
type Limits struct{ Customers map[fleet.CustomerID]Limit }

// Limit is a customer's share between customers and its rate in requests a second at this process; zero is no limit.
type Limit struct {
	Weight int
	Rate   float64
}

// Tick rejects requests whose deadline has come too close.
type Tick struct{}

func (Check) event()    {}
func (Push) event()     {}
func (Requeue) event()  {}
func (Withdraw) event() {}
func (Limits) event()   {}
func (Tick) event()     {}

// Effect is an output of a [Machine].
type Effect interface{ effect() }

// Accepted answers [Check] and [Push].
type Accepted struct{ ID uint64 }

// Rejected tells that a request will not run; RetryAfter is when another try makes sense.
type Rejected struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

func (Accepted) effect() {}
func (Rejected) effect() {}

// Bounds of the queues.
const (
	// DefaultQueue bounds the requests that one customer may have waiting in one class.
	DefaultMaxPerCustomer = 256
	// DefaultTotal bounds the requests that wait in one class.
	DefaultMaxPerClass = 4096
)

// Machine is the reducer for admission control of one process.
type Machine struct {
	policy   Policy
	maxQueue int
	maxTotal int
	limits   map[fleet.CustomerID]Limit
	rates    map[fleet.CustomerID]*bucket
	items    map[uint64]*entry
	classes  [len(fleet.Classes)]classQueue
	sequence uint64
}

// Option changes a [Machine] under construction.
type Option func(*Machine)

// WithPolicy sets the order of service; the default is [DefaultFair].
func WithPolicy(p Policy) Option { return func(m *Machine) { m.policy = p } }

// WithBounds sets how many requests may wait for one customer in a class, and for one class.
func WithBounds(perCustomer, perClass int) Option {
	return func(m *Machine) { m.maxQueue, m.maxTotal = perCustomer, perClass }
}

// New returns a machine with empty queues.
func New(opts ...Option) *Machine {
	m := &Machine{
		policy: DefaultFair(), maxQueue: DefaultMaxPerCustomer, maxTotal: DefaultMaxPerClass,
		limits: make(map[fleet.CustomerID]Limit),
		rates:  make(map[fleet.CustomerID]*bucket),
		items:  make(map[uint64]*entry),
	}
	for i := range m.classes {
		m.classes[i].customers = make(map[fleet.CustomerID]*customerQueue)
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Step applies an event.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Check:
		return []Effect{m.check(now, ev.Item)}
	case Push:
		return []Effect{m.push(now, ev.Item)}
	case Requeue:
		m.requeue(now, ev.Item)
	case Withdraw:
		m.remove(ev.ID)
	case Limits:
		m.limits = ev.Customers
	case Tick:
		return m.expire(now)
	}
	return nil
}

// Waiting tells what waits in a flow: how many requests, their most urgent class, and the earliest deadline among the
// oldest ones of the customers.
type Backlog struct {
	Requests         int
	Class            fleet.Class
	EarliestDeadline time.Time
}

// Waiting returns the flows with waiting requests.
func (m *Machine) Backlogs() map[Flow]Backlog {
	found := make(map[Flow]Backlog)
	for c := range m.classes {
		if m.classes[c].length == 0 {
			continue
		}
		for _, q := range m.classes[c].customers {
			for key, flow := range q.flows {
				w, known := found[key]
				if !known {
					w.Class = fleet.Class(c)
				}
				w.Requests += flow.Len()
				if d := flow.Front().Value.(*entry).Deadline; w.EarliestDeadline.IsZero() || d.Before(w.EarliestDeadline) {
					w.EarliestDeadline = d
				}
				found[key] = w
			}
		}
	}
	return found
}

// Refuses reports whether a request would be rejected now for other reasons than its customer's rate.
func (m *Machine) WouldReject(now time.Time, it Item) (Rejected, bool) { return m.refuse(now, it) }

func (m *Machine) check(now time.Time, it Item) Effect {
	if rejected, ok := m.refuse(now, it); ok {
		return rejected
	}
	if wait := m.takeToken(now, it.Customer); wait > 0 {
		return Rejected{ID: it.ID, Reason: ReasonRate, RetryAfter: wait}
	}
	return Accepted{ID: it.ID}
}

func (m *Machine) push(now time.Time, it Item) Effect {
	if rejected, ok := m.refuse(now, it); ok {
		return rejected
	}
	m.add(now, it, false)
	return Accepted{ID: it.ID}
}

// refuse rejects a request that would not fit, or whose deadline would pass while it waits or runs.
func (m *Machine) refuse(now time.Time, it Item) (Rejected, bool) {
	class := &m.classes[it.Class]
	q := class.customers[it.Customer]
	wait := q.expectedWait(now)
	if !now.Add(wait + it.Cost).Before(it.Deadline) {
		return Rejected{ID: it.ID, Reason: ReasonDeadline, RetryAfter: max(wait, minRetryAfter)}, true
	}
	if class.length >= m.maxTotal || (q != nil && q.length >= m.maxQueue) {
		return Rejected{ID: it.ID, Reason: ReasonQueue, RetryAfter: max(wait, minRetryAfter)}, true
	}
	return Rejected{}, false
}

// minRetryAfter keeps rejected callers from coming back at once.
const minRetryAfter = time.Second

func (m *Machine) requeue(now time.Time, it Item) { m.add(now, it, true) }

// expire rejects the requests that could no longer be answered in time.
func (m *Machine) expire(now time.Time) []Effect {
	var effects []Effect
	for _, id := range m.late(now) {
		m.remove(id)
		effects = append(effects, Rejected{ID: id, Reason: ReasonDeadline, RetryAfter: minRetryAfter})
	}
	return effects
}
