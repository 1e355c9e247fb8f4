package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// newEarlyHarness returns a scheduler that has read the roster with the worker a, and no jobs yet.
func newEarlyHarness(t *testing.T) *harness {
	h := &harness{t: t, m: flow.New(7), now: time.Unix(1000, 0), seq: make(map[fleet.WorkerID]int64), acked: make(map[fleet.WorkerID]int64)}
	h.step(flow.Tick{Wall: h.now})
	h.step(flow.RosterRestored{Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1})
	h.advance(50 * time.Millisecond)
	return h
}

// answerRenewals answers the renewals of the worker a since the last call, and returns them.
func (h *harness) answerRenewals(r infra.Report) []infra.RenewOrder {
	var orders []infra.RenewOrder
	for _, e := range h.effects {
		if e, ok := e.(flow.Renew); ok {
			orders = append(orders, e.Order)
			r.Clock = h.now.UnixMilli()
			defer h.step(flow.RenewAnswered{Worker: "a", Sequence: e.Sequence, Order: e.Order, Report: r})
		}
	}
	h.effects = nil
	return orders
}

// Leases were renewed only once the jobs had been read, which takes 2.4 s on a link of 10 Mbit/s. All of them lapsed beside an
// election.
func TestLeasesAreRenewedWhileJobsAreRead(t *testing.T) {
	h := newEarlyHarness(t)
	var leaseEnd int64
	renewals := 0
	// No lease runs out however long the jobs take.
	for range 400 {
		for _, o := range h.answerRenewals(infra.Report{}) {
			renewals++
			leaseEnd = max(leaseEnd, o.Deadline)
		}
		h.advance(50 * time.Millisecond)
		assert.Assert(t, leaseEnd == 0 || leaseEnd >= h.now.Add(time.Second).UnixMilli(), "the lease lapses after %v", h.now)
	}
	assert.Assert(t, leaseEnd > 0, "no lease renewed")
	// The reports share the link with the jobs.
	assert.Assert(t, renewals <= 12, "%d renewals in 20 s", renewals)
}

// A report that comes before the jobs are known must neither decide anything about runs nor let the worker forget an end.
func TestReportsBeforeTheJobsDecideNothing(t *testing.T) {
	h := newEarlyHarness(t)
	done, running := infra.TaskID{Job: "done"}, infra.TaskID{Job: "running"}
	report := infra.Report{
		Running: []infra.ActiveRun{{Task: running, Run: 1}},
		Ended:   []infra.EndedRun{{Number: 1, Task: done, Run: 1, Outcome: infra.OutcomeDone}},
	}
	for range 60 {
		for _, e := range h.effects {
			switch e := e.(type) {
			case flow.Start, flow.Stop, flow.LookUpJobs, flow.Resign:
				t.Errorf("before the jobs are known: %T", e)
			case flow.Save:
				assert.Equal(t, len(e.Jobs)+len(e.Delete), 0)
			default:
			}
		}
		for _, order := range h.answerRenewals(report) {
			assert.Equal(t, order.AckedEnd, int64(0))
			assert.Equal(t, order.Wait, time.Duration(0))
		}
		h.advance(50 * time.Millisecond)
	}
	h.effects = nil
	h.step(flow.Restored{Jobs: []flow.StoredJob{{Job: singleStepJob("done", smallStep(1))}, {Job: singleStepJob("running", smallStep(1))}}, Term: 1})
	h.step(flow.Configured{Catalog: testCatalog()})
	h.step(flow.WorkerListed{Worker: newPoolWorker("a")})
	h.advance(50 * time.Millisecond)
	// A report is requested at once, and only it counts.
	assert.Equal(t, h.lastRenewal("a").Order.Wait, time.Duration(0))
	assert.Equal(t, h.m.AwaitedWorkers(), 1)
	h.reportTwice("a", report)
	h.advance(300 * time.Millisecond)
	h.report("a", report)
	assert.Equal(t, h.m.AwaitedWorkers(), 0)
	state, _ := h.m.State("done")
	assert.Equal(t, state, infra.StateCompleted)
	assert.Equal(t, h.acked["a"], int64(1))
	h.advance(time.Second)
	assert.Equal(t, len(h.starts()), 0)
}

// The crash of a worker that had answered before the jobs were known was not counted against the task whose trial there is in
// the records (BUDGET).
func TestCrashAfterAnAnswerBeforeTheJobsCounts(t *testing.T) {
	stored := flow.Record{State: infra.StateRunning, Occurrences: []flow.OccurrenceRecord{{
		Steps: []flow.StepRecord{{Tasks: []flow.TaskRecord{{Run: 5, Crashes: 1, Confirmed: 1, OpenRunOn: "a", OpenRunWorkerStartedAt: 5000}}}},
	}}}
	for _, test := range []struct {
		name  string
		crash func(h *harness)
	}{
		{"loses its address to another worker", func(h *harness) {
			h.refuse("a")
			assert.Equal(t, h.m.Counts().Crashes, int64(0))
			z := newPoolWorker("z")
			z.Address = "a:1"
			h.step(flow.WorkerListed{Worker: z})
			h.report("z", infra.Report{})
		}},
		{"returns as another incarnation", func(h *harness) {
			h.report("a", infra.Report{StartedAt: 6000})
			h.advance(50 * time.Millisecond)
			h.report("a", infra.Report{StartedAt: 6000})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newEarlyHarness(t)
			h.answerRenewals(infra.Report{StartedAt: 5000})
			h.advance(50 * time.Millisecond)
			h.step(flow.Restored{Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1)), Record: &stored}}, Term: 1})
			h.step(flow.Configured{Catalog: testCatalog()})
			h.advance(50 * time.Millisecond)
			test.crash(h)
			h.advance(500 * time.Millisecond)
			assert.Equal(t, h.m.Counts().Crashes, int64(1))
		})
	}
}

// Guards against starts that bring a worker over its capacity (LIMIT): what runs there is unknown until a report has been applied, which
// none is before the jobs have been read.
func TestNoStartBeforeAReportHasBeenApplied(t *testing.T) {
	h := newEarlyHarness(t)
	w := newPoolWorker("a")
	w.Address = "a:1"
	for range 8 {
		h.answerRenewals(infra.Report{})
		h.advance(25 * time.Millisecond)
	}
	running := infra.TaskID{Job: "j", Index: 0}
	j := singleStepJob("j", smallStep(1))
	h.step(flow.Restored{Term: 1, Jobs: []flow.StoredJob{{Job: j}}})
	h.step(flow.Configured{Catalog: testCatalog()})
	h.step(flow.WorkerListed{Worker: w})
	h.step(flow.PredecessorLeaseEnded{Revision: 1})
	h.step(flow.Submitted{Job: singleStepJob("k", smallStep(1)), Revision: 2})
	renewals := h.effects
	h.advance(500 * time.Millisecond)
	for _, e := range h.effects {
		_, isStart := e.(flow.Start)
		assert.Assert(t, !isStart, "%v", e)
	}
	h.effects = append(renewals, h.effects...)
	var starts []flow.Start
	for range 8 {
		h.answerRenewals(infra.Report{Running: []infra.ActiveRun{{Task: running, Run: 1}}})
		h.advance(25 * time.Millisecond)
		for _, e := range h.effects {
			if s, isStart := e.(flow.Start); isStart {
				starts = append(starts, s)
			}
		}
	}
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, fleet.JobID("k"))
	h.answer(starts)
	h.advance(startedTime)
	states, _ := h.m.State("k")
	assert.Equal(t, states, infra.StateRunning)
}
