package flow

import (
	"fmt"
	"time"
)

const (
	// soundRunTime is how long a run must have lasted on its worker to be no suspect when the worker crashes.
	soundRunTime = 500 * time.Millisecond
	// maxLoggedSuspects limits the log lines about one crash.
	maxLoggedSuspects = 8
)

// observeRun records that a run existed at a time of its worker's clock.
func (m *Machine) observeRun(r *run, clock int64) {
	if r.firstClock == 0 {
		r.firstClock = clock
	}
	if !r.sound && clock-r.firstClock >= soundRunTime.Milliseconds() {
		r.sound = true
	}
}

// workerCrashed handles the unplanned end of a worker's process. The runs that had not lasted long are suspected of
// having caused it.
func (m *Machine) workerCrashed(w *worker, reason string) {
	if len(w.runs) == 0 || w.Draining || w.cordoned {
		return
	}
	m.counts.Crashes++
	suspects := w.suspects()
	m.emit(Log{Text: "worker crashed", Worker: w.ID, Reason: fmt.Sprintf("%s; %d suspects of %d runs", reason, len(suspects), len(w.runs))})
	for _, r := range suspects[:min(len(suspects), maxLoggedSuspects)] {
		m.emit(Log{Text: "run suspected of a crash", Task: r.id, Run: r.number, Worker: w.ID, Reason: reason})
	}
}

// suspects returns the runs that may have crashed the worker.
func (w *worker) suspects() []*run {
	var suspects []*run
	for _, r := range w.runsByTask {
		if !r.sound && r.state != fencing && r.step != nil && r.occ.job.live() {
			suspects = append(suspects, r)
		}
	}
	return suspects
}
