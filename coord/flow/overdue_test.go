package flow_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// A long-running task that does not run although there seems to be room must be explained by the logs alone, without
// more than a few lines a second while many wait.
func TestLongWaitsAreReported(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	const jobs = 20
	for n := range jobs {
		h.step(flow.Submitted{Job: singleStepJob(fmt.Sprintf("j%02d", n), lastingStep(1, 20000))})
	}
	h.advance(3 * time.Second)
	assert.Equal(t, h.m.LongWaits(), 0)
	h.effects = nil
	h.advance(3 * time.Second)
	assert.Equal(t, h.m.LongWaits(), jobs)
	reports := 0
	for _, e := range h.effects {
		if e, ok := e.(flow.Log); ok && e.Text == "long-running tasks are waiting" {
			reports++
			assert.Assert(t, strings.Contains(e.Reason, "1 tasks"), e.Reason)
			assert.Assert(t, strings.Contains(e.Reason, "1 no room for its size"), e.Reason)
		}
	}
	assert.Assert(t, reports >= 4 && reports <= 12, "%d reports in 3 s", reports)
}
