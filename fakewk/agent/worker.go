package agent

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// undisturbed is the slowdown of a task that runs alone, and the throttle of one that is not limited, in thousandths.
const undisturbed = 1000

// worker emulates one worker agent. A worker that is dead has lost its tasks and its epoch.
type worker struct {
	info  fleet.Worker
	audit *audit

	mu       sync.Mutex
	epoch    fleet.Epoch
	tasks    map[plat.TaskRef]*task
	fault    WorkerFault
	pairs    KindProperties
	usage    fleet.Resources
	usageAt  time.Time
	usageLag time.Duration
	// resumed is closed when a pause ends; it is nil while the worker runs.
	resumed chan struct{}
}

func newWorker(info fleet.Worker, a *audit, lag time.Duration) *worker {
	return &worker{info: info, audit: a, tasks: make(map[plat.TaskRef]*task), usageAt: time.Now(), usageLag: lag}
}

// refuse carries a refusal to the HTTP layer.
type refuse struct {
	status int
	reason string
}

func (w *worker) raise(epoch fleet.Epoch) *refuse {
	if epoch < w.epoch {
		return &refuse{409, plat.ReasonStaleEpoch}
	}
	w.epoch = epoch
	return nil
}

// tick ends the tasks that are due, and samples the usage at the reporting interval.
func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resumed != nil || w.fault.Dead {
		return
	}
	w.settle(now)
	if now.Sub(w.usageAt) >= w.lag() {
		w.usage, w.usageAt = w.currentUsage(), now
	}
}

func (w *worker) lag() time.Duration {
	return max(w.usageLag, time.Duration(w.fault.ReportLagMS)*time.Millisecond)
}

// settle ends due tasks one at a time, because each end changes the slowdown of the others.
func (w *worker) settle(now time.Time) {
	for {
		first, due := w.firstDue(now)
		if first == nil {
			break
		}
		w.advance(due)
		first.end(now)
		w.audit.ended(first, w.info.ID)
		w.slow()
	}
	w.advance(now)
}

func (w *worker) advance(now time.Time) {
	for _, t := range w.tasks {
		t.advance(now)
	}
}

func (w *worker) firstDue(now time.Time) (*task, time.Time) {
	var first *task
	var due time.Time
	for _, t := range w.tasks {
		if t.state != plat.TaskRunning {
			continue
		}
		for _, at := range []time.Time{t.finishAt(), t.failAt, t.leaseUntil} {
			if !at.IsZero() && !at.After(now) && (first == nil || at.Before(due)) {
				first, due = t, at
			}
		}
	}
	return first, due
}

// slow recomputes the slowdown of every running task from the kinds that run beside it.
func (w *worker) slow() {
	for _, t := range w.tasks {
		if t.state != plat.TaskRunning {
			continue
		}
		t.slowdown = undisturbed
		for _, other := range w.tasks {
			if other != t && other.state == plat.TaskRunning {
				t.slowdown += w.pairs.extra(t.kind, other.kind, other.permille)
			}
		}
	}
}

func (w *worker) currentUsage() fleet.Resources {
	var sum fleet.Resources
	for _, t := range w.tasks {
		if t.state == plat.TaskRunning {
			sum = sum.Add(t.resources)
		}
	}
	if f := int64(w.fault.UsagePermille); f > 0 {
		sum.MilliCPU = sum.MilliCPU * f / 1000
		sum.MemoryBytes = sum.MemoryBytes * f / 1000
	}
	return sum
}

// start returns the HTTP status of a successful start, or a refusal.
func (w *worker) start(s plat.StartRequest, now time.Time) (int, *refuse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.raise(s.Epoch); r != nil {
		return 0, r
	}
	w.settle(now)
	if w.tasks[s.TaskRef] != nil {
		return 200, nil
	}
	held := s.Resources
	for _, t := range w.tasks {
		if t.state == plat.TaskRunning {
			held = held.Add(t.resources)
		}
	}
	if !held.Fits(w.info.Capacity) {
		return 0, &refuse{507, plat.ReasonInsufficientResources}
	}
	var from checkpoint
	if len(s.Checkpoint) > 0 {
		_ = json.Unmarshal(s.Checkpoint, &from)
	}
	t := &task{
		ref: s.TaskRef, kind: s.Kind, resources: s.Resources, runMS: float64(s.RunMS) * w.pairs.runFactor(s.Kind),
		doneMS: from.DoneMS, advanced: now, leaseUntil: now.Add(time.Duration(s.LeaseMS) * time.Millisecond),
		permille: undisturbed, slowdown: undisturbed, state: plat.TaskRunning,
	}
	if w.fault.FailAll || w.pairs.fails(s.Kind) {
		t.failAt = now.Add(time.Duration(w.fault.FailAfterMS) * time.Millisecond)
	}
	w.tasks[s.TaskRef] = t
	w.audit.started(t, w.info.ID)
	w.slow()
	return 201, nil
}

func (w *worker) renew(epoch fleet.Epoch, lease time.Duration, refs []plat.TaskRef, now time.Time) ([]plat.TaskRef, *refuse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.raise(epoch); r != nil {
		return nil, r
	}
	w.settle(now)
	unknown := []plat.TaskRef{}
	for _, ref := range refs {
		t := w.tasks[ref]
		if t == nil {
			unknown = append(unknown, ref)
		} else if t.state == plat.TaskRunning {
			t.leaseUntil = now.Add(lease)
		}
	}
	return unknown, nil
}

func (w *worker) stop(epoch fleet.Epoch, ref plat.TaskRef, now time.Time) (plat.TaskStatus, *refuse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.raise(epoch); r != nil {
		return plat.TaskStatus{}, r
	}
	w.settle(now)
	t := w.tasks[ref]
	if t == nil {
		return plat.TaskStatus{}, &refuse{404, plat.ReasonUnknownTask}
	}
	if t.state == plat.TaskRunning {
		t.state, t.reason = plat.TaskStopped, "stopped by its owner"
		w.audit.ended(t, w.info.ID)
		w.slow()
	}
	return t.status(), nil
}

func (w *worker) throttle(epoch fleet.Epoch, ref plat.TaskRef, permille int, now time.Time) *refuse {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.raise(epoch); r != nil {
		return r
	}
	w.settle(now)
	t := w.tasks[ref]
	if t == nil {
		return &refuse{404, plat.ReasonUnknownTask}
	}
	t.permille = min(max(permille, 0), undisturbed)
	w.slow()
	return nil
}

func (w *worker) status(epoch fleet.Epoch, now time.Time) plat.WorkerStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch = max(w.epoch, epoch)
	w.settle(now)
	s := plat.WorkerStatus{Epoch: w.epoch, Tasks: []plat.TaskStatus{}}
	for _, t := range w.tasks {
		s.Tasks = append(s.Tasks, t.status())
	}
	slices.SortFunc(s.Tasks, func(a, b plat.TaskStatus) int {
		if a.Task != b.Task {
			if a.Task < b.Task {
				return -1
			}
			return 1
		}
		return int(a.Attempt) - int(b.Attempt)
	})
	s.Usage = plat.Usage{AgeMS: now.Sub(w.usageAt).Milliseconds(), Resources: w.usage}
	return s
}

func (w *worker) ack(epoch fleet.Epoch, refs []plat.TaskRef) *refuse {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.raise(epoch); r != nil {
		return r
	}
	for _, ref := range refs {
		if t := w.tasks[ref]; t != nil && t.state.Terminal() {
			delete(w.tasks, ref)
		}
	}
	return nil
}

// apply changes the worker's faults. A paused worker runs no task, but its leases lapse.
func (w *worker) apply(f WorkerFault, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resumed == nil {
		w.settle(now)
	}
	if f.Dead && !w.fault.Dead {
		for _, t := range w.tasks {
			w.audit.lost(t, w.info.ID)
		}
		w.tasks, w.epoch, w.usage = make(map[plat.TaskRef]*task), 0, fleet.Resources{}
	}
	if f.Paused && w.resumed == nil {
		w.resumed = make(chan struct{})
	}
	if !f.Paused && w.resumed != nil {
		w.resume(now)
	}
	w.fault = f
}

// resume ends the tasks whose lease lapsed during the pause before any of them makes progress.
func (w *worker) resume(now time.Time) {
	for _, t := range w.tasks {
		if t.state == plat.TaskRunning {
			t.advanced = now
		}
	}
	close(w.resumed)
	w.resumed = nil
	w.settle(now)
}

func (w *worker) setPairs(p KindProperties, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resumed == nil {
		w.settle(now)
	}
	w.pairs = p
	w.slow()
}

// gate returns whether the worker is dead and the channel that ends its pause, if it is paused.
func (w *worker) gate() (dead bool, paused <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault.Dead, w.resumed
}
