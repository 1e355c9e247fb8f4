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

// Borrow starts a request for a loan from a peer.
type Borrow struct {
	Peer    fleet.EntryHostID
	Request wire.BorrowRequest
}

// LoanReceived is a peer's response to [SendBorrow].
type LoanReceived struct {
	Call uint64
	Loan wire.Loan
}

// BorrowFailed reports that a [SendBorrow] got no usable response.
type BorrowFailed struct{ Call uint64 }

// BorrowReceived is a peer's request for up to Slots free slots on the given workers.
type BorrowReceived struct {
	Call    uint64
	ID      string
	From    fleet.EntryHostID
	Workers []fleet.WorkerID
	Slots   int
}

// ReturnReceived is a peer's message that it returns all or part of a loan from this process.
type ReturnReceived struct {
	From   fleet.EntryHostID
	Return wire.LoanReturn
}

// ReturnUnused returns the unused slots of loans that expire too early for a request that runs until the given time.
type ReturnUnused struct{ Until time.Time }

func (Borrow) event()         {}
func (LoanReceived) event()   {}
func (BorrowFailed) event()   {}
func (BorrowReceived) event() {}
func (ReturnReceived) event() {}
func (ReturnUnused) event()   {}

// SendBorrow sends a request for a loan to a peer; its result is [LoanReceived] or [BorrowFailed] with the same Call.
type SendBorrow struct {
	Call    uint64
	To      fleet.EntryHostID
	Request wire.BorrowRequest
}

// SendLoan responds to [BorrowReceived]; a loan without parts means that no slot is free.
type SendLoan struct {
	Call uint64
	Loan wire.Loan
}

// SendReturn returns a loan or a part of it to the lender.
type SendReturn struct {
	To     fleet.EntryHostID
	Return wire.LoanReturn
}

func (SendBorrow) effect() {}
func (SendLoan) effect()   {}
func (SendReturn) effect() {}

// loanState holds the loans from and to this process, and the requests for loans that have no response yet.
type loanState struct {
	nextBorrow     uint64
	nextLoan       uint64
	pendingBorrows map[uint64]pendingBorrow
	borrowed       map[string]*borrowedLoan
	lent           map[string]lentLoan
}

type pendingBorrow struct {
	id     string
	peer   fleet.EntryHostID
	sentAt time.Time
}

type borrowedLoan struct {
	id        string
	lender    fleet.EntryHostID
	expiresAt time.Time
	lastUse   time.Time
	parts     []*loanPart
}

type loanPart struct {
	loan     *borrowedLoan
	workerID fleet.WorkerID
	worker   *worker
	slots    int
	used     int
}

type lentLoan struct {
	borrower  fleet.EntryHostID
	expiresAt time.Time
	parts     []wire.LoanPart
}

func newLoanState() loanState {
	return loanState{pendingBorrows: make(map[uint64]pendingBorrow), borrowed: make(map[string]*borrowedLoan), lent: make(map[string]lentLoan)}
}

func (p *loanPart) lastsUntil(until time.Time) bool { return !until.After(p.loan.expiresAt) }

func (l *borrowedLoan) used() int {
	n := 0
	for _, p := range l.parts {
		n += p.used
	}
	return n
}

func (l *borrowedLoan) unused() int {
	n := 0
	for _, p := range l.parts {
		n += p.slots - p.used
	}
	return n
}

func (m *Machine) startBorrow(now time.Time, ev Borrow) []Effect {
	m.nextBorrow++
	request := ev.Request
	request.ID = string(m.self) + "/" + string(m.boot) + "/" + strconv.FormatUint(m.nextBorrow, 10)
	m.pendingBorrows[m.nextBorrow] = pendingBorrow{id: request.ID, peer: ev.Peer, sentAt: now}
	return []Effect{SendBorrow{Call: m.nextBorrow, To: ev.Peer, Request: request}}
}

// BorrowPending reports whether a request for a loan from the peer has no response yet.
func (m *Machine) BorrowPending(peer fleet.EntryHostID) bool {
	for _, b := range m.pendingBorrows {
		if b.peer == peer {
			return true
		}
	}
	return false
}

// acceptLoan adds a borrowed loan. Its TTL counts from the time at which the request was sent, so that the loan expires
// here before it expires at the lender.
func (m *Machine) acceptLoan(now time.Time, ev LoanReceived) {
	b, pending := m.pendingBorrows[ev.Call]
	delete(m.pendingBorrows, ev.Call)
	ttl := min(m.ttl, time.Duration(ev.Loan.TTLMS)*time.Millisecond)
	expiresAt := b.sentAt.Add(ttl)
	if !pending || ev.Loan.BorrowID != b.id || len(ev.Loan.Parts) == 0 || !now.Before(expiresAt) || m.loanState.borrowed[ev.Loan.ID] != nil {
		return
	}
	l := &borrowedLoan{id: ev.Loan.ID, lender: b.peer, expiresAt: expiresAt, lastUse: now}
	for _, p := range ev.Loan.Parts {
		w := m.worker(p.Worker)
		part := &loanPart{loan: l, workerID: p.Worker, worker: w, slots: max(0, min(p.Slots, p.Connections))}
		l.parts = append(l.parts, part)
		w.borrowed = append(w.borrowed, part)
	}
	m.loanState.borrowed[l.id] = l
}

// expireBorrowed drops requests and loans that have expired, and returns loans that stayed unused.
func (m *Machine) expireBorrowed(now time.Time) []Effect {
	for id, b := range m.pendingBorrows {
		if !now.Before(b.sentAt.Add(m.ttl)) {
			delete(m.pendingBorrows, id)
		}
	}
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(m.loanState.borrowed)) {
		l := m.loanState.borrowed[id]
		switch {
		case !now.Before(l.expiresAt):
			m.dropLoan(l)
		case l.used() == 0 && now.Sub(l.lastUse) >= idleLoanTimeout:
			effects = append(effects, m.returnUnusedSlots(l))
		}
	}
	return effects
}

// returnUnused returns the unused slots that no request running until the given time could use.
func (m *Machine) returnUnused(ev ReturnUnused) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(m.loanState.borrowed)) {
		l := m.loanState.borrowed[id]
		if ev.Until.Add(m.releaseDelay).After(l.expiresAt) && l.unused() > 0 {
			effects = append(effects, m.returnUnusedSlots(l))
		}
	}
	return effects
}

// returnUnusedSlots keeps the slots in use. The message lists the kept slots rather than the returned ones, so that it
// can arrive late, twice or out of order.
func (m *Machine) returnUnusedSlots(l *borrowedLoan) Effect {
	returned := wire.LoanReturn{ID: l.id}
	for _, p := range l.parts {
		p.slots = p.used
		if p.used > 0 {
			returned.Kept = append(returned.Kept, wire.LoanPart{Worker: p.workerID, Slots: p.used, Connections: p.used})
		}
	}
	if len(returned.Kept) == 0 {
		m.dropLoan(l)
	}
	return SendReturn{To: l.lender, Return: returned}
}

func (m *Machine) dropLoan(l *borrowedLoan) {
	delete(m.loanState.borrowed, l.id)
	for _, p := range l.parts {
		p.worker.borrowed = slices.DeleteFunc(p.worker.borrowed, func(q *loanPart) bool { return q == p })
	}
}

// lend lends slots with one connection each, which the share does not need while the slots are lent. It takes one slot
// at a time from the worker with the most free slots, so that a loan spreads over workers.
func (m *Machine) lend(now time.Time, ev BorrowReceived) []Effect {
	lent := make(map[fleet.WorkerID]int)
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
		lent[best]++
	}
	if len(lent) == 0 {
		return []Effect{SendLoan{Call: ev.Call}}
	}
	m.nextLoan++
	id := string(m.self) + "/" + string(m.boot) + "/" + strconv.FormatUint(m.nextLoan, 10)
	parts := make([]wire.LoanPart, 0, len(lent))
	for worker, n := range lent {
		parts = append(parts, wire.LoanPart{Worker: worker, Slots: n, Connections: n})
	}
	slices.SortFunc(parts, func(a, b wire.LoanPart) int { return cmp.Compare(a.Worker, b.Worker) })
	m.lent[id] = lentLoan{borrower: ev.From, expiresAt: now.Add(m.ttl + m.margin), parts: parts}
	return []Effect{SendLoan{Call: ev.Call, Loan: wire.Loan{
		ID: id, BorrowID: ev.ID, Parts: parts, TTLMS: m.ttl.Milliseconds(),
	}}}
}

// lendable returns the free slots of the own share of a worker, up to half of the share. The other half is reserved for
// the lender's own requests and for forwarded ones, whose deadlines may be later than the expiry of a loan.
func (m *Machine) lendable(now time.Time, id fleet.WorkerID) int {
	w := m.workers[id]
	if w == nil {
		return 0
	}
	return max(0, min(m.freeOwnSlots(now, w), (w.share.Slots+1)/2-w.lent))
}

// IdleOwnSlots returns the number of free slots of the own share on a worker, which could now be lent or used by a
// forwarded request.
func (m *Machine) IdleOwnSlots(now time.Time, id fleet.WorkerID) int {
	w := m.workers[id]
	if w == nil {
		return 0
	}
	return max(0, m.freeOwnSlots(now, w))
}

// reduceLoan reduces a loan to the slots that the borrower keeps. It never increases one, so that a repeated or late
// message has no effect.
func (m *Machine) reduceLoan(ev ReturnReceived) {
	l, found := m.lent[ev.Return.ID]
	if !found || l.borrower != ev.From {
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
		if !now.Before(l.expiresAt) {
			m.endLoan(id, l)
		}
	}
}

func (m *Machine) endLoan(id string, l lentLoan) {
	delete(m.lent, id)
	for _, p := range l.parts {
		m.workers[p.Worker].lent -= p.Slots
	}
}
