package leader_test

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/entryd/leader"
)

// silentAgents are workers that do not answer.
type silentAgents struct{ infra.Agents }

func (silentAgents) Renew(ctx context.Context, to infra.AgentAddress, _ infra.RenewOrder) (infra.Report, error) {
	<-ctx.Done()
	return infra.Report{}, &infra.NoAnswerError{Worker: to.Worker, Cause: ctx.Err()}
}

// Guards against a task that runs twice (TWICE). A scheduler without the store acts for up to 6.8 s after the election of its
// successor while most workers confirm it, also beside successors that end before they reach the workers. One that a campaign
// leaves out of the predecessors must still be waited for: the others may have stopped long before it.
func TestWaitCoversSchedulerThatWasForgotten(t *testing.T) {
	t.Parallel()
	const leaderKey, rosterKey = "lovagefork/group/leader", "lovagefork/roster"
	m := newMemStore()
	// The scheduler on a has renewed the lease of w. It loses the store now, when b is elected.
	put(t, m, rosterKey, encode(t, []flow.RosterEntry{{Worker: "w", Address: "w:1", RenewedBefore: 6}}))
	put(t, m, termKey, encode(t, map[string]any{"term": 6, "entry_host": "b", "earlier": []string{"a"}, "earlier_terms": map[string]int64{"a": 5}}))
	put(t, m, leaderKey, encode(t, map[string]any{"entry_host": "b", "term": 6}))
	lost := time.Now()
	log := &logBuffer{}
	logger := slog.New(slog.NewJSONHandler(log, nil))
	s := leader.NewScheduler(leader.Deps{
		Store: client{m, "s"}, Agents: silentAgents{}, Format: format{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second}, Log: logger, Decisions: logger,
		Metrics: metrics.NewRegistry(),
		Supersede: func(_ context.Context, host fleet.EntryHostID, _ infra.Token) (time.Duration, bool) {
			// The schedulers on b and c have ended 1.5 s after the election of b.
			return time.Since(lost) - 1500*time.Millisecond, host != "a"
		},
	})
	runGroup(t, leader.NewGroup("s", "s:1", client{m, "s"}, logger, s.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {}))
	time.Sleep(time.Second)
	put(t, m, termKey, encode(t, map[string]any{
		"term": 7, "entry_host": "c", "earlier": []string{"b", "a"}, "earlier_terms": map[string]int64{"a": 5, "b": 6},
	}))
	time.Sleep(time.Until(lost.Add(7500 * time.Millisecond)))
	m.mu.Lock()
	m.revision++
	m.changes = append(m.changes, store.Change{Deleted: true, Entry: store.Entry{Key: leaderKey, ModRevision: m.revision}})
	delete(m.entries, leaderKey)
	m.mu.Unlock()
	awaited := func() int {
		n := -1
		s.Query(t.Context(), func(m *flow.Machine) { n = m.AwaitedWorkers() })
		return n
	}
	waitFor(t, "state", func() bool { return awaited() >= 0 })
	// a may have renewed the lease 6.8 s after it lost the store, for up to 5 s after its last confirmation by the workers.
	for time.Since(lost) < 11*time.Second {
		if awaited() == 0 {
			log.mu.Lock()
			defer log.mu.Unlock()
			t.Fatalf("the worker of the scheduler on a is not awaited %v after that has lost the store: %s", time.Since(lost), tail(log.text.String()))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func tail(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	return strings.Join(lines[max(0, len(lines)-8):], "\n")
}

// unansweredWritesClient is a client of the store that gets no answers to its transactions while lost is set.
type unansweredWritesClient struct {
	client
	lost *atomic.Bool
}

func (c unansweredWritesClient) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	result, err := c.client.Txn(ctx, txn)
	if c.lost.Load() {
		return store.TxnResult{}, &store.OutcomeUnknownError{Op: "txn", Cause: errNoAnswer}
	}
	return result, err
}

// Guards against leases that lapse (LOST): a host that reads from the store, and gets no answers to its writes, cannot be elected.
func TestNoHandOverToHostWhoseWritesAreNotAnswered(t *testing.T) {
	t.Parallel()
	m := newMemStore()
	d := directory{}
	small := newMember(m, "small", leader.WithCapacity(smallHost), leader.WithHandOver(d.ask))
	var lost atomic.Bool
	lost.Store(true)
	c := unansweredWritesClient{client{m, "large"}, &lost}
	large := leader.NewGroup("large", "large:1", c, slog.New(slog.DiscardHandler), func(ctx context.Context, _ *leader.Leadership) { <-ctx.Done() },
		func(fleet.EntryHostID, string) {}, func(leader.Leader) {}, leader.WithCapacity(largeHost), leader.WithHandOver(d.ask))
	d["small"], d["large"] = small.group, large
	runGroup(t, small.group)
	receive(t, "leadership of the small host", small.elected)
	put(t, m, "lovagefork/group/host/large", encode(t, map[string]any{"address": "large:1", "milli_cpu": 800, "link_bits_per_second": 200_000_000}))
	runGroup(t, large)
	began := time.Now()
	select {
	case reason := <-small.ended:
		ended := time.Now()
		receive(t, "next leadership", small.elected)
		t.Fatalf("ended after %v (%s), for a host that cannot be elected; the next leader is elected %v later", ended.Sub(began), reason, time.Since(ended))
	case <-time.After(3 * time.Second):
	}
}
