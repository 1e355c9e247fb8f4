package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// After a takeover a worker may report its runs before it is listed with its capacity. The load of its fillers was then
// counted against an unknown capacity and never released. The weights that were learned from this load were close to
// zero, and fillers were then placed beside every serving task.
func TestFillersAdoptedBeforeListing(t *testing.T) {
	serving := infra.Step{
		Count: 1, Size: fleet.Resources{MilliCPU: 2000, MemoryBytes: 1 << 30}, LongRunning: true, Image: "serving",
		TailTarget: 50 * time.Millisecond, Estimate: time.Second,
	}
	filler := infra.Step{
		Count: 1, Size: fleet.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Filler: true, Image: "filler", Estimate: time.Second,
	}
	h := newHarness(t, flow.Restored{
		Jobs:   []flow.StoredJob{{Job: singleStepJob("serving", serving)}, {Job: singleStepJob("old", filler)}},
		Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	})
	servingRun := infra.ActiveRun{Task: infra.TaskID{Job: "serving"}, Run: 1, Progress: 100, Measurement: 25}
	fillerRun := infra.ActiveRun{Task: infra.TaskID{Job: "old"}, Run: 1, Progress: 50, Measurement: 1000}
	h.report("a", infra.Report{Running: []infra.ActiveRun{servingRun, fillerRun}})
	h.step(flow.WorkerListed{Worker: newPoolWorker("a")})
	for range 4 {
		h.advance(time.Second)
		h.report("a", infra.Report{Running: []infra.ActiveRun{servingRun}, Ended: []infra.EndedRun{{Number: 1, Task: fillerRun.Task, Run: 1, Outcome: infra.OutcomeDone}}})
	}
	var saved []flow.InterferenceRecord
	for _, e := range h.effects {
		if e, ok := e.(flow.Save); ok && e.Interference != nil {
			saved = e.Interference
		}
	}
	assert.Equal(t, len(saved), 1)
	for _, pair := range saved[0].Pairs {
		assert.Assert(t, pair.Weight > 1, "weight of %s: %v", pair.Image, pair.Weight)
	}
	h.starts()
	h.step(flow.Submitted{Job: singleStepJob("new", filler)})
	h.advance(200 * time.Millisecond)
	started := h.starts()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Order.Task.Job, fleet.JobID("new"))
}

// A filler that a predecessor paused makes no progress until a successor resumes it. It was taken for a stalled one,
// which lost its work and kept new tasks from its worker.
func TestPausedFillersAreResumedAfterTakeover(t *testing.T) {
	filler := infra.Step{
		Count: 1, Size: fleet.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Filler: true, Image: "filler", Estimate: time.Second,
	}
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("j", filler)}}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, newPoolWorker("a"))
	paused := infra.ActiveRun{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: 50}
	for range 6 {
		h.report("a", infra.Report{Running: []infra.ActiveRun{paused}})
		h.advance(250 * time.Millisecond)
	}
	resumed := false
	for _, e := range h.effects {
		switch e := e.(type) {
		case flow.Throttle:
			resumed = resumed || e.Order.SpeedPercent == 100
		case flow.Stop:
			assert.Assert(t, resumed, "stopped: %v", e)
		default:
		}
	}
	assert.Assert(t, resumed)
}
