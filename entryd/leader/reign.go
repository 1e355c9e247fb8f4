package leader

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"lovagefork.example/coord/store"
)

// Reign is the time during which one process is the scheduler.
type Leadership struct {
	store store.Client
	lease store.LeaseID
	seat  Leader

	ended    chan struct{}
	released chan struct{}

	mu     sync.Mutex
	proven time.Time
	reason string
}

func newReign(client store.Client, lease store.LeaseID, seat Leader, sent time.Time) *Leadership {
	return &Leadership{
		store: client, lease: lease, seat: seat, proven: sent, ended: make(chan struct{}), released: make(chan struct{}),
	}
}

// Seat returns the token and term of the reign.
func (r *Leadership) Leader() Leader { return r.seat }

// Proven reports whether the store's lease has certainly not ended by itself.
func (r *Leadership) LeaseConfirmed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Now().Before(r.proven.Add(leaderTTL))
}

// Valid reports whether orders may be sent: the lease is proven, or the store has been silent for less than the horizon.
func (r *Leadership) Valid() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reason == "" && Now().Before(r.proven.Add(leaderTTL+horizon))
}

// Reason tells why the reign has ended.
func (r *Leadership) Reason() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reason
}

func (r *Leadership) end(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reason == "" {
		r.reason = reason
		close(r.ended)
	}
}

// renew keeps the lease until the reign ends; times are counted from before each renewal was sent.
func (r *Leadership) renew(ctx context.Context, log *slog.Logger) {
	silent := false
	for ctx.Err() == nil {
		sleep(ctx, renewEach)
		if ctx.Err() != nil {
			return
		}
		sent := Now()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		left, err := r.store.KeepAlive(callCtx, r.lease)
		cancel()
		switch {
		case err == nil && left == 0:
			r.end("the lease has ended")
			return
		case err == nil:
			r.mu.Lock()
			r.proven = sent
			r.mu.Unlock()
			if silent {
				log.Info("group: store regained")
			}
			silent = false
		case !silent && ctx.Err() == nil:
			silent = true
			log.Warn("group: store lost", "error", err)
		}
		if !r.Valid() {
			r.end("the store was silent for too long")
			return
		}
	}
}
