package serve

import (
	"fmt"
	"time"

	"lovagefork.example/coord/admit"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/wire"
)

// Overflow decides what happens to a request without a free slot: [BorrowFirst], [ForwardOnly] or [WaitOnly].
type Overflow interface{ overflow() }

// BorrowFirst borrows slots for requests that end before a loan would, and forwards the others to a peer.
type BorrowFirst struct{}

// ForwardOnly forwards requests to a peer with a free slot and never borrows.
type ForwardOnly struct{}

// WaitOnly keeps requests in the queue until a slot of this process is free; a baseline.
type WaitOnly struct{}

func (BorrowFirst) overflow() {}
func (ForwardOnly) overflow() {}
func (WaitOnly) overflow()    {}

const (
	// loadInterval is how often idle slots are reported, and loadMaxAge how long a report is used.
	loadInterval = 200 * time.Millisecond
	loadMaxAge   = time.Second
	// maxAsk bounds one loan, so that several borrowers can be served.
	maxAsk = 16
	// loanSlack is left of a loan for the answer to the question and the settling of the request.
	loanSlack = 500 * time.Millisecond
)

// peer is what is known of another entry process.
type peer struct {
	at   time.Time
	free map[fleet.WorkerID]int
	sent int
}

func (m *Machine) peerStep(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case LoadReceived:
		p := m.peer(ev.From)
		p.at, p.free = now, ev.Load.FreeSlots
	case BorrowReceived:
		return m.lend(now, ev)
	case LoanReceived:
		if len(ev.Loan.Parts) == 0 {
			m.exhausted(m.asked[ev.Ask])
		}
		delete(m.asked, ev.Ask)
		m.grants.Step(now, grant.LoanReceived{Ask: ev.Ask, Loan: ev.Loan})
		m.unblock()
		return m.dispatch(now)
	case LoanMissed:
		m.exhausted(m.asked[ev.Ask])
		delete(m.asked, ev.Ask)
		m.grants.Step(now, grant.LoanMissed{Ask: ev.Ask})
	case ReturnReceived:
		m.grants.Step(now, grant.ReturnReceived{From: ev.From, ID: ev.Return.ID})
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

// exhausted ignores a peer's reported slots until its next report.
func (m *Machine) exhausted(id fleet.EntryHostID) {
	if p := m.peers[id]; p != nil {
		p.free = nil
	}
}

// lend keeps one slot of each worker for the lender's own next request, unless the borrower's work is urgent.
func (m *Machine) lend(now time.Time, ev BorrowReceived) []Effect {
	keep := 1
	if ev.Borrow.Class == fleet.Urgent {
		keep = 0
	}
	var workers []fleet.WorkerID
	for _, id := range m.backends.of(ev.Borrow.Service) {
		if m.routes.Eligible(now, id) {
			workers = append(workers, id)
		}
	}
	return m.loanEffects(m.grants.Step(now, grant.BorrowReceived{
		Call: ev.Call, From: ev.From, Workers: workers, Slots: min(ev.Borrow.Slots, maxAsk), Keep: keep,
	}))
}

func (m *Machine) loanEffects(in []grant.Effect) []Effect {
	var effects []Effect
	for _, e := range in {
		switch e := e.(type) {
		case grant.SendBorrow:
			m.asked[e.Ask] = e.To
			effects = append(effects, SendBorrow{Ask: e.Ask, To: e.To, Borrow: e.Borrow})
		case grant.SendLoan:
			effects = append(effects, AnswerBorrow{Call: e.Call, Loan: e.Loan})
		case grant.SendReturn:
			effects = append(effects, SendReturn{To: e.To, Return: e.Return})
		}
	}
	return effects
}

func (m *Machine) shareLoad(now time.Time) []Effect {
	if now.Sub(m.loadSent) < loadInterval {
		return nil
	}
	m.loadSent = now
	load := wire.Load{Queued: m.admits.Queued()}
	if !m.drained {
		load.FreeSlots = m.grants.Idle(now)
	}
	return []Effect{ShareLoad{Load: load}}
}

// overflowOf finds slots of peers for the waiting requests of a service.
func (m *Machine) overflowOf(now time.Time, service fleet.ServiceID) []Effect {
	if _, wait := m.overflow.(WaitOnly); wait {
		return nil
	}
	var effects []Effect
	for {
		id, free := m.idlest(now, service)
		if free == 0 {
			return effects
		}
		more := m.forward(now, service, id, free)
		effects = append(effects, more...)
		if len(more) == 0 {
			return append(effects, m.borrow(now, service, id)...)
		}
	}
}

// idlest returns the peer with the most reported idle slots for a service.
func (m *Machine) idlest(now time.Time, service fleet.ServiceID) (best fleet.EntryHostID, most int) {
	for id, p := range m.peers {
		if now.Sub(p.at) > loadMaxAge {
			continue
		}
		n := -p.sent
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
func (m *Machine) borrow(now time.Time, service fleet.ServiceID, id fleet.EntryHostID) []Effect {
	n, class := m.admits.Waiting(service)
	if _, ok := m.overflow.(BorrowFirst); !ok || n == 0 || m.grants.Asking(id) {
		return nil
	}
	ask := grant.Ask{Peer: id, Borrow: wire.Borrow{Service: service, Class: class, Slots: min(n, maxAsk)}}
	return m.loanEffects(m.grants.Step(now, ask))
}

// forward passes one waiting request to a peer, if it is better forwarded than run on a borrowed slot.
func (m *Machine) forward(now time.Time, service fleet.ServiceID, id fleet.EntryHostID, free int) []Effect {
	it, ok := m.admits.Next(now, func(it admit.Item) bool { return it.Service == service && m.forwards(now, it) })
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

func (m *Machine) forwards(now time.Time, it admit.Item) bool {
	if _, only := m.overflow.(ForwardOnly); only {
		return true
	}
	return it.Deadline.After(now.Add(m.grants.TTL() - loanSlack))
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
	return append(effects, m.dispatch(now)...)
}

// forwardRefused puts a request back that the peer did not send, which costs no attempt.
func (m *Machine) forwardRefused(now time.Time, r *request) []Effect {
	if r.answered {
		return m.finish(now, r, Answer{Outcome: r.untouched()})
	}
	r.phase = queued
	r.sends--
	m.admits.Step(now, admit.Requeue{Item: m.item(r.Request)})
	return nil
}
