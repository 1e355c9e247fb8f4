package flow

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

const (
	// reportWait is how long a worker may delay its report when no run ends. Shorter waits cost more calls.
	reportWait = time.Second
	// reportWaitColocated replaces reportWait for a worker on which fillers run beside serving tasks.
	reportWaitColocated = 500 * time.Millisecond
	// renewRetryPause is the pause after a failed renewal.
	renewRetryPause = 250 * time.Millisecond
	// maxFirstContactPause is the longest pause after failed renewals of a worker that has not answered yet. The entry of
	// such a worker may name no worker at all.
	maxFirstContactPause = 2 * time.Second
	// renewUnsavedPause is the pause between renewals while ended runs are not durable yet. Leases last about 20 times
	// as long.
	renewUnsavedPause = 300 * time.Millisecond
	// startWindow limits how long after its dispatch a start may still be carried out. A lost packet costs about a
	// third of it.
	startWindow = 1500 * time.Millisecond
	// stopRetryPause is the pause between two stop orders for the same run.
	stopRetryPause = 400 * time.Millisecond
	// runsPerTerm is the distance between the first run numbers of two consecutive terms. It exceeds the number of
	// runs of one task in a term.
	runsPerTerm = 1000
	// maxBatchJobs limits the jobs in one durable batch, without minReductions. A transaction of the platform's store has at most
	// 32 entries.
	maxBatchJobs = 24
	// maxBatchBytes is the estimated size of the records in one batch above which the others wait for the next, so that one batch takes
	// a slow link a fraction of a second.
	maxBatchBytes = 128 << 10
	// rosterSaveInterval is the minimum interval of batches with the roster while workers of predecessors are awaited. Each of
	// their answers changes it, and that of a large fleet takes a slow link tens of milliseconds.
	rosterSaveInterval = 100 * time.Millisecond
	// sweepInterval and placeInterval are the minimum intervals between two passes over all workers and over all
	// waiting steps. Each pass takes one or two milliseconds of processor time on an entry host.
	sweepInterval = 20 * time.Millisecond
	placeInterval = 9 * time.Millisecond
	// placeRetryInterval is how often placement runs without an event, because quarantines end and headroom budgets
	// change with time.
	placeRetryInterval = 100 * time.Millisecond
	// interferenceSaveInterval is how often the interference models are stored, so that a successor does not have to
	// disturb serving tasks to measure interference again.
	interferenceSaveInterval = 3 * time.Second
)

// Machine is the scheduler's state machine: [Machine.Step] applies an [Event] and returns a list of [Effect]. It is
// not safe for concurrent use.
type Machine struct {
	opts  options
	token infra.Token
	// maxToken is lower than the token of any successor.
	maxToken infra.Token
	term     int64

	catalog *infra.Catalog
	jobs    map[fleet.JobID]*job
	workers map[fleet.WorkerID]*worker
	// workersByID is sorted by ID, so that iteration is deterministic.
	workersByID []*worker

	// unreconciledWorkers holds the workers that may run tasks which a predecessor started and this scheduler has not
	// seen yet, with the latest time at which one that may have renewed their leases can have been confirmed.
	unreconciledWorkers map[fleet.WorkerID]time.Time
	// isFenced is set once more than half of the predecessorWorkers in the restored roster have accepted the token;
	// fencedWorkers are those that have.
	isFenced           bool
	predecessorWorkers int
	fencedWorkers      map[fleet.WorkerID]struct{}
	// predecessorEnd is the time from which a predecessor sends no more orders.
	predecessorEnd time.Time
	// rosterRestored is set once the roster is known, and restored once the jobs are.
	rosterRestored bool
	restored       bool
	// leaseUnconfirmed is set while another scheduler may have been elected.
	leaseUnconfirmed bool
	// predecessorRevision is the store revision up to which a predecessor may have taken the jobs that were stored; 0 if it is
	// not known yet.
	predecessorRevision int64
	roster              map[fleet.WorkerID]RosterEntry
	rosterDirty         bool
	// rosterDueAt is the earliest time of the next batch with the roster.
	rosterDueAt time.Time
	// rosterOpened is set once the workers that count may change, and storedRoster lists those of the stored roster.
	rosterOpened bool
	storedRoster []fleet.WorkerID
	// confirmedAt and witnessedAt are when the store and most workers have last confirmed this scheduler.
	confirmedAt time.Time
	witnessedAt time.Time
	// electedAt is the confirmation by the store in the first [Tick], which is not later than the election.
	electedAt time.Time

	// runTimes holds a model of the run times for each queue.
	runTimes map[string]*runTimeModel
	// queues indexes the queues of the catalog by name.
	queues map[string]infra.Queue
	// readySteps holds the released steps with waiting tasks. rankedSteps lists those of them that were ready at
	// rankedAt in rank order, and unrankedSteps those that became ready since.
	readySteps    map[*step]*readyStep
	rankedSteps   []*readyStep
	rankedAt      time.Time
	unrankedSteps []*readyStep
	// candidates caches, for one round of placement, the workers of each service that accept new tasks.
	candidates map[string]*candidateSet
	// rankedWorkers is the memory of the last [ranking].
	rankedWorkers rankedWorkers
	// unansweredStarts counts the starts without an answer, and unansweredRelayed those of them that relays send.
	unansweredStarts  int
	unansweredRelayed int
	// link is that of this host, and relays are those of other entry hosts. linkFull is set if the last round of placement ended
	// because none had room.
	link     *lane
	relays   []*lane
	linkFull bool
	reports  reportRequests
	// scheduledJobs holds the jobs with occurrences that are not created yet.
	scheduledJobs map[fleet.JobID]*job

	// dirtyUnits lists what is to be saved, and jobsToDelete and partsToDelete what is to be deleted from the store. batchUnits and
	// batchRoster are the contents of the batch in flight.
	dirtyUnits    []dirtyUnit
	jobsToDelete  []fleet.JobID
	partsToDelete []partDeletion
	// startedJobs lists the jobs whose start is not durable yet. They and partsToDelete wait for batches with room until roomDueAt.
	startedJobs []*job
	roomDueAt   time.Time
	// jobsToReduce lists the finished jobs whose stored form is complete, in the order of their ends.
	jobsToReduce []*job
	batch        int64
	saveInFlight bool
	// inFlight is the batch in flight, and singleBatches the number of batches to come that hold one value each, see
	// [Machine.saveRejected].
	inFlight      Save
	singleBatches int
	batchUnits    []batchUnit
	// batchSeq is the sequence number up to which the batch makes changes durable.
	batchSeq    int64
	batchRoster []RosterEntry
	// batchHasRoster is set if the batch in flight replaces the stored roster, also by an empty one.
	batchHasRoster bool
	// dirtySeq is the sequence number of the last entry of dirtyUnits, and savedSeq that of the last entry that is durable.
	dirtySeq int64
	savedSeq int64
	// pendingByQueue holds the numbers of pending jobs as of pendingAt.
	pendingByQueue map[string]int
	pendingAt      time.Time
	finishedJobs   []*job
	now            time.Time
	wall           time.Time
	wallAt         time.Time
	effects        []Effect
	placementDue   bool
	// round counts the rounds of placement and searchEpoch the [search] epochs. searchedAt is when the present epoch began,
	// and searchDue is set if the next round must begin another one.
	round       int64
	searchEpoch int64
	searchedAt  time.Time
	searchDue   bool
	// roundCost is the cost of the present round, and resumeAt the step at which the next one goes on; nil if none was left out.
	roundCost         int
	resumeAt          *readyStep
	unplaceableShapes []unplaceableShape
	// interferenceDirty is set when the interference models have to be stored; interferenceSavedAt is when they were
	// last stored.
	interferenceDirty   bool
	interferenceSavedAt time.Time
	// approvalsInFlight counts the outstanding calls to the policy service.
	approvalsInFlight  int
	sweptAt            time.Time
	placedAt           time.Time
	summarizedAt       time.Time
	interferenceModels map[string]*interferenceModel
	fillerImages       imageIndex
	// reference is the memory of [Machine.collectReference].
	reference  reference
	lateStarts map[fleet.WorkerID][]lateStart
	// cordons holds the cordoned workers, known or not.
	cordons map[fleet.WorkerID]struct{}
	// earlyCancels are the cancellations of jobs that are not known. earlyCancelQueue holds them, and those whose jobs have
	// followed, in the order of their arrival.
	earlyCancels     map[fleet.JobID]struct{}
	earlyCancelQueue []earlyCancel
	// recentCrashes are the times at which workers that have crashed since became unreachable, without those in isolated trials.
	recentCrashes []time.Time
	// lostLives holds the lives of workers that may have ended in a crash under a run; at most one entry for a worker.
	lostLives         map[fleet.WorkerID]*lostLife
	lostLivesPrunedAt time.Time
	// unknownJobs are the jobs of reported runs that were not received. lookupInFlight is set while the store is asked for
	// some of them.
	unknownJobs    map[fleet.JobID]*unknownJob
	lookupInFlight bool
	counts         Counts
	// longWaits is the number of long-running steps that had waited for longer than waitReportTime at waitsCheckedAt.
	longWaits      int
	waitsCheckedAt time.Time
}

// dirtyUnit is what is stored as one value: the record of a job, or a part unless that is nil. Its save makes the changes up to seq
// durable.
type dirtyUnit struct {
	job  *job
	part *part
	seq  int64
}

// batchUnit is a unit in the batch in flight. state is that in the record.
type batchUnit struct {
	dirtyUnit
	state infra.State
}

// New returns a scheduler that issues its orders under a fencing token.
func New(token infra.Token, opts ...Option) *Machine {
	m := &Machine{
		opts: options{
			taskLease: 6 * time.Second, maxLease: 6 * time.Second, leadershipTimeout: 5 * time.Second, retention: 10 * time.Minute,
			maxTargetMiss: 4 * time.Second, partTasks: defaultPartTasks,
		},
		token:               token,
		maxToken:            token,
		jobs:                make(map[fleet.JobID]*job),
		workers:             make(map[fleet.WorkerID]*worker),
		unreconciledWorkers: make(map[fleet.WorkerID]time.Time),
		fencedWorkers:       make(map[fleet.WorkerID]struct{}),
		roster:              make(map[fleet.WorkerID]RosterEntry),
		readySteps:          make(map[*step]*readyStep),

		candidates:         make(map[string]*candidateSet),
		runTimes:           make(map[string]*runTimeModel),
		scheduledJobs:      make(map[fleet.JobID]*job),
		interferenceModels: make(map[string]*interferenceModel),
		fillerImages:       imageIndex{numbers: make(map[string]int)},
		lateStarts:         make(map[fleet.WorkerID][]lateStart),
		cordons:            make(map[fleet.WorkerID]struct{}),
		earlyCancels:       make(map[fleet.JobID]struct{}),
		lostLives:          make(map[fleet.WorkerID]*lostLife),
		unknownJobs:        make(map[fleet.JobID]*unknownJob),
	}
	for _, opt := range opts {
		opt(&m.opts)
	}
	m.link, m.reports = newLane("", m.opts.linkBitsPerSecond), newReportRequests(m.opts.linkBitsPerSecond)
	return m
}

// Step applies an event and returns the resulting effects. now is a monotonic time that advances while the host is
// suspended.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	m.noteSuspension(now)
	m.now = now
	switch ev := ev.(type) {
	case RosterRestored:
		m.restoreRoster(ev)
	case Restored:
		m.restore(ev)
	case Configured:
		m.configure(ev.Catalog)
	case Submitted:
		m.submit(ev.Job, ev.Revision)
	case CancelRequested:
		m.cancel(ev.Job)
	case WorkerListed:
		m.workerListed(ev.Worker)
	case WorkerUnlisted:
		m.workerUnlisted(ev.Worker)
	case RenewAnswered:
		m.renewAnswered(ev)
	case RenewFailed:
		m.renewFailed(ev)
	case StartAnswered:
		m.startAnswered(ev)
	case StopAnswered:
		m.stopAnswered(ev)
	case ThrottleAnswered:
		m.throttleAnswered(ev)
	case Relays:
		m.setRelays(ev.Relays)
	case Cordon:
		m.cordon(ev)
	case Uncordon:
		m.uncordon(ev.Worker)
	case Saved:
		m.saved(ev)
	case SaveRejected:
		m.saveRejected(ev)
	case JobsLookedUp:
		m.jobsLookedUp(ev.Jobs)
	case ApprovalAnswered:
		m.approvalAnswered(ev)
	case PredecessorStopped:
		m.predecessorStopped(m.now.Add(-max(0, ev.Ago)))
	case PredecessorLeaseEnded:
		m.predecessorRevision = ev.Revision
		m.searchAgain()
	case Tick:
		m.leaseUnconfirmed = ev.LeaseUnconfirmed
		m.confirm(ev.ConfirmedAt)
		if m.electedAt.IsZero() {
			m.electedAt = m.confirmedAt
		}
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

// setQueue applies the configuration of a job's queue. A job of a removed queue keeps the last configuration.
func (m *Machine) setQueue(j *job) {
	q, found := m.queues[j.spec.Queue]
	switch {
	case found:
		j.queue = q
	case j.queue.Service == "":
		j.queue = infra.Queue{Name: j.spec.Queue, Service: j.spec.Service, MaxAttempts: j.spec.MaxAttempts}
		if j.spec.HasPolicy {
			j.queue.ApprovalCost = &infra.ApprovalCost{}
		}
	}
}

func (m *Machine) restore(ev Restored) {
	if !m.rosterRestored {
		m.restoreRoster(RosterRestored{Roster: ev.Roster, Takeovers: ev.Takeovers, Term: ev.Term})
	}
	for _, s := range ev.Jobs {
		if m.jobs[s.Job.ID] != nil {
			continue
		}
		j := m.newJob(s.Job)
		if s.Record != nil {
			j.restore(s.Record)
			m.splitRecord(j)
		}
		j.cancelled = j.cancelled || s.Cancelled && !j.durableState.Final()
		if j.cancelled {
			j.durableState = infra.StateCancelled
		}
		m.restoreParts(j, s.Parts)
		if s.Record != nil && s.Record.State.Final() && s.Record.State == j.state() {
			// To store all finished jobs again would hold up the ends of the runs.
			m.retain(j)
			continue
		}
		m.activate(j)
		m.rememberLostRuns(j)
		for _, o := range j.occurrences {
			o.raiseRunNumbers(firstRun(m.term))
		}
	}
	for _, id := range ev.Cancelled {
		m.cancelEarly(id)
	}
	for _, key := range ev.OrphanedParts {
		m.deletePart(partDeletion{key: key})
	}
	for _, r := range ev.Interference {
		m.interferenceModels[r.Image] = m.restoreInterference(r)
	}
	m.restored = true
	m.resumeReports()
	m.searchAgain()
}

// firstRun returns the number that all runs of a term exceed. Those of earlier terms do not exceed it, unless a task had runsPerTerm runs
// in one term.
func firstRun(term int64) infra.Run { return infra.Run(term) * runsPerTerm }

// raiseRunNumbers raises the run numbers of open tasks above those of all predecessors.
func (o *occurrence) raiseRunNumbers(base infra.Run) {
	for i := range o.steps {
		o.steps[i].tasks.raiseRunNumbers(base)
	}
}

func (m *Machine) newJob(spec infra.Job) *job {
	j := &job{spec: spec, occurrences: make(map[int64]*occurrence), durableState: infra.StateQueued, arrivedAt: m.now, partTasks: m.opts.partTasks}
	j.isSplit = m.isSplit(spec)
	if spec.Submitted > 0 && !m.wall.IsZero() {
		age := m.wall.Sub(time.UnixMilli(spec.Submitted))
		j.arrivedAt = m.now.Add(-min(max(0, age), m.opts.retention))
	}
	m.setQueue(j)
	m.updateMeanWork(j)
	m.jobs[spec.ID] = j
	return j
}

// activate makes the steps of a live job ready, or starts the retention time of a finished one.
func (m *Machine) activate(j *job) {
	if !j.live() {
		m.finish(j)
		return
	}
	if j.spec.Schedule.Count > 0 {
		m.scheduledJobs[j.spec.ID] = j
		m.createDueOccurrences(j)
	} else {
		j.occurrence(0)
		j.createdOccurrences, j.openOccurrences = 1, 1
	}
	for _, o := range j.occurrences {
		m.updateReady(o)
	}
}

// updateReady adds the runnable steps of an occurrence to the ready set and removes the others.
func (m *Machine) updateReady(o *occurrence) {
	for i := range o.steps {
		s := &o.steps[i]
		if s.waiting > 0 && o.job.live() && o.number < o.job.createdOccurrences && o.released(i) {
			if m.readySteps[s] == nil {
				r := &readyStep{occ: o, index: i, step: s, readySince: m.now}
				m.readySteps[s] = r
				o.job.readySteps++
				m.unrankedSteps = append(m.unrankedSteps, r)
			}
			m.placementDue = true
		} else {
			m.removeReady(s)
		}
	}
}

// removeReady removes a step from the ready set.
func (m *Machine) removeReady(s *step) {
	if r := m.readySteps[s]; r != nil {
		r.removed = true
		r.occ.job.readySteps--
		delete(m.readySteps, s)
	}
}

func (m *Machine) submit(spec infra.Job, revision int64) {
	if m.jobs[spec.ID] != nil || IsFinished(spec) {
		return
	}
	j := m.newJob(spec)
	j.revision = revision
	mayHaveRun := m.mayHaveRun(j)
	m.emit(Log{Text: "job received", Job: spec.ID, Reason: spec.Queue, Revision: revision, MayHaveRun: mayHaveRun})
	m.activate(j)
	if mayHaveRun {
		// A predecessor may have used run numbers for this job.
		for _, o := range j.occurrences {
			o.raiseRunNumbers(firstRun(m.term))
		}
	}
	m.resolveUnknown(spec.ID)
	if _, cancelled := m.earlyCancels[spec.ID]; cancelled {
		delete(m.earlyCancels, spec.ID)
		m.cancel(spec.ID)
	}
}

// stopJob stops the remaining runs of a job that must not run any longer, and starts its retention time.
func (m *Machine) stopJob(j *job, reason string) {
	for _, o := range j.occurrences {
		for i := range o.steps {
			m.removeReady(&o.steps[i])
			for _, t := range o.steps[i].tasks.allocated() {
				for _, r := range t.runs {
					m.stop(r, reason)
				}
			}
		}
	}
	m.finish(j)
}

// finish requests the save of a job's final state and starts its retention time.
func (m *Machine) finish(j *job) {
	delete(m.scheduledJobs, j.spec.ID)
	m.markDirty(j)
	for _, o := range j.occurrences {
		m.deleteParts(o)
	}
	m.retain(j)
}

// retain starts the retention time of a finished job.
func (m *Machine) retain(j *job) {
	m.finishedJobs = append(m.finishedJobs, j)
	j.finishedAt = m.now
	m.awaitReduction(j)
}

func (m *Machine) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		m.dirtySeq++
		j.dirtySeq = m.dirtySeq
		m.dirtyUnits = append(m.dirtyUnits, dirtyUnit{job: j, seq: j.dirtySeq})
	}
}
