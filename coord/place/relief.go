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
func (m *Machine) relieve(now time.Time, h *host, usage fleet.Resources, ran []*held, past []run) []Effect {
	if !h.known || !m.observes {
		return nil
	}
	in := make(map[*held]bool, len(ran))
	for _, t := range ran {
		in[t] = true
	}
	pressure := usage
	// The report lags: what ended since is part of the usage and must not be freed twice.
	for _, r := range past {
		pressure = pressure.Sub(r.load)
	}
	for _, t := range h.tasks {
		switch {
		case !in[t] && !t.pending:
			pressure = pressure.Add(t.size)
		case in[t] && t.evicting:
			pressure = pressure.Sub(t.load)
		}
	}
	pressure.MilliCPU = 0
	var effects []Effect
	for _, v := range reliefOrder(ran) {
		if pressure.Fits(h.worker.Capacity) {
			break
		}
		if v.evicting {
			continue
		}
		pressure = pressure.Sub(v.load)
		v.setEvicting()
		m.moves[v.task.Ref.Task] = now
		reason := fmt.Sprintf("worker %s measured %s of %s", h.worker.ID, usage, h.worker.Capacity)
		effects = append(effects, Evict{TaskRef: v.task.Ref, Worker: h.worker.ID, Reason: reason})
	}
	return effects
}

// reliefOrder returns the tasks that may be evicted: least urgent first, then those that exceed their size the most.
func reliefOrder(ran []*held) []*held {
	order := slices.DeleteFunc(slices.Clone(ran), func(t *held) bool { return t.task.Class == fleet.Urgent })
	slices.SortStableFunc(order, func(a, b *held) int {
		return cmp.Or(cmp.Compare(b.task.Class, a.task.Class), cmp.Compare(excess(b), excess(a)))
	})
	return order
}

func excess(t *held) int64 { return t.load.MemoryBytes - t.task.Resources.MemoryBytes }
