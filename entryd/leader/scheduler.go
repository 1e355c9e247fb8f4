package leader

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/upkeep"
	"lovagefork.example/entryd/stats"
)

const (
	// tickInterval is the interval of ticks while there are no events; it bounds the delay of a repeated stop or a
	// placement.
	tickInterval = 10 * time.Millisecond
	// eventQueueSize is enough for the answers to several seconds of orders.
	eventQueueSize = 8192
	// renewTimeoutMargin is how much longer a renewal may take than the Wait of its order while its answer arrives: less than the
	// rest of a lease that was renewed before.
	renewTimeoutMargin = 3 * time.Second
	// maxEventsPerTick ensures that ticks are handled while events arrive faster than they can be handled.
	maxEventsPerTick = 512
)

// OrderTimeout returns the time-out of an order on a link with a bandwidth, 0 if that is unknown.
func OrderTimeout(bitsPerSecond int64) time.Duration {
	return flow.OrderTimeout + flow.MaxLinkDelay(bitsPerSecond)
}

// Scheduler runs the scheduler's state machine while this process is the leader.
type Scheduler struct {
	store  store.Client
	agents infra.Agents
	relays Relays
	policy infra.PolicyService
	// machineService is nil if the platform has no machine maintenance.
	machineService infra.Machines
	format         infra.Format
	bounds         infra.Bounds
	// linkBitsPerSecond is the bandwidth of this host's link, and orderTimeout that of an order on it.
	linkBitsPerSecond int64
	orderTimeout      time.Duration
	log               *slog.Logger
	decisions         *slog.Logger
	supersede         func(ctx context.Context, host fleet.EntryHostID, token infra.Token) (time.Duration, bool)
	startLatency      metrics.Timer
	renewals          metrics.Counter
	orders            metrics.Counter
	saves             metrics.Counter
	longWaits         metrics.Gauge
	unsavedJobs       metrics.Gauge
	awaitedWorkers    metrics.Gauge
	otherLifeStarts   metrics.Gauge
	missingEnds       metrics.Gauge
	elections         metrics.Counter
	registry          metrics.Registry
	traffic           *stats.Traffic

	mu      sync.Mutex
	catalog *infra.Catalog
	current *loop
}

// Deps holds the dependencies of a [Scheduler].
type Deps struct {
	Store  store.Client
	Agents infra.Agents
	// Relays is nil if all starts are sent from here.
	Relays Relays
	// Policy is called only for queues that have a policy.
	Policy infra.PolicyService
	// Machines takes machines down for maintenance; it is nil if the platform has no such service.
	Machines infra.Machines
	Format   infra.Format
	Bounds   infra.Bounds
	// LinkBitsPerSecond is the bandwidth of this host's link; 0 if it is unknown.
	LinkBitsPerSecond int64
	Log               *slog.Logger
	// Decisions receives a line for each start, end and move of a task; there are many under load.
	Decisions *slog.Logger
	Metrics   metrics.Registry
	// Traffic counts the calls of Store and Agents; nil if they are not counted.
	Traffic *stats.Traffic
	// Supersede ends a leadership with a lower token on an entry host. It returns true if none is running there any
	// more, and for how long; see [Group.Supersede].
	Supersede func(ctx context.Context, host fleet.EntryHostID, token infra.Token) (time.Duration, bool)
}

// NewScheduler returns a scheduler that does nothing until [Scheduler.Run].
func NewScheduler(d Deps) *Scheduler {
	return &Scheduler{
		store: d.Store, agents: d.Agents, relays: d.Relays, policy: d.Policy, machineService: d.Machines, format: d.Format, bounds: d.Bounds, log: d.Log, decisions: d.Decisions, supersede: d.Supersede,
		linkBitsPerSecond: d.LinkBitsPerSecond, orderTimeout: OrderTimeout(d.LinkBitsPerSecond),
		registry:       d.Metrics,
		traffic:        d.Traffic,
		startLatency:   metrics.GetOrRegisterTimer("scheduler.start_seconds", d.Metrics),
		renewals:       metrics.GetOrRegisterCounter("scheduler.holds.total", d.Metrics),
		orders:         metrics.GetOrRegisterCounter("scheduler.orders.total", d.Metrics),
		saves:          metrics.GetOrRegisterCounter("scheduler.saves.total", d.Metrics),
		longWaits:      metrics.GetOrRegisterGauge("scheduler.waiting_long_running_steps", d.Metrics),
		unsavedJobs:    metrics.GetOrRegisterGauge("scheduler.unsaved_jobs", d.Metrics),
		awaitedWorkers: metrics.GetOrRegisterGauge("scheduler.awaited_workers", d.Metrics),

		otherLifeStarts: metrics.GetOrRegisterGauge("scheduler.other_life_starts", d.Metrics),
		missingEnds:     metrics.GetOrRegisterGauge("scheduler.missing_ends", d.Metrics),
		elections:       metrics.GetOrRegisterCounter("scheduler.elections.total", d.Metrics),
	}
}

// Configure applies a configuration if it is newer than the last one, at once if the scheduler is running.
func (s *Scheduler) Configure(c *infra.Catalog) {
	s.mu.Lock()
	if s.catalog != nil && c.Version <= s.catalog.Version {
		s.mu.Unlock()
		return
	}
	s.catalog = c
	l := s.current
	s.mu.Unlock()
	if l != nil {
		l.post(flow.Configured{Catalog: c})
	}
}

// loop returns the running loop; nil if this process is not the leader.
func (s *Scheduler) loop() *loop {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// NotifyJob passes a job that was stored at a revision to the scheduler without the delay of the watch. If this process is
// not the leader, or the revision is 0 because the sender does not know it, it does nothing: the leader reads the job from the
// store.
func (s *Scheduler) NotifyJob(j infra.Job, revision store.Revision) {
	if l := s.loop(); l != nil {
		l.deliverJob(j, revision)
	}
}

// NotifyCancel passes a stored cancellation to the scheduler, like [Scheduler.NotifyJob].
func (s *Scheduler) NotifyCancel(id fleet.JobID) {
	if l := s.loop(); l != nil && l.leadership.LeaseConfirmed() {
		l.post(flow.CancelRequested{Job: id})
	}
}

// Query runs f on the scheduler's state between two events. It returns false if this process is not the leader
// or stops being it, or if ctx ends before f starts.
func (s *Scheduler) Query(ctx context.Context, f func(*flow.Machine)) bool {
	l := s.loop()
	if l == nil || !l.leadership.Valid() {
		return false
	}
	return l.query(ctx, f)
}

// Run runs the scheduler until ctx ends; [Group] calls it after this process was elected.
func (s *Scheduler) Run(ctx context.Context, leadership *Leadership) {
	l := &loop{
		Scheduler: s, leadership: leadership, log: s.log.With("token", int64(leadership.leader.Token)),
		decisions: s.decisions.With("token", int64(leadership.leader.Token)),
		meter:     newLoadMeter(s.registry, s.traffic),
		events:    make(chan queuedEvent, eventQueueSize), queries: make(chan query), stopped: make(chan struct{}), startedAt: Now(),
		sequenceRead: make(chan struct{}),
		machine: flow.New(leadership.leader.Token,
			flow.WithTaskLease(min(s.bounds.MaxLease, maxTaskLease)), flow.WithMaxLease(s.bounds.MaxLease), flow.WithLeadershipTimeout(leadershipTimeout),
			flow.WithRetention(retentionFactor*s.bounds.StatusRetention), flow.WithMaxTargetMiss(s.bounds.MaxTargetMiss),
			flow.WithLink(s.linkBitsPerSecond)),
	}
	s.elections.Inc(1)
	defer close(l.stopped)
	if !l.load(ctx) {
		l.finish()
		return
	}
	s.mu.Lock()
	s.current = l
	catalog := s.catalog
	s.mu.Unlock()
	if catalog != nil {
		l.handle(ctx, flow.Configured{Catalog: catalog})
	}
	l.run(ctx)
	s.mu.Lock()
	s.current = nil
	s.mu.Unlock()
}

// retentionFactor multiplies the time for which the state of a finished job must be available. Finished jobs are kept
// that much longer so that a repeated submission still finds them.
const retentionFactor = 3

// loop is the event loop of the scheduler during one leadership. Its goroutine owns the state machine and heldEvents.
type loop struct {
	*Scheduler
	leadership *Leadership
	log        *slog.Logger
	decisions  *slog.Logger
	machine    *flow.Machine
	events     chan queuedEvent
	meter      *loadMeter
	queries    chan query
	// heldEvents are the new jobs, and the ends of lookups, that arrived while the lease was unconfirmed.
	heldEvents []flow.Event
	// stopped is closed when the loop has ended and handles no more events.
	stopped chan struct{}
	// startedAt is when the loop began, and renewedLeases counts the renewals of leases that it has sent since.
	startedAt     time.Time
	renewedLeases int

	// sequenceRead is closed when sequenceRevision has been read, before which no batch is written.
	sequenceRead     chan struct{}
	sequenceRevision store.Revision
	workersRevision  store.Revision
	// inputs records which jobs and cancellations have been posted.
	inputs *delivery
	// listedWorkers holds the revision of each registration.
	listedWorkers map[fleet.WorkerID]store.Revision
	effects       sync.WaitGroup
	// invalidKeys holds the worker keys whose decoding error has been logged.
	invalidKeys map[string]struct{}
	// waves is nil if the platform has no machine maintenance.
	waves *waveRunner
}

// queuedEvent is an event with the time at which it was queued.
type queuedEvent struct {
	event    flow.Event
	queuedAt time.Time
}

// query is a call of [Scheduler.Query]; done is closed when run has returned.
type query struct {
	run  func(*flow.Machine)
	done chan struct{}
}

func (l *loop) query(ctx context.Context, f func(*flow.Machine)) bool {
	q := query{run: f, done: make(chan struct{})}
	select {
	case l.queries <- q:
	case <-l.stopped:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-q.done:
		return true
	case <-l.stopped:
		return false
	}
}

// post queues an event. It blocks while the queue is full, because no answer of a worker may be dropped.
func (l *loop) post(ev flow.Event) {
	select {
	case l.events <- queuedEvent{event: ev, queuedAt: time.Now()}:
	case <-l.stopped:
	}
}

// EncodeJob returns the stored form of a job.
func EncodeJob(j infra.Job) ([]byte, error) { return cbor.Marshal(j) }

// DecodeJob decodes the result of [EncodeJob].
func DecodeJob(data []byte) (infra.Job, error) {
	var j infra.Job
	err := cbor.Unmarshal(data, &j)
	return j, err
}

// run handles events until ctx ends, and then waits for the effects in progress.
func (l *loop) run(ctx context.Context) {
	var sources sync.WaitGroup
	sources.Go(func() { l.watchInputs(ctx) })
	sources.Go(func() { l.watchWorkers(ctx) })
	if l.relays != nil && flow.LimitsStarts(l.linkBitsPerSecond) {
		sources.Go(func() { l.watchRelays(ctx) })
	}
	sources.Go(func() { l.awaitPredecessors(ctx) })
	sources.Go(func() { l.awaitPredecessorLeases(ctx) })
	var waveEvents chan upkeep.Event
	if l.machineService != nil {
		l.waves = newWaveRunner(l, l.machineService)
		waveEvents = l.waves.events
		sources.Go(func() { l.waves.watch(ctx) })
		sources.Go(func() { l.waves.saveLoop(ctx) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case q := <-l.queries:
			began := time.Now()
			q.run(l.machine)
			close(q.done)
			l.meter.spend(activityQuery, began)
			continue
		case ev := <-waveEvents:
			l.waves.handle(ctx, ev)
		case ev := <-l.events:
			l.handleEvent(ctx, ev)
			l.handleQueued(ctx)
		}
		if l.waves != nil {
			l.waves.handle(ctx, upkeep.Tick{})
		}
		l.releaseHeldEvents(ctx)
		l.tick(ctx)
		l.awaitedWorkers.Update(int64(l.machine.AwaitedWorkers()))
		l.longWaits.Update(int64(l.machine.LongWaits()))
		counts := l.machine.Counts()
		l.otherLifeStarts.Update(counts.OtherLife)
		l.missingEnds.Update(counts.MissingEnds)
		l.unsavedJobs.Update(int64(l.machine.UnsavedJobs()))
		l.meter.report(l.log, len(l.events), l.machine)
	}
	l.longWaits.Update(0)
	l.unsavedJobs.Update(0)
	l.awaitedWorkers.Update(0)
	l.finish(&sources)
	l.log.Info("scheduler: stopped", "counts", l.machine.Counts(), "held_events", len(l.heldEvents))
}

// finish waits for the effects in progress and for other goroutines.
func (l *loop) finish(others ...*sync.WaitGroup) {
	go l.discard()
	for _, o := range others {
		o.Wait()
	}
	l.effects.Wait()
}

// tick advances the time of the state machine.
func (l *loop) tick(ctx context.Context) {
	l.handle(ctx, flow.Tick{Wall: time.Now(), ConfirmedAt: l.leadership.lastConfirmed(), LeaseUnconfirmed: !l.leadership.LeaseConfirmed()})
	l.leadership.witness(l.machine.WitnessedAt())
}

// handleQueued handles queued events without blocking, up to maxEventsPerTick.
func (l *loop) handleQueued(ctx context.Context) {
	for range maxEventsPerTick {
		select {
		case ev := <-l.events:
			l.handleEvent(ctx, ev)
		default:
			return
		}
	}
}

// discard drops events until the loop has stopped, so that late answers do not block their senders.
func (l *loop) discard() {
	for {
		select {
		case <-l.events:
		case <-l.stopped:
			return
		}
	}
}

// handleEvent handles an event from the queue.
func (l *loop) handleEvent(ctx context.Context, ev queuedEvent) {
	l.meter.waited(ev)
	switch ev.event.(type) {
	case flow.Submitted, flow.JobsLookedUp:
		// The end of a lookup says that the jobs before it are all that exist, and must not overtake them.
		if len(l.heldEvents) > 0 || !l.leadership.LeaseConfirmed() {
			l.hold(ev.event)
			return
		}
	}
	l.handle(ctx, ev.event)
}

func (l *loop) handle(ctx context.Context, ev flow.Event) {
	began := time.Now()
	effects := l.machine.Step(Now(), ev)
	began = l.meter.spend(activityOf(ev), began)
	for _, e := range effects {
		l.perform(ctx, e)
	}
	if len(effects) > 0 {
		l.meter.spend(activityOrders, began)
	}
}

// perform executes an effect of the state machine. Every order checks the leadership again before it is sent, because
// the process may have been suspended since the decision.
func (l *loop) perform(ctx context.Context, e flow.Effect) {
	switch e := e.(type) {
	case flow.Renew:
		l.renewals.Inc(1)
		l.countRenewal(e)
		l.effects.Go(func() { l.renewLeases(ctx, e) })
	case flow.Start:
		l.orders.Inc(1)
		l.effects.Go(func() { l.startTask(ctx, e) })
	case flow.Stop:
		l.orders.Inc(1)
		l.effects.Go(func() { l.stopTask(ctx, e) })
	case flow.Throttle:
		l.orders.Inc(1)
		l.effects.Go(func() { l.throttleTask(ctx, e) })
	case flow.RequestApproval:
		l.effects.Go(func() { l.requestApproval(ctx, e) })
	case flow.Save:
		l.saves.Inc(1)
		l.effects.Go(func() { l.save(ctx, e) })
	case flow.LookUpJobs:
		l.effects.Go(func() { l.lookUpJobs(ctx, e) })
	case flow.Fenced:
		l.leadership.fence()
	case flow.Resign:
		l.leadership.end("a worker has orders of a newer scheduler")
	case flow.Evacuated:
		l.waves.workerEvacuated(ctx, e.Worker)
	case flow.Log:
		l.writeLog(e)
	}
}
