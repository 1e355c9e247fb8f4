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

// Machine holds the jobs of one partition under one epoch; it is not safe for concurrent use.
//
// The epoch that a worker sees is the partition's epoch followed by a count of fences of that worker. A status read
// under a raised epoch proves that an attempt which it does not list never starts: the worker refuses the delayed
// start from then on.
type Machine struct {
	partition fleet.PartitionID
	epoch     fleet.Epoch
	placer    *place.Machine
	permit    Permit

	jobs    map[fleet.JobID]*job
	tasks   map[fleet.TaskID]*task
	workers map[fleet.WorkerID]*worker
	order   []*worker
	queues  [len(fleet.Classes)][]*queue
	byShape map[shape]*queue
	// pendingStart and reserving hold tasks that a tick looks at; entries that need nothing more are dropped there.
	pendingStart []*task
	reserving    []*task
	submits      map[fleet.JobID]*submission
	inboxSeen    map[fleet.JobID]bool
	open         []*job
	nextMove     time.Time
	cancels      map[fleet.JobID][]uint64
	held         map[fleet.CustomerID]Amount
	quotas       map[fleet.CustomerID]config.Quota
	limits       map[fleet.CustomerID]QuotaUsage
	capacities   map[fleet.PartitionID][]fleet.Resources
	version      uint64
	configs      map[fleet.CustomerID]Configured
	configDirty  bool
	settingUp    map[fleet.ServiceID]bool

	sequence    uint64
	published   map[fleet.ServiceID][]fleet.WorkerID
	dirty       bool
	nextPublish time.Time
	nextPlacer  time.Time

	out []Effect
}

// New returns a machine without jobs for the owner of a partition under the given epoch.
func New(p fleet.PartitionID, epoch fleet.Epoch, placer *place.Machine) *Machine {
	return &Machine{
		partition:  p,
		epoch:      epoch,
		placer:     placer,
		jobs:       make(map[fleet.JobID]*job),
		tasks:      make(map[fleet.TaskID]*task),
		workers:    make(map[fleet.WorkerID]*worker),
		byShape:    make(map[shape]*queue),
		submits:    make(map[fleet.JobID]*submission),
		inboxSeen:  make(map[fleet.JobID]bool),
		cancels:    make(map[fleet.JobID][]uint64),
		held:       make(map[fleet.CustomerID]Amount),
		quotas:     make(map[fleet.CustomerID]config.Quota),
		limits:     make(map[fleet.CustomerID]QuotaUsage),
		configs:    make(map[fleet.CustomerID]Configured),
		settingUp:  make(map[fleet.ServiceID]bool),
		published:  make(map[fleet.ServiceID][]fleet.WorkerID),
		capacities: make(map[fleet.PartitionID][]fleet.Resources),
		dirty:      true,
	}
}

// Recover loads the records of the ledger, in order, before the first event. Unless clean is set, a former owner may
// renew task leases until horizon has passed.
func (m *Machine) Recover(now time.Time, records []ledger.Record, clean bool, horizon time.Duration) {
	for _, r := range records {
		m.apply(r)
	}
	mayRunTo := now.Add(TaskLeaseTTL + TaskLeaseMargin + recoverExtra)
	if !clean {
		mayRunTo = mayRunTo.Add(horizon)
	}
	for _, j := range m.jobs {
		j.arrived = now
		m.open = append(m.open, j)
	}
	for _, t := range m.sortedTasks() {
		switch {
		case t.state == StateWaiting:
			m.enqueue(t)
		case t.state.live():
			t.state = StateClaimed
			t.sent, t.inherited, t.mayRunTo = true, true, mayRunTo
			m.worker(t.worker).tasks[t.id] = t
			m.hold(t, 1)
			m.placer.Step(now, place.ReservationRestored{Task: request(t, t.ref()), Worker: t.worker})
		}
	}
}

// Settled reports whether no earlier owner may still renew leases of this partition's tasks.
func (m *Machine) RecoveryComplete() bool {
	for _, w := range m.order {
		for _, t := range w.tasks {
			if t.inherited {
				return false
			}
		}
	}
	return true
}

// Calm reports whether the partition can change its owner without tasks that have to wait for the outage horizon.
func (m *Machine) CanHandOver() bool {
	for _, w := range m.order {
		if w.suspect() && len(w.tasks) > 0 {
			return false
		}
	}
	return m.RecoveryComplete()
}

// Allow sets what the ownership allows from now on; call it before [Machine.Step].
func (m *Machine) SetPermit(p Permit) { m.permit = p }

// Epoch returns the epoch of the partition that the machine works under.
func (m *Machine) Epoch() fleet.Epoch { return m.epoch }

func (m *Machine) sortedTasks() []*task {
	all := make([]*task, 0, len(m.tasks))
	for _, t := range m.tasks {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.submitted, b.job.submitted), cmp.Compare(a.id, b.id))
	})
	return all
}

// Step applies one event and returns what must be done, in order.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	m.out = nil
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
		m.inbox(ev)
	case Committed:
		for _, r := range ev.Records {
			m.committed(now, r)
		}
	case WorkerListed:
		m.workerSeen(now, ev.Worker)
	case WorkerUnlisted:
		m.workerGone(now, ev.ID)
	case Capacities:
		m.capacities = ev.Workers
	case Configured:
		m.configured(ev)
	case QuotaGrant:
		m.granted(ev)
	case StartDone:
		m.startDone(now, ev)
	case RenewDone:
		m.renewDone(now, ev)
	case StatusDone:
		m.statusDone(now, ev)
	case StopDone:
		m.stopDone(now, ev)
	}
	return m.out
}

func (m *Machine) emit(e Effect) { m.out = append(m.out, e) }

func (m *Machine) note(text string, args ...any) {
	m.emit(Log{Text: text, Args: append(args, "partition", m.partition)})
}

// tickPlacer lets the records of the placer expire, for which once a second is enough.
func (m *Machine) tickPlacer(now time.Time) []place.Effect {
	if now.Before(m.nextPlacer) {
		return nil
	}
	m.nextPlacer = now.Add(time.Second)
	return m.placer.Step(now, place.Tick{})
}

func (m *Machine) tick(now time.Time) {
	m.act(now, m.tickPlacer(now))
	if m.permit.Write {
		m.setUpServices()
		m.sendStarts(now)
		m.claimReserved(now)
		m.place(now)
		m.moveWaiting(now)
	}
	for _, w := range m.order {
		m.tickWorker(now, w)
	}
	m.publish(now)
}

// committed applies a durable record and does what it allows.
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
		m.serviceSet(now, r)
	}
}

func (m *Machine) worker(id fleet.WorkerID) *worker {
	if w := m.workers[id]; w != nil {
		return w
	}
	w := &worker{info: fleet.Worker{ID: id}, tasks: make(map[fleet.TaskID]*task)}
	m.workers[id] = w
	at, _ := slices.BinarySearchFunc(m.order, id, func(o *worker, id fleet.WorkerID) int { return cmp.Compare(o.info.ID, id) })
	m.order = slices.Insert(m.order, at, w)
	return w
}

func (m *Machine) workerEpoch(w *worker) fleet.Epoch {
	return m.epoch<<fenceBits | fleet.Epoch(w.fence)
}

// hold adds what a task holds to its customer's account, or takes it off.
func (m *Machine) hold(t *task, sign int) {
	customer := t.job.spec.Customer
	h := m.held[customer]
	h.Tasks += sign
	if sign > 0 {
		h.Resources = h.Resources.Add(t.job.spec.Resources)
	} else {
		h.Resources = h.Resources.Sub(t.job.spec.Resources)
	}
	m.held[customer] = h
}

func (m *Machine) act(now time.Time, actions []place.Effect) {
	if !m.permit.Write {
		return
	}
	for _, a := range actions {
		switch a := a.(type) {
		case place.Throttle:
			t := m.tasks[a.Task]
			if t == nil || t.ref() != a.TaskRef || t.state != StateRunning {
				continue
			}
			w := m.worker(a.Worker)
			m.note("place: task throttled", "task", a.Task, "worker", a.Worker, "permille", a.Permille, "reason", a.Reason)
			m.emit(Throttle{Worker: w.info, Epoch: m.workerEpoch(w), Ref: a.TaskRef, Permille: a.Permille})
		case place.Evict:
			m.evict(now, a.TaskRef, a.Reason)
		case place.ProbationChanged:
			m.note("place: probation changed", "worker", a.Worker, "on", a.On, "reason", a.Reason)
		}
	}
}

// evict checkpoints a running attempt and lets it resume elsewhere.
func (m *Machine) evict(now time.Time, ref plat.TaskRef, reason string) bool {
	t := m.tasks[ref.Task]
	if t == nil || t.ref() != ref || (t.state != StateRunning && t.state != StateClaimed) {
		return false
	}
	t.state = StateEvicting
	m.dirty = m.dirty || t.job.service != ""
	m.note("place: task evicted", "task", t.id, "attempt", t.attempt, "worker", t.worker, "reason", reason)
	m.stop(now, t, true)
	return true
}
