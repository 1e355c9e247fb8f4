package flow_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// A long-running task that does not run although there seems to be room must be explained by the logs alone, without
// more than a few lines a second while many wait.
func TestLongWaitsAreReported(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	const jobs = 20
	for n := range jobs {
		h.step(flow.Submitted{Job: singleStepJob(fmt.Sprintf("j%02d", n), lastingStep(1, 20000))})
	}
	h.advance(3 * time.Second)
	assert.Equal(t, h.m.LongWaits(), 0)
	h.effects = nil
	h.advance(3 * time.Second)
	assert.Equal(t, h.m.LongWaits(), jobs)
	reports := 0
	for _, e := range h.effects {
		if e, ok := e.(flow.Log); ok && e.Text == "long-running tasks are waiting" {
			reports++
			assert.Assert(t, strings.Contains(e.Reason, "1 tasks"), e.Reason)
			assert.Assert(t, strings.Contains(e.Reason, "1 no room for its size"), e.Reason)
		}
	}
	assert.Assert(t, reports >= 4 && reports <= 12, "%d reports in 3 s", reports)
}

// Guards against long-running tasks that wait without end on a full fleet, because each room that becomes free goes to
// jobs that are in time (rule LOST, seen on the bench with all 472 workers full for 10 s).
func TestLongRunningTaskStartsOnFullFleet(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"))
	quick := smallStep(1)
	quick.Size.MilliCPU = 9000
	jobs := 0
	ends := make(map[fleet.WorkerID]int64)
	runs := make(map[fleet.WorkerID]flow.Start)
	// Each worker completes a quick task in half a second, and there are always more of them.
	second := func() {
		for _, id := range []fleet.WorkerID{"a", "b"} {
			for range 2 {
				jobs++
				h.step(flow.Submitted{Job: singleStepJob(fmt.Sprintf("q%03d", jobs), quick)})
			}
			report := infra.Report{}
			if run, found := runs[id]; found && run.Order.Task.Job != "lasting" {
				ends[id]++
				report.Ended = []infra.EndedRun{{Number: ends[id], Task: run.Order.Task, Run: run.Order.Run, Outcome: infra.OutcomeDone}}
			} else if found {
				report.Running = []infra.ActiveRun{{Task: run.Order.Task, Run: run.Order.Run, Progress: 100}}
			}
			h.report(id, report)
			h.advance(250 * time.Millisecond)
			for _, s := range h.starts() {
				h.step(flow.StartAnswered{Worker: s.To.Worker, Order: s.Order, Clock: h.now.UnixMilli()})
				runs[s.To.Worker] = s
			}
		}
	}
	for range 4 {
		second()
	}
	h.step(flow.Submitted{Job: singleStepJob("lasting", lastingStep(1, 9000))})
	for range 6 {
		second()
	}
	running := runs["a"].Order.Task.Job == "lasting" || runs["b"].Order.Task.Job == "lasting"
	assert.Assert(t, running, "the long-running task has waited for 3 s: %+v %+v", runs["a"].Order.Task, runs["b"].Order.Task)
}

// Guards against a long-running task that waits for another 2 s after the lease of its silent worker has expired, because
// the only worker with room is quarantined. It has not run for as long as the worker has been silent (rule LOST, found
// with fresh seeds: TestLongRunningTasksKeepRunning, RAPID_SEED=12 RAPID_CHECKS=300).
func TestWaitCountsFromTheSilenceOfTheWorker(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("lasting", lastingStep(1, 9500))})
	h.advance(50 * time.Millisecond)
	h.answerStarts()
	h.step(flow.WorkerListed{Worker: newPoolWorker("b")})
	h.advance(50 * time.Millisecond)
	h.report("b", infra.Report{})
	h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: &infra.NoAnswerError{Worker: "a"}})
	var ended []infra.EndedRun
	for i, id := range []string{"j0", "j1", "j2"} {
		h.step(flow.Submitted{Job: singleStepJob(id, smallStep(1))})
		ended = append(ended, infra.EndedRun{Number: int64(i + 1), Task: infra.TaskID{Job: fleet.JobID(id)}, Run: 1, Outcome: infra.OutcomeFailed})
	}
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.answerStarts()), 3)
	h.advance(4 * time.Second)
	h.report("b", infra.Report{Ended: ended})
	waited := 4 * time.Second
	for ; waited < 9*time.Second; waited += 100 * time.Millisecond {
		h.advance(100 * time.Millisecond)
		for _, s := range h.starts() {
			if s.Order.Task.Job == "lasting" {
				assert.Equal(t, s.To.Worker, fleet.WorkerID("b"))
				assert.Assert(t, waited < 7*time.Second, "started after %s", waited)
				return
			}
		}
	}
	t.Fatal("the task has not started")
}
