package agent

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// fullPermille is the factor 1 in thousandths: the slowdown of a task that runs alone, and the throttle of a task that
// is not throttled.
const fullPermille = 1000

// worker emulates one worker agent. A worker that died has no tasks and no epoch any more.
type worker struct {
	info    fleet.Worker
	auditor *auditor

	mu       sync.Mutex
	epoch    fleet.Epoch
	tasks    map[plat.TaskRef]*task
	fault    WorkerFault
	kinds    KindProperties
	usage    fleet.Resources
	usageAt  time.Time
	usageLag time.Duration
	// resumed is closed when the current pause ends; it is nil if the worker is not paused.
	resumed chan struct{}
}

func newWorker(info fleet.Worker, a *auditor, lag time.Duration) *worker {
	return &worker{info: info, auditor: a, tasks: make(map[plat.TaskRef]*task), usageAt: time.Now(), usageLag: lag}
}

// refusal is the HTTP status and reason of a refused command.
type refusal struct {
	status int
	reason string
}

// acceptEpoch refuses an epoch lower than the highest one received, and records a higher one.
func (w *worker) acceptEpoch(epoch fleet.Epoch) *refusal {
	if epoch < w.epoch {
		return &refusal{409, plat.ReasonStaleEpoch}
	}
	w.epoch = epoch
	return nil
}

// tick ends the tasks that are due and samples the usage at the reporting interval.
func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resumed != nil || w.fault.Dead {
		return
	}
	w.endDueTasks(now)
	if now.Sub(w.usageAt) >= w.usageInterval() {
		w.usage, w.usageAt = w.currentUsage(), now
	}
}

func (w *worker) usageInterval() time.Duration {
	return max(w.usageLag, time.Duration(w.fault.ReportLagMS)*time.Millisecond)
}

// endDueTasks ends the due tasks in the order of their due times, one at a time because each end changes the slowdown
// of the other tasks, and advances the tasks to now.
func (w *worker) endDueTasks(now time.Time) {
	for {
		next, due := w.nextDueTask(now)
		if next == nil {
			break
		}
		w.advanceTasks(due)
		next.endIfDue(now)
		w.auditor.taskEnded(next, w.info.ID)
		w.updateSlowdowns()
	}
	w.advanceTasks(now)
}

func (w *worker) advanceTasks(now time.Time) {
	for _, t := range w.tasks {
		t.advance(now)
	}
}

func (w *worker) nextDueTask(now time.Time) (*task, time.Time) {
	var next *task
	var due time.Time
	for _, t := range w.tasks {
		if t.state != plat.TaskRunning {
			continue
		}
		for _, at := range []time.Time{t.finishAt(), t.failAt, t.leaseUntil} {
			if !at.IsZero() && !at.After(now) && (next == nil || at.Before(due)) {
				next, due = t, at
			}
		}
	}
	return next, due
}

// updateSlowdowns recomputes the slowdown of each running task from the kinds of the other running tasks.
func (w *worker) updateSlowdowns() {
	for _, t := range w.tasks {
		if t.state != plat.TaskRunning {
			continue
		}
		t.slowdownPermille = fullPermille
		for _, other := range w.tasks {
			if other != t && other.state == plat.TaskRunning {
				t.slowdownPermille += w.kinds.extraSlowdown(t.kind, other.kind, other.throttlePermille)
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
	if scale := int64(w.fault.UsagePermille); scale > 0 {
		sum.MilliCPU = sum.MilliCPU * scale / 1000
		sum.MemoryBytes = sum.MemoryBytes * scale / 1000
	}
	return sum
}

// start starts an attempt and returns the HTTP status of success, or a refusal. Repeating a start has no effect.
func (w *worker) start(s plat.StartRequest, now time.Time) (int, *refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.acceptEpoch(s.Epoch); r != nil {
		return 0, r
	}
	w.endDueTasks(now)
	if w.tasks[s.TaskRef] != nil {
		return 200, nil
	}
	total := s.Resources
	for _, t := range w.tasks {
		if t.state == plat.TaskRunning {
			total = total.Add(t.resources)
		}
	}
	if !total.Fits(w.info.Capacity) {
		return 0, &refusal{507, plat.ReasonInsufficientResources}
	}
	var saved checkpoint
	if len(s.Checkpoint) > 0 {
		_ = json.Unmarshal(s.Checkpoint, &saved)
	}
	t := &task{
		ref: s.TaskRef, kind: s.Kind, resources: s.Resources, runMS: float64(s.RunMS) * w.kinds.runFactor(s.Kind),
		doneMS: saved.DoneMS, advancedAt: now, leaseUntil: now.Add(time.Duration(s.LeaseMS) * time.Millisecond),
		throttlePermille: fullPermille, slowdownPermille: fullPermille, state: plat.TaskRunning,
	}
	if w.fault.FailAll || w.kinds.alwaysFails(s.Kind) {
		t.failAt = now.Add(time.Duration(w.fault.FailAfterMS) * time.Millisecond)
	}
	w.tasks[s.TaskRef] = t
	w.auditor.taskStarted(t, w.info.ID)
	w.updateSlowdowns()
	return 201, nil
}

func (w *worker) renew(epoch fleet.Epoch, lease time.Duration, refs []plat.TaskRef, now time.Time) ([]plat.TaskRef, *refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.acceptEpoch(epoch); r != nil {
		return nil, r
	}
	w.endDueTasks(now)
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

func (w *worker) stop(epoch fleet.Epoch, ref plat.TaskRef, now time.Time) (plat.TaskStatus, *refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.acceptEpoch(epoch); r != nil {
		return plat.TaskStatus{}, r
	}
	w.endDueTasks(now)
	t := w.tasks[ref]
	if t == nil {
		return plat.TaskStatus{}, &refusal{404, plat.ReasonUnknownTask}
	}
	if t.state == plat.TaskRunning {
		t.state, t.reason = plat.TaskStopped, "stopped by its owner"
		w.auditor.taskEnded(t, w.info.ID)
		w.updateSlowdowns()
	}
	return t.status(), nil
}

func (w *worker) throttle(epoch fleet.Epoch, ref plat.TaskRef, permille int, now time.Time) *refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.acceptEpoch(epoch); r != nil {
		return r
	}
	w.endDueTasks(now)
	t := w.tasks[ref]
	if t == nil {
		return &refusal{404, plat.ReasonUnknownTask}
	}
	t.throttlePermille = min(max(permille, 0), fullPermille)
	w.updateSlowdowns()
	return nil
}

func (w *worker) status(epoch fleet.Epoch, now time.Time) plat.WorkerStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch = max(w.epoch, epoch)
	w.endDueTasks(now)
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

func (w *worker) ack(epoch fleet.Epoch, refs []plat.TaskRef) *refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.acceptEpoch(epoch); r != nil {
		return r
	}
	for _, ref := range refs {
		if t := w.tasks[ref]; t != nil && t.state.Terminal() {
			delete(w.tasks, ref)
		}
	}
	return nil
}

// setFault replaces the injected fault. A paused worker runs no task, but its task leases still expire.
func (w *worker) setFault(f WorkerFault, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resumed == nil {
		w.endDueTasks(now)
	}
	if f.Dead && !w.fault.Dead {
		for _, t := range w.tasks {
			w.auditor.taskLost(t, w.info.ID)
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

// resume ends a pause. It sets the time of progress to now first, so that a task whose lease expired during the pause
// ends without progress for the pause.
func (w *worker) resume(now time.Time) {
	for _, t := range w.tasks {
		if t.state == plat.TaskRunning {
			t.advancedAt = now
		}
	}
	close(w.resumed)
	w.resumed = nil
	w.endDueTasks(now)
}

func (w *worker) setKinds(p KindProperties, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.resumed == nil {
		w.endDueTasks(now)
	}
	w.kinds = p
	w.updateSlowdowns()
}

// availability reports whether the worker is dead and, if it is paused, returns a channel that is closed at the end of
// the pause.
func (w *worker) availability() (dead bool, paused <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault.Dead, w.resumed
}
