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

// Timeouts, intervals and retry limits.
const (
	storeTimeout        = 2 * time.Second
	readTimeout         = 5 * time.Second
	agentTimeout        = 3 * time.Second
	stopTimeout         = 10 * time.Second
	callTimeout         = 5 * time.Second
	watchRetryDelay     = time.Second
	storeRetryDelay     = 500 * time.Millisecond
	quotaUpdateInterval = 400 * time.Millisecond
	// quotaAllocationDelay is how long a new allocator collects the usage of all partitions before its first grant.
	quotaAllocationDelay = 3 * time.Second
	releaseTimeout       = 2 * time.Second
	// drainPollInterval is how often a drain or release checks whether pending work has finished.
	drainPollInterval = 20 * time.Millisecond
	// snapshotAttempts times storeTimeout bounds the writing of one snapshot.
	snapshotAttempts = 5
)

// Peers is the part of the peer mesh that the runtime uses: it sends messages to other entry processes.
type Peers interface {
	Call(ctx context.Context, to fleet.EntryHostID, msg wire.Message) (wire.Message, error)
	Send(to fleet.EntryHostID, msg wire.Message) error
	Broadcast(msg wire.Message)
}

// Budget is the rate limit of the store client. The runtime reports to it the end of its session and the number of
// processes that share the store.
type Budget interface {
	SetSessionEnd(until time.Time)
	SetMemberCount(count int)
}

// noBudget is the default [Budget], for a store client without a rate limit; it ignores all reports.
type noBudget struct{}

func (noBudget) SetSessionEnd(time.Time) {}
func (noBudget) SetMemberCount(int)      {}

// Deps holds the identity, the partitions and the clients of a [Runtime].
type Deps struct {
	Self              wire.Hello
	Partitions        []fleet.PartitionID
	PartitionsPerZone int
	Store             store.Client
	Agent             plat.Agent
	Peers             Peers
	Log               *slog.Logger
}

// Runtime feeds events to the state machines of [lease], [ledger] and [jobs] and carries out their effects.
// Its methods are safe for concurrent use.
type Runtime struct {
	Deps
	onEndpoints   func(wire.Endpoints)
	newPlacer     func() *place.Machine
	outageHorizon time.Duration
	budget        Budget

	mu                 sync.Mutex
	ctx                context.Context
	lease              *lease.Machine
	ledger             *ledger.Machine
	ownedPartitions    map[fleet.PartitionID]*ownedPartition
	recoveryEpochs     map[fleet.PartitionID]fleet.Epoch // partitions whose ledger is being read
	workers            map[fleet.WorkerID]fleet.Worker
	fleetObserved      bool // set once a host list has been received
	configs            map[fleet.CustomerID]config.VersionedDocument
	inbox              map[string]inboxEntry                // by store key
	peerUsage          map[fleet.PartitionID]partitionUsage // newest usage received from peers
	sentUsage          map[usageStream]partitionUsage
	customerHomes      map[fleet.CustomerID]fleet.PartitionID // cache of customerHome
	publishedEndpoints map[fleet.PartitionID]wire.Endpoints   // last endpoints of own partitions
	nextQuotaUpdate    time.Time
	allocators         map[fleet.CustomerID]*quotaAllocator
	lastCallID         uint64
	pendingCalls       map[uint64]pendingCall
	wg                 sync.WaitGroup
}

// ownedPartition is the state of a partition that this process owns under one epoch.
type ownedPartition struct {
	id         fleet.PartitionID
	epoch      fleet.Epoch
	ownerValue []byte
	machine    *jobs.Machine
	// quotaUsage is the usage at the last quota update.
	quotaUsage map[fleet.CustomerID]jobs.QuotaUsage
	// snapshotHead is the head entry in the store, which names the latest snapshot.
	snapshotHead []byte
	// ledgerClosed is set after the store refused a commit. Task leases are still renewed until the lease machine
	// reports the partition as lost.
	ledgerClosed bool
	// releasing is set before a release and stops changes to the partition.
	releasing bool
	// renewalsStopped is set before a release by a drain and also stops the renewal of task leases.
	renewalsStopped bool
	compacting      bool
	pendingRenewals int
}

// inboxEntry is a job that another partition has passed on to this one through the store.
type inboxEntry struct {
	partition fleet.PartitionID
	revision  store.Revision
	job       ledger.JobSubmitted
	// discarding is set while the entry is being deleted because it was received before.
	discarding bool
}

// Option changes a [Runtime] under construction.
type Option func(*Runtime)

// WithOnEndpoints sets a function that receives the service endpoints of every partition, whether owned by this process
// or by a peer.
func WithOnEndpoints(f func(wire.Endpoints)) Option {
	return func(r *Runtime) { r.onEndpoints = f }
}

// WithPolicy sets the placement policy; the default is [place.Interference].
func WithPolicy(p place.Policy, opts ...place.Option) Option {
	return func(r *Runtime) { r.newPlacer = func() *place.Machine { return place.New(p, opts...) } }
}

// WithOutageHorizon replaces [lease.OutageHorizon]; all processes must use the same value.
func WithOutageHorizon(d time.Duration) Option {
	return func(r *Runtime) { r.outageHorizon = d }
}

// WithBudget sets the [Budget] that receives the end of the session and the number of processes.
func WithBudget(b Budget) Option {
	return func(r *Runtime) { r.budget = b }
}

// New returns a runtime that does nothing until [Runtime.Run] is called.
func New(deps Deps, opts ...Option) *Runtime {
	r := &Runtime{
		Deps:               deps,
		onEndpoints:        func(wire.Endpoints) {},
		newPlacer:          func() *place.Machine { return place.New(place.Interference{}) },
		outageHorizon:      lease.OutageHorizon,
		budget:             noBudget{},
		ledger:             ledger.New(),
		ownedPartitions:    make(map[fleet.PartitionID]*ownedPartition),
		recoveryEpochs:     make(map[fleet.PartitionID]fleet.Epoch),
		workers:            make(map[fleet.WorkerID]fleet.Worker),
		configs:            make(map[fleet.CustomerID]config.VersionedDocument),
		inbox:              make(map[string]inboxEntry),
		allocators:         make(map[fleet.CustomerID]*quotaAllocator),
		peerUsage:          make(map[fleet.PartitionID]partitionUsage),
		sentUsage:          make(map[usageStream]partitionUsage),
		customerHomes:      make(map[fleet.CustomerID]fleet.PartitionID),
		publishedEndpoints: make(map[fleet.PartitionID]wire.Endpoints),
		pendingCalls:       make(map[uint64]pendingCall),
	}
	for _, opt := range opts {
		opt(r)
	}
	self := lease.Member{EntryHost: deps.Self.EntryHost, Boot: deps.Self.Boot, Zone: deps.Self.Zone}
	r.lease = lease.New(self, deps.Partitions, lease.WithOutageHorizon(r.outageHorizon))
	return r
}

// Run handles events until ctx ends and then returns nil. The session is left to expire in the store, unless
// [Runtime.Drain] has ended it.
func (r *Runtime) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.wg.Wait()
	defer cancel()
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	r.wg.Go(func() { r.watchLoop(ctx, lease.PartitionsPrefix, r.ownersChanged) })
	r.wg.Go(func() { r.watchLoop(ctx, inboxPrefix, r.inboxChanged) })
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
	r.updateQuotas(now)
	for _, id := range r.Partitions {
		if p := r.ownedPartitions[id]; p != nil {
			r.deliverInbox(now, p)
			r.stepJobs(now, p, jobs.Tick{})
		}
	}
	r.stepLedger(now, ledger.Tick{})
}

// spawn runs call in a goroutine, without the lock and with a timeout. The caller must hold the lock. Unless Run is
// active, the call is dropped.
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

// ObserveFleet replaces the known workers by the live and leaving ones of the host list.
func (r *Runtime) ObserveFleet(workers []fleet.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	old := r.workers
	r.workers = make(map[fleet.WorkerID]fleet.Worker, len(workers))
	r.fleetObserved = true
	for _, w := range workers {
		r.workers[w.ID] = w
	}
	capacities := r.capacities()
	for _, p := range r.ownedPartitions {
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

// capacities returns the distinct capacities of the live workers of each partition.
func (r *Runtime) capacities() map[fleet.PartitionID][]fleet.Resources {
	seen := make(map[fleet.PartitionID]map[fleet.Resources]bool)
	distinct := make(map[fleet.PartitionID][]fleet.Resources)
	for _, w := range r.workers {
		p := fleet.PartitionOf(w, r.PartitionsPerZone)
		if w.State != fleet.HostLive || seen[p][w.Capacity] {
			continue
		}
		if seen[p] == nil {
			seen[p] = make(map[fleet.Resources]bool)
		}
		seen[p][w.Capacity] = true
		distinct[p] = append(distinct[p], w.Capacity)
	}
	return distinct
}

// ObserveConfig applies a version of a customer's configuration. A version that is not newer than the last one is
// ignored.
func (r *Runtime) ObserveConfig(doc config.VersionedDocument) {
	r.mu.Lock()
	defer r.mu.Unlock()
	customer := doc.Document.Customer
	if old, known := r.configs[customer]; known && doc.Revision <= old.Revision {
		return
	}
	r.configs[customer] = doc
	now := time.Now()
	for _, p := range r.ownedPartitions {
		r.stepJobs(now, p, r.configUpdate(doc, p.id))
	}
}

func (r *Runtime) configUpdate(doc config.VersionedDocument, p fleet.PartitionID) jobs.Configured {
	return jobs.Configured{Document: doc, Services: jobs.Services(doc, p, r.Partitions)}
}

// OnPeerUp sends the endpoints of the owned partitions to a newly connected peer, which would otherwise receive them
// only when they are next published.
func (r *Runtime) OnPeerUp(peer fleet.EntryHostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.publishedEndpoints {
		if p := r.ownedPartitions[id]; p != nil && p.epoch == e.Epoch {
			_ = r.Peers.Send(peer, e)
		}
	}
}

// Drain releases every partition and ends the session, so that other processes take over at once. It returns the error
// of ctx if that ends first.
func (r *Runtime) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.stepLease(time.Now(), lease.Drain{})
	r.mu.Unlock()
	for {
		r.mu.Lock()
		remaining, id := len(r.ownedPartitions)+len(r.recoveryEpochs), r.lease.Lease()
		r.mu.Unlock()
		if remaining == 0 {
			if id == 0 {
				return nil
			}
			return r.Store.Revoke(ctx, id)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
}
