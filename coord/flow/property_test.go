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

// drawJob draws a job of up to three steps.
func drawJob(t *rapid.T, n int) (infra.Job, []int) {
	j := infra.Job{ID: fleet.JobID(fmt.Sprintf("%016x", n)), Queue: "batch", Spec: "s", MaxAttempts: 4}
	if rapid.Bool().Draw(t, "urgent") {
		j.Queue, j.MaxAttempts = "urgent", 3
	}
	var poison []int
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
			poison = append(poison, i)
		case 3, 4:
			s.Speculative = true
		}
		j.Steps = append(j.Steps, s)
	}
	return j, poison
}

// plan is a random mix of jobs and faults.
func plan(t *rapid.T, w *world) {
	w.elect(false)
	w.run(time.Second)
	jobs := rapid.IntRange(2, 12).Draw(t, "jobs")
	for n := range jobs {
		at := time.Duration(rapid.IntRange(0, 8000).Draw(t, "at")) * time.Millisecond
		j, poison := drawJob(t, n)
		w.after(at, func() { w.submit(j, poison...) })
		if rapid.IntRange(0, 5).Draw(t, "cancel") == 0 {
			w.after(at+time.Duration(rapid.IntRange(1, 3000).Draw(t, "cancel_at"))*time.Millisecond, func() { w.cancel(j.ID) })
		}
	}
	for range rapid.IntRange(0, 6).Draw(t, "faults") {
		at := time.Duration(rapid.IntRange(0, 10000).Draw(t, "fault_at")) * time.Millisecond
		span := time.Duration(rapid.IntRange(300, 9000).Draw(t, "span")) * time.Millisecond
		id := w.order[rapid.IntRange(0, len(w.order)-1).Draw(t, "worker")]
		switch rapid.IntRange(0, 9).Draw(t, "fault") {
		case 0:
			w.after(at, func() { w.crash(id, span, false) })
		case 1:
			w.after(at, func() { w.crash(id, span, true) })
		case 2:
			w.after(at, func() { w.cut(id, span) })
		case 3:
			w.after(at, func() { w.elect(false) })
		case 4:
			w.after(at, func() { w.elect(true) })
		case 5:
			w.after(at, func() { w.storeDown = true })
			w.after(at+span, func() { w.storeDown = false })
		case 6:
			w.after(at, func() { w.lost = 0.1 })
			w.after(at+span, func() { w.lost = 0 })
		case 7:
			w.after(at, func() { w.replace(id) })
		case 8:
			w.after(at, func() { w.kill(span) })
		case 9:
			w.after(at, func() { w.drain(id, span) })
		}
	}
}

// settle is the time after the last fault within which every job must have come to its end: 14 s for the leases of a
// former scheduler, and the work itself.
const settle = 60 * time.Second

// Whatever fails and in whichever order, no task may run twice at once or after its end was noted, no worker may hold more
// than it can, no step may start early, attempts are bounded, and every job comes to its end.
func TestPromisesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "workers"))
		w.trace = func(o *owner, _ flow.Event, e flow.Effect) {
			if n, ok := e.(flow.Log); ok {
				t.Logf("%v token %d: %+v", w.now.Sub(time.Unix(1000, 0)), o.token, n)
			}
		}
		plan(t, w)
		w.run(20*time.Second + settle)
		w.checkAttempts()
		assert.Assert(t, len(w.broken) == 0, "%q", w.broken)
		for _, id := range w.ids {
			state, found := w.leader.m.State(id)
			assert.Assert(t, found, "job %s is not known", id)
			assert.Assert(t, state.Final(), "job %s is still %s: %+v", id, state, w.jobs[id].spec)
			j := w.jobs[id]
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
				assert.Assert(t, len(j.poison) > 0, "job %s failed without a cause", id)
			}
		}
		for _, id := range w.order {
			assert.Equal(t, len(w.workers[id].runs), 0, "%s still runs something", id)
		}
	})
}
