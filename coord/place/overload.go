package place

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
)

// evictOverload evicts tasks until the memory and accelerators in use fit the worker. The use is the measured usage
// corrected for the attempts that started or ended since the measurement.
//
// Processor time is excluded: it can be shared, and its shortage shows as slowdown.
func (m *Machine) evictOverload(now time.Time, h *host, usage fleet.Resources, ran []*reservation, ended []endedRun) []Effect {
	if !h.listed || !m.useObservedSizes {
		return nil
	}
	measured := make(map[*reservation]bool, len(ran))
	for _, t := range ran {
		measured[t] = true
	}
	inUse := usage
	// The report lags: attempts that ended since the measurement are still part of the usage. They are subtracted,
	// so that no task is evicted to free the same resources a second time.
	for _, r := range ended {
		inUse = inUse.Sub(r.usage)
	}
	for _, t := range h.byRef {
		switch {
		case !measured[t] && !t.pending:
			inUse = inUse.Add(t.size)
		case measured[t] && t.evicting:
			inUse = inUse.Sub(t.usage)
		}
	}
	inUse.MilliCPU = 0
	var effects []Effect
	for _, v := range evictionOrder(ran) {
		if inUse.Fits(h.worker.Capacity) {
			break
		}
		if v.evicting {
			continue
		}
		inUse = inUse.Sub(v.usage)
		v.setEvicting()
		m.lastMovedAt[v.task.Ref.Task] = now
		reason := fmt.Sprintf("worker %s measured %s of %s", h.worker.ID, usage, h.worker.Capacity)
		effects = append(effects, Evict{TaskRef: v.task.Ref, Worker: h.worker.ID, Reason: reason})
	}
	return effects
}

// evictionOrder returns the tasks that may be evicted, least urgent first, then by how far they exceed their declared
// memory.
func evictionOrder(ran []*reservation) []*reservation {
	order := slices.DeleteFunc(slices.Clone(ran), func(t *reservation) bool { return t.task.Class == fleet.Urgent })
	slices.SortStableFunc(order, func(a, b *reservation) int {
		return cmp.Or(cmp.Compare(b.task.Class, a.task.Class), cmp.Compare(memoryExcess(b), memoryExcess(a)))
	})
	return order
}

func memoryExcess(t *reservation) int64 { return t.usage.MemoryBytes - t.task.Resources.MemoryBytes }
