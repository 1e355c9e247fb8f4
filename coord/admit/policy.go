package admit

import (
	"time"

	"lovagefork.example/coord/fleet"
)

// Policy is the order in which queued requests run: [Fair], [FIFO] or [Priority].
type Policy interface{ policy() }

// Fair is strict priority between classes with a guaranteed minimum share for each class, and weighted fair queueing
// between the customers of a class.
//
// MinShare is the share of the service time that a class with queued requests gets even while more urgent classes wait.
type Fair struct {
	MinShare [len(fleet.Classes)]float64
}

// FIFO runs requests in the order of arrival. It is a baseline for comparisons.
type FIFO struct{}

// Priority is strict priority between classes and the order of arrival within a class. It is a baseline for
// comparisons.
type Priority struct{}

func (Fair) policy()     {}
func (FIFO) policy()     {}
func (Priority) policy() {}

// DefaultFair returns the default policy.
//
// The minimum shares delay more urgent requests. During an overload of the urgent class, the 99th percentile of the
// other classes' latency rose to 265 ms with these shares, and to 1005 ms with 0.10 and 0.05.
func DefaultFair() Fair { return Fair{MinShare: [...]float64{0, 0.15, 0.08}} }

// Next removes and returns the next request to run. It returns false if no queued request can run.
//
// canRun reports whether a request can run now. It is called only for the oldest request of each flow, class and
// customer.
func (m *Machine) Next(now time.Time, canRun func(Item) bool) (Item, bool) {
	var e *entry
	switch p := m.policy.(type) {
	case Fair:
		e = m.nextFair(p, canRun)
	case FIFO:
		e = m.nextFIFO(canRun)
	case Priority:
		e = m.nextPriority(canRun)
	}
	if e == nil {
		return Item{}, false
	}
	m.charge(now, e)
	m.remove(e.ID)
	return e.Item, true
}

// nextFair selects from the most urgent class that has enough credit for its next request, or else from the most urgent
// class that has a runnable request.
func (m *Machine) nextFair(p Fair, canRun func(Item) bool) *entry {
	for c := range m.classes {
		class := &m.classes[c]
		if class.credit <= 0 || class.length == 0 {
			continue
		}
		if e := class.leastServed(canRun); e != nil && class.credit >= min(e.serviceSeconds(), maxCredit) {
			class.credit -= e.serviceSeconds()
			m.creditWaiting(p, e)
			return e
		}
	}
	for c := range m.classes {
		if e := m.classes[c].leastServed(canRun); e != nil {
			m.creditWaiting(p, e)
			return e
		}
	}
	return nil
}

// maxCredit, in seconds of service, limits the burst of a class after a period in which it had queued requests but none
// of them could run.
const maxCredit = 1.0

// creditWaiting adds to the credit of each other class with queued requests its minimum share of the request's service.
func (m *Machine) creditWaiting(p Fair, next *entry) {
	for c := range m.classes {
		class := &m.classes[c]
		if fleet.Class(c) != next.Class && class.length > 0 {
			class.credit = min(maxCredit, class.credit+p.MinShare[c]*next.serviceSeconds())
		}
	}
}

func (m *Machine) nextFIFO(canRun func(Item) bool) *entry {
	var best *entry
	for c := range m.classes {
		if e := m.classes[c].oldest(canRun); e != nil && (best == nil || e.sequence < best.sequence) {
			best = e
		}
	}
	return best
}

func (m *Machine) nextPriority(canRun func(Item) bool) *entry {
	for c := range m.classes {
		if e := m.classes[c].oldest(canRun); e != nil {
			return e
		}
	}
	return nil
}

// leastServed returns the oldest runnable request of the customer with the least service relative to its weight.
func (q *classQueue) leastServed(canRun func(Item) bool) *entry {
	var best *entry
	var bestFinish float64
	var bestCustomer fleet.CustomerID
	if q.length == 0 {
		return nil
	}
	for id, c := range q.customers {
		if c.length == 0 || (best != nil &&
			(c.virtualFinish > bestFinish || (c.virtualFinish == bestFinish && id > bestCustomer))) {
			continue
		}
		if e := c.oldest(canRun); e != nil {
			best, bestFinish, bestCustomer = e, c.virtualFinish, id
		}
	}
	return best
}

func (q *classQueue) oldest(canRun func(Item) bool) *entry {
	var best *entry
	if q.length == 0 {
		return nil
	}
	for _, c := range q.customers {
		if e := c.oldest(canRun); e != nil && (best == nil || e.sequence < best.sequence) {
			best = e
		}
	}
	return best
}

func (q *customerQueue) oldest(canRun func(Item) bool) *entry {
	var best *entry
	for _, flow := range q.flows {
		e := flow.Front().Value.(*entry)
		if (best == nil || e.sequence < best.sequence) && canRun(e.Item) {
			best = e
		}
	}
	return best
}

// minServiceTime is the minimum that a request is charged, so that requests without a cost estimate cannot starve
// others.
const minServiceTime = time.Millisecond

// serviceSeconds returns the service time that the request is charged, in seconds.
func (e *entry) serviceSeconds() float64 { return max(e.Cost, minServiceTime).Seconds() }

// charge advances the customer's virtual finish time by the service time of the request divided by the customer's
// weight.
func (m *Machine) charge(now time.Time, e *entry) {
	class := &m.classes[e.Class]
	q := class.customers[e.Customer]
	class.virtualTime = max(class.virtualTime, q.virtualFinish)
	q.virtualFinish += e.serviceSeconds() / m.weight(e.Customer)
	q.drainRate.recordDispatch(now, e.Cost)
}

func (m *Machine) weight(id fleet.CustomerID) float64 {
	if w := m.limits[id].Weight; w > 0 {
		return float64(w)
	}
	return 1
}
