package flow_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// unconfirm advances the time while the store does not confirm the scheduler, and the workers report.
func (h *harness) unconfirm(d time.Duration, reports map[fleet.WorkerID]infra.Report) {
	const tick = 25 * time.Millisecond
	confirmed := h.now
	for ago := tick; ago <= d; ago += tick {
		h.now = h.now.Add(tick)
		for id, r := range reports {
			h.report(id, r)
		}
		h.step(flow.Tick{Wall: h.now, ConfirmedAt: confirmed, LeaseUnconfirmed: ago > 1800*time.Millisecond})
	}
}

// lastDeadline returns the deadline of the last renewal of a worker, 0 if it does not renew the lease.
func (h *harness) lastDeadline(id fleet.WorkerID) int64 {
	var deadline int64
	for _, e := range h.effects {
		if r, isRenewal := e.(flow.Renew); isRenewal && r.To.Worker == id {
			deadline = r.Order.Deadline
		}
	}
	return deadline
}

func poolWorkers(ids ...string) (workers []infra.Worker, roster []flow.RosterEntry) {
	for _, id := range ids {
		w := newPoolWorker(id)
		w.StartedAt = 5000
		workers = append(workers, w)
		roster = append(roster, flow.RosterEntry{Worker: w.ID, Address: w.Address})
	}
	return workers, roster
}

// A scheduler without the store that goes on beside half of the workers may have a successor beside the other half (TWICE).
func TestMostWorkersMustConfirm(t *testing.T) {
	alive := infra.Report{StartedAt: 5000}
	for n, reports := range []map[fleet.WorkerID]infra.Report{
		{"a": alive, "b": alive},
		{"a": alive, "b": alive, "c": alive},
	} {
		workers, roster := poolWorkers("a", "b", "c", "d")
		h := newHarness(t, flow.Restored{Roster: roster, Term: 1}, workers...)
		for id := range reports {
			h.reportTwice(id, alive)
		}
		h.advance(100 * time.Millisecond)
		h.unconfirm(3*time.Second, reports)
		assert.Equal(t, h.now.Sub(h.m.WitnessedAt()) < time.Second, n == 1, "confirmed by %d of 4", len(reports))
	}
}

// A worker that has restarted knows no token of a successor that its former incarnation had accepted (TWICE).
func TestRestartedWorkerDoesNotConfirm(t *testing.T) {
	workers, roster := poolWorkers("a")
	h := newHarness(t, flow.Restored{Roster: roster, Term: 1}, workers...)
	h.reportTwice("a", infra.Report{StartedAt: 5000})
	h.advance(100 * time.Millisecond)
	restarted := h.now
	h.unconfirm(3*time.Second, map[fleet.WorkerID]infra.Report{"a": {StartedAt: 6000}})
	assert.Assert(t, h.m.WitnessedAt().Before(restarted), "confirmed %v after the restart", h.m.WitnessedAt().Sub(restarted))
	// It confirms once the store has confirmed the scheduler after the worker's first answer.
	h.advance(100 * time.Millisecond)
	h.unconfirm(time.Second, map[fleet.WorkerID]infra.Report{"a": {StartedAt: 6000}})
	assert.Assert(t, h.m.WitnessedAt().After(restarted.Add(3*time.Second)))
}

// A lease that counts from its renewal lasts longer than a successor waits if the scheduler was confirmed earlier (TWICE).
func TestLeaseCountsFromLastConfirmation(t *testing.T) {
	workers, roster := poolWorkers("a", "b")
	h := newHarness(t, flow.Restored{Roster: roster, Term: 1}, workers...)
	alive := infra.Report{StartedAt: 5000}
	h.reportTwice("a", alive)
	h.reportTwice("b", alive)
	h.advance(100 * time.Millisecond)
	confirmed := h.now
	// One of two workers is not most of them.
	h.unconfirm(2*time.Second, map[fleet.WorkerID]infra.Report{"a": alive})
	assert.Equal(t, h.lastDeadline("a"), confirmed.Add(6*time.Second).UnixMilli())
}

// A successor that does not know of a renewal does not wait for the lease (TWICE). The roster that tells it so was not stored.
func TestLeaseIsRenewedOnceRosterIsStored(t *testing.T) {
	workers, roster := poolWorkers("a")
	roster[0].RenewedBefore = 1
	h := newHarness(t, flow.Restored{Roster: roster, Term: 3}, workers...)
	h.isStoreDown = true
	for range 10 {
		h.report("a", infra.Report{StartedAt: 5000})
		h.advance(350 * time.Millisecond)
	}
	assert.Equal(t, h.lastDeadline("a"), int64(0))
	assert.DeepEqual(t, h.lastRoster(), []flow.RosterEntry{{Worker: "a", Address: "a:1", RenewedBefore: 4, StartedAt: 5000}})
	h.step(flow.Saved{Batch: 1})
	h.report("a", infra.Report{StartedAt: 5000})
	assert.Assert(t, h.lastDeadline("a") > 0)
}

// Most workers of a roster that has changed need not be most workers of the roster by which a predecessor counts (TWICE).
func TestRosterStaysUntilMostWorkersHaveAnswered(t *testing.T) {
	workers, roster := poolWorkers("a", "b", "c")
	newcomers, _ := poolWorkers("d", "e", "f")
	h := newHarness(t, flow.Restored{Roster: roster, Term: 1}, append(workers, newcomers...)...)
	alive := infra.Report{StartedAt: 5000}
	counts := func() bool {
		return slices.ContainsFunc(h.lastRoster(), func(e flow.RosterEntry) bool { return e.Worker == "d" && !e.Joining })
	}
	for _, id := range []fleet.WorkerID{"a", "d", "e", "f"} {
		h.report(id, alive)
	}
	h.advance(100 * time.Millisecond)
	assert.Assert(t, !counts())
	h.report("b", alive)
	h.advance(100 * time.Millisecond)
	assert.Assert(t, counts())
}

// A successor that counts the workers that were joining may miss those by which a predecessor counts (TWICE).
func TestJoiningWorkersDoNotCount(t *testing.T) {
	workers, roster := poolWorkers("a", "b", "c", "d", "e", "f")
	for i := range roster[3:] {
		roster[3+i].Joining = true
	}
	h := newHarness(t, flow.Restored{Roster: roster, Term: 1}, workers...)
	isFenced := func() bool {
		return slices.ContainsFunc(h.effects, func(e flow.Effect) bool { _, is := e.(flow.Fenced); return is })
	}
	for _, id := range []fleet.WorkerID{"a", "d", "e", "f"} {
		h.report(id, infra.Report{StartedAt: 5000})
	}
	h.advance(100 * time.Millisecond)
	assert.Assert(t, !isFenced())
	h.report("b", infra.Report{StartedAt: 5000})
	assert.Assert(t, isFenced())
}

// Without most of the workers a successor waits until no predecessor can act any more, and takes in new workers then.
func TestRosterOpensAfterLeadershipTimeout(t *testing.T) {
	workers, roster := poolWorkers("a", "b", "c")
	newcomers, _ := poolWorkers("d")
	h := newHarness(t, flow.Restored{Roster: roster, Term: 1}, append(workers, newcomers...)...)
	h.report("d", infra.Report{StartedAt: 5000})
	h.advance(6 * time.Second)
	assert.Assert(t, slices.ContainsFunc(h.lastRoster(), func(e flow.RosterEntry) bool { return e.Worker == "d" }))
}

// An observed election bounds the wait for workers that no scheduler since has reached, and for no others (LOST, TWICE).
func TestObservedElectionsBoundTheWait(t *testing.T) {
	workers, roster := poolWorkers("a", "b", "c")
	for name, c := range map[string]struct {
		renewedBefore int64
		takeover      flow.Takeover
		starts        int
	}{
		"fenced before":              {renewedBefore: 2, takeover: flow.Takeover{Term: 2, ElectedAgo: 6 * time.Second, IsFenced: true, FencedAgo: 6 * time.Second}, starts: 1},
		"elected long before":        {renewedBefore: 2, takeover: flow.Takeover{Term: 3, ElectedAgo: 13 * time.Second}, starts: 1},
		"elected shortly before":     {renewedBefore: 2, takeover: flow.Takeover{Term: 3, ElectedAgo: 6 * time.Second}},
		"renewed since the election": {renewedBefore: 3, takeover: flow.Takeover{Term: 2, ElectedAgo: 13 * time.Second, IsFenced: true, FencedAgo: 13 * time.Second}},
		"roster of an older version": {takeover: flow.Takeover{Term: 3, ElectedAgo: 13 * time.Second, IsFenced: true, FencedAgo: 13 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			roster[0].RenewedBefore = c.renewedBefore
			h := newHarness(t, flow.Restored{
				Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1))}}, Roster: roster, Term: 4, Takeovers: []flow.Takeover{c.takeover},
			}, workers...)
			h.step(flow.PredecessorLeaseEnded{Revision: 1})
			for range 6 {
				h.report("b", infra.Report{StartedAt: 5000})
				h.report("c", infra.Report{StartedAt: 5000})
				h.advance(200 * time.Millisecond)
			}
			assert.Equal(t, len(h.starts()), c.starts)
		})
	}
}
