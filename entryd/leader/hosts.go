package leader

import (
	"context"
	"sync"
	"time"

	"lovagefork.example/coord/fleet"
)

const (
	// largerFactor is how much more processor time an entry host must have to go before another one; smaller differences are
	// not worth a takeover.
	largerFactor = 1.5
	// deferTime is how long a process leaves a vacant seat to larger entry hosts, which take it within two calls of the store.
	deferTime = 400 * time.Millisecond
	// yieldAfter is how long a larger entry host must have been registered before the seat is handed over to it: longer than
	// the entry of a process that has died stays.
	yieldAfter = hostTTL + 2*time.Second
	yieldEach  = time.Second
)

// hosts are the other entry processes that are registered in the store.
type hosts struct {
	// own is the processor time of this process's entry host, in thousandths of a core; 0 if it is not known.
	own int64

	mu    sync.Mutex
	known map[fleet.EntryHostID]registered
}

// registered is an entry process and since when it has been registered without a break.
type registered struct {
	milliCPU int64
	since    time.Time
}

func (h *hosts) join(host fleet.EntryHostID, milliCPU int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, found := h.known[host]
	if !found {
		r.since = Now()
	}
	r.milliCPU = milliCPU
	h.known[host] = r
}

func (h *hosts) leave(host fleet.EntryHostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.known, host)
}

// larger reports whether an entry host with much more processor time has been registered for a time.
func (h *hosts) larger(age time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.known {
		if h.own > 0 && float64(r.milliCPU) >= largerFactor*float64(h.own) && Now().Sub(r.since) >= age {
			return true
		}
	}
	return false
}

// yield ends a reign when a larger entry host can take it over, because the scheduler's work grows with the fleet and a
// small host falls behind under load.
func (h *hosts) yield(ctx context.Context, r *Leadership) {
	began := Now()
	for ctx.Err() == nil {
		sleep(ctx, yieldEach)
		if Now().Sub(began) >= yieldAfter && h.larger(yieldAfter) && r.LeaseConfirmed() {
			r.end("a larger entry host can take over")
			return
		}
	}
}
