package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// lastThrottle returns the last throttle order, and forgets all effects.
func (c *colocated) lastThrottle() (last infra.ThrottleOrder, found bool) {
	for _, e := range c.effects {
		if e, ok := e.(flow.Throttle); ok {
			last, found = e.Order, true
		}
	}
	c.effects = nil
	return last, found
}

// Guards against a filler that stands still (LATE): the order that ends its pause fails, and the run counted as resumed, without
// another order.
func TestFailedResumeOfFillerIsRepeated(t *testing.T) {
	for name, err := range map[string]error{
		"not sent":     &infra.NotSentError{Worker: "a"},
		"not answered": &infra.NoAnswerError{Worker: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newColocated(t, 1)
			c.reportTail(3750*time.Millisecond, tailTarget*5/4)
			pause, found := c.lastThrottle()
			assert.Assert(t, found)
			assert.Equal(t, pause.SpeedPercent, 0)
			var resume infra.ThrottleOrder
			for resume.SpeedPercent == 0 {
				c.reportTail(250*time.Millisecond, tailTarget/4)
				resume, _ = c.lastThrottle()
			}
			for range 3 {
				c.step(flow.ThrottleAnswered{Worker: "a", Order: resume, Err: err})
				c.reportTail(750*time.Millisecond, tailTarget/4)
				repeated, found := c.lastThrottle()
				assert.Assert(t, found, "the order was not repeated")
				assert.Assert(t, repeated.SpeedPercent >= resume.SpeedPercent)
				resume = repeated
			}
			c.step(flow.ThrottleAnswered{Worker: "a", Order: resume})
			c.reportTail(750*time.Millisecond, tailTarget/4)
			_, found = c.lastThrottle()
			assert.Assert(t, !found, "the order was repeated although it was carried out")
		})
	}
}

// Guards against a wrong verdict on a worker: a filler whose pause may have been carried out makes no progress, which counted as
// a stall.
func TestFillerOfUnknownSpeedIsNotStalled(t *testing.T) {
	c := newColocated(t, 1)
	c.reportTail(3750*time.Millisecond, tailTarget*5/4)
	for range 8 {
		if order, found := c.lastThrottle(); found {
			c.step(flow.ThrottleAnswered{Worker: "a", Order: order, Err: &infra.NoAnswerError{Worker: "a"}})
		}
		c.advance(250 * time.Millisecond)
		c.report("a", infra.Report{Running: c.running})
	}
	assert.Equal(t, c.m.Counts().Stalled, int64(0))
}
