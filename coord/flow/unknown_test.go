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

// takeOverUnknownJob returns a successor on whose worker a predecessor has run the task of the job j, which the successor has
// not received. The worker has reported that twice.
func takeOverUnknownJob(t *testing.T, r infra.Report) *harness {
	h := newHarness(t, flow.Restored{Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1}, newPoolWorker("a"), newPoolWorker("b"))
	h.report("b", infra.Report{})
	h.reportTwice("a", r)
	h.advance(25 * time.Millisecond)
	assert.DeepEqual(t, h.lookups(), []fleet.JobID{"j"})
	return h
}

// lookups returns the jobs of which the scheduler has asked the store.
func (h *harness) lookups() []fleet.JobID {
	var ids []fleet.JobID
	for _, e := range h.effects {
		if l, ok := e.(flow.LookUpJobs); ok {
			ids = append(ids, l.Jobs...)
		}
	}
	return ids
}

// acknowledged returns the number of the last acknowledged end of a worker, after it has made another report.
func (h *harness) acknowledged(id fleet.WorkerID, r infra.Report) int64 {
	h.report(id, r)
	h.advance(400 * time.Millisecond)
	return h.acked[id]
}

// The end of a run of a job that the scheduler had not received was acknowledged and forgotten. The job was started when it
// arrived, although it was done.
func TestEndOfUnknownJobIsKept(t *testing.T) {
	ended := infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: infra.TaskID{Job: "j"}, Run: 1, Outcome: infra.OutcomeDone}}}
	h := takeOverUnknownJob(t, ended)
	assert.Equal(t, h.acknowledged("a", ended), int64(0))
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.step(flow.JobsLookedUp{Jobs: []fleet.JobID{"j"}})
	assert.Equal(t, h.acknowledged("a", ended), int64(1))
	assert.Equal(t, len(h.starts()), 0)
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateCompleted)
}

// The run of a job that the scheduler had not received was stopped as one of an unknown job, and the job was started
// elsewhere before the run had ended.
func TestRunOfUnknownJobIsAdopted(t *testing.T) {
	running := func(percent int) infra.Report {
		return infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: percent, Measurement: 1000}}}
	}
	h := takeOverUnknownJob(t, running(10))
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.step(flow.JobsLookedUp{Jobs: []fleet.JobID{"j"}})
	for n := range 4 {
		h.advance(200 * time.Millisecond)
		h.report("a", running(30+20*n))
	}
	stops := slices.ContainsFunc(h.effects, func(e flow.Effect) bool { _, isStop := e.(flow.Stop); return isStop })
	assert.Assert(t, !stops)
	assert.Equal(t, len(h.starts()), 0)
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateRunning)
}

// A job that arrives as cancelled must not run on.
func TestRunOfUnknownJobThatWasCancelledIsStopped(t *testing.T) {
	h := takeOverUnknownJob(t, infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1}}})
	h.step(flow.CancelRequested{Job: "j"})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	assert.Equal(t, len(h.stops()), 1)
}

// Runs and ends of a job that does not exist must not hold up their worker.
func TestRunsOfJobThatDoesNotExist(t *testing.T) {
	other := infra.TaskID{Job: "j", Index: 1}
	h := takeOverUnknownJob(t, infra.Report{
		Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1}},
		Ended:   []infra.EndedRun{{Number: 1, Task: other, Run: 1, Outcome: infra.OutcomeDone}},
	})
	h.step(flow.JobsLookedUp{Jobs: []fleet.JobID{"j"}})
	stops := h.stops()
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Task, infra.TaskID{Job: "j"})
	assert.Equal(t, h.acknowledged("a", infra.Report{}), int64(1))
}

// A worker whose ends wait for an unknown job must stay known, also if it is not listed any more.
func TestWorkerWithEndOfUnknownJobStaysInRoster(t *testing.T) {
	h := takeOverUnknownJob(t, infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: infra.TaskID{Job: "j"}, Run: 1, Outcome: infra.OutcomeDone}}})
	h.step(flow.WorkerUnlisted{Worker: "a"})
	h.renewalFails("a")
	h.advance(200 * time.Millisecond)
	contains := func() bool {
		return slices.ContainsFunc(h.lastRoster(), func(e flow.RosterEntry) bool { return e.Worker == "a" })
	}
	assert.Assert(t, contains())
	h.step(flow.JobsLookedUp{Jobs: []fleet.JobID{"j"}})
	h.renewalFails("a")
	h.advance(200 * time.Millisecond)
	assert.Assert(t, !contains())
}

// The run of a job that was received after it had been reported did not count against the limit of its step, so that another
// task of the step was started on the same worker.
func TestRunOfUnknownJobCountsAgainstMaxPerWorker(t *testing.T) {
	h := takeOverUnknownJob(t, infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j", Index: 1}, Run: 1, Progress: 10}}})
	step := smallStep(3)
	step.MaxPerWorker = 1
	h.step(flow.Submitted{Job: singleStepJob("j", step)})
	h.advance(100 * time.Millisecond)
	started := h.starts()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].To.Worker, fleet.WorkerID("b"))
}

// The end of an unknown job counted twice if its worker was announced as restarted and reported it again. The end of another
// job was then acknowledged before that job was looked up.
func TestEndIsHeldOnceForEachLife(t *testing.T) {
	a := newPoolWorker("a")
	a.StartedAt = 5000
	h := newHarness(t, flow.Restored{}, a)
	end := func(n int64, job string) infra.EndedRun {
		return infra.EndedRun{Number: n, Task: infra.TaskID{Job: fleet.JobID(job)}, Run: 1, Outcome: infra.OutcomeDone}
	}
	first := infra.Report{StartedAt: 5000, Ended: []infra.EndedRun{end(1, "j")}}
	h.report("a", first)
	foreign := a
	foreign.StartedAt = 6000
	h.step(flow.WorkerListed{Worker: foreign})
	h.advance(50 * time.Millisecond)
	h.report("a", first) // "restarted" back
	h.advance(50 * time.Millisecond)
	h.report("a", first)
	h.step(flow.JobsLookedUp{Jobs: []fleet.JobID{"j"}})
	h.advance(50 * time.Millisecond)
	second := infra.Report{StartedAt: 5000, Ended: []infra.EndedRun{end(2, "k")}}
	assert.Equal(t, h.acknowledged("a", second), int64(1), "the job k has not been looked up")
}

// The end of an unknown job must not be acknowledged when the job is received, but once its effect is durable.
func TestEndOfUnknownJobIsAcknowledgedOnceStored(t *testing.T) {
	ended := infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: infra.TaskID{Job: "j"}, Run: 1, Outcome: infra.OutcomeDone}}}
	h := takeOverUnknownJob(t, ended)
	h.effects, h.isStoreDown = nil, true
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.step(flow.JobsLookedUp{Jobs: []fleet.JobID{"j"}})
	assert.Equal(t, h.acknowledged("a", ended), int64(0))
	for _, e := range slices.Clone(h.effects) {
		if s, isSave := e.(flow.Save); isSave {
			h.step(flow.Saved{Batch: s.Batch})
		}
	}
	assert.Equal(t, h.acknowledged("a", ended), int64(1))
}
