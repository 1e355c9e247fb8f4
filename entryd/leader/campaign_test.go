package leader_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
	"lovagefork.example/entryd/leader"
)

// forgettingClient carries out a late write of the former leader, which removes the leaders before it from the record of its
// election, when the first campaign has read that record.
type forgettingClient struct {
	client
	once *sync.Once
}

// Grant implements [store.Client].
func (c forgettingClient) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if ttl == leaderTTL {
		c.once.Do(func() {
			c.m.mu.Lock()
			defer c.m.mu.Unlock()
			e := c.m.entries[termKey]
			c.m.revision++
			e.ModRevision = c.m.revision
			c.m.entries[termKey] = e
			c.m.changes = append(c.m.changes, store.Change{Entry: e})
		})
	}
	return c.client.Grant(ctx, ttl)
}

// leaderTTL is the lease time of a leader.
const leaderTTL = 1800 * time.Millisecond

// Guards against a group without a scheduler (LOST): a campaign that fails because the record of the last election has changed
// has no winner, so that no removal of a leader starts the next one.
func TestCampaignIsRepeatedIfOnlyTheRecordHasChanged(t *testing.T) {
	m := newMemStore()
	put(t, m, termKey, encode(t, map[string]any{"term": 3, "entry_host": "a"}))
	elected := make(chan leader.Leader, 9)
	var once sync.Once
	c := forgettingClient{client{m, "b"}, &once}
	runGroup(t, leader.NewGroup("b", "b:1", c, slog.New(slog.DiscardHandler), func(ctx context.Context, l *leader.Leadership) {
		elected <- l.Leader()
		<-ctx.Done()
	}, func(fleet.EntryHostID, string) {}, func(leader.Leader) {}))
	receive(t, "leadership of b", elected)
	// The fault did occur.
	once.Do(func() { t.Error("the record of the last election has not changed") })
}
