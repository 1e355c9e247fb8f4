package stats

import (
	"maps"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Transfer counts calls and the bytes of their bodies in both directions.
type Transfer struct {
	Calls    int64
	Sent     int64
	Received int64
}

// Sub returns the difference to an earlier count.
func (t Transfer) Sub(earlier Transfer) Transfer {
	return Transfer{Calls: t.Calls - earlier.Calls, Sent: t.Sent - earlier.Sent, Received: t.Received - earlier.Received}
}

// Traffic counts transfers by the name of the call. A nil Traffic counts nothing.
type Traffic struct {
	mu     sync.Mutex
	byCall map[string]Transfer
	// registry holds a gauge for each count; nil before [Traffic.Register].
	registry metrics.Registry
}

// NewTraffic returns a count of no transfers.
func NewTraffic() *Traffic { return &Traffic{byCall: make(map[string]Transfer)} }

// Register adds the counts of all calls to a registry.
func (t *Traffic) Register(r metrics.Registry) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry = r
	for call := range t.byCall {
		t.register(call)
	}
}

func (t *Traffic) register(call string) {
	gauge := func(name string, value func(Transfer) int64) {
		t.registry.GetOrRegister("traffic."+call+"_"+name+".total", func() metrics.Gauge {
			return metrics.NewFunctionalGauge(func() int64 { return value(t.Totals()[call]) })
		})
	}
	gauge("calls", func(t Transfer) int64 { return t.Calls })
	gauge("sent_bytes", func(t Transfer) int64 { return t.Sent })
	gauge("received_bytes", func(t Transfer) int64 { return t.Received })
}

// Add counts a call.
func (t *Traffic) Add(call string, sent, received int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	total, isKnown := t.byCall[call]
	if !isKnown && t.registry != nil {
		t.register(call)
	}
	t.byCall[call] = Transfer{Calls: total.Calls + 1, Sent: total.Sent + int64(sent), Received: total.Received + int64(received)}
}

// Totals returns the counts by the name of the call.
func (t *Traffic) Totals() map[string]Transfer {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.byCall)
}
