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

// harness feeds events to one scheduler and collects its effects. Batches are durable at once unless isStoreDown is set.
type harness struct {
	t       *testing.T
	m       *flow.Machine
	now     time.Time
	effects []flow.Effect
	seq     map[fleet.WorkerID]int64
	pending []pendingEvent

	// acked holds the number of the last acknowledged end of each worker.
	acked map[fleet.WorkerID]int64

	isStoreDown bool
	// answeredBatch is the last batch that [harness.saveExcept] has answered.
	answeredBatch int64
	// revision is that of the last batch, above the token of the scheduler.
	revision int64
}

func testCatalog() *infra.Catalog {
	return &infra.Catalog{
		Version:  1,
		Queues:   []infra.Queue{{Name: "batch", Service: "pool", Priority: 2, MaxAttempts: 3, StretchFactor: 2, TargetLatency: time.Second}},
		Services: []infra.Service{{Name: "pool"}},
	}
}

func newHarness(t *testing.T, restored flow.Restored, workers ...infra.Worker) *harness {
	return newHarnessOf(t, flow.New(7), restored, workers...)
}

func newHarnessOf(t *testing.T, m *flow.Machine, restored flow.Restored, workers ...infra.Worker) *harness {
	h := &harness{t: t, m: m, now: time.Unix(1000, 0), seq: make(map[fleet.WorkerID]int64), acked: make(map[fleet.WorkerID]int64), revision: 100}
	h.step(flow.Tick{Wall: h.now})
	h.step(restored)
	h.step(flow.Configured{Catalog: testCatalog()})
	for _, w := range workers {
		h.step(flow.WorkerListed{Worker: w})
	}
	h.advance(50 * time.Millisecond)
	return h
}

func (h *harness) step(ev flow.Event) {
	for _, e := range h.m.Step(h.now, ev) {
		switch e := e.(type) {
		case flow.Renew:
			h.seq[e.To.Worker] = e.Sequence
			if e.Order.AckedEnd > 0 {
				h.acked[e.To.Worker] = e.Order.AckedEnd
			}
		case flow.Save:
			if !h.isStoreDown {
				h.revision++
				h.step(flow.Saved{Batch: e.Batch, Revision: h.revision})
			}
		default:
		}
		h.effects = append(h.effects, e)
	}
}

func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(25 * time.Millisecond)
		h.step(flow.Tick{Wall: h.now})
	}
}

// report answers the latest [flow.Renew] of a worker.
func (h *harness) report(id fleet.WorkerID, r infra.Report) {
	r.Clock = h.now.UnixMilli()
	h.step(flow.RenewAnswered{Worker: id, Sequence: h.seq[id], Report: r})
}

// reportTwice answers two renewals of a worker with the same report: a successor knows what runs there after the second.
func (h *harness) reportTwice(id fleet.WorkerID, r infra.Report) {
	h.report(id, r)
	if len(r.Ended) > 0 {
		// The second renewal follows once the ends are durable.
		h.advance(25 * time.Millisecond)
	}
	h.report(id, r)
}

func (h *harness) starts() []flow.Start {
	var starts []flow.Start
	for _, e := range h.effects {
		if s, ok := e.(flow.Start); ok {
			starts = append(starts, s)
		}
	}
	h.effects = nil
	return starts
}

func newPoolWorker(id string) infra.Worker {
	return infra.Worker{
		ID: fleet.WorkerID(id), Address: id + ":1", Service: "pool",
		Capacity: fleet.Resources{MilliCPU: 10000, MemoryBytes: 64 << 30},
	}
}

func singleStepJob(id string, s infra.Step) infra.Job {
	return infra.Job{ID: fleet.JobID(id), Queue: "batch", Steps: []infra.Step{s}}
}

func smallStep(count int) infra.Step {
	return infra.Step{Count: count, Size: fleet.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Estimate: time.Second}
}

// After a takeover the ends of a task arrive from several workers in any order. Each failed run must count once;
// otherwise the task is started after its last attempt.
func TestFailedRunsCountInAnyOrder(t *testing.T) {
	roster := []flow.RosterEntry{{Worker: "a", Address: "a:1"}, {Worker: "b", Address: "b:1"}}
	h := newHarness(t, flow.Restored{Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1))}}, Roster: roster, Term: 1},
		newPoolWorker("a"), newPoolWorker("b"))
	task := infra.TaskID{Job: "j"}
	failed := func(n int64, run infra.Run) infra.EndedRun {
		return infra.EndedRun{Number: n, Task: task, Run: run, Outcome: infra.OutcomeFailed}
	}
	h.report("a", infra.Report{Ended: []infra.EndedRun{failed(1, 5)}})
	h.report("b", infra.Report{Ended: []infra.EndedRun{failed(1, 2), failed(2, 4)}})
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateFailed)
}

// After a takeover a worker may still run tasks of a finished job. They occupy capacity until they end; otherwise the
// worker is overcommitted.
func TestRunsOfFinishedJobsOccupyCapacity(t *testing.T) {
	big := infra.Step{Count: 1, Size: fleet.Resources{MilliCPU: 8000, MemoryBytes: 1 << 30}, Estimate: time.Second}
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{
			{Job: singleStepJob("old", big), Record: &flow.Record{State: infra.StateCancelled}, Cancelled: true},
			{Job: singleStepJob("new", big)},
		},
		Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, newPoolWorker("a"))
	h.report("a", infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "old"}, Run: 1}}})
	h.advance(300 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	h.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: infra.TaskID{Job: "old"}, Run: 1, Outcome: infra.OutcomeStopped}}})
	h.advance(100 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, fleet.JobID("new"))
	assert.Assert(t, starts[0].Order.Run > 1000, "the run number must be above those of predecessors")
}

// The lease of a worker that does not answer must not be renewed, so that it expires and its tasks start elsewhere.
// Otherwise the tasks of a worker that is lost for good never run again.
func TestLeaseOfUnreachableWorkerExpires(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
	h.report("a", infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: 1}}})
	h.step(flow.WorkerListed{Worker: newPoolWorker("b")})
	h.advance(50 * time.Millisecond)
	h.report("b", infra.Report{})
	var starts []flow.Start
	for range 30 {
		h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: &infra.NoAnswerError{Worker: "a"}})
		h.advance(300 * time.Millisecond)
		h.report("b", infra.Report{})
		if starts = h.starts(); len(starts) > 0 {
			break
		}
	}
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].To.Worker, fleet.WorkerID("b"))
	assert.Equal(t, starts[0].Order.Run, infra.Run(2))
}

// After a takeover the workers of the stored roster must accept tasks again. Otherwise the new scheduler starts
// nothing.
func TestRosterWorkersUsableAfterTakeover(t *testing.T) {
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(2))}}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, newPoolWorker("a"))
	assert.Equal(t, len(h.starts()), 0, "nothing may start before the worker has answered under the new token")
	h.reportTwice("a", infra.Report{})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 2)
}

func servingStep(image string) infra.Step {
	return infra.Step{
		Count: 1, Size: fleet.Resources{MilliCPU: 4000, MemoryBytes: 1 << 30}, Estimate: time.Second, LongRunning: true,
		Image: image, TailTarget: 50 * time.Millisecond,
	}
}

// Serving tasks of one image must be packed together, because a filler that disturbs one image may not disturb
// another. If they are spread over all workers, no worker is left for any filler.
func TestServingTasksArePackedByImage(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"), newPoolWorker("c"))
	for _, id := range []fleet.WorkerID{"a", "b", "c"} {
		h.report(id, infra.Report{})
	}
	placed := make(map[string]map[fleet.WorkerID]bool)
	for n, image := range []string{"x", "y", "x", "y"} {
		h.step(flow.Submitted{Job: singleStepJob(fmt.Sprintf("j%d", n), servingStep(image))})
		h.advance(50 * time.Millisecond)
		starts := h.starts()
		assert.Equal(t, len(starts), 1)
		if placed[image] == nil {
			placed[image] = make(map[fleet.WorkerID]bool)
		}
		placed[image][starts[0].To.Worker] = true
	}
	assert.Equal(t, len(placed["x"]), 1)
	assert.Equal(t, len(placed["y"]), 1)
}

// newServingHarness returns a worker with a serving task that is well below its target, and a filler that has not been
// submitted.
func newServingHarness(t *testing.T) (*harness, infra.ActiveRun, infra.Step) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("s", servingStep("x"))})
	h.advance(50 * time.Millisecond)
	filler := infra.Step{
		Count: 1, Size: fleet.Resources{MilliCPU: 3000, MemoryBytes: 1 << 30}, Estimate: 20 * time.Second, Filler: true, Image: "f",
	}
	servingRow := infra.ActiveRun{Task: infra.TaskID{Job: "s"}, Run: 1, Progress: 100, Measurement: 20}
	for range 6 {
		h.report("a", infra.Report{Running: []infra.ActiveRun{servingRow}})
		h.advance(500 * time.Millisecond)
	}
	h.effects = nil
	return h, servingRow, filler
}

// A filler that pushes a serving task over its target must be slowed or stopped within the time that callers tolerate.
func TestDisturbingFillerIsSlowedOrMoved(t *testing.T) {
	h, servingRow, filler := newServingHarness(t)
	h.step(flow.Submitted{Job: singleStepJob("f", filler)})
	h.advance(100 * time.Millisecond)
	h.starts()
	fillerRow := infra.ActiveRun{Task: infra.TaskID{Job: "f"}, Run: 1, Progress: 1}
	servingRow.Measurement = 300
	elapsed := time.Duration(0)
	for range 8 {
		fillerRow.Progress += 2
		h.report("a", infra.Report{Running: []infra.ActiveRun{servingRow, fillerRow}})
		h.advance(500 * time.Millisecond)
		elapsed += 500 * time.Millisecond
		for _, e := range h.effects {
			switch e.(type) {
			case flow.Stop, flow.Throttle:
				assert.Assert(t, elapsed <= 4*time.Second)
				return
			default:
			}
		}
	}
	t.Fatal("the filler was neither slowed nor stopped within 4 s")
}

// A cancellation that arrives before its job must not be lost: the notifications of two entry processes may be
// reordered.
func TestCancellationBeforeSubmission(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.step(flow.CancelRequested{Job: "j"})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateCancelled)
}

// The tasks of a gang must start together with one run number, or not at all (GANG).
func TestGangStartsTogether(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"))
	h.report("a", infra.Report{})
	gang := infra.Step{Count: 3, Size: fleet.Resources{MilliCPU: 5000, MemoryBytes: 1 << 30}, Estimate: time.Second, Gang: true}
	h.step(flow.Submitted{Job: singleStepJob("g", gang)})
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0, "only two of three tasks fit")
	h.report("b", infra.Report{})
	h.advance(200 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 3)
	for _, s := range starts {
		assert.Equal(t, s.Order.Run, starts[0].Order.Run)
	}
}

// Occurrences must not start before they are due (ORDER).
func TestOccurrencesStartWhenDue(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	j := singleStepJob("j", smallStep(1))
	j.Schedule = infra.Schedule{Count: 2, Start: h.now.Add(2 * time.Second).UnixMilli(), Interval: 3 * time.Second}
	h.step(flow.Submitted{Job: j})
	h.advance(1900 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	h.advance(300 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
	h.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: infra.TaskID{Job: "j"}, Run: 1, Outcome: infra.OutcomeDone}}})
	h.advance(2500 * time.Millisecond)
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateRunning)
	h.report("a", infra.Report{})
	h.advance(600 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Occurrence, int64(1))
}

// A queue with a policy must start a step only on workers for which the policy service issued a ticket, and only while
// the ticket is valid. Rejected starts (409 ticket) have a cost.
func TestTickets(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"))
	h.report("a", infra.Report{})
	h.report("b", infra.Report{})
	h.step(flow.Configured{Catalog: &infra.Catalog{
		Version: 2, Queues: []infra.Queue{{Name: "batch", Service: "pool", MaxAttempts: 3, ApprovalCost: &infra.ApprovalCost{}}},
		Services: []infra.Service{{Name: "pool"}},
	}})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.advance(50 * time.Millisecond)
	var asked []flow.RequestApproval
	for _, e := range h.effects {
		if a, ok := e.(flow.RequestApproval); ok {
			asked = append(asked, a)
		}
	}
	assert.Equal(t, len(h.starts()), 0)
	assert.Equal(t, len(asked), 1)
	assert.Equal(t, len(asked[0].Workers), 2)
	h.step(flow.ApprovalAnswered{
		Step: asked[0].Step, Workers: asked[0].Workers, Sent: h.now,
		Approval: infra.Approval{Tickets: map[fleet.WorkerID]string{"b": "t1"}, TicketTTL: time.Second},
	})
	h.advance(50 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].To.Worker, fleet.WorkerID("b"))
	assert.Equal(t, starts[0].Order.Ticket, "t1")
}

// stops returns the stop orders so far and discards all effects.
func (h *harness) stops() []infra.StopOrder {
	var stops []infra.StopOrder
	for _, e := range h.effects {
		if s, ok := e.(flow.Stop); ok {
			stops = append(stops, s.Order)
		}
	}
	h.effects = nil
	return stops
}

// A disturbing filler must be stopped only if another worker has room for it. Otherwise it would lose its progress and
// wait, so it is slowed down instead, to a pause if necessary.
func TestFillerWithoutRoomElsewhereIsPaused(t *testing.T) {
	h, servingRow, filler := newServingHarness(t)
	h.step(flow.Submitted{Job: singleStepJob("f", filler)})
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
	fillerRow := infra.ActiveRun{Task: infra.TaskID{Job: "f"}, Run: 1, Progress: 1}
	servingRow.Measurement = 300
	slowest := 100
	for range 10 {
		fillerRow.Progress++
		h.report("a", infra.Report{Running: []infra.ActiveRun{servingRow, fillerRow}})
		h.advance(500 * time.Millisecond)
		for _, e := range h.effects {
			switch e := e.(type) {
			case flow.Stop:
				t.Fatalf("the filler was stopped although no other worker has room")
			case flow.Throttle:
				slowest = min(slowest, e.Order.SpeedPercent)
			default:
			}
		}
		h.effects = nil
	}
	assert.Equal(t, slowest, 0, "a filler must pause beside a task that stays over its target (HARM)")
}

// An accepted job must run even if its queue was removed from the configuration, also after a takeover (LOST).
func TestJobOfRemovedQueueRuns(t *testing.T) {
	j := singleStepJob("j", smallStep(1))
	j.Queue, j.Service = "removed", "pool"
	h := newHarness(t, flow.Restored{Jobs: []flow.StoredJob{{Job: j}}, Term: 1}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
}

// A worker whose host's clock was set back restarts with an earlier start time. Its reports and registrations were ignored
// for good, so that it kept its place and the tasks of its previous life were never started again.
func TestWorkerRestartsWithEarlierStartTime(t *testing.T) {
	a := newPoolWorker("a")
	a.StartedAt = 5000
	h := newHarness(t, flow.Restored{}, a)
	h.report("a", infra.Report{StartedAt: 5000})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
	h.report("a", infra.Report{StartedAt: 5000, Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: 10}}})
	h.advance(time.Second)
	a.StartedAt = 4000
	for range 4 {
		h.report("a", infra.Report{StartedAt: 4000})
		h.step(flow.WorkerListed{Worker: a})
		h.advance(300 * time.Millisecond)
	}
	assert.Equal(t, len(h.starts()), 1)
}

// The answer to a renewal that was sent to the previous incarnation of a worker must not pass for another restart.
func TestLateReportOfPreviousIncarnation(t *testing.T) {
	a := newPoolWorker("a")
	a.StartedAt = 5000
	h := newHarness(t, flow.Restored{}, a)
	h.report("a", infra.Report{StartedAt: 5000})
	former := h.seq["a"]
	a.StartedAt = 6000
	h.step(flow.WorkerListed{Worker: a})
	h.step(flow.RenewAnswered{Worker: "a", Sequence: former, Report: infra.Report{StartedAt: 5000, Clock: h.now.UnixMilli()}})
	restarts := 0
	for _, e := range h.effects {
		if l, ok := e.(flow.Log); ok && l.Text == "worker restarted" {
			restarts++
		}
	}
	assert.Equal(t, restarts, 1)
}

// The cancellation of an unknown job prevents its submission for some time. It must not stay in the store for good, also
// after a takeover, and must still apply to a job that follows.
func TestCancellationsOfUnknownJobsExpire(t *testing.T) {
	h := newHarness(t, flow.Restored{Cancelled: []fleet.JobID{"first"}}, newPoolWorker("a"))
	h.step(flow.CancelRequested{Job: "second"})
	h.step(flow.CancelRequested{Job: "followed"})
	h.step(flow.Submitted{Job: singleStepJob("followed", smallStep(1))})
	state, _ := h.m.State("followed")
	assert.Equal(t, state, infra.StateCancelled)
	deleted := func() map[fleet.JobID]int {
		jobs := make(map[fleet.JobID]int)
		for _, e := range h.effects {
			if s, ok := e.(flow.Save); ok {
				for _, id := range s.Delete {
					jobs[id]++
				}
			}
		}
		return jobs
	}
	h.advance(5 * time.Minute)
	assert.Equal(t, len(deleted()), 0)
	h.advance(6 * time.Minute)
	assert.DeepEqual(t, deleted(), map[fleet.JobID]int{"first": 1, "second": 1, "followed": 1})
}

// Guards against a job that never goes on after its queue was removed from the configuration (LOST): the next scheduler requested no
// tickets for it, and the workers rejected each start.
func TestJobOfRemovedQueueWithPolicyGetsTickets(t *testing.T) {
	for _, isKnown := range []bool{false, true} {
		j := singleStepJob("j", smallStep(1))
		j.Service, j.HasPolicy = "pool", isKnown
		h := newHarness(t, flow.Restored{Jobs: []flow.StoredJob{{Job: j}}, Term: 1})
		h.step(flow.Configured{Catalog: &infra.Catalog{Version: 2, Services: []infra.Service{{Name: "pool"}}}})
		h.step(flow.WorkerListed{Worker: newPoolWorker("a")})
		h.report("a", infra.Report{})
		h.advance(50 * time.Millisecond)
		rejected := 0
		for range 20 {
			h.report("a", infra.Report{})
			h.advance(25 * time.Millisecond)
			for _, e := range h.effects {
				switch e := e.(type) {
				case flow.Start:
					if e.Order.Ticket != "" {
						assert.Equal(t, rejected == 0, isKnown)
						return
					}
					rejected++
					h.step(flow.StartAnswered{Worker: "a", Order: e.Order, Err: &infra.RefusedError{Worker: "a", Reason: infra.ReasonTicket}})
				case flow.RequestApproval:
					tickets := infra.Approval{Tickets: map[fleet.WorkerID]string{"a": "t1"}, TicketTTL: time.Second}
					h.step(flow.ApprovalAnswered{Step: e.Step, Workers: e.Workers, Sent: h.now, Approval: tickets})
				}
			}
			h.effects = nil
		}
		t.Fatalf("no start carries a ticket, %d were rejected", rejected)
	}
}
