package serve

import (
	"time"

	"lovagefork.example/coord/admit"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/once"
	"lovagefork.example/coord/wire"
)

// Outcome is the result of a request as reported to its caller.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeRan means that a backend server returned a response.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that no byte of the request reached a backend server.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// Request holds the attributes of a caller's request, without its body.
type Request struct {
	ID            uint64
	Key           fleet.RequestID
	Service       fleet.ServiceID
	Customer      fleet.CustomerID
	Class         fleet.Class
	Deadline      time.Time
	NonIdempotent bool
	// Content is a hash that is equal for equal requests.
	Content uint64
	// Forwarded is set if another entry process has admitted and claimed the request. It is sent immediately or refused,
	// and never queued here.
	Forwarded bool
}

// Result classifies the end of an attempt.
type Result int

// The results of an attempt.
const (
	// ResultCompleted means that the whole response arrived.
	ResultCompleted Result = iota
	// ResultNotSent means that no byte reached the backend server.
	ResultNotSent
	// ResultInterrupted means that the request was sent at least in part and no complete response arrived.
	ResultInterrupted
)

// Event is an input of a [Machine].
type Event interface{ event() }

// Arrived reports a new request.
type Arrived struct{ Request Request }

// AttemptEnded reports the end of an attempt that [Send] started; Latency is measured from the first byte sent.
type AttemptEnded struct {
	ID      uint64
	Attempt int
	Result  Result
	Status  int
	Latency time.Duration
}

// StreamStarted reports that the response is too long to be buffered and is streamed to the caller.
type StreamStarted struct {
	ID      uint64
	Attempt int
	Status  int
}

// ForwardEnded reports the peer's outcome of a request that [Forward] sent to it.
type ForwardEnded struct {
	ID      uint64
	Attempt int
	Outcome Outcome
	Reason  string
	Status  int
}

// CallerDisconnected reports that the caller no longer waits for the response.
type CallerDisconnected struct{ ID uint64 }

// FleetObserved replaces the list of workers.
type FleetObserved struct{ Workers []fleet.Worker }

// EndpointsObserved lists the workers that run the replicas of one partition's services.
type EndpointsObserved struct{ Endpoints wire.Endpoints }

// LoadReceived delivers a peer's report of its idle slots and of the services that it needs slots for.
type LoadReceived struct {
	From fleet.EntryHostID
	Load wire.LoadReport
}

// BorrowReceived delivers a peer's request for a loan, which [SendLoan] answers with the same Call.
type BorrowReceived struct {
	Call   uint64
	From   fleet.EntryHostID
	Borrow wire.BorrowRequest
}

// LoanReceived delivers the peer's response to [SendBorrow] with the same Call.
type LoanReceived struct {
	Call uint64
	Loan wire.Loan
}

// BorrowFailed reports that [SendBorrow] with the same Call got no response.
type BorrowFailed struct{ Call uint64 }

// ReturnReceived reports that a peer returned a loan, or a part of it.
type ReturnReceived struct {
	From   fleet.EntryHostID
	Return wire.LoanReturn
}

// StoreTxnEnded reports the result of [StoreTxn].
type StoreTxnEnded struct{ once.TxnEnded }

// StoreLeaseEnded reports the result of [StoreLease].
type StoreLeaseEnded struct{ once.GrantLeaseEnded }

// LimitsReplaced replaces the rate limits and weights of all customers.
type LimitsReplaced struct {
	Customers map[fleet.CustomerID]admit.Limit
}

// DrainStarted starts the drain of the process: all later requests are rejected.
type DrainStarted struct{}

// Tick processes expired deadlines and loans; it must be delivered at least every 50 ms.
type Tick struct{}

func (Arrived) event()            {}
func (AttemptEnded) event()       {}
func (StreamStarted) event()      {}
func (ForwardEnded) event()       {}
func (CallerDisconnected) event() {}
func (FleetObserved) event()      {}
func (EndpointsObserved) event()  {}
func (LoadReceived) event()       {}
func (BorrowReceived) event()     {}
func (LoanReceived) event()       {}
func (BorrowFailed) event()       {}
func (ReturnReceived) event()     {}
func (StoreTxnEnded) event()      {}
func (StoreLeaseEnded) event()    {}
func (LimitsReplaced) event()     {}
func (DrainStarted) event()       {}
func (Tick) event()               {}

// Effect is an output of a [Machine].
type Effect interface{ effect() }

// Send starts an attempt on a worker, which must end before the deadline of the request.
type Send struct {
	Request Request
	Attempt int
	Worker  fleet.Worker
	// KeepAlive allows reuse of an idle connection, and keeping the connection open afterwards.
	KeepAlive bool
	// Connections is the maximum number of open connections to the worker if KeepAlive is set.
	Connections int
	Reason      string
}

// Forward sends the request to a peer, which runs it on one of its own slots.
type Forward struct {
	Request Request
	Attempt int
	Peer    fleet.EntryHostID
	Reason  string
}

// Cancel aborts an attempt whose caller has disconnected.
type Cancel struct {
	ID      uint64
	Attempt int
}

// Response ends a request. Attempt is the number of the attempt whose response is passed to the caller. If it is zero,
// no backend server responded, and Status is the HTTP status to return.
type Response struct {
	ID         uint64
	Attempt    int
	Outcome    Outcome
	Reason     string
	Status     int
	RetryAfter time.Duration
}

// Ejected reports that a worker gets no requests for the duration For.
type Ejected struct {
	Worker fleet.WorkerID
	For    time.Duration
	Reason string
}

// SendBorrow requests a loan of slots from a peer; [LoanReceived] or [BorrowFailed] with the same Call ends it.
type SendBorrow struct {
	Call   uint64
	To     fleet.EntryHostID
	Borrow wire.BorrowRequest
}

// SendLoan answers [BorrowReceived] with the same Call; a loan without parts means that no slot is idle.
type SendLoan struct {
	Call uint64
	Loan wire.Loan
}

// SendReturn returns a loan, or a part of it, to the lender.
type SendReturn struct {
	To     fleet.EntryHostID
	Return wire.LoanReturn
}

// SendLoad reports to a peer the services that need slots here, and the idle slots here for the services that the peer
// needs slots for.
type SendLoad struct {
	To   fleet.EntryHostID
	Load wire.LoadReport
}

// StoreTxn runs a store transaction; [StoreTxnEnded] reports its result.
type StoreTxn struct{ once.RunTxn }

// StoreLease requests a store lease; [StoreLeaseEnded] reports its result.
type StoreLease struct{ once.GrantLease }

func (Send) effect()       {}
func (Forward) effect()    {}
func (Cancel) effect()     {}
func (Response) effect()   {}
func (Ejected) effect()    {}
func (SendBorrow) effect() {}
func (SendLoan) effect()   {}
func (SendReturn) effect() {}
func (SendLoad) effect()   {}
func (StoreTxn) effect()   {}
func (StoreLease) effect() {}
