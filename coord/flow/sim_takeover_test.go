package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
)

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

// Schedulers are elected in turn while earlier ones are cut off from the store and reach some of the workers, and workers
// restart. What one of them may run must not be started elsewhere, however the waits of the others were shortened (TWICE).
func TestInvariantsOfSchedulersInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 9).Draw(t, "workers"))
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
