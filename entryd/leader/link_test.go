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

// timedAgents are workers without runs; allowed receives the time that a start may take.
type timedAgents struct {
	idleAgents
	allowed chan time.Duration
}

func (a timedAgents) Start(ctx context.Context, _ infra.AgentAddress, _ infra.StartOrder) (int64, error) {
	deadline, _ := ctx.Deadline()
	a.allowed <- time.Until(deadline)
	return time.Now().UnixMilli(), nil
}

// A start may wait for a slow link behind others. The time-out of a fixed 0.4 s ended before such a start had left the host, so
// that the scheduler took it for unanswered and its worker for silent.
func TestTimeoutOfOrdersCoversTheLink(t *testing.T) {
	for _, c := range []struct{ bitsPerSecond, atLeast, atMost int64 }{{10_000_000, 550, 600}, {0, 350, 400}} {
		m := newMemStore()
		put(t, m, "workers/w", []byte("w:1"))
		data, err := leader.EncodeJob(poolJob("j"))
		assert.NilError(t, err)
		put(t, m, leader.JobKey("j"), data)
		agents := timedAgents{allowed: make(chan time.Duration, 9)}
		logger := slog.New(slog.DiscardHandler)
		s := leader.NewScheduler(leader.Deps{
			Store: client{m, "a"}, Agents: agents, Format: strictFormat{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second, StatusRetention: time.Minute},
			Log: logger, Decisions: logger, Metrics: metrics.NewRegistry(), LinkBitsPerSecond: c.bitsPerSecond,
			Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, true },
		})
		s.Configure(&infra.Catalog{
			Version: 1, Queues: []infra.Queue{{Name: "batch", Service: "pool", MaxAttempts: 3}}, Services: []infra.Service{{Name: "pool"}},
		})
		runGroup(t, leader.NewGroup("a", "a:1", client{m, "a"}, logger, s.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {}))
		allowed := receive(t, "start", agents.allowed).Milliseconds()
		assert.Assert(t, c.atLeast < allowed && allowed <= c.atMost, "%d ms at %d bit/s", allowed, c.bitsPerSecond)
		assert.Assert(t, flow.MaxLinkDelay(c.bitsPerSecond) <= 200*time.Millisecond)
	}
}
