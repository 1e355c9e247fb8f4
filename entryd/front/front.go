package front

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"lovagefork.example/coord/admit"
	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/serve"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
)

// Peers carries messages to the other entry processes; [peers.Mesh] implements it.
type Peers interface {
	Call(ctx context.Context, to fleet.EntryHostID, m wire.Message) (wire.Message, error)
	Send(to fleet.EntryHostID, m wire.Message) error
	LinkedPeers() []fleet.EntryHostID
}

// Deps are the parts of the process that a [Front] works with.
type Deps struct {
	Self   wire.Hello
	Roster []grant.Member
	Peers  Peers
	Store  store.Client
	Config config.View
	Log    *slog.Logger
}

// Defaults of the limits.
const (
	defaultBodyBytes   = 8 << 20
	defaultBufferBytes = 4 << 20
	defaultTotalBytes  = 256 << 20
	defaultDeadline    = 30 * time.Second
	maxDeadline        = 10 * time.Minute
	// defaultNotice is how long a draining process still takes requests, until the load balancer has seen it leave.
	defaultNotice = 2 * time.Second
	tickInterval  = 5 * time.Millisecond
	limitInterval = time.Second
	// recordPatience is how long a draining process waits for the store to take the outcomes of its claims.
	recordPatience = 2 * time.Second
)

// Front is the runtime of the request path in one entry process.
type Front struct {
	deps       Deps
	now        func() time.Time
	bodyLimit  int64
	answerHold int64
	bodies     *byteBudget
	notice     time.Duration
	machineOpt []serve.Option
	transports *transports

	mu       sync.Mutex
	machine  *serve.Machine
	nextID   uint64
	calls    map[uint64]*call
	attempts map[attemptKey]attempt
	loans    map[uint64]chan wire.Loan
}

type attemptKey struct {
	id      uint64
	attempt int
}

// Option changes a [Front] under construction.
type Option func(*Front)

// WithBodyLimits sets the largest request body, the largest answer that is checked before it is passed on, and the
// memory for request bodies of the process, all in bytes.
func WithBodyLimits(request, answer, total int64) Option {
	return func(f *Front) { f.bodyLimit, f.answerHold, f.bodies = request, answer, newByteBudget(total) }
}

// WithDrainNotice sets how long a draining process still takes new requests.
func WithDrainNotice(d time.Duration) Option { return func(f *Front) { f.notice = d } }

// WithMachine passes options to the reducer.
func WithServeOptions(opts ...serve.Option) Option {
	return func(f *Front) { f.machineOpt = append(f.machineOpt, opts...) }
}

// New returns a front that serves after [Front.ObserveFleet] and while [Front.Run] runs.
func New(deps Deps, opts ...Option) *Front {
	f := &Front{
		deps: deps, now: time.Now,
		bodyLimit: defaultBodyBytes, answerHold: defaultBufferBytes, bodies: newByteBudget(defaultTotalBytes),
		notice: defaultNotice, transports: newTransports(),
		calls: make(map[uint64]*call), attempts: make(map[attemptKey]attempt),
		loans: make(map[uint64]chan wire.Loan),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.machine = serve.New(serve.Config{
		Self: grant.Member{Host: deps.Self.EntryHost, Zone: deps.Self.Zone}, Boot: deps.Self.Boot,
		Roster: deps.Roster, Random: newRandom(),
	}, f.now(), f.machineOpt...)
	return f
}

func newRandom() *mathrand.Rand {
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// Register adds the callers' routes.
func (f *Front) Register(r *mux.Router) {
	r.HandleFunc("/v1/services/{customer}/{service}/requests/{path:.*}", f.handle)
}

// Run advances deadlines and loans until ctx ends.
func (f *Front) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	limits := time.NewTicker(limitInterval)
	defer limits.Stop()
	defer f.transports.close()
	f.refreshLimits()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			f.step(serve.Tick{})
		case <-limits.C:
			f.refreshLimits()
		}
	}
}

// refreshLimits takes the quotas in force. Each live entry process admits an equal part of a customer's rate.
func (f *Front) refreshLimits() {
	processes := float64(1 + len(f.deps.Peers.LinkedPeers()))
	customers := make(map[fleet.CustomerID]admit.Limit)
	for _, v := range f.deps.Config.All() {
		quota := v.Document.Quota
		customers[v.Document.Customer] = admit.Limit{
			Weight: quota.Weight, Rate: quota.RequestsPerSecond / processes,
		}
	}
	f.step(serve.LimitsReplaced{Customers: customers})
}

// ObserveFleet takes the workers as the process knows them now.
func (f *Front) ObserveFleet(workers []fleet.Worker) {
	f.step(serve.FleetObserved{Workers: workers})
	f.transports.keep(workers)
}

// ObserveEndpoints takes the places of replicas in one partition; an older version changes nothing.
func (f *Front) ObserveEndpoints(e wire.Endpoints) { f.step(serve.EndpointsObserved{Endpoints: e}) }

// Drain takes requests until the load balancer has noticed, then rejects new ones and returns when none is in flight or
// ctx ends.
func (f *Front) Drain(ctx context.Context) error {
	if err := sleep(ctx, f.notice); err != nil {
		return err
	}
	f.step(serve.DrainStarted{})
	for f.active() > 0 {
		if err := sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
	until := f.now().Add(recordPatience)
	for f.unrecorded() > 0 && f.now().Before(until) {
		if err := sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
	return nil
}

// Open reports whether requests may use this process's own share of slots, which a start delays by the life of a loan.
func (f *Front) OwnShareOpen() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.OwnShareOpen(f.now())
}

func (f *Front) unrecorded() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.UnrecordedOutcomes()
}

func (f *Front) active() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.ActiveRequests() + len(f.calls)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// step applies an event to the reducer and carries out its effects.
func (f *Front) step(ev serve.Event) {
	f.mu.Lock()
	effects := f.machine.Step(f.now(), ev)
	f.prepare(effects)
	f.mu.Unlock()
	for _, e := range effects {
		f.carryOut(e)
	}
}

// attempt is one try of a call, on a worker or at a peer.
type attempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	call   *call
}

// prepare registers attempts before another event can cancel them; the caller holds the lock.
func (f *Front) prepare(effects []serve.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case serve.Send:
			f.prepareAttempt(e.Request, e.Attempt)
		case serve.Forward:
			f.prepareAttempt(e.Request, e.Attempt)
		}
	}
}

func (f *Front) prepareAttempt(r serve.Request, number int) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	f.attempts[attemptKey{r.ID, number}] = attempt{ctx: ctx, cancel: cancel, call: f.calls[r.ID]}
}

// attemptOf returns a registered attempt, which has no call if its caller has gone.
func (f *Front) attemptOf(key attemptKey) attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempts[key]
}

func (f *Front) carryOut(e serve.Effect) {
	switch e := e.(type) {
	case serve.Send:
		f.deps.Log.Info("route: request sent", "request", e.Request.ID, "service", e.Request.Service,
			"class", e.Request.Class, "attempt", e.Attempt, "worker", e.Worker.ID, "reason", e.Reason)
		f.send(e)
	case serve.Forward:
		f.deps.Log.Info("route: request forwarded", "request", e.Request.ID, "service", e.Request.Service,
			"class", e.Request.Class, "attempt", e.Attempt, "peer", e.Peer, "reason", e.Reason)
		f.forward(e)
	case serve.Cancel:
		f.cancel(attemptKey{e.ID, e.Attempt})
	case serve.Response:
		f.answer(e)
	case serve.Ejected:
		f.deps.Log.Warn("route: worker ejected", "worker", e.Worker, "for", e.For, "reason", e.Reason)
	case serve.SendBorrow:
		f.sendBorrow(e)
	case serve.SendLoan:
		f.answerBorrow(e)
	case serve.SendReturn:
		f.sendReturn(e)
	case serve.SendLoad:
		// A lost report is made up for by the next one, 200 ms later.
		_ = f.deps.Peers.Send(e.To, e.Load)
	case serve.StoreTxn:
		f.runTxn(e)
	case serve.StoreLease:
		f.grantLease(e)
	}
}

func (f *Front) answer(e serve.Response) {
	f.mu.Lock()
	c := f.calls[e.ID]
	f.mu.Unlock()
	if c == nil {
		return
	}
	if e.Attempt == 0 {
		f.deps.Log.Info("admit: request rejected", "request", e.ID, "service", c.request.Service,
			"customer", c.request.Customer, "class", c.request.Class, "outcome", e.Outcome, "reason", e.Reason)
	}
	c.done <- e
}
