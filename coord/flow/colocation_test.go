package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

const tailTarget = 50 * time.Millisecond

// colocated is a worker that runs a serving task beside fillers.
type colocated struct {
	*harness
	running []infra.ActiveRun
}

// newColocated starts a serving task and then fillers on one worker.
func newColocated(t *testing.T, fillers int) *colocated {
	c := &colocated{harness: newHarness(t, flow.Restored{}, newPoolWorker("a"))}
	c.report("a", infra.Report{})
	c.submit("serving", infra.Step{
		Count: 1, Size: fleet.Resources{MilliCPU: 2000, MemoryBytes: 1 << 30}, LongRunning: true, Image: "serving", TailTarget: tailTarget,
		Estimate: time.Second,
	})
	c.reportTail(2*time.Second, tailTarget/4)
	c.submit("filler", infra.Step{
		Count: fillers, Size: fleet.Resources{MilliCPU: 700, MemoryBytes: 1 << 30}, Filler: true, Image: "filler", Estimate: 4 * time.Second,
	})
	assert.Equal(t, len(c.running), 1+fillers)
	return c
}

// submit submits a job of one step and answers the starts of its tasks.
func (c *colocated) submit(id string, s infra.Step) {
	c.step(flow.Submitted{Job: singleStepJob(id, s)})
	c.advance(50 * time.Millisecond)
	for _, s := range c.starts() {
		c.step(flow.StartAnswered{Worker: "a", Order: s.Order, Clock: c.now.UnixMilli()})
		c.running = append(c.running, infra.ActiveRun{Task: s.Order.Task, Run: s.Order.Run})
	}
}

// reportTail reports a tail latency of the serving task for some time.
func (c *colocated) reportTail(d, tail time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.advance(250 * time.Millisecond)
		for i := range c.running {
			if c.running[i].Task.Job == "serving" {
				c.running[i].Progress, c.running[i].Measurement = 100, float64(tail)/float64(time.Millisecond)
			} else {
				c.running[i].Progress += 4
			}
		}
		c.report("a", infra.Report{Running: c.running})
	}
}

// slowed returns the lowest speed that was ordered for a filler, in percent, and the number of fillers that were
// slowed.
func (c *colocated) slowed() (lowest, fillers int) {
	lowest = 100
	seen := make(map[infra.TaskID]bool)
	for _, e := range c.effects {
		if e, ok := e.(flow.Throttle); ok {
			lowest = min(lowest, e.Order.SpeedPercent)
			seen[e.Order.Task] = true
		}
	}
	return lowest, len(seen)
}

// A serving task whose load swings misses its target for a moment at each peak. Fillers that were slowed on a forecast
// of such a moment held back the steps of their jobs, and most of them had disturbed nothing.
func TestShortTargetMissDoesNotSlowFillers(t *testing.T) {
	c := newColocated(t, 2)
	c.reportTail(1500*time.Millisecond, tailTarget*5/4)
	c.reportTail(3*time.Second, tailTarget*20/21)
	_, fillers := c.slowed()
	assert.Equal(t, fillers, 0)
}

// Fillers must not keep a serving task over its target until the permitted time is over.
func TestLastingTargetMissPausesFillers(t *testing.T) {
	c := newColocated(t, 2)
	c.reportTail(3750*time.Millisecond, tailTarget*5/4)
	lowest, fillers := c.slowed()
	assert.Equal(t, lowest, 0)
	assert.Equal(t, fillers, 2)
}

// A serving task may miss its target by itself, for example on a slow worker. The fillers beside it must still
// complete.
func TestFillersProgressBesideTaskThatMissesItsTargetByItself(t *testing.T) {
	c := newColocated(t, 1)
	speed, working, total := 100, 0, 0
	for range 80 {
		c.effects = nil
		c.reportTail(250*time.Millisecond, tailTarget*5/4)
		for _, e := range c.effects {
			if e, ok := e.(flow.Throttle); ok {
				speed = e.Order.SpeedPercent
			}
		}
		working, total = working+speed, total+100
	}
	assert.Assert(t, working > total/4 && working < total*3/4, "%d of %d", working, total)
}
