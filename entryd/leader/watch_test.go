package leader_test

import (
	"context"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/entryd/leader"
)

// capacityFormat decodes registrations that consist of a capacity in thousandths of a core.
type capacityFormat struct{ format }

func (capacityFormat) Worker(key string, value []byte) (infra.Worker, error) {
	cpu, err := strconv.ParseInt(string(value), 10, 64)
	id := key[len("workers/"):]
	return infra.Worker{ID: fleet.WorkerID(id), Address: id + ":1", Capacity: fleet.Resources{MilliCPU: cpu}}, err
}

// unreachableAgents rejects all orders.
type unreachableAgents struct{ infra.Agents }

func (unreachableAgents) Renew(_ context.Context, to infra.AgentAddress, _ infra.RenewOrder) (infra.Report, error) {
	return infra.Report{}, &infra.NotSentError{Worker: to.Worker}
}

// pagedClient returns the revision from before the last change with each read, like a read in several pages, and lets a
// watch repeat only the first change of a worker.
type pagedClient struct {
	client
	repeated chan struct{}
}

func (c pagedClient) Range(ctx context.Context, get store.Get) (store.RangeResult, error) {
	found, err := c.client.Range(ctx, get)
	if get.Key == "workers/" {
		found.Revision = 0
	}
	return found, err
}

func (c pagedClient) Watch(ctx context.Context, prefix string, after store.Revision, observe func(store.Revision, []store.Change)) error {
	if prefix != "workers/" {
		return c.client.Watch(ctx, prefix, after, observe)
	}
	observe(1, []store.Change{{Entry: store.Entry{Key: "workers/w", Value: []byte("8000"), ModRevision: 1}}})
	close(c.repeated)
	<-ctx.Done()
	return ctx.Err()
}

// A read of the registrations in several pages is followed by a watch from the revision of the first page. A change that
// the watch repeated undid a newer one that a later page had shown, so that a worker that had shrunk was overcommitted.
func TestRepeatedChangeDoesNotUndoNewerOne(t *testing.T) {
	m := newMemStore()
	for _, capacity := range []string{"8000", "2000"} {
		_, err := client{m, "w"}.Txn(t.Context(), store.Txn{Then: []store.Op{store.Put{Key: "workers/w", Value: []byte(capacity)}}})
		assert.NilError(t, err)
	}
	log := slog.New(slog.DiscardHandler)
	paged := pagedClient{client: client{m, "a"}, repeated: make(chan struct{})}
	s := leader.NewScheduler(leader.Deps{
		Store: paged, Agents: unreachableAgents{}, Format: capacityFormat{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second},
		Log: log, Decisions: log, Metrics: metrics.NewRegistry(),
		Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, true },
	})
	g := leader.NewGroup("a", "a:1", client{m, "a"}, log, s.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {})
	runGroup(t, g)
	receive(t, "repeated change", paged.repeated)
	// The events of the watch are handled before the next ticks.
	time.Sleep(100 * time.Millisecond)
	var workers []flow.WorkerView
	assert.Assert(t, s.Query(t.Context(), func(m *flow.Machine) { workers = m.Workers() }))
	assert.Equal(t, len(workers), 1)
	assert.Equal(t, workers[0].Capacity.MilliCPU, int64(2000))
}
