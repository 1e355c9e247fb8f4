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

// drawJob draws a job of up to three steps, and the indexes of its failing steps.
func drawJob(t *rapid.T, n int) (infra.Job, []int) {
	j := infra.Job{ID: fleet.JobID(fmt.Sprintf("%016x", n)), Queue: "batch", Spec: "s", MaxAttempts: 4}
	if rapid.Bool().Draw(t, "urgent") {
		j.Queue, j.MaxAttempts = "urgent", 3
	}
	var failing []int
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		s := infra.Step{
			Count:    rapid.IntRange(1, 6).Draw(t, "count"),
			Size:     fleet.Resources{MilliCPU: int64(rapid.IntRange(500, 4000).Draw(t, "cpu")), MemoryBytes: 1 << 28},
			Estimate: time.Duration(rapid.IntRange(100, 2500).Draw(t, "ms")) * time.Millisecond,
		}
		if i > 0 && rapid.Bool().Draw(t, "depends") {
			s.After = []int{i - 1}
		}
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0:
			s.MaxPerWorker = 1
		case 1:
			s.Filler, s.Image = true, "f"
		case 2:
			failing = append(failing, i)
		case 3, 4:
			s.Speculative = true
		}
		j.Steps = append(j.Steps, s)
	}
	return j, failing
}

// logTo writes the log of all schedulers to a test's log.
func (sim *simulation) logTo(t *rapid.T) {
	sim.trace = func(sched *simScheduler, _ flow.Event, e flow.Effect) {
		if n, ok := e.(flow.Log); ok {
			t.Logf("%v token %d: %+v", sim.now.Sub(time.Unix(1000, 0)), sched.token, n)
		}
	}
	sim.note = func(format string, args ...any) {
		t.Logf("%v %s", sim.now.Sub(time.Unix(1000, 0)), fmt.Sprintf(format, args...))
	}
}

// scheduleEvents schedules a random mix of jobs and faults.
func scheduleEvents(t *rapid.T, sim *simulation) {
	sim.elect(false)
	sim.run(time.Second)
	jobs := rapid.IntRange(2, 12).Draw(t, "jobs")
	for n := range jobs {
		at := time.Duration(rapid.IntRange(0, 8000).Draw(t, "at")) * time.Millisecond
		j, failing := drawJob(t, n)
		sim.after(at, func() { sim.submit(j, failing...) })
		if rapid.IntRange(0, 5).Draw(t, "cancel") == 0 {
			sim.after(at+time.Duration(rapid.IntRange(1, 3000).Draw(t, "cancel_at"))*time.Millisecond, func() { sim.cancel(j.ID) })
		}
	}
	for range rapid.IntRange(0, 6).Draw(t, "faults") {
		at := time.Duration(rapid.IntRange(0, 10000).Draw(t, "fault_at")) * time.Millisecond
		span := time.Duration(rapid.IntRange(300, 9000).Draw(t, "span")) * time.Millisecond
		id := sim.workerIDs[rapid.IntRange(0, len(sim.workerIDs)-1).Draw(t, "worker")]
		switch rapid.IntRange(0, 9).Draw(t, "fault") {
		case 0:
			sim.after(at, func() { sim.crash(id, span, false) })
		case 1:
			sim.after(at, func() { sim.crash(id, span, true) })
		case 2:
			sim.after(at, func() { sim.partition(id, span) })
		case 3:
			sim.after(at, func() { sim.elect(false) })
		case 4:
			sim.after(at, func() { sim.elect(true) })
		case 5:
			sim.after(at, func() { sim.storeDown = true })
			sim.after(at+span, func() { sim.storeDown = false })
		case 6:
			sim.after(at, func() { sim.lostShare = 0.1 })
			sim.after(at+span, func() { sim.lostShare = 0 })
		case 7:
			sim.after(at, func() { sim.replace(id) })
		case 8:
			sim.after(at, func() { sim.killScheduler(span) })
		case 9:
			sim.after(at, func() { sim.drain(id, span) })
		}
	}
}

// settleTime is the time after the last fault within which every job must end: 14 s for the leases of a predecessor,
// and the run times.
const settleTime = 60 * time.Second

// Under any sequence of faults, no task may run twice at once or after its end was acknowledged, no worker may be
// overcommitted, no step may start early, attempts are limited, and every job must end.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "workers"))
		sim.checkInvariants(t)
	})
}

// The same holds if jobs reach a successor seconds after they were stored, and a predecessor whose lease the store has ended
// early takes them at once.
func TestInvariantsWithLaggingWatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "workers"))
		sim.inputLag = time.Duration(rapid.IntRange(1, 3000).Draw(t, "input_lag")) * time.Millisecond
		sim.checkInvariants(t)
	})
}

func (sim *simulation) checkInvariants(t *rapid.T) {
	sim.logTo(t)
	scheduleEvents(t, sim)
	sim.run(20*time.Second + settleTime)
	sim.checkMaxAttempts()
	assert.Assert(t, len(sim.violations) == 0, "%q", sim.violations)
	for _, id := range sim.jobIDs {
		state, found := sim.leader.m.State(id)
		assert.Assert(t, found, "job %s is unknown", id)
		assert.Assert(t, state.Final(), "job %s has not ended, it is %s: %+v", id, state, sim.jobs[id].spec)
		j := sim.jobs[id]
		if state == infra.StateCompleted {
			for step, s := range j.spec.Steps {
				for i := range s.Count {
					task := infra.TaskID{Job: id, Step: step, Index: i}
					assert.Assert(t, j.done[task], "%v is not done, but its job is completed", task)
				}
			}
		}
		if state == infra.StateCancelled {
			assert.Assert(t, !j.cancelled.IsZero(), "job %s was never cancelled", id)
		}
		if state == infra.StateFailed {
			assert.Assert(t, len(j.failingSteps) > 0 || sim.crashes.mayFail(j), "job %s failed without a failing step", id)
		}
	}
	for _, id := range sim.workerIDs {
		assert.Equal(t, len(sim.workers[id].runs), 0, "%s still has runs", id)
	}
}

// The same holds if batches take long, reports list few of the ends, jobs arrive late, and workers are cut off around several
// changes of the scheduler.
func TestInvariantsBesideSlowStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "workers"))
		sim.inputLag = time.Duration(rapid.IntRange(0, 3000).Draw(t, "input_lag")) * time.Millisecond
		sim.storeDelay = time.Duration(rapid.IntRange(0, 600).Draw(t, "store_delay")) * time.Millisecond
		sim.maxListedEnds = rapid.SampledFrom([]int{1, 2, 4, 500}).Draw(t, "page")
		at := time.Duration(rapid.IntRange(1000, 4000).Draw(t, "t0")) * time.Millisecond
		for range rapid.IntRange(1, 3).Draw(t, "takeovers") {
			cutOff := rapid.Bool().Draw(t, "cutoff")
			sim.after(at, func() { sim.elect(cutOff) })
			at += time.Duration(rapid.IntRange(50, 4000).Draw(t, "gap")) * time.Millisecond
		}
		for range rapid.IntRange(0, 2).Draw(t, "cuts") {
			id := sim.workerIDs[rapid.IntRange(0, len(sim.workerIDs)-1).Draw(t, "w")]
			span := time.Duration(rapid.IntRange(300, 9000).Draw(t, "s")) * time.Millisecond
			sim.after(time.Duration(rapid.IntRange(1000, 12000).Draw(t, "cut"))*time.Millisecond, func() { sim.partition(id, span) })
		}
		sim.checkInvariants(t)
	})
}
