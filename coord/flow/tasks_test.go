package flow_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// Guards against a scheduler whose memory the tasks decide that wait (LOST): fifty jobs of 20,000 tasks took more than a small host
// has, and each successor would follow.
func TestWaitingTasksTakeLittleMemory(t *testing.T) {
	const jobs, bytesPerTask = 50, 10
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	heap := func() int64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return int64(s.HeapAlloc)
	}
	before := heap()
	for n := range jobs {
		h.step(flow.Submitted{Job: singleStepJob(fmt.Sprintf("j%02d", n), smallStep(infra.MaxTasks))})
	}
	h.advance(500 * time.Millisecond)
	assert.Assert(t, len(h.starts()) > 0)
	used := heap() - before
	assert.Assert(t, used < jobs*infra.MaxTasks*bytesPerTask, "%d bytes", used)
	runtime.KeepAlive(h)
}
