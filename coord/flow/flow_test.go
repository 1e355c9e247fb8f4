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

// bench drives one scheduler by hand.
type bench struct {
	t   *testing.T
	m   *flow.Machine
	now time.Time
	out []flow.Effect
	seq map[fleet.WorkerID]int64
}

func newBench(t *testing.T, restored flow.Restored, workers ...infra.Worker) *bench {
	b := &bench{t: t, m: flow.New(7), now: time.Unix(1000, 0), seq: make(map[fleet.WorkerID]int64)}
	b.step(flow.Tick{Wall: b.now})
	b.step(restored)
	b.step(flow.Configured{Catalog: &infra.Catalog{
		Version:  1,
		Queues:   []infra.Queue{{Name: "batch", Service: "pool", Priority: 2, MaxAttempts: 3, StretchFactor: 2, TargetLatency: time.Second}},
		Services: []infra.Service{{Name: "pool"}},
	}})
	for _, w := range workers {
		b.step(flow.WorkerListed{Worker: w})
	}
	b.pass(50 * time.Millisecond)
	return b
}

func (b *bench) step(ev flow.Event) {
	for _, e := range b.m.Step(b.now, ev) {
		switch e := e.(type) {
		case flow.Hold:
			b.seq[e.To.Worker] = e.Sequence
		case flow.Save:
			b.step(flow.Saved{Batch: e.Batch})
		default:
		}
		b.out = append(b.out, e)
	}
}

func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(25 * time.Millisecond)
		b.step(flow.Tick{Wall: b.now})
	}
}

// report answers the hold of a worker.
func (b *bench) report(id fleet.WorkerID, r infra.Report) {
	r.Clock = b.now.UnixMilli()
	b.step(flow.HoldAnswered{Worker: id, Sequence: b.seq[id], Report: r})
}

func (b *bench) starts() []flow.Start {
	var starts []flow.Start
	for _, e := range b.out {
		if s, ok := e.(flow.Start); ok {
			starts = append(starts, s)
		}
	}
	b.out = nil
	return starts
}

func poolWorker(id string) infra.Worker {
	return infra.Worker{
		ID: fleet.WorkerID(id), Address: id + ":1", Service: "pool",
		Capacity: fleet.Resources{MilliCPU: 10000, MemoryBytes: 64 << 30},
	}
}

func oneStep(id string, s infra.Step) infra.Job {
	return infra.Job{ID: fleet.JobID(id), Queue: "batch", Steps: []infra.Step{s}}
}

func small(count int) infra.Step {
	return infra.Step{Count: count, Size: fleet.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Estimate: time.Second}
}

// After a takeover the ends of a task come from several workers in any order; each failed run counts once (seen as a
// start after the last attempt).
func TestFailedRunsCountInAnyOrder(t *testing.T) {
	roster := []flow.RosterEntry{{Worker: "a", Address: "a:1"}, {Worker: "b", Address: "b:1"}}
	b := newBench(t, flow.Restored{Jobs: []flow.StoredJob{{Job: oneStep("j", small(1))}}, Roster: roster, Term: 1},
		poolWorker("a"), poolWorker("b"))
	task := infra.TaskID{Job: "j"}
	failed := func(n int64, run infra.Run) infra.EndedRun {
		return infra.EndedRun{Number: n, Task: task, Run: run, Outcome: infra.OutcomeFailed}
	}
	b.report("a", infra.Report{Ended: []infra.EndedRun{failed(1, 5)}})
	b.report("b", infra.Report{Ended: []infra.EndedRun{failed(1, 2), failed(2, 4)}})
	b.pass(100 * time.Millisecond)
	assert.Equal(t, len(b.starts()), 0)
	state, _ := b.m.State("j")
	assert.Equal(t, state, infra.StateFailed)
}

// What a finished job still runs on a worker must be counted, or the worker gets more than it holds (seen after a
// takeover).
func TestRunsOfFinishedJobsHoldTheirSize(t *testing.T) {
	big := infra.Step{Count: 1, Size: fleet.Resources{MilliCPU: 8000, MemoryBytes: 1 << 30}, Estimate: time.Second}
	b := newBench(t, flow.Restored{
		Jobs: []flow.StoredJob{
			{Job: oneStep("old", big), Record: &flow.Record{State: infra.StateCancelled}, Cancelled: true},
			{Job: oneStep("new", big)},
		},
		Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, poolWorker("a"))
	b.report("a", infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "old"}, Run: 1}}})
	b.pass(300 * time.Millisecond)
	assert.Equal(t, len(b.starts()), 0)
	b.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: infra.TaskID{Job: "old"}, Run: 1, Outcome: infra.OutcomeStopped}}})
	b.pass(100 * time.Millisecond)
	starts := b.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, fleet.JobID("new"))
	assert.Assert(t, starts[0].Order.Run > 1000, "the run number must be above those of former schedulers")
}

// A worker that does not answer is not renewed, so that its tasks are started elsewhere when its lease has ended (seen when
// workers were lost for good).
func TestASilentWorkerLapses(t *testing.T) {
	b := newBench(t, flow.Restored{}, poolWorker("a"))
	b.report("a", infra.Report{})
	b.step(flow.Submitted{Job: oneStep("j", small(1))})
	b.pass(50 * time.Millisecond)
	assert.Equal(t, len(b.starts()), 1)
	b.report("a", infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: 1}}})
	b.step(flow.WorkerListed{Worker: poolWorker("b")})
	b.pass(50 * time.Millisecond)
	b.report("b", infra.Report{})
	var starts []flow.Start
	for range 30 {
		b.step(flow.HoldFailed{Worker: "a", Sequence: b.seq["a"], Err: &infra.NoAnswerError{Worker: "a"}})
		b.pass(300 * time.Millisecond)
		b.report("b", infra.Report{})
		if starts = b.starts(); len(starts) > 0 {
			break
		}
	}
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].To.Worker, fleet.WorkerID("b"))
	assert.Equal(t, starts[0].Order.Run, infra.Run(2))
}

// After a takeover the workers of the stored roster must take work again (seen as a
// scheduler that started nothing).
func TestStoredRosterTakesWork(t *testing.T) {
	b := newBench(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: oneStep("j", small(2))}}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, poolWorker("a"))
	assert.Equal(t, len(b.starts()), 0, "nothing may start before the worker has answered under the new token")
	b.report("a", infra.Report{})
	b.pass(50 * time.Millisecond)
	assert.Equal(t, len(b.starts()), 2)
}

func serving(image string) infra.Step {
	return infra.Step{
		Count: 1, Size: fleet.Resources{MilliCPU: 4000, MemoryBytes: 1 << 30}, Estimate: time.Second, LongRunning: true,
		Image: image, TailTarget: 50 * time.Millisecond,
	}
}

// Serving tasks of one image go together, because the fillers that disturb one image may not disturb another; spread over
// all workers they leave none for any filler.
func TestServingImagesArePacked(t *testing.T) {
	b := newBench(t, flow.Restored{}, poolWorker("a"), poolWorker("b"), poolWorker("c"))
	for _, id := range []fleet.WorkerID{"a", "b", "c"} {
		b.report(id, infra.Report{})
	}
	placed := make(map[string]map[fleet.WorkerID]bool)
	for n, image := range []string{"x", "y", "x", "y"} {
		b.step(flow.Submitted{Job: oneStep(fmt.Sprintf("j%d", n), serving(image))})
		b.pass(50 * time.Millisecond)
		starts := b.starts()
		assert.Equal(t, len(starts), 1)
		if placed[image] == nil {
			placed[image] = make(map[fleet.WorkerID]bool)
		}
		placed[image][starts[0].To.Worker] = true
	}
	assert.Equal(t, len(placed["x"]), 1)
	assert.Equal(t, len(placed["y"]), 1)
}

// besideServing returns a worker with a serving task that is well under its target, and a filler that has not started yet.
func besideServing(t *testing.T) (*bench, infra.ActiveRun, infra.Step) {
	b := newBench(t, flow.Restored{}, poolWorker("a"))
	b.report("a", infra.Report{})
	b.step(flow.Submitted{Job: oneStep("s", serving("x"))})
	b.pass(50 * time.Millisecond)
	filler := infra.Step{
		Count: 1, Size: fleet.Resources{MilliCPU: 3000, MemoryBytes: 1 << 30}, Estimate: 20 * time.Second, Filler: true, Image: "f",
	}
	serves := infra.ActiveRun{Task: infra.TaskID{Job: "s"}, Run: 1, Progress: 100, Measurement: 20}
	for range 6 {
		b.report("a", infra.Report{Running: []infra.ActiveRun{serves}})
		b.pass(500 * time.Millisecond)
	}
	b.out = nil
	return b, serves, filler
}

// A filler image that pushes a serving task over its target is moved or slowed within the time that callers allow, and is
// not placed beside it again.
func TestFillersThatDisturbAreKeptAway(t *testing.T) {
	b, serves, filler := besideServing(t)
	b.step(flow.Submitted{Job: oneStep("f", filler)})
	b.pass(100 * time.Millisecond)
	b.starts()
	fills := infra.ActiveRun{Task: infra.TaskID{Job: "f"}, Run: 1, Progress: 1}
	serves.Measurement = 300
	eased := time.Duration(0)
	for range 8 {
		fills.Progress += 2
		b.report("a", infra.Report{Running: []infra.ActiveRun{serves, fills}})
		b.pass(500 * time.Millisecond)
		eased += 500 * time.Millisecond
		for _, e := range b.out {
			switch e.(type) {
			case flow.Stop, flow.Pace:
				assert.Assert(t, eased <= 4*time.Second)
				return
			default:
			}
		}
	}
	t.Fatal("the filler was neither slowed nor moved within 4 s")
}

// A cancellation that becomes known before its job must not be lost (the notices of two entry processes may cross).
func TestCancelBeforeTheJob(t *testing.T) {
	b := newBench(t, flow.Restored{}, poolWorker("a"))
	b.report("a", infra.Report{})
	b.step(flow.CancelRequested{Job: "j"})
	b.step(flow.Submitted{Job: oneStep("j", small(1))})
	b.pass(100 * time.Millisecond)
	assert.Equal(t, len(b.starts()), 0)
	state, _ := b.m.State("j")
	assert.Equal(t, state, infra.StateCancelled)
}

// Members of a gang start together with one run number, or not at all (GANG).
func TestGangStartsTogether(t *testing.T) {
	b := newBench(t, flow.Restored{}, poolWorker("a"), poolWorker("b"))
	b.report("a", infra.Report{})
	gang := infra.Step{Count: 3, Size: fleet.Resources{MilliCPU: 5000, MemoryBytes: 1 << 30}, Estimate: time.Second, Gang: true}
	b.step(flow.Submitted{Job: oneStep("g", gang)})
	b.pass(200 * time.Millisecond)
	assert.Equal(t, len(b.starts()), 0, "two of three members fit")
	b.report("b", infra.Report{})
	b.pass(200 * time.Millisecond)
	starts := b.starts()
	assert.Equal(t, len(starts), 3)
	for _, s := range starts {
		assert.Equal(t, s.Order.Run, starts[0].Order.Run)
	}
}

// Occurrences start at their time and not before (ORDER).
func TestOccurrencesAreDue(t *testing.T) {
	b := newBench(t, flow.Restored{}, poolWorker("a"))
	b.report("a", infra.Report{})
	j := oneStep("j", small(1))
	j.Schedule = infra.Schedule{Count: 2, Start: b.now.Add(2 * time.Second).UnixMilli(), Interval: 3 * time.Second}
	b.step(flow.Submitted{Job: j})
	b.pass(1900 * time.Millisecond)
	assert.Equal(t, len(b.starts()), 0)
	b.pass(300 * time.Millisecond)
	assert.Equal(t, len(b.starts()), 1)
	b.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: infra.TaskID{Job: "j"}, Run: 1, Outcome: infra.OutcomeDone}}})
	b.pass(2500 * time.Millisecond)
	state, _ := b.m.State("j")
	assert.Equal(t, state, infra.StateRunning)
	b.report("a", infra.Report{})
	b.pass(600 * time.Millisecond)
	starts := b.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Occurrence, int64(1))
}

// A queue with a policy starts a step only on workers for which the policy service gave a ticket, and only while it is
// valid (409 ticket, which is priced).
func TestTickets(t *testing.T) {
	b := newBench(t, flow.Restored{}, poolWorker("a"), poolWorker("b"))
	b.report("a", infra.Report{})
	b.report("b", infra.Report{})
	b.step(flow.Configured{Catalog: &infra.Catalog{
		Version: 2, Queues: []infra.Queue{{Name: "batch", Service: "pool", MaxAttempts: 3, ApprovalCost: &infra.ApprovalCost{}}},
		Services: []infra.Service{{Name: "pool"}},
	}})
	b.step(flow.Submitted{Job: oneStep("j", small(1))})
	b.pass(50 * time.Millisecond)
	var asked []flow.Advise
	for _, e := range b.out {
		if a, ok := e.(flow.Advise); ok {
			asked = append(asked, a)
		}
	}
	assert.Equal(t, len(b.starts()), 0)
	assert.Equal(t, len(asked), 1)
	assert.Equal(t, len(asked[0].Workers), 2)
	b.step(flow.AdviseAnswered{
		Step: asked[0].Step, Workers: asked[0].Workers, Sent: b.now,
		Approval: infra.Approval{Tickets: map[fleet.WorkerID]string{"b": "t1"}, TicketTTL: time.Second},
	})
	b.pass(50 * time.Millisecond)
	starts := b.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].To.Worker, fleet.WorkerID("b"))
	assert.Equal(t, starts[0].Order.Ticket, "t1")
}

// stops lists the runs that were stopped, and forgets all effects.
func (b *bench) stops() []infra.StopOrder {
	var stops []infra.StopOrder
	for _, e := range b.out {
		if s, ok := e.(flow.Stop); ok {
			stops = append(stops, s.Order)
		}
	}
	b.out = nil
	return stops
}

// A filler that disturbs a serving task is moved only where another worker has room: elsewhere it would lose its progress
// and wait. It is slowed down instead, as far as it must be.
func TestFillerIsNotMovedToNowhere(t *testing.T) {
	b, serves, filler := besideServing(t)
	b.step(flow.Submitted{Job: oneStep("f", filler)})
	b.pass(100 * time.Millisecond)
	assert.Equal(t, len(b.starts()), 1)
	fills := infra.ActiveRun{Task: infra.TaskID{Job: "f"}, Run: 1, Progress: 1}
	serves.Measurement = 300
	slowest := 100
	for range 10 {
		fills.Progress++
		b.report("a", infra.Report{Running: []infra.ActiveRun{serves, fills}})
		b.pass(500 * time.Millisecond)
		for _, e := range b.out {
			switch e := e.(type) {
			case flow.Stop:
				t.Fatalf("the filler is stopped, and no other worker has room for it")
			case flow.Pace:
				slowest = min(slowest, e.Order.SpeedPercent)
			default:
			}
		}
		b.out = nil
	}
	assert.Equal(t, slowest, 0, "a filler that goes on working beside a task over its target harms it (HARM)")
}

// A job whose queue was removed from the configuration was accepted and must still run, also after a takeover (LOST).
func TestJobOfARemovedQueueRuns(t *testing.T) {
	j := oneStep("j", small(1))
	j.Queue, j.Service = "removed", "pool"
	b := newBench(t, flow.Restored{Jobs: []flow.StoredJob{{Job: j}}, Term: 1}, poolWorker("a"))
	b.report("a", infra.Report{})
	b.pass(100 * time.Millisecond)
	assert.Equal(t, len(b.starts()), 1)
}
