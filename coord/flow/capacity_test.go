package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

const (
	heartbeatInterval = 1100 * time.Millisecond
	contactTimeout    = 3 * time.Second
	// capacityGrace is how long after a worker's capacity has shrunk starts may still count on the former one.
	capacityGrace = contactTimeout + heartbeatInterval
	// maxListingDelay is the longest time until the scheduler reads a registration that the store has accepted.
	maxListingDelay = 300 * time.Millisecond
	// maxDelay exceeds [simulation.delay].
	maxDelay = 10 * time.Millisecond
)

// capacityChange is the capacity of a worker from a time on.
type capacityChange struct {
	at       time.Time
	capacity fleet.Resources
}

// storeOutage makes the store unavailable: saves and registrations are delayed until its end.
func (sim *simulation) storeOutage(d time.Duration) {
	if sim.storeDown {
		return
	}
	sim.storeDown, sim.storeDownAt = true, sim.now
	sim.after(d, func() { sim.storeDown, sim.storeUpAt = false, sim.now })
}

// resize changes a worker's capacity. The registration follows with the next heartbeat that the store accepts.
func (sim *simulation) resize(id fleet.WorkerID, capacity fleet.Resources) {
	f := sim.workers[id]
	if !f.up {
		return
	}
	if len(f.capacities) == 0 {
		f.capacities = append(f.capacities, capacityChange{at: f.startedAt, capacity: f.info.Capacity})
	}
	f.capacities = append(f.capacities, capacityChange{at: sim.now, capacity: capacity})
	sim.after(time.Duration(sim.rng.Int64N(int64(heartbeatInterval))), func() { sim.register(f, f.startedAt) })
}

// register stores a worker's current capacity, and delivers it to the scheduler after the delay of the watch.
func (sim *simulation) register(f *fakeWorker, startedAt time.Time) {
	switch {
	case !f.up || !f.reachable || f.startedAt != startedAt:
		return
	case sim.storeDown:
		sim.after(heartbeatInterval, func() { sim.register(f, startedAt) })
		return
	}
	f.info.Capacity = f.capacity()
	info := f.describe()
	// The watch delivers the registrations of a worker in order.
	delay := max(time.Duration(sim.rng.Int64N(int64(maxListingDelay))), f.listedAt.Sub(sim.now))
	f.listedAt = sim.now.Add(delay + maxDelay)
	sim.after(delay, func() { sim.notifyLeader(flow.WorkerListed{Worker: info}) })
}

// restartAs ends a worker and starts it again under the same ID with another capacity.
func (sim *simulation) restartAs(id fleet.WorkerID, capacity fleet.Resources, downTime time.Duration) {
	f := sim.workers[id]
	if !f.up {
		return
	}
	sim.crash(id, 24*time.Hour, false)
	startedAt := f.startedAt
	sim.after(downTime, func() {
		if f.up || f.startedAt != startedAt {
			return
		}
		f.up, f.reachable = true, true
		f.reset()
		f.capacities = []capacityChange{{at: sim.now, capacity: capacity}}
		sim.register(f, f.startedAt)
	})
}

func (f *fakeWorker) capacity() fleet.Resources {
	if len(f.capacities) == 0 {
		return f.info.Capacity
	}
	return f.capacities[len(f.capacities)-1].capacity
}

// changedAt returns when the capacity last changed.
func (f *fakeWorker) changedAt() time.Time {
	if len(f.capacities) == 0 {
		return f.startedAt
	}
	return f.capacities[len(f.capacities)-1].at
}

// capacityLimit returns the capacity that a start must respect: the largest of the time that a scheduler in touch with
// the store may not have seen beyond.
func (f *fakeWorker) capacityLimit() fleet.Resources {
	sim := f.sim
	since := sim.now.Add(-capacityGrace)
	if sim.storeDown || sim.now.Sub(sim.storeUpAt) < contactTimeout {
		since = sim.storeDownAt.Add(-capacityGrace)
	}
	limit := f.capacity()
	for i := len(f.capacities) - 1; i > 0 && f.capacities[i].at.After(since); i-- {
		limit = limit.Max(f.capacities[i-1].capacity)
	}
	return limit
}

// used returns the resources that the runs of a worker hold.
func (f *fakeWorker) used() fleet.Resources {
	var used fleet.Resources
	for _, r := range f.runs {
		used = used.Add(r.spec.Reserved())
	}
	return used
}

func drawCapacity(t *rapid.T) fleet.Resources {
	return fleet.Resources{
		MilliCPU:    int64(rapid.IntRange(0, 8).Draw(t, "capacity_cpu")) * 1000,
		MemoryBytes: int64(rapid.IntRange(0, 8).Draw(t, "capacity_mem")) << 30,
	}
}

// fullCapacity is the capacity of every worker at the start and the end of the tests.
var fullCapacity = fleet.Resources{MilliCPU: 8000, MemoryBytes: 8 << 30}

// Workers whose capacity shrinks below what they run, and grows again, must not be overcommitted beyond the time until
// their registration is known, whatever else fails (LIMIT), and every job must still end.
func TestCapacityChangesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "workers"))
		sim.listingDelay = maxListingDelay
		sim.logTo(t)
		sim.elect(false)
		sim.run(time.Second)
		for n := range rapid.IntRange(2, 12).Draw(t, "jobs") {
			at := time.Duration(rapid.IntRange(0, 12000).Draw(t, "at")) * time.Millisecond
			j, failing := drawJob(t, n)
			sim.after(at, func() { sim.submit(j, failing...) })
			if rapid.IntRange(0, 3).Draw(t, "cancel") == 0 {
				sim.after(at+time.Duration(rapid.IntRange(1, 3000).Draw(t, "cancel_at"))*time.Millisecond, func() { sim.cancel(j.ID) })
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			at := time.Duration(rapid.IntRange(0, 14000).Draw(t, "event_at")) * time.Millisecond
			span := time.Duration(rapid.IntRange(300, 9000).Draw(t, "span")) * time.Millisecond
			id := sim.workerIDs[rapid.IntRange(0, len(sim.workerIDs)-1).Draw(t, "worker")]
			capacity := drawCapacity(t)
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0, 1, 2, 3:
				sim.after(at, func() { sim.resize(id, capacity) })
			case 4:
				sim.after(at, func() { sim.storeOutage(span) })
			case 5:
				sim.after(at, func() { sim.elect(false) })
			case 6:
				sim.after(at, func() { sim.elect(true) })
			case 7:
				sim.after(at, func() { sim.killScheduler(span) })
			case 8:
				sim.after(at, func() { sim.partition(id, span) })
			case 9, 10:
				sim.after(at, func() { sim.restartAs(id, capacity, span/3) })
			case 11:
				sim.after(at, func() { sim.lostShare = 0.1 })
				sim.after(at+span, func() { sim.lostShare = 0 })
			}
		}
		for _, id := range sim.workerIDs {
			sim.after(25*time.Second, func() { sim.resize(id, fullCapacity) })
		}
		sim.run(25*time.Second + settleTime)
		sim.checkMaxAttempts()
		assert.Assert(t, len(sim.violations) == 0, "%q", sim.violations)
		for _, id := range sim.jobIDs {
			state, found := sim.leader.m.State(id)
			assert.Assert(t, found && state.Final(), "job %s has not ended, it is %s: %+v", id, state, sim.jobs[id].spec)
		}
	})
}

// maxGrowthDelay is how long capacity that has grown may remain unused: a heartbeat, the delay of the watch, and the
// placement with the report of the worker.
const maxGrowthDelay = 2 * time.Second

// A capacity that shrinks must not end a run, and one that has grown again must be used while tasks wait.
func TestCapacityChangesLoseNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 3)
		sim.elect(false)
		sim.run(time.Second)
		step := infra.Step{Count: 60, Size: fleet.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Estimate: 2 * time.Second}
		job := infra.Job{ID: "j", Queue: "batch", Steps: []infra.Step{step}}
		sim.submit(job)
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			at := time.Duration(rapid.IntRange(0, 12000).Draw(t, "at")) * time.Millisecond
			id := sim.workerIDs[rapid.IntRange(0, 2).Draw(t, "worker")]
			capacity := drawCapacity(t)
			sim.after(at, func() { sim.resize(id, capacity) })
		}
		unusedSince := make(map[fleet.WorkerID]time.Time)
		for range 600 {
			sim.run(100 * time.Millisecond)
			if sim.now.Sub(time.Unix(1000, 0)) > 14*time.Second && sim.workers["w00"].capacity() != fullCapacity {
				for _, id := range sim.workerIDs {
					sim.resize(id, fullCapacity)
				}
			}
			running := 0
			for _, id := range sim.workerIDs {
				running += len(sim.workers[id].runs)
			}
			waiting := step.Count - len(sim.jobs["j"].done) - running
			for _, id := range sim.workerIDs {
				f := sim.workers[id]
				if waiting <= 0 || !step.Size.Add(f.used()).Fits(f.capacity()) {
					delete(unusedSince, id)
				} else if _, found := unusedSince[id]; !found {
					unusedSince[id] = sim.now
				} else if unused := min(sim.now.Sub(unusedSince[id]), sim.now.Sub(f.changedAt())); unused > maxGrowthDelay {
					sim.violation("%s has room for %v while %d tasks wait", id, unused, waiting)
				}
			}
		}
		assert.Assert(t, len(sim.violations) == 0, "%q", sim.violations)
		state, _ := sim.leader.m.State("j")
		assert.Equal(t, state, infra.StateCompleted)
		counts := sim.leader.m.Counts()
		assert.Equal(t, counts.Starts, int64(step.Count))
		assert.Equal(t, counts.Stopped+counts.Vanished+counts.Lost, int64(0))
	})
}

// A worker that restarted may report before its registration is read. It then took tasks by the service, labels and
// capacity of its previous incarnation (LIMIT, ROUTE).
func TestRestartedWorkerAwaitsRegistration(t *testing.T) {
	previous := newPoolWorker("a")
	previous.StartedAt = 1
	h := newHarness(t, flow.Restored{}, previous)
	h.report("a", infra.Report{StartedAt: 1})
	h.report("a", infra.Report{StartedAt: 2})
	h.advance(100 * time.Millisecond)
	h.report("a", infra.Report{StartedAt: 2})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(5))})
	h.step(flow.WorkerListed{Worker: previous})
	h.advance(300 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	current := previous
	current.StartedAt, current.Capacity.MilliCPU = 2, 2000
	h.step(flow.WorkerListed{Worker: current})
	h.advance(300 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 2)
}

// A ticket does not reserve capacity. A start on a worker that has shrunk since the policy service was asked would
// overcommit it.
func TestTicketOfShrunkWorker(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.step(flow.Configured{Catalog: &infra.Catalog{
		Version: 2, Queues: []infra.Queue{{Name: "batch", Service: "pool", MaxAttempts: 3, ApprovalCost: &infra.ApprovalCost{}}},
		Services: []infra.Service{{Name: "pool"}},
	}})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(3))})
	h.advance(50 * time.Millisecond)
	shrunk := newPoolWorker("a")
	shrunk.Capacity.MilliCPU = 1000
	h.step(flow.WorkerListed{Worker: shrunk})
	step := infra.StepID{Job: "j"}
	h.step(flow.ApprovalAnswered{
		Step: step, Workers: []fleet.WorkerID{"a"}, Sent: h.now,
		Approval: infra.Approval{Tickets: map[fleet.WorkerID]string{"a": "t1"}, TicketTTL: 10 * time.Second},
	})
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 1)
	h.step(flow.WorkerListed{Worker: newPoolWorker("a")})
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 2)
}

// A run of an unknown job may hold any part of its worker. It was counted with the capacity at its adoption, which is
// unknown before the worker is listed and may have shrunk since the run was started (LIMIT).
func TestRunOfUnknownJobOccupiesWholeWorker(t *testing.T) {
	shrunk := newPoolWorker("a")
	shrunk.Capacity = fleet.Resources{MilliCPU: 2000, MemoryBytes: 2 << 30}
	for name, listed := range map[string][]infra.Worker{"not listed": nil, "shrunk": {shrunk}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, flow.Restored{Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1}, listed...)
			unknown := infra.TaskID{Job: "unknown"}
			h.report("a", infra.Report{Running: []infra.ActiveRun{{Task: unknown, Run: 1}}})
			h.step(flow.WorkerListed{Worker: newPoolWorker("a")})
			h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
			h.advance(300 * time.Millisecond)
			assert.Equal(t, len(h.starts()), 0)
			h.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: unknown, Run: 1, Outcome: infra.OutcomeStopped}}})
			h.advance(300 * time.Millisecond)
			assert.Equal(t, len(h.starts()), 1)
		})
	}
}
