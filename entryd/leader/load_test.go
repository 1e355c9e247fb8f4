package leader_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/entryd/leader"
	"lovagefork.example/entryd/stats"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// find returns the first line with a message.
func (b *logBuffer) find(t *testing.T, message string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range bytes.Lines(b.text.Bytes()) {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal(line, &fields))
		if fields["msg"] == message {
			return fields
		}
	}
	return nil
}

// Guards against a scheduler whose host is too small, or whose event loop is held up by single steps, without a trace in
// logs and metrics (SHORT). Both look like late jobs.
func TestLoadOfEventLoopIsReported(t *testing.T) {
	lines, registry := &logBuffer{}, metrics.NewRegistry()
	log := slog.New(slog.NewJSONHandler(lines, nil))
	m, traffic := newMemStore(), stats.NewTraffic()
	s := leader.NewScheduler(leader.Deps{
		Store: client{m, "a"}, Agents: unreachableAgents{}, Format: format{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second},
		Log: log, Decisions: log, Metrics: registry, Traffic: traffic,
		Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, true },
	})
	g := leader.NewGroup("a", "a:1", client{m, "a"}, log, s.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {})
	runGroup(t, g)
	waitFor(t, "election", func() bool { return lines.find(t, "scheduler: state read") != nil })
	traffic.Add("start", 2400, 20)
	waitFor(t, "line about the load", func() bool { return lines.find(t, "scheduler: load") != nil })
	load := lines.find(t, "scheduler: load")
	for _, field := range []string{"over_ms", "processor_ms", "queued", "longest_wait_ms", "longest_transit_ms", "examined_workers"} {
		_, found := load[field].(float64)
		assert.Assert(t, found, field)
	}
	for _, activity := range []string{"report", "answer", "input", "tick", "query", "orders"} {
		of, found := load[activity].(map[string]any)
		assert.Assert(t, found, activity)
		assert.Equal(t, len(of), 3, "count, ms and longest_ms of %s", activity)
		assert.Assert(t, registry.Get("scheduler.loop_"+activity+"_ms.total") != nil, activity)
	}
	starts, found := load["traffic_start"].(map[string]any)
	assert.Assert(t, found && starts["sent_bytes"] == 2400.0 && starts["received_bytes"] == 20.0, "%v", load)
	ticks := load["tick"].(map[string]any)["count"].(float64)
	assert.Assert(t, ticks > 0)
}
