package admit

import (
	"time"

	"lovagefork.example/coord/fleet"
)

// Policy is the order of service: [Fair], [FIFO] or [Priority].
type Policy interface{ policy() }

// Fair is strict priority between classes with a floor for each class, and weighted fair between customers.
//
// Floor is the part of the served time that a waiting class gets even while more urgent ones wait.
type Fair struct {
	MinShare [len(fleet.Classes)]float64
}

// FIFO is one queue in the order of arrival; a baseline.
type FIFO struct{}

// Priority is strict priority between classes, in the order of arrival within one; a baseline.
type Priority struct{}

func (Fair) policy()     {}
func (FIFO) policy()     {}
func (Priority) policy() {}

// DefaultFair returns the default order of service.
//
// The floors delay more urgent work. With 0.10 and 0.05 the 99th percentile of the other classes rose to 1005 ms during
// an overload of the urgent class, with these to 265 ms.
func DefaultFair() Fair { return Fair{MinShare: [...]float64{0, 0.15, 0.08}} }

// Next takes the request to run next among those that can run, and false if there is none.
//
// can is asked about the oldest request of each flow, class and customer.
func (m *Machine) Next(now time.Time, can func(Item) bool) (Item, bool) {
	var e *entry
	switch p := m.policy.(type) {
	case Fair:
		e = m.nextFair(p, can)
	case FIFO:
		e = m.nextFIFO(can)
	case Priority:
		e = m.nextPriority(can)
	}
	if e == nil {
		return Item{}, false
	}
	m.charge(now, e)
	m.remove(e.ID)
	return e.Item, true
}

func (m *Machine) nextFair(p Fair, can func(Item) bool) *entry {
	for c := range m.classes {
		class := &m.classes[c]
		if class.credit <= 0 || class.length == 0 {
			continue
		}
		if e := class.fairest(can); e != nil && class.credit >= min(e.charge(), maxCredit) {
			class.credit -= e.charge()
			m.accrue(p, e)
			return e
		}
	}
	for c := range m.classes {
		if e := m.classes[c].fairest(can); e != nil {
			m.accrue(p, e)
			return e
		}
	}
	return nil
}

// maxCredit, in seconds of service, bounds what a class can claim at once after a time in which it waited but none of
// its requests could run.
const maxCredit = 1.0

// accrue credits the floors of the classes that wait while another is served.
func (m *Machine) accrue(p Fair, served *entry) {
	for c := range m.classes {
		class := &m.classes[c]
		if fleet.Class(c) != served.Class && class.length > 0 {
			class.credit = min(maxCredit, class.credit+p.MinShare[c]*served.charge())
		}
	}
}

func (m *Machine) nextFIFO(can func(Item) bool) *entry {
	var best *entry
	for c := range m.classes {
		if e := m.classes[c].oldest(can); e != nil && (best == nil || e.sequence < best.sequence) {
			best = e
		}
	}
	return best
}

func (m *Machine) nextPriority(can func(Item) bool) *entry {
	for c := range m.classes {
		if e := m.classes[c].oldest(can); e != nil {
			return e
		}
	}
	return nil
}

// fairest returns the oldest runnable request of the customer that has had the least service for its weight.
func (q *classQueue) fairest(can func(Item) bool) *entry {
	var best *entry
	var bestFinish float64
	var bestCustomer fleet.CustomerID
	if q.length == 0 {
		return nil
	}
	for id, c := range q.customers {
		if c.length == 0 || (best != nil && (c.finish > bestFinish || (c.finish == bestFinish && id > bestCustomer))) {
			continue
		}
		if e := c.oldest(can); e != nil {
			best, bestFinish, bestCustomer = e, c.finish, id
		}
	}
	return best
}

func (q *classQueue) oldest(can func(Item) bool) *entry {
	var best *entry
	if q.length == 0 {
		return nil
	}
	for _, c := range q.customers {
		if e := c.oldest(can); e != nil && (best == nil || e.sequence < best.sequence) {
			best = e
		}
	}
	return best
}

func (q *customerQueue) oldest(can func(Item) bool) *entry {
	var best *entry
	for _, flow := range q.flows {
		e := flow.Front().Value.(*entry)
		if (best == nil || e.sequence < best.sequence) && can(e.Item) {
			best = e
		}
	}
	return best
}

// minCost is the least charge for a request, so that free requests cannot crowd out others.
const minCost = time.Millisecond

// charge is the service in seconds that the request counts for.
func (e *entry) charge() float64 { return max(e.Cost, minCost).Seconds() }

// charge advances the customer's finish time by the cost of the request over its weight.
func (m *Machine) charge(now time.Time, e *entry) {
	class := &m.classes[e.Class]
	q := class.customers[e.Customer]
	class.virtual = max(class.virtual, q.finish)
	q.finish += e.charge() / m.weight(e.Customer)
	q.drain.served(now)
}

func (m *Machine) weight(id fleet.CustomerID) float64 {
	if w := m.limits[id].Weight; w > 0 {
		return float64(w)
	}
	return 1
}
