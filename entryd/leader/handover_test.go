package leader_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/entryd/leader"
)

// directory holds the processes that answer their peers. It is not changed while groups run.
type directory map[fleet.EntryHostID]*leader.Group

var errNoLink = errors.New("no link")

func (d directory) ask(ctx context.Context, host fleet.EntryHostID, token infra.Token) error {
	if g, found := d[host]; found {
		return g.Eligible(ctx, token)
	}
	return errNoLink
}

var (
	smallHost = leader.Capacity{MilliCPU: 192, LinkBitsPerSecond: 10_000_000}
	largeHost = leader.Capacity{MilliCPU: 800, LinkBitsPerSecond: 200_000_000}
)

// newPair returns processes on a small and a large host that answer each other and do not run yet.
func newPair(m *memStore) (small, large *member) {
	d := directory{}
	small = newMember(m, "small", leader.WithCapacity(smallHost), leader.WithHandOver(d.ask))
	large = newMember(m, "large", leader.WithCapacity(largeHost), leader.WithHandOver(d.ask))
	d["small"], d["large"] = small.group, large.group
	return small, large
}

// maxHandOver bounds the time from the moment at which a larger host can take over until it leads.
const maxHandOver = 2 * time.Second

// Guards against a scheduler on a small link that leads for 8 s beside a larger host (LOST), and against hand-overs to a host
// that cannot reach the store.
func TestSmallHostHandsOverOnceLargerOneIsInTouch(t *testing.T) {
	t.Parallel()
	m := newMemStore()
	small, large := newPair(m)
	put(t, m, "lovagefork/group/host/large", encode(t, map[string]any{"address": "large:1", "milli_cpu": 800, "link_bits_per_second": 200_000_000}))
	setReachable := func(reachable bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.unreachable["large"] = !reachable
	}
	setReachable(false)
	runGroup(t, small.group)
	receive(t, "leadership of the small host", small.elected)
	select {
	case reason := <-small.ended:
		t.Fatalf("ended beside a host that does not reach the store: %s", reason)
	case <-time.After(2 * time.Second):
	}
	setReachable(true)
	runGroup(t, large.group)
	began := time.Now()
	receive(t, "leadership of the large host", large.elected)
	assert.Assert(t, time.Since(began) < maxHandOver, "%v", time.Since(began))
}

// Guards against a small host that keeps leading after a larger one has joined.
func TestSmallHostHandsOverToLargerOneThatJoins(t *testing.T) {
	t.Parallel()
	m := newMemStore()
	small, large := newPair(m)
	runGroup(t, small.group)
	receive(t, "leadership of the small host", small.elected)
	runGroup(t, large.group)
	began := time.Now()
	receive(t, "leadership of the large host", large.elected)
	assert.Assert(t, time.Since(began) < maxHandOver, "%v", time.Since(began))
	assert.Equal(t, receive(t, "end of the small host's leadership", small.ended), "a larger entry host can take over")
	select {
	case reason := <-large.ended:
		t.Fatalf("the large host's leadership ended: %s", reason)
	case <-time.After(time.Second):
	}
}

// Guards against a fleet without a scheduler for most of the time: a larger host that answers and is never elected is handed the
// leadership again and again, by each small host in turn.
func TestHandOverThatIsNotTakenIsRepeatedLater(t *testing.T) {
	t.Parallel()
	m := newMemStore()
	put(t, m, "lovagefork/group/host/z", encode(t, map[string]any{"address": "z:1", "milli_cpu": 800, "link_bits_per_second": 200_000_000}))
	accept := func(context.Context, fleet.EntryHostID, infra.Token) error { return nil }
	elections := make(chan leader.Leader, 999)
	onElected := func(ctx context.Context, l *leader.Leadership) {
		elections <- l.Leader()
		<-ctx.Done()
	}
	for _, name := range []string{"a", "b", "c"} {
		runGroup(t, leader.NewGroup(fleet.EntryHostID(name), name+":1", client{m, name}, slog.New(slog.DiscardHandler), onElected,
			func(fleet.EntryHostID, string) {}, func(leader.Leader) {}, leader.WithCapacity(smallHost), leader.WithHandOver(accept)))
	}
	receive(t, "first leadership", elections)
	receive(t, "second leadership", elections)
	time.Sleep(5 * time.Second)
	// The next ones come 2 and 4 s later.
	assert.Assert(t, len(elections) <= 2, "%d elections in 5 s", len(elections))
}

// Guards against a hand-over to a process that stops, or that could not keep the leadership moments ago.
func TestProcessThatWouldNotLeadIsNotEligible(t *testing.T) {
	t.Parallel()
	m := newMemStore()
	a := startMember(t, m, "a")
	receive(t, "leadership of a", a.elected)
	b, c := startMember(t, m, "b"), startMember(t, m, "c")
	m.mu.Lock()
	m.unreachable["a"] = true
	m.mu.Unlock()
	var leads, idle *member
	var elected leader.Leader
	select {
	case elected = <-b.elected:
		leads, idle = b, c
	case elected = <-c.elected:
		leads, idle = c, b
	}
	receive(t, "end of a's leadership", a.ended)
	m.mu.Lock()
	m.unreachable["a"] = false
	m.mu.Unlock()
	reason := func(p *member) string {
		var ineligible *leader.IneligibleError
		err := p.group.Eligible(t.Context(), elected.Token)
		assert.Assert(t, err == nil || errors.As(err, &ineligible), "%v", err)
		if err == nil {
			return ""
		}
		return ineligible.Reason
	}
	assert.Equal(t, reason(leads), "it leads")
	waitFor(t, "end of a's loop", func() bool { return reason(a) != "it leads" })
	assert.Equal(t, reason(a), "it has lost a leadership")
	assert.Equal(t, reason(idle), "")
	idle.group.Resign()
	assert.Equal(t, reason(idle), "it is stopping")
}

// storedCapacity returns the capacity in the record of the last election.
func storedCapacity(t *testing.T, m *memStore) leader.Capacity {
	m.mu.Lock()
	defer m.mu.Unlock()
	var record struct {
		Capacity leader.Capacity `cbor:"capacity"`
	}
	assert.NilError(t, cbor.Unmarshal(m.entries[termKey].Value, &record))
	return record.Capacity
}

// Guards against small hosts that win after all hosts were lost, when no registration of a larger one is left; and against a
// fleet that has lost its larger hosts for good and waits for them at each election.
func TestRecordOfLastElectionHoldsSmallHostsBack(t *testing.T) {
	t.Parallel()
	m := newMemStore()
	put(t, m, termKey, encode(t, map[string]any{"term": 3, "entry_host": "gone", "capacity": largeHost}))
	small, large := newPair(m)
	runGroup(t, small.group)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(small.elected), 0)
	runGroup(t, large.group)
	receive(t, "leadership of the large host", large.elected)
	assert.Equal(t, len(small.elected), 0)
	assert.DeepEqual(t, storedCapacity(t, m), largeHost)
	large.group.Resign()
	receive(t, "leadership of the small host", small.elected)
	assert.DeepEqual(t, storedCapacity(t, m), smallHost)
}

// Guards against a choice by processor time alone, which counts a host with a slow link as large.
func TestCapacityIsComparedByTheScarcerOfProcessorAndLink(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name        string
		host, other leader.Capacity
		want        bool
	}{
		{"both larger", largeHost, smallHost, true},
		{"both smaller", smallHost, largeHost, false},
		{"alike", largeHost, largeHost, false},
		{"by a quarter", leader.Capacity{MilliCPU: 250}, leader.Capacity{MilliCPU: 200}, false},
		{"larger link", leader.Capacity{MilliCPU: 800, LinkBitsPerSecond: 200_000_000}, leader.Capacity{MilliCPU: 800, LinkBitsPerSecond: 10_000_000}, true},
		{"larger processor on a slow link", leader.Capacity{MilliCPU: 8000, LinkBitsPerSecond: 10_000_000}, leader.Capacity{MilliCPU: 400, LinkBitsPerSecond: 10_000_000}, false},
		{"larger link without need", leader.Capacity{MilliCPU: 200, LinkBitsPerSecond: 1e9}, leader.Capacity{MilliCPU: 200, LinkBitsPerSecond: 1e8}, false},
		{"links unknown", leader.Capacity{MilliCPU: 800}, leader.Capacity{MilliCPU: 200}, true},
		{"one link unknown", leader.Capacity{MilliCPU: 800}, leader.Capacity{MilliCPU: 200, LinkBitsPerSecond: 10_000_000}, true},
		{"processor unknown", leader.Capacity{LinkBitsPerSecond: 1e9}, leader.Capacity{LinkBitsPerSecond: 1e6}, false},
	} {
		assert.Equal(t, test.host.Exceeds(test.other), test.want, test.name)
	}
}

// Guards against another small host that wins after a hand-over, because the registration of the larger one has ended: with a store
// whose answers are lost, small hosts followed each other for seconds.
func TestSmallHostWaitsForTheOneThatTakesOver(t *testing.T) {
	t.Parallel()
	m := newMemStore()
	put(t, m, termKey, encode(t, map[string]any{"term": 3, "entry_host": "gone", "capacity": smallHost, "expected": largeHost, "hand_overs": 1}))
	small, large := newPair(m)
	runGroup(t, small.group)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(small.elected), 0)
	runGroup(t, large.group)
	receive(t, "leadership of the large host", large.elected)
	assert.Equal(t, len(small.elected), 0)
	large.group.Resign()
	receive(t, "leadership of the small host", small.elected)
	assert.DeepEqual(t, storedCapacity(t, m), smallHost)
}
