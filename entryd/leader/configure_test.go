package leader_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/entryd/leader"
)

// Guards against an elected scheduler with an older configuration than its process has applied (CONFIG): two goroutines pass
// configurations to the scheduler, and the older one may arrive last.
func TestElectedSchedulerHasNewestConfiguration(t *testing.T) {
	m := newMemStore()
	log := slog.New(slog.DiscardHandler)
	s := leader.NewScheduler(leader.Deps{
		Store: client{m, "a"}, Agents: idleAgents{}, Format: strictFormat{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second},
		Log: log, Decisions: log, Metrics: metrics.NewRegistry(),
		Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, true },
	})
	s.Configure(&infra.Catalog{Version: 2})
	s.Configure(&infra.Catalog{Version: 1})
	runGroup(t, leader.NewGroup("a", "a:1", client{m, "a"}, log, s.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {}))
	version := int64(0)
	waitFor(t, "scheduler", func() bool {
		return s.Query(t.Context(), func(m *flow.Machine) { version = m.Overview().Catalog })
	})
	assert.Equal(t, version, int64(2))
	s.Configure(&infra.Catalog{Version: 3})
	waitFor(t, "newer configuration", func() bool {
		s.Query(t.Context(), func(m *flow.Machine) { version = m.Overview().Catalog })
		return version == 3
	})
}
