package jobs

import (
	"cmp"
	"slices"
	"time"

	"lovagefork.example/coord/place"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/plat"
)

// Machine manages the jobs of one partition under one epoch. It is not safe for concurrent use.
//
// The epoch in commands to a worker consists of the partition's epoch and a fence counter for that worker. After the
// worker has answered a status read with a raised counter, it refuses delayed starts with a lower one. So an attempt
// that this status does not list will never start.
type Machine struct {
	partition fleet.PartitionID
	epoch     fleet.Epoch
	placer    *place.Machine
	permit    Permit

	jobs          map[fleet.JobID]*job
	tasks         map[fleet.TaskID]*task
	workers       map[fleet.WorkerID]*worker
	sortedWorkers []*worker
	queues        [len(fleet.Classes)][]*queue
	byShape       map[shape]*queue
	// pendingStarts and awaitingEvictions are checked by every tick, which drops the tasks that are done.
	pendingStarts []*task
	// losses are the workers that were lost within crashWindow.
	losses             []workerLoss
	awaitingEvictions  []*task
	pendingSubmissions map[fleet.JobID]*submission
	pendingReceived    map[fleet.JobID]bool
	// unfinishedJobs also holds jobs that have ended since the last run of moveWaitingJobs.
	unfinishedJobs []*job
	nextMoveCheck  time.Time
	pendingCancels map[fleet.JobID][]uint64
	used           map[fleet.CustomerID]Amount
	quotas         map[fleet.CustomerID]config.Quota
	quotaUsage     map[fleet.CustomerID]QuotaUsage
	capacities     map[fleet.PartitionID][]fleet.Resources
	// placementVersion counts the changes that may let a task be placed that did not fit before.
	placementVersion uint64
	configs          map[fleet.CustomerID]Configured
	configDirty      bool
	pendingServices  map[fleet.ServiceID]bool // replica sets whose record is not durable yet

	endpointsSequence uint64
	published         map[fleet.ServiceID][]fleet.WorkerID
	endpointsChanged  bool
	nextPublish       time.Time
	nextPlacerTick    time.Time

	effects []Effect
}

// New returns a machine without jobs for the owner of a partition under the given epoch.
func New(p fleet.PartitionID, epoch fleet.Epoch, placer *place.Machine) *Machine {
	return &Machine{
		partition:          p,
		epoch:              epoch,
		placer:             placer,
		jobs:               make(map[fleet.JobID]*job),
		tasks:              make(map[fleet.TaskID]*task),
		workers:            make(map[fleet.WorkerID]*worker),
		byShape:            make(map[shape]*queue),
		pendingSubmissions: make(map[fleet.JobID]*submission),
		pendingReceived:    make(map[fleet.JobID]bool),
		pendingCancels:     make(map[fleet.JobID][]uint64),
		used:               make(map[fleet.CustomerID]Amount),
		quotas:             make(map[fleet.CustomerID]config.Quota),
		quotaUsage:         make(map[fleet.CustomerID]QuotaUsage),
		configs:            make(map[fleet.CustomerID]Configured),
		pendingServices:    make(map[fleet.ServiceID]bool),
		published:          make(map[fleet.ServiceID][]fleet.WorkerID),
		capacities:         make(map[fleet.PartitionID][]fleet.Resources),
		endpointsChanged:   true,
	}
}

// Recover applies the records of the ledger, in order. Call it before the first event. Unless clean is set, a former
// owner may still renew task leases until horizon has passed.
func (m *Machine) Recover(now time.Time, records []ledger.Record, clean bool, horizon time.Duration) {
	for _, r := range records {
		m.apply(r)
	}
	mayRunUntil := now.Add(TaskLeaseTTL + TaskLeaseMargin + recoveryMargin)
	if !clean {
		mayRunUntil = mayRunUntil.Add(horizon)
	}
	for _, j := range m.jobs {
		j.arrivedAt = now
		m.unfinishedJobs = append(m.unfinishedJobs, j)
	}
	for _, t := range m.sortedTasks() {
		switch {
		case t.state == StateWaiting:
			m.enqueue(t)
		case t.state.live():
			t.state = StateClaimed
			t.startSent, t.inherited, t.mayRunUntil = true, true, mayRunUntil
			m.worker(t.worker).tasks[t.id] = t
			m.addUsed(t, 1)
			m.placer.Step(now, place.ReservationRestored{Task: request(t, t.ref()), Worker: t.worker})
		}
	}
}

// Continue takes over from the former machine of this process what it knows about the leases of attempts on workers that did not
// answer. Such a worker may answer again, so that its report is awaited for recoveryMargin. Call it after [Machine.Recover], and
// only if no other process has owned the partition since.
func (m *Machine) Continue(now time.Time, former *Machine) {
	for _, t := range m.sortedTasks() {
		old := former.tasks[t.id]
		if !t.inherited || old == nil || old.ref() != t.ref() || old.mayRunUntil.IsZero() {
			continue
		}
		w := former.worker(old.worker)
		isSilent := w.suspect() || !w.epochAccepted
		isKnown := isSilent && !old.startInFlight && !w.renewInFlight
		if isKnown || old.mayRunUntil.After(t.mayRunUntil) {
			t.mayRunUntil = slices.MaxFunc([]time.Time{old.mayRunUntil, now.Add(recoveryMargin)}, time.Time.Compare)
		}
	}
}

// RecoveryComplete reports whether every attempt that a former owner may have started is confirmed or has ended. Until
// then, a former owner may still renew the leases of such attempts.
func (m *Machine) RecoveryComplete() bool {
	for _, w := range m.sortedWorkers {
		for _, t := range w.tasks {
			if t.inherited {
				return false
			}
		}
	}
	return true
}

// CanHandOver reports whether the next owner would not have to wait for the outage horizon with any task: recovery is
// complete and no worker with tasks is suspect.
func (m *Machine) CanHandOver() bool {
	for _, w := range m.sortedWorkers {
		if w.suspect() && len(w.tasks) > 0 {
			return false
		}
	}
	return m.RecoveryComplete()
}

// SetPermit sets the operations that are allowed from now on. Call it before [Machine.Step].
func (m *Machine) SetPermit(p Permit) { m.permit = p }

// Epoch returns the epoch of the partition under which the machine works.
func (m *Machine) Epoch() fleet.Epoch { return m.epoch }

// sortedTasks returns all tasks, ordered by the submission time of their jobs and then by id.
func (m *Machine) sortedTasks() []*task {
	all := make([]*task, 0, len(m.tasks))
	for _, t := range m.tasks {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.submittedMS, b.job.submittedMS), cmp.Compare(a.id, b.id))
	})
	return all
}

// Step handles one event and returns the effects to perform, in order.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	m.effects = nil
	switch ev := ev.(type) {
	case Tick:
		m.tick(now)
	case Submit:
		m.submit(now, ev)
	case Cancel:
		m.cancel(now, ev)
	case Evict:
		m.evictJob(now, ev)
	case JobReceived:
		m.receiveJob(ev)
	case Committed:
		for _, r := range ev.Records {
			m.committed(now, r)
		}
	case WorkerListed:
		m.workerListed(now, ev.Worker)
	case WorkerUnlisted:
		m.workerUnlisted(now, ev.ID)
	case Capacities:
		m.capacities = ev.Workers
	case Configured:
		m.configured(ev)
	case QuotaGrant:
		m.quotaGranted(ev)
	case StartDone:
		m.startDone(now, ev)
	case RenewDone:
		m.renewDone(now, ev)
	case StatusDone:
		m.statusDone(now, ev)
	case StopDone:
		m.stopDone(now, ev)
	}
	return m.effects
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) log(text string, args ...any) {
	m.emit(Log{Text: text, Args: append(args, "partition", m.partition)})
}

// tickPlacer expires old entries of the placer. Once a second is enough for that.
func (m *Machine) tickPlacer(now time.Time) []place.Effect {
	if now.Before(m.nextPlacerTick) {
		return nil
	}
	m.nextPlacerTick = now.Add(time.Second)
	return m.placer.Step(now, place.Tick{})
}

func (m *Machine) tick(now time.Time) {
	m.applyPlacement(now, m.tickPlacer(now))
	if m.permit.Write {
		m.reconcileServices()
		m.sendStarts(now)
		m.claimReserved(now)
		m.place(now)
		m.moveWaitingJobs(now)
	}
	for _, w := range m.sortedWorkers {
		m.tickWorker(now, w)
	}
	m.publish(now)
}

// committed applies a durable record and takes the actions that had to wait for it.
func (m *Machine) committed(now time.Time, r ledger.Record) {
	switch r := r.(type) {
	case ledger.JobSubmitted:
		m.submitted(now, r)
	case ledger.TaskClaimed:
		m.claimed(now, r)
	case ledger.AttemptEnded:
		m.attemptEnded(now, r)
	case ledger.JobCancelled:
		m.jobCancelled(now, r)
	case ledger.JobMoved:
		m.jobMoved(r)
	case ledger.ServiceConfigured:
		m.serviceConfigured(now, r)
	}
}

// worker returns the worker with the given id, which it adds if necessary.
func (m *Machine) worker(id fleet.WorkerID) *worker {
	if w := m.workers[id]; w != nil {
		return w
	}
	w := &worker{info: fleet.Worker{ID: id}, tasks: make(map[fleet.TaskID]*task)}
	m.workers[id] = w
	at, _ := slices.BinarySearchFunc(m.sortedWorkers, id, func(o *worker, id fleet.WorkerID) int { return cmp.Compare(o.info.ID, id) })
	m.sortedWorkers = slices.Insert(m.sortedWorkers, at, w)
	return w
}

// workerEpoch returns the epoch for commands to a worker: the partition's epoch, then the worker's fence counter.
func (m *Machine) workerEpoch(w *worker) fleet.Epoch {
	return m.epoch<<fenceBits | fleet.Epoch(w.fence)
}

// addUsed adds a task to its customer's used amount, or subtracts it if sign is -1.
func (m *Machine) addUsed(t *task, sign int) {
	customer := t.job.spec.Customer
	used := m.used[customer]
	used.Tasks += sign
	if sign > 0 {
		used.Resources = used.Resources.Add(t.job.spec.Resources)
	} else {
		used.Resources = used.Resources.Sub(t.job.spec.Resources)
	}
	m.used[customer] = used
}

// applyPlacement performs the effects of the placer.
func (m *Machine) applyPlacement(now time.Time, effects []place.Effect) {
	if !m.permit.Write {
		return
	}
	for _, e := range effects {
		switch e := e.(type) {
		case place.Throttle:
			t := m.tasks[e.Task]
			if t == nil || t.ref() != e.TaskRef || t.state != StateRunning {
				continue
			}
			w := m.worker(e.Worker)
			m.log("place: task throttled", "task", e.Task, "worker", e.Worker, "permille", e.Permille, "reason", e.Reason)
			m.emit(Throttle{Worker: w.info, Epoch: m.workerEpoch(w), Ref: e.TaskRef, Permille: e.Permille})
		case place.Evict:
			m.evict(now, e.TaskRef, e.Reason)
		case place.ProbationChanged:
			m.log("place: probation changed", "worker", e.Worker, "on", e.On, "reason", e.Reason)
		}
	}
}

// evict stops a running attempt with a checkpoint, from which the task resumes elsewhere. It reports whether the
// attempt could be evicted.
func (m *Machine) evict(now time.Time, ref plat.TaskRef, reason string) bool {
	t := m.tasks[ref.Task]
	if t == nil || t.ref() != ref || (t.state != StateRunning && t.state != StateClaimed) {
		return false
	}
	t.state = StateEvicting
	m.endpointsChanged = m.endpointsChanged || t.job.serviceID != ""
	m.log("place: task evicted", "task", t.id, "attempt", t.attempt, "worker", t.worker, "reason", reason)
	m.stop(now, t, true)
	return true
}
