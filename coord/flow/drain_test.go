package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// Work that a draining worker will not finish is moved while there is room elsewhere; work that it will finish stays
// (work lost with workers that leave).
func TestDrainingWorkerIsEvacuated(t *testing.T) {
	b := newBench(t, flow.Restored{}, poolWorker("a"))
	b.report("a", infra.Report{})
	long := small(1)
	long.Estimate = 10 * time.Second
	b.step(flow.Submitted{Job: oneStep("long", long)})
	b.step(flow.Submitted{Job: oneStep("short", small(1))})
	b.pass(50 * time.Millisecond)
	assert.Equal(t, len(b.starts()), 2)
	listed := []infra.ActiveRun{
		{Task: infra.TaskID{Job: "long"}, Run: 1, Progress: 5}, {Task: infra.TaskID{Job: "short"}, Run: 1, Progress: 50},
	}
	b.report("a", infra.Report{Running: listed})
	leaving := poolWorker("a")
	leaving.Draining, leaving.Remaining = true, 3*time.Second
	b.step(flow.WorkerListed{Worker: leaving})
	b.pass(300 * time.Millisecond)
	assert.Equal(t, len(b.stops()), 0, "there is no room elsewhere")
	b.step(flow.WorkerListed{Worker: poolWorker("b")})
	b.pass(50 * time.Millisecond)
	b.report("b", infra.Report{})
	b.pass(300 * time.Millisecond)
	stops := b.stops()
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Task.Job, fleet.JobID("long"))
}

// No more tasks of a long-running step are moved from a draining worker at a time than may be missing (AVAIL).
func TestEvacuationKeepsEnoughTasksAtWork(t *testing.T) {
	b := newBench(t, flow.Restored{}, poolWorker("a"))
	b.report("a", infra.Report{})
	s := small(3)
	s.LongRunning, s.MaxUnavailable = true, 1
	b.step(flow.Submitted{Job: oneStep("j", s)})
	b.pass(50 * time.Millisecond)
	assert.Equal(t, len(b.starts()), 3)
	var listed []infra.ActiveRun
	for i := range 3 {
		listed = append(listed, infra.ActiveRun{Task: infra.TaskID{Job: "j", Index: i}, Run: 1, Progress: 100})
	}
	b.report("a", infra.Report{Running: listed})
	b.step(flow.WorkerListed{Worker: poolWorker("b")})
	leaving := poolWorker("a")
	leaving.Draining, leaving.Remaining = true, 5*time.Second
	b.step(flow.WorkerListed{Worker: leaving})
	b.pass(50 * time.Millisecond)
	b.report("b", infra.Report{})
	b.pass(300 * time.Millisecond)
	b.report("a", infra.Report{Running: listed})
	b.pass(100 * time.Millisecond)
	assert.Equal(t, len(b.stops()), 1)
}

// A worker whose machine is to be taken down takes nothing new, is reported empty only when its work has gone or its time
// is up, and even then not while that would end more tasks of a step than may be missing (AVAIL of an upkeep).
func TestVacate(t *testing.T) {
	vacated := func(b *bench) bool {
		for _, e := range b.out {
			if _, ok := e.(flow.Evacuated); ok {
				return true
			}
		}
		return false
	}
	t.Run("work goes on until its end", func(t *testing.T) {
		b := newBench(t, flow.Restored{}, poolWorker("a"))
		b.report("a", infra.Report{})
		b.step(flow.Submitted{Job: oneStep("j", small(1))})
		b.pass(50 * time.Millisecond)
		b.report("a", infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: 50}}})
		b.out = nil
		b.step(flow.Cordon{Worker: "a", By: b.now.Add(3 * time.Second)})
		b.step(flow.Submitted{Job: oneStep("k", small(1))})
		b.pass(300 * time.Millisecond)
		assert.Assert(t, !vacated(b))
		assert.Equal(t, len(b.starts()), 0)
		b.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: infra.TaskID{Job: "j"}, Run: 1, Outcome: infra.OutcomeDone}}})
		b.pass(300 * time.Millisecond)
		assert.Assert(t, vacated(b))
		b.step(flow.Uncordon{Worker: "a"})
		b.pass(100 * time.Millisecond)
		assert.Equal(t, len(b.starts()), 1)
	})
	t.Run("tasks that may not miss stay", func(t *testing.T) {
		b := newBench(t, flow.Restored{}, poolWorker("a"))
		b.report("a", infra.Report{})
		s := small(2)
		s.LongRunning, s.MaxUnavailable = true, 1
		b.step(flow.Submitted{Job: oneStep("j", s)})
		b.pass(50 * time.Millisecond)
		listed := []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: 100}, {Task: infra.TaskID{Job: "j", Index: 1}, Run: 1, Progress: 100}}
		b.report("a", infra.Report{Running: listed})
		b.out = nil
		b.step(flow.Cordon{Worker: "a", By: b.now.Add(time.Second)})
		for range 4 {
			b.pass(500 * time.Millisecond)
			b.report("a", infra.Report{Running: listed})
		}
		assert.Assert(t, !vacated(b), "both tasks would end at once")
	})
}
