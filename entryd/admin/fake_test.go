package admin_test

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
)

var errFake = errors.New("injected fault")

// fakeStore is an in-memory store with revisions. Its fault settings may be changed at any time with set.
type fakeStore struct {
	mu      sync.Mutex
	changed chan struct{}
	log     [][]store.Change // the changes of each transaction; the revision is the index plus 1
	txns    int
	reads   int

	// down makes each call fail before it is sent.
	down bool
	// loseResponses makes each transaction take effect and report an unknown outcome.
	loseResponses bool
	// commitDelay makes each transaction report an unknown outcome and take effect after the delay.
	commitDelay time.Duration
	// readLag is the number of revisions by which reads lag behind.
	readLag int
	// watchStalled makes watches deliver no changes.
	watchStalled bool
}

func newFakeStore() *fakeStore { return &fakeStore{changed: make(chan struct{})} }

// set changes the fault settings and wakes the watches.
func (s *fakeStore) set(f func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
	close(s.changed)
	s.changed = make(chan struct{})
}

// entriesAt returns the entries at a revision, and whether the limit of the read cut off more.
func (s *fakeStore) entriesAt(g store.Get, revision int) ([]store.Entry, bool) {
	live := make(map[string]store.Entry)
	for _, c := range slices.Concat(s.log[:revision]...) {
		delete(live, c.Entry.Key)
		if !c.Deleted {
			live[c.Entry.Key] = c.Entry
		}
	}
	var found []store.Entry
	for key, e := range live {
		if key == g.Key || g.Prefix && strings.HasPrefix(key, g.Key) && key > g.After {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	if g.Limit > 0 && len(found) > g.Limit {
		return found[:g.Limit], true
	}
	return found, false
}

func (s *fakeStore) Range(ctx context.Context, g store.Get) (store.RangeResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return store.RangeResult{}, &store.NotSentError{Op: "range", Cause: errFake}
	}
	at := max(0, len(s.log)-s.readLag)
	entries, more := s.entriesAt(g, at)
	return store.RangeResult{Entries: entries, Revision: store.Revision(at), More: more}, nil
}

func (s *fakeStore) Txn(ctx context.Context, t store.Txn) (store.TxnResult, error) {
	s.mu.Lock()
	down, loseResponses, commitDelay := s.down, s.loseResponses, s.commitDelay
	s.txns++
	s.mu.Unlock()
	switch {
	case down:
		return store.TxnResult{}, &store.NotSentError{Op: "txn", Cause: errFake}
	case commitDelay > 0:
		time.AfterFunc(commitDelay, func() { s.commit(t) })
		return store.TxnResult{}, &store.OutcomeUnknownError{Op: "txn", Cause: errFake}
	case loseResponses:
		s.commit(t)
		return store.TxnResult{}, &store.OutcomeUnknownError{Op: "txn", Cause: errFake}
	}
	return s.commit(t), nil
}

// commit applies a transaction and returns its result.
func (s *fakeStore) commit(t store.Txn) store.TxnResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := store.TxnResult{Committed: true}
	ops := t.Then
	for _, c := range t.If {
		if !s.compareHolds(c) {
			result.Committed, ops = false, t.Else
			break
		}
	}
	revision := store.Revision(len(s.log) + 1)
	var changes []store.Change
	for _, op := range ops {
		switch op := op.(type) {
		case store.Put:
			changes = append(changes, store.Change{Entry: store.Entry{Key: op.Key, Value: op.Value, ModRevision: revision}})
		case store.Delete:
			changes = append(changes, store.Change{Entry: store.Entry{Key: op.Key, ModRevision: revision}, Deleted: true})
		}
	}
	if len(changes) > 0 {
		s.log = append(s.log, changes)
	}
	for _, op := range ops {
		if g, ok := op.(store.Get); ok {
			entries, _ := s.entriesAt(g, len(s.log))
			result.Reads = append(result.Reads, entries)
		}
	}
	result.Revision = store.Revision(len(s.log))
	close(s.changed)
	s.changed = make(chan struct{})
	return result
}

// compareHolds reports whether a comparison is true at the current revision.
func (s *fakeStore) compareHolds(c store.Compare) bool {
	switch c := c.(type) {
	case store.KeyAbsent:
		found, _ := s.entriesAt(store.Get{Key: c.Key}, len(s.log))
		return len(found) == 0
	case store.KeyUnchanged:
		found, _ := s.entriesAt(store.Get{Key: c.Key}, len(s.log))
		return len(found) == 1 && found[0].ModRevision == c.ModRevision
	case store.ValueEqual:
		found, _ := s.entriesAt(store.Get{Key: c.Key}, len(s.log))
		return len(found) == 1 && bytes.Equal(found[0].Value, c.Value)
	}
	return false
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after store.Revision, observe func(store.Revision, []store.Change)) error {
	next := int(after)
	for {
		s.mu.Lock()
		changed, down, end := s.changed, s.down, len(s.log)
		var found []store.Change
		if !s.watchStalled {
			for _, c := range slices.Concat(s.log[min(next, end):end]...) {
				if strings.HasPrefix(c.Entry.Key, prefix) {
					found = append(found, c)
				}
			}
			next = max(next, end)
		}
		s.mu.Unlock()
		if down {
			return &store.OutcomeUnknownError{Op: "watch", Cause: errFake}
		}
		if len(found) > 0 {
			observe(store.Revision(next), found)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (s *fakeStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { return 0, errFake }

func (s *fakeStore) KeepAlive(context.Context, store.LeaseID) (time.Duration, error) {
	return 0, errFake
}

func (s *fakeStore) Revoke(context.Context, store.LeaseID) error { return errFake }

// fakeMesh connects the processes of a test. Its links lose, duplicate and delay messages according to deliveries.
type fakeMesh struct {
	mu         sync.Mutex
	processes  map[fleet.EntryHostID]*process
	cutLinks   map[[2]fleet.EntryHostID]bool
	deliveries []delivery
	lostInRow  map[[2]fleet.EntryHostID]int
	// rng is seeded by the scenario, so that failures are reproducible.
	rng *rand.Rand
}

// delivery determines how many copies of a message arrive, and the delay of the first and between them.
type delivery struct {
	Copies int
	Delay  time.Duration
}

// nextDelivery returns a random element of deliveries. At most two messages in a row are lost on a link, so that every
// link that is up keeps delivering messages.
func (m *fakeMesh) nextDelivery(link [2]fleet.EntryHostID) delivery {
	d := delivery{Copies: 1, Delay: 4 * time.Millisecond}
	if len(m.deliveries) > 0 {
		d = m.deliveries[m.rng.IntN(len(m.deliveries))]
	}
	if d.Copies > 0 {
		m.lostInRow[link] = 0
	} else if m.lostInRow[link]++; m.lostInRow[link] > 2 {
		m.lostInRow[link], d.Copies = 0, 1
	}
	return d
}

// fakePeers sends the messages of one process over the mesh.
type fakePeers struct {
	mesh *fakeMesh
	self fleet.EntryHostID
}

func (m *fakeMesh) processOn(id fleet.EntryHostID) *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.processes[id]
}

// setCut breaks or restores the link between two processes in both directions.
func (m *fakeMesh) setCut(a, b fleet.EntryHostID, cut bool) {
	m.mu.Lock()
	changed := m.cutLinks[[2]fleet.EntryHostID{a, b}] != cut
	m.cutLinks[[2]fleet.EntryHostID{a, b}] = cut
	m.cutLinks[[2]fleet.EntryHostID{b, a}] = cut
	m.mu.Unlock()
	if changed {
		m.linkChanged(a, b)
	}
}

// linkChanged notifies both processes of a link whether it is up.
func (m *fakeMesh) linkChanged(a, b fleet.EntryHostID) {
	if a == b {
		return
	}
	m.mu.Lock()
	first, second, cut := m.processes[a], m.processes[b], m.cutLinks[[2]fleet.EntryHostID{a, b}]
	m.mu.Unlock()
	notify(first, b, !cut && second != nil)
	notify(second, a, !cut && first != nil)
}

func notify(p *process, peer fleet.EntryHostID, up bool) {
	switch {
	case p == nil:
	case up:
		p.admin.OnPeerUp(peer)
	default:
		p.admin.OnPeerDown(peer)
	}
}

func (p fakePeers) Send(to fleet.EntryHostID, m wire.Message) error {
	p.mesh.mu.Lock()
	defer p.mesh.mu.Unlock()
	target := p.mesh.processes[to]
	if target == nil || p.mesh.cutLinks[[2]fleet.EntryHostID{p.self, to}] {
		return errFake
	}
	d := p.mesh.nextDelivery([2]fleet.EntryHostID{p.self, to})
	data, err := wire.Encode(wire.Envelope{Message: m})
	if err != nil {
		return err
	}
	for i := range d.Copies {
		time.AfterFunc(d.Delay*time.Duration(i+1), func() {
			if e, err := wire.Decode(data); err == nil {
				target.admin.HandlePeer(context.Background(), p.self, e.Message)
			}
		})
	}
	return nil
}
