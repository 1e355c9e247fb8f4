package flow

import (
	"fmt"
	"slices"
	"time"

	"lovagefork.example/coord/infra"
)

// A task that crashes its workers is not noticed while none of them returns, and one whose workers are only cut off must not be given
// up. Once several have been lost under it, it waits for what they answer.

// goneAfter is how long a lost worker does not answer until it is taken for gone, so that no task waits for it any longer.
const goneAfter = 30 * time.Second

// awaitsLostWorkers reports whether a task would be given up if all workers that were lost under it had crashed, or has used the
// starts that a task may have after that. It starts again once enough of them have answered.
func (c *crashRecord) awaitsLostWorkers() bool {
	return len(c.lost) > 0 && (c.crashes+c.lostSuspects() > maxCrashes || c.losses+c.lostLosses() > maxCrashes+1)
}

// judgeGoneWorkers ends the wait of a task for workers that are gone. Those that have not answered since a recent run of the task
// count as crashed. A worker that was lost later is no evidence, so that the task may start once more.
func (m *Machine) judgeGoneWorkers(id infra.TaskID, s *step, t *task) {
	if !t.awaitsLostWorkers() {
		t.awaitLogged = false
		return
	}
	if !t.awaitLogged {
		t.awaitLogged = true
		m.emit(Log{Text: "task waits for lost workers", Task: id, Run: t.lastRun, Reason: fmt.Sprintf(
			"%d workers have not answered since they were lost under it, %d crashed", len(t.lost), max(t.crashes, t.losses),
		)})
	}
	isAwaited := func(l lostRun) bool {
		life := m.lostLives[l.worker]
		return life != nil && m.now.Sub(life.since) < goneAfter
	}
	if slices.ContainsFunc(t.lost, isAwaited) {
		return
	}
	gone := slices.DeleteFunc(slices.Clone(t.lost), func(l lostRun) bool { return !l.suspect })
	if len(gone) == 0 {
		gone = t.lost[:1:1]
	}
	for _, l := range gone {
		t.lost = slices.DeleteFunc(slices.Clone(t.lost), func(o lostRun) bool { return o.openRun == l.openRun })
		delete(s.lostWorkers, l.worker)
		s.crashesChanged(id.Index)
		m.markTaskDirty(id)
		if l.suspect {
			m.countLostRun(id, l, m.now, true)
		}
	}
}
