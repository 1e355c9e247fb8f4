package flow_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// newFleetHarness returns a scheduler with a number of workers that have reported.
func newFleetHarness(t *testing.T, size int) *harness {
	workers := make([]infra.Worker, size)
	for i := range workers {
		workers[i] = newPoolWorker(fmt.Sprintf("w%03d", i))
	}
	h := newHarness(t, flow.Restored{}, workers...)
	for _, w := range workers {
		h.report(w.ID, infra.Report{})
	}
	return h
}

// Guards against a placement that considers all workers again for each task of a step. On 490 workers that took most of
// the scheduler's processor time, so that quick jobs were late (SHORT).
func TestWideStepExaminesWorkersOnce(t *testing.T) {
	const size = 490
	h := newFleetHarness(t, size)
	h.step(flow.Submitted{Job: singleStepJob("wide", smallStep(40))})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, h.m.Counts().Starts, int64(40))
	assert.Assert(t, h.m.Counts().Examined <= size+40, "%d workers were examined", h.m.Counts().Examined)
}

// Guards against rounds of placement that look for room on a full fleet, worker by worker, for each size and image of the
// waiting tasks. Such rounds run a hundred times a second.
func TestFullFleetIsNotSearched(t *testing.T) {
	const size = 100
	h := newFleetHarness(t, size)
	h.step(flow.Submitted{Job: singleStepJob("full", lastingStep(size, 9000))})
	h.advance(20 * time.Millisecond)
	assert.Equal(t, h.m.Counts().Starts, int64(size))
	for n := range 30 {
		s := smallStep(10)
		s.Size.MilliCPU = 8000 - int64(100*n)
		s.Filler, s.Image = n%2 == 0, fmt.Sprintf("image%d", n)
		h.step(flow.Submitted{Job: singleStepJob(fmt.Sprintf("j%d", n), s)})
	}
	h.advance(20 * time.Millisecond)
	before := h.m.Counts().Examined
	for range 10 {
		h.advance(100 * time.Millisecond)
	}
	assert.Equal(t, h.m.Counts().Starts, int64(size))
	assert.Assert(t, h.m.Counts().Examined == before, "%d workers were examined", h.m.Counts().Examined-before)
}
