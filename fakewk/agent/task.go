package agent

import (
	"encoding/json"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// checkpoint is the progress of a task in milliseconds of undisturbed run time.
type checkpoint struct {
	DoneMS float64 `json:"done_ms"`
}

// task is one attempt on a worker. A run time of zero means that the task runs until it is stopped.
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

// rate is the progress in run milliseconds for each millisecond of time.
func (t *task) rate() float64 {
	return float64(t.throttlePermille) / float64(t.slowdownPermille)
}

// advance adds the progress since the last call at the rate that held meanwhile.
func (t *task) advance(now time.Time) {
	if t.state == plat.TaskRunning && now.After(t.advancedAt) {
		t.doneMS += float64(now.Sub(t.advancedAt)) / float64(time.Millisecond) * t.rate()
		t.advancedAt = now
	}
}

// end sets the terminal state that is due at now, if any; the event that came first wins.
func (t *task) endIfDue(now time.Time) bool {
	if t.state != plat.TaskRunning {
		return false
	}
	due, state, reason := time.Time{}, plat.TaskRunning, ""
	earliest := func(at time.Time, s plat.TaskState, why string) {
		if !at.IsZero() && !at.After(now) && (due.IsZero() || at.Before(due)) {
			due, state, reason = at, s, why
		}
	}
	earliest(t.finishAt(), plat.TaskSucceeded, "")
	earliest(t.failAt, plat.TaskFailed, "exit status 1")
	earliest(t.leaseUntil, plat.TaskExpired, "lease lapsed")
	if due.IsZero() {
		return false
	}
	t.advance(due)
	t.state, t.reason = state, reason
	return true
}

// finishAt is when the task finishes at its present rate, or zero.
func (t *task) finishAt() time.Time {
	if t.runMS <= 0 || t.rate() <= 0 {
		return time.Time{}
	}
	left := max(0, t.runMS-t.doneMS) / t.rate()
	return t.advancedAt.Add(time.Duration(left * float64(time.Millisecond)))
}

func (t *task) status() plat.TaskStatus {
	data, _ := json.Marshal(checkpoint{DoneMS: t.doneMS})
	return plat.TaskStatus{
		TaskRef: t.ref, State: t.state, Checkpoint: data, SlowdownPermille: t.slowdownPermille, Reason: t.reason,
	}
}
