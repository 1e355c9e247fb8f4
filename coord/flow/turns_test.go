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

// Guards against jobs past three times their objective that wait for as long as any other one does (LOST): they had a fixed order, in
// which the same ones always came last.
func TestExpiredJobsTakeTurns(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	for n := range 4 {
		// Later jobs are smaller, so that they came first.
		h.step(flow.Submitted{Job: singleStepJob(fmt.Sprintf("j%d", n), smallStep(20-n))})
		h.advance(100 * time.Millisecond)
	}
	h.advance(12 * time.Second)
	begun := make(map[fleet.JobID]bool)
	ends := int64(0)
	var running []infra.StartOrder
	for range 4 {
		var ended []infra.EndedRun
		for _, o := range running {
			ends++
			ended = append(ended, infra.EndedRun{Number: ends, Task: o.Task, Run: o.Run, Outcome: infra.OutcomeDone})
		}
		h.report("a", infra.Report{Ended: ended})
		h.advance(200 * time.Millisecond)
		running = nil
		starts := h.starts()
		h.answer(starts)
		for _, s := range starts {
			running = append(running, s.Order)
			begun[s.Order.Task.Job] = true
		}
		assert.Equal(t, len(running), 10)
		assert.Assert(t, begun["j0"], "the job that has waited for longest comes first")
	}
	assert.Equal(t, len(begun), 4, "%v", begun)
}
