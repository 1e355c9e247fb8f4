package place

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// Fits returns nil if some known worker could hold the size when idle, else a [*TooLargeError] or [*NoWorkersError].
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

// Place chooses a worker and reserves the task's size there, or returns a [*TooLargeError], [*NoWorkersError] or
// [*NoRoomError].
//
// An urgent task that fits nowhere may be given a worker whose deferrable tasks must end first. Placing an attempt
// again returns the decision that it already has.
func (m *Machine) Place(now time.Time, task Task) (Decision, error) {
	if t, ok := m.tasks[task.Ref]; ok {
		return t.decision, nil
	}
	if err := m.CheckFits(task.Resources); err != nil {
		return Decision{}, err
	}
	t := m.newReservation(now, task)
	why := &NoRoomError{Task: task.Ref, Need: t.size, Workers: len(m.byID)}
	h := m.chooseHost(t, why)
	// An urgent task would rather evict than try out a worker on probation.
	if task.Class == fleet.Urgent && (h == nil || h.history.probation) {
		if evictOn, victims := m.chooseVictims(t); evictOn != nil {
			return m.reserveAfterEvictions(now, evictOn, t, victims), nil
		}
	}
	if h == nil {
		return Decision{}, why
	}
	t.decision = Decision{Worker: h.worker.ID, Reason: m.reason(h, t)}
	m.reserve(h, t)
	return t.decision, nil
}

func (m *Machine) reason(h *host, t *reservation) string {
	return fmt.Sprintf("policy %s: %s free after it", m.policy.name(), h.free().Sub(t.size))
}

// choose returns the host of least cost that has room; hosts on probation come last.
func (m *Machine) chooseHost(t *reservation, why *NoRoomError) *host {
	avoid := m.canAvoid(t)
	var best *host
	var bestCost float64
	for _, h := range m.byID {
		if !m.admits(h, t, avoid, why) {
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

// honoursAvoid reports whether some worker that the task has not failed on could hold it when idle.
func (m *Machine) canAvoid(t *reservation) bool {
	if t.task.Avoid.Len() == 0 {
		return false
	}
	for _, h := range m.byID {
		if h.available() && !t.task.Avoid.Has(h.worker.ID) && t.task.Resources.Fits(h.worker.Capacity) {
			return true
		}
	}
	return false
}

// admits reports whether the host has room for the task, and counts the cause if not.
func (m *Machine) admits(h *host, t *reservation, avoid bool, why *NoRoomError) bool {
	switch {
	case !h.available():
		why.Unavailable++
		return false
	case avoid && t.task.Avoid.Has(h.worker.ID):
		why.Avoided++
		return false
	case h.history.probation && len(h.byRef) > 0:
		why.Probation++
		return false
	}
	free := h.free()
	if t.size.Fits(free) {
		if m.mayExceedMemory(h, t) {
			why.Unmeasured++
			return false
		}
		if m.policy.accepts(m, h, t) {
			return true
		}
		why.Interference++
		return false
	}
	if t.size.MilliCPU > free.MilliCPU {
		why.MilliCPU++
	}
	if t.size.MemoryBytes > free.MemoryBytes {
		why.Memory++
	}
	if t.size.Accelerators > free.Accelerators {
		why.Accelerators++
	}
	return false
}

// chooseVictims returns the host where the fewest deferrable tasks must end to make room, and those tasks.
func (m *Machine) chooseVictims(t *reservation) (*host, []*reservation) {
	avoid := m.canAvoid(t)
	var best *host
	var bestVictims []*reservation
	for _, h := range m.byID {
		if !h.available() || h.history.probation || avoid && t.task.Avoid.Has(h.worker.ID) {
			continue
		}
		victims, ok := victimsOn(h, t.size)
		if ok && (best == nil || len(victims) < len(bestVictims)) {
			best, bestVictims = h, victims
		}
	}
	return best, bestVictims
}

// victimsOn returns the deferrable tasks that must be evicted beyond those already evicting; false if all are too few.
func victimsOn(h *host, need fleet.Resources) ([]*reservation, bool) {
	// Evictions under way count as free, but other pending reservations already claim part of them.
	free := h.free().Add(h.evicting)
	if need.Fits(free) {
		return nil, true
	}
	// The youngest tasks lose the least work.
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

// prune drops victims whose resources are not needed, largest first.
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

// reserveEvicting reserves on a host whose evicting tasks must end first.
func (m *Machine) reserveAfterEvictions(now time.Time, h *host, t *reservation, victims []*reservation) Decision {
	for _, v := range victims {
		v.setEvicting()
		m.lastMoved[v.task.Ref.Task] = now
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
