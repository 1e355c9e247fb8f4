package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// startOnRestartedWorker starts a task on a worker that restarts at once, and returns the start, which has no answer.
func startOnRestartedWorker(t *testing.T) (*harness, flow.Start) {
	a := newPoolWorker("a")
	a.StartedAt = 5
	h := newHarness(t, flow.Restored{}, a)
	h.report("a", infra.Report{StartedAt: 5})
	h.step(flow.Submitted{Job: singleStepJob("job", smallStep(1))})
	h.advance(50 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 1)
	h.renewalFails("a")
	return h, starts[0]
}

// A call for a former life of a worker was carried out by the next one, which had seen no token, whenever it arrived: a start up to
// 12 s after the task had been started elsewhere, a renewal that prolonged the lease or acknowledged ends (TWICE).
func TestNextLifeFencesCallsForTheFormerOne(t *testing.T) {
	h, start := startOnRestartedWorker(t)
	h.advance(300 * time.Millisecond)
	fence := h.lastRenewal("a").Order
	assert.Assert(t, fence.Token > start.Order.Token, "the renewal has the token %d, the start before it %d", fence.Token, start.Order.Token)
	assert.Assert(t, int64(fence.Token) <= h.revision, "the token %d is above the revision %d of the last batch", fence.Token, h.revision)
	// The first answer shows that the worker has restarted, the next two that the start was not carried out before.
	for range 3 {
		h.report("a", infra.Report{StartedAt: 6})
		h.advance(25 * time.Millisecond)
	}
	assert.DeepEqual(t, h.logged("run lost"), []string{"unanswered start was not carried out"})
	again := newPoolWorker("a")
	again.StartedAt = 6
	h.step(flow.WorkerListed{Worker: again})
	for range 10 {
		h.report("a", infra.Report{StartedAt: 6})
		h.advance(100 * time.Millisecond)
	}
	starts := h.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Token, fence.Token)
}

// Until the store has confirmed the leadership at a higher revision, a successor may have the next token.
func TestTokenStaysBelowThatOfSuccessors(t *testing.T) {
	a := newPoolWorker("a")
	h := newHarness(t, flow.Restored{}, a)
	h.isStoreDown = true
	h.report("a", infra.Report{})
	token := h.lastRenewal("a").Order.Token
	h.renewalFails("a")
	h.advance(300 * time.Millisecond)
	assert.Equal(t, h.lastRenewal("a").Order.Token, token)
}

// A refusal of an order that another order of the same scheduler has overtaken ended the leadership.
func TestOvertakenOrderDoesNotEndLeadership(t *testing.T) {
	h, start := startOnRestartedWorker(t)
	h.advance(300 * time.Millisecond)
	refusal := &infra.RefusedError{Worker: "a", Reason: infra.ReasonFenced}
	h.effects = nil
	h.step(flow.StartAnswered{Worker: "a", Order: start.Order, Err: refusal})
	h.step(flow.StopAnswered{Worker: "a", Order: infra.StopOrder{Task: start.Order.Task, Run: 1, Token: start.Order.Token}, Err: refusal})
	assert.Equal(t, h.resignations(), 0)
	h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: refusal})
	assert.Equal(t, h.resignations(), 1)
}

func (h *harness) resignations() int {
	n := 0
	for _, e := range h.effects {
		if _, ok := e.(flow.Resign); ok {
			n++
		}
	}
	h.effects = nil
	return n
}

// A worker whose connection had ended with its life was asked again after 250 ms. Until then its next life, which was up already, carried
// out late starts of tasks that ran elsewhere by then (TWICE).
func TestSilentWorkerIsAskedAgainAtOnce(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.renewals()
	h.renewalFails("a")
	h.advance(25 * time.Millisecond)
	assert.Equal(t, len(h.renewals()), 1)
	h.renewalFails("a")
	h.advance(25 * time.Millisecond)
	assert.Equal(t, len(h.renewals()), 0)
}

// Each renewal repeated the number of the last acknowledged end. A late one acknowledged an end of the next life, which the scheduler had
// not seen, and its task was started again although it was done (TWICE).
func TestRenewalWithNothingToAcknowledgeHasNoNumber(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("job", smallStep(1))})
	h.advance(50 * time.Millisecond)
	s := h.starts()[0]
	h.answerStart(s, h.now.UnixMilli())
	end := infra.EndedRun{Number: 1, Task: s.Order.Task, Run: s.Order.Run, Outcome: infra.OutcomeDone}
	h.report("a", infra.Report{Ended: []infra.EndedRun{end}})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, h.lastRenewal("a").Order.AckedEnd, int64(1))
	// Without an answer it is repeated.
	h.renewalFails("a")
	h.advance(300 * time.Millisecond)
	h.report("a", infra.Report{Ended: []infra.EndedRun{end}})
	assert.Equal(t, h.lastRenewal("a").Order.AckedEnd, int64(1))
	h.report("a", infra.Report{})
	assert.Equal(t, h.lastRenewal("a").Order.AckedEnd, int64(0))
}
