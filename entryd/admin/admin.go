package admin

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
)

// Timeouts of store calls. A read that times out is repeated at the next poll.
const (
	readTimeout = time.Second
	txnTimeout  = 2 * time.Second
)

// shutdownReason is the reason in the outcome of a change that a shutdown interrupts or prevents.
const shutdownReason = "the entry process is shutting down"

// PeerSender sends one-way messages to other entry processes without blocking.
type PeerSender interface {
	Send(to fleet.EntryHostID, msg wire.Message) error
}

// Admin accepts changes of the configuration and holds the documents in effect in this process. It runs the effects of
// a [config.Machine].
type Admin struct {
	self     fleet.EntryHostID
	store    store.Client
	peers    PeerSender
	log      *slog.Logger
	now      func() time.Time
	snapshot atomic.Pointer[snapshot]

	storeCalls sync.WaitGroup

	mu               sync.Mutex
	ctx              context.Context
	closed           bool
	machine          *config.Machine
	nextToken        uint64
	pendingProposals map[uint64]chan config.Outcome
	stopWatch        context.CancelFunc
	subscribers      []func(config.VersionedDocument)
}

// Option changes an [Admin] under construction.
type Option func(*Admin)

// WithClock replaces the clock, which must carry a monotonic reading.
func WithClock(now func() time.Time) Option {
	return func(a *Admin) { a.now = now }
}

// New returns an Admin for the entry process self. It follows the store only while [Admin.Run] runs.
func New(self fleet.EntryHostID, client store.Client, peers PeerSender, log *slog.Logger, opts ...Option) *Admin {
	a := &Admin{
		self: self, store: client, peers: peers, log: log, now: time.Now,
		ctx:              context.Background(),
		machine:          config.New(),
		pendingProposals: make(map[uint64]chan config.Outcome),
		stopWatch:        func() {},
	}
	a.snapshot.Store(&snapshot{})
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Run keeps the documents in sync with the store and the peers until ctx ends, then waits for running store calls and
// returns nil.
func (a *Admin) Run(ctx context.Context) error {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	ticker := time.NewTicker(config.TickInterval)
	defer ticker.Stop()
	for {
		a.step(config.Tick{})
		select {
		case <-ctx.Done():
			a.close()
			return nil
		case <-ticker.C:
		}
	}
}

// close finishes pending changes with an unknown outcome, since their writes may still take effect, and waits for
// running store calls.
func (a *Admin) close() {
	a.mu.Lock()
	a.closed = true
	for token := range a.pendingProposals {
		a.finishProposal(config.ProposalFinished{Token: token, Outcome: config.OutcomeUnknown{Reason: shutdownReason}})
	}
	a.mu.Unlock()
	a.storeCalls.Wait()
}

// View returns a view of the documents in effect, which follows later changes.
func (a *Admin) View() config.View { return currentView{admin: a} }

// Subscribe adds a function that is called with each document that comes into effect, in order. It is called with the
// documents already in effect before Subscribe returns. It must not block or call this package, since a lock is held.
func (a *Admin) Subscribe(f func(config.VersionedDocument)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range a.snapshot.Load().All() {
		f(v)
	}
	a.subscribers = append(a.subscribers, f)
}

// HandlePeer handles the configuration messages of peers and returns an acknowledgement, or nil for other messages.
func (a *Admin) HandlePeer(_ context.Context, from fleet.EntryHostID, m wire.Message) wire.Message {
	switch m := m.(type) {
	case wire.ConfigDoc:
		a.step(config.DocsReceived{From: from, Documents: m.Documents})
	case wire.ConfigState:
		a.step(config.StateReceived{From: from, State: config.State(m)})
	default:
		return nil
	}
	return wire.Ack{}
}

// OnPeerUp starts exchanging documents with a peer; it is called when a link to the peer comes up.
func (a *Admin) OnPeerUp(peer fleet.EntryHostID) { a.step(config.PeerUp{Peer: peer}) }

// OnPeerDown is called when the link to a peer goes down.
func (a *Admin) OnPeerDown(peer fleet.EntryHostID) { a.step(config.PeerDown{Peer: peer}) }

// Loaded reports whether all documents have been read from the store at least once.
func (a *Admin) Loaded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Loaded()
}

// propose submits a change and returns its outcome, which is unknown if ctx ends first.
func (a *Admin) propose(ctx context.Context, c config.Change) config.Outcome {
	outcome := make(chan config.Outcome, 1)
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return config.NotRun{Reason: shutdownReason}
	}
	a.nextToken++
	token := a.nextToken
	a.pendingProposals[token] = outcome
	a.perform(a.machine.Step(a.now(), config.Propose{Token: token, Change: c}))
	a.mu.Unlock()
	select {
	case o := <-outcome:
		return o
	case <-ctx.Done():
		return config.OutcomeUnknown{Reason: ctx.Err().Error()}
	}
}

// step applies an event to the state machine and executes its effects.
func (a *Admin) step(ev config.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.perform(a.machine.Step(a.now(), ev))
}
