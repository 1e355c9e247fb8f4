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

// attempt is an attempt on a worker, until its report is acknowledged.
type attempt struct {
	ref       plat.TaskRef
	start     plat.StartRequest
	startedAt time.Time
	leaseEnd  time.Time
	endsAt    time.Time
	state     plat.TaskState
}

// fakeWorker is a worker and the attempts that were not acknowledged.
type fakeWorker struct {
	info     fleet.Worker
	epoch    fleet.Epoch
	attempts map[plat.TaskRef]*attempt
	cut      bool
}

// fakeWorkers implements [plat.Agent] in memory. It records a violation if a task runs twice at the same time, an
// attempt starts again or does not resume from the last checkpoint, or a worker is overloaded.
type fakeWorkers struct {
	mu          sync.Mutex
	byID        map[fleet.WorkerID]*fakeWorker
	startCounts map[plat.TaskRef]int
	// checkpoints holds the checkpoint of the last stopped attempt of each task.
	checkpoints map[fleet.TaskID]string
	violations  []string
	// unreachableWorkers holds the workers whose checkpoints may be lost, because an owner could not reach them for
	// longer than the outage horizon.
	unreachableWorkers map[fleet.WorkerID]bool
	loseNext           int
	failingKinds       map[string]bool
	// crashingKinds holds the kinds of tasks that crash their worker after the time given, or before the start is
	// answered if that is zero.
	crashingKinds map[string]time.Duration
	startsByTask  map[fleet.TaskID]int
	// lateBy delays the delivery of starts whose response is lost.
	lateBy time.Duration
	starts int
}

func newFakeWorkers(workers []fleet.Worker) *fakeWorkers {
	f := &fakeWorkers{
		byID: map[fleet.WorkerID]*fakeWorker{}, startCounts: map[plat.TaskRef]int{}, checkpoints: map[fleet.TaskID]string{},
		failingKinds: map[string]bool{}, crashingKinds: map[string]time.Duration{}, startsByTask: map[fleet.TaskID]int{}, unreachableWorkers: map[fleet.WorkerID]bool{},
	}
	for _, w := range workers {
		f.byID[w.ID] = &fakeWorker{info: w, attempts: map[plat.TaskRef]*attempt{}}
	}
	return f
}

func (f *fakeWorkers) violation(format string, args ...any) {
	f.violations = append(f.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// updateAttempts ends the attempts of a worker that have completed or whose lease has expired.
func (f *fakeWorkers) updateAttempts(fw *fakeWorker) {
	now := time.Now()
	for _, a := range fw.attempts {
		if a.state != plat.TaskRunning {
			continue
		}
		switch {
		case now.After(a.leaseEnd) && a.leaseEnd.Before(a.endsAt):
			a.state = plat.TaskExpired
		case now.After(a.endsAt) && f.failingKinds[a.start.Kind]:
			a.state = plat.TaskFailed
		case now.After(a.endsAt):
			a.state = plat.TaskSucceeded
		}
	}
}

// worker returns a worker, or an error if it is unreachable or has accepted a later epoch. The caller holds the lock.
func (f *fakeWorkers) worker(w fleet.WorkerID, epoch fleet.Epoch, op string) (*fakeWorker, error) {
	fw := f.byID[w]
	f.updateAttempts(fw)
	if fw.cut {
		return nil, &plat.UnreachableError{Worker: w, Op: op, Cause: errFake}
	}
	if epoch < fw.epoch {
		return nil, &plat.RefusedError{Worker: w, Op: op, Reason: plat.ReasonStaleEpoch}
	}
	fw.epoch = epoch
	return fw, nil
}

func (f *fakeWorkers) loseResponse(w fleet.WorkerID, op string) error {
	if f.loseNext == 0 {
		return nil
	}
	f.loseNext--
	return &plat.OutcomeUnknownError{Worker: w, Op: op, Cause: errFake}
}

func (f *fakeWorkers) Start(_ context.Context, w fleet.Worker, s plat.StartRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lateBy > 0 && f.loseNext > 0 {
		time.AfterFunc(f.lateBy, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_ = f.startAttempt(w, s)
		})
		return f.loseResponse(w.ID, "start")
	}
	if err := f.startAttempt(w, s); err != nil {
		return err
	}
	if after, crashes := f.crashingKinds[s.Kind]; crashes && after == 0 {
		clear(f.byID[w.ID].attempts)
		f.byID[w.ID].cut = true
		time.AfterFunc(3*time.Second, func() { f.setCut(w.ID, false) })
		return &plat.OutcomeUnknownError{Worker: w.ID, Op: "start", Cause: errFake}
	}
	return f.loseResponse(w.ID, "start")
}

func (f *fakeWorkers) startAttempt(w fleet.Worker, s plat.StartRequest) error {
	fw, err := f.worker(w.ID, s.Epoch, "start")
	if err != nil {
		return err
	}
	if fw.attempts[s.TaskRef] != nil {
		return nil
	}
	var used fleet.Resources
	for _, o := range f.byID {
		f.updateAttempts(o)
		for _, a := range o.attempts {
			if a.state == plat.TaskRunning && a.ref.Task == s.Task {
				f.violation("task %s attempt %d starts on %s while attempt %d runs on %s", s.Task, s.Attempt, w.ID, a.ref.Attempt, o.info.ID)
			}
			if a.state == plat.TaskRunning && o == fw {
				used = used.Add(a.start.Resources)
			}
		}
	}
	if !used.Add(s.Resources).Fits(fw.info.Capacity) {
		f.violation("worker %s is assigned more than its capacity", w.ID)
	}
	if f.startCounts[s.TaskRef]++; f.startCounts[s.TaskRef] > 1 {
		f.violation("attempt %v started again", s.TaskRef)
	}
	if want := f.checkpoints[s.Task]; want != "" && string(s.Checkpoint) != want {
		f.violation("attempt %v resumes from %q, want %q", s.TaskRef, s.Checkpoint, want)
	}
	f.starts++
	f.startsByTask[s.Task]++
	if after := f.crashingKinds[s.Kind]; after > 0 {
		time.AfterFunc(after, func() { f.reboot(w.ID) })
	}
	now := time.Now()
	if s.RunMS == 0 {
		s.RunMS = (1000 * time.Hour).Milliseconds() // a service replica runs until it is stopped
	}
	fw.attempts[s.TaskRef] = &attempt{
		ref: s.TaskRef, start: s, startedAt: now, state: plat.TaskRunning,
		leaseEnd: now.Add(time.Duration(s.LeaseMS) * time.Millisecond), endsAt: now.Add(time.Duration(s.RunMS) * time.Millisecond),
	}
	return nil
}

func (f *fakeWorkers) Renew(_ context.Context, w fleet.Worker, epoch fleet.Epoch, lease time.Duration, tasks []plat.TaskRef) ([]plat.TaskRef, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fw, err := f.worker(w.ID, epoch, "renew")
	if err != nil {
		return nil, err
	}
	var unknown []plat.TaskRef
	for _, ref := range tasks {
		if a := fw.attempts[ref]; a == nil {
			unknown = append(unknown, ref)
		} else if a.state == plat.TaskRunning {
			a.leaseEnd = time.Now().Add(lease)
		}
	}
	return unknown, f.loseResponse(w.ID, "renew")
}

func (f *fakeWorkers) Stop(_ context.Context, w fleet.Worker, epoch fleet.Epoch, task plat.TaskRef, checkpoint bool) (plat.TaskStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fw, err := f.worker(w.ID, epoch, "stop")
	if err != nil {
		return plat.TaskStatus{}, err
	}
	a := fw.attempts[task]
	if a == nil {
		return plat.TaskStatus{}, &plat.RefusedError{Worker: w.ID, Op: "stop", Reason: plat.ReasonUnknownTask}
	}
	if a.state == plat.TaskRunning {
		a.state = plat.TaskStopped
		if checkpoint {
			a.start.Checkpoint = fmt.Appendf(nil, "after attempt %d", task.Attempt)
			f.checkpoints[task.Task] = string(a.start.Checkpoint)
			if f.unreachableWorkers[w.ID] {
				delete(f.checkpoints, task.Task)
			}
		}
	}
	return a.status(), f.loseResponse(w.ID, "stop")
}

func (a *attempt) status() plat.TaskStatus {
	return plat.TaskStatus{TaskRef: a.ref, State: a.state, Checkpoint: a.start.Checkpoint, SlowdownPermille: 1000}
}

func (f *fakeWorkers) Throttle(context.Context, fleet.Worker, fleet.Epoch, plat.TaskRef, int) error {
	return nil
}

func (f *fakeWorkers) Status(_ context.Context, w fleet.Worker, epoch fleet.Epoch) (plat.WorkerStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fw, err := f.worker(w.ID, epoch, "status")
	if err != nil {
		return plat.WorkerStatus{}, err
	}
	s := plat.WorkerStatus{Epoch: fw.epoch}
	for _, a := range fw.attempts {
		s.Tasks = append(s.Tasks, a.status())
		if a.state == plat.TaskRunning {
			s.Usage.Resources = s.Usage.Add(a.start.Resources)
		}
	}
	return s, nil
}

func (f *fakeWorkers) Ack(_ context.Context, w fleet.Worker, epoch fleet.Epoch, tasks []plat.TaskRef) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	fw, err := f.worker(w.ID, epoch, "ack")
	if err != nil {
		return err
	}
	for _, ref := range tasks {
		if a := fw.attempts[ref]; a != nil && a.state != plat.TaskRunning {
			delete(fw.attempts, ref)
		}
	}
	return nil
}

// reboot ends and removes all attempts on a worker.
func (f *fakeWorkers) reboot(id fleet.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropCheckpoints(f.byID[id])
	clear(f.byID[id].attempts)
}

// dropCheckpoints removes the checkpoints that are lost with a worker, or that the owner may never receive from it.
func (f *fakeWorkers) dropCheckpoints(fw *fakeWorker) {
	for ref, a := range fw.attempts {
		if a.state == plat.TaskStopped {
			delete(f.checkpoints, ref.Task)
		}
	}
}

// setUnreachable marks the workers whose names begin with prefix, and removes their checkpoints.
func (f *fakeWorkers) setUnreachable(prefix string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, fw := range f.byID {
		if strings.HasPrefix(string(id), prefix) {
			f.unreachableWorkers[id] = true
			f.dropCheckpoints(fw)
		}
	}
}

func (f *fakeWorkers) setCut(id fleet.WorkerID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byID[id].cut = cut
	f.dropCheckpoints(f.byID[id])
}
