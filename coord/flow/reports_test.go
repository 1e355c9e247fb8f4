package flow_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// Guards against reports that fill the link after a change of the scheduler: nothing else arrived, and each report timed out with the
// others. All workers must still be asked in turn, also if most of them are silent.
func TestReportsOnTheirWayFitTheLink(t *testing.T) {
	var workers []infra.Worker
	for n := range 100 {
		workers = append(workers, newPoolWorker(fmt.Sprintf("w%03d", n)))
	}
	h := newHarnessOf(t, flow.New(7, flow.WithLink(1_000_000)), flow.Restored{}, workers...)
	// A tenth of a second of the link is 12,500 bytes: 6 reports of 2 KB, which are expected first, or 31 empty ones.
	asked := make(map[fleet.WorkerID]int)
	for _, r := range h.renewals() {
		asked[r.To.Worker]++
	}
	assert.Equal(t, len(asked), 6)
	h.step(flow.RenewFailed{Worker: "w000", Sequence: h.seq["w000"], Err: &infra.NoAnswerError{Worker: "w000"}})
	for range 240 {
		batch := h.renewals()
		assert.Assert(t, len(batch) <= 31, "%d reports at once", len(batch))
		for i, r := range batch {
			asked[r.To.Worker]++
			if i < len(batch)-1 {
				continue
			}
			h.step(flow.RenewAnswered{Worker: r.To.Worker, Sequence: r.Sequence, Order: r.Order, Report: infra.Report{Clock: h.now.UnixMilli()}})
		}
		h.advance(25 * time.Millisecond)
	}
	assert.Equal(t, len(asked), len(workers), "workers that were asked within 6 s")
}

// renewals returns the renewals since the last call.
func (h *harness) renewals() []flow.Renew {
	var renewals []flow.Renew
	for _, e := range h.effects {
		if r, ok := e.(flow.Renew); ok {
			renewals = append(renewals, r)
		}
	}
	h.effects = nil
	return renewals
}
