package flow_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// renewalFails fails the latest [flow.Renew] of a worker without an answer.
func (h *harness) renewalFails(id fleet.WorkerID) {
	h.step(flow.RenewFailed{Worker: id, Sequence: h.seq[id], Err: &infra.NoAnswerError{Worker: id}})
}

// lastRoster returns the last saved roster.
func (h *harness) lastRoster() []flow.RosterEntry {
	var roster []flow.RosterEntry
	for _, e := range h.effects {
		if s, ok := e.(flow.Save); ok && s.Roster != nil {
			roster = s.Roster
		}
	}
	return roster
}

// startOnDrainingWorker returns a scheduler with a task that runs on the worker a, which is draining then.
func startOnDrainingWorker(t *testing.T) (*harness, infra.StartOrder) {
	a := newPoolWorker("a")
	h := newHarness(t, flow.Restored{Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1))}}}, a)
	h.report("a", infra.Report{})
	h.advance(100 * time.Millisecond)
	var orders []infra.StartOrder
	for _, e := range h.effects {
		if s, ok := e.(flow.Start); ok {
			orders = append(orders, s.Order)
		}
	}
	assert.Equal(t, len(orders), 1)
	h.step(flow.WorkerListed{Worker: newPoolWorker("b")})
	h.report("b", infra.Report{})
	a.Draining, a.Remaining = true, 7*time.Second
	h.step(flow.WorkerListed{Worker: a})
	h.report("a", infra.Report{Running: []infra.ActiveRun{{Task: orders[0].Task, Run: orders[0].Run, Progress: 10}}})
	h.advance(100 * time.Millisecond)
	return h, orders[0]
}

// A draining worker that was cut off, and therefore no longer listed, was taken to have left. Its tasks started again while
// they were still running.
func TestDrainingWorkerThatIsCutOff(t *testing.T) {
	h, _ := startOnDrainingWorker(t)
	h.effects = nil
	h.renewalFails("a")
	h.advance(3 * time.Second)
	h.renewalFails("a")
	h.step(flow.WorkerUnlisted{Worker: "a"})
	h.report("b", infra.Report{})
	h.advance(2500 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	h.report("b", infra.Report{})
	h.advance(time.Second)
	started := h.starts()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].To.Worker, fleet.WorkerID("b"))
}

// A successor took a draining worker that was not listed and did not answer to have left, and started its tasks while they
// were still running.
func TestSuccessorWaitsForDrainingWorkerThatIsCutOff(t *testing.T) {
	predecessor, _ := startOnDrainingWorker(t)
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1))}}, Roster: predecessor.lastRoster(), Term: 1,
	}, newPoolWorker("b"))
	h.report("b", infra.Report{})
	for range 10 {
		h.renewalFails("a")
		h.advance(time.Second)
		h.report("b", infra.Report{})
	}
	assert.Equal(t, len(h.starts()), 0)
}

// A successor must not wait for a worker that has left after it had drained.
func TestDrainedWorkerIsRemovedFromRoster(t *testing.T) {
	h, order := startOnDrainingWorker(t)
	assert.DeepEqual(t, h.lastRoster(), []flow.RosterEntry{{Worker: "a", Address: "a:1", RenewedBefore: 1}, {Worker: "b", Address: "b:1", RenewedBefore: 1}})
	h.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: order.Task, Run: order.Run, Outcome: infra.OutcomeDone}}})
	h.advance(100 * time.Millisecond)
	assert.DeepEqual(t, h.lastRoster(), []flow.RosterEntry{{Worker: "b", Address: "b:1", RenewedBefore: 1}})
	// The worker stays after all.
	h.step(flow.WorkerListed{Worker: newPoolWorker("a")})
	h.advance(100 * time.Millisecond)
	assert.DeepEqual(t, h.lastRoster(), []flow.RosterEntry{{Worker: "a", Address: "a:1", RenewedBefore: 1}, {Worker: "b", Address: "b:1", RenewedBefore: 1}})
}

// Draining workers that are cut off, with and without a change of the scheduler, must not have their tasks started again
// before their leases have expired.
func TestInvariantsOfDrainingWorkersThatAreCutOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 4)
		sim.logTo(t)
		sim.elect(false)
		sim.run(time.Second)
		for n := range 8 {
			long := infra.Step{
				Count: 4, Size: fleet.Resources{MilliCPU: 1000, MemoryBytes: 1 << 28},
				Estimate: time.Duration(rapid.IntRange(500, 8000).Draw(t, "ms")) * time.Millisecond,
			}
			sim.submit(infra.Job{ID: fleet.JobID(fmt.Sprintf("%016x", n)), Queue: "batch", Steps: []infra.Step{long}})
		}
		for range rapid.IntRange(1, 2).Draw(t, "drains") {
			id := sim.workerIDs[rapid.IntRange(0, len(sim.workerIDs)-1).Draw(t, "worker")]
			at := time.Duration(rapid.IntRange(0, 2000).Draw(t, "at")) * time.Millisecond
			remaining := time.Duration(rapid.IntRange(2000, 12000).Draw(t, "remaining")) * time.Millisecond
			cutAfter := time.Duration(rapid.IntRange(0, 2000).Draw(t, "cut_after")) * time.Millisecond
			cut := time.Duration(rapid.IntRange(3300, 9000).Draw(t, "cut")) * time.Millisecond
			sim.after(at, func() { sim.drain(id, remaining) })
			sim.after(at+cutAfter, func() { sim.partition(id, cut) })
			if rapid.Bool().Draw(t, "takeover") {
				after := time.Duration(rapid.IntRange(0, 5000).Draw(t, "takeover_after")) * time.Millisecond
				cutOff := rapid.Bool().Draw(t, "predecessor_cut_off")
				sim.after(at+after, func() { sim.elect(cutOff) })
			}
		}
		sim.run(10*time.Second + settleTime)
		assert.Assert(t, len(sim.violations) == 0, "%q", sim.violations)
		for _, id := range sim.jobIDs {
			state, _ := sim.leader.m.State(id)
			assert.Equal(t, state, infra.StateCompleted)
		}
	})
}
