package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// An entry of another writer that looks like a worker was stored in the roster, so that each successor waited for it for
// 13 s before it started the tasks of its predecessor.
func TestWorkerThatNeverAnsweredIsNotInRoster(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("stranger"))
	h.report("a", infra.Report{})
	for range 8 {
		h.renewalFails("stranger")
		h.advance(500 * time.Millisecond)
		h.report("a", infra.Report{})
	}
	assert.DeepEqual(t, h.lastRoster(), []flow.RosterEntry{{Worker: "a", Address: "a:1"}})
}

// Entries of another writer that look like workers were called four times a second each.
func TestWorkerThatNeverAnsweredIsCalledRarely(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("stranger"))
	calls := int64(0)
	for range 400 {
		if h.seq["stranger"] > calls {
			calls = h.seq["stranger"]
			h.renewalFails("stranger")
		}
		h.advance(25 * time.Millisecond)
	}
	assert.Assert(t, calls >= 5 && calls <= 9, "%d calls in 10 s", calls)
}
