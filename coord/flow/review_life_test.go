package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// Guards against a renewal that was sent just before its worker restarted, and that reaches the next life before its time-out: it
// prolongs the lease of a start that has begun there, while the scheduler counted 0.4 s for its way (TWICE).
func TestRenewalOnItsWayMayReachTheSilentNextLife(t *testing.T) {
	h := newLivesHarness(t)
	for known := len(h.renews); len(h.renews) == known || h.renews[len(h.renews)-1].Order.Deadline == 0; {
		h.elapse(25 * time.Millisecond)
	}
	renewal, sent := h.lastRenewalOf("a"), h.now
	assert.Assert(t, renewal.Wait > 0)
	s := h.startOnSilentWorker()
	h.addSpare()
	h.elapse(200 * time.Millisecond)
	next := newLife(6, h.now.Add(-50*time.Millisecond))
	assert.Assert(t, next.start(h.now, s.Order))
	h.elapse(sent.Add(renewal.Wait + renewTimeout - 100*time.Millisecond).Sub(h.now))
	assert.Assert(t, next.renew(h.now, renewal))
	h.checkNextStart(s, next.lastsUntil())
}

// Guards against a start whose call is sent late because the scheduler's host was suspended after the decision, for less time than
// its lease lasts. The scheduler counted the way of the call from the decision (TWICE).
func TestStartOfASuspendedSchedulerMayReachTheSilentNextLife(t *testing.T) {
	h := newLivesHarness(t)
	s := h.startOnSilentWorker()
	h.addSpare()
	h.now = h.now.Add(1500 * time.Millisecond)
	next := newLife(6, h.now.Add(-50*time.Millisecond))
	assert.Assert(t, next.start(h.now, s.Order))
	h.checkNextStart(s, next.lastsUntil())
}

// Guards against an immediate renewal that reaches the next life of its worker: it acknowledged an end of that life by its number, so
// that the task, which was done, was started again (TWICE).
func TestImmediateRenewalDoesNotAcknowledgeEndsOfTheNextLife(t *testing.T) {
	h := newLivesHarness(t)
	first := h.submitLasting("first")
	h.elapse(500 * time.Millisecond)
	assert.Equal(t, len(h.startsOf(first)), 1)
	h.lives["a"].end(first, infra.OutcomeDone)
	h.elapse(1500 * time.Millisecond)
	assert.Equal(t, h.acknowledgement().AckedEnd, int64(1))

	h.lives["a"] = nil
	h.step(flow.Submitted{Job: singleStepJob("second", smallStep(2))})
	h.elapse(50 * time.Millisecond)
	second := infra.TaskID{Job: "second"}
	starts := h.startsOf(second)
	assert.Equal(t, len(starts), 1)
	h.elapse(100 * time.Millisecond)
	next := newLife(6, h.now.Add(-50*time.Millisecond))
	assert.Assert(t, next.start(h.now, starts[0].Order))
	h.elapse(150 * time.Millisecond)
	next.end(second, infra.OutcomeDone)
	h.lives["a"] = next
	h.elapse(500 * time.Millisecond)
	h.list("a", 6)
	h.elapse(10 * time.Second)
	assert.Equal(t, len(h.startsOf(second)), 1, "the task is started again although it was done")
}

// awaited returns how long a successor awaits a silent worker.
func (h *harness) awaited(silent fleet.WorkerID) time.Duration {
	began := h.now
	for h.m.AwaitedWorkers() > 0 && h.now.Sub(began) < time.Minute {
		h.renewalFails(silent)
		h.advance(25 * time.Millisecond)
	}
	return h.now.Sub(began)
}

// Guards against a start of the predecessor that has begun in the next life of its worker, which neither has answered nor is
// registered: it runs under the longest lease there, and the successor waited for the leases that schedulers grant (TWICE).
func TestSuccessorAwaitsTheLongestLease(t *testing.T) {
	var roster []flow.RosterEntry
	var workers []infra.Worker
	for _, id := range []string{"a", "b", "c"} {
		w := newPoolWorker(id)
		w.StartedAt = 5
		workers = append(workers, w)
		roster = append(roster, flow.RosterEntry{Worker: w.ID, Address: w.Address, RenewedBefore: 1, StartedAt: 5})
	}
	for name, c := range map[string]struct {
		isFenced bool
		actsFor  time.Duration
	}{
		"handed over":                          {false, 0},
		"cut off from the store, still acting": {true, flow.WitnessTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarnessOf(t, flow.New(7, flow.WithTaskLease(grantedLease), flow.WithLeadershipTimeout(leadershipTimeout)),
				flow.Restored{Term: 1, Roster: roster}, workers...)
			if c.isFenced {
				h.reportTwice("b", infra.Report{StartedAt: 5})
				h.reportTwice("c", infra.Report{StartedAt: 5})
			} else {
				h.step(flow.PredecessorStopped{})
				h.reportTwice("b", infra.Report{StartedAt: 5})
				h.reportTwice("c", infra.Report{StartedAt: 5})
			}
			waited := h.awaited("a")
			least := c.actsFor + flow.OrderTimeout + leaseFromArrival
			assert.Assert(t, waited >= least-100*time.Millisecond, "waited for %v, a run can last for %v", waited, least)
		})
	}
}

// Guards against a registration of the former life that the store still holds when a scheduler is elected whose roster names the
// present one: its capacity and labels were taken for those of the present life (LIMIT, ROUTE).
func TestSuccessorDoesNotUseTheRegistrationOfAFormerLife(t *testing.T) {
	former := newPoolWorker("a")
	former.StartedAt = 5
	present := former
	present.StartedAt, present.Capacity = 6, fleet.Resources{MilliCPU: 100, MemoryBytes: 1 << 20}
	for name, startedAt := range map[string]int64{"life not stored": 0, "life stored": 6} {
		t.Run(name, func(t *testing.T) {
			entry := flow.RosterEntry{Worker: "a", Address: former.Address, RenewedBefore: 1, StartedAt: startedAt}
			h := newHarness(t, flow.Restored{Term: 1, Roster: []flow.RosterEntry{entry}}, former)
			h.step(flow.PredecessorStopped{})
			h.step(flow.Submitted{Job: singleStepJob("job", smallStep(1))})
			for range 10 {
				h.report("a", infra.Report{StartedAt: 6})
				h.advance(100 * time.Millisecond)
			}
			assert.Equal(t, len(h.starts()), 0, "a task starts by the capacity of the former life")
			h.step(flow.WorkerListed{Worker: present})
			h.advance(100 * time.Millisecond)
			assert.Equal(t, len(h.starts()), 0)
		})
	}
}

// newLastingLives returns a simulation in which calls reach the next life of a worker, with 12 long-running tasks on 6 workers.
func newLastingLives(seed uint64) *lastingCheck {
	sim := newSimulation(seed, 6)
	sim.callsReachNextLife, sim.taskLease = true, grantedLease
	c := newLastingCheck(sim)
	c.elect(false)
	c.run(time.Second)
	j := singleStepJob("lasting", lastingStep(12, 1000))
	j.Steps[0].MaxPerWorker = 4
	c.submit(j)
	c.run(4 * time.Second)
	return c
}

// Guards against a wait of 19 s for starts on a worker that has announced a restart and is gone for good (LOST).
func TestLongRunningTasksAfterRestartOfALostWorker(t *testing.T) {
	for seed := range uint64(5) {
		c := newLastingLives(seed)
		c.restart("w00", 300*time.Millisecond, true, 100*time.Millisecond)
		for _, id := range c.workerIDs {
			for _, task := range sortedTasks(c.workers[id].runs) {
				c.workers[id].endRun(task, infra.OutcomeFailed)
			}
		}
		c.run(400 * time.Millisecond)
		c.impair(0)
		c.replace("w00")
		c.run(30 * time.Second)
		assert.Assert(t, len(c.violations) == 0, "seed %d: %q", seed, c.violations)
	}
}

// Guards against a wait of 24 s by a successor that knows of the restart, also for the runs that the former scheduler had seen in the
// former life and would have started again after their lease (LOST).
func TestLongRunningTasksAfterTakeoverBesideRestartOfALostWorker(t *testing.T) {
	for seed := range uint64(5) {
		c := newLastingLives(seed)
		c.restart("w00", 300*time.Millisecond, true, 100*time.Millisecond)
		c.run(400 * time.Millisecond)
		c.impair(0)
		c.replace("w00")
		c.run(400 * time.Millisecond)
		c.impair(0)
		c.killScheduler(electionTime)
		c.run(30 * time.Second)
		assert.Assert(t, len(c.violations) == 0, "seed %d: %q", seed, c.violations)
	}
}
