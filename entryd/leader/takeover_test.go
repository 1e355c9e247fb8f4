package leader_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/entryd/leader"
)

// A takeover while the store is slow must not wait for one read after the other, because no task starts until the state
// is read.
func TestTakeoverReadsInParallel(t *testing.T) {
	m := newMemStore()
	log := slog.New(slog.DiscardHandler)
	s := leader.NewScheduler(leader.Deps{
		Store: client{m, "a"}, Format: format{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second}, Log: log, Decisions: log,
		Metrics:   metrics.NewRegistry(),
		Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, true },
	})
	onElected := func(ctx context.Context, l *leader.Leadership) {
		m.mu.Lock()
		m.readDelay, m.maxReading = 50*time.Millisecond, 0
		m.mu.Unlock()
		s.Run(ctx, l)
	}
	g := leader.NewGroup("a", "a:1", client{m, "a"}, log, onElected, func(fleet.EntryHostID, string) {}, func(leader.Leader) {})
	runGroup(t, g)
	// The state consists of jobs, records, the roster, the sequence key and the interference models.
	waitFor(t, "parallel reads", func() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.maxReading >= 5 })
}
