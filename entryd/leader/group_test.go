package leader_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/entryd/leader"
)

// member is a process of a group that reports the start and end of its leaderships on channels.
type member struct {
	group   *leader.Group
	elected chan leader.Leader
	ended   chan string
	stop    context.CancelFunc
}

func startMember(t *testing.T, m *memStore, name string, opts ...leader.Option) *member {
	p := newMember(m, name, opts...)
	p.stop = runGroup(t, p.group)
	return p
}

// newMember returns a process that does not run yet.
func newMember(m *memStore, name string, opts ...leader.Option) *member {
	p := &member{elected: make(chan leader.Leader, 9), ended: make(chan string, 9)}
	onElected := func(ctx context.Context, l *leader.Leadership) {
		p.elected <- l.Leader()
		<-ctx.Done()
		p.ended <- l.Reason()
	}
	log := slog.New(slog.DiscardHandler)
	p.group = leader.NewGroup(fleet.EntryHostID(name), name+":1", client{m, name}, log, onElected,
		func(fleet.EntryHostID, string) {}, func(leader.Leader) {}, opts...)
	return p
}

// runGroup runs a group until the returned function is called or the test ends.
func runGroup(t *testing.T, g *leader.Group) context.CancelFunc {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return cancel
}

func receive[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(10 * time.Second):
		t.Fatalf("no %s within 10 s", what)
		panic("unreachable")
	}
}

// maxTakeover is the longest time without a scheduler after one has stopped: the requirement is 2 s, and 1 s is added
// for a busy machine.
const maxTakeover = 3 * time.Second

// Two schedulers at once would start tasks twice, and without one nothing is started. So only one process leads, and
// another one takes over in time after it resigns.
func TestOneLeaderAndTakeover(t *testing.T) {
	m := newMemStore()
	a := startMember(t, m, "a")
	first := receive(t, "leadership of a", a.elected)
	assert.Equal(t, first.Term, int64(0))
	b := startMember(t, m, "b")
	select {
	case <-b.elected:
		t.Fatal("b was elected while a leads")
	case <-time.After(500 * time.Millisecond):
	}
	began := time.Now()
	a.group.Resign()
	second := receive(t, "leadership of b", b.elected)
	assert.Assert(t, time.Since(began) < maxTakeover)
	assert.Assert(t, second.Token > first.Token)
	assert.Equal(t, second.Term, int64(1))
	assert.DeepEqual(t, second.Predecessors, []fleet.EntryHostID{"a"})
	assert.Equal(t, receive(t, "end of a's leadership", a.ended), "resigned")
}

// A leader that cannot reach the store must not continue without limit, because another one is elected after its lease.
// It stops after outageTolerance at the latest, and the new leader has a higher fencing token.
func TestUnreachableStoreEndsLeadership(t *testing.T) {
	m := newMemStore()
	a := startMember(t, m, "a")
	first := receive(t, "leadership of a", a.elected)
	b := startMember(t, m, "b")
	m.mu.Lock()
	m.unreachable["a"] = true
	m.mu.Unlock()
	began := time.Now()
	second := receive(t, "leadership of b", b.elected)
	assert.Assert(t, time.Since(began) < maxTakeover)
	assert.Assert(t, second.Token > first.Token)
	assert.Equal(t, receive(t, "end of a's leadership", a.ended), "the store was unreachable for too long")
	assert.Assert(t, time.Since(began) < 9*time.Second)
}

// When a peer reports a newer leader, a leader that cannot reach the store must stop at once, before its workers refuse
// its orders.
func TestNewerLeaderEndsLeadership(t *testing.T) {
	m := newMemStore()
	a := startMember(t, m, "a")
	current := receive(t, "leadership of a", a.elected)
	m.mu.Lock()
	m.unreachable["a"] = true
	m.mu.Unlock()
	idle, stopped := a.group.Supersede(current.Token)
	assert.Assert(t, stopped, "superseded by its own token")
	assert.Equal(t, idle, time.Duration(0))
	a.group.Observe(leader.Leader{EntryHost: "b", Token: current.Token + infra.Token(5)})
	assert.Equal(t, receive(t, "end of a's leadership", a.ended), "a newer scheduler was elected")
}

// A successor waits for one lease after the last order of its predecessor. It waited for one lease after the answer of the
// predecessor's entry host instead, which comes after the restart of the process that had run the predecessor.
func TestIdleTimeOfEntryHost(t *testing.T) {
	m := newMemStore()
	a := startMember(t, m, "a")
	current := receive(t, "leadership of a", a.elected)
	a.group.Resign()
	ended := time.Now()
	time.Sleep(50 * time.Millisecond)
	idle, stopped := a.group.Supersede(current.Token + 1)
	assert.Assert(t, stopped)
	assert.Assert(t, idle >= 20*time.Millisecond && idle <= time.Since(ended)+leaderEndMargin, "%v", idle)
}

// leaderEndMargin is more than the time from the end of a scheduler until [leader.Group.Resign] returns.
const leaderEndMargin = time.Second

// Lease times are compared by Now, which reads the boot-time clock instead of Go's monotonic clock, because the latter
// stops while a machine is suspended. This checks that Now advances.
func TestNowAdvances(t *testing.T) {
	before := leader.Now()
	time.Sleep(2 * time.Millisecond)
	assert.Assert(t, leader.Now().After(before))
}

// The scheduler on a small entry host falls behind under load, so a small host delays its campaign if a larger one is registered.
func TestLargerHostIsElected(t *testing.T) {
	m := newMemStore()
	first := startMember(t, m, "first", leader.WithCapacity(leader.Capacity{MilliCPU: 200}))
	receive(t, "leadership of the first host", first.elected)
	small := startMember(t, m, "small", leader.WithCapacity(leader.Capacity{MilliCPU: 200}))
	large := startMember(t, m, "large", leader.WithCapacity(leader.Capacity{MilliCPU: 800}))
	time.Sleep(500 * time.Millisecond)
	first.group.Resign()
	receive(t, "leadership of the large host", large.elected)
	assert.Equal(t, len(small.elected), 0)
}

// lateClient leaves the first registration unanswered; late returns it to be carried out later.
type lateClient struct {
	client
	mu   sync.Mutex
	late *store.Txn
}

// Txn implements [store.Client].
func (c *lateClient) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if put, isPut := txn.Then[0].(store.Put); isPut && c.late == nil && put.Key == hostKey {
		c.late = &txn
		return store.TxnResult{}, &store.OutcomeUnknownError{Op: "txn", Cause: errNoAnswer}
	}
	return c.client.Txn(ctx, txn)
}

const hostKey = "lovagefork/group/host/a"

// A registration that was carried out late replaced the one that had followed. Its lease was not renewed, so that the process
// disappeared from the group, and the others could not reach the scheduler any more.
func TestLateRegistrationDoesNotReplaceTheNextOne(t *testing.T) {
	m := newMemStore()
	c := &lateClient{client: client{m, "a"}}
	runGroup(t, leader.NewGroup("a", "a:1", c, slog.New(slog.DiscardHandler), func(ctx context.Context, _ *leader.Leadership) { <-ctx.Done() },
		func(fleet.EntryHostID, string) {}, func(leader.Leader) {}))
	isRegistered := func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.expireLeases()
		return m.entries[hostKey].ModRevision > 0
	}
	waitFor(t, "registration", isRegistered)
	c.mu.Lock()
	late := *c.late
	c.mu.Unlock()
	// It fails if its lease has been revoked.
	_, _ = c.client.Txn(t.Context(), late)
	time.Sleep(8 * time.Second)
	assert.Assert(t, isRegistered(), "the process has disappeared from the group")
}
