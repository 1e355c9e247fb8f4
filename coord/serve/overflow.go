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

// Overflow decides what happens to a request without a free slot: [BorrowFirst], [ForwardOnly] or [WaitOnly].
type Overflow interface{ overflow() }

// BorrowFirst borrows slots for requests that end before a loan would. It forwards the others, and all while the peer has
// no slots to lend.
type BorrowFirst struct{}

// ForwardOnly forwards requests to a peer with a free slot and never borrows.
type ForwardOnly struct{}

// WaitOnly keeps requests in the queue until a slot of this process is free; a baseline.
type WaitOnly struct{}

func (BorrowFirst) overflow() {}
func (ForwardOnly) overflow() {}
func (WaitOnly) overflow()    {}

const (
	// loadInterval is how often slots are asked for and reported while requests wait; loadMaxAge is how long either counts.
	loadInterval = 200 * time.Millisecond
	loadMaxAge   = time.Second
	// maxWanted bounds the services in one question, and so the size of its answers.
	maxWanted = 8
	// loanPause is how long requests are forwarded to a peer that had nothing to lend.
	loanPause = 200 * time.Millisecond
	// maxAsk bounds one loan, so that several borrowers can be served.
	maxAsk = 16
	// loanSlack divides a loan into parts, of which one is left for the answer to the question and the settling of the request.
	loanSlack = 10
)

// peer is what is known of another entry process: its idle slots at a time when reportedSent requests forwarded to it
// were not answered; sent are not answered now.
type peer struct {
	at           time.Time
	free         map[fleet.WorkerID]int
	reportedSent int
	sent         int
	noLoanUntil  time.Time
	wanted       []fleet.ServiceID
	wantedAt     time.Time
}

func (m *Machine) peerStep(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case LoadReceived:
		return m.loadReceived(now, ev)
	case BorrowReceived:
		return m.lend(now, ev)
	case LoanReceived:
		if len(ev.Loan.Parts) == 0 {
			m.noLoan(now, m.asked[ev.Ask])
		}
		delete(m.asked, ev.Ask)
		m.grants.Step(now, grant.LoanReceived{Call: ev.Ask, Loan: ev.Loan})
		m.unblock()
		return append(m.dispatch(now), m.overflowAll(now)...)
	case LoanMissed:
		m.noLoan(now, m.asked[ev.Ask])
		delete(m.asked, ev.Ask)
		m.grants.Step(now, grant.BorrowFailed{Call: ev.Ask})
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

func (m *Machine) noLoan(now time.Time, id fleet.EntryHostID) {
	m.peer(id).noLoanUntil = now.Add(loanPause)
}

// exhausted takes a peer to have no idle slot, until its next report or the end of a request forwarded to it.
func (m *Machine) exhausted(id fleet.EntryHostID) {
	if p := m.peers[id]; p != nil {
		p.free, p.reportedSent = nil, p.sent
	}
}

func (m *Machine) lend(now time.Time, ev BorrowReceived) []Effect {
	var workers []fleet.WorkerID
	for _, id := range m.backends.of(ev.Borrow.Service) {
		if m.routes.Eligible(now, id) {
			workers = append(workers, id)
		}
	}
	return m.loanEffects(m.grants.Step(now, grant.BorrowReceived{
		Call: ev.Call, ID: ev.Borrow.ID, From: ev.From, Workers: workers, Slots: min(ev.Borrow.Slots, maxAsk),
	}))
}

func (m *Machine) loanEffects(in []grant.Effect) []Effect {
	var effects []Effect
	for _, e := range in {
		switch e := e.(type) {
		case grant.SendBorrow:
			m.asked[e.Call] = e.To
			effects = append(effects, SendBorrow{Ask: e.Call, To: e.To, Borrow: e.Request})
		case grant.SendLoan:
			effects = append(effects, AnswerBorrow{Call: e.Call, Loan: e.Loan})
		case grant.SendReturn:
			effects = append(effects, SendReturn{To: e.To, Return: e.Return})
		}
	}
	return effects
}

// loadReceived takes a report, and answers the first question of a peer at once so that its requests do not wait for the
// next interval.
func (m *Machine) loadReceived(now time.Time, ev LoadReceived) []Effect {
	p := m.peer(ev.From)
	var effects []Effect
	if ev.Load.Reported {
		p.at, p.free, p.reportedSent = now, ev.Load.FreeSlots, p.sent
		effects = m.overflowAll(now)
	}
	if len(ev.Load.Wanted) == 0 {
		return effects
	}
	first := now.Sub(p.wantedAt) > loadMaxAge
	p.wanted, p.wantedAt = ev.Load.Wanted, now
	if first {
		effects = append(effects, ShareLoad{To: ev.From, Load: m.loadFor(now, p, nil)})
	}
	return effects
}

// shareLoad sends nothing while no request waits for a slot anywhere. At 3,500 workers and 32 entry processes, reports of
// all idle slots to all peers would cost each process several hundred KB a second.
func (m *Machine) shareLoad(now time.Time) []Effect {
	if now.Sub(m.loadSent) < loadInterval {
		return nil
	}
	m.loadSent = now
	wanted := m.wanted()
	var effects []Effect
	for _, id := range m.others {
		p := m.peer(id)
		if len(wanted) > 0 || now.Sub(p.wantedAt) <= loadMaxAge {
			effects = append(effects, ShareLoad{To: id, Load: m.loadFor(now, p, wanted)})
		}
	}
	return effects
}

// wanted lists the services of waiting requests, the most urgent first.
func (m *Machine) wanted() []fleet.ServiceID {
	if _, wait := m.overflow.(WaitOnly); wait || m.drained {
		return nil
	}
	waiting := m.admits.Waiting()
	var services []fleet.ServiceID
	for _, flow := range sortedFlows(waiting) {
		if len(services) < maxWanted && !slices.Contains(services, flow.Service) {
			services = append(services, flow.Service)
		}
	}
	return services
}

func (m *Machine) loadFor(now time.Time, p *peer, wanted []fleet.ServiceID) wire.Load {
	load := wire.Load{Wanted: wanted}
	if m.drained || now.Sub(p.wantedAt) > loadMaxAge {
		return load
	}
	load.Reported = true
	load.FreeSlots = make(map[fleet.WorkerID]int)
	for _, service := range p.wanted {
		for _, worker := range m.backends.of(service) {
			if n := m.grants.IdleOwnSlots(now, worker); n > 0 {
				load.FreeSlots[worker] = n
			}
		}
	}
	return load
}

// flow tells whether the deadline of a request is too late for a loan that is asked for now.
func (m *Machine) flow(now time.Time, r Request) admit.Flow {
	long := r.Deadline.After(now.Add(m.grants.TTL() - m.grants.TTL()/loanSlack))
	return admit.Flow{Service: r.Service, Long: long}
}

// overflowAll finds slots of peers for the waiting requests.
func (m *Machine) overflowAll(now time.Time) []Effect {
	if _, wait := m.overflow.(WaitOnly); wait || len(m.others) == 0 {
		return nil
	}
	waiting := m.admits.Waiting()
	if len(waiting) == 0 {
		return nil
	}
	effects := m.shareLoad(now)
	for _, flow := range sortedFlows(waiting) {
		effects = append(effects, m.overflowOf(now, flow, waiting[flow])...)
	}
	return effects
}

func sortedFlows(waiting map[admit.Flow]admit.Waiting) []admit.Flow {
	return slices.SortedFunc(maps.Keys(waiting), func(a, b admit.Flow) int {
		return cmp.Or(cmp.Compare(waiting[a].Class, waiting[b].Class), cmp.Compare(a.Service, b.Service), order(a, b))
	})
}

// order puts short requests before long ones.
func order(a, b admit.Flow) int {
	switch {
	case a.Long == b.Long:
		return 0
	case b.Long:
		return -1
	}
	return 1
}

func (m *Machine) overflowOf(now time.Time, flow admit.Flow, waiting admit.Waiting) []Effect {
	var effects []Effect
	for {
		id, free := m.idlest(now, flow.Service)
		if free == 0 {
			return effects
		}
		if !m.forwards(now, id, flow) {
			return append(effects, m.borrow(now, id, flow, waiting)...)
		}
		forwarded := m.forward(now, id, flow, free)
		if len(forwarded) == 0 {
			return effects
		}
		effects = append(effects, forwarded...)
	}
}

// idlest returns the peer with the most reported idle slots for a service.
func (m *Machine) idlest(now time.Time, service fleet.ServiceID) (best fleet.EntryHostID, most int) {
	for id, p := range m.peers {
		if now.Sub(p.at) > loadMaxAge || (len(p.free) == 0 && p.reportedSent <= p.sent) {
			continue
		}
		n := p.reportedSent - p.sent
		for _, worker := range m.backends.of(service) {
			if p.free[worker] > 0 && m.routes.Eligible(now, worker) {
				n += p.free[worker]
			}
		}
		if n > most || (n == most && n > 0 && id < best) {
			best, most = id, n
		}
	}
	return best, most
}

// borrow asks a peer for as many slots as requests wait.
func (m *Machine) borrow(now time.Time, id fleet.EntryHostID, flow admit.Flow, w admit.Waiting) []Effect {
	if m.grants.BorrowPending(id) {
		return nil
	}
	// The loans held now end too early for these requests.
	effects := m.loanEffects(m.grants.Step(now, grant.ReturnUnused{Until: w.Soonest}))
	borrow := wire.Borrow{Service: flow.Service, Class: w.Class, Slots: min(w.Requests, maxAsk)}
	return append(effects, m.loanEffects(m.grants.Step(now, grant.Borrow{Peer: id, Request: borrow}))...)
}

// forward passes one waiting request to a peer.
func (m *Machine) forward(now time.Time, id fleet.EntryHostID, flow admit.Flow, free int) []Effect {
	it, ok := m.admits.Next(now, func(it admit.Item) bool { return it.Flow == flow })
	if !ok {
		return nil
	}
	r := m.requests[it.ID]
	r.phase, r.peer = forwarding, id
	r.attempt++
	r.sends++
	m.peers[id].sent++
	return []Effect{Forward{
		Request: r.Request, Attempt: r.attempt, Peer: id,
		Reason: fmt.Sprintf("no free slot here, %d reported by the peer", free),
	}}
}

// forwards reports whether requests are forwarded to a peer rather than run on slots borrowed from it.
func (m *Machine) forwards(now time.Time, id fleet.EntryHostID, flow admit.Flow) bool {
	_, only := m.overflow.(ForwardOnly)
	return only || flow.Long || now.Before(m.peers[id].noLoanUntil)
}

func (m *Machine) forwardEnded(now time.Time, ev ForwardEnded) []Effect {
	r := m.requests[ev.ID]
	if r == nil || r.phase != forwarding || r.attempt != ev.Attempt {
		return nil
	}
	m.peers[r.peer].sent--
	var effects []Effect
	switch ev.Outcome {
	case Ran:
		effects = m.finish(now, r, Answer{ID: r.ID, Attempt: ev.Attempt, Outcome: Ran, Reason: ev.Reason, Status: ev.Status})
	case NotRun:
		m.exhausted(r.peer)
		effects = m.forwardRefused(now, r)
	default:
		r.touched = true
		effects = m.again(now, r, "peer_"+ev.Reason)
	}
	effects = append(effects, m.dispatch(now)...)
	return append(effects, m.overflowAll(now)...)
}

// forwardRefused puts a request back that the peer did not send, which costs no attempt.
func (m *Machine) forwardRefused(now time.Time, r *request) []Effect {
	if r.answered {
		return m.finish(now, r, Answer{Outcome: r.untouched()})
	}
	r.phase = queued
	r.sends--
	m.admits.Step(now, admit.Requeue{Item: m.item(now, r.Request)})
	return nil
}
