package agent

import (
	"fmt"
	"sync"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// maxViolations bounds the list of violations; the counter goes on.
const maxViolations = 100

// Audit is what the emulated workers saw together; a healthy run has no violation.
type Audit struct {
	Starts    int64 `json:"starts"`
	Succeeded int64 `json:"succeeded"`
	Failed    int64 `json:"failed"`
	Stopped   int64 `json:"stopped"`
	Expired   int64 `json:"expired"`
	Lost      int64 `json:"lost"`
	Running   int   `json:"running"`
	// MaxParallel is the largest number of workers that ran the same task at the same time.
	MaxParallel int `json:"max_parallel"`
	// MaxSuccesses is the largest number of times that one task succeeded.
	MaxSuccesses int      `json:"max_successes"`
	Violations   int64    `json:"violations"`
	Examples     []string `json:"examples"`
}

// audit checks over all workers that no task runs in two places and that none succeeds twice.
type audit struct {
	mu        sync.Mutex
	seen      Audit
	running   map[fleet.TaskID]int
	successes map[fleet.TaskID]int
}

func newAudit() *audit {
	return &audit{running: make(map[fleet.TaskID]int), successes: make(map[fleet.TaskID]int)}
}

func (a *audit) violation(format string, args ...any) {
	a.seen.Violations++
	if len(a.seen.Examples) < maxViolations {
		a.seen.Examples = append(a.seen.Examples, fmt.Sprintf(format, args...))
	}
}

func (a *audit) started(t *task, w fleet.WorkerID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := t.ref.Task
	a.seen.Starts++
	a.running[id]++
	a.seen.MaxParallel = max(a.seen.MaxParallel, a.running[id])
	if a.running[id] > 1 {
		a.violation("task %s attempt %d started on %s while it runs elsewhere", id, t.ref.Attempt, w)
	}
	if a.successes[id] > 0 {
		a.violation("task %s attempt %d started on %s after it succeeded", id, t.ref.Attempt, w)
	}
}

func (a *audit) ended(t *task, w fleet.WorkerID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := t.ref.Task
	a.leave(id)
	switch t.state {
	case plat.TaskSucceeded:
		a.seen.Succeeded++
		a.successes[id]++
		a.seen.MaxSuccesses = max(a.seen.MaxSuccesses, a.successes[id])
		if a.successes[id] > 1 {
			a.violation("task %s succeeded again as attempt %d on %s", id, t.ref.Attempt, w)
		}
	case plat.TaskFailed:
		a.seen.Failed++
	case plat.TaskStopped:
		a.seen.Stopped++
	case plat.TaskExpired:
		a.seen.Expired++
	case plat.TaskRunning:
	}
}

// lost counts a task that ended with its worker.
func (a *audit) lost(t *task, _ fleet.WorkerID) {
	if t.state != plat.TaskRunning {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seen.Lost++
	a.leave(t.ref.Task)
}

func (a *audit) leave(id fleet.TaskID) {
	a.running[id]--
	if a.running[id] <= 0 {
		delete(a.running, id)
	}
}

func (a *audit) report() Audit {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.seen
	out.Running = len(a.running)
	out.Examples = append([]string{}, a.seen.Examples...)
	return out
}
