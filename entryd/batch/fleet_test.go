package batch_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// run is one attempt at a worker.
type run struct {
	ref   plat.TaskRef
	start plat.StartRequest
	startedAt  time.Time
	leaseEnd time.Time
	endsAt  time.Time
	state plat.TaskState
}

type fakeWorker struct {
	info  fleet.Worker
	epoch fleet.Epoch
	runs  map[plat.TaskRef]*run
	cut   bool
}

// machines are the workers, which check that no task runs twice at a time and that none is overloaded.
type fakeWorkers struct {
	mu      sync.Mutex
	workers   map[fleet.WorkerID]*fakeWorker
	started map[plat.TaskRef]int
	// saved is the checkpoint of the last stopped attempt of a task.
	checkpoints  map[fleet.TaskID]string
	violations []string
	// unsure holds workers whose checkpoints may be given up, because an owner could not reach them past the horizon.
	unreachable   map[fleet.WorkerID]bool
	loseNext int
	failingKinds  map[string]bool
	// lateBy delays the delivery of starts whose answer is lost.
	lateBy time.Duration
	starts int
}

func newFakeWorkers(workers []fleet.Worker) *fakeWorkers {
	m := &fakeWorkers{
		workers: map[fleet.WorkerID]*fakeWorker{}, started: map[plat.TaskRef]int{}, checkpoints: map[fleet.TaskID]string{},
		failingKinds: map[string]bool{}, unreachable: map[fleet.WorkerID]bool{},
	}
	for _, w := range workers {
		m.workers[w.ID] = &fakeWorker{info: w, runs: map[plat.TaskRef]*run{}}
	}
	return m
}

func (m *fakeWorkers) violation(format string, args ...any) {
	m.violations = append(m.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// settle ends the attempts of a worker whose time has come.
func (m *fakeWorkers) updateRuns(b *fakeWorker) {
	now := time.Now()
	for _, r := range b.runs {
		if r.state != plat.TaskRunning {
			continue
		}
		switch {
		case now.After(r.leaseEnd) && r.leaseEnd.Before(r.endsAt):
			r.state = plat.TaskExpired
		case now.After(r.endsAt) && m.failingKinds[r.start.Kind]:
			r.state = plat.TaskFailed
		case now.After(r.endsAt):
			r.state = plat.TaskSucceeded
		}
	}
}

// at returns the reachable worker; the caller holds the lock.
func (m *fakeWorkers) worker(w fleet.WorkerID, epoch fleet.Epoch, op string) (*fakeWorker, error) {
	b := m.workers[w]
	m.updateRuns(b)
	if b.cut {
		return nil, &plat.UnreachableError{Worker: w, Op: op, Cause: errFake}
	}
	if epoch < b.epoch {
		return nil, &plat.RefusedError{Worker: w, Op: op, Reason: plat.ReasonStaleEpoch}
	}
	b.epoch = epoch
	return b, nil
}

func (m *fakeWorkers) loseAnswer(w fleet.WorkerID, op string) error {
	if m.loseNext == 0 {
		return nil
	}
	m.loseNext--
	return &plat.OutcomeUnknownError{Worker: w, Op: op, Cause: errFake}
}

func (m *fakeWorkers) Start(_ context.Context, w fleet.Worker, s plat.StartRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lateBy > 0 && m.loseNext > 0 {
		time.AfterFunc(m.lateBy, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			_ = m.startRun(w, s)
		})
		return m.loseAnswer(w.ID, "start")
	}
	if err := m.startRun(w, s); err != nil {
		return err
	}
	return m.loseAnswer(w.ID, "start")
}

func (m *fakeWorkers) startRun(w fleet.Worker, s plat.StartRequest) error {
	b, err := m.worker(w.ID, s.Epoch, "start")
	if err != nil {
		return err
	}
	if b.runs[s.TaskRef] != nil {
		return nil
	}
	var used fleet.Resources
	for _, o := range m.workers {
		m.updateRuns(o)
		for _, r := range o.runs {
			if r.state == plat.TaskRunning && r.ref.Task == s.Task {
				m.violation("task %s attempt %d starts on %s while attempt %d runs on %s", s.Task, s.Attempt, w.ID, r.ref.Attempt, o.info.ID)
			}
			if r.state == plat.TaskRunning && o == b {
				used = used.Add(r.start.Resources)
			}
		}
	}
	if !used.Add(s.Resources).Fits(b.info.Capacity) {
		m.violation("worker %s is given more than it has", w.ID)
	}
	if m.started[s.TaskRef]++; m.started[s.TaskRef] > 1 {
		m.violation("attempt %v started again", s.TaskRef)
	}
	if want := m.checkpoints[s.Task]; want != "" && string(s.Checkpoint) != want {
		m.violation("attempt %v resumes from %q, want %q", s.TaskRef, s.Checkpoint, want)
	}
	m.starts++
	now := time.Now()
	if s.RunMS == 0 {
		s.RunMS = (1000 * time.Hour).Milliseconds() // a service replica runs until it is stopped
	}
	b.runs[s.TaskRef] = &run{
		ref: s.TaskRef, start: s, startedAt: now, state: plat.TaskRunning,
		leaseEnd: now.Add(time.Duration(s.LeaseMS) * time.Millisecond), endsAt: now.Add(time.Duration(s.RunMS) * time.Millisecond),
	}
	return nil
}

func (m *fakeWorkers) Renew(_ context.Context, w fleet.Worker, epoch fleet.Epoch, lease time.Duration, tasks []plat.TaskRef) ([]plat.TaskRef, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, err := m.worker(w.ID, epoch, "renew")
	if err != nil {
		return nil, err
	}
	var unknown []plat.TaskRef
	for _, ref := range tasks {
		if r := b.runs[ref]; r == nil {
			unknown = append(unknown, ref)
		} else if r.state == plat.TaskRunning {
			r.leaseEnd = time.Now().Add(lease)
		}
	}
	return unknown, m.loseAnswer(w.ID, "renew")
}

func (m *fakeWorkers) Stop(_ context.Context, w fleet.Worker, epoch fleet.Epoch, task plat.TaskRef, checkpoint bool) (plat.TaskStatus, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, err := m.worker(w.ID, epoch, "stop")
	if err != nil {
		return plat.TaskStatus{}, err
	}
	r := b.runs[task]
	if r == nil {
		return plat.TaskStatus{}, &plat.RefusedError{Worker: w.ID, Op: "stop", Reason: plat.ReasonUnknownTask}
	}
	if r.state == plat.TaskRunning {
		r.state = plat.TaskStopped
		if checkpoint {
			r.start.Checkpoint = fmt.Appendf(nil, "after attempt %d", task.Attempt)
			m.checkpoints[task.Task] = string(r.start.Checkpoint)
			if m.unreachable[w.ID] {
				delete(m.checkpoints, task.Task)
			}
		}
	}
	return r.status(), m.loseAnswer(w.ID, "stop")
}

func (r *run) status() plat.TaskStatus {
	return plat.TaskStatus{TaskRef: r.ref, State: r.state, Checkpoint: r.start.Checkpoint, SlowdownPermille: 1000}
}

func (m *fakeWorkers) Throttle(context.Context, fleet.Worker, fleet.Epoch, plat.TaskRef, int) error {
	return nil
}

func (m *fakeWorkers) Status(_ context.Context, w fleet.Worker, epoch fleet.Epoch) (plat.WorkerStatus, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, err := m.worker(w.ID, epoch, "status")
	if err != nil {
		return plat.WorkerStatus{}, err
	}
	s := plat.WorkerStatus{Epoch: b.epoch}
	for _, r := range b.runs {
		s.Tasks = append(s.Tasks, r.status())
		if r.state == plat.TaskRunning {
			s.Usage.Resources = s.Usage.Add(r.start.Resources)
		}
	}
	return s, nil
}

func (m *fakeWorkers) Ack(_ context.Context, w fleet.Worker, epoch fleet.Epoch, tasks []plat.TaskRef) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, err := m.worker(w.ID, epoch, "ack")
	if err != nil {
		return err
	}
	for _, ref := range tasks {
		if r := b.runs[ref]; r != nil && r.state != plat.TaskRunning {
			delete(b.runs, ref)
		}
	}
	return nil
}

// reboot ends everything on a worker, which also forgets the epoch.
func (m *fakeWorkers) reboot(id fleet.WorkerID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropCheckpoints(m.workers[id])
	clear(m.workers[id].runs)
}

// forgetSaved drops the checkpoints that die with a worker, or that its owner may give up before it sees them.
func (m *fakeWorkers) dropCheckpoints(b *fakeWorker) {
	for ref, r := range b.runs {
		if r.state == plat.TaskStopped {
			delete(m.checkpoints, ref.Task)
		}
	}
}

func (m *fakeWorkers) setUnreachable(prefix string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, b := range m.workers {
		if strings.HasPrefix(string(id), prefix) {
			m.unreachable[id] = true
			m.dropCheckpoints(b)
		}
	}
}

func (m *fakeWorkers) setCut(id fleet.WorkerID, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.workers[id].cut = cut
	m.dropCheckpoints(m.workers[id])
}
