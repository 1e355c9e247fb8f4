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

// Estimates that are off by a factor of 2.5 must not decide which jobs count as late; otherwise jobs are given up that
// would have been on time. The scheduler learns how informative the estimates of a queue are and predicts run times
// accordingly.
func TestUninformativeEstimatesAreDiscounted(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	rng := rand.New(rand.NewPCG(7, 7))
	const usual = 2 * time.Second
	ends := int64(0)
	for n := range 60 {
		id := fmt.Sprintf("j%02d", n)
		s := smallStep(1)
		s.Estimate = time.Duration(float64(usual) * math.Exp(0.9*rng.NormFloat64()))
		h.step(flow.Submitted{Job: singleStepJob(id, s)})
		h.advance(50 * time.Millisecond)
		h.advance(usual)
		ends++
		h.report("a", infra.Report{Ended: []infra.EndedRun{{Number: ends, Task: infra.TaskID{Job: fleet.JobID(id)}, Run: 1, Outcome: infra.OutcomeDone}}})
		h.report("a", infra.Report{})
	}
	for _, estimate := range []time.Duration{usual / 5, usual, 5 * usual} {
		s := smallStep(1)
		s.Estimate = estimate
		id := fleet.JobID(fmt.Sprint("probe", estimate))
		h.step(flow.Submitted{Job: infra.Job{ID: id, Queue: "batch", Steps: []infra.Step{s}}})
		h.advance(25 * time.Millisecond)
		v, found := h.m.Job(id)
		assert.Assert(t, found)
		// The queue multiplies the critical path by 2 and adds one second; one critical path remains.
		slack := time.Duration(v.Slack) * time.Millisecond
		assert.Assert(t, slack > 2*time.Second && slack < 4500*time.Millisecond, "estimate %v leaves %v", estimate, slack)
	}
}

// Under overload, jobs that are still on time run in the order of their remaining work per credit. Ordering them by
// urgency would make all of them late.
func TestOverloadRunsLeastWorkPerCreditFirst(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	wholeWorker := infra.Step{Count: 1, Size: fleet.Resources{MilliCPU: 10000, MemoryBytes: 1 << 30}, Estimate: time.Second}
	h.step(flow.Submitted{Job: singleStepJob("now", wholeWorker)})
	h.advance(50 * time.Millisecond)
	h.effects = nil
	large, little := wholeWorker, wholeWorker
	large.Count, large.Estimate = 8, 2*time.Second
	h.step(flow.Submitted{Job: singleStepJob("large", large)})
	h.advance(500 * time.Millisecond)
	h.step(flow.Submitted{Job: singleStepJob("little", little)})
	h.advance(500 * time.Millisecond)
	h.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: infra.TaskID{Job: "now"}, Run: 1, Outcome: infra.OutcomeDone}}})
	h.advance(50 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, fleet.JobID("little"), "the large job is older and has less slack")
}

// On workers that are filled with long-running tasks, short urgent jobs that are on time must get the cores that
// become free. Otherwise they never run: on large sites, 257 of 626 quick checks failed while long-running trackers
// waited in front of them.
func TestOnTimeJobsRunBeforeLongRunningTasks(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	wholeWorker := infra.Step{Count: 1, Size: fleet.Resources{MilliCPU: 10000, MemoryBytes: 1 << 30}, Estimate: time.Second}
	h.step(flow.Submitted{Job: singleStepJob("now", wholeWorker)})
	h.advance(50 * time.Millisecond)
	h.effects = nil
	longRunning := wholeWorker
	longRunning.LongRunning = true
	h.step(flow.Submitted{Job: singleStepJob("lasting", longRunning)})
	h.advance(200 * time.Millisecond)
	h.step(flow.Submitted{Job: singleStepJob("quick", wholeWorker)})
	h.advance(200 * time.Millisecond)
	end := func(n int64, job fleet.JobID) infra.Report {
		return infra.Report{Ended: []infra.EndedRun{{Number: n, Task: infra.TaskID{Job: job}, Run: 1, Outcome: infra.OutcomeDone}}}
	}
	h.report("a", end(1, "now"))
	h.advance(50 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, fleet.JobID("quick"))
	h.report("a", end(2, "quick"))
	h.advance(50 * time.Millisecond)
	starts = h.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, fleet.JobID("lasting"), "long-running tasks get free cores")
}
