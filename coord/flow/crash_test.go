package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// refuse lets the connections of a worker be refused until the scheduler considers its process gone.
func (h *harness) refuse(id fleet.WorkerID) {
	for range 2 {
		h.step(flow.RenewFailed{Worker: id, Sequence: h.seq[id], Err: &infra.NotSentError{Worker: id, ConnRefused: true}})
		h.advance(300 * time.Millisecond)
	}
}

// answerStarts confirms the starts so far and returns them.
func (h *harness) answerStarts() []flow.Start {
	starts := h.starts()
	for _, s := range starts {
		h.step(flow.StartAnswered{Worker: s.To.Worker, Order: s.Order, Clock: h.now.UnixMilli()})
	}
	return starts
}

// The log did not say which tasks had just started on a worker that crashed, so that a task which crashes its workers
// looked like a series of bad workers.
func TestCrashIsLoggedWithItsSuspects(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("old", smallStep(1))})
	h.advance(200 * time.Millisecond)
	h.answerStarts()
	h.advance(700 * time.Millisecond)
	h.report("a", infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "old"}, Run: 1, Progress: 60}}})
	h.step(flow.Submitted{Job: singleStepJob("new", smallStep(1))})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.answerStarts()), 1)
	h.refuse("a")
	var crashes, suspects []flow.Log
	for _, e := range h.effects {
		if l, ok := e.(flow.Log); ok && l.Text == "worker crashed" {
			crashes = append(crashes, l)
		} else if ok && l.Text == "run suspected of a crash" {
			suspects = append(suspects, l)
		}
	}
	assert.Equal(t, len(crashes), 1)
	assert.Equal(t, crashes[0].Reason, "connections to the worker's address are refused; 1 suspects of 2 runs")
	assert.Equal(t, len(suspects), 1)
	assert.Equal(t, suspects[0].Task.Job, fleet.JobID("new"))
	assert.Equal(t, h.m.Counts().Crashes, int64(1))
}
