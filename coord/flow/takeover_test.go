package flow_test

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// After a takeover a worker may report its runs before it is listed with its capacity. The load of its fillers was then
// counted against an unknown capacity and never released. The weights that were learned from this load were close to
// zero, and fillers were then placed beside every serving task.
func TestFillersAdoptedBeforeListing(t *testing.T) {
	serving := infra.Step{
		Count: 1, Size: fleet.Resources{MilliCPU: 2000, MemoryBytes: 1 << 30}, LongRunning: true, Image: "serving",
		TailTarget: 50 * time.Millisecond, Estimate: time.Second,
	}
	filler := infra.Step{
		Count: 1, Size: fleet.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Filler: true, Image: "filler", Estimate: time.Second,
	}
	h := newHarness(t, flow.Restored{
		Jobs:   []flow.StoredJob{{Job: singleStepJob("serving", serving)}, {Job: singleStepJob("old", filler)}},
		Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	})
	servingRun := infra.ActiveRun{Task: infra.TaskID{Job: "serving"}, Run: 1, Progress: 100, Measurement: 25}
	fillerRun := infra.ActiveRun{Task: infra.TaskID{Job: "old"}, Run: 1, Progress: 50, Measurement: 1000}
	h.report("a", infra.Report{Running: []infra.ActiveRun{servingRun, fillerRun}})
	h.step(flow.WorkerListed{Worker: newPoolWorker("a")})
	for range 4 {
		h.advance(time.Second)
		h.report("a", infra.Report{Running: []infra.ActiveRun{servingRun}, Ended: []infra.EndedRun{{Number: 1, Task: fillerRun.Task, Run: 1, Outcome: infra.OutcomeDone}}})
	}
	var saved []flow.InterferenceRecord
	for _, e := range h.effects {
		if e, ok := e.(flow.Save); ok && e.Interference != nil {
			saved = e.Interference
		}
	}
	assert.Equal(t, len(saved), 1)
	for _, pair := range saved[0].Pairs {
		assert.Assert(t, pair.Weight > 1, "weight of %s: %v", pair.Image, pair.Weight)
	}
	h.starts()
	h.step(flow.Submitted{Job: singleStepJob("new", filler)})
	h.advance(200 * time.Millisecond)
	started := h.starts()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Order.Task.Job, fleet.JobID("new"))
}

// A filler that a predecessor paused makes no progress until a successor resumes it. It was taken for a stalled one,
// which lost its work and kept new tasks from its worker.
func TestPausedFillersAreResumedAfterTakeover(t *testing.T) {
	filler := infra.Step{
		Count: 1, Size: fleet.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Filler: true, Image: "filler", Estimate: time.Second,
	}
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("j", filler)}}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, newPoolWorker("a"))
	paused := infra.ActiveRun{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: 50}
	for range 6 {
		h.report("a", infra.Report{Running: []infra.ActiveRun{paused}})
		h.advance(250 * time.Millisecond)
	}
	resumed := false
	for _, e := range h.effects {
		switch e := e.(type) {
		case flow.Throttle:
			resumed = resumed || e.Order.SpeedPercent == 100
		case flow.Stop:
			assert.Assert(t, resumed, "stopped: %v", e)
		default:
		}
	}
	assert.Assert(t, resumed)
}

// A run that a predecessor started was timed from the takeover. The run times that were learned from such runs were close
// to zero, so that later jobs, and wide jobs with some tasks of a predecessor most of all, were taken for late and waited
// behind all others.
func TestAdoptedRunsAreNotTimed(t *testing.T) {
	const tasks = 8
	slow := infra.Step{Count: tasks, Size: fleet.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Estimate: 4 * time.Second}
	restored := flow.Restored{Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1}
	var report infra.Report
	for i := range 6 {
		j := singleStepJob("old"+strconv.Itoa(i), slow)
		j.Steps[0].Count = 1
		task := infra.TaskID{Job: j.ID}
		restored.Jobs = append(restored.Jobs, flow.StoredJob{Job: j})
		report.Running = append(report.Running, infra.ActiveRun{Task: task, Run: 1, Progress: 95, Measurement: 1000})
		report.Ended = append(report.Ended, infra.EndedRun{Number: int64(i + 1), Task: task, Run: 1, Outcome: infra.OutcomeDone})
	}
	h := newHarness(t, restored, newPoolWorker("a"))
	h.report("a", infra.Report{Running: report.Running})
	h.advance(200 * time.Millisecond)
	h.report("a", infra.Report{Ended: report.Ended})
	h.step(flow.Submitted{Job: singleStepJob("new", slow)})
	v, found := h.m.Job("new")
	assert.Assert(t, found)
	assert.Equal(t, time.Duration(v.Slack)*time.Millisecond, 5*time.Second)
}

// A run of an unknown job occupied nothing if its worker was not listed yet, because it is counted with the worker's
// capacity. Tasks were started over it, beyond the capacity of the worker.
func TestRunsOfUnknownJobsOccupyWorkersListedLater(t *testing.T) {
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("new", smallStep(1))}}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	})
	unknown := infra.ActiveRun{Task: infra.TaskID{Job: "unknown"}, Run: 1}
	h.report("a", infra.Report{Running: []infra.ActiveRun{unknown}})
	h.step(flow.WorkerListed{Worker: newPoolWorker("a")})
	h.advance(300 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	h.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: unknown.Task, Run: 1, Outcome: infra.OutcomeStopped}}})
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
}

// newTakeover returns a scheduler that takes over a serving task and a filler that disturbs it, both on the worker a of
// the stored roster.
func newTakeover(t *testing.T, listed ...infra.Worker) *harness {
	serving := infra.Step{
		Count: 1, Size: fleet.Resources{MilliCPU: 2000, MemoryBytes: 1 << 30}, LongRunning: true, Image: "serving",
		TailTarget: tailTarget, Estimate: time.Second,
	}
	filler := infra.Step{
		Count: 1, Size: fleet.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Filler: true, Image: "filler", Estimate: 4 * time.Second,
	}
	return newHarness(t, flow.Restored{
		Jobs:         []flow.StoredJob{{Job: singleStepJob("serving", serving)}, {Job: singleStepJob("filler", filler)}},
		Roster:       []flow.RosterEntry{{Worker: "a", Address: "a:1"}},
		Interference: []flow.InterferenceRecord{{Image: "serving", Pairs: []flow.PairWeightRecord{{Image: "filler", Weight: 100}}}},
		Term:         1,
	}, listed...)
}

// A worker that has just started a filler has not measured it yet. After a takeover the filler was taken for a paused one,
// so that it was neither counted as a load nor paused while a serving task beside it missed its target.
func TestAdoptedFillersWithoutMeasurementArePaused(t *testing.T) {
	h := newTakeover(t, newPoolWorker("a"))
	c := &colocated{harness: h, running: []infra.ActiveRun{
		{Task: infra.TaskID{Job: "serving"}, Run: 1, Progress: 100, Measurement: 100}, {Task: infra.TaskID{Job: "filler"}, Run: 1},
	}}
	c.report("a", infra.Report{Running: c.running})
	c.reportTail(3750*time.Millisecond, 4*tailTarget)
	paused := false
	for _, e := range c.effects {
		if e, ok := e.(flow.Throttle); ok {
			paused = e.Order.SpeedPercent == 0
		}
	}
	assert.Assert(t, paused)
}

// A paused filler on a worker that was not listed yet seemed to cost nothing, because its share of the capacity was
// unknown. After a takeover it was resumed at full speed beside a serving task that it disturbs.
func TestFillersAreNotResumedBeforeListing(t *testing.T) {
	for _, listed := range []bool{false, true} {
		h := newTakeover(t)
		if listed {
			h.step(flow.WorkerListed{Worker: newPoolWorker("a")})
		}
		for range 6 {
			h.report("a", infra.Report{Running: []infra.ActiveRun{
				{Task: infra.TaskID{Job: "serving"}, Run: 1, Progress: 100, Measurement: 45}, {Task: infra.TaskID{Job: "filler"}, Run: 1},
			}})
			h.advance(300 * time.Millisecond)
		}
		for _, e := range h.effects {
			if e, ok := e.(flow.Throttle); ok {
				assert.Equal(t, e.Order.SpeedPercent, 0, "listed %t", listed)
			}
		}
	}
}

// sharedWorkers is a pool in which each worker runs a serving task.
type sharedWorkers struct {
	*harness
	running map[fleet.WorkerID][]infra.ActiveRun
	ends    map[fleet.WorkerID]int64
	done    map[fleet.JobID]int
}

// fillerLength is the number of reports in which a filler of [sharedWorkers] completes.
const fillerLength = 4

// tail returns the tail latency of a serving task in milliseconds: about half of [tailTarget], with the swing of its load
// and the noise of a measurement.
func (s *sharedWorkers) tail(index int) float64 {
	const swingPeriod = 12 * time.Second
	interval := int(s.now.UnixMilli() / reportInterval.Milliseconds())
	swing := math.Sin(2 * math.Pi * float64(s.now.UnixMilli()) / float64(swingPeriod.Milliseconds()))
	return 25 + 8*swing + float64((7*index+3*interval)%5)
}

// runReports advances time by one interval of reports at each turn, in which all workers report.
func (s *sharedWorkers) runReports(turns int) {
	for range turns {
		for _, o := range s.starts() {
			s.step(flow.StartAnswered{Worker: o.To.Worker, Order: o.Order, Clock: s.now.UnixMilli()})
			s.running[o.To.Worker] = append(s.running[o.To.Worker], infra.ActiveRun{Task: o.Order.Task, Run: o.Order.Run, Measurement: 1000})
		}
		s.advance(reportInterval)
		for _, id := range slices.Sorted(maps.Keys(s.running)) {
			var report infra.Report
			for _, r := range s.running[id] {
				if r.Task.Job != "serving" {
					r.Progress += 100 / fillerLength
				} else {
					r.Measurement = s.tail(r.Task.Index)
				}
				if r.Progress < 100 || r.Task.Job == "serving" {
					report.Running = append(report.Running, r)
					continue
				}
				s.ends[id]++
				s.done[r.Task.Job]++
				report.Ended = append(report.Ended, infra.EndedRun{Number: s.ends[id], Task: r.Task, Run: r.Run, Outcome: infra.OutcomeDone})
			}
			s.running[id] = report.Running
			s.report(id, report)
		}
	}
}

// Loads that were counted against an unknown capacity at a takeover kept fillers away from all workers with serving
// tasks. Too little of their queue was served, and least of its widest jobs, which come last.
func TestWideFillersAreServedAfterTakeover(t *testing.T) {
	const (
		workers = 10
		wide    = 20
	)
	serving := infra.Step{
		Count: workers, Size: fleet.Resources{MilliCPU: 2000, MemoryBytes: 1 << 30}, LongRunning: true, Image: "serving",
		TailTarget: tailTarget, Estimate: time.Second,
	}
	filler := infra.Step{
		Count: workers, Size: fleet.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Filler: true, Image: "filler", Estimate: 2 * time.Second,
	}
	restored := flow.Restored{Jobs: []flow.StoredJob{{Job: singleStepJob("serving", serving)}, {Job: singleStepJob("old", filler)}}, Term: 1}
	s := &sharedWorkers{
		running: make(map[fleet.WorkerID][]infra.ActiveRun), ends: make(map[fleet.WorkerID]int64), done: make(map[fleet.JobID]int),
	}
	for i := range workers {
		id := fleet.WorkerID("w" + strconv.Itoa(i))
		restored.Roster = append(restored.Roster, flow.RosterEntry{Worker: id, Address: string(id) + ":1"})
		s.running[id] = []infra.ActiveRun{
			{Task: infra.TaskID{Job: "serving", Index: i}, Run: 1, Progress: 100, Measurement: 25},
			{Task: infra.TaskID{Job: "old", Index: i}, Run: 1, Progress: 25, Measurement: 1000},
		}
	}
	s.harness = newHarness(t, restored)
	s.runReports(1)
	for _, id := range slices.Sorted(maps.Keys(s.running)) {
		s.step(flow.WorkerListed{Worker: newPoolWorker(string(id))})
	}
	filler.Count = wide
	for i := range 6 {
		filler.Image = "filler" + strconv.Itoa(i%3)
		s.step(flow.Submitted{Job: singleStepJob("wide"+strconv.Itoa(i), filler)})
	}
	s.runReports(30)
	for i := range 6 {
		assert.Equal(t, s.done[fleet.JobID("wide"+strconv.Itoa(i))], wide, "wide%d", i)
	}
}

// The end of a complete occurrence is reported again to a successor if the predecessor stored its effect but did not
// acknowledge it. It was counted as a second occurrence, and the job was completed before its last occurrence had run.
func TestRepeatedEndDoesNotCompleteAnotherOccurrence(t *testing.T) {
	const interval = 2 * time.Second
	j := singleStepJob("j", smallStep(1))
	j.Schedule = infra.Schedule{Count: 3, Start: time.Unix(999, 0).UnixMilli(), Interval: interval}
	first := flow.OccurrenceRecord{Number: 0, Completed: true}
	h := newHarness(t, flow.Restored{
		Jobs:   []flow.StoredJob{{Job: j, Record: &flow.Record{State: infra.StateRunning, Completed: 1, Occurrences: []flow.OccurrenceRecord{first}}}},
		Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, newPoolWorker("a"))
	h.reportTwice("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: infra.TaskID{Job: "j"}, Run: 1, Outcome: infra.OutcomeDone}}})
	for n := int64(1); n < 3; n++ {
		h.advance(interval)
		started := h.starts()
		assert.Equal(t, len(started), 1, "occurrence %d", n)
		state, _ := h.m.State("j")
		assert.Equal(t, state, infra.StateRunning, "occurrence %d", n)
		order := started[0].Order
		assert.Equal(t, order.Task.Occurrence, n)
		h.report("a", infra.Report{Ended: []infra.EndedRun{{Number: n + 1, Task: order.Task, Run: order.Run, Outcome: infra.OutcomeDone}}})
	}
	h.advance(50 * time.Millisecond)
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateCompleted)
}

// A predecessor whose clock is ahead starts an occurrence that is not due yet by the clock of its successor. The successor
// acknowledged its end without recording it, and started the occurrence again when it was due.
func TestEndOfOccurrenceThatIsNotDueYet(t *testing.T) {
	j := singleStepJob("j", smallStep(1))
	j.Schedule = infra.Schedule{Count: 3, Start: time.Unix(999, 0).UnixMilli(), Interval: 2 * time.Second}
	first := flow.OccurrenceRecord{Number: 0, Completed: true}
	h := newHarness(t, flow.Restored{
		Jobs:   []flow.StoredJob{{Job: j, Record: &flow.Record{State: infra.StateRunning, Completed: 1, Occurrences: []flow.OccurrenceRecord{first}}}},
		Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, newPoolWorker("a"))
	ended := infra.EndedRun{Number: 1, Task: infra.TaskID{Job: "j", Occurrence: 1}, Run: 1, Outcome: infra.OutcomeDone}
	h.report("a", infra.Report{Ended: []infra.EndedRun{ended}})
	h.advance(1500 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	h.report("a", infra.Report{})
	h.advance(2 * time.Second)
	started := h.starts()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Order.Task.Occurrence, int64(2))
}

// The successor stopped a run of an occurrence that was not due yet by its clock as one of an unknown job.
func TestRunOfOccurrenceThatIsNotDueYetIsAdopted(t *testing.T) {
	j := singleStepJob("j", smallStep(1))
	j.Schedule = infra.Schedule{Count: 3, Start: time.Unix(1001, 0).UnixMilli(), Interval: 2 * time.Second}
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: j}}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, newPoolWorker("a"))
	h.report("a", infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: 10}}})
	for _, e := range h.effects {
		_, stopped := e.(flow.Stop)
		assert.Assert(t, !stopped, "%+v", e)
	}
}

// A failed end that a worker had not reported yet was not known when the task ended elsewhere, so that it was started after
// its last attempt.
func TestLastAttemptWaitsForAllWorkers(t *testing.T) {
	task := infra.TaskID{Job: "j"}
	record := &flow.Record{State: infra.StateRunning, Occurrences: []flow.OccurrenceRecord{{
		Steps: []flow.StepRecord{{Tasks: []flow.TaskRecord{{Run: 1, Failed: []infra.Run{1}}}}},
	}}}
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1)), Record: record}}, Term: 1,
		Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}, {Worker: "b", Address: "b:1"}},
	}, newPoolWorker("a"), newPoolWorker("b"), newPoolWorker("c"))
	h.report("c", infra.Report{})
	h.step(flow.PredecessorStopped{})
	h.advance(50 * time.Millisecond)
	h.report("a", infra.Report{Running: []infra.ActiveRun{{Task: task, Run: 3, Progress: 10}}})
	h.advance(50 * time.Millisecond)
	h.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: task, Run: 3, Outcome: infra.OutcomeFailed}}})
	h.advance(300 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	h.report("b", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: task, Run: 2, Outcome: infra.OutcomeFailed}}})
	h.advance(300 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateFailed)
}

// A successor waits for the leases that its predecessor renewed last, and no longer.
func TestWaitEndsOneLeaseAfterPredecessor(t *testing.T) {
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1))}}, Term: 1,
		Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}, {Worker: "b", Address: "b:1"}},
	}, newPoolWorker("b"))
	h.step(flow.PredecessorStopped{Ago: 3 * time.Second})
	for range 11 {
		h.renewalFails("a")
		h.report("b", infra.Report{})
		h.advance(300 * time.Millisecond)
	}
	assert.Equal(t, len(h.starts()), 0)
	h.report("b", infra.Report{})
	h.advance(300 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
}

// A successor took each job that arrived after its predecessor's lease for new, also one that was stored before. Its task ran on
// a worker that had not answered yet, and was started again elsewhere (TWICE).
func TestOnlyJobsStoredAfterThePredecessorsLeaseAreNew(t *testing.T) {
	h := newHarness(t, flow.Restored{
		Term: 1, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}, {Worker: "b", Address: "b:1"}},
	}, newPoolWorker("b"))
	submit := func(id string, revision int64) {
		h.step(flow.Submitted{Job: singleStepJob(id, smallStep(1)), Revision: revision})
		h.reportTwice("b", infra.Report{})
		h.advance(300 * time.Millisecond)
	}
	submit("before the revision is known", 21)
	assert.Equal(t, len(h.starts()), 0)
	h.step(flow.PredecessorLeaseEnded{Revision: 20})
	h.advance(300 * time.Millisecond)
	started := h.starts()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Order.Task.Job, fleet.JobID("before the revision is known"))
	submit("of unknown age", 0)
	submit("at the revision", 20)
	assert.Equal(t, len(h.starts()), 0)
	submit("new", 22)
	started = h.starts()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Order.Task.Job, fleet.JobID("new"))
}

// The end of an earlier run that is reported again carries an older checkpoint, which replaced the latest one, so that the
// next run did its work again.
func TestRepeatedEndDoesNotReplaceCheckpoint(t *testing.T) {
	task := infra.TaskID{Job: "j"}
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1))}}, Term: 1,
		Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}, {Worker: "b", Address: "b:1"}},
	}, newPoolWorker("a"), newPoolWorker("b"))
	h.report("a", infra.Report{Running: []infra.ActiveRun{{Task: task, Run: 2, Checkpoint: "new", Progress: 60}}})
	h.reportTwice("b", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: task, Run: 1, Outcome: infra.OutcomeStopped, Checkpoint: "old"}}})
	h.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: task, Run: 2, Outcome: infra.OutcomeLeaseExpired}}})
	h.advance(100 * time.Millisecond)
	started := h.starts()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Order.Checkpoint, "new")
}

// The record of a scheduled job held an entry for each complete occurrence, so that it grew beyond the largest value of the
// store, which refuses the whole batch then.
func TestRecordOfScheduledJobDoesNotGrow(t *testing.T) {
	const interval, count = time.Second, 40
	j := singleStepJob("j", smallStep(1))
	j.Schedule = infra.Schedule{Count: count, Start: time.Unix(1000, 5e8).UnixMilli(), Interval: interval}
	var record *flow.Record
	numbers := make(map[fleet.WorkerID]int64)
	completed := 0
	for term := int64(1); term <= 4; term++ {
		h := newHarness(t, flow.Restored{
			Jobs: []flow.StoredJob{{Job: j, Record: record}}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: term,
		}, newPoolWorker("a"))
		h.now = h.now.Add(time.Duration(completed) * interval)
		for range count / 4 {
			h.reportTwice("a", infra.Report{})
			h.advance(interval)
			started := h.starts()
			assert.Equal(t, len(started), 1, "occurrence %d", completed)
			assert.Equal(t, started[0].Order.Task.Occurrence, int64(completed))
			numbers["a"]++
			h.report("a", infra.Report{Ended: []infra.EndedRun{{
				Number: numbers["a"], Task: started[0].Order.Task, Run: started[0].Order.Run, Outcome: infra.OutcomeDone,
			}}})
			completed++
			h.advance(25 * time.Millisecond)
			for _, e := range h.effects {
				if s, ok := e.(flow.Save); ok && len(s.Jobs) > 0 {
					record = &s.Jobs[0].Record
				}
			}
			assert.Assert(t, len(record.Occurrences) <= 1, "%+v", record)
			state, _ := h.m.State("j")
			assert.Equal(t, state == infra.StateCompleted, completed == count)
		}
	}
}

// A run that ends while a worker makes its first report for a successor may be in neither of its lists. Its task was started
// again.
func TestSuccessorWaitsForTheSecondReport(t *testing.T) {
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1))}}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, newPoolWorker("a"), newPoolWorker("b"))
	h.step(flow.PredecessorStopped{})
	h.report("b", infra.Report{})
	h.report("a", infra.Report{})
	assert.Equal(t, h.lastRenewal("a").Order.Wait, time.Duration(0))
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	h.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: infra.TaskID{Job: "j"}, Run: 1, Outcome: infra.OutcomeDone}}})
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateCompleted)
}

// A worker that is cut off after its first report still has the lease that the successor has renewed, although those of the
// predecessor have expired.
func TestSuccessorWaitsForTheLeaseAfterTheFirstReport(t *testing.T) {
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1))}}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, newPoolWorker("a"), newPoolWorker("b"))
	h.step(flow.PredecessorStopped{Ago: 4 * time.Second})
	h.report("b", infra.Report{})
	h.report("a", infra.Report{})
	for range 18 {
		h.renewalFails("a")
		h.report("b", infra.Report{})
		h.advance(300 * time.Millisecond)
	}
	assert.Equal(t, len(h.starts()), 0, "the lease lasts for 6 s since its renewal")
	for range 4 {
		h.renewalFails("a")
		h.report("b", infra.Report{})
		h.advance(300 * time.Millisecond)
	}
	assert.Equal(t, len(h.starts()), 1)
}

// A successor counted the lease of a worker from its own orders only. When its first start there was refused, the runs that it
// had adopted were taken to have ended with the deadline of that start, and started again while they ran under the lease of the
// predecessor.
func TestLeaseOfPredecessorCountsForAdoptedRuns(t *testing.T) {
	a := newPoolWorker("a")
	a.Labels = []string{"only-a"}
	old := smallStep(2)
	old.Estimate = 8 * time.Second
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("old", old)}}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, a, newPoolWorker("b"))
	h.step(flow.PredecessorStopped{})
	h.step(flow.PredecessorLeaseEnded{Revision: 1})
	h.report("b", infra.Report{})
	h.advance(100 * time.Millisecond)
	// The next renewal waits until the end is durable, which that of an unknown job is not.
	h.report("a", infra.Report{
		Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "old"}, Run: 1, Progress: 10}},
		Ended:   []infra.EndedRun{{Number: 1, Task: infra.TaskID{Job: "unknown"}, Run: 1, Outcome: infra.OutcomeDone}},
	})
	adoptedAt := h.now
	next := smallStep(1)
	next.Label = "only-a"
	h.step(flow.Submitted{Job: singleStepJob("new", next), Revision: 2})
	h.advance(50 * time.Millisecond)
	started := h.starts()
	assert.Equal(t, len(started), 1)
	refused := &infra.NotSentError{Worker: "a", ConnRefused: true}
	h.step(flow.StartAnswered{Worker: "a", Order: started[0].Order, Err: refused})
	for h.now.Sub(adoptedAt) < 5900*time.Millisecond {
		h.advance(200 * time.Millisecond)
		h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: refused})
		h.report("b", infra.Report{})
		for _, s := range h.starts() {
			assert.Assert(t, s.Order.Task.Job != "old", "started again %v after it was seen running", h.now.Sub(adoptedAt))
		}
	}
}

// A worker that was announced as restarted between its first and its second report, and did not answer again, was awaited
// without end, and the tasks of its predecessor never started.
func TestRestartAfterFirstReportDoesNotHoldUpTasks(t *testing.T) {
	a := newPoolWorker("a")
	a.StartedAt = 5000
	h := newHarness(t, flow.Restored{
		Jobs:   []flow.StoredJob{{Job: singleStepJob("j", smallStep(1))}},
		Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}, {Worker: "b", Address: "b:1"}}, Term: 1,
	}, a, newPoolWorker("b"))
	h.step(flow.PredecessorStopped{})
	h.reportTwice("b", infra.Report{})
	h.report("a", infra.Report{StartedAt: 5000})
	h.renewalFails("a")
	again := a
	again.StartedAt = 6000
	h.step(flow.WorkerListed{Worker: again})
	h.advance(100 * time.Millisecond)
	h.step(flow.WorkerUnlisted{Worker: "a"})
	began := h.now
	for h.now.Sub(began) < 120*time.Second {
		h.renewalFails("a")
		h.report("b", infra.Report{})
		h.advance(300 * time.Millisecond)
		if s := h.starts(); len(s) > 0 {
			return
		}
	}
	t.Fatalf("not started within 120 s, although the worker is gone and its former life has ended")
}
