package agent

import (
	"fmt"
	"sync"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// maxViolations is the maximum number of violations listed as examples; the counter has no limit.
const maxViolations = 100

// Audit holds the task counts over all emulated workers and the detected violations of exactly-once execution.
type Audit struct {
	Starts    int64 `json:"starts"`
	Succeeded int64 `json:"succeeded"`
	Failed    int64 `json:"failed"`
	Stopped   int64 `json:"stopped"`
	Expired   int64 `json:"expired"`
	Lost      int64 `json:"lost"`
	Running   int   `json:"running"`
	// MaxParallel is the largest number of concurrent runs of the same task.
	MaxParallel int `json:"max_parallel"`
	// MaxSuccesses is the largest number of successes of the same task.
	MaxSuccesses int      `json:"max_successes"`
	Violations   int64    `json:"violations"`
	Examples     []string `json:"examples"`
}

// auditor checks over all workers that no task runs concurrently on two of them, starts after its success, or succeeds
// twice.
type auditor struct {
	mu          sync.Mutex
	totals      Audit
	currentRuns map[fleet.TaskID]int
	successes   map[fleet.TaskID]int
}

func newAuditor() *auditor {
	return &auditor{currentRuns: make(map[fleet.TaskID]int), successes: make(map[fleet.TaskID]int)}
}

func (a *auditor) addViolation(format string, args ...any) {
	a.totals.Violations++
	if len(a.totals.Examples) < maxViolations {
		a.totals.Examples = append(a.totals.Examples, fmt.Sprintf(format, args...))
	}
}

func (a *auditor) taskStarted(t *task, w fleet.WorkerID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := t.ref.Task
	a.totals.Starts++
	a.currentRuns[id]++
	a.totals.MaxParallel = max(a.totals.MaxParallel, a.currentRuns[id])
	if a.currentRuns[id] > 1 {
		a.addViolation("task %s attempt %d started on %s while it runs elsewhere", id, t.ref.Attempt, w)
	}
	if a.successes[id] > 0 {
		a.addViolation("task %s attempt %d started on %s after it succeeded", id, t.ref.Attempt, w)
	}
}

func (a *auditor) taskEnded(t *task, w fleet.WorkerID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := t.ref.Task
	a.removeRunning(id)
	switch t.state {
	case plat.TaskSucceeded:
		a.totals.Succeeded++
		a.successes[id]++
		a.totals.MaxSuccesses = max(a.totals.MaxSuccesses, a.successes[id])
		if a.successes[id] > 1 {
			a.addViolation("task %s succeeded again as attempt %d on %s", id, t.ref.Attempt, w)
		}
	case plat.TaskFailed:
		a.totals.Failed++
	case plat.TaskStopped:
		a.totals.Stopped++
	case plat.TaskExpired:
		a.totals.Expired++
	case plat.TaskRunning:
	}
}

// taskLost counts a task that was running when its worker died.
func (a *auditor) taskLost(t *task, _ fleet.WorkerID) {
	if t.state != plat.TaskRunning {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.totals.Lost++
	a.removeRunning(t.ref.Task)
}

func (a *auditor) removeRunning(id fleet.TaskID) {
	a.currentRuns[id]--
	if a.currentRuns[id] <= 0 {
		delete(a.currentRuns, id)
	}
}

func (a *auditor) report() Audit {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.totals
	out.Running = len(a.currentRuns)
	out.Examples = append([]string{}, a.totals.Examples...)
	return out
}
