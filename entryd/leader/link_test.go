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

// timedAgents are workers without runs, on which each task starts again and again; allowed receives the time that a start may
// take.
type timedAgents struct {
	idleAgents
	allowed chan time.Duration
}

func (a timedAgents) Start(ctx context.Context, _ infra.AgentAddress, _ infra.StartOrder) (int64, error) {
	deadline, _ := ctx.Deadline()
	select {
	case a.allowed <- time.Until(deadline):
	default:
	}
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

// oneRelay is a relay that fails no start; via receives its name for each.
type oneRelay struct{ via chan fleet.EntryHostID }

func (oneRelay) Available(context.Context) []flow.Relay {
	return []flow.Relay{{EntryHost: "e2", LinkBitsPerSecond: 1_000_000}}
}

func (r oneRelay) Start(_ context.Context, via fleet.EntryHostID, _ infra.AgentAddress, _ infra.StartOrder) (int64, error) {
	select {
	case r.via <- via:
	default:
	}
	return time.Now().UnixMilli(), nil
}

// A scheduler on a slow link must send starts through the peers that can, and one on a fast link must not ask them.
func TestSchedulerOnSlowLinkUsesRelays(t *testing.T) {
	for _, c := range []struct {
		bitsPerSecond int64
		isUsed        bool
	}{{300_000, true}, {200_000_000, false}} {
		m := newMemStore()
		put(t, m, "workers/w", []byte("w:1"))
		agents := timedAgents{allowed: make(chan time.Duration, 99)}
		relay := oneRelay{via: make(chan fleet.EntryHostID, 99)}
		lines, registry := &logBuffer{}, metrics.NewRegistry()
		logger := slog.New(slog.NewJSONHandler(lines, nil))
		s := leader.NewScheduler(leader.Deps{
			Store: client{m, "a"}, Agents: agents, Relays: relay, Format: strictFormat{},
			Bounds: infra.Bounds{MaxLease: 6 * time.Second, StatusRetention: time.Minute},
			Log:    logger, Decisions: logger, Metrics: registry, LinkBitsPerSecond: c.bitsPerSecond,
			Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, true },
		})
		s.Configure(&infra.Catalog{
			Version: 1, Queues: []infra.Queue{{Name: "batch", Service: "pool", MaxAttempts: 3}}, Services: []infra.Service{{Name: "pool"}},
		})
		runGroup(t, leader.NewGroup("a", "a:1", client{m, "a"}, logger, s.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {}))
		waitFor(t, "usable worker", func() bool {
			usable := false
			s.Query(t.Context(), func(m *flow.Machine) {
				workers := m.Workers()
				usable = len(workers) == 1 && workers[0].UnusableReason == "" && (m.LinkUse().Relays == 1) == c.isUsed
			})
			return usable
		})
		j := poolJob("j")
		j.Steps[0].Count = 3
		s.NotifyJob(j, 99)
		receive(t, "start", agents.allowed)
		if c.isUsed {
			assert.Equal(t, receive(t, "relayed start", relay.via), fleet.EntryHostID("e2"))
			relayed := metrics.GetOrRegisterCounter("scheduler.starts_relayed.total", registry)
			waitFor(t, "report of relayed starts", func() bool { return relayed.Count() > 0 })
			assert.Assert(t, lines.find(t, "scheduler: load")["link"] != nil)
			assert.Equal(t, metrics.GetOrRegisterGauge("scheduler.link_window_bytes", registry).Value(), int64(3750))
			continue
		}
		receive(t, "second start", agents.allowed)
		receive(t, "third start", agents.allowed)
		assert.Equal(t, len(relay.via), 0)
	}
}
