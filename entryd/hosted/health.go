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
	// outageThreshold is the number of consecutive failed calls after which the store is treated as unreachable and
	// no longer called for callers' requests.
	outageThreshold = 2
	// probeInterval is the interval of the probes while the store is unreachable.
	probeInterval = 250 * time.Millisecond
)

// storeHealth tracks whether the store is reachable, so that callers are rejected without delay while it is not.
type storeHealth struct {
	store store.Client
	log   *slog.Logger

	mu          sync.Mutex
	failures    int
	outageStart time.Time
}

// reachable reports whether the store should be called for callers' requests.
func (h *storeHealth) reachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures < outageThreshold
}

// record counts the call as a failure or success of the store, depending on its error.
func (h *storeHealth) record(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		if h.failures >= outageThreshold {
			h.log.Info("store: reachable again", "after", leader.Now().Sub(h.outageStart))
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
		h.log.Warn("store: unreachable", "error", err)
	}
}

// isRequestError reports whether a reachable store rejected the call because of the call itself.
func isRequestError(err error) bool {
	var rejected *store.RejectedError
	return errors.As(err, &rejected) && rejected.Status != http.StatusServiceUnavailable &&
		rejected.Status != http.StatusTooManyRequests
}

// probe calls the store at intervals while it is unreachable, until ctx is done.
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

// probeKey is the key that probes read. It need not exist.
const probeKey = "lovagefork/probe"
