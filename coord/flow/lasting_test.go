package flow_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

const (
	// lastingRestartTime is how long after its last run a long-running task may be down, and lastingObservation how
	// long it must then be down, with room for it all the while, before that counts as a fault.
	lastingRestartTime = 6 * time.Second
	lastingObservation = 3 * time.Second
	// lastingCalmTime is how long before the observation there must have been no fault.
	lastingCalmTime = 4 * time.Second
	// lastingSlots is the number of further tasks of the same size for which there must be room.
	lastingSlots = 2
	// visibleTime is the time after its acceptance from which a job must be known.
	visibleTime = 3 * time.Second
	// lastingCheckInterval is the interval of the checks.
	lastingCheckInterval = 100 * time.Millisecond
)

// lastingCheck checks throughout a simulation that long-running tasks run if there is room for them, and that accepted
// jobs are known. It measures room by what really runs on the workers.
type lastingCheck struct {
	*simulation
	accepted map[fleet.JobID]time.Time
	// lastRun is when a task last ran, and roomSince since when there is room for it.
	lastRun    map[infra.TaskID]time.Time
	roomSince  map[infra.TaskID]time.Time
	impairedAt time.Time
	// impairments counts the faults in force.
	impairments int
	// failuresPerMinute is how often each running long-running task fails.
	failuresPerMinute float64
	checks            int
}

func newLastingCheck(sim *simulation) *lastingCheck {
	c := &lastingCheck{
		simulation: sim, accepted: make(map[fleet.JobID]time.Time), lastRun: make(map[infra.TaskID]time.Time), roomSince: make(map[infra.TaskID]time.Time),
	}
	sim.after(lastingCheckInterval, c.tick)
	return c
}

// slowDown makes the first n workers slow. That does not affect long-running tasks.
func (c *lastingCheck) slowDown(n int) {
	for _, id := range c.workerIDs[:n] {
		c.workers[id].slowdown = 6
	}
}

// impair marks a fault that lasts for d.
func (c *lastingCheck) impair(d time.Duration) {
	c.impairments++
	c.impairedAt = c.now
	c.after(d, func() {
		c.impairments--
		c.impairedAt = c.now
	})
}

func (c *lastingCheck) submit(j infra.Job, failing ...int) {
	c.simulation.submit(j, failing...)
	c.accepted[j.ID] = c.now
}

func (c *lastingCheck) tick() {
	c.after(lastingCheckInterval, c.tick)
	c.failRuns()
	c.checkKnown()
	for _, id := range c.jobIDs {
		j := c.jobs[id]
		if state, _ := c.leader.m.State(id); !j.cancelled.IsZero() || state == infra.StateFailed && c.crashes.mayFail(j) {
			continue
		}
		for step, spec := range j.spec.Steps {
			if spec.LongRunning {
				c.checkStep(j, step, spec)
			}
		}
	}
}

func (c *lastingCheck) failRuns() {
	for _, id := range c.workerIDs {
		f := c.workers[id]
		if !f.up {
			continue
		}
		for _, task := range sortedTasks(f.runs) {
			if f.runs[task].spec.LongRunning && c.rng.Float64() < c.failuresPerMinute*lastingCheckInterval.Minutes() {
				f.endRun(task, infra.OutcomeFailed)
			}
		}
	}
}

// checkKnown checks that the scheduler knows all jobs that were accepted some time ago.
func (c *lastingCheck) checkKnown() {
	if !c.leader.alive {
		return
	}
	for _, id := range c.jobIDs {
		if _, known := c.leader.m.State(id); !known && c.now.Sub(c.accepted[id]) > visibleTime {
			c.violation("job %s was accepted %v ago and is unknown", id, c.now.Sub(c.accepted[id]))
		}
	}
}

func (c *lastingCheck) checkStep(j *simJob, step int, spec infra.Step) {
	slots := c.freeSlots(j, step, spec)
	for index := range spec.Count {
		task := infra.TaskID{Job: j.spec.ID, Step: step, Index: index}
		c.checks++
		if _, seen := c.lastRun[task]; !seen || c.isRunning(task) {
			c.lastRun[task] = c.now
		}
		if slots < lastingSlots || c.roomSince[task].IsZero() {
			c.roomSince[task] = c.now
		}
		calmSince := c.impairedAt.Add(lastingCalmTime)
		if c.impairments > 0 {
			calmSince = c.now
		}
		down := c.now.Sub(c.lastRun[task])
		if down > lastingRestartTime+lastingObservation && c.now.Sub(c.roomSince[task]) > lastingObservation && c.now.Sub(calmSince) > lastingObservation {
			c.violation("%v has not run for %v, with room for %d of its size: %s", task, down, slots, c.explain(j.spec.ID))
			c.lastRun[task] = c.now
		}
	}
}

// explain returns what the scheduler states about a job.
func (c *lastingCheck) explain(id fleet.JobID) string {
	view, known := c.leader.m.Job(id)
	return fmt.Sprintf("known %t, overview %+v, steps %+v", known, c.leader.m.Overview(), view.Steps)
}

func (c *lastingCheck) isRunning(task infra.TaskID) bool {
	for _, id := range c.workerIDs {
		if f := c.workers[id]; f.up && f.runs[task] != nil {
			return true
		}
	}
	return false
}

// freeSlots returns how many further tasks of a step the sound workers could run.
func (c *lastingCheck) freeSlots(j *simJob, step int, spec infra.Step) int {
	slots := 0
	for _, id := range c.workerIDs {
		f := c.workers[id]
		if !f.up || !f.reachable || !f.drainStarted.IsZero() || spec.Label != "" && !f.hasLabel(spec.Label) {
			continue
		}
		free, same := f.info.Capacity, 0
		for task, r := range f.runs {
			free = free.Sub(r.spec.Reserved())
			if task.Job == j.spec.ID && task.Step == step {
				same++
			}
		}
		for spec.Reserved().Fits(free) && (spec.MaxPerWorker == 0 || same < spec.MaxPerWorker) {
			slots, same, free = slots+1, same+1, free.Sub(spec.Reserved())
		}
	}
	return slots
}

func (f *fakeWorker) hasLabel(label string) bool {
	for _, l := range f.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// sortedTasks returns the tasks of runs in a fixed order.
func sortedTasks(runs map[infra.TaskID]*fakeRun) []infra.TaskID {
	return slices.SortedFunc(maps.Keys(runs), func(a, b infra.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
}

// drawLastingJob draws a job with a long-running step.
func drawLastingJob(t *rapid.T, n int) infra.Job {
	s := infra.Step{
		Count: rapid.IntRange(1, 14).Draw(t, "tasks"), LongRunning: true, Estimate: 500 * time.Millisecond,
		Size: fleet.Resources{MilliCPU: int64(rapid.IntRange(500, 3000).Draw(t, "lasting_cpu")), MemoryBytes: 1 << 28},
	}
	if rapid.Bool().Draw(t, "spread") {
		s.MaxPerWorker = rapid.IntRange(1, 3).Draw(t, "per_worker")
	}
	if rapid.IntRange(0, 3).Draw(t, "labelled") == 0 {
		s.Label = "a"
	}
	if rapid.Bool().Draw(t, "serving") {
		s.Image, s.TailTarget = "serving", 50*time.Millisecond
	}
	j := infra.Job{ID: fleet.JobID(fmt.Sprintf("1a%014x", n)), Queue: "urgent", Spec: "s", MaxAttempts: 4, Steps: []infra.Step{s}}
	if rapid.IntRange(0, 3).Draw(t, "low") == 0 {
		j.Queue = "batch"
	}
	return j
}

// scheduleLastingEvents schedules long-running jobs beside other jobs, and faults whose effects the check allows for.
func scheduleLastingEvents(t *rapid.T, c *lastingCheck) {
	c.failuresPerMinute = float64(rapid.IntRange(0, 30).Draw(t, "failures"))
	c.slowDown(rapid.IntRange(0, 2).Draw(t, "slow_workers"))
	c.elect(false)
	c.run(time.Second)
	for n := range rapid.IntRange(1, 4).Draw(t, "lasting_jobs") {
		j := drawLastingJob(t, n)
		c.after(time.Duration(rapid.IntRange(0, 12000).Draw(t, "lasting_at"))*time.Millisecond, func() { c.submit(j) })
	}
	for n := range rapid.IntRange(0, 40).Draw(t, "jobs") {
		j, failing := drawJob(t, n)
		c.after(time.Duration(rapid.IntRange(0, 20000).Draw(t, "at"))*time.Millisecond, func() { c.submit(j, failing...) })
	}
	// TestLongRunningTasksAfterTakeoverBesideLostWorker covers plans with both.
	kinds := rapid.SampledFrom([][]faultKind{
		faultsWithTakeovers, {refusingCrash, silentCrash, cut, storeOutage, lostOrders, replacement, flapping, unhealthy},
	}).Draw(t, "kinds")
	for range rapid.IntRange(0, 5).Draw(t, "faults") {
		c.schedule(drawFault(t, kinds, len(c.workerIDs)))
	}
}

var faultsWithTakeovers = []faultKind{
	refusingCrash, silentCrash, cut, takeover, cutOffScheduler, storeOutage, lostOrders, schedulerCrash, flapping, unhealthy,
}

// faultKind is a kind of fault in a plan. Connections to a crashed worker are refused, or it does not answer.
type faultKind int

const (
	refusingCrash faultKind = iota
	silentCrash
	cut
	takeover
	cutOffScheduler
	storeOutage
	lostOrders
	replacement
	schedulerCrash
	flapping
	unhealthy
)

// fault is a fault in a plan. Not all kinds use span and worker.
type fault struct {
	kind     faultKind
	at, span time.Duration
	worker   int
}

func drawFault(t *rapid.T, kinds []faultKind, workers int) fault {
	return fault{
		kind: rapid.SampledFrom(kinds).Draw(t, "fault"),
		at:   time.Duration(rapid.IntRange(0, 15000).Draw(t, "fault_at")) * time.Millisecond,
		span: time.Duration(rapid.IntRange(300, 9000).Draw(t, "span")) * time.Millisecond, worker: rapid.IntRange(0, workers-1).Draw(t, "worker"),
	}
}

func (c *lastingCheck) schedule(f fault) {
	at, span, id := f.at, f.span, c.workerIDs[f.worker]
	fault := func(d time.Duration, do func()) {
		c.after(at, func() {
			c.impair(d)
			do()
		})
	}
	switch f.kind {
	case refusingCrash:
		fault(span, func() { c.crash(id, span, false) })
	case silentCrash:
		fault(span, func() { c.crash(id, span, true) })
	case cut:
		fault(span, func() { c.partition(id, span) })
	case takeover:
		fault(0, func() { c.elect(false) })
	case cutOffScheduler:
		fault(leadershipTimeout, func() { c.elect(true) })
	case storeOutage:
		fault(span, func() { c.storeDown = true })
		c.after(at+span, func() { c.storeDown = false })
	case lostOrders:
		fault(span, func() { c.lostShare = 0.1 })
		c.after(at+span, func() { c.lostShare = 0 })
	case replacement:
		fault(0, func() { c.replace(id) })
	case schedulerCrash:
		fault(electionTime, func() { c.killScheduler(electionTime) })
	case flapping:
		down := span / 6
		fault(span, func() {})
		for n := range 3 {
			c.after(at+time.Duration(2*n)*down, func() { c.crash(id, down, n%2 == 1) })
		}
	case unhealthy:
		fault(span, func() { c.workers[id].refusesOrders = true })
		c.after(at+span, func() { c.workers[id].refusesOrders = false })
	}
}

// electionTime is how long after the end of a scheduler another one is elected.
const electionTime = 2 * time.Second

// A long-running task must run again soon after the end of its last run if there is room for two of its size, whatever
// happened before, and the scheduler must know every accepted job.
func TestLongRunningTasksKeepRunning(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newLastingCheck(newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 8).Draw(t, "workers")))
		c.logTo(t)
		scheduleLastingEvents(t, c)
		c.run(40 * time.Second)
		assert.Assert(t, c.checks > 0)
		assert.Assert(t, len(c.violations) == 0, "%q", c.violations)
	})
}

// On a fleet that is full of work, long-running tasks must get the room that becomes free, before and after faults.
func TestLongRunningTasksKeepRunningOnFullFleet(t *testing.T) {
	const workers, faults = 30, 6
	for seed := range 2 {
		c := newLastingCheck(newSimulation(uint64(seed), workers))
		c.failuresPerMinute = 2
		c.slowDown(workers / 4)
		c.elect(false)
		c.run(time.Second)
		for n := range 6 {
			j := rapid.Custom(func(t *rapid.T) infra.Job { return drawLastingJob(t, n) }).Example(100*seed + n)
			j.Steps[0].Count = 14
			c.after(time.Duration(4*n)*time.Second, func() { c.submit(j) })
		}
		for n := range 800 {
			j := rapid.Custom(func(t *rapid.T) infra.Job {
				j, _ := drawJob(t, n)
				return j
			}).Example(1000*seed + n)
			c.after(time.Duration(n)*35*time.Millisecond, func() { c.submit(j) })
		}
		for n := range faults {
			f := rapid.Custom(func(t *rapid.T) fault { return drawFault(t, faultsWithTakeovers, workers) }).Example(100*seed + n)
			c.schedule(f)
		}
		c.run(40 * time.Second)
		assert.Assert(t, len(c.violations) == 0, "seed %d: %q", seed, c.violations)
	}
}

// A worker that is lost just before its scheduler must not hold up the long-running tasks that have room elsewhere.
func TestLongRunningTasksAfterTakeoverBesideLostWorker(t *testing.T) {
	c := newLastingCheck(newSimulation(1, 3))
	c.elect(false)
	c.run(time.Second)
	j := singleStepJob("lasting", lastingStep(6, 1000))
	j.Steps[0].MaxPerWorker = 2
	c.submit(j)
	c.run(5 * time.Second)
	c.impair(electionTime)
	c.replace("w00")
	c.killScheduler(electionTime)
	c.run(20 * time.Second)
	assert.Assert(t, len(c.violations) == 0, "%q", c.violations)
}

// A worker that is lost just before a start does not answer it. The renewal that asks for its report then renewed the lease
// by the scheduler's account, so that its tasks waited for 1.5 s longer than the lease lasted.
func TestLostWorkerIsNotAwaitedLonger(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("j", lastingStep(1, 1000))})
	h.advance(50 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 1)
	h.step(flow.WorkerListed{Worker: newPoolWorker("b")})
	h.report("b", infra.Report{})
	lost := h.now
	h.advance(1500 * time.Millisecond)
	h.step(flow.StartAnswered{Worker: "a", Order: starts[0].Order, Err: &infra.NoAnswerError{Worker: "a"}})
	// The next life of the worker could have taken the start, and the renewal before it 0.7 s after it was sent. The task could then run for
	// 6 s of a slow clock.
	bound := 700*time.Millisecond + 6*time.Second*100/98
	for h.now.Sub(lost) < bound {
		assert.Equal(t, len(h.starts()), 0)
		h.advance(100 * time.Millisecond)
		h.renewalFails("a")
		h.report("b", infra.Report{})
	}
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
}
