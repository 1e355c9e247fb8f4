package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a renewal that was sent just before its worker restarted, and that reaches the next life before its time-out: it
// prolongs the lease of a start that has begun there, while the scheduler counted 0.4 s for its way (TWICE).
func TestRenewalOnItsWayMayReachTheSilentNextLife(t *testing.T) {
	h := newLivesHarness(t)
	for known := len(h.renews); len(h.renews) == known || h.renews[len(h.renews)-1].Order.Deadline == 0; {
		h.elapse(25 * time.Millisecond)
	}
	renewal, sent := h.lastRenewalOf("a"), h.now
	assert.Assert(t, renewal.Wait > 0)
	s := h.startOnSilentWorker()
	h.addSpare()
	h.elapse(200 * time.Millisecond)
	next := newLife(6, h.now.Add(-50*time.Millisecond))
	assert.Assert(t, next.start(h.now, s.Order))
	h.elapse(sent.Add(renewal.Wait + renewTimeout - 100*time.Millisecond).Sub(h.now))
	assert.Assert(t, next.renew(h.now, renewal))
	h.checkNextStart(s, next.lastsUntil())
}

// Guards against a start whose call is sent late because the scheduler's host was suspended after the decision, for less time than
// its lease lasts. The scheduler counted the way of the call from the decision (TWICE).
func TestStartOfASuspendedSchedulerMayReachTheSilentNextLife(t *testing.T) {
	h := newLivesHarness(t)
	s := h.startOnSilentWorker()
	h.addSpare()
	h.now = h.now.Add(1500 * time.Millisecond)
	next := newLife(6, h.now.Add(-50*time.Millisecond))
	assert.Assert(t, next.start(h.now, s.Order))
	h.checkNextStart(s, next.lastsUntil())
}
