package serve

import (
	"time"

	"lovagefork.example/coord/admit"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/once"
	"lovagefork.example/coord/wire"
)

// Outcome is what a caller is told about its request.
type Outcome string

// The outcomes of a request.
const (
	// Ran means that a backend server gave a whole answer.
	Ran Outcome = "ran"
	// NotRun means that no byte of the request reached a backend server.
	NotRun Outcome = "not_run"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Request is a caller's request without its body.
type Request struct {
	ID            uint64
	Key           fleet.RequestID
	Service       fleet.ServiceID
	Customer      fleet.CustomerID
	Class         fleet.Class
	Deadline      time.Time
	NonIdempotent bool
	// Forwarded is set if another entry process admitted and claimed the request; it runs at once here or not at all.
	Forwarded bool
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	// Answered means that the whole answer arrived.
	Answered Result = iota
	// NotSent means that no byte reached the backend server.
	NotSent
	// Broken means that the request was sent at least in part and no whole answer arrived.
	Broken
)

// Event is an input of a [Machine].
type Event interface{ event() }

// Arrived brings a new request.
type Arrived struct{ Request Request }

// AttemptEnded reports the end of [Send]; Latency is counted from the first byte sent.
type AttemptEnded struct {
	ID      uint64
	Attempt int
	Result  Result
	Status  int
	Latency time.Duration
}

// StreamStarted tells that the answer is too long to be held and is passed on while it arrives.
type StreamStarted struct {
	ID      uint64
	Attempt int
	Status  int
}

// ForwardEnded reports the end of [Forward] with the peer's outcome.
type ForwardEnded struct {
	ID      uint64
	Attempt int
	Outcome Outcome
	Reason  string
	Status  int
}

// CallerGone tells that nobody waits for the answer any more.
type CallerGone struct{ ID uint64 }

// FleetObserved replaces the known workers.
type FleetObserved struct{ Workers []fleet.Worker }

// EndpointsObserved tells where the replicas of one partition's services run.
type EndpointsObserved struct{ Endpoints wire.Endpoints }

// LoadReceived is a peer's report of its idle slots and of the services that it needs slots for.
type LoadReceived struct {
	From fleet.EntryHostID
	Load wire.Load
}

// BorrowReceived is a peer's question for a loan, answered by [AnswerBorrow] with the same Call.
type BorrowReceived struct {
	Call   uint64
	From   fleet.EntryHostID
	Borrow wire.Borrow
}

// LoanReceived answers [SendBorrow].
type LoanReceived struct {
	Ask  uint64
	Loan wire.Loan
}

// LoanMissed tells that [SendBorrow] got no answer.
type LoanMissed struct{ Ask uint64 }

// ReturnReceived ends a loan to a peer.
type ReturnReceived struct {
	From   fleet.EntryHostID
	Return wire.Return
}

// StoreTxnEnded is the result of [StoreTxn].
type StoreTxnEnded struct{ once.TxnEnded }

// StoreLeaseEnded is the result of [StoreLease].
type StoreLeaseEnded struct{ once.GrantLeaseEnded }

// Limited replaces the limits of customers.
type Limited struct {
	Customers map[fleet.CustomerID]admit.Limit
}

// Drained makes every later request be rejected.
type Drained struct{}

// Tick advances deadlines and expiries; it should come at least every 50 ms.
type Tick struct{}

func (Arrived) event()           {}
func (AttemptEnded) event()      {}
func (StreamStarted) event()     {}
func (ForwardEnded) event()      {}
func (CallerGone) event()        {}
func (FleetObserved) event()     {}
func (EndpointsObserved) event() {}
func (LoadReceived) event()      {}
func (BorrowReceived) event()    {}
func (LoanReceived) event()      {}
func (LoanMissed) event()        {}
func (ReturnReceived) event()    {}
func (StoreTxnEnded) event()     {}
func (StoreLeaseEnded) event()   {}
func (Limited) event()           {}
func (Drained) event()           {}
func (Tick) event()              {}

// Effect is an output of a [Machine].
type Effect interface{ effect() }

// Send asks for one attempt on a worker, which must end before the deadline of the request.
type Send struct {
	Request Request
	Attempt int
	Worker  fleet.Worker
	// KeepAlive allows an idle connection to be used and kept.
	KeepAlive bool
	// Connections is the number of connections that may be open with KeepAlive set.
	Connections int
	Reason      string
}

// Forward asks a peer to run the request on a slot of its own.
type Forward struct {
	Request Request
	Attempt int
	Peer    fleet.EntryHostID
	Reason  string
}

// Cancel stops an attempt whose answer nobody waits for.
type Cancel struct {
	ID      uint64
	Attempt int
}

// Answer ends a request. Attempt names the attempt whose answer goes to the caller, zero if there is none; Status is
// the HTTP status in that case.
type Answer struct {
	ID         uint64
	Attempt    int
	Outcome    Outcome
	Reason     string
	Status     int
	RetryAfter time.Duration
}

// Ejected reports that a worker gets no requests for a time.
type Ejected struct {
	Worker fleet.WorkerID
	For    time.Duration
	Reason string
}

// SendBorrow asks a peer for a loan.
type SendBorrow struct {
	Ask    uint64
	To     fleet.EntryHostID
	Borrow wire.Borrow
}

// AnswerBorrow answers a peer's question; a loan without parts means that nothing is idle.
type AnswerBorrow struct {
	Call uint64
	Loan wire.Loan
}

// SendReturn gives a loan back.
type SendReturn struct {
	To     fleet.EntryHostID
	Return wire.Return
}

// ShareLoad tells a peer which services need slots here, and what is idle here for the services that need slots there.
type ShareLoad struct {
	To   fleet.EntryHostID
	Load wire.Load
}

// StoreTxn asks for a store transaction.
type StoreTxn struct{ once.RunTxn }

// StoreLease asks for a store lease.
type StoreLease struct{ once.GrantLease }

func (Send) effect()         {}
func (Forward) effect()      {}
func (Cancel) effect()       {}
func (Answer) effect()       {}
func (Ejected) effect()      {}
func (SendBorrow) effect()   {}
func (AnswerBorrow) effect() {}
func (SendReturn) effect()   {}
func (ShareLoad) effect()    {}
func (StoreTxn) effect()     {}
func (StoreLease) effect()   {}
