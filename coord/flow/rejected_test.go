package flow_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// saveExcept answers the batches of the scheduler for a while, and rejects those with progress of a job that is not final.
func (h *harness) saveExcept(bad string, d time.Duration) (rejected int) {
	for end := h.now.Add(d); h.now.Before(end); h.advance(25 * time.Millisecond) {
		for answered := true; answered; {
			answered = false
			for _, e := range h.effects {
				s, isSave := e.(flow.Save)
				if !isSave || s.Batch <= h.answeredBatch {
					continue
				}
				h.answeredBatch, answered = s.Batch, true
				isBad := slices.ContainsFunc(s.Jobs, func(j flow.JobRecord) bool { return string(j.Job) == bad && !j.Record.State.Final() })
				if isBad {
					rejected++
					h.step(flow.SaveRejected{Batch: s.Batch, Reason: "too large"})
					break
				}
				h.revision++
				h.step(flow.Saved{Batch: s.Batch, Revision: h.revision})
				break
			}
		}
	}
	return rejected
}

// Guards against one job whose progress the store rejects, and which holds up the ends of all others, the roster and the scheduler
// after it (LOST): its batch was repeated for ever.
func TestRejectedProgressCostsOnlyItsJob(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.isStoreDown = true
	for _, id := range []string{"good", "bad", "later"} {
		h.step(flow.Submitted{Job: singleStepJob(id, smallStep(2))})
	}
	h.advance(50 * time.Millisecond)
	var ended []infra.EndedRun
	for n, s := range h.starts() {
		h.step(flow.StartAnswered{Worker: "a", Order: s.Order, Clock: h.now.UnixMilli()})
		if s.Order.Task.Index == 0 {
			ended = append(ended, infra.EndedRun{Number: int64(len(ended) + 1), Task: s.Order.Task, Run: s.Order.Run, Outcome: infra.OutcomeDone})
		}
		assert.Assert(t, n < 6)
	}
	assert.Equal(t, len(ended), 3)
	h.report("a", infra.Report{Ended: ended})
	h.step(flow.WorkerListed{Worker: newPoolWorker("b")})
	h.advance(25 * time.Millisecond)
	h.report("b", infra.Report{})
	assert.Equal(t, h.saveExcept("bad", time.Second), 2, "together with others, and by itself")
	assert.Equal(t, h.acked["a"], int64(3))
	for id, want := range map[string]infra.State{"good": infra.StateRunning, "bad": infra.StateFailed, "later": infra.StateRunning} {
		state, _ := h.m.State(fleet.JobID(id))
		assert.Equal(t, state, want, id)
	}
	assert.Equal(t, h.m.Workers()[1].UnusableReason, "", "the roster with a new worker is stored")
	var stopped []infra.TaskID
	for _, e := range h.effects {
		if s, isStop := e.(flow.Stop); isStop {
			stopped = append(stopped, s.Order.Task)
		}
	}
	assert.Assert(t, slices.Contains(stopped, infra.TaskID{Job: "bad", Index: 1}), "%v", stopped)
}
