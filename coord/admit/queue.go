package admit

import (
	"container/list"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
)

// entry is a queued item; element is its position in the list flow.
type entry struct {
	Item
	sequence uint64
	flow     *list.List
	element  *list.Element
}

// classQueue holds the queued requests of one class. virtualTime is the virtual time of the weighted fair queueing, and
// credit is the service in seconds that the class may get before more urgent ones, see [Fair].
type classQueue struct {
	customers   map[fleet.CustomerID]*customerQueue
	length      int
	virtualTime float64
	credit      float64
}

// Flow identifies requests that can use the same slots.
type Flow struct {
	Service fleet.ServiceID
	// LongDeadline is set for requests whose deadline is after the end of a loan, which cannot use borrowed slots.
	LongDeadline bool
}

// customerQueue holds one customer's requests in one class, with a list for each flow so that a flow without slots does
// not block other flows.
type customerQueue struct {
	flows         map[Flow]*list.List
	length        int
	virtualFinish float64
	drainRate     drainRate
}

func (m *Machine) insert(now time.Time, it Item, front bool) {
	class := &m.classes[it.Class]
	q := class.customers[it.Customer]
	if q == nil {
		q = &customerQueue{flows: make(map[Flow]*list.List)}
		class.customers[it.Customer] = q
	}
	if q.length == 0 {
		// A customer accumulates no claim to service while it has no requests.
		q.virtualFinish = max(q.virtualFinish, class.virtualTime)
		q.drainRate = drainRate{since: now}
	}
	flow := q.flows[it.Flow]
	if flow == nil {
		flow = list.New()
		q.flows[it.Flow] = flow
	}
	m.sequence++
	e := &entry{Item: it, sequence: m.sequence, flow: flow}
	if front {
		e.sequence = 0
		e.element = flow.PushFront(e)
	} else {
		e.element = flow.PushBack(e)
	}
	m.entries[it.ID] = e
	q.length++
	class.length++
}

func (m *Machine) remove(id uint64) {
	e := m.entries[id]
	if e == nil {
		return
	}
	delete(m.entries, id)
	class := &m.classes[e.Class]
	q := class.customers[e.Customer]
	e.flow.Remove(e.element)
	q.length--
	class.length--
	if e.flow.Len() == 0 {
		delete(q.flows, e.Flow)
	}
	if class.length == 0 {
		class.credit = 0
	}
}

// expiredIDs returns the ids of the requests that can no longer be answered before their deadline.
func (m *Machine) expiredIDs(now time.Time) []uint64 {
	var ids []uint64
	for id, e := range m.entries {
		if !now.Add(e.Cost).Before(e.Deadline) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// drainRate measures the rate at which requests leave a queue while it is not empty.
type drainRate struct {
	since time.Time
	count float64
}

// drainWindow limits the period that a drain rate covers, so that the rate follows a recovery within seconds.
const drainWindow = 2 * time.Second

func (d *drainRate) recordDispatch(now time.Time, cost time.Duration) {
	if start := now.Add(-cost); d.count == 0 && start.After(d.since) {
		// Slots that are in use become free within the time of a request. A longer wait for the first one, such as for a
		// peer's report of its slots, is not repeated for each request.
		d.since = start
	}
	d.count++
	if age := now.Sub(d.since); age > drainWindow {
		d.count /= 2
		d.since = now.Add(-age / 2)
	}
}

// minDrainSample is the minimum number of dispatches for an estimate of the rate.
const minDrainSample = 4

// expectedWait estimates the waiting time of a new request from the measured drain rate. It returns zero if too few
// requests were measured.
func (q *customerQueue) expectedWait(now time.Time) time.Duration {
	if q == nil || q.length == 0 || q.drainRate.count < minDrainSample {
		return 0
	}
	perRequest := now.Sub(q.drainRate.since).Seconds() / q.drainRate.count
	return time.Duration(float64(q.length) * perRequest * float64(time.Second))
}
