package leader_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"lovagefork.example/coord/store"
)

// memory is a store with leases in memory; its faults are set by tests.
type memory struct {
	mu       sync.Mutex
	revision store.Revision
	entries  map[string]store.Entry
	leases   map[store.LeaseID]time.Time
	ttl      map[store.LeaseID]time.Duration
	changes  []store.Change
	// silent clients get no answer.
	silent map[string]bool
	// loseAnswers lets transactions take effect without an answer.
	loseAnswers bool
}

func newMemory() *memory {
	return &memory{
		entries: make(map[string]store.Entry), leases: make(map[store.LeaseID]time.Time), ttl: make(map[store.LeaseID]time.Duration),
		silent: make(map[string]bool),
	}
}

// client is the store as one process sees it.
type client struct {
	m    *memory
	name string
}

var errSilent = errors.New("silent")

func (c client) reach(ctx context.Context, op string) error {
	c.m.mu.Lock()
	silent := c.m.silent[c.name]
	c.m.mu.Unlock()
	if silent {
		<-ctx.Done()
		return &store.OutcomeUnknownError{Op: op, Cause: errSilent}
	}
	return nil
}

// lapse removes the keys of leases that have ended; the caller holds the lock.
func (m *memory) lapse() {
	for id, until := range m.leases {
		if time.Now().After(until) {
			m.endLease(id)
		}
	}
}

func (m *memory) endLease(id store.LeaseID) {
	delete(m.leases, id)
	for key, e := range m.entries {
		if e.Lease == id {
			m.remove(key)
		}
	}
}

func (m *memory) remove(key string) {
	delete(m.entries, key)
	m.revision++
	m.changes = append(m.changes, store.Change{Entry: store.Entry{Key: key, ModRevision: m.revision}, Deleted: true})
}

func (c client) Range(ctx context.Context, get store.Get) (store.RangeResult, error) {
	if err := c.reach(ctx, "range"); err != nil {
		return store.RangeResult{}, err
	}
	m := c.m
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse()
	out := store.RangeResult{Revision: m.revision}
	for key, e := range m.entries {
		if key == get.Key || get.Prefix && strings.HasPrefix(key, get.Key) {
			out.Entries = append(out.Entries, e)
		}
	}
	return out, nil
}

func (c client) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if err := c.reach(ctx, "txn"); err != nil {
		return store.TxnResult{}, err
	}
	m := c.m
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse()
	var current []store.Entry
	holds := true
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
		holds = holds && e.ModRevision == want
	}
	if !holds {
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
		return store.TxnResult{}, &store.OutcomeUnknownError{Op: "txn", Cause: errSilent}
	}
	return store.TxnResult{Committed: true, Revision: m.revision}, nil
}

func (c client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := c.reach(ctx, "grant"); err != nil {
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
	if err := c.reach(ctx, "keep"); err != nil {
		return 0, err
	}
	m := c.m
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapse()
	if _, alive := m.leases[id]; !alive {
		return 0, nil
	}
	m.leases[id] = time.Now().Add(m.ttl[id])
	return m.ttl[id], nil
}

func (c client) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := c.reach(ctx, "revoke"); err != nil {
		return err
	}
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.m.endLease(id)
	return nil
}

func (c client) Watch(ctx context.Context, prefix string, after store.Revision, observe func(store.Revision, []store.Change)) error {
	for ctx.Err() == nil {
		if err := c.reach(ctx, "watch"); err != nil {
			return err
		}
		c.m.mu.Lock()
		c.m.lapse()
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
