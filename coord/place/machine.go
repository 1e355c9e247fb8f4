package place

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// Machine is the state machine that places the tasks of one partition; it is not safe for concurrent use.
type Machine struct {
	policy Policy
	hosts  map[fleet.WorkerID]*host
	// hostsByID lists the hosts by ascending worker id, so that decisions are deterministic.
	hostsByID []*host
	// capacities counts the listed workers of each size.
	capacities   map[fleet.Resources]int
	tasks        map[plat.TaskRef]*reservation
	jobHistories map[fleet.JobID]*jobHistory
	// lastMovedAt holds the time at which a task was last evicted in favor of other tasks.
	lastMovedAt map[fleet.TaskID]time.Time
	model       *model
	sizes       *sizeModel
	// useObservedSizes enables reservations of observed instead of declared sizes; mitigationEnabled enables throttles and
	// moves of tasks that slow urgent ones.
	useObservedSizes  bool
	mitigationEnabled bool
	// slowdownLimit is the slowdown of urgent tasks above which other tasks are throttled, moved or not accepted.
	slowdownLimit float64
}

// Option changes a default of [New].
type Option func(*Machine)

// WithDeclaredSizes reserves declared sizes and ignores observed ones; it is a baseline for comparisons.
func WithDeclaredSizes() Option {
	return func(m *Machine) { m.useObservedSizes = false }
}

// WithMitigation enables or disables throttles and moves of tasks that slow urgent ones.
func WithMitigation(on bool) Option {
	return func(m *Machine) { m.mitigationEnabled = on }
}

// WithSlowdownLimit sets the largest accepted slowdown of urgent tasks as a factor; 1 accepts none. A higher limit lets
// more batch work run.
func WithSlowdownLimit(limit float64) Option {
	return func(m *Machine) { m.slowdownLimit = limit }
}

// New returns a machine without workers. Mitigation is enabled by default only for the policy [Interference].
func New(policy Policy, opts ...Option) *Machine {
	m := &Machine{
		policy:           policy,
		hosts:            map[fleet.WorkerID]*host{},
		capacities:       map[fleet.Resources]int{},
		tasks:            map[plat.TaskRef]*reservation{},
		jobHistories:     map[fleet.JobID]*jobHistory{},
		lastMovedAt:      map[fleet.TaskID]time.Time{},
		model:            newModel(),
		sizes:            &sizeModel{},
		useObservedSizes: true,
		slowdownLimit:    DefaultSlowdownLimit,
	}
	_, m.mitigationEnabled = policy.(Interference)
	for _, o := range opts {
		o(m)
	}
	return m
}

// Step applies an event and returns the resulting effects.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case WorkerUpdated:
		m.updateWorker(ev.Worker)
	case WorkerRemoved:
		m.removeWorker(now, ev.ID)
	case ReservationRestored:
		m.restore(now, ev)
	case Started:
		m.started(now, ev)
	case Ended:
		m.ended(now, ev)
	case Succeeded:
		return m.succeeded(now, ev)
	case Failed:
		return m.failed(now, ev)
	case Report:
		return m.report(now, ev)
	case Tick:
		return m.expire(now)
	default:
		panic(fmt.Sprintf("place: unknown event %T", ev))
	}
	return nil
}

func (m *Machine) updateWorker(w fleet.Worker) {
	h := m.host(w.ID)
	m.countCapacity(h, -1)
	h.worker, h.listed, h.kindLoads = w, true, nil
	m.countCapacity(h, 1)
	h.resolvePending()
}

func (m *Machine) removeWorker(now time.Time, id fleet.WorkerID) {
	h, ok := m.hosts[id]
	if !ok || !h.listed {
		return
	}
	m.countCapacity(h, -1)
	h.listed, h.removedAt = false, now
}

func (m *Machine) countCapacity(h *host, n int) {
	if !h.listed {
		return
	}
	m.capacities[h.worker.Capacity] += n
	if m.capacities[h.worker.Capacity] == 0 {
		delete(m.capacities, h.worker.Capacity)
	}
}

// host returns the host with the given id and adds an unlisted one if there is none.
func (m *Machine) host(id fleet.WorkerID) *host {
	if h, ok := m.hosts[id]; ok {
		return h
	}
	h := &host{worker: fleet.Worker{ID: id}, byRef: map[plat.TaskRef]*reservation{}}
	m.hosts[id] = h
	i, _ := slices.BinarySearchFunc(m.hostsByID, id, func(o *host, id fleet.WorkerID) int {
		return cmp.Compare(o.worker.ID, id)
	})
	m.hostsByID = slices.Insert(m.hostsByID, i, h)
	return h
}

func (m *Machine) restore(now time.Time, ev ReservationRestored) {
	task := ev.Task
	if ev.Attempt != 0 {
		task.Ref.Attempt = ev.Attempt
	}
	if _, ok := m.tasks[task.Ref]; ok {
		return
	}
	h := m.host(ev.Worker)
	t := m.newReservation(now, task)
	t.decision = Decision{Worker: ev.Worker, Reason: "restored"}
	m.reserve(h, t)
	if h.listed && !h.used.Fits(h.worker.Capacity) {
		t.setPending(true)
	}
}

func (m *Machine) newReservation(now time.Time, task Task) *reservation {
	kind := m.model.kind(task.Kind)
	m.sizes.grow(kind)
	size := m.reservedSize(kind, task.Resources)
	return &reservation{
		task:             task,
		kind:             kind,
		size:             size,
		observedSize:     size,
		observedAt:       now,
		reservedAt:       now,
		throttlePermille: unthrottledPermille,
		slowdown:         1,
	}
}

// reservedSize returns the size to reserve for a new task, capped at the largest worker that fits its declared size.
func (m *Machine) reservedSize(kind kindID, declared fleet.Resources) fleet.Resources {
	if !m.useObservedSizes {
		return declared
	}
	size := m.sizes.estimate(kind, declared)
	if size == declared || m.CheckFits(size) == nil {
		return size
	}
	var limit fleet.Resources
	for capacity := range m.capacities {
		if declared.Fits(capacity) && larger(capacity, limit) {
			limit = capacity
		}
	}
	size.MilliCPU = max(declared.MilliCPU, min(size.MilliCPU, limit.MilliCPU))
	size.MemoryBytes = max(declared.MemoryBytes, min(size.MemoryBytes, limit.MemoryBytes))
	return size
}

// larger orders capacities lexicographically, so that the result does not depend on map iteration order.
func larger(a, b fleet.Resources) bool {
	return cmp.Or(
		cmp.Compare(a.MilliCPU, b.MilliCPU),
		cmp.Compare(a.MemoryBytes, b.MemoryBytes),
		cmp.Compare(a.Accelerators, b.Accelerators),
	) > 0
}

// unthrottledPermille is the throttlePermille of a task without a limit.
const unthrottledPermille = 1000

func (m *Machine) reserve(h *host, t *reservation) {
	h.add(t)
	m.tasks[t.task.Ref] = t
}

func (m *Machine) started(now time.Time, ev Started) {
	if t, ok := m.find(ev.TaskRef, ev.Worker); ok && t.startedAt.IsZero() {
		t.startedAt = now
	}
}

func (m *Machine) ended(now time.Time, ev Ended) {
	t, ok := m.find(ev.TaskRef, ev.Worker)
	if !ok {
		return
	}
	delete(m.tasks, ev.TaskRef)
	if !t.startedAt.IsZero() {
		t.host.endedRuns = append(t.host.endedRuns, endedRun{t.kind, t.task.Resources, t.usage, t.startedAt, now})
	}
	t.host.remove(t)
	t.host.resolvePending()
}

// find returns the reservation of an attempt if it is on the given worker; events from other workers are ignored.
func (m *Machine) find(ref plat.TaskRef, worker fleet.WorkerID) (*reservation, bool) {
	t, ok := m.tasks[ref]
	if !ok || t.host.worker.ID != worker {
		return nil, false
	}
	return t, true
}

// Ready reports whether a reserved attempt may start, that is, whether the evictions that it waits for have ended.
func (m *Machine) Ready(ref plat.TaskRef) bool {
	t, ok := m.tasks[ref]
	return ok && !t.pending
}

// Used returns the resources reserved on a worker, including reservations that wait for evictions to end.
func (m *Machine) Used(id fleet.WorkerID) fleet.Resources {
	h, ok := m.hosts[id]
	if !ok {
		return fleet.Resources{}
	}
	return h.used
}
