package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// The job view must show why each worker cannot take a waiting task.
func TestJobViewExplainsWaiting(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"), newPoolWorker("c"))
	h.report("a", infra.Report{})
	h.report("b", infra.Report{})
	leaving := newPoolWorker("b")
	leaving.Draining = true
	h.step(flow.WorkerListed{Worker: leaving})
	big := infra.Step{Count: 2, Size: fleet.Resources{MilliCPU: 8000, MemoryBytes: 1 << 30}, Estimate: time.Second}
	later := big
	later.After = []int{0}
	j := singleStepJob("j", big)
	j.Steps = append(j.Steps, later)
	h.step(flow.Submitted{Job: j})
	h.advance(200 * time.Millisecond)
	v, found := h.m.Job("j")
	assert.Assert(t, found)
	assert.Equal(t, len(v.Steps), 2)
	assert.DeepEqual(t, v.Steps[0].WorkersByReason, map[string]int{
		"no room for its size": 1, "drains": 1, "has not answered this scheduler yet": 1,
	})
	assert.Equal(t, len(v.Steps[0].Runs), 1)
	assert.Equal(t, v.Steps[1].BlockedReason, "earlier steps are not done")
	o := h.m.Overview()
	assert.Equal(t, o.Workers, 3)
	assert.Equal(t, o.Draining, 1)
	assert.Equal(t, o.Ready, 1)
	assert.Equal(t, o.Unanswered, 1)
	views := h.m.Workers()
	assert.Equal(t, views[0].Used.MilliCPU, int64(8000))
	assert.Equal(t, views[1].UnusableReason, "drains")
	_, found = h.m.Job("other")
	assert.Assert(t, !found)
}

// The log must show afterwards why tasks waited, and whether the load that is counted for fillers can be right.
func TestSummaryExplainsWaiting(t *testing.T) {
	filler := infra.Step{
		Count: 12, Size: fleet.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Filler: true, Image: "filler", Estimate: time.Second,
	}
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"))
	h.report("a", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("j", filler)})
	h.advance(5 * time.Second)
	var reasons []string
	for _, e := range h.effects {
		if e, ok := e.(flow.Log); ok && (e.Text == "tasks waiting" || e.Text == "fillers") {
			reasons = append(reasons, e.Reason)
		}
	}
	assert.Assert(t, len(reasons) >= 4 && len(reasons) <= 6, "%q", reasons)
	assert.DeepEqual(t, reasons[len(reasons)-2:], []string{
		"queue batch: 2 tasks of 1 steps; 0 % of the processors and 7 % of the memory reserved; workers: 1 has not answered this scheduler yet, 1 no processor time to spare",
		"10 running, 0 of them paused; they reserve 10000m and request 10000m",
	})
}

// The age of the last report of a worker that has sent none was shown as 292 years.
func TestReportAgeBeforeFirstReport(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"))
	h.report("b", infra.Report{})
	h.advance(100 * time.Millisecond)
	views := h.m.Workers()
	assert.Equal(t, views[0].ReportAge, int64(-1))
	assert.Equal(t, views[1].ReportAge, int64(100))
}

// Guards against a view that takes the scheduler long, or a message that no peer accepts, because a job is large.
func TestViewOfLargeJobIsBounded(t *testing.T) {
	w := newPoolWorker("a")
	w.Capacity = fleet.Resources{MilliCPU: 1000 * 500, MemoryBytes: 1 << 40}
	h := newHarness(t, flow.Restored{}, w)
	h.report("a", infra.Report{})
	j := singleStepJob("j", smallStep(400))
	for range 100 {
		s := smallStep(1)
		s.After = []int{0}
		j.Steps = append(j.Steps, s)
	}
	h.step(flow.Submitted{Job: j})
	for range 20 {
		h.advance(25 * time.Millisecond)
		h.answer(h.starts())
	}
	v, found := h.m.Job("j")
	assert.Assert(t, found)
	assert.Equal(t, len(v.Steps)+v.OmittedSteps, 101)
	assert.Assert(t, len(v.Steps) <= 50)
	assert.Equal(t, len(v.Steps[0].Runs)+v.Steps[0].OmittedRuns, 400)
	assert.Assert(t, len(v.Steps[0].Runs) <= 300)
}
