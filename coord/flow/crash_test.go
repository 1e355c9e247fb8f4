package flow_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// pendingEvent is an event that happens at a time.
type pendingEvent struct {
	at    time.Time
	event flow.Event
}

// deliver lets the pending events that are due happen.
func (h *harness) deliver() {
	due := slices.DeleteFunc(slices.Clone(h.pending), func(e pendingEvent) bool { return e.at.After(h.now) })
	h.pending = slices.DeleteFunc(h.pending, func(e pendingEvent) bool { return !e.at.After(h.now) })
	for _, e := range due {
		h.step(e.event)
	}
}

// refuse lets the connections of a worker be refused until its leases have expired.
func (h *harness) refuse(id fleet.WorkerID) {
	for range 24 {
		h.step(flow.RenewFailed{Worker: id, Sequence: h.seq[id], Err: &infra.NotSentError{Worker: id, ConnRefused: true}})
		h.advance(300 * time.Millisecond)
	}
}

// replace lets another worker answer at the address of a worker.
func (h *harness) replace(id fleet.WorkerID) {
	h.step(flow.RenewFailed{Worker: id, Sequence: h.seq[id], Err: &infra.RefusedError{Worker: id, Reason: infra.ReasonInstance}})
	h.advance(50 * time.Millisecond)
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
	assert.Equal(t, h.m.Counts().Crashes, int64(0))
	h.replace("a")
	var crashes, suspects []flow.Log
	for _, e := range h.effects {
		if l, ok := e.(flow.Log); ok && l.Text == "worker crashed" {
			crashes = append(crashes, l)
		} else if ok && l.Text == "run suspected of a crash" {
			suspects = append(suspects, l)
		}
	}
	assert.Equal(t, len(crashes), 1)
	assert.Equal(t, crashes[0].Reason, "address belongs to another worker; 1 suspects of 2 runs")
	assert.Equal(t, len(suspects), 1)
	assert.Equal(t, suspects[0].Task.Job, fleet.JobID("new"))
	assert.Equal(t, h.m.Counts().Crashes, int64(1))
}

// crashModel lets some tasks crash the workers that start them, and counts the crashes of workers under all tasks.
type crashModel struct {
	crashing map[infra.TaskID]bool
	unheard  bool
	resets   bool
	crashed  map[infra.TaskID][]time.Time
	started  map[infra.TaskID][]time.Time
}

// noticeTime is how long a call to a worker that crashes remains open. Connections of a process that ends are usually reset.
func (c *crashModel) noticeTime(sim *simulation, unreachable bool) time.Duration {
	if c.resets && !unreachable {
		return sim.delay()
	}
	return answerTimeout
}

// begin lets a worker crash soon after it has started a crashing task.
func (c *crashModel) begin(f *fakeWorker, id infra.TaskID) {
	if c.started == nil {
		c.started, c.crashed = make(map[infra.TaskID][]time.Time), make(map[infra.TaskID][]time.Time)
	}
	sim := f.sim
	c.started[id] = append(c.started[id], sim.now)
	if !c.crashing[id] {
		return
	}
	r, startedAt := f.runs[id], f.startedAt
	sim.after(time.Duration(1+sim.rng.IntN(40))*time.Millisecond, func() {
		if f.up && f.startedAt == startedAt && f.runs[id] == r {
			sim.crash(f.info.ID, time.Duration(2500+sim.rng.IntN(1500))*time.Millisecond, c.unheard && sim.rng.IntN(2) == 0)
		}
	})
}

// record counts the crash of a worker under all tasks on it.
func (c *crashModel) record(f *fakeWorker) {
	for id := range f.runs {
		c.crashed[id] = append(c.crashed[id], f.sim.now)
	}
}

const (
	// maxStartsAfterCrashes limits the starts of a crashing task after maxCrashesUnderTask workers have crashed under it.
	maxStartsAfterCrashes = 2
	maxCrashesUnderTask   = 3
	// minCrashesUnderTask workers must have crashed under a task that is given up.
	minCrashesUnderTask = 2
)

// check finds crashing tasks that were started too often.
func (c *crashModel) check(sim *simulation) {
	for id := range c.crashing {
		crashes := c.crashed[id]
		if len(crashes) < maxCrashesUnderTask {
			continue
		}
		count := 0
		for _, at := range c.started[id] {
			if at.After(crashes[maxCrashesUnderTask-1]) {
				count++
			}
		}
		if count > maxStartsAfterCrashes {
			sim.violation("%v was started %d times after %d workers had crashed under it: starts %v, crashes %v", id, count, maxCrashesUnderTask, c.started[id], crashes)
		}
	}
}

// quietTime is long after the last fault of a plan.
const quietTime = 40 * time.Second

// checkLasting finds tasks of a long-running job that have no run, unless the job has failed.
func (c *crashModel) checkLasting(sim *simulation, j *infra.Job) {
	if state, _ := sim.leader.m.State(j.ID); state == infra.StateFailed {
		return
	}
	for i := range j.Steps[0].Count {
		id := infra.TaskID{Job: j.ID, Index: i}
		if !slices.ContainsFunc(sim.workerIDs, func(w fleet.WorkerID) bool { return sim.workers[w].runs[id] != nil }) {
			sim.violation("%v is long-running and does not run", id)
		}
	}
}

// mayFail reports whether a job may be shown as failed because workers have crashed under one of its tasks.
func (c *crashModel) mayFail(j *simJob) bool {
	for id, crashes := range c.crashed {
		if id.Job == j.spec.ID && len(crashes) >= minCrashesUnderTask {
			return true
		}
	}
	return false
}

// scheduleCrashes schedules jobs of which some crash their workers, and other failures of workers and schedulers.
func scheduleCrashes(t *rapid.T, sim *simulation) {
	sim.crashes.crashing = make(map[infra.TaskID]bool)
	sim.crashes.unheard = rapid.Bool().Draw(t, "unheard")
	sim.crashes.resets = rapid.IntRange(0, 3).Draw(t, "resets") > 0
	sim.elect(false)
	sim.run(time.Second)
	for n := range rapid.IntRange(3, 20).Draw(t, "jobs") {
		j, _ := drawJob(t, n)
		if rapid.IntRange(0, 9).Draw(t, "gang") == 0 {
			// The simulation does not end the members of a gang together, so no step may depend on it.
			last := &j.Steps[len(j.Steps)-1]
			last.Gang, last.Filler, last.Speculative, last.Count, last.Size.MilliCPU = true, false, false, 2, 1000
		}
		lasts := rapid.IntRange(0, 7).Draw(t, "lasts") == 0
		if lasts {
			j.Steps = []infra.Step{{Count: 2, Size: fleet.Resources{MilliCPU: 1000, MemoryBytes: 1 << 28}, LongRunning: true, Estimate: time.Second}}
		}
		if rapid.IntRange(0, 3).Draw(t, "crashing") == 0 {
			s := rapid.IntRange(0, len(j.Steps)-1).Draw(t, "crashing_step")
			all := rapid.IntRange(0, 3).Draw(t, "crashing_all") == 0 || j.Steps[s].Gang
			for i := range j.Steps[s].Count {
				if all || i == 0 {
					sim.crashes.crashing[infra.TaskID{Job: j.ID, Step: s, Index: i}] = true
				}
			}
		}
		sim.after(time.Duration(rapid.IntRange(0, 8000).Draw(t, "at"))*time.Millisecond, func() { sim.submit(j) })
		if lasts {
			sim.after(quietTime, func() {
				sim.crashes.checkLasting(sim, &j)
				sim.cancel(j.ID)
			})
		}
	}
	for range rapid.IntRange(0, 5).Draw(t, "faults") {
		at := time.Duration(rapid.IntRange(0, 12000).Draw(t, "fault_at")) * time.Millisecond
		span := time.Duration(rapid.IntRange(300, 6000).Draw(t, "span")) * time.Millisecond
		id := sim.workerIDs[rapid.IntRange(0, len(sim.workerIDs)-1).Draw(t, "worker")]
		first := rapid.IntRange(0, len(sim.workerIDs)/2).Draw(t, "first")
		crashMany := func(ids []fleet.WorkerID) {
			for _, id := range ids {
				sim.after(time.Duration(sim.rng.IntN(50))*time.Millisecond, func() { sim.crash(id, span, false) })
			}
		}
		switch rapid.IntRange(0, 9).Draw(t, "fault") {
		case 0:
			sim.after(at, func() { sim.crash(id, span, false) })
		case 1:
			sim.after(at, func() { sim.crash(id, span, true) })
		case 2:
			sim.after(at, func() { sim.partition(id, span) })
		case 3:
			sim.after(at, func() { sim.elect(sim.rng.IntN(2) == 0) })
		case 4:
			sim.after(at, func() { crashMany(sim.workerIDs[first:min(first+4, len(sim.workerIDs))]) })
		case 5:
			sim.after(at, func() { sim.storeDown = true })
			sim.after(at+span, func() { sim.storeDown = false })
		case 6:
			sim.after(at, func() { sim.lostShare = 0.1 })
			sim.after(at+span, func() { sim.lostShare = 0 })
		case 7:
			sim.after(at, func() { crashMany(sim.workerIDs) })
		case 8:
			sim.after(at, func() { sim.killScheduler(span) })
		case 9:
			sim.after(at, func() { sim.drain(id, span) })
		}
	}
}

// A task that crashed each worker that started it was started without end, and took the other tasks of those workers with
// it. It is given up, and other jobs complete unless several workers crash under one of their tasks.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(6, 20).Draw(t, "workers"))
		sim.logTo(t)
		scheduleCrashes(t, sim)
		sim.run(20*time.Second + settleTime)
		sim.crashes.check(sim)
		assert.Assert(t, len(sim.violations) == 0, "%q", sim.violations)
		for _, id := range sim.jobIDs {
			state, found := sim.leader.m.State(id)
			assert.Assert(t, found && state.Final(), "job %s has not ended, it is %s: %+v", id, state, sim.jobs[id].spec)
			if state == infra.StateFailed {
				assert.Assert(t, sim.crashes.mayFail(sim.jobs[id]), "job %s failed without cause", id)
			}
			for task := range sim.crashes.crashing {
				if task.Job == id {
					assert.Equal(t, state, infra.StateFailed, "job %s", id)
				}
			}
		}
	})
}

// savedRecord returns the last saved record of a job, or nil.
func (h *harness) savedRecord(id fleet.JobID) *flow.Record {
	var record *flow.Record
	for _, e := range h.effects {
		s, ok := e.(flow.Save)
		if !ok {
			continue
		}
		for _, j := range s.Jobs {
			if j.Job == id {
				record = &j.Record
			}
		}
	}
	return record
}

// savedCrashes returns the number of crashes in the last saved record of a job with one task.
func (h *harness) savedCrashes(id fleet.JobID) int { return crashesIn(h.savedRecord(id)) }

func crashesIn(record *flow.Record) int {
	if record == nil {
		return 0
	}
	crashes := 0
	for _, o := range record.Occurrences {
		for _, step := range o.Steps {
			for _, t := range step.Tasks {
				crashes += t.Crashes
			}
		}
	}
	return crashes
}

// A successor that started to count anew would let a task crash three more workers after each takeover.
func TestSuccessorContinuesTheCountOfCrashes(t *testing.T) {
	stored := flow.Record{State: infra.StateRunning, Occurrences: []flow.OccurrenceRecord{{
		Steps: []flow.StepRecord{{Tasks: []flow.TaskRecord{{Run: 5, Crashes: 2, Confirmed: 2}}}},
	}}}
	h := newHarness(t, flow.Restored{Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1)), Record: &stored}}, Term: 1}, newPoolWorker("a"), newPoolWorker("b"))
	h.report("a", infra.Report{})
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.answerStarts()), 1)
	h.refuse("a")
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateRunning)
	h.replace("a")
	h.report("b", infra.Report{})
	h.advance(time.Second)
	assert.Equal(t, len(h.starts()), 0)
	state, _ = h.m.State("j")
	assert.Equal(t, state, infra.StateFailed)
	assert.Equal(t, h.m.Counts().GivenUp, int64(1))
}

// A task that crashed its workers only some time after its start was no suspect, and was started without end.
func TestTaskThatCrashesItsWorkersLateIsGivenUp(t *testing.T) {
	ids := []fleet.WorkerID{"a", "b", "c", "d", "e", "f"}
	h := newHarness(t, flow.Restored{})
	for _, id := range ids {
		h.step(flow.WorkerListed{Worker: newPoolWorker(string(id))})
		h.report(id, infra.Report{})
	}
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	starts := 0
	for range ids {
		h.advance(2 * time.Second)
		for _, s := range h.answerStarts() {
			starts++
			running := infra.Report{Running: []infra.ActiveRun{{Task: s.Order.Task, Run: s.Order.Run, Progress: 10}}}
			h.advance(100 * time.Millisecond)
			h.report(s.To.Worker, running)
			h.advance(time.Second)
			running.Running[0].Progress = 60
			h.report(s.To.Worker, running)
			h.refuse(s.To.Worker)
			h.replace(s.To.Worker)
		}
	}
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateFailed)
	assert.Assert(t, starts <= maxCrashesUnderTask+maxStartsAfterCrashes, "%d starts", starts)
}

// Two crashes of the same worker soon after it had started a task failed the job, although the worker may be to blame.
func TestCrashesOfOneWorkerDoNotFailAJob(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	for n := range 2 {
		a := newPoolWorker("a")
		a.StartedAt = int64(n + 1)
		h.step(flow.WorkerListed{Worker: a})
		h.report("a", infra.Report{StartedAt: a.StartedAt})
		h.advance(200 * time.Millisecond)
		h.report("a", infra.Report{StartedAt: a.StartedAt})
		h.advance(200 * time.Millisecond)
		assert.Equal(t, len(h.answerStarts()), 1)
		h.refuse("a")
	}
	h.advance(2 * time.Second)
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateRunning)
}

// The requests for a report that ends a trial replaced each other before any of them had failed. A worker that became
// silent during a trial was never found unreachable, and its tasks were not started elsewhere.
func TestSilentWorkerIsNoticedDuringATrial(t *testing.T) {
	const callTime = 700 * time.Millisecond
	stored := flow.Record{State: infra.StateRunning, Occurrences: []flow.OccurrenceRecord{{
		Steps: []flow.StepRecord{{Tasks: []flow.TaskRecord{{Run: 5, Crashes: 1, Confirmed: 1}}}},
	}}}
	h := newHarness(t, flow.Restored{Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1)), Record: &stored}}, Term: 1}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.advance(600 * time.Millisecond)
	h.report("a", infra.Report{})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.answerStarts()), 1)
	h.step(flow.WorkerListed{Worker: newPoolWorker("b")})
	// All calls to the worker fail after their timeout from now on.
	handled := 0
	for range 400 {
		h.advance(25 * time.Millisecond)
		for _, e := range h.effects[handled:] {
			if r, ok := e.(flow.Renew); ok && r.To.Worker == "a" {
				failed := flow.RenewFailed{Worker: "a", Sequence: r.Sequence, Order: r.Order, Err: &infra.NoAnswerError{Worker: "a"}}
				h.pending = append(h.pending, pendingEvent{at: h.now.Add(callTime + r.Order.Wait), event: failed})
			}
		}
		handled = len(h.effects)
		h.deliver()
		h.report("b", infra.Report{})
	}
	assert.Assert(t, len(h.starts()) > 0)
}

// After two crashes under a step its tasks start one at a time. They waited for a run that could not be found sound, because
// its worker did not answer.
func TestStepDoesNotWaitForARunOnASilentWorker(t *testing.T) {
	a, b, c := newPoolWorker("a"), newPoolWorker("b"), newPoolWorker("c")
	c.StartedAt = 1
	h := newHarness(t, flow.Restored{}, a, b, c)
	h.report("a", infra.Report{})
	h.report("b", infra.Report{})
	h.report("c", infra.Report{StartedAt: 1})
	h.step(flow.Submitted{Job: singleStepJob("j", lastingStep(3, 6000))})
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.answerStarts()), 3)
	free := []fleet.WorkerID{"d", "e", "f"}
	for _, id := range free {
		h.step(flow.WorkerListed{Worker: newPoolWorker(string(id))})
	}
	h.advance(50 * time.Millisecond)
	// The worker c is listed as another incarnation, which does not answer.
	c.StartedAt = 2
	h.step(flow.WorkerListed{Worker: c})
	h.refuse("a")
	h.refuse("b")
	running := make(map[fleet.WorkerID][]infra.ActiveRun)
	restarts := 0
	for range 120 {
		for _, id := range free {
			h.report(id, infra.Report{Running: running[id]})
		}
		h.advance(25 * time.Millisecond)
		for _, s := range h.answerStarts() {
			restarts++
			running[s.To.Worker] = append(running[s.To.Worker], infra.ActiveRun{Task: s.Order.Task, Run: s.Order.Run, Progress: 10})
		}
	}
	assert.Equal(t, restarts, 2)
}

// A run whose worker has crashed was counted again with each further restart of that worker, until its job failed, while a
// stop to the new incarnation was not answered.
func TestLostRunCountsOnce(t *testing.T) {
	a := newPoolWorker("a")
	a.StartedAt = 1
	h := newHarness(t, flow.Restored{}, a)
	h.report("a", infra.Report{StartedAt: 1})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.answerStarts()), 1)
	for n := range 4 {
		h.advance(time.Second)
		h.report("a", infra.Report{StartedAt: int64(n + 2)})
	}
	a.StartedAt = 5
	h.step(flow.WorkerListed{Worker: a})
	for range 70 {
		h.advance(200 * time.Millisecond)
		h.report("a", infra.Report{StartedAt: 5})
	}
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateRunning)
}

// A worker that crashed without a refused connection was no loss for the task that it ran, so that a task which crashes
// its workers in this way was started without end.
func TestSilentCrashesAreLosses(t *testing.T) {
	h := newHarness(t, flow.Restored{})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	starts := 0
	for n := range 8 {
		a := newPoolWorker("a")
		a.StartedAt = int64(n + 1)
		h.step(flow.WorkerListed{Worker: a})
		report := infra.Report{StartedAt: a.StartedAt}
		for range 10 {
			h.report("a", report)
			h.advance(200 * time.Millisecond)
			for _, s := range h.answerStarts() {
				starts++
				report.Running = []infra.ActiveRun{{Task: s.Order.Task, Run: s.Order.Run, Progress: 10}}
			}
		}
		for range 30 {
			h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: &infra.NoAnswerError{Worker: "a"}})
			h.advance(300 * time.Millisecond)
		}
		h.step(flow.WorkerUnlisted{Worker: "a"})
		h.advance(50 * time.Millisecond)
	}
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateFailed)
	assert.Assert(t, starts <= maxCrashesUnderTask+maxStartsAfterCrashes, "%d starts", starts)
}

// A run that had just been adopted was no suspect beside a trial, so that the crash that it caused was blamed on the task
// on trial alone.
func TestAdoptedRunIsSuspectedBesideATrial(t *testing.T) {
	suspect := flow.Record{State: infra.StateRunning, Occurrences: []flow.OccurrenceRecord{{
		Steps: []flow.StepRecord{{Tasks: []flow.TaskRecord{{Run: 5, Crashes: 1, Confirmed: 1, CrashedOn: "z"}}}},
	}}}
	h := newHarness(t, flow.Restored{
		Jobs:   []flow.StoredJob{{Job: singleStepJob("suspect", smallStep(1)), Record: &suspect}, {Job: singleStepJob("adopted", smallStep(1))}},
		Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, newPoolWorker("a"))
	h.report("a", infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "adopted"}, Run: 7, Progress: 1}}})
	h.advance(50 * time.Millisecond)
	h.answerStarts()
	h.refuse("a")
	h.replace("a")
	h.advance(50 * time.Millisecond)
	assert.Equal(t, h.savedCrashes("adopted"), 1)
}

// Many long-running tasks that were lost in one crash soon after their start were started one at a time on the only worker
// with room, each in a trial of its own.
func TestManyLongRunningSuspectsRestartSoon(t *testing.T) {
	const tasks = 20
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("j", lastingStep(tasks, 250))})
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.answerStarts()), tasks)
	h.step(flow.WorkerListed{Worker: newPoolWorker("b")})
	h.advance(50 * time.Millisecond)
	h.report("b", infra.Report{})
	h.refuse("a")
	var running []infra.ActiveRun
	for range 200 {
		h.advance(25 * time.Millisecond)
		for _, s := range h.answerStarts() {
			running = append(running, infra.ActiveRun{Task: s.Order.Task, Run: s.Order.Run, Progress: 10})
		}
		h.report("b", infra.Report{Running: running})
	}
	assert.Equal(t, len(running), tasks)
}

// A run that was adopted before its job was known belongs to no step. The crash of its worker after the job had arrived ended
// the scheduler's process.
func TestCrashUnderARunThatWasAdoptedBeforeItsJob(t *testing.T) {
	h := newHarness(t, flow.Restored{Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1}, newPoolWorker("a"))
	running := infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 7, Progress: 10}}}
	h.report("a", running)
	h.step(flow.Submitted{Job: singleStepJob("j", lastingStep(1, 1000))})
	for range 30 {
		h.advance(500 * time.Millisecond)
		h.report("a", running)
	}
	h.refuse("a")
	h.step(flow.WorkerListed{Worker: newPoolWorker("b")})
	h.advance(50 * time.Millisecond)
	h.report("b", infra.Report{})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
}

// A worker that was only cut off while its leases expired has not crashed, but one that returns as another incarnation has.
func TestOnlyANewIncarnationProvesASilentCrash(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		a := newPoolWorker("a")
		a.StartedAt = 1
		h := newHarness(t, flow.Restored{}, a)
		h.report("a", infra.Report{StartedAt: 1})
		h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
		h.advance(200 * time.Millisecond)
		assert.Equal(t, len(h.answerStarts()), 1)
		for range 30 {
			h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: &infra.NoAnswerError{Worker: "a"}})
			h.advance(300 * time.Millisecond)
		}
		h.step(flow.WorkerUnlisted{Worker: "a"})
		h.advance(50 * time.Millisecond)
		want := 0
		if restarted {
			a.StartedAt, want = 2, 1
		}
		h.step(flow.WorkerListed{Worker: a})
		h.advance(50 * time.Millisecond)
		h.report("a", infra.Report{StartedAt: a.StartedAt})
		h.advance(50 * time.Millisecond)
		assert.Equal(t, h.savedCrashes("j"), want)
		for range 10 {
			h.report("a", infra.Report{StartedAt: a.StartedAt})
			h.advance(50 * time.Millisecond)
		}
		assert.Equal(t, len(h.starts()), 1)
	}
}

// Two crashing tasks that start together on one worker shared the blame, so that each hid the other. A trial begins on a
// worker without recent starts, and nothing else starts there meanwhile.
func TestSuspectsAreIsolated(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"))
	h.report("a", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(2))})
	h.advance(200 * time.Millisecond)
	assert.Equal(t, len(h.answerStarts()), 2)
	h.replace("a")
	h.refuse("a")
	h.advance(500 * time.Millisecond)
	// The trial is stored before it starts.
	for range 4 {
		h.report("b", infra.Report{})
		h.advance(50 * time.Millisecond)
	}
	first := h.answerStarts()
	assert.Equal(t, len(first), 1)
	h.step(flow.Submitted{Job: singleStepJob("k", smallStep(1))})
	h.advance(300 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	h.report("b", infra.Report{Running: []infra.ActiveRun{{Task: first[0].Order.Task, Run: first[0].Order.Run, Progress: 10}}})
	h.advance(300 * time.Millisecond)
	h.report("b", infra.Report{Running: []infra.ActiveRun{{Task: first[0].Order.Task, Run: first[0].Order.Run, Progress: 40}}})
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
}

// The start of a task on a worker that restarts again and again was blamed for each restart.
func TestStartIsBlamedForOneRestart(t *testing.T) {
	a := newPoolWorker("a")
	a.StartedAt = 1
	h := newHarness(t, flow.Restored{}, a)
	h.report("a", infra.Report{StartedAt: 1})
	h.step(flow.Submitted{Job: singleStepJob("j", lastingStep(1, 1000))})
	h.advance(50 * time.Millisecond)
	starts := h.answerStarts()
	assert.Equal(t, len(starts), 1)
	for startedAt := int64(2); startedAt < 6; startedAt++ {
		h.report("a", infra.Report{StartedAt: startedAt})
		h.advance(50 * time.Millisecond)
		h.report("a", infra.Report{StartedAt: startedAt})
		h.advance(50 * time.Millisecond)
		h.step(flow.StopAnswered{Worker: "a", Order: infra.StopOrder{Task: starts[0].Order.Task, Run: starts[0].Order.Run}, Clock: h.now.UnixMilli()})
	}
	h.advance(50 * time.Millisecond)
	h.report("a", infra.Report{StartedAt: 5})
	h.advance(50 * time.Millisecond)
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateRunning)
}

// A crash that its scheduler had not stored when it died was lost, so that a task which crashes its workers was started more
// often than allowed after several takeovers. The successor finds the trial, and counts a crash only if there was one.
func TestCrashOfATrialOutlivesItsScheduler(t *testing.T) {
	refused := &infra.NotSentError{Worker: "a", ConnRefused: true}
	for _, c := range []struct {
		name string
		// answer lets the worker answer the successor.
		answer func(h *harness, trial flow.Start)
		want   int
	}{
		{"the worker has restarted", func(h *harness, _ flow.Start) { h.reportTwice("a", infra.Report{StartedAt: 2}) }, 2},
		{"the worker is listed as another incarnation", func(h *harness, _ flow.Start) {
			restarted := newPoolWorker("a")
			restarted.StartedAt = 2
			h.step(flow.WorkerListed{Worker: restarted})
			h.reportTwice("a", infra.Report{StartedAt: 2})
		}, 2},
		{"the worker refuses connections", func(h *harness, _ flow.Start) {
			for range 2 {
				h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: refused})
				h.advance(300 * time.Millisecond)
			}
		}, 1},
		{"the worker refuses connections and another one takes its address", func(h *harness, _ flow.Start) {
			for range 2 {
				h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: refused})
				h.advance(300 * time.Millisecond)
			}
			h.replace("a")
		}, 2},
		{"the worker refuses connections and restarts", func(h *harness, _ flow.Start) {
			for range 2 {
				h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: refused})
				h.advance(300 * time.Millisecond)
			}
			h.reportTwice("a", infra.Report{StartedAt: 2})
		}, 2},
		{"the worker is silent", func(h *harness, _ flow.Start) {
			for range 10 {
				h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: &infra.NoAnswerError{Worker: "a"}})
				h.advance(300 * time.Millisecond)
			}
		}, 1},
		{"the start was not carried out", func(h *harness, _ flow.Start) { h.reportTwice("a", infra.Report{StartedAt: 1}) }, 1},
		{"the task runs", func(h *harness, trial flow.Start) {
			running := infra.ActiveRun{Task: trial.Order.Task, Run: trial.Order.Run, Progress: 10}
			h.reportTwice("a", infra.Report{StartedAt: 1, Running: []infra.ActiveRun{running}})
		}, 1},
		{"the run was stopped", func(h *harness, trial flow.Start) {
			end := infra.EndedRun{Number: 1, Task: trial.Order.Task, Run: trial.Order.Run, Outcome: infra.OutcomeStopped}
			h.reportTwice("a", infra.Report{StartedAt: 1, Ended: []infra.EndedRun{end}})
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := singleStepJob("j", smallStep(1))
			record, trial := startTrial(t, j)
			roster := []flow.RosterEntry{{Worker: "a", Address: "a:1"}}
			h := newHarness(t, flow.Restored{Jobs: []flow.StoredJob{{Job: j, Record: record}}, Roster: roster, Term: 2})
			c.answer(h, trial)
			h.advance(100 * time.Millisecond)
			if saved := h.savedRecord("j"); saved != nil {
				record = saved
			}
			assert.Equal(t, crashesIn(record), c.want)
			// A later successor does not count the crash again.
			h = newHarness(t, flow.Restored{Jobs: []flow.StoredJob{{Job: j, Record: record}}, Roster: roster, Term: 3})
			h.reportTwice("a", infra.Report{StartedAt: 2})
			h.advance(100 * time.Millisecond)
			if saved := h.savedRecord("j"); saved != nil {
				record = saved
			}
			assert.Assert(t, crashesIn(record) <= 2)
		})
	}
}

// startTrial starts the only task of a job, which is suspected of a crash, on the first incarnation of worker a. It returns the
// job's last record before the start.
func startTrial(t *testing.T, j infra.Job) (*flow.Record, flow.Start) {
	record := &flow.Record{State: infra.StateRunning, Occurrences: []flow.OccurrenceRecord{{
		Steps: []flow.StepRecord{{Tasks: []flow.TaskRecord{{Run: 5, Crashes: 1, Confirmed: 1, CrashedOn: "z", Losses: 1}}}},
	}}}
	a := newPoolWorker("a")
	a.StartedAt = 1
	h := newHarness(t, flow.Restored{Jobs: []flow.StoredJob{{Job: j, Record: record}}, Term: 1}, a)
	h.report("a", infra.Report{StartedAt: 1})
	h.advance(550 * time.Millisecond)
	for range 10 {
		h.report("a", infra.Report{StartedAt: 1})
		h.advance(25 * time.Millisecond)
		for i, e := range h.effects {
			if s, ok := e.(flow.Start); ok {
				h.effects = h.effects[:i]
				if saved := h.savedRecord(j.ID); saved != nil {
					record = saved
				}
				return record, s
			}
		}
	}
	t.Fatal("no trial was started")
	return nil, flow.Start{}
}

// Schedulers that die between the save and the start of a trial must not fail the job: the worker has not restarted.
func TestSchedulersThatDieBeforeATrialDoNotFailTheJob(t *testing.T) {
	j := singleStepJob("j", smallStep(1))
	record, _ := startTrial(t, j)
	for term := range int64(6) {
		h := newHarness(t, flow.Restored{
			Jobs: []flow.StoredJob{{Job: j, Record: record}}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: term + 2,
		})
		a := newPoolWorker("a")
		a.StartedAt = 1
		h.step(flow.WorkerListed{Worker: a})
		for range 30 {
			h.report("a", infra.Report{StartedAt: 1})
			h.advance(25 * time.Millisecond)
		}
		if saved := h.savedRecord("j"); saved != nil {
			record = saved
		}
		assert.Equal(t, crashesIn(record), 1)
		assert.Equal(t, len(h.starts()), 1)
	}
}

// A trial began although no save had succeeded since the last crash had been counted, so that the next crash could be lost.
func TestTrialIsDurableBeforeItsStart(t *testing.T) {
	stored := flow.Record{State: infra.StateRunning, Occurrences: []flow.OccurrenceRecord{{
		Steps: []flow.StepRecord{{Tasks: []flow.TaskRecord{{Run: 5, Crashes: 1, Confirmed: 1}}}},
	}}}
	h := newHarness(t, flow.Restored{Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1)), Record: &stored}}, Term: 1}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.isStoreDown = true
	for range 20 {
		h.advance(50 * time.Millisecond)
		h.report("a", infra.Report{})
	}
	assert.Equal(t, len(h.starts()), 0)
}

// Guards against a sound job that is shown as failed (LOST): the loss of a worker whose address refused connections, was silent and
// refused them again before any answer counted as two crashes under the same run. It counts once, when the next life answers.
func TestRefusedConnectionsAgainAreNoOtherCrash(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"))
	h.report("a", infra.Report{StartedAt: 1})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.answerStarts()), 1)
	h.report("a", infra.Report{StartedAt: 1, Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: 1}}})
	refused := func(times int) {
		for range times {
			h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: &infra.NotSentError{Worker: "a", ConnRefused: true}})
			h.advance(300 * time.Millisecond)
		}
	}
	refused(2)
	h.renewalFails("a")
	h.advance(300 * time.Millisecond)
	refused(3)
	assert.Equal(t, h.m.Counts().Crashes, int64(0))
	h.reportTwice("a", infra.Report{StartedAt: 2})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, h.m.Counts().Crashes, int64(1))
	assert.Equal(t, h.savedCrashes("j"), 1)
}
