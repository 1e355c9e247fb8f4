package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// Until its roster is stored, a scheduler grants leases that count from its election, because a successor counts from there too. A
// scheduler that reads the roster late must not count from the last confirmation before it (TWICE).
func TestLeasesOfLateRosterCountFromTheElection(t *testing.T) {
	const lease = 5 * time.Second
	const readTime = 8 * time.Second
	h := &harness{t: t, m: flow.New(7, flow.WithTaskLease(lease), flow.WithLeadershipTimeout(leadershipTimeout)), now: time.Unix(1000, 0), seq: make(map[fleet.WorkerID]int64), acked: make(map[fleet.WorkerID]int64), isStoreDown: true}
	elected := h.now
	h.step(flow.Tick{Wall: h.now, ConfirmedAt: h.now})
	h.advance(readTime)
	roster := []flow.RosterEntry{{Worker: "w", Address: "w:1", RenewedBefore: 2}}
	h.step(flow.RosterRestored{Roster: roster, Term: 2})
	h.advance(50 * time.Millisecond)
	longest := int64(0)
	for _, o := range h.answerRenewalsOf("w", infra.Report{}) {
		longest = max(longest, o.Deadline)
	}
	for _, o := range h.answerRenewalsOf("w", infra.Report{}) {
		longest = max(longest, o.Deadline)
	}
	granted := time.UnixMilli(longest)

	// The next scheduler has seen that election, and reaches no worker of the roster.
	next := &harness{t: t, m: flow.New(9, flow.WithTaskLease(lease), flow.WithLeadershipTimeout(leadershipTimeout)), now: h.now.Add(100 * time.Millisecond), seq: make(map[fleet.WorkerID]int64), acked: make(map[fleet.WorkerID]int64)}
	next.step(flow.Tick{Wall: next.now, ConfirmedAt: next.now})
	next.step(flow.RosterRestored{Roster: roster, Term: 3, Takeovers: []flow.Takeover{{Term: 2, ElectedAgo: next.now.Sub(elected)}, {Term: 3}}})
	next.step(flow.Restored{Term: 3})
	for next.m.AwaitedWorkers() > 0 && next.now.Before(elected.Add(time.Minute)) {
		next.advance(25 * time.Millisecond)
	}
	assert.Assert(t, !granted.After(next.now), "the lease was granted until %v after the election, and the worker is awaited until %v", granted.Sub(elected), next.now.Sub(elected))
}

// answerRenewalsOf answers the renewals of a worker since the last call, and returns them.
func (h *harness) answerRenewalsOf(id fleet.WorkerID, r infra.Report) []infra.RenewOrder {
	var orders []infra.RenewOrder
	effects := h.effects
	h.effects = nil
	for _, e := range effects {
		if e, ok := e.(flow.Renew); ok && e.To.Worker == id {
			orders = append(orders, e.Order)
			r.Clock = h.now.UnixMilli()
			h.step(flow.RenewAnswered{Worker: id, Sequence: e.Sequence, Order: e.Order, Report: r})
		}
	}
	return orders
}
