package place

import (
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// host is a worker and the reservations on it.
type host struct {
	worker fleet.Worker
	// known is false while the worker is not on the host list.
	known  bool
	removedAt time.Time
	byRef  map[plat.TaskRef]*reservation
	// list holds the reservations in the order they were made.
	reservations []*reservation
	// used is the sum of all reservations, including pending and evicting ones.
	used fleet.Resources
	// evicting and pending are the parts of used that will be freed, or that wait for it.
	evicting fleet.Resources
	pending  fleet.Resources
	history   workerHistory
	// measuredAt is when the newest report was measured.
	measuredAt time.Time
	endedRuns       []endedRun
	// mix is nil when it must be computed again.
	kindLoads   []kindLoad
	mitigation mitigationState
}

func (h *host) free() fleet.Resources { return h.worker.Capacity.Sub(h.used) }

// available reports whether new tasks may be placed here at all.
func (h *host) available() bool { return h.known && h.worker.State == fleet.HostLive }

// resize changes what a reservation holds and keeps the sums of its worker.
func (t *reservation) resize(size fleet.Resources) {
	delta := size.Sub(t.size)
	t.host.kindLoads = nil
	t.size = size
	t.host.used = t.host.used.Add(delta)
	if t.evicting {
		t.host.evicting = t.host.evicting.Add(delta)
	}
	if t.pending {
		t.host.pending = t.host.pending.Add(delta)
	}
}

func (t *reservation) setEvicting() {
	if !t.evicting {
		t.evicting = true
		t.host.evicting = t.host.evicting.Add(t.size)
	}
}

func (t *reservation) setPending(pending bool) {
	if t.pending == pending {
		return
	}
	t.pending = pending
	if pending {
		t.host.pending = t.host.pending.Add(t.size)
	} else {
		t.host.pending = t.host.pending.Sub(t.size)
	}
}

func (h *host) add(t *reservation) {
	t.host = h
	h.byRef[t.task.Ref] = t
	h.reservations = append(h.reservations, t)
	h.used = h.used.Add(t.size)
	h.kindLoads = nil
}

func (h *host) remove(t *reservation) {
	t.resize(fleet.Resources{})
	delete(h.byRef, t.task.Ref)
	i := slices.Index(h.reservations, t)
	h.reservations = slices.Delete(h.reservations, i, i+1)
}

// settle clears the pending mark of reservations that fit now, oldest first.
func (h *host) resolvePending() {
	if h.pending.IsZero() {
		return
	}
	for _, t := range h.reservations {
		started := h.used.Sub(h.pending)
		if t.pending && started.Add(t.size).Fits(h.worker.Capacity) {
			t.setPending(false)
		}
	}
}
