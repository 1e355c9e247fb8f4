package flow_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// Runs that will not complete before a draining worker leaves are stopped if another worker has room; the others stay.
// Otherwise their work is lost with the worker.
func TestDrainingWorkerIsEvacuated(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	long := smallStep(1)
	long.Estimate = 10 * time.Second
	h.step(flow.Submitted{Job: singleStepJob("long", long)})
	h.step(flow.Submitted{Job: singleStepJob("short", smallStep(1))})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 2)
	listed := []infra.ActiveRun{
		{Task: infra.TaskID{Job: "long"}, Run: 1, Progress: 5}, {Task: infra.TaskID{Job: "short"}, Run: 1, Progress: 50},
	}
	h.report("a", infra.Report{Running: listed})
	leaving := newPoolWorker("a")
	leaving.Draining, leaving.Remaining = true, 3*time.Second
	h.step(flow.WorkerListed{Worker: leaving})
	h.advance(300 * time.Millisecond)
	assert.Equal(t, len(h.stops()), 0, "no other worker has room")
	h.step(flow.WorkerListed{Worker: newPoolWorker("b")})
	h.advance(50 * time.Millisecond)
	h.report("b", infra.Report{})
	h.advance(300 * time.Millisecond)
	stops := h.stops()
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Task.Job, fleet.JobID("long"))
}

// An evacuation must not take down more tasks of a long-running step at a time than MaxUnavailable (AVAIL).
func TestEvacuationRespectsMaxUnavailable(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	s := smallStep(3)
	s.LongRunning, s.MaxUnavailable = true, 1
	h.step(flow.Submitted{Job: singleStepJob("j", s)})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 3)
	var listed []infra.ActiveRun
	for i := range 3 {
		listed = append(listed, infra.ActiveRun{Task: infra.TaskID{Job: "j", Index: i}, Run: 1, Progress: 100})
	}
	h.report("a", infra.Report{Running: listed})
	h.step(flow.WorkerListed{Worker: newPoolWorker("b")})
	leaving := newPoolWorker("a")
	leaving.Draining, leaving.Remaining = true, 5*time.Second
	h.step(flow.WorkerListed{Worker: leaving})
	h.advance(50 * time.Millisecond)
	h.report("b", infra.Report{})
	h.advance(300 * time.Millisecond)
	h.report("a", infra.Report{Running: listed})
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.stops()), 1)
}

// A cordoned worker accepts no new tasks. It is reported as evacuated only when it is empty or its time is up, and not
// while that would take down more tasks of a step than MaxUnavailable (AVAIL during maintenance).
func TestCordon(t *testing.T) {
	t.Run("runs continue until they end", func(t *testing.T) {
		h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
		h.report("a", infra.Report{})
		h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
		h.advance(50 * time.Millisecond)
		h.report("a", infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: 50}}})
		h.effects = nil
		h.step(flow.Cordon{Worker: "a", Deadline: h.now.Add(3 * time.Second)})
		h.step(flow.Submitted{Job: singleStepJob("k", smallStep(1))})
		h.advance(300 * time.Millisecond)
		assert.Assert(t, !h.evacuated())
		assert.Equal(t, len(h.starts()), 0)
		h.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: infra.TaskID{Job: "j"}, Run: 1, Outcome: infra.OutcomeDone}}})
		h.advance(300 * time.Millisecond)
		assert.Assert(t, h.evacuated())
		h.step(flow.Uncordon{Worker: "a"})
		h.advance(100 * time.Millisecond)
		assert.Equal(t, len(h.starts()), 1)
	})
	t.Run("tasks above MaxUnavailable stay", func(t *testing.T) {
		h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
		h.report("a", infra.Report{})
		s := smallStep(2)
		s.LongRunning, s.MaxUnavailable = true, 1
		h.step(flow.Submitted{Job: singleStepJob("j", s)})
		h.advance(50 * time.Millisecond)
		listed := []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: 100}, {Task: infra.TaskID{Job: "j", Index: 1}, Run: 1, Progress: 100}}
		h.report("a", infra.Report{Running: listed})
		h.effects = nil
		h.step(flow.Cordon{Worker: "a", Deadline: h.now.Add(time.Second)})
		for range 4 {
			h.advance(500 * time.Millisecond)
			h.report("a", infra.Report{Running: listed})
		}
		assert.Assert(t, !h.evacuated(), "both tasks would be down at once")
	})
}

// A long-running task that had run for 2 s counted as one that had waited for 2 s, so that it was evacuated although the
// only other worker was quarantined and did not take it until it had waited.
func TestTasksAreNotEvacuatedToQuarantinedWorkers(t *testing.T) {
	a := newPoolWorker("a")
	a.Capacity.MilliCPU = 1000
	h := newHarness(t, flow.Restored{}, a)
	h.report("a", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("lasting", lastingStep(1, 1000))})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
	running := []infra.ActiveRun{{Task: infra.TaskID{Job: "lasting"}, Run: 1, Progress: 100}}
	h.report("a", infra.Report{Running: running})
	h.step(flow.WorkerListed{Worker: newPoolWorker("b")})
	h.advance(3 * time.Second)
	h.report("b", infra.Report{})
	var failing []infra.ActiveRun
	var failed []infra.EndedRun
	for i, id := range []fleet.JobID{"f0", "f1", "f2"} {
		h.step(flow.Submitted{Job: singleStepJob(string(id), lastingStep(1, 1000))})
		task := infra.TaskID{Job: id}
		failing = append(failing, infra.ActiveRun{Task: task, Run: 1, Progress: 100})
		failed = append(failed, infra.EndedRun{Number: int64(i + 1), Task: task, Run: 1, Outcome: infra.OutcomeFailed})
	}
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.starts()), len(failed))
	h.report("b", infra.Report{Running: failing})
	h.advance(200 * time.Millisecond)
	h.report("b", infra.Report{Ended: failed})
	a.Draining, a.Remaining = true, 10*time.Second
	h.step(flow.WorkerListed{Worker: a})
	h.report("a", infra.Report{Running: running})
	h.effects = nil
	h.advance(500 * time.Millisecond)
	assert.Equal(t, len(h.stops()), 0)
}

// checkNoStartBeforeUncordon submits a job for the cordoned worker a, which must start once the cordon is reverted.
func (h *harness) checkNoStartBeforeUncordon() {
	h.t.Helper()
	h.advance(50 * time.Millisecond)
	h.report("a", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.advance(100 * time.Millisecond)
	assert.Equal(h.t, len(h.starts()), 0)
	h.step(flow.Uncordon{Worker: "a"})
	h.advance(100 * time.Millisecond)
	assert.Equal(h.t, len(h.starts()), 1)
}

// Guards against a start on a worker whose machine is taken down: the scheduler may learn of the worker after its cordon.
func TestCordonOfUnlistedWorkerIsKept(t *testing.T) {
	h := newHarness(t, flow.Restored{})
	h.step(flow.Cordon{Worker: "a", Deadline: h.now.Add(8 * time.Second)})
	assert.Assert(t, h.evacuated())
	h.step(flow.WorkerListed{Worker: newPoolWorker("a")})
	h.checkNoStartBeforeUncordon()
}

// Guards against a start on a worker whose machine is taken down: the worker may have been forgotten since its cordon, because its
// registration was missing for a while.
func TestCordonOutlivesRegistration(t *testing.T) {
	a := newPoolWorker("a")
	h := newHarness(t, flow.Restored{}, a)
	h.report("a", infra.Report{})
	h.step(flow.Cordon{Worker: "a", Deadline: h.now.Add(8 * time.Second)})
	h.step(flow.WorkerUnlisted{Worker: "a"})
	h.renewalFails("a")
	h.advance(time.Second)
	assert.Equal(t, len(h.m.Workers()), 0, "the worker has not been forgotten")
	h.step(flow.WorkerListed{Worker: a})
	h.checkNoStartBeforeUncordon()
}

// A cordon without a deadline stops no task: its machine may go down at any time, or may have been down before.
func TestCordonWithoutDeadlineKeepsTasks(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"))
	h.report("a", infra.Report{})
	long := smallStep(1)
	long.Estimate = time.Minute
	h.step(flow.Submitted{Job: singleStepJob("j", long)})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
	h.report("a", infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: 5}}})
	h.report("b", infra.Report{})
	h.effects = nil
	h.step(flow.Cordon{Worker: "a"})
	h.advance(500 * time.Millisecond)
	assert.Equal(t, len(h.stops()), 0)
}

// Guards against too many tasks of a step away at a time (AVAIL) when a wave is late and the scheduler has changed: the successor
// gave up a worker whose time was up before it had heard what runs there.
func TestSuccessorHearsFromWorkerBeforeItGoes(t *testing.T) {
	s := smallStep(2)
	s.LongRunning, s.MaxUnavailable = true, 1
	restored := flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("j", s)}}, Term: 1,
		Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}, {Worker: "b", Address: "b:1"}},
	}
	evacuated := func(h *harness) bool {
		return slices.ContainsFunc(h.effects, func(e flow.Effect) bool { _, is := e.(flow.Evacuated); return is })
	}
	run := infra.ActiveRun{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: 100}
	h := newHarness(t, restored, newPoolWorker("a"), newPoolWorker("b"))
	h.step(flow.Cordon{Worker: "a", Deadline: h.now})
	h.advance(100 * time.Millisecond)
	h.report("a", infra.Report{Running: []infra.ActiveRun{run}})
	h.advance(100 * time.Millisecond)
	h.report("a", infra.Report{Running: []infra.ActiveRun{run}})
	h.advance(time.Second)
	assert.Assert(t, !evacuated(h), "the other task is not known to run")

	h = newHarness(t, restored, newPoolWorker("a"), newPoolWorker("b"))
	h.step(flow.Cordon{Worker: "a", Deadline: h.now})
	h.reportTwice("a", infra.Report{})
	h.advance(50 * time.Millisecond)
	assert.Assert(t, evacuated(h), "nothing runs there")

	h = newHarness(t, restored, newPoolWorker("a"), newPoolWorker("b"))
	h.step(flow.Cordon{Worker: "a", Deadline: h.now})
	h.advance(50 * time.Millisecond)
	for _, e := range h.effects {
		if e, ok := e.(flow.Renew); ok && e.To.Worker == "a" {
			h.step(flow.RenewFailed{Worker: "a", Sequence: e.Sequence, Order: e.Order, Err: &infra.OutcomeUnknownError{Reason: "no answer"}})
		}
	}
	h.advance(50 * time.Millisecond)
	assert.Assert(t, evacuated(h), "a worker that does not answer holds nothing up")
}
