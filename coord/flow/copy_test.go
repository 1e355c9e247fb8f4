package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// A start without an answer is told from one that did not happen by a report at once and a stop, instead of waiting until
// the start can no longer happen, which costs urgent tasks their objective.
func TestLostStartIsSettledEarly(t *testing.T) {
	b := newBench(t, flow.Restored{}, poolWorker("a"), poolWorker("b"))
	b.report("a", infra.Report{})
	b.report("b", infra.Report{})
	b.step(flow.Submitted{Job: oneStep("j", small(1))})
	b.pass(25 * time.Millisecond)
	starts := b.starts()
	assert.Equal(t, len(starts), 1)
	first := starts[0]
	began := b.now
	b.pass(400 * time.Millisecond)
	b.step(flow.StartAnswered{Worker: first.To.Worker, Order: first.Order, Err: &infra.NoAnswerError{Worker: first.To.Worker}})
	b.pass(25 * time.Millisecond)
	b.report(first.To.Worker, infra.Report{})
	stops := b.stops()
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, first.Order.Run)
	b.pass(25 * time.Millisecond)
	assert.Equal(t, len(b.starts()), 0, "the start may still happen until the stop is answered")
	b.step(flow.StopAnswered{Worker: first.To.Worker, Order: stops[0], Clock: b.now.UnixMilli()})
	b.pass(25 * time.Millisecond)
	b.report(first.To.Worker, infra.Report{})
	b.pass(25 * time.Millisecond)
	starts = b.starts()
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].To.Worker != first.To.Worker)
	assert.Assert(t, b.now.Sub(began) < time.Second)
}

// A speculative task gets a copy elsewhere when its start has no answer, and the copy is stopped when the first run is done.
func TestSpeculativeTaskIsCopied(t *testing.T) {
	b := newBench(t, flow.Restored{}, poolWorker("a"), poolWorker("b"))
	b.report("a", infra.Report{})
	b.report("b", infra.Report{})
	s := small(1)
	s.Speculative = true
	b.step(flow.Submitted{Job: oneStep("j", s)})
	b.pass(25 * time.Millisecond)
	starts := b.starts()
	assert.Equal(t, len(starts), 1)
	first := starts[0]
	b.step(flow.StartAnswered{Worker: first.To.Worker, Order: first.Order, Err: &infra.NoAnswerError{Worker: first.To.Worker}})
	starts = b.starts()
	assert.Equal(t, len(starts), 1)
	second := starts[0]
	assert.Assert(t, second.To.Worker != first.To.Worker)
	assert.Assert(t, second.Order.Run > first.Order.Run)
	b.step(flow.StartAnswered{Worker: second.To.Worker, Order: second.Order, Clock: b.now.UnixMilli()})
	b.pass(25 * time.Millisecond)
	b.report(first.To.Worker, infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: first.Order.Task, Run: first.Order.Run, Outcome: infra.OutcomeDone}}})
	stops := b.stops()
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Run, second.Order.Run)
	b.pass(100 * time.Millisecond)
	assert.Equal(t, len(b.starts()), 0)
}
