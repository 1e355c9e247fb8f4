package jobs

import (
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/place"
)

const (
	// maxCrashes is the number of crashes of single workers after which a batch task that they ran is given up.
	// maxSharedCrashes bounds all its crashes: several tasks that crash their workers at the same time look like a common
	// cause.
	maxCrashes       = 3
	maxSharedCrashes = 10
	// crashWindow is how long the loss of a worker counts as simultaneous with that of another, and maxSingleCrashes the
	// number of simultaneous losses that do not suggest a common cause such as a power failure.
	crashWindow      = 10 * time.Second
	maxSingleCrashes = 2
	// crashVerdictDelay is the time from the loss of a worker until its cause is decided. Within it the status of every
	// worker is read.
	crashVerdictDelay = 3 * time.Second
)

// workerLoss is the loss of a worker's attempts, detected at a time; jobs are those of the attempts.
type workerLoss struct {
	worker fleet.WorkerID
	at     time.Time
	jobs   map[*job]bool
}

// workerLost ends the attempts that were lost with a worker, once the cause can be decided. It is called again until
// then.
func (m *Machine) workerLost(now time.Time, w *worker, lost []*task, reason string) {
	if len(lost) == 0 {
		return
	}
	m.losses = slices.DeleteFunc(m.losses, func(l workerLoss) bool { return now.Sub(l.at) > crashWindow })
	at := slices.IndexFunc(m.losses, func(l workerLoss) bool { return l.worker == w.info.ID })
	if at < 0 {
		at = len(m.losses)
		m.losses = append(m.losses, workerLoss{worker: w.info.ID, at: now, jobs: make(map[*job]bool)})
	}
	for _, t := range lost {
		m.losses[at].jobs[t.job] = true
	}
	if now.Sub(m.losses[at].at) < crashVerdictDelay {
		return
	}
	for _, t := range lost {
		end := ledger.AttemptEnded{Outcome: ledger.OutcomeLost, Reason: reason}
		if now.Sub(t.startSentAt) < place.SuspicionTTL {
			end.Outcome, end.Shared = ledger.OutcomeCrashed, m.hasCommonCause(t.job)
		}
		m.appendEnd(now, t, end)
	}
}

// hasCommonCause reports whether the recent losses of workers are too many to be due to tasks of a job that did not run
// on all of them.
func (m *Machine) hasCommonCause(j *job) bool {
	return len(m.losses) > maxSingleCrashes && slices.ContainsFunc(m.losses, func(l workerLoss) bool { return !l.jobs[j] })
}

// countCrash counts a crash of the task's worker, and avoids that worker if the task may be the cause.
func (t *task) countCrash(shared bool) {
	if shared {
		t.sharedCrashes++
		return
	}
	t.crashes++
	t.addFailedOn(t.worker)
}
