package hosted

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"lovagefork.example/coord/store"
	"lovagefork.example/entryd/leader"
)

const (
	// failuresOfOutage is how many calls of the store must fail in a row before calls are no longer made for callers.
	outageThreshold = 2
	// probeEach is the pace at which the store is tried while it is out of reach.
	probeInterval = 250 * time.Millisecond
)

// health tells whether the store can be reached, so that callers are refused at once while it cannot.
type storeHealth struct {
	store store.Client
	log   *slog.Logger

	mu          sync.Mutex
	failures    int
	outageStart time.Time
}

func (h *storeHealth) reachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures < outageThreshold
}

// observe takes note of the outcome of a call.
func (h *storeHealth) record(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		if h.failures >= outageThreshold {
			h.log.Info("store: regained", "after", leader.Now().Sub(h.outageStart))
		}
		h.failures = 0
		return
	}
	if errors.Is(err, context.Canceled) || isRequestError(err) {
		return
	}
	h.failures++
	if h.failures == outageThreshold {
		h.outageStart = leader.Now()
		h.log.Warn("store: lost", "error", err)
	}
}

// isMistake reports whether the store is there but does not accept the call as it is.
func isRequestError(err error) bool {
	var rejected *store.RejectedError
	return errors.As(err, &rejected) && rejected.Status != http.StatusServiceUnavailable &&
		rejected.Status != http.StatusTooManyRequests
}

// probe tries the store while it is out of reach, until ctx ends.
func (h *storeHealth) probe(ctx context.Context) {
	for sleep(ctx, probeInterval) {
		if h.reachable() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := h.store.Range(callCtx, store.Get{Key: probeKey})
		cancel()
		h.record(err)
	}
}

// probeKey is read to see whether the store answers; it need not exist.
const probeKey = "lovagefork/probe"
