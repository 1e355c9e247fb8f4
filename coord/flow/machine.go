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
	holdWaitColocated = 500 * time.Millisecond
	// holdRetry is the pause after a hold that failed.
	holdRetryPause = 250 * time.Millisecond
	// holdUnsaved is the pause between holds while ends cannot be made durable; leases last about 20 times as long.
	holdUnsavedPause = 300 * time.Millisecond
	// startWindow bounds how late a start may happen; a lost packet costs about a third of it.
	startWindow = 1500 * time.Millisecond
	// stopRetry is the pause between two stops of the same run.
	stopRetryPause = 400 * time.Millisecond
	// runsPerTerm is the gap between the run numbers of two schedulers, more than one can use for a task in its term.
	runsPerTerm = 1000
	// maxBatch bounds the jobs of one durable batch; a transaction of the platform has 32 entries.
	maxBatchJobs = 24
	// sweepEach and placeEach bound how often all workers and all waiting steps are gone through, which costs a millisecond
	// or two of an entry host's processor.
	sweepInterval = 20 * time.Millisecond
	placeInterval = 9 * time.Millisecond
	// retryEach is how often placement is tried without a cause, because rests end and tolerances change with time.
	placeRetryInterval = 100 * time.Millisecond
	// learntEach is how often what was learnt of images is stored, so that a successor need not disturb serving tasks to
	// learn it again.
	interferenceSaveInterval = 3 * time.Second
)

// Options of a [Machine].
type options struct {
	taskLease    time.Duration
	leadershipTimeout time.Duration
	retention  time.Duration
	predecessorLease  time.Duration
}

// Option changes a [Machine] under construction.
type Option func(*options)

// WithHold sets the longest lease of a worker's tasks.
func WithTaskLease(d time.Duration) Option { return func(o *options) { o.taskLease = d } }

// WithHorizon sets how long a scheduler may go on after the store last confirmed it, so that its successor knows how long
// to wait for workers that it cannot reach.
func WithLeadershipTimeout(d time.Duration) Option { return func(o *options) { o.leadershipTimeout = d } }

// WithFormerLease sets how long a former scheduler may take jobs as new after its successor was elected, because the store
// can end a lease early.
func WithPredecessorLease(d time.Duration) Option { return func(o *options) { o.predecessorLease = d } }

// WithRetention sets how long the state of a finished job is kept.
func WithRetention(d time.Duration) Option { return func(o *options) { o.retention = d } }

// Machine is the scheduler: a reducer over [Event] that returns [Effect]. It is not safe for concurrent use.
type Machine struct {
	opts  options
	token infra.Token
	term  int64

	catalog *infra.Catalog
	jobs    map[fleet.JobID]*job
	workers map[fleet.WorkerID]*worker
	// order lists the workers by id, so that a run repeats.
	workersByID []*worker

	// unsettled are the workers that may run tasks of a former scheduler of which this one does not know.
	unsettled     map[fleet.WorkerID]struct{}
	unsettledUntil time.Time
	restored      bool
	// doubted is set while another scheduler may have been elected.
	leaseUnconfirmed bool
	// freshFrom is when jobs that become known cannot have been started by a former scheduler.
	freshAfter   time.Time
	roster      map[fleet.WorkerID]string
	rosterDirty bool

	// lengths is what is known of run times, by queue.
	runTimes map[string]*runTimeModel
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
	unansweredStarts int
	// timed are the jobs with occurrences that are not created yet.
	scheduled map[fleet.JobID]*job

	dirty    []*job
	toDelete   []fleet.JobID
	batch    int64
	saveInFlight bool
	batchJobs  []batchJob
	batchRoster []fleet.WorkerID
	// dirtySeq numbers the entries of dirty, and savedSeq is the last one that is durable.
	dirtySeq  int64
	savedSeq  int64
	finished  []*job
	now       time.Time
	wall      time.Time
	wallAt    time.Time
	effects   []Effect
	placementDue bool
	unplaceable   []unplaceable
	// learntDirty is set when what was learnt of images is to be stored, which was last done at learntAt.
	interferenceDirty bool
	interferenceSavedAt    time.Time
	// asking counts the calls that wait at the policy service.
	adviceInFlight   int
	sweptAt  time.Time
	placedAt time.Time
	interference  map[string]*interferenceModel
	lateStarts   map[fleet.WorkerID][]lateStart
	// unknown are cancellations of jobs that are not known yet.
	earlyCancels map[fleet.JobID]struct{}
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
			taskLease: 6 * time.Second, leadershipTimeout: 5 * time.Second, retention: 10 * time.Minute,
		},
		token:     token,
		jobs:      make(map[fleet.JobID]*job),
		workers:   make(map[fleet.WorkerID]*worker),
		unsettled: make(map[fleet.WorkerID]struct{}),
		roster:    make(map[fleet.WorkerID]string),
		ready:     make(map[*step]*readyStep),

		candidates: make(map[string][]*worker),
		runTimes:    make(map[string]*runTimeModel),
		scheduled:      make(map[fleet.JobID]*job),
		interference:    make(map[string]*interferenceModel),
		lateStarts:     make(map[fleet.WorkerID][]lateStart),
		earlyCancels:    make(map[fleet.JobID]struct{}),
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
		m.workerListed(ev.Worker)
	case WorkerUnlisted:
		m.workerUnlisted(ev.Worker)
	case HoldAnswered:
		m.holdAnswered(ev)
	case HoldFailed:
		m.holdFailed(ev)
	case StartAnswered:
		m.startAnswered(ev)
	case StopAnswered:
		m.stopAnswered(ev)
	case PaceAnswered:
		m.paceAnswered(ev)
	case Cordon:
		m.cordon(ev)
	case Uncordon:
		m.uncordon(ev.Worker)
	case Saved:
		m.saved(ev.Batch)
	case AdviseAnswered:
		m.adviseAnswered(ev)
	case PredecessorStopped:
		m.predecessorStopped()
	case Tick:
		m.leaseUnconfirmed = ev.LeaseUnconfirmed
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
			j.durable = infra.Cancelled
		}
		m.activate(j)
		for _, o := range j.occurrences {
			o.raiseRunNumbers(base)
		}
	}
	for _, r := range ev.Interference {
		m.interference[r.Image] = r.model(m.now)
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
	m.unsettledUntil = m.now.Add(m.opts.leadershipTimeout + time.Duration(float64(m.opts.taskLease)*(1+2*clockSlack)) + clockMargin)
	m.freshAfter = m.now.Add(m.opts.predecessorLease)
	m.restored = true
	m.placementDue = true
}

// formerOver shortens the wait for workers that cannot be reached to a lease from now.
func (m *Machine) predecessorStopped() {
	till := m.now.Add(time.Duration(float64(m.opts.taskLease)*(1+2*clockSlack)) + clockMargin)
	if till.Before(m.unsettledUntil) {
		m.unsettledUntil = till
	}
}

// raise lifts the run numbers of open tasks over those of former schedulers.
func (o *occurrence) raiseRunNumbers(base infra.Run) {
	for i := range o.steps {
		for t := range o.steps[i].tasks {
			known := &o.steps[i].tasks[t]
			known.lastRun = max(known.lastRun, base)
		}
	}
}

func (m *Machine) newJob(spec infra.Job) *job {
	j := &job{spec: spec, occurrences: make(map[int64]*occurrence), durable: infra.Queued, arrived: m.now}
	if spec.Submitted > 0 && !m.wall.IsZero() {
		age := m.wall.Sub(time.UnixMilli(spec.Submitted))
		j.arrived = m.now.Add(-min(max(0, age), m.opts.retention))
	}
	m.setQueue(j)
	m.updateMeanWork(j)
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
		m.scheduled[j.spec.ID] = j
		m.createDueOccurrences(j)
	} else {
		j.occurrence(0)
		j.created = 1
	}
	for _, o := range j.occurrences {
		m.updateReady(o)
	}
}

// createDue creates the occurrences whose time has come.
func (m *Machine) createDueOccurrences(j *job) {
	if m.wall.IsZero() || !j.live() {
		return
	}
	for j.created < j.totalOccurrences() {
		due := time.UnixMilli(j.spec.Schedule.Start).Add(time.Duration(j.created) * j.spec.Schedule.Interval)
		wait := due.Sub(m.wallNow())
		if wait > 0 {
			return
		}
		o := j.occurrence(j.created)
		o.due = m.now.Add(wait)
		o.raiseRunNumbers(infra.Run(m.term) * runsPerTerm)
		j.created++
		m.markDirty(j)
		m.updateReady(o)
	}
	delete(m.scheduled, j.spec.ID)
}

func (m *Machine) wallNow() time.Time { return m.wall.Add(m.now.Sub(m.wallAt)) }

// refresh enters the steps of an occurrence that can run into the ready set.
func (m *Machine) updateReady(o *occurrence) {
	for i := range o.steps {
		s := &o.steps[i]
		if s.waiting > 0 && o.job.live() && o.released(i) {
			if m.ready[s] == nil {
				r := &readyStep{occ: o, index: i, step: s, since: m.now}
				m.ready[s] = r
				m.unranked = append(m.unranked, r)
			}
			m.placementDue = true
		} else {
			m.removeReady(s)
		}
	}
}

// unready takes a step out of the ready set.
func (m *Machine) removeReady(s *step) {
	if r := m.ready[s]; r != nil {
		r.removed = true
		delete(m.ready, s)
	}
}

func (m *Machine) submit(spec infra.Job) {
	if m.jobs[spec.ID] != nil {
		return
	}
	j := m.newJob(spec)
	j.fresh = m.now.After(m.freshAfter)
	m.emit(Note{Text: "job known", Job: spec.ID, Reason: spec.Queue})
	m.activate(j)
	if !j.fresh {
		// A former scheduler may have used run numbers for this job.
		for _, o := range j.occurrences {
			o.raiseRunNumbers(infra.Run(m.term) * runsPerTerm)
		}
	}
	if _, cancelled := m.earlyCancels[spec.ID]; cancelled {
		delete(m.earlyCancels, spec.ID)
		m.cancel(spec.ID)
	}
}

func (m *Machine) cancel(id fleet.JobID) {
	j := m.jobs[id]
	if j == nil {
		m.earlyCancels[id] = struct{}{}
		return
	}
	if j.cancelled || j.durable.Final() {
		return
	}
	j.cancelled = true
	j.durable = infra.Cancelled
	m.emit(Note{Text: "job cancelled", Job: id})
	m.stopJob(j, "job cancelled")
}

// closeJob stops what still runs of a job that is not to run any more.
func (m *Machine) stopJob(j *job, reason string) {
	for _, o := range j.occurrences {
		for i := range o.steps {
			m.removeReady(&o.steps[i])
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
	delete(m.scheduled, j.spec.ID)
	m.markDirty(j)
	m.finished = append(m.finished, j)
	j.finishedAt = m.now
}

func (m *Machine) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		m.dirtySeq++
		j.dirtySeq = m.dirtySeq
		m.dirty = append(m.dirty, j)
	}
}
