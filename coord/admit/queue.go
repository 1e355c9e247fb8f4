package admit

import (
	"container/list"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
)

// entry is a queued item; position is its element in its flow.
type entry struct {
	Item
	sequence uint64
	flow     *list.List
	position *list.Element
}

type classQueue struct {
	customers map[fleet.CustomerID]*customerQueue
	length    int
	virtual   float64
	credit    float64
}

// Flow names requests that can use the same slots.
type Flow struct {
	Service fleet.ServiceID
	// Long is set for requests whose deadline is too late for a borrowed slot.
	LongDeadline bool
}

// customerQueue holds one customer's requests in one class by flow, so that a flow without slots does not hold up
// another.
type customerQueue struct {
	flows  map[Flow]*list.List
	length int
	finish float64
	drain  drainRate
}

func (m *Machine) add(now time.Time, it Item, front bool) {
	class := &m.classes[it.Class]
	q := class.customers[it.Customer]
	if q == nil {
		q = &customerQueue{flows: make(map[Flow]*list.List)}
		class.customers[it.Customer] = q
	}
	if q.length == 0 {
		// An idle customer gains no credit for the time it did not ask.
		q.finish = max(q.finish, class.virtual)
		q.drain = drainRate{since: now}
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
		e.position = flow.PushFront(e)
	} else {
		e.position = flow.PushBack(e)
	}
	m.items[it.ID] = e
	q.length++
	class.length++
}

func (m *Machine) remove(id uint64) {
	e := m.items[id]
	if e == nil {
		return
	}
	delete(m.items, id)
	class := &m.classes[e.Class]
	q := class.customers[e.Customer]
	e.flow.Remove(e.position)
	q.length--
	class.length--
	if e.flow.Len() == 0 {
		delete(q.flows, e.Flow)
	}
	if class.length == 0 {
		class.credit = 0
	}
}

func (m *Machine) late(now time.Time) []uint64 {
	var ids []uint64
	for id, e := range m.items {
		if !now.Add(e.Cost).Before(e.Deadline) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// drainRate measures how fast a queue that is not empty gets slots.
type drainRate struct {
	since time.Time
	count float64
}

// drainWindow bounds the memory of a drain rate, so that it follows a recovery within seconds.
const drainWindow = 2 * time.Second

func (d *drainRate) served(now time.Time) {
	d.count++
	if age := now.Sub(d.since); age > drainWindow {
		d.count /= 2
		d.since = now.Add(-age / 2)
	}
}

// minDrainSample is the number of dispatches below which no rate is assumed.
const minDrainSample = 4

// expectedWait returns how long a request that joins the queue would wait at its measured rate, zero if unknown.
func (q *customerQueue) expectedWait(now time.Time) time.Duration {
	if q == nil || q.length == 0 || q.drain.count < minDrainSample {
		return 0
	}
	perRequest := now.Sub(q.drain.since).Seconds() / q.drain.count
	return time.Duration(float64(q.length) * perRequest * float64(time.Second))
}
