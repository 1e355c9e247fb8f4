package flow_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// moreThanOneBatch is a number of jobs whose progress takes several batches to store.
const moreThanOneBatch = 60

// runStartedAt is the start time of the worker of runOnOneWorker.
const runStartedAt = 5000

// runOnOneWorker returns a scheduler with a job for each task that runs on the worker a, with the jobs and the orders.
func runOnOneWorker(t *testing.T) (*harness, []infra.Job, []flow.Start) {
	step := smallStep(1)
	step.Size = fleet.Resources{MilliCPU: 100, MemoryBytes: 1 << 20}
	a := newPoolWorker("a")
	a.StartedAt = runStartedAt
	h := newHarness(t, flow.Restored{}, a)
	h.report("a", infra.Report{})
	var jobs []infra.Job
	for n := range moreThanOneBatch {
		jobs = append(jobs, singleStepJob(fmt.Sprintf("%016x", n), step))
		h.step(flow.Submitted{Job: jobs[n]})
	}
	var started []flow.Start
	for range moreThanOneBatch {
		h.advance(50 * time.Millisecond)
		started = append(started, h.answerStarts()...)
	}
	assert.Equal(t, len(started), moreThanOneBatch)
	return h, jobs, started
}

// endAll reports that all runs on the worker a are done, while the store accepts no batch.
func (h *harness) endAll(started []flow.Start) {
	var ended []infra.EndedRun
	for n, s := range started {
		ended = append(ended, infra.EndedRun{Number: int64(n + 1), Task: s.Order.Task, Run: s.Order.Run, Outcome: infra.OutcomeDone})
	}
	h.effects, h.isStoreDown = nil, true
	h.report("a", infra.Report{Ended: ended})
	h.advance(100 * time.Millisecond)
}

// storeBatches makes the batches durable one by one. After each it calls check with the ID of each stored job and the last
// stored roster.
func (h *harness) storeBatches(check func(stored map[fleet.JobID]bool, roster []flow.RosterEntry)) {
	stored := make(map[fleet.JobID]bool)
	roster := []flow.RosterEntry{{Worker: "a", Address: "a:1"}}
	for {
		at := slices.IndexFunc(h.effects, func(e flow.Effect) bool { _, isSave := e.(flow.Save); return isSave })
		if at < 0 {
			return
		}
		s := h.effects[at].(flow.Save)
		h.effects = h.effects[at+1:]
		for _, j := range s.Jobs {
			stored[j.Job] = true
		}
		if s.Roster != nil {
			roster = s.Roster
		}
		check(stored, roster)
		h.step(flow.Saved{Batch: s.Batch})
		h.advance(50 * time.Millisecond)
	}
}

// evacuated reports whether the machine of a worker may be taken down.
func (h *harness) evacuated() bool {
	return slices.ContainsFunc(h.effects, func(e flow.Effect) bool { _, isEvacuated := e.(flow.Evacuated); return isEvacuated })
}

// A machine was handed over for maintenance, which ends all that is known there, while the ends of its runs were not stored.
// After a change of the scheduler their tasks, which were done, started again.
func TestMachineIsNotEvacuatedBeforeEndsAreStored(t *testing.T) {
	h, jobs, started := runOnOneWorker(t)
	h.step(flow.Cordon{Worker: "a", Deadline: h.now.Add(200 * time.Millisecond)})
	h.endAll(started)
	assert.Assert(t, !h.evacuated())
	h.storeBatches(func(stored map[fleet.JobID]bool, _ []flow.RosterEntry) {
		assert.Assert(t, !h.evacuated() || len(stored) == len(jobs), "%d of %d jobs are stored", len(stored), len(jobs))
	})
	h.advance(100 * time.Millisecond)
	assert.Assert(t, h.evacuated())
}

// The same holds when the time for the evacuation is up.
func TestMachineIsNotEvacuatedAtItsDeadlineBeforeEndsAreStored(t *testing.T) {
	h, _, started := runOnOneWorker(t)
	h.step(flow.Cordon{Worker: "a", Deadline: h.now.Add(50 * time.Millisecond)})
	h.endAll(started)
	h.advance(time.Second)
	assert.Assert(t, !h.evacuated())
}

// A worker that had no runs left was taken off the stored roster while the ends of its runs were not stored. The successor
// neither knew the ends nor waited for the worker, and started tasks that were done.
func TestWorkerStaysInRosterUntilItsEndsAreStored(t *testing.T) {
	for name, leave := range map[string]func(*harness){
		"draining": func(h *harness) {
			a := newPoolWorker("a")
			a.Draining, a.Remaining = true, 7*time.Second
			h.step(flow.WorkerListed{Worker: a})
		},
		"not listed": func(h *harness) { h.step(flow.WorkerUnlisted{Worker: "a"}) },
	} {
		t.Run(name, func(t *testing.T) {
			h, jobs, started := runOnOneWorker(t)
			leave(h)
			h.endAll(started)
			h.storeBatches(func(stored map[fleet.JobID]bool, roster []flow.RosterEntry) {
				if len(roster) == 0 {
					assert.Equal(t, len(stored), len(jobs), "jobs stored when the worker has left the roster")
				}
			})
			// A successor must not wait for a worker that is not needed any more.
			h.renewalFails("a")
			h.isStoreDown = false
			h.advance(time.Second)
			assert.Equal(t, len(h.lastRoster()), 0)
		})
	}
}

// Ends that take long to store, on workers that drain and are then cut off, must not be forgotten when the scheduler changes.
func TestInvariantsOfUnsavedEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 6)
		sim.logTo(t)
		sim.maxListedEnds = 500
		sim.elect(false)
		sim.run(time.Second)
		step := infra.Step{Count: 1, Size: fleet.Resources{MilliCPU: 200, MemoryBytes: 1 << 20}}
		for n := range 4 * moreThanOneBatch {
			step.Estimate = time.Duration(rapid.IntRange(300, 900).Draw(t, "ms")) * time.Millisecond
			j := infra.Job{ID: fleet.JobID(fmt.Sprintf("%016x", n)), Queue: "batch", Steps: []infra.Step{step}}
			sim.after(time.Duration(rapid.IntRange(0, 2000).Draw(t, "at"))*time.Millisecond, func() { sim.submit(j) })
		}
		sim.storeDelay = time.Duration(rapid.IntRange(100, 500).Draw(t, "store_delay")) * time.Millisecond
		drainAt := time.Duration(rapid.IntRange(200, 1500).Draw(t, "drain_at")) * time.Millisecond
		killAfter := time.Duration(rapid.IntRange(500, 2500).Draw(t, "kill_after")) * time.Millisecond
		for _, id := range sim.workerIDs[:rapid.IntRange(1, 3).Draw(t, "drains")] {
			sim.after(drainAt, func() { sim.drain(id, 9*time.Second) })
			sim.after(drainAt+killAfter, func() { sim.partition(id, 4*time.Second) })
		}
		sim.after(drainAt+killAfter, func() { sim.killScheduler(300 * time.Millisecond) })
		sim.run(10*time.Second + settleTime)
		assert.Assert(t, len(sim.violations) == 0, "%q", sim.violations)
		for _, id := range sim.jobIDs {
			state, _ := sim.leader.m.State(id)
			assert.Equal(t, state, infra.StateCompleted)
		}
	})
}

// A worker counted as listed in the stored roster although the roster in the store held its former address. A successor would
// have asked another worker there, and taken the runs to have ended.
func TestWorkerAtAnotherAddressIsNotInStoredRoster(t *testing.T) {
	a := newPoolWorker("a")
	a.StartedAt = 5000
	h := newHarness(t, flow.Restored{})
	h.isStoreDown = true
	h.step(flow.WorkerListed{Worker: a})
	h.advance(50 * time.Millisecond)
	h.report("a", infra.Report{StartedAt: 5000})
	assert.DeepEqual(t, h.lastRoster(), []flow.RosterEntry{{Worker: "a", Address: "a:1", RenewedBefore: 1, StartedAt: 5000}})
	// The worker restarts at another address while the batch is in flight.
	a.StartedAt, a.Address = 6000, "a:2"
	h.step(flow.WorkerListed{Worker: a})
	h.advance(50 * time.Millisecond)
	h.report("a", infra.Report{StartedAt: 6000})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.step(flow.Saved{Batch: 1})
	h.advance(50 * time.Millisecond)
	assert.DeepEqual(t, h.lastRoster(), []flow.RosterEntry{{Worker: "a", Address: "a:2", RenewedBefore: 1, StartedAt: 6000}})
	assert.Equal(t, len(h.starts()), 0)
	h.step(flow.Saved{Batch: 2})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
}

// A drained worker that held ends was not taken into the roster by a successor that did not find it there. The next one did not
// wait for it either.
func TestDrainedWorkerWithEndsEntersRoster(t *testing.T) {
	step := smallStep(1)
	var jobs []flow.StoredJob
	var ended []infra.EndedRun
	for n := range moreThanOneBatch {
		j := singleStepJob(fmt.Sprintf("%016x", n), step)
		jobs = append(jobs, flow.StoredJob{Job: j})
		ended = append(ended, infra.EndedRun{Number: int64(n + 1), Task: infra.TaskID{Job: j.ID}, Run: 1, Outcome: infra.OutcomeDone})
	}
	a := newPoolWorker("a")
	a.Draining, a.Remaining = true, 7*time.Second
	h := newHarness(t, flow.Restored{Jobs: jobs, Term: 1}, a)
	h.isStoreDown = true
	h.report("a", infra.Report{Ended: ended})
	h.advance(100 * time.Millisecond)
	inRoster := false
	for at := 0; at < len(h.effects); at++ {
		if e, ok := h.effects[at].(flow.Save); ok {
			for _, r := range e.Roster {
				inRoster = inRoster || r.Worker == "a"
			}
			h.step(flow.Saved{Batch: e.Batch})
			h.advance(50 * time.Millisecond)
		}
	}
	assert.Assert(t, inRoster, "60 ends were stored in several batches, the worker was in no stored roster")
}

// A registration that announces a restart may come from another writer. That of a worker without runs was believed, the worker
// left the roster, and its ends were forgotten although they were not stored.
func TestAnnouncedRestartKeepsEnds(t *testing.T) {
	h, jobs, started := runOnOneWorker(t)
	h.endAll(started)
	foreign := newPoolWorker("a")
	foreign.StartedAt, foreign.Draining = runStartedAt+1000, true
	h.step(flow.WorkerListed{Worker: foreign})
	h.advance(100 * time.Millisecond)
	h.storeBatches(func(stored map[fleet.JobID]bool, roster []flow.RosterEntry) {
		if len(roster) == 0 {
			assert.Equal(t, len(stored), len(jobs), "jobs stored when the worker has left the roster")
		}
	})
}
