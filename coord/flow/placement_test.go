package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

func lastingStep(count int, milliCPU int64) infra.Step {
	s := smallStep(count)
	s.LongRunning, s.Size.MilliCPU = true, milliCPU
	return s
}

// A waiting task that needs a worker of normal speed must not keep a long-running task, which does not, from the room
// on slow workers.
func TestLongRunningTaskUsesSlowWorkerBesideWaitingTask(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"))
	h.report("a", infra.Report{})
	h.report("b", infra.Report{})
	probes := smallStep(2)
	probes.MaxPerWorker, probes.Estimate, probes.Size.MilliCPU = 1, 10*time.Second, 7000
	h.step(flow.Submitted{Job: singleStepJob("probes", probes)})
	h.advance(50 * time.Millisecond)
	on := make(map[fleet.WorkerID]infra.TaskID)
	for _, s := range h.starts() {
		on[s.To.Worker] = s.Order.Task
	}
	assert.Equal(t, len(on), 2)
	for n := 1; ; n++ {
		assert.Assert(t, n < 20, "the task on the slow worker was not moved")
		h.report("a", infra.Report{Running: []infra.ActiveRun{{Task: on["a"], Run: 1, Progress: 7 * n}}})
		h.report("b", infra.Report{Running: []infra.ActiveRun{{Task: on["b"], Run: 1, Progress: n}}})
		if len(h.stops()) > 0 {
			break
		}
		h.advance(375 * time.Millisecond)
	}
	// The stop of the task shows that the worker is slow.
	h.report("b", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: on["b"], Run: 1, Outcome: infra.OutcomeStopped}}})
	h.starts()
	timed := smallStep(1)
	timed.Size.MilliCPU = 4000
	h.step(flow.Submitted{Job: singleStepJob("timed", timed)})
	h.step(flow.Submitted{Job: singleStepJob("lasting", lastingStep(1, 4000))})
	h.advance(50 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 1, "%+v", h.m.Workers())
	assert.Equal(t, starts[0].Order.Task.Job, fleet.JobID("lasting"))
	assert.Equal(t, starts[0].To.Worker, fleet.WorkerID("b"))
}

// Long-running tasks must not wait for the end of a quarantine if there is no room on other workers: each of their
// failures can prolong it.
func TestQuarantineDoesNotHoldLongRunningTasks(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	jobs := []string{"j0", "j1", "j2"}
	var running []infra.ActiveRun
	var ended []infra.EndedRun
	for i, id := range jobs {
		h.step(flow.Submitted{Job: singleStepJob(id, lastingStep(1, 1000))})
		task := infra.TaskID{Job: fleet.JobID(id)}
		running = append(running, infra.ActiveRun{Task: task, Run: 1, Progress: 100})
		ended = append(ended, infra.EndedRun{Number: int64(i + 1), Task: task, Run: 1, Outcome: infra.OutcomeFailed})
	}
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.starts()), len(jobs))
	h.report("a", infra.Report{Running: running})
	h.advance(200 * time.Millisecond)
	h.report("a", infra.Report{Ended: ended})
	h.advance(3 * time.Second)
	assert.Equal(t, len(h.starts()), len(jobs))
}

// A worker that does not answer after a takeover may run tasks of the predecessor, but none that this scheduler has
// seen on another worker after the predecessor had stopped. Such a task must not wait for the silent worker when it ends.
func TestAdoptedTaskRestartsBesideSilentWorker(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		h := newHarness(t, flow.Restored{
			Jobs:   []flow.StoredJob{{Job: singleStepJob("lasting", lastingStep(2, 1000))}},
			Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}, {Worker: "silent", Address: "silent:1"}}, Term: 1,
		}, newPoolWorker("a"))
		if stopped {
			h.step(flow.PredecessorStopped{})
		}
		h.advance(50 * time.Millisecond)
		task := infra.TaskID{Job: "lasting", Index: 1}
		h.report("a", infra.Report{Running: []infra.ActiveRun{{Task: task, Run: 1, Progress: 100}}})
		h.advance(time.Second)
		h.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: task, Run: 1, Outcome: infra.OutcomeFailed}}})
		h.advance(100 * time.Millisecond)
		starts := h.starts()
		if !stopped {
			assert.Equal(t, len(starts), 0, "the predecessor may have started the task on the silent worker")
			continue
		}
		assert.Equal(t, len(starts), 1, "the other task may run on the silent worker")
		assert.Equal(t, starts[0].Order.Task, task)
	}
}
