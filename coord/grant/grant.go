package grant

import (
	"time"

	"lovagefork.example/coord/fleet"
)

// Durations of loans and of aborted requests.
const (
	// DefaultTTL is how long a borrower may use a loan, counted from the time at which it sent the request.
	DefaultTTL = 5 * time.Second
	// DefaultMargin is the time that the lender waits beyond the TTL. It covers a clock drift between lender and
	// borrower of up to 10 % of the TTL.
	DefaultMargin = 500 * time.Millisecond
	// DefaultReleaseDelay is how long the slot of an aborted request stays in use, until its backend server has
	// detected that the connection was closed.
	DefaultReleaseDelay = 250 * time.Millisecond
	// idleLoanTimeout is how long a loan may stay unused before it is returned early.
	idleLoanTimeout = time.Second
)

// Event is an input of a [Machine].
type Event interface{ event() }

// WorkersObserved replaces the list of workers.
type WorkersObserved struct{ Workers []fleet.Worker }

// Acquire requests a slot and a connection on a worker that are held no longer than Until.
type Acquire struct {
	Ticket uint64
	Worker fleet.WorkerID
	Until  time.Time
}

// Release frees the slot and the connection of a ticket; Aborted is set if the backend server may still be working.
type Release struct {
	Ticket  uint64
	Aborted bool
}

// Tick expires loans and frees the slots of aborted requests. The caller should send it at least every 100 ms.
type Tick struct{}

func (WorkersObserved) event() {}
func (Acquire) event()         {}
func (Release) event()         {}
func (Tick) event()            {}

// Effect is an output of a [Machine].
type Effect interface{ effect() }

// Acquired reports a successful [Acquire]; Loan is the ID of the loan, or empty for a slot of the own share.
type Acquired struct {
	Ticket uint64
	Worker fleet.WorkerID
	Loan   string
}

// NoSlot reports that an [Acquire] found no slot that can be held until the requested time.
type NoSlot struct{ Ticket uint64 }

func (Acquired) effect() {}
func (NoSlot) effect()   {}

// Machine is the state machine for the slots and connections that this process may use. It is not safe for concurrent
// use.
type Machine struct {
	self           fleet.EntryHostID
	boot           fleet.BootID
	roster         []Member
	ttl            time.Duration
	margin         time.Duration
	releaseDelay   time.Duration
	ownShareOpenAt time.Time

	workers         map[fleet.WorkerID]*worker
	tickets         map[uint64]ticket
	pendingReleases []pendingRelease
	loanState
}

type worker struct {
	share    Share
	listed   bool
	used     int
	lent     int
	borrowed []*loanPart
}

// ticket is one slot in use; part is nil for a slot of the own share.
type ticket struct {
	worker *worker
	part   *loanPart
}

// pendingRelease is the slot of an aborted request; it is freed at until.
type pendingRelease struct {
	ticket
	until time.Time
}

// Option configures a [Machine] in [New].
type Option func(*Machine)

// WithTimes sets the TTL of loans, its margin, and how long the slot of an aborted request stays in use.
func WithTimes(ttl, margin, releaseDelay time.Duration) Option {
	return func(m *Machine) { m.ttl, m.margin, m.releaseDelay = ttl, margin, releaseDelay }
}

// New returns a machine for a process that starts now. The process may use its own share after one loan TTL plus
// margin, because its predecessor on the same entry host may have lent parts of it.
func New(self fleet.EntryHostID, boot fleet.BootID, roster []Member, now time.Time, opts ...Option) *Machine {
	m := &Machine{
		self: self, boot: boot, roster: roster,
		ttl: DefaultTTL, margin: DefaultMargin, releaseDelay: DefaultReleaseDelay,
		workers:   make(map[fleet.WorkerID]*worker),
		tickets:   make(map[uint64]ticket),
		loanState: newLoanState(),
	}
	for _, opt := range opts {
		opt(m)
	}
	m.ownShareOpenAt = now.Add(m.ttl + m.margin)
	return m
}

// Step applies an event and returns the effects that the caller must carry out.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case WorkersObserved:
		m.setWorkers(ev.Workers)
	case Acquire:
		return []Effect{m.acquire(now, ev)}
	case Release:
		m.release(now, ev)
	case Borrow:
		return m.startBorrow(now, ev)
	case LoanReceived:
		m.acceptLoan(now, ev)
	case BorrowFailed:
		delete(m.pendingBorrows, ev.Call)
	case BorrowReceived:
		return m.lend(now, ev)
	case ReturnReceived:
		m.reduceLoan(ev)
	case ReturnUnused:
		return m.returnUnused(ev)
	case Tick:
		return m.tick(now)
	}
	return nil
}

func (m *Machine) setWorkers(workers []fleet.Worker) {
	for _, w := range m.workers {
		w.listed = false
	}
	for _, w := range workers {
		state := m.worker(w.ID)
		state.listed = true
		state.share = ShareOf(m.roster, m.self, w)
	}
	for id, w := range m.workers {
		if !w.listed && w.used == 0 && w.lent == 0 && len(w.borrowed) == 0 {
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

// OwnShareOpen reports whether this process may use its own share, which is the case once all loans of its predecessor
// have expired.
func (m *Machine) OwnShareOpen(now time.Time) bool { return !now.Before(m.ownShareOpenAt) }

// TTL returns how long a borrower may use a loan.
func (m *Machine) TTL() time.Duration { return m.ttl }

// Share returns this process's fixed share of a worker, or zero for an unknown worker.
func (m *Machine) Share(id fleet.WorkerID) Share {
	if w := m.workers[id]; w != nil {
		return w.share
	}
	return Share{}
}

// FreeSlots returns the slots of the own share and the borrowed slots that a request could hold on a worker until the
// given time.
func (m *Machine) FreeSlots(now time.Time, id fleet.WorkerID, until time.Time) (own, borrowed int) {
	w := m.workers[id]
	if w == nil {
		return 0, 0
	}
	for _, p := range w.borrowed {
		if p.lastsUntil(until.Add(m.releaseDelay)) {
			borrowed += p.slots - p.used
		}
	}
	return m.freeOwnSlots(now, w), borrowed
}

func (m *Machine) freeOwnSlots(now time.Time, w *worker) int {
	if !m.OwnShareOpen(now) || !w.listed {
		return 0
	}
	return max(0, w.share.Slots-w.used-w.lent)
}

func (m *Machine) acquire(now time.Time, ev Acquire) Effect {
	w := m.workers[ev.Worker]
	if w == nil {
		return NoSlot{Ticket: ev.Ticket}
	}
	if m.freeOwnSlots(now, w) > 0 {
		w.used++
		m.tickets[ev.Ticket] = ticket{worker: w}
		return Acquired{Ticket: ev.Ticket, Worker: ev.Worker}
	}
	for _, p := range w.borrowed {
		if p.used < p.slots && p.lastsUntil(ev.Until.Add(m.releaseDelay)) {
			p.used++
			p.loan.lastUse = now
			m.tickets[ev.Ticket] = ticket{worker: w, part: p}
			return Acquired{Ticket: ev.Ticket, Worker: ev.Worker, Loan: p.loan.id}
		}
	}
	return NoSlot{Ticket: ev.Ticket}
}

func (m *Machine) release(now time.Time, ev Release) {
	t, found := m.tickets[ev.Ticket]
	if !found {
		return
	}
	delete(m.tickets, ev.Ticket)
	if ev.Aborted {
		m.pendingReleases = append(m.pendingReleases, pendingRelease{ticket: t, until: now.Add(m.releaseDelay)})
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
	kept := m.pendingReleases[:0]
	for _, r := range m.pendingReleases {
		if now.Before(r.until) {
			kept = append(kept, r)
			continue
		}
		r.free(now)
	}
	m.pendingReleases = kept
	m.expireLent(now)
	return m.expireBorrowed(now)
}
