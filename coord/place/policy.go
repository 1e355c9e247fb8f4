package place

import "lovagefork.example/coord/fleet"

// Policy orders the workers that have room for a task: [FirstFit], [Spread] or [Interference].
type Policy interface {
	// cost is lower for a better worker; among equals the one that sorts first is taken.
	cost(m *Machine, h *host, t *reservation) float64
	// accepts reports whether a task may be placed on a worker that has room for it.
	accepts(m *Machine, h *host, t *reservation) bool
	name() string
}

// FirstFit takes the first worker by id that has room; it is a baseline.
type FirstFit struct{}

// Spread takes the worker whose most used resource is used least; it is a baseline.
type Spread struct{}

// Interference takes the worker where the task slows others, and is slowed by others, least.
type Interference struct{}

func (FirstFit) name() string     { return "first_fit" }
func (Spread) name() string       { return "spread" }
func (Interference) name() string { return "interference" }

func (FirstFit) accepts(*Machine, *host, *reservation) bool { return true }
func (Spread) accepts(*Machine, *host, *reservation) bool   { return true }

// accepts refuses a task that would slow urgent ones too much, so that another kind can use the room.
//
// A task is always accepted beside urgent tasks alone, so that a kind which disturbs everywhere still finishes.
func (Interference) accepts(m *Machine, h *host, t *reservation) bool {
	return t.task.Class == fleet.Urgent || h.onlyUrgent() || m.model.worstSlowdownWith(h, t) <= m.slowdownLimit
}

func (FirstFit) cost(*Machine, *host, *reservation) float64 { return 0 }

func (Spread) cost(_ *Machine, h *host, t *reservation) float64 {
	return fullness(h.used.Add(t.size), h.worker.Capacity)
}

func (Interference) cost(m *Machine, h *host, t *reservation) float64 {
	return m.model.cost(h, t) + fullnessWeight*fullness(h.used.Add(t.size), h.worker.Capacity)
}

// fullnessWeight only breaks ties between workers whose predicted slowdowns are equal.
const fullnessWeight = 0.001

// fullness returns the largest share of capacity that is used of any resource.
func fullness(used, capacity fleet.Resources) float64 {
	return max(
		share(used.MilliCPU, capacity.MilliCPU),
		share(used.MemoryBytes, capacity.MemoryBytes),
		share(used.Accelerators, capacity.Accelerators),
	)
}

func share(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}
