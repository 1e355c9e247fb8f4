package flow

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

const (
	// holdWait is how long a worker may wait for an end before it reports; shorter waits cost more calls.
	holdWait = time.Second
	// holdWatch is the same for a worker where fillers may disturb serving tasks.
	holdWatch = 500 * time.Millisecond
	// holdRetry is the pause after a hold that failed.
	holdRetry = 250 * time.Millisecond
	// holdUnsaved is the pause between holds while ends cannot be made durable; leases last about 20 times as long.
	holdUnsaved = 300 * time.Millisecond
	// startWindow bounds how late a start may happen; a lost packet costs about a third of it.
	startWindow = 1500 * time.Millisecond
	// stopRetry is the pause between two stops of the same run.
	stopRetry = 400 * time.Millisecond
	// runsPerTerm is the gap between the run numbers of two schedulers, more than one can use for a task in its term.
	runsPerTerm = 1000
	// maxBatch bounds the jobs of one durable batch; a transaction of the platform has 32 entries.
	maxBatch = 24
	// sweepEach and placeEach bound how often all workers and all waiting steps are gone through, which costs a millisecond
	// or two of an entry host's processor.
	sweepEach = 20 * time.Millisecond
	placeEach = 9 * time.Millisecond
	// retryEach is how often placement is tried without a cause, because rests end and tolerances change with time.
	retryEach = 100 * time.Millisecond
	// learntEach is how often what was learnt of images is stored, so that a successor need not disturb serving tasks to
	// learn it again.
	learntEach = 3 * time.Second
)

// Options of a [Machine].
type options struct {
	hold    time.Duration
	horizon time.Duration
	retain  time.Duration
	former  time.Duration
}

// Option changes a [Machine] under construction.
type Option func(*options)

// WithHold sets the longest lease of a worker's tasks.
func WithTaskLease(d time.Duration) Option { return func(o *options) { o.hold = d } }

// WithHorizon sets how long a scheduler may go on after the store last confirmed it, so that its successor knows how long
// to wait for workers that it cannot reach.
func WithLeadershipTimeout(d time.Duration) Option { return func(o *options) { o.horizon = d } }

// WithFormerLease sets how long a former scheduler may take jobs as new after its successor was elected, because the store
// can end a lease early.
func WithPredecessorLease(d time.Duration) Option { return func(o *options) { o.former = d } }

// WithRetention sets how long the state of a finished job is kept.
func WithRetention(d time.Duration) Option { return func(o *options) { o.retain = d } }

// Machine is the scheduler: a reducer over [Event] that returns [Effect]. It is not safe for concurrent use.
type Machine struct {
	opts  options
	token infra.Token
	term  int64

	catalog *infra.Catalog
	jobs    map[fleet.JobID]*job
	workers map[fleet.WorkerID]*worker
	// order lists the workers by id, so that a run repeats.
	order []*worker

	// unsettled are the workers that may run tasks of a former scheduler of which this one does not know.
	unsettled     map[fleet.WorkerID]struct{}
	unsettledTill time.Time
	restored      bool
	// doubted is set while another scheduler may have been elected.
	doubted bool
	// freshFrom is when jobs that become known cannot have been started by a former scheduler.
	freshFrom   time.Time
	roster      map[fleet.WorkerID]string
	rosterDirty bool

	// lengths is what is known of run times, by queue.
	lengths map[string]*lengths
	// queues are those of the catalog by name.
	queues map[string]infra.Queue
	// ready are the steps that are released and have waiting tasks; ranked lists them in the order of their rank as of
	// rankedAt, and unranked those that became ready since.
	ready    map[*step]*readyStep
	ranked   []*readyStep
	rankedAt time.Time
	unranked []*readyStep
	// candidates are the workers of a service that may take tasks in this round of placement.
	candidates map[string][]*worker
	// unanswered counts the starts that have no answer yet.
	unanswered int
	// timed are the jobs with occurrences that are not created yet.
	timed map[fleet.JobID]*job

	dirty    []*job
	forget   []fleet.JobID
	batch    int64
	inFlight bool
	inBatch  []batchJob
	inRoster []fleet.WorkerID
	// dirtySeq numbers the entries of dirty, and savedSeq is the last one that is durable.
	dirtySeq  int64
	savedSeq  int64
	finished  []*job
	now       time.Time
	wall      time.Time
	wallAt    time.Time
	effects   []Effect
	placeNext bool
	misfits   []misfit
	// learntDirty is set when what was learnt of images is to be stored, which was last done at learntAt.
	learntDirty bool
	learntAt    time.Time
	// asking counts the calls that wait at the policy service.
	asking   int
	sweptAt  time.Time
	placedAt time.Time
	victims  map[string]*victim
	ghosts   map[fleet.WorkerID][]ghost
	// unknown are cancellations of jobs that are not known yet.
	unknown map[fleet.JobID]struct{}
	counts  Counts
}

type batchJob struct {
	job   *job
	state infra.State
	seq   int64
}

// Counts are totals since the scheduler was elected.
type Counts struct {
	Starts, Refused, Lost, Done, Failed, Stopped, Vanished, Stalled, Relieved, Paced, Copied int64
}

// New returns the scheduler that holds a fencing token.
func New(token infra.Token, opts ...Option) *Machine {
	m := &Machine{
		opts: options{
			hold: 6 * time.Second, horizon: 5 * time.Second, retain: 10 * time.Minute,
		},
		token:     token,
		jobs:      make(map[fleet.JobID]*job),
		workers:   make(map[fleet.WorkerID]*worker),
		unsettled: make(map[fleet.WorkerID]struct{}),
		roster:    make(map[fleet.WorkerID]string),
		ready:     make(map[*step]*readyStep),

		candidates: make(map[string][]*worker),
		lengths:    make(map[string]*lengths),
		timed:      make(map[fleet.JobID]*job),
		victims:    make(map[string]*victim),
		ghosts:     make(map[fleet.WorkerID][]ghost),
		unknown:    make(map[fleet.JobID]struct{}),
	}
	for _, opt := range opts {
		opt(&m.opts)
	}
	return m
}

// Step applies an event at a steady time that counts the sleep of the machine, and returns what is to be done.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	m.now = now
	switch ev := ev.(type) {
	case Restored:
		m.restore(ev)
	case Configured:
		m.configure(ev.Catalog)
	case Submitted:
		m.submit(ev.Job)
	case CancelRequested:
		m.cancel(ev.Job)
	case WorkerListed:
		m.seeWorker(ev.Worker)
	case WorkerUnlisted:
		m.loseWorker(ev.Worker)
	case HoldAnswered:
		m.held(ev)
	case HoldFailed:
		m.holdFailed(ev)
	case StartAnswered:
		m.startAnswered(ev)
	case StopAnswered:
		m.stopAnswered(ev)
	case PaceAnswered:
		m.paceAnswered(ev)
	case Cordon:
		m.vacate(ev)
	case Uncordon:
		m.reinstate(ev.Worker)
	case Saved:
		m.saved(ev.Batch)
	case AdviseAnswered:
		m.advised(ev)
	case PredecessorStopped:
		m.formerOver()
	case Tick:
		m.doubted = ev.LeaseUnconfirmed
		m.tick(ev.Wall)
	}
	out := m.effects
	m.effects = nil
	return out
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) configure(c *infra.Catalog) {
	if m.catalog != nil && c.Version <= m.catalog.Version {
		return
	}
	m.catalog = c
	m.queues = make(map[string]infra.Queue, len(c.Queues))
	for _, q := range c.Queues {
		m.queues[q.Name] = q
	}
	m.rankedAt = time.Time{}
	for _, j := range m.jobs {
		m.setQueue(j)
	}
}

// setQueue takes up the configuration of a job's queue; a queue that was removed stays as it was.
func (m *Machine) setQueue(j *job) {
	q, found := m.queues[j.spec.Queue]
	switch {
	case found:
		j.queue = q
	case j.queue.Service == "":
		j.queue = infra.Queue{Name: j.spec.Queue, Service: j.spec.Service, MaxAttempts: j.spec.MaxAttempts}
	}
}

func (m *Machine) restore(ev Restored) {
	m.term = ev.Term
	base := infra.Run(ev.Term) * runsPerTerm
	for _, s := range ev.Jobs {
		if m.jobs[s.Job.ID] != nil {
			continue
		}
		j := m.newJob(s.Job)
		if s.Record != nil {
			j.restore(s.Record)
		}
		j.cancelled = j.cancelled || s.Cancelled
		if j.cancelled {
			j.durable = infra.StateCancelled
		}
		m.activate(j)
		for _, o := range j.occurrences {
			o.raise(base)
		}
	}
	for _, r := range ev.Interference {
		m.victims[r.Image] = r.victim(m.now)
	}
	for _, e := range ev.Roster {
		m.roster[e.Worker] = e.Address
		m.unsettled[e.Worker] = struct{}{}
		w := m.workers[e.Worker]
		if w == nil {
			w = m.addWorker(infra.Worker{ID: e.Worker, Address: e.Address})
		}
		w.enrolled = true
		w.Draining = w.Draining || e.Draining
	}
	m.unsettledTill = m.now.Add(m.opts.horizon + time.Duration(float64(m.opts.hold)*(1+2*clockSlack)) + clockMargin)
	m.freshFrom = m.now.Add(m.opts.former)
	m.restored = true
	m.placeNext = true
}

// formerOver shortens the wait for workers that cannot be reached to a lease from now.
func (m *Machine) formerOver() {
	till := m.now.Add(time.Duration(float64(m.opts.hold)*(1+2*clockSlack)) + clockMargin)
	if till.Before(m.unsettledTill) {
		m.unsettledTill = till
	}
}

// raise lifts the run numbers of open tasks over those of former schedulers.
func (o *occurrence) raise(base infra.Run) {
	for i := range o.steps {
		for t := range o.steps[i].tasks {
			known := &o.steps[i].tasks[t]
			known.lastRun = max(known.lastRun, base)
		}
	}
}

func (m *Machine) newJob(spec infra.Job) *job {
	j := &job{spec: spec, occurrences: make(map[int64]*occurrence), durable: infra.StateQueued, arrived: m.now}
	if spec.Submitted > 0 && !m.wall.IsZero() {
		age := m.wall.Sub(time.UnixMilli(spec.Submitted))
		j.arrived = m.now.Add(-min(max(0, age), m.opts.retain))
	}
	m.setQueue(j)
	m.expect(j)
	m.jobs[spec.ID] = j
	return j
}

// activate makes the steps of a live job ready, and stops counting a finished one as work.
func (m *Machine) activate(j *job) {
	if !j.live() {
		m.finish(j)
		return
	}
	if j.spec.Schedule.Count > 0 {
		m.timed[j.spec.ID] = j
		m.createDue(j)
	} else {
		j.occurrence(0)
		j.created = 1
	}
	for _, o := range j.occurrences {
		m.refresh(o)
	}
}

// createDue creates the occurrences whose time has come.
func (m *Machine) createDue(j *job) {
	if m.wall.IsZero() || !j.live() {
		return
	}
	for j.created < j.total() {
		due := time.UnixMilli(j.spec.Schedule.Start).Add(time.Duration(j.created) * j.spec.Schedule.Interval)
		wait := due.Sub(m.wallNow())
		if wait > 0 {
			return
		}
		o := j.occurrence(j.created)
		o.due = m.now.Add(wait)
		o.raise(infra.Run(m.term) * runsPerTerm)
		j.created++
		m.markDirty(j)
		m.refresh(o)
	}
	delete(m.timed, j.spec.ID)
}

func (m *Machine) wallNow() time.Time { return m.wall.Add(m.now.Sub(m.wallAt)) }

// refresh enters the steps of an occurrence that can run into the ready set.
func (m *Machine) refresh(o *occurrence) {
	for i := range o.steps {
		s := &o.steps[i]
		if s.waiting > 0 && o.job.live() && o.released(i) {
			if m.ready[s] == nil {
				r := &readyStep{occ: o, index: i, step: s, since: m.now}
				m.ready[s] = r
				m.unranked = append(m.unranked, r)
			}
			m.placeNext = true
		} else {
			m.unready(s)
		}
	}
}

// unready takes a step out of the ready set.
func (m *Machine) unready(s *step) {
	if r := m.ready[s]; r != nil {
		r.gone = true
		delete(m.ready, s)
	}
}

func (m *Machine) submit(spec infra.Job) {
	if m.jobs[spec.ID] != nil {
		return
	}
	j := m.newJob(spec)
	j.fresh = m.now.After(m.freshFrom)
	m.emit(Log{Text: "job known", Job: spec.ID, Reason: spec.Queue})
	m.activate(j)
	if !j.fresh {
		// A former scheduler may have used run numbers for this job.
		for _, o := range j.occurrences {
			o.raise(infra.Run(m.term) * runsPerTerm)
		}
	}
	if _, cancelled := m.unknown[spec.ID]; cancelled {
		delete(m.unknown, spec.ID)
		m.cancel(spec.ID)
	}
}

func (m *Machine) cancel(id fleet.JobID) {
	j := m.jobs[id]
	if j == nil {
		m.unknown[id] = struct{}{}
		return
	}
	if j.cancelled || j.durable.Final() {
		return
	}
	j.cancelled = true
	j.durable = infra.StateCancelled
	m.emit(Log{Text: "job cancelled", Job: id})
	m.closeJob(j, "job cancelled")
}

// closeJob stops what still runs of a job that is not to run any more.
func (m *Machine) closeJob(j *job, reason string) {
	for _, o := range j.occurrences {
		for i := range o.steps {
			m.unready(&o.steps[i])
			for t := range o.steps[i].tasks {
				for _, r := range o.steps[i].tasks[t].runs {
					m.stop(r, reason)
				}
			}
		}
	}
	m.finish(j)
}

func (m *Machine) finish(j *job) {
	delete(m.timed, j.spec.ID)
	m.markDirty(j)
	m.finished = append(m.finished, j)
	j.savedAt = m.now
}

func (m *Machine) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		m.dirtySeq++
		j.dirtySeq = m.dirtySeq
		m.dirty = append(m.dirty, j)
	}
}
