package flow

import (
	"math"
	"time"

	"lovagefork.example/coord/infra"
)

const (
	// markEach is the least time over which progress is measured, because reports give whole percents.
	rateInterval = 350 * time.Millisecond
	// rateStep and speedStep smooth how fast tasks of a step and on a worker progress.
	rateSmoothing  = 0.25
	speedSmoothing = 0.15
	// rateFloor keeps tasks that hardly progress out of the usual rate of their step, once it is known from leastMeasured
	// measurements.
	rateFloor      = 0.4
	minRateSamples = 3
	// fastest bounds what one measurement adds to the speed of a worker.
	maxRelativeRate = 1.5
	// stillTime is how long a task may show no progress at all; the longest tasks take 70 ms for a percent.
	stallTimeout = 700 * time.Millisecond
	// stillRest keeps new work away from a worker on which a task stands still.
	stallQuarantine = 2500 * time.Millisecond
	// slowWorker is the speed below which a worker takes no new work, and speedRecovery the time in which that is forgotten.
	slowSpeed     = 0.5
	speedRecovery = 6 * time.Second
	// moveGain is how many times sooner a task must be done elsewhere to be moved from a slow worker.
	moveGain = 1.6
	// mostMoves bounds how often a task is moved because of its progress: one that shows none anywhere must still run.
	maxMoves = 2
	// moveCost is what a move takes: the stop, the start, and the restoring of a checkpoint.
	moveCost = 500 * time.Millisecond
)

// measureSpeed compares the progress of the runs on a worker with that of the other tasks of their steps, because
// estimates are off by half and more.
func (m *Machine) measureSpeed(w *worker) {
	for _, r := range w.sortedRuns() {
		if r.step == nil || r.step.spec.LongRunning || r.state != running || r.pace != fullPace {
			continue
		}
		passed := m.now.Sub(r.measuredAt)
		if passed < rateInterval {
			continue
		}
		rate := float64(r.percent-r.measuredPercent) / passed.Seconds()
		r.measuredPercent, r.measuredAt = r.percent, m.now
		relative := r.step.relativeRate(rate)
		if r.step.rateSamples > minRateSamples {
			w.speed += speedSmoothing * (min(relative, maxRelativeRate) - w.speed)
		}
		m.moveIfSlow(w, r, rate, relative, passed)
	}
}

// compare returns a rate of progress as a multiple of what is usual for the step, and learns from it.
func (s *step) relativeRate(rate float64) float64 {
	if s.rateSamples == 0 {
		s.rate = rate
	}
	relative := 1.0
	if s.rate > 0 {
		relative = rate / s.rate
	}
	s.rateSamples++
	if relative > rateFloor || s.rateSamples <= minRateSamples {
		s.rate += rateSmoothing * (rate - s.rate)
	}
	return relative
}

// judgeProgress moves a run that stands still or would be done much sooner elsewhere; rate is in percent a second.
func (m *Machine) moveIfSlow(w *worker, r *run, rate, relative float64, passed time.Duration) {
	if rate > 0 {
		r.stalledFor = 0
	} else {
		r.stalledFor += passed
	}
	_, t := m.lookup(r.id)
	if t == nil || t.moves >= maxMoves {
		return
	}
	if r.stalledFor >= stallTimeout {
		m.counts.Stalled++
		t.moves++
		w.quarantinedUntil = m.now.Add(stallQuarantine)
		if !m.copyRun(r, "stands still") {
			m.stop(r, "stands still")
		}
		return
	}
	if w.speed >= slowSpeed || relative >= slowSpeed || rate <= 0 || r.step.rate <= 0 {
		return
	}
	left := float64(100 - r.percent)
	again := 100.0
	if r.step.spec.Checkpoints && t.checkpoint != "" {
		again = left
	}
	if left/rate > moveGain*(again/r.step.rate+moveCost.Seconds()) {
		m.counts.Stalled++
		t.moves++
		if !m.copyRun(r, "is slow here") {
			m.stop(r, "is slow here")
		}
	}
}

// recoverSpeed lets a worker's record of slowness fade, so that it is tried again.
func (w *worker) decaySpeed(now time.Time) {
	if w.speedAt.IsZero() {
		w.speedAt = now
	}
	left := math.Exp(-float64(now.Sub(w.speedAt)) / float64(speedRecovery))
	w.speedAt = now
	w.speed = 1 + (w.speed-1)*left
}

// isSlow reports whether a worker takes no new work because tasks progress slowly there.
func (w *worker) isSlow(s *infra.Step) bool {
	return w.speed < slowSpeed && !s.LongRunning
}
