package leader_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"lovagefork.example/coord/store"
)

// memStore is an in-memory store with leases and with faults that tests set.
type memStore struct {
	mu       sync.Mutex
	revision store.Revision
	entries  map[string]store.Entry
	leases   map[store.LeaseID]time.Time
	ttl      map[store.LeaseID]time.Duration
	changes  []store.Change
	// unreachable holds the clients that get no answer.
	unreachable map[string]bool
	// readDelay is how long a read takes; reading and maxReading are the current and the largest number of reads at a
	// time.
	readDelay           time.Duration
	reading, maxReading int
	// loseAnswers makes transactions take effect but return no answer.
	loseAnswers bool
}

func newMemStore() *memStore {
	return &memStore{
		entries: make(map[string]store.Entry), leases: make(map[store.LeaseID]time.Time), ttl: make(map[store.LeaseID]time.Duration),
		unreachable: make(map[string]bool),
	}
}

// client is the connection of one process to the store.
type client struct {
	m    *memStore
	name string
}

var errNoAnswer = errors.New("no answer")

// checkReachable blocks until ctx ends, and then returns an error, if the client is unreachable.
func (c client) checkReachable(ctx context.Context, op string) error {
	c.m.mu.Lock()
	unreachable := c.m.unreachable[c.name]
	c.m.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return &store.OutcomeUnknownError{Op: op, Cause: errNoAnswer}
	}
	return nil
}

// expireLeases removes expired leases and their keys. The caller holds the lock.
func (m *memStore) expireLeases() {
	for id, until := range m.leases {
		if time.Now().After(until) {
			m.removeLease(id)
		}
	}
}

func (m *memStore) removeLease(id store.LeaseID) {
	delete(m.leases, id)
	for key, e := range m.entries {
		if e.Lease == id {
			m.remove(key)
		}
	}
}

func (m *memStore) remove(key string) {
	delete(m.entries, key)
	m.revision++
	m.changes = append(m.changes, store.Change{Entry: store.Entry{Key: key, ModRevision: m.revision}, Deleted: true})
}

func (c client) Range(ctx context.Context, get store.Get) (store.RangeResult, error) {
	if err := c.checkReachable(ctx, "range"); err != nil {
		return store.RangeResult{}, err
	}
	m := c.m
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading++
	m.maxReading = max(m.maxReading, m.reading)
	delay := m.readDelay
	m.mu.Unlock()
	time.Sleep(delay)
	m.mu.Lock()
	m.reading--
	m.expireLeases()
	out := store.RangeResult{Revision: m.revision}
	for key, e := range m.entries {
		if key == get.Key || get.Prefix && strings.HasPrefix(key, get.Key) {
			out.Entries = append(out.Entries, e)
		}
	}
	return out, nil
}

func (c client) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if err := c.checkReachable(ctx, "txn"); err != nil {
		return store.TxnResult{}, err
	}
	m := c.m
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	var current []store.Entry
	matches := true
	for _, condition := range txn.If {
		key, want := "", store.Revision(0)
		switch condition := condition.(type) {
		case store.KeyAbsent:
			key = condition.Key
		case store.KeyUnchanged:
			key, want = condition.Key, condition.ModRevision
		default:
		}
		e, found := m.entries[key]
		if found {
			current = append(current, e)
		}
		matches = matches && e.ModRevision == want
	}
	if !matches {
		return store.TxnResult{Reads: [][]store.Entry{current}}, nil
	}
	m.revision++
	for _, op := range txn.Then {
		switch op := op.(type) {
		case store.Put:
			if _, alive := m.leases[op.Lease]; op.Lease != 0 && !alive {
				return store.TxnResult{}, &store.RejectedError{Op: "txn", Status: 404}
			}
			e := store.Entry{Key: op.Key, Value: op.Value, Lease: op.Lease, ModRevision: m.revision}
			m.entries[op.Key] = e
			m.changes = append(m.changes, store.Change{Entry: e})
		case store.Delete:
			delete(m.entries, op.Key)
		default:
		}
	}
	if m.loseAnswers {
		return store.TxnResult{}, &store.OutcomeUnknownError{Op: "txn", Cause: errNoAnswer}
	}
	return store.TxnResult{Committed: true, Revision: m.revision}, nil
}

func (c client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := c.checkReachable(ctx, "grant"); err != nil {
		return 0, err
	}
	m := c.m
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	id := store.LeaseID(m.revision)
	m.leases[id], m.ttl[id] = time.Now().Add(ttl), ttl
	return id, nil
}

func (c client) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if err := c.checkReachable(ctx, "keep"); err != nil {
		return 0, err
	}
	m := c.m
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	if _, alive := m.leases[id]; !alive {
		return 0, nil
	}
	m.leases[id] = time.Now().Add(m.ttl[id])
	return m.ttl[id], nil
}

func (c client) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := c.checkReachable(ctx, "revoke"); err != nil {
		return err
	}
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.m.removeLease(id)
	return nil
}

func (c client) Watch(ctx context.Context, prefix string, after store.Revision, observe func(store.Revision, []store.Change)) error {
	for ctx.Err() == nil {
		if err := c.checkReachable(ctx, "watch"); err != nil {
			return err
		}
		c.m.mu.Lock()
		c.m.expireLeases()
		var found []store.Change
		for _, change := range c.m.changes {
			if change.Entry.ModRevision > after && strings.HasPrefix(change.Entry.Key, prefix) {
				found = append(found, change)
			}
		}
		c.m.mu.Unlock()
		if len(found) > 0 {
			after = found[len(found)-1].Entry.ModRevision
			observe(after, found)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return ctx.Err()
}
