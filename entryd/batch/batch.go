package batch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/lease"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/place"
	"lovagefork.example/coord/plat"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
)

// Timeouts of calls.
const (
	storeTimeout = 2 * time.Second
	readTimeout  = 5 * time.Second
	agentTimeout = 3 * time.Second
	stopTimeout  = 10 * time.Second
	callTimeout  = 5 * time.Second
	watchRetry   = time.Second
	recoverRetry = 500 * time.Millisecond
	shareEvery   = 400 * time.Millisecond
	// granterDelay lets a new granter hear of every partition before it grants anything.
	granterDelay    = 3 * time.Second
	releaseTimeout  = 2 * time.Second
	drainPoll       = 20 * time.Millisecond
	snapshotRetries = 5
)

// Links is the part of the peer mesh that the runtime uses.
type Peers interface {
	Call(ctx context.Context, to fleet.EntryHostID, msg wire.Message) (wire.Message, error)
	Send(to fleet.EntryHostID, msg wire.Message) error
	Broadcast(msg wire.Message)
}

// Budget learns from the session how many processes share the store.
type Budget interface {
	SetSessionEnd(until time.Time)
	SetMemberCount(count int)
}

// noBudget is used by a runtime whose store client has no budget.
type noBudget struct{}

func (noBudget) SetSessionEnd(time.Time) {}
func (noBudget) SetMemberCount(int)      {}

// Deps is what the runtime works with.
type Deps struct {
	Self       wire.Hello
	Partitions []fleet.PartitionID
	PartitionsPerZone    int
	Store      store.Client
	Agent      plat.Agent
	Peers      Peers
	Log        *slog.Logger
}

// Runtime drives the reducers of lease, ledger and jobs; its methods are safe for concurrent use.
type Runtime struct {
	Deps
	onEndpoints func(wire.Endpoints)
	newPlacer   func() *place.Machine
	horizon     time.Duration
	budget      Budget

	mu         sync.Mutex
	ctx        context.Context
	lease      *lease.Machine
	ledger     *ledger.Machine
	parts      map[fleet.PartitionID]*part
	recovering map[fleet.PartitionID]fleet.Epoch
	workers    map[fleet.WorkerID]fleet.Worker
	observed   bool
	configs    map[fleet.CustomerID]config.VersionedDocument
	inboxes    map[string]inboxItem
	usage      map[fleet.PartitionID]accounts
	sentUsage  map[usageTo]accounts
	homes      map[fleet.CustomerID]fleet.PartitionID
	published  map[fleet.PartitionID]wire.Endpoints
	nextShare  time.Time
	granters   map[fleet.CustomerID]*granter
	nextCall   uint64
	waiting    map[uint64]waiter
	wg         sync.WaitGroup
}

// part is an owned partition.
type part struct {
	id         fleet.PartitionID
	epoch      fleet.Epoch
	ownerValue []byte
	machine    *jobs.Machine
	// accounts are those of the last share of usage.
	accounts map[fleet.CustomerID]jobs.QuotaUsage
	head     []byte
	// closed is set when the ledger refuses commits; running tasks are renewed until the lease machine decides.
	closed bool
	// stepping stops claims before a release, and silent stops renewals before the release of a drain.
	stepping   bool
	silent     bool
	compacting bool
	renewals   int
}

type inboxItem struct {
	partition fleet.PartitionID
	job       ledger.JobSubmitted
}

// Option changes a [Runtime] under construction.
type Option func(*Runtime)

// WithOnEndpoints sets a function that is called with the replicas of every partition, of this process and of peers.
func WithOnEndpoints(f func(wire.Endpoints)) Option {
	return func(r *Runtime) { r.onEndpoints = f }
}

// WithPolicy sets the placement policy; the default is [place.Interference].
func WithPolicy(p place.Policy, opts ...place.Option) Option {
	return func(r *Runtime) { r.newPlacer = func() *place.Machine { return place.New(p, opts...) } }
}

// WithOutageHorizon replaces [lease.OutageHorizon]; all processes must use the same value.
func WithOutageHorizon(d time.Duration) Option {
	return func(r *Runtime) { r.horizon = d }
}

// WithBudget passes the state of the session to the budget of the store client.
func WithBudget(b Budget) Option {
	return func(r *Runtime) { r.budget = b }
}

// New returns a runtime that does nothing before [Runtime.Run].
func New(deps Deps, opts ...Option) *Runtime {
	r := &Runtime{
		Deps:        deps,
		onEndpoints: func(wire.Endpoints) {},
		newPlacer:   func() *place.Machine { return place.New(place.Interference{}) },
		horizon:     lease.OutageHorizon,
		budget:      noBudget{},
		ledger:      ledger.New(),
		parts:       make(map[fleet.PartitionID]*part),
		recovering:  make(map[fleet.PartitionID]fleet.Epoch),
		workers:     make(map[fleet.WorkerID]fleet.Worker),
		configs:     make(map[fleet.CustomerID]config.VersionedDocument),
		inboxes:     make(map[string]inboxItem),
		granters:    make(map[fleet.CustomerID]*granter),
		usage:       make(map[fleet.PartitionID]accounts),
		sentUsage:   make(map[usageTo]accounts),
		homes:       make(map[fleet.CustomerID]fleet.PartitionID),
		published:   make(map[fleet.PartitionID]wire.Endpoints),
		waiting:     make(map[uint64]waiter),
	}
	for _, opt := range opts {
		opt(r)
	}
	self := lease.Member{EntryHost: deps.Self.EntryHost, Boot: deps.Self.Boot, Zone: deps.Self.Zone}
	r.lease = lease.New(self, deps.Partitions, lease.WithOutageHorizon(r.horizon))
	return r
}

// Run drives the runtime until ctx ends; the session is then left to lapse unless [Runtime.Drain] has ended it.
func (r *Runtime) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.wg.Wait()
	defer cancel()
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	r.wg.Go(func() { r.watchLoop(ctx, lease.PartitionsPrefix, r.ownersChanged) })
	r.wg.Go(func() { r.watchLoop(ctx, inboxRoot, r.inboxChanged) })
	ticker := time.NewTicker(ledger.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.tick()
		}
	}
}

func (r *Runtime) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.stepLease(now, lease.Tick{})
	r.shareUsage(now)
	for _, id := range r.Partitions {
		if p := r.parts[id]; p != nil {
			r.feedInbox(now, p)
			r.stepJobs(now, p, jobs.Tick{})
		}
	}
	r.stepLedger(now, ledger.Tick{})
}

// spawn runs a call outside the lock; it must be called under the lock while Run is active.
func (r *Runtime) spawn(timeout time.Duration, call func(ctx context.Context)) {
	if r.ctx == nil || r.ctx.Err() != nil {
		return
	}
	ctx := r.ctx
	r.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		call(ctx)
	})
}

// ObserveFleet takes the live and leaving workers of the host list.
func (r *Runtime) ObserveFleet(workers []fleet.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	old := r.workers
	r.workers = make(map[fleet.WorkerID]fleet.Worker, len(workers))
	r.observed = true
	for _, w := range workers {
		r.workers[w.ID] = w
	}
	capacities := r.capacities()
	for _, p := range r.parts {
		r.stepJobs(now, p, jobs.Capacities{Workers: capacities})
		for id, w := range r.workers {
			if old[id] != w && fleet.PartitionOf(w, r.PartitionsPerZone) == p.id {
				r.stepJobs(now, p, jobs.WorkerListed{Worker: w})
			}
		}
		for id, w := range old {
			if _, listed := r.workers[id]; !listed && fleet.PartitionOf(w, r.PartitionsPerZone) == p.id {
				r.stepJobs(now, p, jobs.WorkerUnlisted{ID: id})
			}
		}
	}
}

// capacities lists the distinct sizes of the live workers of each partition.
func (r *Runtime) capacities() map[fleet.PartitionID][]fleet.Resources {
	seen := make(map[fleet.PartitionID]map[fleet.Resources]bool)
	all := make(map[fleet.PartitionID][]fleet.Resources)
	for _, w := range r.workers {
		p := fleet.PartitionOf(w, r.PartitionsPerZone)
		if w.State != fleet.HostLive || seen[p][w.Capacity] {
			continue
		}
		if seen[p] == nil {
			seen[p] = make(map[fleet.Resources]bool)
		}
		seen[p][w.Capacity] = true
		all[p] = append(all[p], w.Capacity)
	}
	return all
}

// ObserveConfig takes a version of a customer's document; an older one than the last changes nothing.
func (r *Runtime) ObserveConfig(doc config.VersionedDocument) {
	r.mu.Lock()
	defer r.mu.Unlock()
	customer := doc.Document.Customer
	if old, known := r.configs[customer]; known && doc.Revision <= old.Revision {
		return
	}
	r.configs[customer] = doc
	now := time.Now()
	for _, p := range r.parts {
		r.stepJobs(now, p, r.configured(doc, p.id))
	}
}

func (r *Runtime) configured(doc config.VersionedDocument, p fleet.PartitionID) jobs.Configured {
	return jobs.Configured{Document: doc, Services: jobs.Services(doc, p, r.Partitions)}
}

// OnPeerUp sends the endpoints of the own partitions to a newly linked peer, which otherwise waits for the next repeat.
func (r *Runtime) OnPeerUp(peer fleet.EntryHostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.published {
		if p := r.parts[id]; p != nil && p.epoch == e.Epoch {
			_ = r.Peers.Send(peer, e)
		}
	}
}

// Drain releases every partition and ends the session, so that other processes take over at once.
func (r *Runtime) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.stepLease(time.Now(), lease.Drain{})
	r.mu.Unlock()
	for {
		r.mu.Lock()
		left, id := len(r.parts)+len(r.recovering), r.lease.Lease()
		r.mu.Unlock()
		if left == 0 {
			if id == 0 {
				return nil
			}
			return r.Store.Revoke(ctx, id)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPoll):
		}
	}
}
