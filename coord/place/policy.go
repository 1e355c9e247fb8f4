package place

import "lovagefork.example/coord/fleet"

// Policy ranks the workers that have room for a task. It is [FirstFit], [Spread] or [Interference].
type Policy interface {
	// cost returns the cost of placing a task on a worker; the worker of lowest cost, then of lowest id, is chosen.
	cost(m *Machine, h *host, t *reservation) float64
	// accepts reports whether a task may be placed on a worker that has room for it.
	accepts(m *Machine, h *host, t *reservation) bool
	name() string
}

// FirstFit chooses the worker of lowest id that has room; it is a baseline for comparisons.
type FirstFit struct{}

// Spread chooses the worker with the lowest utilization of its most used resource; it is a baseline for comparisons.
type Spread struct{}

// Interference chooses the worker with the least predicted slowdown of the task and of the tasks already there.
type Interference struct{}

func (FirstFit) name() string     { return "first_fit" }
func (Spread) name() string       { return "spread" }
func (Interference) name() string { return "interference" }

func (FirstFit) accepts(*Machine, *host, *reservation) bool { return true }
func (Spread) accepts(*Machine, *host, *reservation) bool   { return true }

// accepts rejects a task that would slow urgent tasks beyond the limit, which leaves the room to tasks of other kinds.
//
// A worker that runs only urgent tasks accepts every task. Otherwise a kind that exceeds the limit everywhere would
// never run.
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

// fullnessWeight is small so that utilization only breaks ties between workers with equal predicted slowdowns.
const fullnessWeight = 0.001

// fullness returns the utilization of the most used resource.
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
