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

// format is a store format of which only waves are used.
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

// hangar lists machines that are down for a while after their order.
type hangar struct {
	mu     sync.Mutex
	ids    []infra.MachineID
	upAt   map[infra.MachineID]time.Time
	down   int
	orders []infra.LeaseHolder
}

func (h *hangar) List(context.Context) ([]infra.Machine, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []infra.Machine
	for _, id := range h.ids {
		resting := time.Now().Before(h.upAt[id])
		all = append(all, infra.Machine{ID: id, Worker: fleet.WorkerID(id), Up: !resting, InMaintenance: resting})
	}
	return all, nil
}

func (h *hangar) StartMaintenance(_ context.Context, id infra.MachineID, _ int64, holder infra.LeaseHolder) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.orders = append(h.orders, holder)
	if _, had := h.upAt[id]; had {
		return nil
	}
	count := 0
	for _, at := range h.upAt {
		if time.Now().Before(at) {
			count++
		}
	}
	h.down = max(h.down, count+1)
	h.upAt[id] = time.Now().Add(300 * time.Millisecond)
	return nil
}

// A wave that the operator writes is carried out by the scheduler, one machine after the other, and the operator reads that
// it is completed, also when the scheduler is replaced in the middle.
func TestWaveIsCarriedOut(t *testing.T) {
	m := newMemory()
	h := &hangar{ids: []infra.MachineID{"m1", "m2", "m3"}, upAt: make(map[infra.MachineID]time.Time)}
	log := slog.New(slog.DiscardHandler)
	run := func(name string) *leader.Group {
		s := leader.NewScheduler(leader.Deps{
			Store: client{m, name}, Machines: h, Format: format{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second}, Log: log, Decisions: log,
			Metrics: metrics.NewRegistry(),
			Supersede:    func(context.Context, fleet.EntryHostID, infra.Token) bool { return true },
		})
		g := leader.NewGroup(fleet.EntryHostID(name), name+":1", client{m, name}, log, s.Run,
			func(fleet.EntryHostID, string) {}, func(leader.Leader) {})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			g.Run(ctx)
		}()
		t.Cleanup(func() { cancel(); <-done })
		return g
	}
	first := run("a")
	_, err := client{m, "operator"}.Txn(t.Context(), store.Txn{Then: []store.Op{store.Put{Key: "waves/1", Value: []byte("m1,m2,m3")}}})
	assert.NilError(t, err)
	until(t, "first order", func() bool { h.mu.Lock(); defer h.mu.Unlock(); return len(h.orders) > 0 })
	run("b")
	first.Resign()
	until(t, "end of the wave", func() bool {
		found, err := client{m, "operator"}.Range(t.Context(), store.Get{Key: "wave-status"})
		assert.NilError(t, err)
		return len(found.Entries) == 1 && string(found.Entries[0].Value) == "true"
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	assert.Equal(t, len(h.upAt), 3)
	assert.Equal(t, h.down, 1, "no more than the cap may be down at once")
	assert.Equal(t, string(h.orders[len(h.orders)-1].EntryHost), "b")
}

func until(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !reached(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within 20 s", what)
		}
	}
}
