package place

import (
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// host is a worker with the reservations on it.
type host struct {
	worker fleet.Worker
	// listed is false while the worker is not on the host list; removedAt is when it was removed from the list.
	listed    bool
	removedAt time.Time
	byRef     map[plat.TaskRef]*reservation
	// reservations lists the values of byRef in the order in which they were made.
	reservations []*reservation
	// used is the sum of all reservations, including pending and evicting ones.
	used fleet.Resources
	// evictingSize is the part of used that running evictions will release; pendingSize is the part that waits for them.
	evictingSize fleet.Resources
	pendingSize  fleet.Resources
	history      workerHistory
	// measuredAt is the time of measurement of the newest report.
	measuredAt time.Time
	endedRuns  []endedRun
	// kindLoads caches loadByKind; nil if it must be recomputed.
	kindLoads  []kindLoad
	mitigation mitigationState
}

func (h *host) free() fleet.Resources { return h.worker.Capacity.Sub(h.used) }

// available reports whether the worker is listed as live.
func (h *host) available() bool { return h.listed && h.worker.State == fleet.HostLive }

// SuspicionTTL is the time after which an attempt that has not crashed its worker is not expected to.
const SuspicionTTL = 10 * time.Minute

// hasSuspect reports whether the worker runs a suspect at a time.
func (h *host) hasSuspect(at time.Time) bool {
	return slices.ContainsFunc(h.reservations, func(r *reservation) bool {
		return r.task.Suspect && at.Sub(r.reservedAt) < SuspicionTTL
	})
}

// resize changes the size of a reservation and updates the sums of its host.
func (r *reservation) resize(size fleet.Resources) {
	delta := size.Sub(r.size)
	r.host.kindLoads = nil
	r.size = size
	r.host.used = r.host.used.Add(delta)
	if r.evicting {
		r.host.evictingSize = r.host.evictingSize.Add(delta)
	}
	if r.pending {
		r.host.pendingSize = r.host.pendingSize.Add(delta)
	}
}

func (r *reservation) setEvicting() {
	if !r.evicting {
		r.evicting = true
		r.host.evictingSize = r.host.evictingSize.Add(r.size)
	}
}

func (r *reservation) setPending(pending bool) {
	if r.pending == pending {
		return
	}
	r.pending = pending
	if pending {
		r.host.pendingSize = r.host.pendingSize.Add(r.size)
	} else {
		r.host.pendingSize = r.host.pendingSize.Sub(r.size)
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

// resolvePending unsets pending on reservations that fit now, oldest first.
func (h *host) resolvePending() {
	if h.pendingSize.IsZero() {
		return
	}
	for _, t := range h.reservations {
		started := h.used.Sub(h.pendingSize)
		if t.pending && started.Add(t.size).Fits(h.worker.Capacity) {
			t.setPending(false)
		}
	}
}
