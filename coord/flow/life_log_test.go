package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// logged returns the reasons of the log entries with a text since the last call.
func (h *harness) logged(text string) []string {
	var reasons []string
	for _, e := range h.effects {
		if l, ok := e.(flow.Log); ok && l.Text == text {
			reasons = append(reasons, l.Reason)
		}
	}
	h.effects = nil
	return reasons
}

// answerStart answers a start with a worker's clock.
func (h *harness) answerStart(s flow.Start, clock int64) {
	h.step(flow.StartAnswered{Worker: s.To.Worker, Order: s.Order, Clock: clock})
}

// The logs did not tell whether a start had reached the life of its worker that it was meant for.
func TestStartsThatReachOtherLivesAreReported(t *testing.T) {
	a := newPoolWorker("a")
	a.StartedAt = 5
	h := newHarness(t, flow.Restored{}, a)
	h.report("a", infra.Report{StartedAt: 5})
	h.step(flow.Submitted{Job: singleStepJob("job", smallStep(2))})
	h.advance(50 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 2)
	h.answerStart(starts[0], h.now.UnixMilli())
	h.answerStart(starts[1], 40)
	assert.Equal(t, len(h.logged("start reached another life")), 1)
	running := []infra.ActiveRun{{Task: starts[1].Order.Task, Run: starts[1].Order.Run}}
	for range 2 {
		h.report("a", infra.Report{StartedAt: 6, Running: running})
		h.advance(50 * time.Millisecond)
	}
	assert.DeepEqual(t, h.logged("worker restarted"), []string{
		"started at 6, before at 5; last report 50 ms ago; 0 of 2 runs were listed",
	})
	assert.Equal(t, h.m.Counts().OtherLife, int64(2))
}

// Ends that a call for a former life of their worker had acknowledged were not missed by anyone.
func TestMissingEndsAreReported(t *testing.T) {
	a := newPoolWorker("a")
	a.StartedAt = 5
	h := newHarness(t, flow.Restored{}, a)
	end := func(n int64) infra.EndedRun {
		return infra.EndedRun{Number: n, Task: infra.TaskID{Job: fleet.JobID("job")}, Run: 1, Outcome: infra.OutcomeDone}
	}
	// A predecessor may have acknowledged the ends before it.
	h.report("a", infra.Report{StartedAt: 5, Ended: []infra.EndedRun{end(7)}})
	assert.Equal(t, h.m.Counts().MissingEnds, int64(0))
	h.report("a", infra.Report{StartedAt: 6})
	h.advance(50 * time.Millisecond)
	h.report("a", infra.Report{StartedAt: 6, Ended: []infra.EndedRun{end(4)}})
	assert.Equal(t, h.m.Counts().MissingEnds, int64(3))
}
