package flow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
)

// simTakeover is an election; fencedAt is zero until the scheduler has stored that most workers have accepted its token.
type simTakeover struct {
	term                int64
	electedAt, fencedAt time.Time
}

// mayAct reports whether a scheduler that is cut off from the store may still send orders.
func (sim *simulation) mayAct(sched *simScheduler) bool {
	switch {
	case sim.now.Before(sched.confirmedAt.Add(leaderLease)) || sim.now.Before(sched.confirmedUntil):
		return true
	default:
		return sim.now.Before(sched.m.WitnessedAt().Add(flow.WitnessTimeout)) && sim.now.Before(sched.confirmedAt.Add(leadershipTimeout))
	}
}

// stop ends schedulers, and returns for how long they have certainly sent no order. The last of them may have been killed before.
func (sim *simulation) stop(schedulers []*simScheduler, last *simScheduler) time.Duration {
	isLastAlone := true
	for _, s := range schedulers {
		s.alive = false
		isLastAlone = isLastAlone && (s == last || s.confirmedAt.Add(leadershipTimeout).Before(last.killedAt))
	}
	if last.killedAt.IsZero() || !isLastAlone {
		return 0
	}
	return sim.now.Sub(last.killedAt)
}

// recordFence stores that most workers have accepted the token of a scheduler, if it is the newest and reaches the store.
func (sim *simulation) recordFence(sched *simScheduler) {
	sim.after(5*time.Millisecond+sim.storeDelay, func() {
		switch {
		case !sched.alive || sched != sim.leader:
		case sched.cutOff || sim.storeDown:
			sim.recordFence(sched)
		default:
			sim.takeovers[sched.term].fencedAt = sim.now
		}
	})
}

// observedTakeovers returns what the process of the next scheduler knows of earlier elections. It may have been started only
// now, or may have seen them late.
func (sim *simulation) observedTakeovers() []flow.Takeover {
	rng := rand.New(rand.NewPCG(uint64(sim.term), 3))
	if rng.IntN(3) == 0 {
		return nil
	}
	var out []flow.Takeover
	for _, t := range sim.takeovers {
		lag := time.Duration(rng.Int64N(int64(300 * time.Millisecond)))
		seen := flow.Takeover{Term: t.term, ElectedAgo: max(0, sim.now.Sub(t.electedAt)-lag)}
		if !t.fencedAt.IsZero() {
			seen.IsFenced, seen.FencedAgo = true, max(0, sim.now.Sub(t.fencedAt)-lag)
		}
		out = append(out, seen)
	}
	return out
}

// Each scheduler waited anew for the workers that its predecessors had not heard of, so that the tasks of a lost worker did not
// run again while schedulers were lost in turn (LOST).
func TestLongRunningTasksAfterSchedulersLostInTurn(t *testing.T) {
	for seed := range uint64(20) {
		c := newLastingCheck(newSimulation(seed, 6))
		c.elect(false)
		c.run(time.Second)
		j := singleStepJob("lasting", lastingStep(12, 1000))
		j.Steps[0].MaxPerWorker = 3
		c.submit(j)
		c.run(5 * time.Second)
		c.impair(0)
		lostAt := c.now
		c.replace("w00")
		for n := range 3 {
			c.after(400*time.Millisecond+time.Duration(n)*4500*time.Millisecond, func() {
				c.impair(0)
				c.killScheduler(electionTime)
			})
		}
		running := 0
		c.after(11*time.Second, func() {
			for _, id := range c.workerIDs {
				running += len(c.workers[id].runs)
			}
		})
		c.run(30 * time.Second)
		assert.Assert(t, len(c.violations) == 0, "seed %d: %q", seed, c.violations)
		assert.Equal(t, running, 12, "seed %d: tasks that run %v after their worker was lost", seed, lostAt)
	}
}

// partitionSchedulers lets the scheduler and its successors reach different workers for a while. The figure of each worker
// says which of them do not reach it: 0 the present scheduler, 1 the others.
func (sim *simulation) partitionSchedulers(reach []int, span time.Duration) {
	former := sim.leader
	unreached := make(map[fleet.WorkerID]int)
	for n, r := range reach {
		unreached[sim.workerIDs[n]] = r
	}
	blocked := func(sched *simScheduler, id fleet.WorkerID) bool {
		r, found := unreached[id]
		return found && (r == 0 && sched == former || r == 1 && sched != former)
	}
	sim.blocked = blocked
	sim.after(span, func() { clear(unreached) })
}

// drawReadTime draws how long schedulers read the jobs: at once, on a fast link, or on a slow one.
func drawReadTime(t *rapid.T) time.Duration {
	return time.Duration(rapid.SampledFrom([]int{0, 300, 2500}).Draw(t, "read_time")) * time.Millisecond
}

// Schedulers are elected in turn while earlier ones are cut off from the store and reach some of the workers, and workers
// restart. What one of them may run must not be started elsewhere, however the waits of the others were shortened (TWICE).
func TestInvariantsOfSchedulersInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 9).Draw(t, "workers"))
		c.readTime = drawReadTime(t)
		c.elect(false)
		c.run(time.Second)
		for n := range rapid.IntRange(1, 3).Draw(t, "lasting_jobs") {
			c.submit(drawLastingJob(t, n))
		}
		for n := range rapid.IntRange(0, 20).Draw(t, "jobs") {
			j, failing := drawJob(t, n)
			c.after(time.Duration(rapid.IntRange(0, 15000).Draw(t, "at"))*time.Millisecond, func() { c.submit(j, failing...) })
		}
		for range rapid.IntRange(0, 3).Draw(t, "crashes") {
			f := drawFault(t, []faultKind{refusingCrash, silentCrash, replacement}, len(c.workerIDs))
			c.after(f.at, func() {
				if f.kind == replacement {
					c.replace(c.workerIDs[f.worker])
					return
				}
				c.crash(c.workerIDs[f.worker], f.span, f.kind == silentCrash)
			})
		}
		at := 2 * time.Second
		for range rapid.IntRange(1, 4).Draw(t, "elections") {
			at += time.Duration(rapid.IntRange(100, 6000).Draw(t, "election_after")) * time.Millisecond
			cutOff := rapid.IntRange(0, 3).Draw(t, "cut_off") > 0
			partition := rapid.Bool().Draw(t, "partitioned")
			// The draws of a plan come before it is played.
			var split func()
			if partition {
				reached := rapid.SampledFrom([][]int{{0, 1}, {0, 0, 0, 1}, {0, 1, 2, 2}}).Draw(t, "cut")
				reach := rapid.SliceOfN(rapid.SampledFrom(reached), len(c.workerIDs), len(c.workerIDs)).Draw(t, "reach")
				span := time.Duration(rapid.IntRange(500, 15000).Draw(t, "partition")) * time.Millisecond
				split = func() { c.partitionSchedulers(reach, span) }
			}
			c.after(at, func() {
				if split != nil {
					split()
				}
				c.elect(cutOff)
			})
		}
		c.run(45 * time.Second)
		assert.Assert(t, len(c.violations) == 0, "%q", c.violations)
	})
}
