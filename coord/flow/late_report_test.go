package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// A report that takes long on a full link says what the worker's clock was before that. The deadlines of starts and leases counted
// from it as if it had just been read, so that starts came too late for the worker and leases lost that time, although an earlier
// report had told the clock better.
func TestLateReportDoesNotSetTheClockBack(t *testing.T) {
	for _, transit := range []time.Duration{100 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond} {
		h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
		h.report("a", infra.Report{})
		h.advance(25 * time.Millisecond)
		h.report("a", infra.Report{})
		read := h.now.Add(25 * time.Millisecond).UnixMilli()
		h.advance(25*time.Millisecond + transit)
		h.effects = nil
		h.step(flow.RenewAnswered{Worker: "a", Sequence: h.seq[fleet.WorkerID("a")], Report: infra.Report{Clock: read}})
		deadline := h.lastDeadline("a")
		h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
		h.advance(25 * time.Millisecond)
		starts := h.starts()
		assert.Equal(t, len(starts), 1)
		left := time.UnixMilli(starts[0].Order.Deadline).Sub(h.now)
		lease := time.UnixMilli(deadline).Sub(h.now)
		t.Logf("report on its way for %v: the start may take %v, and the lease lasts %v", transit, left, lease)
		// The clock may be 2 % slower than the scheduler's.
		assert.Check(t, left >= 1400*time.Millisecond, "on its way for %v: the start may take %v", transit, left)
	}
}

// A start whose deadline counts from the better reading must not grant a longer lease than a renewal does, if the worker's clock has
// stood still since: a successor does not wait for it (TWICE).
func TestStartOnAClockThatStoodStillGrantsNoLongerLease(t *testing.T) {
	const lease = 6 * time.Second
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	still := h.now.UnixMilli()
	for range 100 {
		h.step(flow.RenewAnswered{Worker: "a", Sequence: h.seq["a"], Report: infra.Report{Clock: still}})
		h.advance(100 * time.Millisecond)
	}
	h.step(flow.RenewAnswered{Worker: "a", Sequence: h.seq["a"], Report: infra.Report{Clock: still}})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.advance(25 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Order.Deadline <= still+25+lease.Milliseconds(), "%d ms after the clock", starts[0].Order.Deadline-still)
}
