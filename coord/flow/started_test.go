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

// startedTime exceeds the time until the state of a job whose first task has started is durable.
const startedTime = 600 * time.Millisecond

// submitStarting submits three jobs and returns their starts.
func submitStarting(t *testing.T) (*harness, []flow.Start) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	for n := range 3 {
		h.step(flow.Submitted{Job: singleStepJob(fmt.Sprintf("j%d", n), smallStep(1))})
	}
	h.advance(50 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 3)
	return h, starts
}

func (h *harness) assertQueued(id fleet.JobID) {
	h.t.Helper()
	state, _ := h.m.State(id)
	assert.Equal(h.t, state, infra.StateQueued)
}

// Guards against a number of pending jobs that lacks jobs which have not begun (MIXED): a start that was sent is no start.
func TestJobWithoutConfirmedStartIsPending(t *testing.T) {
	for name, err := range map[string]error{
		"refused":    &infra.RefusedError{Worker: "a", Reason: infra.ReasonUnhealthy},
		"unanswered": &infra.NoAnswerError{Worker: "a"},
		"not sent":   &infra.NotSentError{Worker: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			h, starts := submitStarting(t)
			for _, s := range starts {
				h.step(flow.StartAnswered{Worker: "a", Order: s.Order, Err: err})
			}
			h.advance(startedTime)
			assert.Equal(t, h.m.Pending("batch"), 3)
			h.assertQueued("j0")
		})
	}
	t.Run("answered", func(t *testing.T) {
		h, starts := submitStarting(t)
		assert.Equal(t, h.m.Pending("batch"), 3)
		h.answer(starts[:1])
		h.advance(startedTime)
		assert.Equal(t, h.m.Pending("batch"), 2)
	})
}

// Guards against pending jobs that a successor takes for started (MIXED), because their stored progress holds a run number.
func TestSuccessorCountsJobsWithoutStartAsPending(t *testing.T) {
	record := &flow.Record{State: infra.StateQueued, Occurrences: []flow.OccurrenceRecord{{
		Steps: []flow.StepRecord{{Tasks: []flow.TaskRecord{{Index: 0, Run: 1000}}}},
	}}}
	h := newHarness(t, flow.Restored{Term: 1, Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1)), Record: record}}})
	assert.Equal(t, h.m.Pending("batch"), 1)
	h.assertQueued("j")
}

// Guards against a job that callers see as running, and as queued again after a change of the scheduler.
func TestRunningJobIsNotQueuedAgainAfterTakeover(t *testing.T) {
	h, starts := submitStarting(t)
	h.isStoreDown = true
	h.answer(starts)
	h.advance(startedTime)
	h.assertQueued("j0")
	var stored []flow.StoredJob
	for _, e := range h.effects {
		if s, isSave := e.(flow.Save); isSave {
			for _, j := range s.Jobs {
				stored = append(stored, flow.StoredJob{Job: singleStepJob(string(j.Job), smallStep(1)), Record: &j.Record})
			}
			h.step(flow.Saved{Batch: s.Batch})
		}
	}
	assert.Equal(t, len(stored), 3)
	successor := newHarness(t, flow.Restored{Term: 1, Jobs: stored, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}})
	for _, m := range []*flow.Machine{h.m, successor.m} {
		state, _ := m.State("j0")
		assert.Equal(t, state, infra.StateRunning)
		assert.Equal(t, m.Pending("batch"), 0)
	}
}

// Each other sign of a worker that a task has started counts too.
func TestReportsShowThatJobsHaveStarted(t *testing.T) {
	task := infra.TaskID{Job: "j0"}
	for name, report := range map[string]infra.Report{
		"listed": {Running: []infra.ActiveRun{{Task: task, Run: 1}}},
		"ended":  {Ended: []infra.EndedRun{{Number: 1, Task: task, Run: 1, Outcome: infra.OutcomeStopped}}},
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := submitStarting(t)
			h.report("a", report)
			h.advance(startedTime)
			state, _ := h.m.State("j0")
			assert.Equal(t, state, infra.StateRunning)
			h.assertQueued("j1")
		})
	}
}
