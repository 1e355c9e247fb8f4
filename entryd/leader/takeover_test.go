package leader_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
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

// slowPagesClient is a client of the store that returns one entry in a page of jobs. The pages after the first one and the
// number of the last batch wait until released is closed, and every second page fails.
type slowPagesClient struct {
	client
	released chan struct{}

	mu    sync.Mutex
	reads []string
}

// Range implements [store.Client].
func (c *slowPagesClient) Range(ctx context.Context, get store.Get) (store.RangeResult, error) {
	out, err := c.client.Range(ctx, get)
	if err != nil || get.Key != inputPrefix && get.Key != "lovagefork/sequence" {
		return out, err
	}
	if get.After != "" || get.Key != inputPrefix {
		select {
		case <-c.released:
		case <-ctx.Done():
			return store.RangeResult{}, ctx.Err()
		}
	}
	if get.Key != inputPrefix {
		return out, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads = append(c.reads, get.After)
	if len(c.reads)%2 == 0 {
		return store.RangeResult{}, &store.OutcomeUnknownError{Op: "range", Cause: errNoAnswer}
	}
	slices.SortFunc(out.Entries, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	at := slices.IndexFunc(out.Entries, func(e store.Entry) bool { return e.Key > get.After })
	out.More = at >= 0 && at < len(out.Entries)-1
	if at >= 0 {
		out.Entries = out.Entries[at : at+1]
	}
	return out, nil
}

// renewedAgents are workers that note whether their lease has been renewed.
type renewedAgents struct {
	promptAgents
	renewed chan struct{}
}

func (a *renewedAgents) Renew(ctx context.Context, to infra.AgentAddress, o infra.RenewOrder) (infra.Report, error) {
	if o.Deadline > 0 {
		select {
		case a.renewed <- struct{}{}:
		default:
		}
	}
	return a.promptAgents.Renew(ctx, to, o)
}

// No lease was renewed until all jobs had been read, and a page that failed began the read anew. On a slow link, beside a store
// that loses answers, all leases lapsed meanwhile.
func TestLeasesAreRenewedWhileJobsAreRead(t *testing.T) {
	m := newMemStore()
	put(t, m, "workers/a", []byte("a:1"))
	put(t, m, "lovagefork/roster", encode(t, []flow.RosterEntry{{Worker: "a", Address: "a:1"}}))
	put(t, m, termKey, encode(t, map[string]any{"term": 3, "entry_host": "b"}))
	for _, id := range []fleet.JobID{"j1", "j2", "j3"} {
		data, err := leader.EncodeJob(poolJob(id))
		assert.NilError(t, err)
		put(t, m, leader.JobKey(id), data)
	}
	c := &slowPagesClient{client: client{m, "a"}, released: make(chan struct{})}
	agents := &renewedAgents{promptAgents: promptAgents{ended: make(map[fleet.WorkerID][]infra.EndedRun)}, renewed: make(chan struct{}, 1)}
	log := slog.New(slog.DiscardHandler)
	s := leader.NewScheduler(leader.Deps{
		Store: c, Agents: agents, Format: strictFormat{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second, StatusRetention: time.Minute}, Log: log,
		Decisions: log, Metrics: metrics.NewRegistry(),
		Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return time.Hour, true },
	})
	s.Configure(&infra.Catalog{
		Version:  1,
		Queues:   []infra.Queue{{Name: "batch", Service: "pool", MaxAttempts: 3, StretchFactor: 2, TargetLatency: time.Second}},
		Services: []infra.Service{{Name: "pool"}},
	})
	runGroup(t, leader.NewGroup("a", "a:1", c, log, s.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {}))
	receive(t, "renewal of a lease", agents.renewed)
	assert.Equal(t, agents.started("j1"), 0)
	close(c.released)
	for _, id := range []fleet.JobID{"j1", "j2", "j3"} {
		waitFor(t, "start of a job", func() bool { return agents.started(id) == 1 })
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Equal(t, c.reads[0], "")
	assert.Assert(t, !slices.Contains(c.reads[1:], ""), "the read began anew: %q", c.reads)
}

// sharedLinkAgents are workers whose answers pass one link in turn, each for answerTime.
type sharedLinkAgents struct {
	infra.Agents
	answerTime time.Duration

	mu       sync.Mutex
	freeAt   time.Time
	answered map[fleet.WorkerID]int
}

func (a *sharedLinkAgents) Renew(ctx context.Context, to infra.AgentAddress, o infra.RenewOrder) (infra.Report, error) {
	now := time.Now()
	a.mu.Lock()
	if a.freeAt.Before(now) {
		a.freeAt = now
	}
	a.freeAt = a.freeAt.Add(a.answerTime)
	arrival := a.freeAt
	a.mu.Unlock()
	select {
	case <-time.After(time.Until(arrival) + o.Wait):
	case <-ctx.Done():
		return infra.Report{}, &infra.NoAnswerError{Worker: to.Worker, Cause: ctx.Err()}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answered[to.Worker]++
	return infra.Report{Clock: time.Now().UnixMilli(), StartedAt: 1}, nil
}

// All workers were asked at once after a takeover. The answers of a large fleet take a slow link longer than a renewal may take,
// so that workers were taken for unreachable, and their leases were not renewed.
func TestRenewalsAfterTakeoverShareASlowLink(t *testing.T) {
	const workers = 1000
	m := newMemStore()
	var roster []flow.RosterEntry
	for n := range workers {
		id := fmt.Sprintf("w%04d", n)
		roster = append(roster, flow.RosterEntry{Worker: fleet.WorkerID(id), Address: id + ":1"})
	}
	put(t, m, "lovagefork/roster", encode(t, roster))
	put(t, m, termKey, encode(t, map[string]any{"term": 3, "entry_host": "b"}))
	// 1.2 ms are 1.5 KB on 10 Mbit/s.
	agents := &sharedLinkAgents{answerTime: 1200 * time.Microsecond, answered: make(map[fleet.WorkerID]int)}
	log := &logBuffer{}
	logger := slog.New(slog.NewJSONHandler(log, nil))
	s := leader.NewScheduler(leader.Deps{
		Store: client{m, "a"}, Agents: agents, Format: strictFormat{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second, StatusRetention: time.Minute}, LinkBitsPerSecond: 10_000_000, Log: logger,
		Decisions: logger, Metrics: metrics.NewRegistry(),
		Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return time.Hour, true },
	})
	runGroup(t, leader.NewGroup("a", "a:1", client{m, "a"}, logger, s.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {}))
	waitFor(t, "an answer of each worker", func() bool { agents.mu.Lock(); defer agents.mu.Unlock(); return len(agents.answered) == workers })
	log.mu.Lock()
	defer log.mu.Unlock()
	assert.Equal(t, strings.Count(log.text.String(), "worker unreachable"), 0)
}
