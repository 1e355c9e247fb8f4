package leader_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/entryd/leader"
)

// put stores a value under a key of another writer.
func put(t *testing.T, m *memStore, key string, value []byte) {
	t.Helper()
	_, err := client{m, "writer"}.Txn(t.Context(), store.Txn{Then: []store.Op{store.Put{Key: key, Value: value}}})
	assert.NilError(t, err)
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	value, err := cbor.Marshal(v)
	assert.NilError(t, err)
	return value
}

// The entry of an entry host that runs no process made each leader hand over its leadership 8 s after its election, again
// and again, and an entry that names no host at all was dialled.
func TestOddHostEntries(t *testing.T) {
	for name, value := range map[string][]byte{
		"no such process": encode(t, map[string]any{"address": "z:1", "milli_cpu": 1000}),
		"port too large":  encode(t, map[string]any{"address": "z:70000", "milli_cpu": 1000}),
		"no address":      encode(t, map[string]any{"milli_cpu": 1000}),
		"number too large": encode(t, map[string]any{
			"address": "z:1", "milli_cpu": uint64(1) << 63,
		}),
		"larger than any host":        encode(t, map[string]any{"address": "z:1", "milli_cpu": int64(1) << 62}),
		"link larger than any host's": encode(t, map[string]any{"address": "z:1", "link_bits_per_second": int64(1) << 62}),
		"negative link":               encode(t, map[string]any{"address": "z:1", "link_bits_per_second": -1}),
		"nested":                      bytes.Repeat([]byte{0x81}, 100000),
		"no encoding":                 {0xff, 0xfe},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMemStore()
			put(t, m, "lovagefork/group/host/z", value)
			var p member
			p.elected, p.ended = make(chan leader.Leader, 9), make(chan string, 9)
			onElected := func(ctx context.Context, l *leader.Leadership) {
				p.elected <- l.Leader()
				<-ctx.Done()
				p.ended <- l.Reason()
			}
			dialled := make(chan string, 99)
			onHost := func(_ fleet.EntryHostID, address string) { dialled <- address }
			g := leader.NewGroup("a", "a:1", client{m, "a"}, slog.New(slog.DiscardHandler), onElected, onHost, func(leader.Leader) {},
				leader.WithCapacity(leader.Capacity{MilliCPU: 200}), leader.WithHandOver(directory{}.ask))
			runGroup(t, g)
			receive(t, "leadership", p.elected)
			select {
			case reason := <-p.ended:
				t.Fatalf("leadership ended: %s", reason)
			case <-time.After(10 * time.Second):
			}
			if name != "no such process" {
				assert.Equal(t, len(dialled), 0)
			}
		})
	}
}

// Guards against a scheduler that does not know the links of the hosts that it compares and sends to.
func TestHostsAreListedWithTheirCapacity(t *testing.T) {
	m := newMemStore()
	put(t, m, "lovagefork/group/host/x", encode(t, map[string]any{"address": "x:1"}))
	put(t, m, "lovagefork/group/host/y", encode(t, map[string]any{"address": "y:1", "milli_cpu": 192}))
	large := leader.Capacity{MilliCPU: 800, LinkBitsPerSecond: 200_000_000}
	startMember(t, m, "z", leader.WithCapacity(large))
	a := startMember(t, m, "a")
	waitFor(t, "three other hosts", func() bool { return len(a.group.Hosts()) == 3 })
	assert.DeepEqual(t, a.group.Hosts(), []leader.Host{{ID: "x"}, {ID: "y", Capacity: leader.Capacity{MilliCPU: 192}}, {ID: "z", Capacity: large}})
}

// strictFormat decodes registrations that consist of the address of a worker of a service.
type strictFormat struct{ format }

func (strictFormat) Worker(key string, value []byte) (infra.Worker, error) {
	id := strings.TrimPrefix(key, "workers/")
	if address := string(value); address == id+":1" {
		return infra.Worker{ID: fleet.WorkerID(id), Address: address, Service: "pool", Capacity: fleet.Resources{MilliCPU: 1000}, StartedAt: 1}, nil
	}
	return infra.Worker{}, errors.New("no worker")
}

// idleAgents answers all renewals with a report without runs.
type idleAgents struct{ infra.Agents }

func (idleAgents) Renew(ctx context.Context, _ infra.AgentAddress, o infra.RenewOrder) (infra.Report, error) {
	select {
	case <-ctx.Done():
		return infra.Report{}, ctx.Err()
	case <-time.After(min(o.Wait, 20*time.Millisecond)):
	}
	return infra.Report{Clock: time.Now().UnixMilli(), StartedAt: 1}, nil
}

// Odd entries among those of the workers, hundreds of them, large ones and one under the key of a live worker must neither
// keep the scheduler from following the list nor flood its log.
func TestOddWorkerEntries(t *testing.T) {
	m := newMemStore()
	put(t, m, "workers/a", []byte("a:1"))
	for i := range 300 {
		put(t, m, "workers/odd"+strconv.Itoa(i), bytes.Repeat([]byte("["), 10000))
	}
	log := &logBuffer{}
	logger := slog.New(slog.NewJSONHandler(log, nil))
	s := leader.NewScheduler(leader.Deps{
		Store: client{m, "a"}, Agents: idleAgents{}, Format: strictFormat{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second},
		Log: logger, Decisions: logger, Metrics: metrics.NewRegistry(),
		Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, true },
	})
	runGroup(t, leader.NewGroup("a", "a:1", client{m, "a"}, slog.New(slog.DiscardHandler), s.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {}))
	usable := func(id fleet.WorkerID) bool {
		found := false
		s.Query(t.Context(), func(m *flow.Machine) {
			for _, w := range m.Workers() {
				found = found || w.Worker == id && w.UnusableReason == ""
			}
		})
		return found
	}
	waitFor(t, "worker a", func() bool { return usable("a") })
	put(t, m, "workers/a", []byte("nowhere"))
	waitFor(t, "worker a no longer listed", func() bool { return !usable("a") })
	put(t, m, "workers/b", []byte("b:1"))
	put(t, m, "workers/a", []byte("a:1"))
	waitFor(t, "workers a and b", func() bool { return usable("a") && usable("b") })
	log.mu.Lock()
	defer log.mu.Unlock()
	lines := bytes.Count(log.text.Bytes(), []byte("cannot decode worker"))
	assert.Assert(t, lines > 0 && lines <= 301, "%d lines", lines)
}
