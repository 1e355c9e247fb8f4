package leader

import (
	"context"
	"sync"
	"time"

	"lovagefork.example/coord/fleet"
)

const (
	// largerHostRatio is the ratio of processor time from which an entry host is preferred over another one; a smaller
	// difference is not worth a change of leader.
	largerHostRatio = 1.5
	// largerHostHeadStart is how long a process delays its campaign if a larger entry host is registered, which needs
	// two calls of the store to win.
	largerHostHeadStart = 400 * time.Millisecond
	// handOverAge is how long a larger entry host must have been registered before leadership is handed over to it. It
	// is longer than hostTTL, for which the entry of a process that has died remains.
	handOverAge           = hostTTL + 2*time.Second
	handOverCheckInterval = time.Second
)

// hostRegistry holds the other entry processes that are registered in the store.
type hostRegistry struct {
	// ownMilliCPU is the processor time of this process's entry host, in thousandths of a core; 0 if unknown.
	ownMilliCPU int64

	mu   sync.Mutex
	byID map[fleet.EntryHostID]registration
}

// registration is the entry of another process; since is when its present registration was first seen.
type registration struct {
	milliCPU int64
	since    time.Time
}

func (h *hostRegistry) add(host fleet.EntryHostID, milliCPU int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, found := h.byID[host]
	if !found {
		r.since = Now()
	}
	r.milliCPU = milliCPU
	h.byID[host] = r
}

func (h *hostRegistry) remove(host fleet.EntryHostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byID, host)
}

// hasLarger reports whether an entry host that exceeds this one by largerHostRatio has been registered for at least
// age.
func (h *hostRegistry) hasLarger(age time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.byID {
		if h.ownMilliCPU > 0 && float64(r.milliCPU) >= largerHostRatio*float64(h.ownMilliCPU) && Now().Sub(r.since) >= age {
			return true
		}
	}
	return false
}

// handOver ends a leadership when a larger entry host can take over, because the scheduler's work grows with the fleet
// and a small host falls behind under load.
func (h *hostRegistry) handOver(ctx context.Context, l *Leadership) {
	began := Now()
	for ctx.Err() == nil {
		sleep(ctx, handOverCheckInterval)
		if Now().Sub(began) >= handOverAge && h.hasLarger(handOverAge) && l.LeaseConfirmed() {
			l.end("a larger entry host can take over")
			return
		}
	}
}
