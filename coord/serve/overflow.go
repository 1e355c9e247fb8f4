package serve

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"lovagefork.example/coord/admit"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/wire"
)

// Overflow is the policy for requests without a free slot: [BorrowFirst], [ForwardOnly] or [WaitOnly].
type Overflow interface{ overflow() }

// BorrowFirst borrows slots for requests whose deadline is before the end of a loan. It forwards all other requests,
// and forwards every request while the peer has no slots to lend.
type BorrowFirst struct{}

// ForwardOnly forwards requests to a peer with a free slot and never borrows.
type ForwardOnly struct{}

// WaitOnly keeps requests queued until a slot of this process is free. It is a baseline for comparisons.
type WaitOnly struct{}

func (BorrowFirst) overflow() {}
func (ForwardOnly) overflow() {}
func (WaitOnly) overflow()    {}

const (
	// loadInterval is the period of load reports while requests wait for slots; loadMaxAge is how long a report is valid.
	loadInterval = 200 * time.Millisecond
	loadMaxAge   = time.Second
	// maxWaitingServices limits the services in one load report, and thereby the size of the peers' replies.
	maxWaitingServices = 8
	// borrowPause is how long requests are only forwarded to a peer that granted no loan, before the next borrow request.
	borrowPause = 200 * time.Millisecond
	// maxLoanSlots limits the slots of one loan, so that a peer can lend to several borrowers.
	maxLoanSlots = 16
	// loanSlackDivisor is the inverse of the part of a loan's TTL that is reserved for the round trip of the borrow
	// request and for the settle time of an aborted request.
	loanSlackDivisor = 10
)

// peer is the last reported state of another entry process. freeSlots are its idle slots at the time of the report,
// when pendingForwardsAtReport requests forwarded to it were unanswered; pendingForwards is their current number.
// waitingServices are the services that the peer reported at waitingAt to need slots for.
type peer struct {
	reportedAt              time.Time
	freeSlots               map[fleet.WorkerID]int
	pendingForwardsAtReport int
	pendingForwards         int
	noBorrowUntil           time.Time
	waitingServices         []fleet.ServiceID
	waitingAt               time.Time
}

func (m *Machine) stepPeer(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case LoadReceived:
		return m.loadReceived(now, ev)
	case BorrowReceived:
		return m.lend(now, ev)
	case LoanReceived:
		if len(ev.Loan.Parts) == 0 {
			m.pauseBorrowing(now, m.borrowCalls[ev.Call])
		}
		delete(m.borrowCalls, ev.Call)
		m.grants.Step(now, grant.LoanReceived{Call: ev.Call, Loan: ev.Loan})
		m.unblock()
		return append(m.dispatch(now), m.applyOverflow(now)...)
	case BorrowFailed:
		m.pauseBorrowing(now, m.borrowCalls[ev.Call])
		delete(m.borrowCalls, ev.Call)
		m.grants.Step(now, grant.BorrowFailed{Call: ev.Call})
	case ReturnReceived:
		m.grants.Step(now, grant.ReturnReceived{From: ev.From, Return: ev.Return})
		m.unblock()
		return m.dispatch(now)
	}
	return nil
}

func (m *Machine) peer(id fleet.EntryHostID) *peer {
	p := m.peers[id]
	if p == nil {
		p = &peer{}
		m.peers[id] = p
	}
	return p
}

func (m *Machine) pauseBorrowing(now time.Time, id fleet.EntryHostID) {
	m.peer(id).noBorrowUntil = now.Add(borrowPause)
}

// markExhausted assumes that a peer has no idle slots until its next report or the end of a request forwarded to it.
func (m *Machine) markExhausted(id fleet.EntryHostID) {
	if p := m.peers[id]; p != nil {
		p.freeSlots, p.pendingForwardsAtReport = nil, p.pendingForwards
	}
}

// lend grants a peer a loan of idle slots on the eligible workers of a service.
func (m *Machine) lend(now time.Time, ev BorrowReceived) []Effect {
	var workers []fleet.WorkerID
	for _, id := range m.backends.workersFor(ev.Borrow.Service) {
		if m.router.Eligible(now, id) {
			workers = append(workers, id)
		}
	}
	return m.loanEffects(m.grants.Step(now, grant.BorrowReceived{
		Call: ev.Call, ID: ev.Borrow.ID, From: ev.From, Workers: workers, Slots: min(ev.Borrow.Slots, maxLoanSlots),
	}))
}

// loanEffects converts the effects of the slot management.
func (m *Machine) loanEffects(in []grant.Effect) []Effect {
	var effects []Effect
	for _, e := range in {
		switch e := e.(type) {
		case grant.SendBorrow:
			m.borrowCalls[e.Call] = e.To
			effects = append(effects, SendBorrow{Call: e.Call, To: e.To, Borrow: e.Request})
		case grant.SendLoan:
			effects = append(effects, SendLoan{Call: e.Call, Loan: e.Loan})
		case grant.SendReturn:
			effects = append(effects, SendReturn{To: e.To, Return: e.Return})
		}
	}
	return effects
}

// loadReceived stores a peer's report. It replies immediately if the peer starts to need slots, so that the peer's
// requests do not wait for the next interval.
func (m *Machine) loadReceived(now time.Time, ev LoadReceived) []Effect {
	p := m.peer(ev.From)
	var effects []Effect
	if ev.Load.IncludesFreeSlots {
		p.reportedAt, p.freeSlots, p.pendingForwardsAtReport = now, ev.Load.FreeSlots, p.pendingForwards
		effects = m.applyOverflow(now)
	}
	if len(ev.Load.WaitingServices) == 0 {
		return effects
	}
	newlyWaiting := now.Sub(p.waitingAt) > loadMaxAge
	p.waitingServices, p.waitingAt = ev.Load.WaitingServices, now
	if newlyWaiting {
		effects = append(effects, SendLoad{To: ev.From, Load: m.loadFor(now, p, nil)})
	}
	return effects
}

// shareLoad sends a load report to each peer, but only while requests wait for slots here or at that peer. With 3,500
// workers and 32 entry processes, reporting all idle slots to all peers would cost each process several hundred KB/s.
func (m *Machine) shareLoad(now time.Time) []Effect {
	if now.Sub(m.loadSentAt) < loadInterval {
		return nil
	}
	m.loadSentAt = now
	waiting := m.waitingServices()
	var effects []Effect
	for _, id := range m.otherHosts {
		p := m.peer(id)
		if len(waiting) > 0 || now.Sub(p.waitingAt) <= loadMaxAge {
			effects = append(effects, SendLoad{To: id, Load: m.loadFor(now, p, waiting)})
		}
	}
	return effects
}

// waitingServices returns the services of waiting requests, the most urgent first.
func (m *Machine) waitingServices() []fleet.ServiceID {
	if _, waitOnly := m.overflow.(WaitOnly); waitOnly || m.draining {
		return nil
	}
	backlogs := m.admission.Backlogs()
	var services []fleet.ServiceID
	for _, flow := range sortedFlows(backlogs) {
		if len(services) < maxWaitingServices && !slices.Contains(services, flow.Service) {
			services = append(services, flow.Service)
		}
	}
	return services
}

func (m *Machine) loadFor(now time.Time, p *peer, waiting []fleet.ServiceID) wire.LoadReport {
	load := wire.LoadReport{WaitingServices: waiting}
	if m.draining || now.Sub(p.waitingAt) > loadMaxAge {
		return load
	}
	load.IncludesFreeSlots = true
	load.FreeSlots = make(map[fleet.WorkerID]int)
	for _, service := range p.waitingServices {
		for _, worker := range m.backends.workersFor(service) {
			if n := m.grants.IdleOwnSlots(now, worker); n > 0 {
				load.FreeSlots[worker] = n
			}
		}
	}
	return load
}

// flowOf returns the flow of a request, which depends on whether a loan requested now would end before the deadline.
func (m *Machine) flowOf(now time.Time, r Request) admit.Flow {
	longDeadline := r.Deadline.After(now.Add(m.grants.TTL() - m.grants.TTL()/loanSlackDivisor))
	return admit.Flow{Service: r.Service, LongDeadline: longDeadline}
}

// applyOverflow borrows slots of peers for the waiting requests, or forwards the requests to them.
func (m *Machine) applyOverflow(now time.Time) []Effect {
	if _, waitOnly := m.overflow.(WaitOnly); waitOnly || len(m.otherHosts) == 0 {
		return nil
	}
	backlogs := m.admission.Backlogs()
	if len(backlogs) == 0 {
		return nil
	}
	effects := m.shareLoad(now)
	for _, flow := range sortedFlows(backlogs) {
		effects = append(effects, m.applyFlowOverflow(now, flow, backlogs[flow])...)
	}
	return effects
}

// sortedFlows returns the flows by class, the most urgent first, then by service, then by compareDeadlines.
func sortedFlows(backlogs map[admit.Flow]admit.Backlog) []admit.Flow {
	return slices.SortedFunc(maps.Keys(backlogs), func(a, b admit.Flow) int {
		return cmp.Or(
			cmp.Compare(backlogs[a].Class, backlogs[b].Class), cmp.Compare(a.Service, b.Service), compareDeadlines(a, b),
		)
	})
}

// compareDeadlines orders flows that may run on borrowed slots before those that may not.
func compareDeadlines(a, b admit.Flow) int {
	switch {
	case a.LongDeadline == b.LongDeadline:
		return 0
	case b.LongDeadline:
		return -1
	}
	return 1
}

// applyFlowOverflow finds idle slots of peers for the waiting requests of one flow.
func (m *Machine) applyFlowOverflow(now time.Time, flow admit.Flow, backlog admit.Backlog) []Effect {
	var effects []Effect
	for {
		id, free := m.mostIdlePeer(now, flow.Service)
		if free == 0 {
			return effects
		}
		if !m.mustForward(now, id, flow) {
			return append(effects, m.borrow(now, id, flow, backlog)...)
		}
		forwarded := m.forward(now, id, flow, free)
		if len(forwarded) == 0 {
			return effects
		}
		effects = append(effects, forwarded...)
	}
}

// mostIdlePeer returns the peer with the most idle slots for a service, and their number, which is zero if no peer has
// any.
func (m *Machine) mostIdlePeer(now time.Time, service fleet.ServiceID) (best fleet.EntryHostID, most int) {
	for id, p := range m.peers {
		if now.Sub(p.reportedAt) > loadMaxAge || (len(p.freeSlots) == 0 && p.pendingForwardsAtReport <= p.pendingForwards) {
			continue
		}
		n := p.pendingForwardsAtReport - p.pendingForwards
		for _, worker := range m.backends.workersFor(service) {
			if p.freeSlots[worker] > 0 && m.router.Eligible(now, worker) {
				n += p.freeSlots[worker]
			}
		}
		if n > most || (n == most && n > 0 && id < best) {
			best, most = id, n
		}
	}
	return best, most
}

// borrow requests a loan from a peer, with one slot for each waiting request.
func (m *Machine) borrow(now time.Time, id fleet.EntryHostID, flow admit.Flow, backlog admit.Backlog) []Effect {
	if m.grants.BorrowPending(id) {
		return nil
	}
	// Return the unused slots of loans that end too early for these requests.
	effects := m.loanEffects(m.grants.Step(now, grant.ReturnUnused{Until: backlog.EarliestDeadline}))
	borrow := wire.BorrowRequest{Service: flow.Service, Class: backlog.Class, Slots: min(backlog.Requests, maxLoanSlots)}
	return append(effects, m.loanEffects(m.grants.Step(now, grant.Borrow{Peer: id, Request: borrow}))...)
}

// forward takes one waiting request from its queue and sends it to a peer.
func (m *Machine) forward(now time.Time, id fleet.EntryHostID, flow admit.Flow, free int) []Effect {
	it, ok := m.admission.Next(now, func(it admit.Item) bool { return it.Flow == flow })
	if !ok {
		return nil
	}
	r := m.requests[it.ID]
	if rejected, paused := m.rejectPaused(now, r); paused {
		return rejected
	}
	r.phase, r.peer = forwarding, id
	r.attempt++
	r.sends++
	m.peers[id].pendingForwards++
	return []Effect{Forward{
		Request: r.Request, Attempt: r.attempt, Peer: id,
		Reason: fmt.Sprintf("no free slot here, %d reported by the peer", free),
	}}
}

// mustForward reports whether requests are forwarded to a peer instead of being sent on slots borrowed from it.
func (m *Machine) mustForward(now time.Time, id fleet.EntryHostID, flow admit.Flow) bool {
	_, forwardOnly := m.overflow.(ForwardOnly)
	return forwardOnly || flow.LongDeadline || now.Before(m.peers[id].noBorrowUntil)
}

func (m *Machine) forwardEnded(now time.Time, ev ForwardEnded) []Effect {
	r := m.requests[ev.ID]
	if r == nil || r.phase != forwarding || r.attempt != ev.Attempt {
		return nil
	}
	m.peers[r.peer].pendingForwards--
	var effects []Effect
	switch ev.Outcome {
	case OutcomeRan:
		effects = m.finish(now, r, Response{
			ID: r.ID, Attempt: ev.Attempt, Outcome: OutcomeRan, Reason: ev.Reason, Status: ev.Status,
		})
	case OutcomeNotRun:
		m.markExhausted(r.peer)
		effects = m.forwardRefused(now, r)
	default:
		r.mayHaveRun = true
		effects = m.retryOrFail(now, r, "peer_"+ev.Reason)
	}
	effects = append(effects, m.dispatch(now)...)
	return append(effects, m.applyOverflow(now)...)
}

// forwardRefused requeues a request that the peer refused. The refusal does not count as an attempt.
func (m *Machine) forwardRefused(now time.Time, r *request) []Effect {
	if r.callerDone {
		return m.finish(now, r, Response{Outcome: r.unansweredOutcome()})
	}
	r.phase = queued
	r.sends--
	m.admission.Step(now, admit.Requeue{Item: m.item(now, r.Request)})
	return nil
}
