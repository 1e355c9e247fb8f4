package jobs

import (
	"slices"
	"time"

	"lovagefork.example/coord/place"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/plat"
	"lovagefork.example/coord/sets"
)

// Bounds of the work of one tick.
const (
	placePerTick = 64
	scanPerQueue = 32
	retryFull    = 500 * time.Millisecond
)

// shape is what decides whether a task fits; a task that does not fit speaks for all of its shape.
type shape struct {
	class     fleet.Class
	customer  fleet.CustomerID
	kind      string
	resources fleet.Resources
}

// queue holds the waiting tasks of one shape, resumed ones first.
type queue struct {
	shape   shape
	resumed []*task
	fresh   []*task
	fullAt  time.Time
	version uint64
	why     string
}

func shapeOf(t *task) shape {
	s := t.job.spec
	return shape{class: s.Class, customer: s.Customer, kind: s.Kind, resources: s.Resources}
}

func (m *Machine) enqueue(t *task) {
	s := shapeOf(t)
	q := m.byShape[s]
	if q == nil {
		q = &queue{shape: s}
		m.byShape[s] = q
		m.queues[s.class] = append(m.queues[s.class], q)
	}
	if t.attempt > 0 {
		q.resumed = append(q.resumed, t)
	} else {
		q.fresh = append(q.fresh, t)
	}
}

// place reserves workers for waiting tasks, most urgent class first and in turn between the shapes of a class.
func (m *Machine) place(now time.Time) {
	left := placePerTick
	for class := range m.queues {
		m.dropEmpty(class)
		open := m.openQueues(now, class)
		for len(open) > 0 && left > 0 {
			open = slices.DeleteFunc(open, func(q *queue) bool {
				if left <= 0 {
					return true
				}
				placed := m.placeFrom(now, q)
				if placed {
					left--
				}
				return !placed
			})
		}
		// Rotation keeps the first shape of a class from taking all room.
		if qs := m.queues[class]; len(qs) > 1 {
			m.queues[class] = append(qs[1:len(qs):len(qs)], qs[0])
		}
	}
}

func (m *Machine) openQueues(now time.Time, class int) []*queue {
	var open []*queue
	for _, q := range m.queues[class] {
		if q.version != m.version || now.Sub(q.fullAt) >= retryFull {
			open = append(open, q)
		}
	}
	return open
}

func (m *Machine) dropEmpty(class int) {
	m.queues[class] = slices.DeleteFunc(m.queues[class], func(q *queue) bool {
		if len(q.resumed)+len(q.fresh) > 0 {
			return false
		}
		delete(m.byShape, q.shape)
		return true
	})
}

// placeFrom places one task of a queue and reports whether it did.
func (m *Machine) placeFrom(now time.Time, q *queue) bool {
	if why := m.overQuota(q.shape); why != "" {
		q.full(now, m.version, why)
		return false
	}
	for _, list := range []*[]*task{&q.resumed, &q.fresh} {
		if t := m.placeFirst(now, q, list); t != nil {
			return true
		}
	}
	if q.why == "" {
		q.why = "waits for its next attempt"
	}
	q.full(now, m.version, q.why)
	return false
}

func (q *queue) full(now time.Time, version uint64, why string) {
	q.fullAt, q.version, q.why = now, version, why
}

func (m *Machine) placeFirst(now time.Time, q *queue, list *[]*task) *task {
	*list = trim(*list)
	for i := 0; i < min(len(*list), scanPerQueue); i++ {
		t := (*list)[i]
		if !t.queued() {
			continue
		}
		if t.job.passing || now.Before(t.notBefore) {
			continue
		}
		decision, err := m.placer.Place(now, request(t, t.nextRef()))
		if err != nil {
			q.why = err.Error()
			if len(t.failedOn) > 0 {
				continue
			}
			return nil
		}
		*list = slices.Delete(*list, i, i+1)
		m.reserve(now, t, decision)
		return t
	}
	return nil
}

// queued reports whether a task is waiting and has no reservation; others are left in the queue until it is trimmed.
func (t *task) queued() bool {
	return t.state == StateWaiting && !t.pending && t.reserved == "" && !t.retired
}

// trim drops the leading tasks that no longer wait, so that cancellations in bursts cost one pass.
func trim(list []*task) []*task {
	n := 0
	for n < len(list) && !list[n].queued() {
		n++
	}
	return list[n:]
}

func (m *Machine) reserve(now time.Time, t *task, d place.Decision) {
	t.reserved, t.reservedAt, t.reservedFor = d.Worker, now, d.Reason
	t.worker = ""
	m.hold(t, 1)
	if len(d.Evict) > 0 {
		t.victims = d.Evict
		m.evictFor(now, t)
		m.reserving = append(m.reserving, t)
		return
	}
	m.claim(t)
}

// evictFor evicts the tasks that an urgent one waits for; one whose claim is not durable yet follows in a later tick.
func (m *Machine) evictFor(now time.Time, t *task) {
	for _, victim := range t.victims {
		m.evict(now, victim, "urgent task "+string(t.id)+" needs the room")
	}
}

// unreserve gives a reservation back whose claim was not recorded.
func (m *Machine) unreserve(now time.Time, t *task) {
	m.placer.Step(now, place.Ended{TaskRef: t.nextRef(), Worker: t.reserved})
	t.reserved, t.reservedFor, t.victims = "", "", nil
	m.hold(t, -1)
	m.version++
}

// claimReserved claims tasks whose evictions have ended.
func (m *Machine) claimReserved(now time.Time) {
	m.reserving = slices.DeleteFunc(m.reserving, func(t *task) bool {
		switch {
		case t.reserved == "" || t.pending:
			return true
		case t.state != StateWaiting || t.retired:
			m.unreserve(now, t)
			return true
		case m.placer.Ready(t.nextRef()):
			m.claim(t)
			return true
		case now.Sub(t.reservedAt) > evictWait:
			m.unreserve(now, t)
			m.enqueue(t)
			return true
		}
		m.evictFor(now, t)
		return false
	})
}

// claim asks for the record that must be durable before the start is sent.
func (m *Machine) claim(t *task) {
	t.pending = true
	claimed := ledger.TaskClaimed{Task: t.id, Attempt: t.attempt + 1, Worker: t.reserved}
	m.emit(Append{Records: []ledger.Record{claimed}, Urgent: t.job.spec.Class == fleet.Urgent})
}

func request(t *task, ref plat.TaskRef) place.Task {
	return place.Task{
		Ref:       ref,
		Kind:      t.job.spec.Kind,
		Class:     t.job.spec.Class,
		Customer:  t.job.spec.Customer,
		Resources: t.job.spec.Resources,
		Avoid:     sets.Of(t.failedOn...),
	}
}
