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

// Time limits of store calls. A read that takes longer is repeated at the next poll.
const (
	readTimeout = time.Second
	txnTimeout  = 2 * time.Second
)

const errClosed = "the entry process is shutting down"

// Links sends one-way messages to other entry processes without blocking.
type PeerSender interface {
	Send(to fleet.EntryHostID, msg wire.Message) error
}

// Admin accepts changes of the configuration and keeps the documents in effect in this process.
type Admin struct {
	self  fleet.EntryHostID
	store store.Client
	links PeerSender
	log   *slog.Logger
	now   func() time.Time
	view  atomic.Pointer[view]

	running sync.WaitGroup

	mu          sync.Mutex
	ctx         context.Context
	closed      bool
	machine     *config.Machine
	nextToken   uint64
	waiting     map[uint64]chan config.Outcome
	stopWatch   context.CancelFunc
	subscribers []func(config.VersionedDocument)
}

// Option changes an [Admin] under construction.
type Option func(*Admin)

// WithClock replaces the clock, which must carry a monotonic reading.
func WithClock(now func() time.Time) Option {
	return func(a *Admin) { a.now = now }
}

// New returns the configuration part of the entry process self, which does nothing until [Admin.Run].
func New(self fleet.EntryHostID, client store.Client, links PeerSender, log *slog.Logger, opts ...Option) *Admin {
	a := &Admin{
		self: self, store: client, links: links, log: log, now: time.Now,
		ctx:       context.Background(),
		machine:   config.New(),
		waiting:   make(map[uint64]chan config.Outcome),
		stopWatch: func() {},
	}
	a.view.Store(&view{})
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Run follows the store and the peers until ctx ends; it returns nil.
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

// close ends the waiting changes, whose writes may be on their way, and waits for the store calls.
func (a *Admin) close() {
	a.mu.Lock()
	a.closed = true
	for token := range a.waiting {
		a.answer(config.ProposalFinished{Token: token, Outcome: config.OutcomeUnknown{Reason: errClosed}})
	}
	a.mu.Unlock()
	a.running.Wait()
}

// View returns the documents in effect.
func (a *Admin) View() config.View { return liveView{admin: a} }

// Subscribe adds a function that is called with each document that comes into effect, in order; it must not block or call
// this package. It is called first with the documents that are in effect already.
func (a *Admin) Subscribe(f func(config.VersionedDocument)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range a.view.Load().All() {
		f(v)
	}
	a.subscribers = append(a.subscribers, f)
}

// HandlePeer takes the configuration messages of peers and returns an answer to them, or nil for other messages.
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

// OnPeerUp reports a new link to a peer.
func (a *Admin) OnPeerUp(peer fleet.EntryHostID) { a.step(config.PeerUp{Peer: peer}) }

// OnPeerDown reports that the link to a peer broke.
func (a *Admin) OnPeerDown(peer fleet.EntryHostID) { a.step(config.PeerDown{Peer: peer}) }

// Loaded reports whether all documents of the store have been read once.
func (a *Admin) Loaded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.machine.Loaded()
}

// propose waits for the outcome of a change; if ctx ends first, the outcome is unknown.
func (a *Admin) propose(ctx context.Context, c config.Change) config.Outcome {
	outcome := make(chan config.Outcome, 1)
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return config.NotRun{Reason: errClosed}
	}
	a.nextToken++
	token := a.nextToken
	a.waiting[token] = outcome
	a.perform(a.machine.Step(a.now(), config.Propose{Token: token, Change: c}))
	a.mu.Unlock()
	select {
	case o := <-outcome:
		return o
	case <-ctx.Done():
		return config.OutcomeUnknown{Reason: ctx.Err().Error()}
	}
}

func (a *Admin) step(ev config.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.perform(a.machine.Step(a.now(), ev))
}
