package admit

import (
	"time"

	"lovagefork.example/coord/fleet"
)

// Item is a request for a slot; Cost is its expected time on a backend server.
type Item struct {
	ID       uint64
	Class    fleet.Class
	Customer fleet.CustomerID
	Flow     Flow
	Deadline time.Time
	Cost     time.Duration
}

// Reason is the reason why a request was rejected.
type Reason string

// The reasons of a rejection.
const (
	ReasonRate     Reason = "rate_limited"
	ReasonQueue    Reason = "queue_full"
	ReasonDeadline Reason = "deadline_unreachable"
)

// Event is an input of a [Machine].
type Event interface{ event() }

// Check tests whether a request would be queued, and counts it against its customer's rate limit.
type Check struct{ Item Item }

// Push queues a request that passed [Check].
type Push struct{ Item Item }

// Requeue puts a request that was taken from the queue back to the front of its flow.
type Requeue struct{ Item Item }

// Withdraw removes a queued request whose caller has disconnected.
type Withdraw struct{ ID uint64 }

// Limits replaces the limits of customers; a customer without an entry has weight 1 and no rate limit.
type Limits struct{ Customers map[fleet.CustomerID]Limit }

// Limit holds a customer's weight in the fair order of customers, and its rate limit at this process in requests per
// second; a rate of zero means no limit.
type Limit struct {
	Weight int
	Rate   float64
}

// Tick rejects queued requests that can no longer be answered before their deadline.
type Tick struct{}

func (Check) event()    {}
func (Push) event()     {}
func (Requeue) event()  {}
func (Withdraw) event() {}
func (Limits) event()   {}
func (Tick) event()     {}

// Effect is an output of a [Machine].
type Effect interface{ effect() }

// Accepted reports that the request of a [Check] would be queued, or that the request of a [Push] is queued.
type Accepted struct{ ID uint64 }

// Rejected reports that a request will not run; RetryAfter is the delay after which the caller may retry.
type Rejected struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

func (Accepted) effect() {}
func (Rejected) effect() {}

// Default limits of the queues.
const (
	// DefaultMaxPerCustomer limits the queued requests of one customer in one class.
	DefaultMaxPerCustomer = 256
	// DefaultMaxPerClass limits the queued requests of one class.
	DefaultMaxPerClass = 4096
)

// Machine is the state machine for the admission control of one process. It performs no I/O: [Machine.Step] takes an
// event and returns the effects.
type Machine struct {
	policy         Policy
	maxPerCustomer int
	maxPerClass    int
	limits         map[fleet.CustomerID]Limit
	buckets        map[fleet.CustomerID]*bucket
	entries        map[uint64]*entry
	classes        [len(fleet.Classes)]classQueue
	sequence       uint64
}

// Option configures a [Machine].
type Option func(*Machine)

// WithPolicy sets the order in which requests run; the default is [DefaultFair].
func WithPolicy(p Policy) Option { return func(m *Machine) { m.policy = p } }

// WithBounds sets the maximum number of queued requests of one customer in a class, and of one class.
func WithBounds(perCustomer, perClass int) Option {
	return func(m *Machine) { m.maxPerCustomer, m.maxPerClass = perCustomer, perClass }
}

// New returns a machine with empty queues.
func New(opts ...Option) *Machine {
	m := &Machine{
		policy: DefaultFair(), maxPerCustomer: DefaultMaxPerCustomer, maxPerClass: DefaultMaxPerClass,
		limits:  make(map[fleet.CustomerID]Limit),
		buckets: make(map[fleet.CustomerID]*bucket),
		entries: make(map[uint64]*entry),
	}
	for i := range m.classes {
		m.classes[i].customers = make(map[fleet.CustomerID]*customerQueue)
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Step applies an event and returns its effects.
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

// Backlog summarizes the queued requests of a flow: their number, their most urgent class, and the earliest deadline
// among each customer's oldest request.
type Backlog struct {
	Requests         int
	Class            fleet.Class
	EarliestDeadline time.Time
}

// Backlogs returns the backlog of each flow that has queued requests.
func (m *Machine) Backlogs() map[Flow]Backlog {
	backlogs := make(map[Flow]Backlog)
	for c := range m.classes {
		if m.classes[c].length == 0 {
			continue
		}
		for _, q := range m.classes[c].customers {
			for key, flow := range q.flows {
				backlog, seen := backlogs[key]
				if !seen {
					backlog.Class = fleet.Class(c)
				}
				backlog.Requests += flow.Len()
				if d := flow.Front().Value.(*entry).Deadline; backlog.EarliestDeadline.IsZero() ||
					d.Before(backlog.EarliestDeadline) {
					backlog.EarliestDeadline = d
				}
				backlogs[key] = backlog
			}
		}
	}
	return backlogs
}

// WouldReject reports whether a request would be rejected now for a reason other than its customer's rate limit.
func (m *Machine) WouldReject(now time.Time, it Item) (Rejected, bool) { return m.rejects(now, it) }

func (m *Machine) check(now time.Time, it Item) Effect {
	if rejected, ok := m.rejects(now, it); ok {
		return rejected
	}
	if wait := m.takeToken(now, it.Customer); wait > 0 {
		return Rejected{ID: it.ID, Reason: ReasonRate, RetryAfter: wait}
	}
	return Accepted{ID: it.ID}
}

func (m *Machine) push(now time.Time, it Item) Effect {
	if rejected, ok := m.rejects(now, it); ok {
		return rejected
	}
	m.insert(now, it, false)
	return Accepted{ID: it.ID}
}

// rejects reports whether the queue is full or the deadline would pass while the request waits or runs.
func (m *Machine) rejects(now time.Time, it Item) (Rejected, bool) {
	class := &m.classes[it.Class]
	q := class.customers[it.Customer]
	wait := q.expectedWait(now)
	if !now.Add(wait + it.Cost).Before(it.Deadline) {
		return Rejected{ID: it.ID, Reason: ReasonDeadline, RetryAfter: max(wait, minRetryAfter)}, true
	}
	if class.length >= m.maxPerClass || (q != nil && q.length >= m.maxPerCustomer) {
		return Rejected{ID: it.ID, Reason: ReasonQueue, RetryAfter: max(wait, minRetryAfter)}, true
	}
	return Rejected{}, false
}

// minRetryAfter keeps rejected callers from retrying immediately.
const minRetryAfter = time.Second

func (m *Machine) requeue(now time.Time, it Item) { m.insert(now, it, true) }

// expire rejects the requests that can no longer be answered before their deadline.
func (m *Machine) expire(now time.Time) []Effect {
	var effects []Effect
	for _, id := range m.expiredIDs(now) {
		m.remove(id)
		effects = append(effects, Rejected{ID: id, Reason: ReasonDeadline, RetryAfter: minRetryAfter})
	}
	return effects
}
