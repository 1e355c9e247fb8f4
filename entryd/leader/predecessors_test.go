package leader_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/entryd/leader"
)

const termKey = "lovagefork/group/term"

// termRevision returns the revision of the record of the last election.
func termRevision(m *memStore) store.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries[termKey].ModRevision
}

// An election whose answer is lost replaced the scheduler before it as the predecessor. The next scheduler was told that the
// host of that election had run none for long, took all leases to have expired, and started tasks again that ran.
func TestElectionWithoutAnswerKeepsPredecessors(t *testing.T) {
	m := newMemStore()
	a := startMember(t, m, "a")
	first := receive(t, "leadership of a", a.elected)
	m.mu.Lock()
	m.unreachable["a"], m.loseAnswers = true, true
	m.mu.Unlock()
	b := startMember(t, m, "b")
	waitFor(t, "election without an answer", func() bool { return termRevision(m) > store.Revision(first.Token) })
	m.mu.Lock()
	m.loseAnswers = false
	m.mu.Unlock()
	second := receive(t, "leadership of b", b.elected)
	assert.DeepEqual(t, second.Predecessors, []fleet.EntryHostID{"b", "a"})
}

// A scheduler that was replaced moments ago may still act while its successor has ended already. The next scheduler waited for
// the leases of the successor only.
func TestShortLeadershipKeepsPredecessors(t *testing.T) {
	m := newMemStore()
	a := startMember(t, m, "a")
	receive(t, "leadership of a", a.elected)
	m.mu.Lock()
	m.unreachable["a"] = true
	m.mu.Unlock()
	b := startMember(t, m, "b")
	receive(t, "leadership of b", b.elected)
	c := startMember(t, m, "c")
	b.group.Resign()
	third := receive(t, "leadership of c", c.elected)
	assert.DeepEqual(t, third.Predecessors, []fleet.EntryHostID{"b", "a"})
	// No earlier scheduler acts any more once this one has led for the time for which one may act without the store.
	waitFor(t, "record without earlier schedulers", func() bool { return termRevision(m) > store.Revision(third.Token) })
	d := startMember(t, m, "d")
	c.group.Resign()
	fourth := receive(t, "leadership of d", d.elected)
	assert.DeepEqual(t, fourth.Predecessors, []fleet.EntryHostID{"c"})
}

// Guards against a successor that waits for a host that is gone, because each leadership since then was too short to remove it from
// the record. The host cannot act any more if the election after its own was seen long enough ago.
func TestHostThatIsGoneIsForgottenBesideShortLeaderships(t *testing.T) {
	t.Parallel()
	m := newMemStore()
	a := startMember(t, m, "a")
	receive(t, "leadership of a", a.elected)
	var elected [3]leader.Leader
	members := make(map[fleet.EntryHostID]*member)
	elections := make(chan leader.Leader)
	for _, name := range []string{"b", "c", "d"} {
		p := startMember(t, m, name)
		members[fleet.EntryHostID(name)] = p
		go func() {
			for l := range p.elected {
				elections <- l
			}
		}()
	}
	m.mu.Lock()
	m.unreachable["a"] = true
	m.mu.Unlock()
	for i := range elected {
		elected[i] = receive(t, "next leadership", elections)
		if i < 2 {
			time.Sleep(4 * time.Second)
			members[elected[i].EntryHost].group.Resign()
		}
	}
	assert.DeepEqual(t, elected[1].Predecessors, []fleet.EntryHostID{elected[0].EntryHost, "a"})
	// The election after that of a was seen 8 s ago, the one after that 4 s ago.
	assert.DeepEqual(t, elected[2].Predecessors, []fleet.EntryHostID{elected[1].EntryHost, elected[0].EntryHost})
}

// The wait for leases must not end before each scheduler that may have renewed them has stopped, and counts from the last of
// them.
func TestAllPredecessorsAreAwaited(t *testing.T) {
	m := newMemStore()
	put(t, m, termKey, encode(t, map[string]any{"term": 3, "entry_host": "b", "earlier": []string{"a"}}))
	log := &logBuffer{}
	logger := slog.New(slog.NewJSONHandler(log, nil))
	stopped := make(chan struct{})
	supersede := func(_ context.Context, host fleet.EntryHostID, _ infra.Token) (time.Duration, bool) {
		if host == "b" {
			return time.Hour, true
		}
		select {
		case <-stopped:
			return 2 * time.Second, true
		default:
			return 0, false
		}
	}
	s := leader.NewScheduler(leader.Deps{
		Store: client{m, "c"}, Format: format{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second}, Log: logger, Decisions: logger,
		Metrics: metrics.NewRegistry(), Supersede: supersede,
	})
	runGroup(t, leader.NewGroup("c", "c:1", client{m, "c"}, slog.New(slog.DiscardHandler), s.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {}))
	text := func() string {
		log.mu.Lock()
		defer log.mu.Unlock()
		return log.text.String()
	}
	waitFor(t, "state", func() bool { return strings.Contains(text(), "state read") })
	time.Sleep(500 * time.Millisecond)
	const line = "all previous schedulers have stopped"
	assert.Assert(t, !strings.Contains(text(), line), "not all have stopped: %s", text())
	close(stopped)
	waitFor(t, "end of the wait", func() bool { return strings.Contains(text(), line) })
	assert.Assert(t, strings.Contains(text(), `"ago_ms":2`), "the last one stopped 2 s ago: %s", text())
}

// A process that stands still between its election and its first order was told to end what it leads before it knew that it
// does, confirmed that it led nothing, and led on.
func TestElectionThatWasSupersededIsNotUsed(t *testing.T) {
	a := newMember(newMemStore(), "a")
	_, stopped := a.group.Supersede(infra.Token(1 << 40))
	assert.Assert(t, stopped)
	runGroup(t, a.group)
	receive(t, "leadership of a", a.elected)
	assert.Equal(t, receive(t, "end of a's leadership", a.ended), "superseded by a newly elected peer")
}
