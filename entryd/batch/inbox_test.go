package batch_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/store"
)

// Watch implements [store.Client]. Once holdInbox is set, it passes one more change of the inbox on and holds the next ones.
func (s gatedStore) Watch(ctx context.Context, prefix string, after store.Revision, observe func(store.Revision, []store.Change)) error {
	if prefix != "inbox/" {
		return s.fakeStore.Watch(ctx, prefix, after, observe)
	}
	return s.fakeStore.Watch(ctx, prefix, after, func(r store.Revision, changes []store.Change) {
		for s.process.isInboxHeld() && ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
		}
		observe(r, changes)
		s.process.set(func(p *process) { p.inboxHeld = p.holdInbox })
	})
}

func (p *process) isInboxHeld() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inboxHeld
}

// Guards against the loss of a job that has moved away and back (LOST), while the watch of the inbox lags and still shows the
// entry with which it had come first. An entry that was received before must not stay in the store.
func TestInboxEntryBesideWatchThatLags(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster) {
		p := c.start("e1", "a")
		time.Sleep(5 * time.Second)
		key := jobs.InboxPrefix("a/0") + "j"
		put := func(moves int) {
			value, err := ledger.EncodeRecord(ledger.JobSubmitted{
				Spec:  ledger.Spec{Job: "j", Customer: "c", Class: fleet.Standard, Tasks: 1, MaxAttempts: 5},
				Moves: moves,
			})
			assert.NilError(t, err)
			_, err = c.store.Txn(t.Context(), store.Txn{Then: []store.Op{store.Put{Key: key, Value: value}}})
			assert.NilError(t, err)
		}
		isStored := func() bool {
			found, err := c.store.Range(t.Context(), store.Get{Key: key})
			assert.NilError(t, err)
			return len(found.Entries) > 0
		}
		p.set(func(p *process) { p.holdInbox = true })
		put(1)
		time.Sleep(2 * time.Second)
		assert.Assert(t, !isStored(), "the job was not received")
		put(3)
		time.Sleep(2 * time.Second)
		assert.Assert(t, isStored(), "the returned job was deleted")
		p.set(func(p *process) { p.holdInbox, p.inboxHeld = false, false })
		time.Sleep(2 * time.Second)
		assert.Assert(t, !isStored(), "the returned job was not received")
		put(1)
		time.Sleep(2 * time.Second)
		assert.Assert(t, !isStored(), "an entry that was received before is still stored")
	})
}
