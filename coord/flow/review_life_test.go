package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
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

// Guards against an immediate renewal that reaches the next life of its worker: it acknowledged an end of that life by its number, so
// that the task, which was done, was started again (TWICE).
func TestImmediateRenewalDoesNotAcknowledgeEndsOfTheNextLife(t *testing.T) {
	h := newLivesHarness(t)
	first := h.submitLasting("first")
	h.elapse(500 * time.Millisecond)
	assert.Equal(t, len(h.startsOf(first)), 1)
	h.lives["a"].end(first, infra.OutcomeDone)
	h.elapse(1500 * time.Millisecond)
	assert.Equal(t, h.lastRenewalOf("a").AckedEnd, int64(1))

	h.lives["a"] = nil
	h.step(flow.Submitted{Job: singleStepJob("second", smallStep(2))})
	h.elapse(50 * time.Millisecond)
	second := infra.TaskID{Job: "second"}
	starts := h.startsOf(second)
	assert.Equal(t, len(starts), 1)
	h.elapse(100 * time.Millisecond)
	next := newLife(6, h.now.Add(-50*time.Millisecond))
	assert.Assert(t, next.start(h.now, starts[0].Order))
	h.elapse(150 * time.Millisecond)
	next.end(second, infra.OutcomeDone)
	h.lives["a"] = next
	h.elapse(500 * time.Millisecond)
	h.list("a", 6)
	h.elapse(10 * time.Second)
	assert.Equal(t, len(h.startsOf(second)), 1, "the task is started again although it was done")
}
