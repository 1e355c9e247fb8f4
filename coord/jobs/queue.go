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

// Limits on the placement work of one tick. blockedQueueRetry is the time before a queue whose tasks could not be placed
// is tried again, and the time between two checks for jobs to move.
const (
	maxPlacedPerTick   = 64
	maxScannedPerQueue = 32
	blockedQueueRetry  = 500 * time.Millisecond
)

// shape holds the properties that determine whether a task fits a worker. If one task does not fit, no other task of
// the same shape is tried.
type shape struct {
	class     fleet.Class
	customer  fleet.CustomerID
	kind      string
	resources fleet.Resources
}

// queue holds the waiting tasks of one shape. Tasks with an earlier attempt, in retries, are placed before the
// others.
type queue struct {
	shape         shape
	retries       []*task
	firstAttempts []*task
	// blockedAt, blockedVersion and blockedReason are the time, the placement version and the cause of the last failed
	// placement.
	blockedAt      time.Time
	blockedVersion uint64
	blockedReason  string
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
		q.retries = append(q.retries, t)
	} else {
		q.firstAttempts = append(q.firstAttempts, t)
	}
}

// place reserves workers for waiting tasks: the most urgent class first, and round-robin over the shapes of a class.
func (m *Machine) place(now time.Time) {
	remaining := maxPlacedPerTick
	for class := range m.queues {
		m.dropEmptyQueues(class)
		ready := m.readyQueues(now, class)
		for len(ready) > 0 && remaining > 0 {
			ready = slices.DeleteFunc(ready, func(q *queue) bool {
				if remaining <= 0 {
					return true
				}
				placed := m.placeFrom(now, q)
				if placed {
					remaining--
				}
				return !placed
			})
		}
		// Rotation keeps the first shape of a class from taking all free capacity.
		if qs := m.queues[class]; len(qs) > 1 {
			m.queues[class] = append(qs[1:len(qs):len(qs)], qs[0])
		}
	}
}

// readyQueues returns the queues of a class that are worth another try: since their last failed placement, workers,
// quotas or running attempts changed, or blockedQueueRetry has passed.
func (m *Machine) readyQueues(now time.Time, class int) []*queue {
	var ready []*queue
	for _, q := range m.queues[class] {
		if q.blockedVersion != m.placementVersion || now.Sub(q.blockedAt) >= blockedQueueRetry {
			ready = append(ready, q)
		}
	}
	return ready
}

func (m *Machine) dropEmptyQueues(class int) {
	m.queues[class] = slices.DeleteFunc(m.queues[class], func(q *queue) bool {
		if len(q.retries)+len(q.firstAttempts) > 0 {
			return false
		}
		delete(m.byShape, q.shape)
		return true
	})
}

// placeFrom places one task of a queue and reports whether it did.
func (m *Machine) placeFrom(now time.Time, q *queue) bool {
	if reason := m.quotaReason(q.shape); reason != "" {
		q.markBlocked(now, m.placementVersion, reason)
		return false
	}
	for _, list := range []*[]*task{&q.retries, &q.firstAttempts} {
		if t := m.placeFirst(now, q, list); t != nil {
			return true
		}
	}
	if q.blockedReason == "" {
		q.blockedReason = "waits for its next attempt"
	}
	q.markBlocked(now, m.placementVersion, q.blockedReason)
	return false
}

func (q *queue) markBlocked(now time.Time, version uint64, reason string) {
	q.blockedAt, q.blockedVersion, q.blockedReason = now, version, reason
}

// placeFirst places the first task of a list that fits and returns it. It tries several tasks only if they avoid
// workers on which they failed.
func (m *Machine) placeFirst(now time.Time, q *queue, list *[]*task) *task {
	*list = trimQueue(*list)
	for i := 0; i < min(len(*list), maxScannedPerQueue); i++ {
		t := (*list)[i]
		if !t.queued() {
			continue
		}
		if t.job.moving || now.Before(t.notBefore) {
			continue
		}
		decision, err := m.placer.Place(now, request(t, t.nextRef()))
		if err != nil {
			q.blockedReason = err.Error()
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

// queued reports whether a task is waiting without a reservation. Other tasks stay in the queue until it is trimmed.
func (t *task) queued() bool {
	return t.state == StateWaiting && !t.recordPending && t.reservedOn == "" && !t.retired
}

// trimQueue drops the leading tasks that are no longer queued. A burst of cancellations then costs a single pass.
func trimQueue(list []*task) []*task {
	n := 0
	for n < len(list) && !list[n].queued() {
		n++
	}
	return list[n:]
}

// reserve reserves a worker for a task, and claims the task unless other tasks must be evicted first.
func (m *Machine) reserve(now time.Time, t *task, d place.Decision) {
	t.reservedOn, t.reservedAt, t.placementReason = d.Worker, now, d.Reason
	t.worker = ""
	m.addUsed(t, 1)
	if len(d.Evict) > 0 {
		t.victims = d.Evict
		m.evictFor(now, t)
		m.awaitingEvictions = append(m.awaitingEvictions, t)
		return
	}
	m.claim(t)
}

// evictFor evicts the victims of an urgent task. A victim whose claim is not durable yet is evicted in a later tick.
func (m *Machine) evictFor(now time.Time, t *task) {
	for _, victim := range t.victims {
		m.evict(now, victim, "urgent task "+string(t.id)+" needs the room")
	}
}

// unreserve cancels a reservation whose claim was not recorded.
func (m *Machine) unreserve(now time.Time, t *task) {
	m.placer.Step(now, place.Ended{TaskRef: t.nextRef(), Worker: t.reservedOn})
	t.reservedOn, t.placementReason, t.victims = "", "", nil
	m.addUsed(t, -1)
	m.placementVersion++
}

// claimReserved claims the tasks whose victims have ended. A task whose evictions take too long is queued again.
func (m *Machine) claimReserved(now time.Time) {
	m.awaitingEvictions = slices.DeleteFunc(m.awaitingEvictions, func(t *task) bool {
		switch {
		case t.reservedOn == "" || t.recordPending:
			return true
		case t.state != StateWaiting || t.retired:
			m.unreserve(now, t)
			return true
		case m.placer.Ready(t.nextRef()):
			m.claim(t)
			return true
		case now.Sub(t.reservedAt) > evictTimeout:
			m.unreserve(now, t)
			m.enqueue(t)
			return true
		}
		m.evictFor(now, t)
		return false
	})
}

// claim appends the claim of a reserved task, which must be durable before the start is sent.
func (m *Machine) claim(t *task) {
	t.recordPending = true
	claimed := ledger.TaskClaimed{Task: t.id, Attempt: t.attempt + 1, Worker: t.reservedOn}
	m.emit(Append{Records: []ledger.Record{claimed}, Urgent: t.job.spec.Class == fleet.Urgent})
}

// request returns the placer's description of an attempt.
func request(t *task, ref plat.TaskRef) place.Task {
	return place.Task{
		Ref:       ref,
		Kind:      t.job.spec.Kind,
		Class:     t.job.spec.Class,
		Customer:  t.job.spec.Customer,
		Resources: t.job.spec.Resources,
		Avoid:     sets.Of(t.failedOn...),
		Suspect:   t.crashes > 0 && t.job.serviceID == "",
	}
}
