package grant

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/wire"
)

// Ask starts borrowing from a peer.
type Borrow struct {
	Peer   fleet.EntryHostID
	Request wire.BorrowRequest
}

// LoanReceived is a peer's answer to [SendBorrow].
type LoanReceived struct {
	Call  uint64
	Loan wire.Loan
}

// LoanMissed tells that a [SendBorrow] got no usable answer.
type BorrowFailed struct{ Call uint64 }

// BorrowReceived is a peer's request for up to Slots idle slots on some workers.
type BorrowReceived struct {
	Call    uint64
	ID      string
	From    fleet.EntryHostID
	Workers []fleet.WorkerID
	Slots   int
}

// ReturnReceived reduces a loan of this process to the peer.
type ReturnReceived struct {
	From   fleet.EntryHostID
	Return wire.LoanReturn
}

// Shrink gives back the unused slots of loans that end too early for a request until the given time.
type ReturnUnused struct{ Until time.Time }

func (Borrow) event()            {}
func (LoanReceived) event()   {}
func (BorrowFailed) event()     {}
func (BorrowReceived) event() {}
func (ReturnReceived) event() {}
func (ReturnUnused) event()         {}

// SendBorrow asks a peer for a loan; the answer comes back as [LoanReceived] or [LoanMissed].
type SendBorrow struct {
	Call    uint64
	To     fleet.EntryHostID
	Request wire.BorrowRequest
}

// SendLoan answers [BorrowReceived]; a loan without parts means that nothing is idle.
type SendLoan struct {
	Call uint64
	Loan wire.Loan
}

// SendReturn gives a loan or a part of it back.
type SendReturn struct {
	To     fleet.EntryHostID
	Return wire.LoanReturn
}

func (SendBorrow) effect() {}
func (SendLoan) effect()   {}
func (SendReturn) effect() {}

// loanBook holds both sides of this process's loans.
type loanBook struct {
	nextAsk  uint64
	nextLoan uint64
	asks     map[uint64]ask
	borrowed map[string]*loan
	lent     map[string]lentLoan
}

type ask struct {
	id   string
	peer fleet.EntryHostID
	at   time.Time
}

type loan struct {
	id      string
	lender  fleet.EntryHostID
	ends    time.Time
	lastUse time.Time
	parts   []*loanPart
}

type loanPart struct {
	loan   *loan
	id     fleet.WorkerID
	worker *worker
	slots  int
	used   int
}

type lentLoan struct {
	to    fleet.EntryHostID
	ends  time.Time
	parts []wire.LoanPart
}

func newLoanBook() loanBook {
	return loanBook{asks: make(map[uint64]ask), borrowed: make(map[string]*loan), lent: make(map[string]lentLoan)}
}

func (p *loanPart) covers(until time.Time) bool { return !until.After(p.loan.ends) }

func (l *loan) used() int {
	n := 0
	for _, p := range l.parts {
		n += p.used
	}
	return n
}

func (l *loan) unused() int {
	n := 0
	for _, p := range l.parts {
		n += p.slots - p.used
	}
	return n
}

func (m *Machine) ask(now time.Time, ev Borrow) []Effect {
	m.nextAsk++
	borrow := ev.Request
	borrow.ID = string(m.self) + "/" + string(m.boot) + "/" + strconv.FormatUint(m.nextAsk, 10)
	m.asks[m.nextAsk] = ask{id: borrow.ID, peer: ev.Peer, at: now}
	return []Effect{SendBorrow{Call: m.nextAsk, To: ev.Peer, Request: borrow}}
}

// Asking reports whether a request for a loan to the peer is unanswered.
func (m *Machine) BorrowPending(peer fleet.EntryHostID) bool {
	for _, a := range m.asks {
		if a.peer == peer {
			return true
		}
	}
	return false
}

// borrow accepts a loan. Its time counts from before the question, so it never outlasts the lender's own count.
func (m *Machine) borrow(now time.Time, ev LoanReceived) {
	a, asked := m.asks[ev.Call]
	delete(m.asks, ev.Call)
	ttl := min(m.ttl, time.Duration(ev.Loan.TTLMS)*time.Millisecond)
	ends := a.at.Add(ttl)
	if !asked || ev.Loan.BorrowID != a.id || len(ev.Loan.Parts) == 0 || !now.Before(ends) || m.loanBook.borrowed[ev.Loan.ID] != nil {
		return
	}
	l := &loan{id: ev.Loan.ID, lender: a.peer, ends: ends, lastUse: now}
	for _, p := range ev.Loan.Parts {
		w := m.worker(p.Worker)
		part := &loanPart{loan: l, id: p.Worker, worker: w, slots: max(0, min(p.Slots, p.Connections))}
		l.parts = append(l.parts, part)
		w.borrowed = append(w.borrowed, part)
	}
	m.loanBook.borrowed[l.id] = l
}

// expireBorrowed drops loans that have ended and gives back those that stayed unused.
func (m *Machine) expireBorrowed(now time.Time) []Effect {
	for id, a := range m.asks {
		if !now.Before(a.at.Add(m.ttl)) {
			delete(m.asks, id)
		}
	}
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(m.loanBook.borrowed)) {
		l := m.loanBook.borrowed[id]
		switch {
		case !now.Before(l.ends):
			m.forget(l)
		case l.used() == 0 && now.Sub(l.lastUse) >= returnAfter:
			effects = append(effects, m.giveBack(l))
		}
	}
	return effects
}

// shrink gives back what no request until the given time could use.
func (m *Machine) shrink(ev ReturnUnused) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(m.loanBook.borrowed)) {
		l := m.loanBook.borrowed[id]
		if ev.Until.Add(m.settle).After(l.ends) && l.unused() > 0 {
			effects = append(effects, m.giveBack(l))
		}
	}
	return effects
}

// giveBack keeps the slots in use. The message tells what is kept, so that it can arrive late, twice or out of order.
func (m *Machine) giveBack(l *loan) Effect {
	back := wire.LoanReturn{ID: l.id}
	for _, p := range l.parts {
		p.slots = p.used
		if p.used > 0 {
			back.Kept = append(back.Kept, wire.LoanPart{Worker: p.id, Slots: p.used, Connections: p.used})
		}
	}
	if len(back.Kept) == 0 {
		m.forget(l)
	}
	return SendReturn{To: l.lender, Return: back}
}

func (m *Machine) forget(l *loan) {
	delete(m.loanBook.borrowed, l.id)
	for _, p := range l.parts {
		p.worker.borrowed = slices.DeleteFunc(p.worker.borrowed, func(q *loanPart) bool { return q == p })
	}
}

// lend gives slots together with one connection each, which the share then does not need itself. It takes one slot at a
// time from the worker with the most idle ones, so that a loan spreads over workers.
func (m *Machine) lend(now time.Time, ev BorrowReceived) []Effect {
	given := make(map[fleet.WorkerID]int)
	for range ev.Slots {
		best, most := fleet.WorkerID(""), 0
		for _, id := range ev.Workers {
			if n := m.lendable(now, id); n > most {
				best, most = id, n
			}
		}
		if most == 0 {
			break
		}
		m.workers[best].lent++
		given[best]++
	}
	if len(given) == 0 {
		return []Effect{SendLoan{Call: ev.Call}}
	}
	m.nextLoan++
	id := string(m.self) + "/" + string(m.boot) + "/" + strconv.FormatUint(m.nextLoan, 10)
	parts := make([]wire.LoanPart, 0, len(given))
	for worker, n := range given {
		parts = append(parts, wire.LoanPart{Worker: worker, Slots: n, Connections: n})
	}
	slices.SortFunc(parts, func(a, b wire.LoanPart) int { return cmp.Compare(a.Worker, b.Worker) })
	m.lent[id] = lentLoan{to: ev.From, ends: now.Add(m.ttl + m.margin), parts: parts}
	return []Effect{SendLoan{Call: ev.Call, Loan: wire.Loan{
		ID: id, BorrowID: ev.ID, Parts: parts, TTLMS: m.ttl.Milliseconds(),
	}}}
}

// lendable returns the idle slots of a worker up to half of the share. The other half stays for the lender's own requests
// and for forwarded ones, whose deadlines may be too late for a loan.
func (m *Machine) lendable(now time.Time, id fleet.WorkerID) int {
	w := m.workers[id]
	if w == nil {
		return 0
	}
	return max(0, min(m.ownFree(now, w), (w.share.Slots+1)/2-w.lent))
}

// IdleOn returns how many own slots on a worker could be lent or used by a forwarded request now.
func (m *Machine) IdleOwnSlots(now time.Time, id fleet.WorkerID) int {
	w := m.workers[id]
	if w == nil {
		return 0
	}
	return max(0, m.ownFree(now, w))
}

// returned only ever reduces a loan, so a repeated or late message changes nothing.
func (m *Machine) returned(ev ReturnReceived) {
	l, open := m.lent[ev.Return.ID]
	if !open || l.to != ev.From {
		return
	}
	kept := make(map[fleet.WorkerID]int)
	for _, p := range ev.Return.Kept {
		kept[p.Worker] = max(0, p.Slots)
	}
	parts := make([]wire.LoanPart, 0, len(l.parts))
	for _, p := range l.parts {
		n := min(p.Slots, kept[p.Worker])
		m.workers[p.Worker].lent -= p.Slots - n
		if n > 0 {
			parts = append(parts, wire.LoanPart{Worker: p.Worker, Slots: n, Connections: n})
		}
	}
	l.parts = parts
	m.lent[ev.Return.ID] = l
}

func (m *Machine) expireLent(now time.Time) {
	for id, l := range m.lent {
		if !now.Before(l.ends) {
			m.takeBack(id, l)
		}
	}
}

func (m *Machine) takeBack(id string, l lentLoan) {
	delete(m.lent, id)
	for _, p := range l.parts {
		m.workers[p.Worker].lent -= p.Slots
	}
}
