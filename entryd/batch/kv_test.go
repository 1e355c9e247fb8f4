package batch_test

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"lovagefork.example/coord/store"
)

var errFake = errors.New("injected fault")

// fakeStore is an in-memory store with leases, watches and injected faults.
type fakeStore struct {
	mu      sync.Mutex
	rev     store.Revision
	entries map[string]store.Entry
	leases  map[store.LeaseID]time.Time
	ttl     time.Duration
	nextID  store.LeaseID
	down    bool
	// loseNext is the number of transactions whose response is lost after they took effect.
	loseNext int
	txns     int
	changed  chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]store.Entry{}, leases: map[store.LeaseID]time.Time{}, changed: make(chan struct{})}
}

// lock takes the lock and expires leases. The caller must unlock, also after an error.
func (s *fakeStore) lock() error {
	s.mu.Lock()
	if s.down {
		return &store.OutcomeUnknownError{Op: "any", Cause: errFake}
	}
	now := time.Now()
	for id, until := range s.leases {
		if now.After(until) {
			s.dropLease(id)
		}
	}
	return nil
}

func (s *fakeStore) dropLease(id store.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.Lease == id {
			delete(s.entries, key)
		}
	}
	s.bumpRevision()
}

func (s *fakeStore) bumpRevision() {
	s.rev++
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown starts or ends an outage. Unless expire is set, leases do not expire during the outage, as in etcd without a
// leader.
func (s *fakeStore) setDown(down bool, expire bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for id := range s.leases {
		if !expire {
			s.leases[id] = time.Now().Add(s.ttl)
		}
	}
}

func (s *fakeStore) get(g store.Get) []store.Entry {
	var found []store.Entry
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if (key == g.Key || g.Prefix && strings.HasPrefix(key, g.Key)) && key > g.After && (g.Limit == 0 || len(found) < g.Limit) {
			found = append(found, s.entries[key])
		}
	}
	return found
}

func (s *fakeStore) Range(_ context.Context, g store.Get) (store.RangeResult, error) {
	err := s.lock()
	defer s.mu.Unlock()
	if err != nil {
		return store.RangeResult{}, err
	}
	return store.RangeResult{Entries: s.get(g), Revision: s.rev}, nil
}

func (s *fakeStore) Txn(_ context.Context, t store.Txn) (store.TxnResult, error) {
	err := s.lock()
	defer s.mu.Unlock()
	if err != nil {
		return store.TxnResult{}, err
	}
	s.txns++
	result := store.TxnResult{Committed: true}
	for _, c := range t.If {
		result.Committed = result.Committed && s.evaluate(c)
	}
	ops := t.Then
	if !result.Committed {
		ops = t.Else
	}
	for _, op := range ops {
		switch op := op.(type) {
		case store.Put:
			if _, live := s.leases[op.Lease]; op.Lease != 0 && !live {
				return store.TxnResult{}, &store.RejectedError{Op: "txn", Status: 400, Reason: "no such lease"}
			}
			s.bumpRevision()
			s.entries[op.Key] = store.Entry{Key: op.Key, Value: op.Value, ModRevision: s.rev, Lease: op.Lease}
		case store.Delete:
			for key := range s.entries {
				if key == op.Key || op.Prefix && strings.HasPrefix(key, op.Key) {
					delete(s.entries, key)
				}
			}
			s.bumpRevision()
		case store.Get:
			result.Reads = append(result.Reads, s.get(op))
		}
	}
	if s.loseNext > 0 {
		s.loseNext--
		return store.TxnResult{}, &store.OutcomeUnknownError{Op: "txn", Cause: errFake}
	}
	return result, nil
}

func (s *fakeStore) evaluate(c store.Compare) bool {
	switch c := c.(type) {
	case store.KeyAbsent:
		_, exists := s.entries[c.Key]
		return !exists
	case store.KeyUnchanged:
		e, exists := s.entries[c.Key]
		return exists && e.ModRevision == c.ModRevision
	case store.ValueEqual:
		e, exists := s.entries[c.Key]
		return exists && bytes.Equal(e.Value, c.Value)
	}
	return false
}

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	err := s.lock()
	defer s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	s.nextID++
	s.ttl = ttl
	s.leases[s.nextID] = time.Now().Add(ttl)
	return s.nextID, nil
}

func (s *fakeStore) KeepAlive(_ context.Context, id store.LeaseID) (time.Duration, error) {
	err := s.lock()
	defer s.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if _, live := s.leases[id]; !live {
		return 0, nil
	}
	s.leases[id] = time.Now().Add(s.ttl)
	return s.ttl, nil
}

func (s *fakeStore) Revoke(_ context.Context, id store.LeaseID) error {
	err := s.lock()
	defer s.mu.Unlock()
	if err == nil {
		s.dropLease(id)
	}
	return err
}

// Watch passes the differences from the previous state of the prefix to observe, and at first all its entries.
func (s *fakeStore) Watch(ctx context.Context, prefix string, _ store.Revision, observe func(store.Revision, []store.Change)) error {
	seen := map[string]store.Entry{}
	for {
		s.mu.Lock()
		changed, now := s.changed, map[string]store.Entry{}
		var changes []store.Change
		for _, e := range s.get(store.Get{Key: prefix, Prefix: true}) {
			now[e.Key] = e
			if seen[e.Key].ModRevision != e.ModRevision {
				changes = append(changes, store.Change{Entry: e})
			}
		}
		for key := range seen {
			if _, exists := now[key]; !exists {
				changes = append(changes, store.Change{Entry: store.Entry{Key: key}, Deleted: true})
			}
		}
		seen = now
		rev := s.rev
		s.mu.Unlock()
		if len(changes) > 0 {
			observe(rev, changes)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
