package agent

import (
	"encoding/json"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// checkpoint is the encoded progress of a task, in milliseconds of run time without slowdown.
type checkpoint struct {
	DoneMS float64 `json:"done_ms"`
}

// task is one attempt of a task on a worker. A task with runMS zero runs until it is stopped.
type task struct {
	ref              plat.TaskRef
	kind             string
	resources        fleet.Resources
	runMS            float64
	doneMS           float64
	advancedAt       time.Time
	leaseUntil       time.Time
	failAt           time.Time
	throttlePermille int
	slowdownPermille int
	state            plat.TaskState
	reason           string
}

// rate returns the progress in milliseconds of run time per millisecond of time.
func (t *task) rate() float64 {
	return float64(t.throttlePermille) / float64(t.slowdownPermille)
}

// advance adds the progress since the previous call. The rate must not have changed in between.
func (t *task) advance(now time.Time) {
	if t.state == plat.TaskRunning && now.After(t.advancedAt) {
		t.doneMS += float64(now.Sub(t.advancedAt)) / float64(time.Millisecond) * t.rate()
		t.advancedAt = now
	}
}

// endIfDue sets the terminal state if the task has finished, failed or lost its lease by now, and reports whether it
// did. The earliest of these events determines the state.
func (t *task) endIfDue(now time.Time) bool {
	if t.state != plat.TaskRunning {
		return false
	}
	due, state, reason := time.Time{}, plat.TaskRunning, ""
	consider := func(at time.Time, s plat.TaskState, cause string) {
		if !at.IsZero() && !at.After(now) && (due.IsZero() || at.Before(due)) {
			due, state, reason = at, s, cause
		}
	}
	consider(t.finishAt(), plat.TaskSucceeded, "")
	consider(t.failAt, plat.TaskFailed, "exit status 1")
	consider(t.leaseUntil, plat.TaskExpired, "lease lapsed")
	if due.IsZero() {
		return false
	}
	t.advance(due)
	t.state, t.reason = state, reason
	return true
}

// finishAt returns the time at which the task finishes at its current rate, or the zero time if it does not finish.
func (t *task) finishAt() time.Time {
	if t.runMS <= 0 || t.rate() <= 0 {
		return time.Time{}
	}
	remaining := max(0, t.runMS-t.doneMS) / t.rate()
	return t.advancedAt.Add(time.Duration(remaining * float64(time.Millisecond)))
}

func (t *task) status() plat.TaskStatus {
	data, _ := json.Marshal(checkpoint{DoneMS: t.doneMS})
	return plat.TaskStatus{
		TaskRef: t.ref, State: t.state, Checkpoint: data, SlowdownPermille: t.slowdownPermille, Reason: t.reason,
	}
}
