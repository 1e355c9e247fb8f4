package flow_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// drawSchedule draws a job of quick steps of which many occurrences are due.
func drawSchedule(t *rapid.T, n int) infra.Job {
	j := infra.Job{ID: fleet.JobID(fmt.Sprintf("5c%014x", n)), Queue: "batch", Spec: "s", MaxAttempts: 4}
	for i := range rapid.IntRange(1, 2).Draw(t, "scheduled_steps") {
		s := infra.Step{
			Count: rapid.IntRange(1, 3).Draw(t, "scheduled_count"), Estimate: 100 * time.Millisecond,
			Size: fleet.Resources{MilliCPU: int64(rapid.IntRange(100, 400).Draw(t, "scheduled_cpu")), MemoryBytes: 1 << 28},
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	count := rapid.Int64Range(2, 250).Draw(t, "occurrences")
	interval := time.Duration(rapid.IntRange(1, 100).Draw(t, "interval")) * time.Millisecond
	due := rapid.Int64Range(0, count).Draw(t, "due")
	j.Schedule = infra.Schedule{Count: count, Start: time.Unix(1000, 0).Add(-time.Duration(due) * interval).UnixMilli(), Interval: interval}
	return j
}

// The invariants hold beside schedules with more due occurrences than are created at once, and each task of each occurrence is done.
func TestInvariantsOfBacklogsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "workers"))
		var scheduled []infra.Job
		for n := range rapid.IntRange(1, 2).Draw(t, "schedules") {
			j := drawSchedule(t, n)
			scheduled = append(scheduled, j)
			sim.after(time.Duration(rapid.IntRange(1000, 4000).Draw(t, "submitted"))*time.Millisecond, func() { sim.submit(j) })
		}
		sim.checkInvariants(t)
		for _, j := range scheduled {
			if state, _ := sim.leader.m.State(j.ID); state != infra.StateCompleted {
				continue
			}
			for n := range j.Schedule.Count {
				for step, s := range j.Steps {
					for i := range s.Count {
						task := infra.TaskID{Job: j.ID, Occurrence: n, Step: step, Index: i}
						assert.Assert(t, sim.jobs[j.ID].done[task], "%v is not done, but its job is completed", task)
					}
				}
			}
		}
		// A complete job needs no parts.
		sim.run(2 * time.Second)
		for key := range sim.parts {
			state, _ := sim.leader.m.State(key.Job)
			assert.Assert(t, !state.Final(), "part %v of a job that is %s is still stored", key, state)
		}
	})
}
