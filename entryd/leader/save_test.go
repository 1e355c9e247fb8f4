package leader_test

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/entryd/leader"
)

// lateRenewalClient fails renewals and batches of progress for a while, and then answers a renewal just after the time for which
// the leader may act without the store. The lease holds all the while, as in a store that pauses leases.
type lateRenewalClient struct {
	client
	mu    sync.Mutex
	since time.Time
}

// The times of a lateRenewalClient after its first renewal: the answer to a renewal that is sent after lastFailure arrives late.
const (
	lastFailure  = 6350 * time.Millisecond
	lateAnswer   = 680 * time.Millisecond
	batchesAgain = 8 * time.Second
)

// failing returns for how long the failures have lasted.
func (c *lateRenewalClient) failing() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() {
		c.since = time.Now()
	}
	return time.Since(c.since)
}

// KeepAlive implements [store.Client].
func (c *lateRenewalClient) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	c.m.mu.Lock()
	c.m.leases[id] = time.Now().Add(time.Minute)
	c.m.mu.Unlock()
	switch age := c.failing(); {
	case age < lastFailure:
		return 0, &store.OutcomeUnknownError{Op: "keep", Cause: errNoAnswer}
	case age < lastFailure+lateAnswer:
		time.Sleep(lateAnswer)
	}
	return c.client.KeepAlive(ctx, id)
}

// Txn implements [store.Client].
func (c *lateRenewalClient) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if put, isPut := txn.Then[0].(store.Put); isPut && strings.HasSuffix(put.Key, "/sequence") && c.failing() < batchesAgain {
		return store.TxnResult{}, &store.OutcomeUnknownError{Op: "txn", Cause: errNoAnswer}
	}
	return c.client.Txn(ctx, txn)
}

// A batch of progress was given up when the store answered a renewal too late for a moment, but the leadership went on. Nothing
// was made durable any more, and callers were shown their jobs as running without end.
func TestProgressIsStoredAfterLateRenewal(t *testing.T) {
	m := newMemStore()
	put(t, m, "workers/a", []byte("a:1"))
	c := &lateRenewalClient{client: client{m, "a"}}
	log := slog.New(slog.NewTextHandler(t.Output(), nil))
	s := leader.NewScheduler(leader.Deps{
		Store: c, Agents: idleAgents{}, Format: strictFormat{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second}, Log: log, Decisions: log,
		Metrics:   metrics.NewRegistry(),
		Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, true },
	})
	runGroup(t, leader.NewGroup("a", "a:1", c, log, s.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {}))
	waitFor(t, "progress", func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.entries["lovagefork/sequence"].ModRevision > 0
	})
}

// rejectingClient is a store that never accepts values of a key, or any at all.
type rejectingClient struct {
	client
	key        string
	rejectsAll bool
}

// Txn implements [store.Client].
func (c *rejectingClient) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	for _, op := range txn.Then {
		put, isPut := op.(store.Put)
		if isPut && (put.Key == c.key || c.rejectsAll && strings.HasSuffix(put.Key, "/sequence")) {
			return store.TxnResult{}, &store.RejectedError{Op: "txn", Status: 400, Reason: "Bad Request"}
		}
	}
	return c.client.Txn(ctx, txn)
}

// Guards against a value that the store never accepts and which is stored again and again, so that no progress of any job is durable
// and a successor starts nothing (LOST).
func TestRejectedBatchIsNotRepeated(t *testing.T) {
	for _, rejectsAll := range []bool{false, true} {
		m := newMemStore()
		put(t, m, "workers/a", []byte("a:1"))
		lines := &logBuffer{}
		log := slog.New(slog.NewJSONHandler(lines, nil))
		c := &rejectingClient{client: client{m, "a"}, key: "lovagefork/roster", rejectsAll: rejectsAll}
		s := leader.NewScheduler(leader.Deps{
			Store: c, Agents: idleAgents{}, Format: strictFormat{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second}, Log: log, Decisions: log,
			Metrics:   metrics.NewRegistry(),
			Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, true },
		})
		runGroup(t, leader.NewGroup("a", "a:1", c, log, s.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {}))
		message := "scheduler: storing progress failed for good"
		if rejectsAll {
			// Nothing is wrong with the values then.
			message = "scheduler: storing progress failed, will retry"
		}
		waitFor(t, message, func() bool { return lines.find(t, message) != nil })
		if rejectsAll {
			time.Sleep(300 * time.Millisecond)
			assert.Assert(t, lines.find(t, "scheduler: storing progress failed for good") == nil)
			continue
		}
		waitFor(t, "rejected roster", func() bool { return lines.find(t, "scheduler: roster rejected") != nil })
		m.mu.Lock()
		assert.Assert(t, m.entries["lovagefork/sequence"].ModRevision > 0, "an empty batch is stored in its place")
		m.mu.Unlock()
	}
}
