package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/flow"
)

// Guards against ranks that cost the whole occurrence for each of its ready steps. A tick took 5.2 s for a job of 7,000
// steps, so that the leases of all other runs lapsed.
func TestJobWithManySteps(t *testing.T) {
	const steps, ticks = 7000, 40
	h := newFleetHarness(t, 2)
	j := singleStepJob("wide", smallStep(1))
	for len(j.Steps) < steps {
		j.Steps = append(j.Steps, smallStep(1))
	}
	h.step(flow.Submitted{Job: j})
	before := h.m.Counts().Estimates
	h.advance(ticks * 25 * time.Millisecond)
	estimates := h.m.Counts().Estimates - before
	assert.Assert(t, estimates >= 1 && estimates <= ticks, "%d estimates in %d ticks", estimates, ticks)
}
