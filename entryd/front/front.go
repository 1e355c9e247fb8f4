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

// Peers sends messages to the other entry processes; [peers.Mesh] implements it.
type Peers interface {
	Call(ctx context.Context, to fleet.EntryHostID, m wire.Message) (wire.Message, error)
	Send(to fleet.EntryHostID, m wire.Message) error
	LinkedPeers() []fleet.EntryHostID
}

// Deps holds the dependencies of a [Front].
type Deps struct {
	Self   wire.Hello
	Roster []grant.Member
	Peers  Peers
	Store  store.Client
	Config config.View
	Log    *slog.Logger
}

// Default limits and intervals.
const (
	defaultMaxBodyBytes     = 8 << 20
	defaultMaxBufferedBytes = 4 << 20
	defaultBodyMemoryBytes  = 256 << 20
	defaultDeadline         = 30 * time.Second
	maxDeadline             = 10 * time.Minute
	// defaultDrainNotice is how long a draining process still accepts requests, so that the load balancer can detect
	// the drain first.
	defaultDrainNotice   = 2 * time.Second
	tickInterval         = 5 * time.Millisecond
	limitRefreshInterval = time.Second
	// recordTimeout is how long a draining process waits until the outcomes of its claims are stored.
	recordTimeout = 2 * time.Second
)

// Front runs the request path of an entry process: it executes the effects of a [serve.Machine].
type Front struct {
	deps             Deps
	now              func() time.Time
	maxBodyBytes     int64
	maxBufferedBytes int64
	bodyMemory       *byteBudget
	drainNotice      time.Duration
	serveOpts        []serve.Option
	transports       *transports

	mu             sync.Mutex
	machine        *serve.Machine
	nextID         uint64
	calls          map[uint64]*call
	attempts       map[attemptKey]attempt
	pendingBorrows map[uint64]chan wire.Loan
}

type attemptKey struct {
	id      uint64
	attempt int
}

// Option changes a [Front] under construction.
type Option func(*Front)

// WithBodyLimits sets the largest request body, the largest response that is buffered whole before it is passed on, and
// the memory for all request bodies of the process, all in bytes.
func WithBodyLimits(request, response, total int64) Option {
	return func(f *Front) {
		f.maxBodyBytes, f.maxBufferedBytes, f.bodyMemory = request, response, newByteBudget(total)
	}
}

// WithDrainNotice sets how long a draining process still accepts new requests.
func WithDrainNotice(d time.Duration) Option { return func(f *Front) { f.drainNotice = d } }

// WithServeOptions passes options to the state machine.
func WithServeOptions(opts ...serve.Option) Option {
	return func(f *Front) { f.serveOpts = append(f.serveOpts, opts...) }
}

// New returns a Front. It serves requests while [Front.Run] runs, after workers are set with [Front.ObserveFleet].
func New(deps Deps, opts ...Option) *Front {
	f := &Front{
		deps: deps, now: time.Now,
		maxBodyBytes: defaultMaxBodyBytes, maxBufferedBytes: defaultMaxBufferedBytes,
		bodyMemory:  newByteBudget(defaultBodyMemoryBytes),
		drainNotice: defaultDrainNotice, transports: newTransports(),
		calls: make(map[uint64]*call), attempts: make(map[attemptKey]attempt),
		pendingBorrows: make(map[uint64]chan wire.Loan),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.machine = serve.New(serve.Config{
		Self: grant.Member{Host: deps.Self.EntryHost, Zone: deps.Self.Zone}, Boot: deps.Self.Boot,
		Roster: deps.Roster, Random: newRandom(),
	}, f.now(), f.serveOpts...)
	return f
}

func newRandom() *mathrand.Rand {
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// Register adds the route of callers' requests.
func (f *Front) Register(r *mux.Router) {
	r.HandleFunc("/v1/services/{customer}/{service}/requests/{path:.*}", f.handle)
}

// Run sends clock ticks to the state machine and refreshes the customers' limits until ctx ends, and returns the error
// of ctx.
func (f *Front) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	limits := time.NewTicker(limitRefreshInterval)
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

// refreshLimits applies the quotas in effect. This process and each linked peer admit an equal part of a
// customer's rate.
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

// ObserveFleet replaces the list of workers.
func (f *Front) ObserveFleet(workers []fleet.Worker) {
	f.step(serve.FleetObserved{Workers: workers})
	f.transports.closeUnavailable(workers)
}

// ObserveEndpoints replaces the replica endpoints of one partition, unless they have an older version.
func (f *Front) ObserveEndpoints(e wire.Endpoints) { f.step(serve.EndpointsObserved{Endpoints: e}) }

// Drain accepts requests for the drain notice, then rejects new ones. It returns nil when no request is in flight and
// the outcomes of claims are stored, for which it waits at most recordTimeout, or the error of ctx when ctx ends.
func (f *Front) Drain(ctx context.Context) error {
	if err := sleep(ctx, f.drainNotice); err != nil {
		return err
	}
	f.step(serve.DrainStarted{})
	for f.activeRequests() > 0 {
		if err := sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
	recordDeadline := f.now().Add(recordTimeout)
	for f.unrecordedOutcomes() > 0 && f.now().Before(recordDeadline) {
		if err := sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
	return nil
}

// OwnShareOpen reports whether requests may use this process's own share of slots. After a start, the share stays
// closed for the lifetime of a loan.
func (f *Front) OwnShareOpen() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.OwnShareOpen(f.now())
}

func (f *Front) unrecordedOutcomes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.UnrecordedOutcomes()
}

func (f *Front) activeRequests() int {
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

// step applies an event to the state machine and executes its effects.
func (f *Front) step(ev serve.Event) {
	f.mu.Lock()
	effects := f.machine.Step(f.now(), ev)
	f.registerAttempts(effects)
	f.mu.Unlock()
	for _, e := range effects {
		f.execute(e)
	}
}

// attempt is one execution of a call on a worker or at a peer.
type attempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	call   *call
}

// registerAttempts registers attempts before another event can cancel them; f.mu must be held.
func (f *Front) registerAttempts(effects []serve.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case serve.Send:
			f.registerAttempt(e.Request, e.Attempt)
		case serve.Forward:
			f.registerAttempt(e.Request, e.Attempt)
		}
	}
}

func (f *Front) registerAttempt(r serve.Request, number int) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	f.attempts[attemptKey{r.ID, number}] = attempt{ctx: ctx, cancel: cancel, call: f.calls[r.ID]}
}

// findAttempt returns a registered attempt; its call is nil if the caller has disconnected.
func (f *Front) findAttempt(key attemptKey) attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempts[key]
}

func (f *Front) execute(e serve.Effect) {
	switch e := e.(type) {
	case serve.Send:
		f.deps.Log.Info("route: request sent", "request", e.Request.ID, "service", e.Request.Service,
			"class", e.Request.Class, "attempt", e.Attempt, "worker", e.Worker.ID, "reason", e.Reason)
		f.startAttempt(e)
	case serve.Forward:
		f.deps.Log.Info("route: request forwarded", "request", e.Request.ID, "service", e.Request.Service,
			"class", e.Request.Class, "attempt", e.Attempt, "peer", e.Peer, "reason", e.Reason)
		f.forward(e)
	case serve.Cancel:
		f.cancelAttempt(attemptKey{e.ID, e.Attempt})
	case serve.Response:
		f.deliverResponse(e)
	case serve.Ejected:
		f.deps.Log.Warn("route: worker ejected", "worker", e.Worker, "for", e.For, "reason", e.Reason)
	case serve.SendBorrow:
		f.sendBorrow(e)
	case serve.SendLoan:
		f.deliverLoan(e)
	case serve.SendReturn:
		f.sendReturn(e)
	case serve.SendLoad:
		// A lost report is replaced by the next one, 200 ms later.
		_ = f.deps.Peers.Send(e.To, e.Load)
	case serve.StoreTxn:
		f.runTxn(e)
	case serve.StoreLease:
		f.grantLease(e)
	}
}

// deliverResponse passes a response to the handler of its call.
func (f *Front) deliverResponse(e serve.Response) {
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
	c.result <- e
}
