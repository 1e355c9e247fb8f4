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

// kv is a store in memory with leases, watches and faults.
type fakeStore struct {
	mu      sync.Mutex
	rev     store.Revision
	entries map[string]store.Entry
	leases  map[store.LeaseID]time.Time
	ttl     time.Duration
	nextID  store.LeaseID
	down    bool
	// loseNext is the number of transactions whose answer is lost after they took effect.
	loseNext int
	txns     int
	changed  chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]store.Entry{}, leases: map[store.LeaseID]time.Time{}, changed: make(chan struct{})}
}

// enter takes the lock and lapses leases; the caller must unlock.
func (k *fakeStore) lock() error {
	k.mu.Lock()
	if k.down {
		return &store.OutcomeUnknownError{Op: "any", Cause: errFake}
	}
	now := time.Now()
	for id, until := range k.leases {
		if now.After(until) {
			k.dropLease(id)
		}
	}
	return nil
}

func (k *fakeStore) dropLease(id store.LeaseID) {
	delete(k.leases, id)
	for key, e := range k.entries {
		if e.Lease == id {
			delete(k.entries, key)
		}
	}
	k.bumpRevision()
}

func (k *fakeStore) bumpRevision() {
	k.rev++
	close(k.changed)
	k.changed = make(chan struct{})
}

// setDown starts or ends an outage, in which leases do not lapse, as etcd does without a leader.
func (k *fakeStore) setDown(down bool, lapse bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
	for id := range k.leases {
		if !lapse {
			k.leases[id] = time.Now().Add(k.ttl)
		}
	}
}

func (k *fakeStore) get(g store.Get) []store.Entry {
	var found []store.Entry
	for _, key := range slices.Sorted(maps.Keys(k.entries)) {
		if (key == g.Key || g.Prefix && strings.HasPrefix(key, g.Key)) && key > g.After && (g.Limit == 0 || len(found) < g.Limit) {
			found = append(found, k.entries[key])
		}
	}
	return found
}

func (k *fakeStore) Range(_ context.Context, g store.Get) (store.RangeResult, error) {
	err := k.lock()
	defer k.mu.Unlock()
	if err != nil {
		return store.RangeResult{}, err
	}
	return store.RangeResult{Entries: k.get(g), Revision: k.rev}, nil
}

func (k *fakeStore) Txn(_ context.Context, t store.Txn) (store.TxnResult, error) {
	err := k.lock()
	defer k.mu.Unlock()
	if err != nil {
		return store.TxnResult{}, err
	}
	k.txns++
	result := store.TxnResult{Committed: true}
	for _, c := range t.If {
		result.Committed = result.Committed && k.evaluate(c)
	}
	ops := t.Then
	if !result.Committed {
		ops = t.Else
	}
	for _, op := range ops {
		switch op := op.(type) {
		case store.Put:
			if _, live := k.leases[op.Lease]; op.Lease != 0 && !live {
				return store.TxnResult{}, &store.RejectedError{Op: "txn", Status: 400, Reason: "no such lease"}
			}
			k.bumpRevision()
			k.entries[op.Key] = store.Entry{Key: op.Key, Value: op.Value, ModRevision: k.rev, Lease: op.Lease}
		case store.Delete:
			for key := range k.entries {
				if key == op.Key || op.Prefix && strings.HasPrefix(key, op.Key) {
					delete(k.entries, key)
				}
			}
			k.bumpRevision()
		case store.Get:
			result.Reads = append(result.Reads, k.get(op))
		}
	}
	if k.loseNext > 0 {
		k.loseNext--
		return store.TxnResult{}, &store.OutcomeUnknownError{Op: "txn", Cause: errFake}
	}
	return result, nil
}

func (k *fakeStore) evaluate(c store.Compare) bool {
	switch c := c.(type) {
	case store.KeyAbsent:
		_, exists := k.entries[c.Key]
		return !exists
	case store.ValueEqual:
		e, exists := k.entries[c.Key]
		return exists && bytes.Equal(e.Value, c.Value)
	}
	return false
}

func (k *fakeStore) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	err := k.lock()
	defer k.mu.Unlock()
	if err != nil {
		return 0, err
	}
	k.nextID++
	k.ttl = ttl
	k.leases[k.nextID] = time.Now().Add(ttl)
	return k.nextID, nil
}

func (k *fakeStore) KeepAlive(_ context.Context, id store.LeaseID) (time.Duration, error) {
	err := k.lock()
	defer k.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if _, live := k.leases[id]; !live {
		return 0, nil
	}
	k.leases[id] = time.Now().Add(k.ttl)
	return k.ttl, nil
}

func (k *fakeStore) Revoke(_ context.Context, id store.LeaseID) error {
	err := k.lock()
	defer k.mu.Unlock()
	if err == nil {
		k.dropLease(id)
	}
	return err
}

// Watch reports every change as an empty batch for owners, and the whole prefix for the inbox.
func (k *fakeStore) Watch(ctx context.Context, prefix string, _ store.Revision, observe func(store.Revision, []store.Change)) error {
	seen := map[string]store.Entry{}
	for {
		k.mu.Lock()
		changed, now := k.changed, map[string]store.Entry{}
		var changes []store.Change
		for _, e := range k.get(store.Get{Key: prefix, Prefix: true}) {
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
		rev := k.rev
		k.mu.Unlock()
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
