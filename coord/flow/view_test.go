package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// An operator who asks why a task waits must be told what keeps each worker from taking it.
func TestJobTellsWhyItWaits(t *testing.T) {
	b := newBench(t, flow.Restored{}, poolWorker("a"), poolWorker("b"), poolWorker("c"))
	b.report("a", infra.Report{})
	b.report("b", infra.Report{})
	leaving := poolWorker("b")
	leaving.Draining = true
	b.step(flow.WorkerListed{Worker: leaving})
	big := infra.Step{Count: 2, Size: fleet.Resources{MilliCPU: 8000, MemoryBytes: 1 << 30}, Estimate: time.Second}
	later := big
	later.After = []int{0}
	j := oneStep("j", big)
	j.Steps = append(j.Steps, later)
	b.step(flow.Submitted{Job: j})
	b.pass(200 * time.Millisecond)
	v, found := b.m.Job("j")
	assert.Assert(t, found)
	assert.Equal(t, len(v.Steps), 2)
	assert.DeepEqual(t, v.Steps[0].WorkersByReason, map[string]int{
		"no room for its size": 1, "drains": 1, "has not answered this scheduler yet": 1,
	})
	assert.Equal(t, len(v.Steps[0].Runs), 1)
	assert.Equal(t, v.Steps[1].BlockedReason, "earlier steps are not done")
	o := b.m.Overview()
	assert.Equal(t, o.Workers, 3)
	assert.Equal(t, o.Draining, 1)
	assert.Equal(t, o.Ready, 1)
	assert.Equal(t, o.Unanswered, 1)
	views := b.m.Workers()
	assert.Equal(t, views[0].Used.MilliCPU, int64(8000))
	assert.Equal(t, views[1].RefusalReason, "drains")
	_, found = b.m.Job("other")
	assert.Assert(t, !found)
}
