package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// Guards against a record that grows with the tasks of a job that have not begun (LOST): the run number of each was stored, and
// 72,000 of them made a value that the store does not accept.
func TestRecordOfWaitingTasksIsSmall(t *testing.T) {
	j := singleStepJob("j", smallStep(infra.MaxTasks))
	h := newHarness(t, flow.Restored{Term: 3, Jobs: []flow.StoredJob{{Job: j}}}, newPoolWorker("a"))
	h.step(flow.PredecessorStopped{Ago: time.Minute})
	h.report("a", infra.Report{})
	h.advance(100 * time.Millisecond)
	starts := h.starts()
	assert.Assert(t, len(starts) > 0)
	h.answer(starts)
	h.report("a", infra.Report{Ended: []infra.EndedRun{
		{Number: 1, Task: starts[0].Order.Task, Run: starts[0].Order.Run, Outcome: infra.OutcomeDone},
		{Number: 2, Task: starts[1].Order.Task, Run: starts[1].Order.Run, Outcome: infra.OutcomeFailed},
	}})
	h.advance(100 * time.Millisecond)
	size := 0
	for _, e := range h.effects {
		if s, isSave := e.(flow.Save); isSave {
			size += encodedSize(t, s.Jobs) + encodedSize(t, s.Parts)
		}
	}
	assert.Assert(t, size > 0 && size < infra.MaxTasks/4, "%d bytes", size)
}

// The run number of a task that was started very often in one term exceeds the first ones of the next, and must be stored
// (TWICE: a worker rejects runs that are not higher).
func TestHighRunNumbersAreStored(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1500}}})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(2))})
	h.advance(startedTime)
	record := h.savedRecord("j")
	assert.Assert(t, record != nil)
	successor := newHarness(t, flow.Restored{
		Term: 1, Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(2)), Record: record}},
		Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}},
	}, newPoolWorker("a"))
	successor.reportTwice("a", infra.Report{})
	successor.advance(100 * time.Millisecond)
	numbers := make(map[int]infra.Run)
	for _, s := range successor.starts() {
		numbers[s.Order.Task.Index] = s.Order.Run
	}
	assert.DeepEqual(t, numbers, map[int]infra.Run{0: 1501, 1: 1001})
}
