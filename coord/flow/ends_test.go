package flow_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// A report lists a limited number of ends. A run whose end was beyond them was taken for lost, and its task was started
// again although it had ended successfully.
func TestRunWhoseEndIsNotListedYet(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(2))})
	h.advance(50 * time.Millisecond)
	started := h.answerStarts()
	assert.Equal(t, len(started), 2)
	ended := func(n int) infra.EndedRun {
		return infra.EndedRun{Number: int64(n + 1), Task: started[n].Order.Task, Run: started[n].Order.Run, Outcome: infra.OutcomeDone}
	}
	h.advance(200 * time.Millisecond)
	h.report("a", infra.Report{Ended: []infra.EndedRun{ended(0)}, HasMoreEnds: true})
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	h.report("a", infra.Report{Ended: []infra.EndedRun{ended(1)}})
	h.advance(50 * time.Millisecond)
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateCompleted)
}

// A successor took the first report of a worker for complete, and started tasks whose ends were beyond those listed.
func TestSuccessorWaitsForAllEnds(t *testing.T) {
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(2))}}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, newPoolWorker("a"))
	ended := func(n int) infra.EndedRun {
		return infra.EndedRun{Number: int64(n + 1), Task: infra.TaskID{Job: "j", Index: n}, Run: 1, Outcome: infra.OutcomeDone}
	}
	h.report("a", infra.Report{Ended: []infra.EndedRun{ended(0)}, HasMoreEnds: true})
	for range 70 {
		h.advance(200 * time.Millisecond)
		h.report("a", infra.Report{HasMoreEnds: true})
	}
	assert.Equal(t, len(h.starts()), 0)
	h.report("a", infra.Report{Ended: []infra.EndedRun{ended(1)}})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateCompleted)
}

// A worker need not read its clock and its lists at one moment, nor both lists. A run that one report did not list was taken
// for lost, and its task was started again while it ran, or although it had ended successfully.
func TestRunThatOneReportDoesNotList(t *testing.T) {
	for name, next := range map[string]func(flow.Start) infra.Report{
		"a list from before the start": func(s flow.Start) infra.Report {
			return infra.Report{Running: []infra.ActiveRun{{Task: s.Order.Task, Run: s.Order.Run}}}
		},
		"an end between the lists": func(s flow.Start) infra.Report {
			return infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: s.Order.Task, Run: s.Order.Run, Outcome: infra.OutcomeDone}}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"))
			h.report("a", infra.Report{})
			h.report("b", infra.Report{})
			h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
			h.advance(50 * time.Millisecond)
			started := h.answerStarts()
			assert.Equal(t, len(started), 1)
			h.advance(25 * time.Millisecond)
			h.report(started[0].To.Worker, infra.Report{})
			h.advance(25 * time.Millisecond)
			h.report(started[0].To.Worker, next(started[0]))
			h.advance(time.Second)
			assert.Equal(t, len(h.starts()), 0)
		})
	}
}

// A run that is not listed any more is lost, and its task must start again without the usual delay of a report.
func TestRunThatIsNoLongerListed(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.answerStarts()), 1)
	h.advance(25 * time.Millisecond)
	h.report("a", infra.Report{})
	last := h.lastRenewal("a")
	assert.Equal(t, last.Order.Wait, time.Duration(0))
	h.advance(25 * time.Millisecond)
	h.report("a", infra.Report{})
	h.advance(25 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
}

// A worker that had reported a part of its ends, and was cut off then, was awaited for the leases of the predecessor only. Its
// tasks were started while the lease that the successor had renewed there went on.
func TestSuccessorAwaitsOwnLeaseOfPartlyReportedWorker(t *testing.T) {
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(2))}}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, newPoolWorker("a"), newPoolWorker("b"))
	electedAt := h.now
	ended := infra.EndedRun{Number: 1, Task: infra.TaskID{Job: "j"}, Run: 1, Outcome: infra.OutcomeDone}
	for h.now.Sub(electedAt) < 9*time.Second {
		h.report("b", infra.Report{})
		h.report("a", infra.Report{Ended: []infra.EndedRun{ended}, HasMoreEnds: true})
		h.advance(200 * time.Millisecond)
	}
	reportedAt := h.now
	for h.now.Sub(reportedAt) < 5500*time.Millisecond {
		h.report("b", infra.Report{})
		h.renewalFails("a")
		h.advance(200 * time.Millisecond)
		assert.Equal(t, len(h.starts()), 0, "%v after the last report", h.now.Sub(reportedAt))
	}
	h.advance(time.Second)
	h.report("b", infra.Report{})
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
}

// Ends were acknowledged only once all reported ones were durable. On a worker with a new end in each report, beside a store that
// takes longer than that for a batch, none ever was.
func TestEndsAreAcknowledgedBesideSlowStore(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	step := smallStep(1)
	step.Size = fleet.Resources{MilliCPU: 10, MemoryBytes: 1 << 20}
	var ended []infra.EndedRun
	h.isStoreDown = true
	var due []struct {
		at    time.Time
		batch int64
	}
	seen := 0
	pump := func() {
		for ; seen < len(h.effects); seen++ {
			if s, ok := h.effects[seen].(flow.Save); ok {
				due = append(due, struct {
					at    time.Time
					batch int64
				}{h.now.Add(500 * time.Millisecond), s.Batch})
			}
		}
		for len(due) > 0 && !h.now.Before(due[0].at) {
			b := due[0].batch
			due = due[1:]
			h.step(flow.Saved{Batch: b})
		}
	}
	for n := range 100 {
		id := fmt.Sprintf("%016x", n)
		h.step(flow.Submitted{Job: singleStepJob(id, step)})
		ended = append(ended, infra.EndedRun{Number: int64(n + 1), Task: infra.TaskID{Job: fleet.JobID(id)}, Run: 1, Outcome: infra.OutcomeDone})
		h.report("a", infra.Report{Ended: ended})
		for range 12 {
			h.advance(25 * time.Millisecond)
			pump()
		}
	}
	acked := h.lastRenewal("a").Order.AckedEnd
	assert.Assert(t, acked > 50, "after 30 s: %d of 100 ends acknowledged", acked)
}
