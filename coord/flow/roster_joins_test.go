package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// Guards against new jobs that wait although there is a new worker for them, while schedulers replace each other after most of the
// fleet was lost: no worker joined the roster until more than half of those in it had answered, or a scheduler had led for the time
// for which its predecessor may act.
func TestNewWorkerServesAfterLossOfMostWorkers(t *testing.T) {
	roster := []flow.RosterEntry{{Worker: "a", Address: "a:1"}, {Worker: "b", Address: "b:1"}, {Worker: "c", Address: "c:1"}}
	refused := &infra.NotSentError{ConnRefused: true}
	var takeovers []flow.Takeover
	const term = 4500 * time.Millisecond
	for n := range int64(4) {
		for i := range takeovers {
			takeovers[i].ElectedAgo += term
		}
		h := newHarness(t, flow.Restored{Term: n + 1, Roster: roster, Takeovers: takeovers}, newPoolWorker("d"))
		takeovers = append(takeovers, flow.Takeover{Term: n + 1})
		h.step(flow.PredecessorLeaseEnded{Revision: 1})
		h.step(flow.Submitted{Job: singleStepJob("new", smallStep(1)), Revision: 2})
		isStarted := false
		for range int64(term / (100 * time.Millisecond)) {
			h.advance(100 * time.Millisecond)
			for _, id := range []fleet.WorkerID{"a", "b", "c"} {
				h.step(flow.RenewFailed{Worker: id, Sequence: h.seq[id], Err: refused})
			}
			h.report("d", infra.Report{})
			for _, e := range h.effects {
				if save, isSave := e.(flow.Save); isSave && save.Roster != nil {
					roster = save.Roster
				}
			}
			isStarted = isStarted || len(h.starts()) > 0
		}
		assert.Assert(t, isStarted, "term %d: the new worker gets no task", n+1)
	}
}
