package place

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
)

// relieve evicts tasks while the measured memory or accelerators, with what started since, exceed the worker's.
//
// Processor time is not relieved here: it can be shared, and its shortage shows as slowdown.
func (m *Machine) evictOverload(now time.Time, h *host, usage fleet.Resources, ran []*reservation, past []endedRun) []Effect {
	if !h.known || !m.useObservedSizes {
		return nil
	}
	in := make(map[*reservation]bool, len(ran))
	for _, t := range ran {
		in[t] = true
	}
	pressure := usage
	// The report lags: what ended since is part of the usage and must not be freed twice.
	for _, r := range past {
		pressure = pressure.Sub(r.usage)
	}
	for _, t := range h.byRef {
		switch {
		case !in[t] && !t.pending:
			pressure = pressure.Add(t.size)
		case in[t] && t.evicting:
			pressure = pressure.Sub(t.usage)
		}
	}
	pressure.MilliCPU = 0
	var effects []Effect
	for _, v := range evictionOrder(ran) {
		if pressure.Fits(h.worker.Capacity) {
			break
		}
		if v.evicting {
			continue
		}
		pressure = pressure.Sub(v.usage)
		v.setEvicting()
		m.lastMoved[v.task.Ref.Task] = now
		reason := fmt.Sprintf("worker %s measured %s of %s", h.worker.ID, usage, h.worker.Capacity)
		effects = append(effects, Evict{TaskRef: v.task.Ref, Worker: h.worker.ID, Reason: reason})
	}
	return effects
}

// reliefOrder returns the tasks that may be evicted: least urgent first, then those that exceed their size the most.
func evictionOrder(ran []*reservation) []*reservation {
	order := slices.DeleteFunc(slices.Clone(ran), func(t *reservation) bool { return t.task.Class == fleet.Urgent })
	slices.SortStableFunc(order, func(a, b *reservation) int {
		return cmp.Or(cmp.Compare(b.task.Class, a.task.Class), cmp.Compare(memoryExcess(b), memoryExcess(a)))
	})
	return order
}

func memoryExcess(t *reservation) int64 { return t.usage.MemoryBytes - t.task.Resources.MemoryBytes }
