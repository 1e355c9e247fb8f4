package flow_test

import (
	"slices"
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

// savedUnits returns the records and parts in the batches of the scheduler, in their order.
func (h *harness) savedUnits() (records []flow.JobRecord, parts []flow.PartRecord, deleted []flow.PartKey) {
	for _, e := range h.effects {
		if s, isSave := e.(flow.Save); isSave {
			records, parts, deleted = append(records, s.Jobs...), append(parts, s.Parts...), append(deleted, s.DeleteParts...)
		}
	}
	return records, parts, deleted
}

// Guards against tasks that run again after an update (TWICE): an earlier version stores the progress of a large job in its record, which
// the next change replaces.
func TestRecordOfEarlierVersionIsSplit(t *testing.T) {
	const tasks = 600
	done := make([]byte, tasks/8)
	for i := range done {
		done[i] = 0x0f
	}
	j := singleStepJob("j", smallStep(tasks))
	record := &flow.Record{State: infra.StateRunning, Occurrences: []flow.OccurrenceRecord{{Steps: []flow.StepRecord{{Done: done}}}}}
	h := newHarness(t, flow.Restored{Term: 1, Jobs: []flow.StoredJob{{Job: j, Record: record}}}, newPoolWorker("a"))
	h.step(flow.PredecessorStopped{Ago: time.Minute})
	h.report("a", infra.Report{})
	h.advance(100 * time.Millisecond)
	_, parts, _ := h.savedUnits()
	assert.Equal(t, len(parts), 3)
	successor := newHarness(t, flow.Restored{Term: 2, Jobs: []flow.StoredJob{{Job: j, Record: &flow.Record{State: infra.StateRunning}, Parts: parts}}}, newPoolWorker("a"))
	successor.step(flow.PredecessorStopped{Ago: time.Minute})
	successor.report("a", infra.Report{})
	successor.advance(100 * time.Millisecond)
	starts := successor.starts()
	assert.Equal(t, len(starts), 10)
	for _, s := range starts {
		assert.Assert(t, s.Order.Task.Index%8 >= 4, "task %d is done", s.Order.Task.Index)
	}
}

// Parts that no job needs are deleted: those of jobs that are gone or have ended, and of complete occurrences.
func TestUnneededPartsAreDeleted(t *testing.T) {
	j, ended := singleStepJob("j", smallStep(600)), singleStepJob("ended", smallStep(600))
	gone := flow.PartKey{Job: "gone", Occurrence: 3, Index: 1}
	left := flow.PartRecord{Key: flow.PartKey{Job: "ended"}, Part: flow.Part{Done: []byte{1}}}
	stored := flow.PartRecord{Key: flow.PartKey{Job: "j", Index: 2}, Part: flow.Part{Done: []byte{1}}}
	h := newHarness(t, flow.Restored{
		Term: 1, OrphanedParts: []flow.PartKey{gone},
		Jobs: []flow.StoredJob{
			{Job: j, Parts: []flow.PartRecord{stored}},
			{Job: ended, Record: &flow.Record{State: infra.StateFailed}, Parts: []flow.PartRecord{left}},
		},
	})
	h.advance(time.Second)
	_, _, deleted := h.savedUnits()
	assert.Assert(t, slices.Contains(deleted, gone) && slices.Contains(deleted, left.Key) && len(deleted) == 2, "%v", deleted)
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateRunning, "the part shows that a task has started")
	h.step(flow.CancelRequested{Job: "j"})
	h.advance(time.Second)
	records, _, deleted := h.savedUnits()
	assert.Equal(t, deleted[len(deleted)-1], stored.Key)
	assert.Equal(t, records[len(records)-1].Record.State, infra.StateCancelled)
}
