package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// An unanswered start is resolved by an immediate report and a stop. Waiting until the start can no longer be carried
// out would make urgent tasks miss their objective.
func TestUnansweredStartIsResolvedEarly(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"))
	h.report("a", infra.Report{})
	h.report("b", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.advance(25 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 1)
	first := starts[0]
	began := h.now
	h.advance(400 * time.Millisecond)
	h.step(flow.StartAnswered{Worker: first.To.Worker, Order: first.Order, Err: &infra.NoAnswerError{Worker: first.To.Worker}})
	h.advance(25 * time.Millisecond)
	h.report(first.To.Worker, infra.Report{})
	stops := h.stops()
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, first.Order.Run)
	h.advance(25 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0, "the start may still happen until the stop is answered")
	h.step(flow.StopAnswered{Worker: first.To.Worker, Order: stops[0], Clock: h.now.UnixMilli()})
	h.advance(25 * time.Millisecond)
	h.report(first.To.Worker, infra.Report{})
	h.advance(25 * time.Millisecond)
	starts = h.starts()
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].To.Worker != first.To.Worker)
	assert.Assert(t, h.now.Sub(began) < time.Second)
}

// A speculative task whose start is not answered gets a copy on another worker. When the first run completes, the copy
// is stopped.
func TestSpeculativeTaskIsCopied(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"))
	h.report("a", infra.Report{})
	h.report("b", infra.Report{})
	s := smallStep(1)
	s.Speculative = true
	h.step(flow.Submitted{Job: singleStepJob("j", s)})
	h.advance(25 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 1)
	first := starts[0]
	h.step(flow.StartAnswered{Worker: first.To.Worker, Order: first.Order, Err: &infra.NoAnswerError{Worker: first.To.Worker}})
	starts = h.starts()
	assert.Equal(t, len(starts), 1)
	second := starts[0]
	assert.Assert(t, second.To.Worker != first.To.Worker)
	assert.Assert(t, second.Order.Run > first.Order.Run)
	h.step(flow.StartAnswered{Worker: second.To.Worker, Order: second.Order, Clock: h.now.UnixMilli()})
	h.advance(25 * time.Millisecond)
	h.report(first.To.Worker, infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: first.Order.Task, Run: first.Order.Run, Outcome: infra.OutcomeDone}}})
	stops := h.stops()
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, second.Order.Run)
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
}

// The failure of a copy after another copy was done used up the attempts of the task, and its job was shown as failed.
func TestFailedCopyOfDoneTask(t *testing.T) {
	s := smallStep(2)
	s.Speculative = true
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("j", s)}}, Term: 1,
		Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}, {Worker: "b", Address: "b:1"}},
	}, newPoolWorker("a"), newPoolWorker("b"))
	ended := func(number int64, outcome infra.Outcome) infra.EndedRun {
		return infra.EndedRun{Number: number, Task: infra.TaskID{Job: "j"}, Run: infra.Run(number), Outcome: outcome}
	}
	h.report("a", infra.Report{Ended: []infra.EndedRun{ended(1, infra.OutcomeFailed), ended(2, infra.OutcomeFailed), ended(4, infra.OutcomeDone)}})
	h.report("b", infra.Report{Ended: []infra.EndedRun{ended(3, infra.OutcomeFailed)}})
	h.advance(100 * time.Millisecond)
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateRunning)
}
