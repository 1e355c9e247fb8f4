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
)

const (
	// tickEach is the pace of the scheduler while nothing happens; it bounds how late a repeated stop or a placement is.
	tickEach = 10 * time.Millisecond
	// eventQueue holds the answers of several seconds of orders.
	eventQueue = 8192
	// orderTimeout bounds a start or stop, which takes a round trip of up to 10 ms between zones; it allows for one packet
	// to be sent again.
	orderTimeout = 400 * time.Millisecond
	// holdSlack is how much longer than its wait a hold may take.
	holdSlack = 700 * time.Millisecond
	// maxEventsPerTick lets a tick happen while events arrive faster than they are handled.
	maxEventsPerTick = 512
)

// Scheduler runs the scheduler of the system while this process reigns.
type Scheduler struct {
	store  store.Client
	agents infra.Agents
	advice infra.PolicyService
	// fleet is nil where the platform takes no machines down.
	fleet  infra.Machines
	format infra.Format
	bounds infra.Bounds
	log    *slog.Logger
	notes  *slog.Logger
	over   func(ctx context.Context, host fleet.EntryHostID, token infra.Token) bool
	starts metrics.Timer
	holds  metrics.Counter
	orders metrics.Counter
	writes metrics.Counter

	mu      sync.Mutex
	catalog *infra.Catalog
	current *loop
}

// Deps are what a [Scheduler] works with.
type Deps struct {
	Store  store.Client
	Agents infra.Agents
	// Advisor is asked only for queues that have a policy.
	Advisor infra.PolicyService
	// Machines takes machines down for their upkeep; it is nil where the platform has no such service.
	Machines infra.Machines
	Format   infra.Format
	Bounds   infra.Bounds
	Log      *slog.Logger
	// Decisions takes a line for each start, end and move of a task, which under load are many.
	Decisions *slog.Logger
	Metrics   metrics.Registry
	// Over asks an entry host whether no reign with a lower token goes on there.
	Supersede func(ctx context.Context, host fleet.EntryHostID, token infra.Token) bool
}

// NewScheduler returns a scheduler that waits for its reign.
func NewScheduler(d Deps) *Scheduler {
	return &Scheduler{
		store: d.Store, agents: d.Agents, advice: d.Advisor, fleet: d.Machines, format: d.Format, bounds: d.Bounds, log: d.Log, notes: d.Decisions, over: d.Supersede,
		starts: metrics.GetOrRegisterTimer("scheduler.start_seconds", d.Metrics),
		holds:  metrics.GetOrRegisterCounter("scheduler.holds.total", d.Metrics),
		orders: metrics.GetOrRegisterCounter("scheduler.orders.total", d.Metrics),
		writes: metrics.GetOrRegisterCounter("scheduler.saves.total", d.Metrics),
	}
}

// Configure passes on a newer configuration.
func (s *Scheduler) Configure(c *infra.Catalog) {
	s.mu.Lock()
	s.catalog = c
	l := s.current
	s.mu.Unlock()
	if l != nil {
		l.post(flow.Configured{Catalog: c})
	}
}

func (s *Scheduler) loop() *loop {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Notice tells the scheduler of a job that has been stored; without a reign it is read from the store later.
func (s *Scheduler) NotifyJob(j infra.Job) {
	if l := s.loop(); l != nil && l.reign.LeaseConfirmed() {
		l.post(flow.Submitted{Job: j})
	}
}

// NoticeCancel tells the scheduler of a cancellation that has been stored.
func (s *Scheduler) NotifyCancel(id fleet.JobID) {
	if l := s.loop(); l != nil && l.reign.LeaseConfirmed() {
		l.post(flow.CancelRequested{Job: id})
	}
}

// Ask runs f on the scheduler's state between two events; it returns false if this process does not reign.
func (s *Scheduler) Query(ctx context.Context, f func(*flow.Machine)) bool {
	l := s.loop()
	if l == nil || !l.reign.Valid() {
		return false
	}
	return l.ask(ctx, f)
}

// Reign runs the scheduler until ctx ends; it is called by [Group].
func (s *Scheduler) Run(ctx context.Context, r *Leadership) {
	l := &loop{
		Scheduler: s, reign: r, log: s.log.With("token", int64(r.seat.Token)),
		notes:  s.notes.With("token", int64(r.seat.Token)),
		events: make(chan flow.Event, eventQueue), asks: make(chan question), gone: make(chan struct{}),
		machine: flow.New(r.seat.Token,
			flow.WithTaskLease(s.bounds.MaxLease), flow.WithLeadershipTimeout(leaderTTL+horizon), flow.WithPredecessorLease(leaderTTL),
			flow.WithRetention(retainFactor*s.bounds.StatusRetention)),
	}
	defer close(l.gone)
	if !l.load(ctx) {
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

// retainFactor times the time for which states must be known is how long finished jobs are kept, because a repeated
// submission must find them.
const retainFactor = 3

// loop is one reign of the scheduler: the goroutine that owns the machine.
type loop struct {
	*Scheduler
	reign   *Leadership
	log     *slog.Logger
	notes   *slog.Logger
	machine *flow.Machine
	events  chan flow.Event
	asks    chan question
	gone    chan struct{}

	sequence store.Revision
	inputs   store.Revision
	workers  store.Revision
	listed   map[fleet.WorkerID]struct{}
	effects  sync.WaitGroup
	badEntry map[string]struct{}
	// waves is nil where the platform takes no machines down.
	waves *waves
}

type question struct {
	ask  func(*flow.Machine)
	done chan struct{}
}

func (l *loop) ask(ctx context.Context, f func(*flow.Machine)) bool {
	q := question{ask: f, done: make(chan struct{})}
	select {
	case l.asks <- q:
	case <-l.gone:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-q.done:
		return true
	case <-l.gone:
		return false
	}
}

// post queues an event; it waits while the queue is full, because every answer of a worker counts.
func (l *loop) post(ev flow.Event) {
	select {
	case l.events <- ev:
	case <-l.gone:
	}
}

// load reads what former schedulers left.
func (l *loop) load(ctx context.Context) bool {
	started := Now()
	for ctx.Err() == nil {
		restored, err := l.read(ctx)
		if err == nil {
			l.log.Info("scheduler: state read", "jobs", len(restored.Jobs), "roster", len(restored.Roster), "took", Now().Sub(started))
			l.handle(ctx, flow.Tick{Wall: time.Now()})
			l.handle(ctx, restored)
			return true
		}
		l.log.Warn("scheduler: state not read", "error", err)
		sleep(ctx, retryFirst)
	}
	return false
}

func (l *loop) read(ctx context.Context) (flow.Restored, error) {
	out := flow.Restored{Term: l.reign.seat.Term}
	inputs, revision, err := readAll(ctx, l.store, inputPrefix)
	if err != nil {
		return out, err
	}
	l.inputs = revision
	records, _, err := readAll(ctx, l.store, recordPrefix)
	if err != nil {
		return out, err
	}
	progress := make(map[fleet.JobID]*flow.Record, len(records))
	for _, e := range records {
		var record flow.Record
		if err := cbor.Unmarshal(e.Value, &record); err != nil {
			l.log.Error("scheduler: unreadable record", "key", e.Key, "error", err)
			continue
		}
		progress[fleet.JobID(e.Key[len(recordPrefix):])] = &record
	}
	cancelled := make(map[fleet.JobID]bool)
	for _, e := range inputs {
		if id, isCancel := parseInput(e.Key); isCancel {
			cancelled[id] = true
		}
	}
	for _, e := range inputs {
		id, isCancel := parseInput(e.Key)
		if isCancel {
			continue
		}
		job, err := DecodeJob(e.Value)
		if err != nil {
			l.log.Error("scheduler: unreadable job", "key", e.Key, "error", err)
			continue
		}
		out.Jobs = append(out.Jobs, flow.StoredJob{Job: job, Cancelled: cancelled[id], Record: progress[id]})
	}
	return out, l.readControl(ctx, &out)
}

// readControl reads the roster, the sequence of batches, and what was learnt of images.
func (l *loop) readControl(ctx context.Context, out *flow.Restored) error {
	for _, key := range []string{rosterKey, sequenceKey, learntKey} {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		found, err := l.store.Range(callCtx, store.Get{Key: key})
		cancel()
		if err != nil {
			return err
		}
		if len(found.Entries) == 0 {
			continue
		}
		e := found.Entries[0]
		var unreadable error
		switch key {
		case sequenceKey:
			l.sequence = e.ModRevision
		case rosterKey:
			unreadable = cbor.Unmarshal(e.Value, &out.Roster)
		case learntKey:
			unreadable = cbor.Unmarshal(e.Value, &out.Interference)
		}
		if unreadable != nil {
			l.log.Error("scheduler: unreadable entry", "key", key, "error", unreadable)
		}
	}
	return nil
}

// EncodeJob returns a job as it is stored.
func EncodeJob(j infra.Job) ([]byte, error) { return cbor.Marshal(j) }

// DecodeJob returns a stored job.
func DecodeJob(data []byte) (infra.Job, error) {
	var j infra.Job
	err := cbor.Unmarshal(data, &j)
	return j, err
}

// run handles events until ctx ends, and then waits for the effects that are on their way.
func (l *loop) run(ctx context.Context) {
	var feeds sync.WaitGroup
	feeds.Go(func() { l.watchInputs(ctx) })
	feeds.Go(func() { l.watchWorkers(ctx) })
	feeds.Go(func() { l.awaitFormer(ctx) })
	var plans chan upkeep.Event
	if l.fleet != nil {
		l.waves = newWaves(l, l.fleet)
		plans = l.waves.events
		feeds.Go(func() { l.waves.follow(ctx) })
		feeds.Go(func() { l.waves.record(ctx) })
	}
	ticker := time.NewTicker(tickEach)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case q := <-l.asks:
			q.ask(l.machine)
			close(q.done)
			continue
		case ev := <-plans:
			l.waves.handle(ctx, ev)
		case ev := <-l.events:
			l.handle(ctx, ev)
			l.drain(ctx)
		}
		if l.waves != nil {
			l.waves.handle(ctx, upkeep.Tick{})
		}
		l.handle(ctx, flow.Tick{Wall: time.Now(), LeaseUnconfirmed: !l.reign.LeaseConfirmed()})
	}
	go l.discard()
	feeds.Wait()
	l.effects.Wait()
	l.log.Info("scheduler: stopped", "counts", l.machine.Counts())
}

// formerEach is the pace at which the former scheduler's entry host is asked whether its reign is over.
const formerEach = 150 * time.Millisecond

// awaitFormer finds out that the former scheduler sends no more orders, which shortens the wait for workers that cannot
// be reached.
func (l *loop) awaitFormer(ctx context.Context) {
	seat := l.reign.seat
	for ctx.Err() == nil && seat.Predecessor != "" {
		if l.over(ctx, seat.Predecessor, seat.Token) {
			l.log.Info("scheduler: former scheduler is over", "former", seat.Predecessor)
			l.post(flow.PredecessorStopped{})
			return
		}
		sleep(ctx, formerEach)
	}
}

func (l *loop) drain(ctx context.Context) {
	for range maxEventsPerTick {
		select {
		case ev := <-l.events:
			l.handle(ctx, ev)
		default:
			return
		}
	}
}

// discard keeps late answers from blocking their senders.
func (l *loop) discard() {
	for {
		select {
		case <-l.events:
		case <-l.gone:
			return
		}
	}
}

func (l *loop) handle(ctx context.Context, ev flow.Event) {
	for _, e := range l.machine.Step(Now(), ev) {
		l.carryOut(ctx, e)
	}
}

// carryOut does what the machine asks for. Every order checks the reign again, because the process may have been
// suspended since the decision.
func (l *loop) carryOut(ctx context.Context, e flow.Effect) {
	switch e := e.(type) {
	case flow.Hold:
		l.holds.Inc(1)
		l.effects.Go(func() { l.hold(ctx, e) })
	case flow.Start:
		l.orders.Inc(1)
		l.effects.Go(func() { l.start(ctx, e) })
	case flow.Stop:
		l.orders.Inc(1)
		l.effects.Go(func() { l.stop(ctx, e) })
	case flow.Pace:
		l.orders.Inc(1)
		l.effects.Go(func() { l.pace(ctx, e) })
	case flow.Advise:
		l.effects.Go(func() { l.advise(ctx, e) })
	case flow.Save:
		l.writes.Inc(1)
		l.effects.Go(func() { l.save(ctx, e) })
	case flow.Resign:
		l.reign.end("a worker knows a newer scheduler")
	case flow.Evacuated:
		l.waves.vacated(ctx, e.Worker)
	case flow.Log:
		l.note(e)
	}
}

func (l *loop) note(n flow.Log) {
	attrs := make([]any, 0, 18)
	if n.Task.Job != "" {
		attrs = append(attrs, "job", n.Task.Job, "occurrence", n.Task.Occurrence, "step", n.Task.Step, "index", n.Task.Index, "run", n.Run)
	} else if n.Job != "" {
		attrs = append(attrs, "job", n.Job)
	}
	if n.Worker != "" {
		attrs = append(attrs, "worker", n.Worker)
	}
	if n.Reason != "" {
		attrs = append(attrs, "reason", n.Reason)
	}
	if n.Text == "start" {
		attrs = append(attrs, "slack_ms", n.Slack.Milliseconds(), "report_age_ms", n.ReportAge.Milliseconds())
	}
	log := l.notes
	if n.Task.Job == "" && n.Job == "" {
		// Lines about workers and the reign itself are few, and explain many others.
		log = l.log
	}
	log.Info("scheduler: "+n.Text, attrs...)
}
