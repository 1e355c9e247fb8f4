package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// Guards against a lost stop after a worker's restart. The start before the restart had no answer and can still be carried
// out by the new incarnation up to 12 s later, while the task runs elsewhere (rule TWICE).
func TestStopOfLateStartIsRepeated(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"))
	h.report("a", infra.Report{})
	step := smallStep(1)
	step.Size.MilliCPU = 9000
	h.step(flow.Submitted{Job: singleStepJob("job", step)})
	h.advance(50 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 1)
	lost := starts[0].Order
	h.step(flow.StartAnswered{Worker: "a", Order: lost, Err: &infra.NoAnswerError{Worker: "a"}})
	h.refuse("a")
	// A suspect of a crash starts after a report that was requested for it.
	for range 8 {
		h.report("b", infra.Report{})
		h.advance(25 * time.Millisecond)
	}
	elsewhere := h.starts()
	assert.Equal(t, len(elsewhere), 1)
	assert.Equal(t, elsewhere[0].To.Worker, fleet.WorkerID("b"))
	// The worker is back under its ID, and no stop is answered.
	h.stops()
	h.report("a", infra.Report{})
	count := func(d time.Duration) int {
		h.advance(d)
		n := 0
		for _, s := range h.stops() {
			if s.Task == lost.Task && s.Run == lost.Run {
				n++
			}
		}
		return n
	}
	assert.Assert(t, count(2*time.Second) >= 4, "a stop without an answer was not repeated")
	h.step(flow.StopAnswered{Worker: "a", Order: infra.StopOrder{Task: lost.Task, Run: lost.Run}, Clock: h.now.UnixMilli()})
	assert.Equal(t, count(2*time.Second), 0)
	// Another incarnation has not seen the stop.
	h.refuse("a")
	h.report("a", infra.Report{})
	assert.Assert(t, count(time.Second) > 0)
	count(13 * time.Second)
	assert.Equal(t, count(5*time.Second), 0, "stops go on after the start can no longer be carried out")
}

// Guards against a start that the new incarnation of a worker has carried out before it accepts the stop. The task was
// started elsewhere at once, while the run was still being stopped.
func TestStartCarriedOutByNewIncarnationIsStoppedFirst(t *testing.T) {
	a := newPoolWorker("a")
	a.StartedAt = 5
	h := newHarness(t, flow.Restored{}, a, newPoolWorker("b"))
	h.report("a", infra.Report{StartedAt: 5})
	h.step(flow.Submitted{Job: singleStepJob("job", smallStep(1))})
	h.advance(50 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 1)
	lost := starts[0].Order
	h.report("b", infra.Report{})
	h.report("a", infra.Report{StartedAt: 6})
	h.advance(50 * time.Millisecond)
	h.report("a", infra.Report{StartedAt: 6})
	h.advance(50 * time.Millisecond)
	assert.Assert(t, len(h.stops()) > 0)
	h.step(flow.StopAnswered{Worker: "a", Order: infra.StopOrder{Task: lost.Task, Run: lost.Run}, Clock: h.now.UnixMilli()})
	for range 10 {
		h.report("b", infra.Report{})
		h.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(h.starts()), 0)
	h.report("a", infra.Report{StartedAt: 6, Running: []infra.ActiveRun{{Task: lost.Task, Run: lost.Run}}})
	h.report("b", infra.Report{})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	h.report("a", infra.Report{StartedAt: 6, Ended: []infra.EndedRun{{Number: 1, Task: lost.Task, Run: lost.Run, Outcome: infra.OutcomeStopped}}})
	for range 10 {
		h.report("b", infra.Report{})
		h.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(h.starts()), 1)
}

// A worker of a predecessor that had crashed was called every 2 s once the leases had expired. If it restarted under its ID, it
// could carry out a late start of the predecessor before it had seen the token, while the task ran elsewhere (TWICE).
func TestCrashedWorkerOfPredecessorIsCalledWhileStartsMayBeLate(t *testing.T) {
	h := newHarness(t, flow.Restored{
		Term: 1, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1", RenewedBefore: 1}},
	}, newPoolWorker("a"))
	refuse := func() {
		h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: &infra.NotSentError{Worker: "a", ConnRefused: true}})
		h.advance(250 * time.Millisecond)
	}
	for h.m.AwaitedWorkers() > 0 {
		refuse()
	}
	// Several failures later the pause of an unknown worker would be at its longest.
	h.advance(2 * time.Second)
	h.effects = nil
	for range 4 {
		refuse()
	}
	calls := 0
	for _, e := range h.effects {
		if _, ok := e.(flow.Renew); ok {
			calls++
		}
	}
	assert.Equal(t, calls, 4)
}
