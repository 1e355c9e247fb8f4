package leader_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/entryd/leader"
)

// format is a store format in which only the waves are implemented.
type format struct{}

func (format) CatalogKey() string    { return "catalog" }
func (format) WorkersPrefix() string { return "workers/" }
func (format) WavesPrefix() string   { return "waves/" }

func (format) Catalog([]byte) (*infra.Catalog, error) { return &infra.Catalog{Version: 1}, nil }

func (format) Worker(key string, _ []byte) (infra.Worker, error) {
	return infra.Worker{}, fmt.Errorf("%s names no worker", key)
}

func (format) Wave(_ string, value []byte) (infra.Wave, error) {
	w := infra.Wave{Number: 1, MaxDown: 1, Duration: 10 * time.Second}
	for _, id := range strings.Split(string(value), ",") {
		w.Machines = append(w.Machines, infra.MachineID(id))
	}
	return w, nil
}

func (format) WaveStatus(_ int64, completed bool) (string, []byte) {
	return "wave-status", []byte(fmt.Sprint(completed))
}

// fakeMachines is a machine service whose machines are down for 300 ms after their order.
type fakeMachines struct {
	mu      sync.Mutex
	ids     []infra.MachineID
	upAt    map[infra.MachineID]time.Time
	maxDown int
	orders  []infra.LeaseHolder
	// listTime is how long the pages of the list take.
	listTime time.Duration
}

func (f *fakeMachines) List(ctx context.Context) ([]infra.Machine, error) {
	select {
	case <-time.After(f.listTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []infra.Machine
	for _, id := range f.ids {
		down := time.Now().Before(f.upAt[id])
		all = append(all, infra.Machine{ID: id, Worker: fleet.WorkerID(id), Up: !down, InMaintenance: down})
	}
	return all, nil
}

func (f *fakeMachines) StartMaintenance(_ context.Context, id infra.MachineID, _ int64, holder infra.LeaseHolder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, holder)
	if _, had := f.upAt[id]; had {
		return nil
	}
	count := 0
	for _, at := range f.upAt {
		if time.Now().Before(at) {
			count++
		}
	}
	f.maxDown = max(f.maxDown, count+1)
	f.upAt[id] = time.Now().Add(300 * time.Millisecond)
	return nil
}

// A replacement of the scheduler in the middle of a wave must not stop the wave, take down more machines at once than
// the cap, or leave the status that the operator reads uncompleted.
func TestWaveSurvivesTakeover(t *testing.T) {
	m := newMemStore()
	h := &fakeMachines{ids: []infra.MachineID{"m1", "m2", "m3"}, upAt: make(map[infra.MachineID]time.Time)}
	first := runWithMachines(t, m, h, "a")
	_, err := client{m, "operator"}.Txn(t.Context(), store.Txn{Then: []store.Op{store.Put{Key: "waves/1", Value: []byte("m1,m2,m3")}}})
	assert.NilError(t, err)
	waitFor(t, "first order", func() bool { h.mu.Lock(); defer h.mu.Unlock(); return len(h.orders) > 0 })
	runWithMachines(t, m, h, "b")
	first.Resign()
	waitFor(t, "end of the wave", func() bool {
		found, err := client{m, "operator"}.Range(t.Context(), store.Get{Key: "wave-status"})
		assert.NilError(t, err)
		return len(found.Entries) == 1 && string(found.Entries[0].Value) == "true"
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	assert.Equal(t, len(h.upAt), 3)
	assert.Equal(t, h.maxDown, 1, "more machines down at once than the cap")
	assert.Equal(t, string(h.orders[len(h.orders)-1].EntryHost), "b")
}

// runWithMachines runs a process that can be elected as the scheduler of a machine service.
func runWithMachines(t *testing.T, m *memStore, machines infra.Machines, name string) *leader.Group {
	log := slog.New(slog.DiscardHandler)
	s := leader.NewScheduler(leader.Deps{
		Store: client{m, name}, Machines: machines, Format: format{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second}, Log: log, Decisions: log,
		Metrics:   metrics.NewRegistry(),
		Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, true },
	})
	g := leader.NewGroup(fleet.EntryHostID(name), name+":1", client{m, name}, log, s.Run,
		func(fleet.EntryHostID, string) {}, func(leader.Leader) {})
	runGroup(t, g)
	return g
}

// Guards against a time limit on the whole list of machines. The pages of 490 machines of a slow service take longer than
// the 2 s after which each list was given up, so that no machine was taken down in time.
func TestListOfMachinesMayTakeLong(t *testing.T) {
	m := newMemStore()
	machines := &fakeMachines{ids: []infra.MachineID{"m1"}, upAt: make(map[infra.MachineID]time.Time), listTime: 2300 * time.Millisecond}
	runWithMachines(t, m, machines, "a")
	_, err := client{m, "operator"}.Txn(t.Context(), store.Txn{Then: []store.Op{store.Put{Key: "waves/1", Value: []byte("m1")}}})
	assert.NilError(t, err)
	waitFor(t, "order", func() bool { machines.mu.Lock(); defer machines.mu.Unlock(); return len(machines.orders) > 0 })
}

func waitFor(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !reached(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within 20 s", what)
		}
	}
}
