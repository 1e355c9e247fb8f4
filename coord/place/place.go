package place

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// CheckFits returns nil if the size is within the capacity of some known worker, otherwise a [*TooLargeError] or
// [*NoWorkersError].
func (m *Machine) CheckFits(need fleet.Resources) error {
	if len(m.capacities) == 0 {
		return &NoWorkersError{}
	}
	e := &TooLargeError{Need: need}
	for capacity, n := range m.capacities {
		if need.Fits(capacity) {
			return nil
		}
		e.Largest = e.Largest.Max(capacity)
		e.Workers += n
	}
	return e
}

// Place chooses a worker and reserves the size of the task there, or returns a [*TooLargeError], [*NoWorkersError] or
// [*NoRoomError].
//
// An urgent task for which no worker has room may be placed on a worker where deferrable tasks are evicted first. A
// second call for the same attempt returns the first decision.
func (m *Machine) Place(now time.Time, task Task) (Decision, error) {
	if t, ok := m.tasks[task.Ref]; ok {
		return t.decision, nil
	}
	if err := m.CheckFits(task.Resources); err != nil {
		return Decision{}, err
	}
	t := m.newReservation(now, task)
	noRoom := &NoRoomError{Task: task.Ref, Need: t.size, Workers: len(m.hostsByID)}
	h := m.chooseHost(t, noRoom)
	// For an urgent task, an eviction is preferred to a worker on probation.
	if task.Class == fleet.Urgent && (h == nil || h.history.probation) {
		if evictHost, victims := m.chooseVictims(t); evictHost != nil {
			return m.reserveAfterEvictions(now, evictHost, t, victims), nil
		}
	}
	if h == nil {
		return Decision{}, noRoom
	}
	t.decision = Decision{Worker: h.worker.ID, Reason: m.reason(h, t)}
	m.reserve(h, t)
	return t.decision, nil
}

func (m *Machine) reason(h *host, t *reservation) string {
	return fmt.Sprintf("policy %s: %s free after it", m.policy.name(), h.free().Sub(t.size))
}

// chooseHost returns the host of lowest cost that admits the task, or nil. A host on probation is chosen only if no
// other host admits the task. Each excluded host is counted in noRoom.
func (m *Machine) chooseHost(t *reservation, noRoom *NoRoomError) *host {
	avoid := m.canAvoid(t)
	var best *host
	var bestCost float64
	for _, h := range m.hostsByID {
		if !m.admits(h, t, avoid, noRoom) {
			continue
		}
		if best != nil && h.history.probation && !best.history.probation {
			continue
		}
		cost := m.policy.cost(m, h, t)
		if best == nil || cost < bestCost || best.history.probation && !h.history.probation {
			best, bestCost = h, cost
		}
	}
	return best
}

// canAvoid reports whether a live worker outside [Task.Avoid] has the capacity for the task. If none has, Avoid is
// ignored.
func (m *Machine) canAvoid(t *reservation) bool {
	if t.task.Avoid.Len() == 0 {
		return false
	}
	for _, h := range m.hostsByID {
		if h.available() && !t.task.Avoid.Has(h.worker.ID) && t.task.Resources.Fits(h.worker.Capacity) {
			return true
		}
	}
	return false
}

// admits reports whether the task may be placed on the host now, and counts the cause in noRoom if not.
func (m *Machine) admits(h *host, t *reservation, avoid bool, noRoom *NoRoomError) bool {
	switch {
	case !h.available():
		noRoom.Unavailable++
		return false
	case avoid && t.task.Avoid.Has(h.worker.ID):
		noRoom.Avoided++
		return false
	case h.history.probation && len(h.byRef) > 0:
		noRoom.Probation++
		return false
	case t.task.Suspect && h.hasSuspect(t.reservedAt):
		noRoom.Suspects++
		return false
	}
	free := h.free()
	if t.size.Fits(free) {
		if m.mayExceedMemory(h, t) {
			noRoom.Unmeasured++
			return false
		}
		if m.policy.accepts(m, h, t) {
			return true
		}
		noRoom.Interference++
		return false
	}
	if t.size.MilliCPU > free.MilliCPU {
		noRoom.MilliCPU++
	}
	if t.size.MemoryBytes > free.MemoryBytes {
		noRoom.Memory++
	}
	if t.size.Accelerators > free.Accelerators {
		noRoom.Accelerators++
	}
	return false
}

// chooseVictims returns the host where the fewest deferrable tasks must be evicted to make room, and these tasks.
func (m *Machine) chooseVictims(t *reservation) (*host, []*reservation) {
	avoid := m.canAvoid(t)
	var best *host
	var bestVictims []*reservation
	for _, h := range m.hostsByID {
		if !h.available() || h.history.probation || t.task.Suspect && h.hasSuspect(t.reservedAt) || avoid && t.task.Avoid.Has(h.worker.ID) {
			continue
		}
		victims, ok := victimsOn(h, t.size)
		if ok && (best == nil || len(victims) < len(bestVictims)) {
			best, bestVictims = h, victims
		}
	}
	return best, bestVictims
}

// victimsOn returns the deferrable tasks that must be evicted in addition to the evictions in progress, and false if
// evicting all of them does not make enough room.
func victimsOn(h *host, need fleet.Resources) ([]*reservation, bool) {
	// Resources of evictions in progress count as free; pending reservations are already subtracted in h.free.
	free := h.free().Add(h.evictingSize)
	if need.Fits(free) {
		return nil, true
	}
	// The newest tasks lose the least work.
	var victims []*reservation
	for _, v := range slices.Backward(h.reservations) {
		if v.task.Class != fleet.Deferrable || v.evicting || v.pending {
			continue
		}
		victims = append(victims, v)
		free = free.Add(v.size)
		if need.Fits(free) {
			return prune(victims, free, need), true
		}
	}
	return nil, false
}

// prune removes the victims whose resources are not needed, checking the largest first.
func prune(victims []*reservation, free, need fleet.Resources) []*reservation {
	kept := slices.Clone(victims)
	slices.SortStableFunc(kept, func(a, b *reservation) int { return cmp.Compare(b.size.MilliCPU, a.size.MilliCPU) })
	return slices.DeleteFunc(kept, func(v *reservation) bool {
		if need.Fits(free.Sub(v.size)) {
			free = free.Sub(v.size)
			return true
		}
		return false
	})
}

// reserveAfterEvictions evicts the victims and makes a reservation that is pending until the evictions end.
func (m *Machine) reserveAfterEvictions(now time.Time, h *host, t *reservation, victims []*reservation) Decision {
	for _, v := range victims {
		v.setEvicting()
		m.lastMovedAt[v.task.Ref.Task] = now
	}
	m.reserve(h, t)
	t.setPending(true)
	t.decision = Decision{
		Worker: h.worker.ID,
		Reason: fmt.Sprintf("urgent: waits for evictions on %s", h.worker.ID),
		Evict:  evictingOn(h),
	}
	return t.decision
}

func evictingOn(h *host) []plat.TaskRef {
	var refs []plat.TaskRef
	for _, t := range h.reservations {
		if t.evicting {
			refs = append(refs, t.task.Ref)
		}
	}
	return refs
}
