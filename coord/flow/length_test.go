package flow_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// Estimates that are off by two and a half must not decide which job is late: the scheduler learns how much the estimates of
// a queue say, and takes the work of a job from that (seen as jobs given up that would have been in time).
func TestUselessEstimatesAreNotTrusted(t *testing.T) {
	b := newBench(t, flow.Restored{}, poolWorker("a"))
	b.report("a", infra.Report{})
	rng := rand.New(rand.NewPCG(7, 7))
	const usual = 2 * time.Second
	ends := int64(0)
	for n := range 60 {
		id := fmt.Sprintf("j%02d", n)
		s := small(1)
		s.Estimate = time.Duration(float64(usual) * math.Exp(0.9*rng.NormFloat64()))
		b.step(flow.Submitted{Job: oneStep(id, s)})
		b.pass(50 * time.Millisecond)
		b.pass(usual)
		ends++
		b.report("a", infra.Report{Ended: []infra.EndedRun{{Number: ends, Task: infra.TaskID{Job: fleet.JobID(id)}, Run: 1, Outcome: infra.OutcomeDone}}})
		b.report("a", infra.Report{})
	}
	for _, estimate := range []time.Duration{usual / 5, usual, 5 * usual} {
		s := small(1)
		s.Estimate = estimate
		id := fleet.JobID(fmt.Sprint("probe", estimate))
		b.step(flow.Submitted{Job: infra.Job{ID: id, Queue: "batch", Steps: []infra.Step{s}}})
		b.pass(25 * time.Millisecond)
		v, found := b.m.Job(id)
		assert.Assert(t, found)
		// The queue stretches the chain by 2 and adds a second; one chain is left to run.
		slack := time.Duration(v.Slack) * time.Millisecond
		assert.Assert(t, slack > 2*time.Second && slack < 4500*time.Millisecond, "estimate %v leaves %v", estimate, slack)
	}
}

// While more work waits than the workers can run, the jobs that earn most for the work that is left of them go first, of
// those that are still in time: most urgent first lets all of them be late.
func TestOverloadRunsTheCheapestCreditFirst(t *testing.T) {
	b := newBench(t, flow.Restored{}, poolWorker("a"))
	b.report("a", infra.Report{})
	fill := infra.Step{Count: 1, Size: fleet.Resources{MilliCPU: 10000, MemoryBytes: 1 << 30}, Estimate: time.Second}
	b.step(flow.Submitted{Job: oneStep("now", fill)})
	b.pass(50 * time.Millisecond)
	b.out = nil
	large, little := fill, fill
	large.Count, large.Estimate = 8, 2*time.Second
	b.step(flow.Submitted{Job: oneStep("large", large)})
	b.pass(500 * time.Millisecond)
	b.step(flow.Submitted{Job: oneStep("little", little)})
	b.pass(500 * time.Millisecond)
	b.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: infra.TaskID{Job: "now"}, Run: 1, Outcome: infra.OutcomeDone}}})
	b.pass(50 * time.Millisecond)
	starts := b.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, fleet.JobID("little"), "the large job is older and has less slack")
}

// On a fleet that lasting tasks fill, short urgent jobs in time get the cores that become free, or none of them ever runs
// (grown fleets: 257 of 626 quick checks failed while trackers waited in front of them).
func TestJobsInTimeGoBeforeLastingTasks(t *testing.T) {
	b := newBench(t, flow.Restored{}, poolWorker("a"))
	b.report("a", infra.Report{})
	fill := infra.Step{Count: 1, Size: fleet.Resources{MilliCPU: 10000, MemoryBytes: 1 << 30}, Estimate: time.Second}
	b.step(flow.Submitted{Job: oneStep("now", fill)})
	b.pass(50 * time.Millisecond)
	b.out = nil
	lasting := fill
	lasting.LongRunning = true
	b.step(flow.Submitted{Job: oneStep("lasting", lasting)})
	b.pass(200 * time.Millisecond)
	b.step(flow.Submitted{Job: oneStep("quick", fill)})
	b.pass(200 * time.Millisecond)
	end := func(n int64, job fleet.JobID) infra.Report {
		return infra.Report{Ended: []infra.EndedRun{{Number: n, Task: infra.TaskID{Job: job}, Run: 1, Outcome: infra.OutcomeDone}}}
	}
	b.report("a", end(1, "now"))
	b.pass(50 * time.Millisecond)
	starts := b.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, fleet.JobID("quick"))
	b.report("a", end(2, "quick"))
	b.pass(50 * time.Millisecond)
	starts = b.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, fleet.JobID("lasting"), "free cores are not held back from lasting tasks")
}
