package grant

import (
	"time"

	"lovagefork.example/coord/fleet"
)

// Times of loans.
const (
	// DefaultTTL is how long a borrower may use a loan, counted from before it asked.
	DefaultTTL = 5 * time.Second
	// DefaultMargin covers the drift between the clocks of lender and borrower, at most 10 % of the TTL.
	DefaultMargin = 500 * time.Millisecond
	// DefaultSettle is how long the slot of an aborted request stays taken, until its backend server has seen the end of
	// the connection.
	DefaultReleaseDelay = 250 * time.Millisecond
	// returnAfter is how long a loan may stay unused before it is given back early.
	returnAfter = time.Second
)

// Event is an input of a [Machine].
type Event interface{ event() }

// Observed replaces the known workers.
type WorkersObserved struct{ Workers []fleet.Worker }

// Take asks for a slot and a connection on a worker until at most Until.
type Acquire struct {
	Ticket uint64
	Worker fleet.WorkerID
	Until  time.Time
}

// Release frees what a ticket holds; Aborted is set if the backend server may still be working.
type Release struct {
	Ticket  uint64
	Aborted bool
}

// Tick expires loans and holds; it should come at least every 100 ms.
type Tick struct{}

func (WorkersObserved) event() {}
func (Acquire) event()     {}
func (Release) event()  {}
func (Tick) event()     {}

// Effect is an output of a [Machine].
type Effect interface{ effect() }

// Taken answers [Take]; Loan is empty for a slot of the own share.
type Acquired struct {
	Ticket uint64
	Worker fleet.WorkerID
	Loan   string
}

// Full answers [Take] when no slot can be held until the requested time.
type NoSlot struct{ Ticket uint64 }

func (Acquired) effect() {}
func (NoSlot) effect()  {}

// Machine is the reducer for the slots and connections that this process may use.
type Machine struct {
	self   fleet.EntryHostID
	boot   fleet.BootID
	roster []Member
	ttl    time.Duration
	margin time.Duration
	settle time.Duration
	openAt time.Time

	workers map[fleet.WorkerID]*worker
	tickets map[uint64]ticket
	holds   []hold
	loanBook
}

type worker struct {
	share    Share
	known    bool
	used     int
	lent     int
	borrowed []*loanPart
}

// ticket is one slot in use; part is nil for a slot of the own share.
type ticket struct {
	worker *worker
	part   *loanPart
}

type hold struct {
	ticket
	until time.Time
}

// Option changes a [Machine] under construction.
type Option func(*Machine)

// WithTimes sets the TTL of loans, its margin, and how long the slot of an aborted request stays taken.
func WithTimes(ttl, margin, settle time.Duration) Option {
	return func(m *Machine) { m.ttl, m.margin, m.settle = ttl, margin, settle }
}

// New returns a machine for a process that starts now; its own share opens after one loan TTL plus margin, because the
// former process on the same entry host may have lent parts of it.
func New(self fleet.EntryHostID, boot fleet.BootID, roster []Member, now time.Time, opts ...Option) *Machine {
	m := &Machine{
		self: self, boot: boot, roster: roster,
		ttl: DefaultTTL, margin: DefaultMargin, settle: DefaultReleaseDelay,
		workers:  make(map[fleet.WorkerID]*worker),
		tickets:  make(map[uint64]ticket),
		loanBook: newLoanBook(),
	}
	for _, opt := range opts {
		opt(m)
	}
	m.openAt = now.Add(m.ttl + m.margin)
	return m
}

// Step applies an event.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case WorkersObserved:
		m.observe(ev.Workers)
	case Acquire:
		return []Effect{m.take(now, ev)}
	case Release:
		m.release(now, ev)
	case Borrow:
		return m.ask(now, ev)
	case LoanReceived:
		m.borrow(now, ev)
	case BorrowFailed:
		delete(m.asks, ev.Call)
	case BorrowReceived:
		return m.lend(now, ev)
	case ReturnReceived:
		m.returned(ev)
	case ReturnUnused:
		return m.shrink(ev)
	case Tick:
		return m.tick(now)
	}
	return nil
}

func (m *Machine) observe(workers []fleet.Worker) {
	for _, w := range m.workers {
		w.known = false
	}
	for _, w := range workers {
		state := m.worker(w.ID)
		state.known = true
		state.share = ShareOf(m.roster, m.self, w)
	}
	for id, w := range m.workers {
		if !w.known && w.used == 0 && w.lent == 0 && len(w.borrowed) == 0 {
			delete(m.workers, id)
		}
	}
}

func (m *Machine) worker(id fleet.WorkerID) *worker {
	w := m.workers[id]
	if w == nil {
		w = &worker{}
		m.workers[id] = w
	}
	return w
}

// Open reports whether the start-up quarantine of the own share has passed.
func (m *Machine) OwnShareOpen(now time.Time) bool { return !now.Before(m.openAt) }

// TTL returns how long a borrower may use a loan.
func (m *Machine) TTL() time.Duration { return m.ttl }

// Share returns this process's fixed share of a worker.
func (m *Machine) Share(id fleet.WorkerID) Share {
	if w := m.workers[id]; w != nil {
		return w.share
	}
	return Share{}
}

// Free returns the slots on a worker that a request could hold until the given time: own ones and borrowed ones.
func (m *Machine) FreeSlots(now time.Time, id fleet.WorkerID, until time.Time) (own, borrowed int) {
	w := m.workers[id]
	if w == nil {
		return 0, 0
	}
	for _, p := range w.borrowed {
		if p.covers(until.Add(m.settle)) {
			borrowed += p.slots - p.used
		}
	}
	return m.ownFree(now, w), borrowed
}

func (m *Machine) ownFree(now time.Time, w *worker) int {
	if !m.OwnShareOpen(now) || !w.known {
		return 0
	}
	return max(0, w.share.Slots-w.used-w.lent)
}

func (m *Machine) take(now time.Time, ev Acquire) Effect {
	w := m.workers[ev.Worker]
	if w == nil {
		return NoSlot{Ticket: ev.Ticket}
	}
	if m.ownFree(now, w) > 0 {
		w.used++
		m.tickets[ev.Ticket] = ticket{worker: w}
		return Acquired{Ticket: ev.Ticket, Worker: ev.Worker}
	}
	for _, p := range w.borrowed {
		if p.used < p.slots && p.covers(ev.Until.Add(m.settle)) {
			p.used++
			p.loan.lastUse = now
			m.tickets[ev.Ticket] = ticket{worker: w, part: p}
			return Acquired{Ticket: ev.Ticket, Worker: ev.Worker, Loan: p.loan.id}
		}
	}
	return NoSlot{Ticket: ev.Ticket}
}

func (m *Machine) release(now time.Time, ev Release) {
	t, held := m.tickets[ev.Ticket]
	if !held {
		return
	}
	delete(m.tickets, ev.Ticket)
	if ev.Aborted {
		m.holds = append(m.holds, hold{ticket: t, until: now.Add(m.settle)})
		return
	}
	t.free(now)
}

func (t ticket) free(now time.Time) {
	if t.part == nil {
		t.worker.used--
		return
	}
	t.part.used--
	t.part.loan.lastUse = now
}

func (m *Machine) tick(now time.Time) []Effect {
	kept := m.holds[:0]
	for _, h := range m.holds {
		if now.Before(h.until) {
			kept = append(kept, h)
			continue
		}
		h.free(now)
	}
	m.holds = kept
	m.expireLent(now)
	return m.expireBorrowed(now)
}
