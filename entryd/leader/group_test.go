package leader_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/entryd/leader"
)

// member is a process of a group whose reigns are told on channels.
type member struct {
	group *leader.Group
	begun chan leader.Leader
	ended chan string
	stop  context.CancelFunc
}

func join(t *testing.T, m *memory, name string, opts ...leader.Option) *member {
	p := &member{begun: make(chan leader.Leader, 9), ended: make(chan string, 9)}
	reign := func(ctx context.Context, r *leader.Leadership) {
		p.begun <- r.Leader()
		<-ctx.Done()
		p.ended <- r.Reason()
	}
	log := slog.New(slog.DiscardHandler)
	p.group = leader.NewGroup(fleet.EntryHostID(name), name+":1", client{m, name}, log, reign,
		func(fleet.EntryHostID, string) {}, func(leader.Leader) {}, opts...)
	ctx, cancel := context.WithCancel(t.Context())
	p.stop = cancel
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.group.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return p
}

func wait[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(10 * time.Second):
		t.Fatalf("no %s within 10 s", what)
		panic("unreachable")
	}
}

// takeover is the longest time without a scheduler after one has gone: 2 s are asked for, and half of that for a busy
// machine.
const takeover = 3 * time.Second

// Two schedulers at once would start tasks twice; none at all would start nothing.
func TestOneReignsAndTheNextTakesOver(t *testing.T) {
	m := newMemory()
	a := join(t, m, "a")
	first := wait(t, "reign of a", a.begun)
	assert.Equal(t, first.Term, int64(0))
	b := join(t, m, "b")
	select {
	case <-b.begun:
		t.Fatal("b reigns beside a")
	case <-time.After(500 * time.Millisecond):
	}
	began := time.Now()
	a.group.Resign()
	second := wait(t, "reign of b", b.begun)
	assert.Assert(t, time.Since(began) < takeover)
	assert.Assert(t, second.Token > first.Token)
	assert.Equal(t, second.Term, int64(1))
	assert.Equal(t, string(second.Predecessor), "a")
	assert.Equal(t, wait(t, "end of a's reign", a.ended), "resigned")
}

// A scheduler that is cut off goes on for the horizon at most; another one is elected meanwhile, and its token is higher.
func TestTheCutOffReignEnds(t *testing.T) {
	m := newMemory()
	a := join(t, m, "a")
	first := wait(t, "reign of a", a.begun)
	b := join(t, m, "b")
	m.mu.Lock()
	m.silent["a"] = true
	m.mu.Unlock()
	began := time.Now()
	second := wait(t, "reign of b", b.begun)
	assert.Assert(t, time.Since(began) < takeover)
	assert.Assert(t, second.Token > first.Token)
	assert.Equal(t, wait(t, "end of a's reign", a.ended), "the store was silent for too long")
	assert.Assert(t, time.Since(began) < 9*time.Second)
}

// A scheduler that learns of a newer one from a peer must stop at once, before its workers tell it.
func TestAPeerEndsTheReign(t *testing.T) {
	m := newMemory()
	a := join(t, m, "a")
	seat := wait(t, "reign of a", a.begun)
	m.mu.Lock()
	m.silent["a"] = true
	m.mu.Unlock()
	assert.Assert(t, a.group.Supersede(seat.Token), "a reign with the same token is not over")
	a.group.Observe(leader.Leader{EntryHost: "b", Token: seat.Token + infra.Token(5)})
	assert.Equal(t, wait(t, "end of a's reign", a.ended), "a peer knows a newer scheduler")
}

// The time of a lease must go on while a machine is suspended, so that Go's monotonic clock is not used.
func TestNowIsSteady(t *testing.T) {
	before := leader.Now()
	time.Sleep(2 * time.Millisecond)
	assert.Assert(t, leader.Now().After(before))
}

// The scheduler on a small entry host falls behind under load: a vacant seat is left to a larger one, and a small host
// that reigns hands over once a larger one has been there for a while.
func TestLargerHostReigns(t *testing.T) {
	t.Run("vacant seat", func(t *testing.T) {
		m := newMemory()
		first := join(t, m, "first", leader.WithMilliCPU(200))
		wait(t, "reign of the first host", first.begun)
		small := join(t, m, "small", leader.WithMilliCPU(200))
		large := join(t, m, "large", leader.WithMilliCPU(800))
		time.Sleep(500 * time.Millisecond)
		first.group.Resign()
		wait(t, "reign of the large host", large.begun)
		assert.Equal(t, len(small.begun), 0)
	})
	t.Run("hand over", func(t *testing.T) {
		m := newMemory()
		small := join(t, m, "small", leader.WithMilliCPU(200))
		wait(t, "reign of the small host", small.begun)
		large := join(t, m, "large", leader.WithMilliCPU(800))
		select {
		case <-large.begun:
			t.Fatal("the seat is handed over to a host that may be gone already")
		case <-time.After(6 * time.Second):
		}
		wait(t, "reign of the large host", large.begun)
		assert.Equal(t, wait(t, "end of the small host's reign", small.ended), "a larger entry host can take over")
	})
}
