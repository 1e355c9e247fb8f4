package flow

import (
	"math"
	"time"

	"lovagefork.example/coord/infra"
)

const (
	// rateInterval is the minimum time over which progress is measured, because reports contain whole percents.
	rateInterval = 350 * time.Millisecond
	// rateSmoothing and speedSmoothing are the smoothing factors for the progress rate of a step and the speed of a
	// worker.
	rateSmoothing  = 0.25
	speedSmoothing = 0.15
	// rateFloor is the relative rate below which a measurement does not affect the usual rate of a step, once that is
	// known from minRateSamples measurements.
	rateFloor      = 0.4
	minRateSamples = 3
	// maxRelativeRate limits the effect of one measurement on the speed of a worker.
	maxRelativeRate = 1.5
	// stallTimeout is how long a task may show no progress. The longest tasks take 70 ms for one percent.
	stallTimeout = 700 * time.Millisecond
	// stallQuarantine is how long a worker takes no new tasks after one of its tasks has stalled.
	stallQuarantine = 2500 * time.Millisecond
	// minNormalSpeed is the speed below which a worker takes no new tasks, and speedRecovery the time constant with which
	// its speed returns to 1.
	minNormalSpeed = 0.5
	speedRecovery  = 6 * time.Second
	// speedDecayInterval is the interval of this return, a small part of speedRecovery.
	speedDecayInterval = 100 * time.Millisecond
	// minMoveSpeedup is the factor by which moving a task from a slow worker must at least shorten its remaining
	// time.
	minMoveSpeedup = 1.6
	// maxMoves limits how often a task is moved because of its progress. A task that makes no progress on any worker
	// must still be allowed to run.
	maxMoves = 2
	// moveCost is the time lost by a move: the stop, the start and restoring a checkpoint.
	moveCost = 500 * time.Millisecond
)

// measureSpeed compares the progress of the runs on a worker with the usual rate of their steps. Estimates are not
// used for this because they are off by half and more.
func (m *Machine) measureSpeed(w *worker) {
	for _, r := range w.sortedRuns() {
		if r.step == nil || r.step.spec.LongRunning || r.state != running || r.speedPercent != fullSpeedPercent || r.throttleFailed {
			continue
		}
		elapsed := m.now.Sub(r.measuredAt)
		if elapsed < rateInterval {
			continue
		}
		rate := float64(r.percent-r.measuredPercent) / elapsed.Seconds()
		r.measuredPercent, r.measuredAt = r.percent, m.now
		relative := r.step.relativeRate(rate)
		if r.step.rateSamples > minRateSamples {
			w.speed += speedSmoothing * (min(relative, maxRelativeRate) - w.speed)
		}
		m.moveIfSlow(w, r, rate, relative, elapsed)
	}
}

// relativeRate returns a rate of progress relative to the usual rate of the step, and updates the usual rate.
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

// moveIfSlow moves or copies a run that has stalled or would complete much sooner on another worker; rate is in
// percent per second.
func (m *Machine) moveIfSlow(w *worker, r *run, rate, relative float64, elapsed time.Duration) {
	if rate > 0 {
		r.stalledFor = 0
	} else {
		r.stalledFor += elapsed
	}
	_, t := m.lookupTask(r.id)
	if t == nil || t.moves >= maxMoves {
		return
	}
	if r.stalledFor >= stallTimeout {
		m.counts.Stalled++
		t.moves++
		w.quarantinedUntil = m.now.Add(stallQuarantine)
		if !m.copyRun(r, "no progress") {
			m.stop(r, "no progress")
		}
		return
	}
	if w.speed >= minNormalSpeed || relative >= minNormalSpeed || rate <= 0 || r.step.rate <= 0 {
		return
	}
	remaining := float64(100 - r.percent)
	remainingElsewhere := 100.0
	if r.step.spec.Checkpoints && t.checkpoint != "" {
		remainingElsewhere = remaining
	}
	if remaining/rate > minMoveSpeedup*(remainingElsewhere/r.step.rate+moveCost.Seconds()) {
		m.counts.Stalled++
		t.moves++
		if !m.copyRun(r, "slow progress on this worker") {
			m.stop(r, "slow progress on this worker")
		}
	}
}

// decaySpeed moves the speed of a worker back towards 1, so that a slow worker is tried again.
func (w *worker) decaySpeed(now time.Time) {
	if w.speedAt.IsZero() {
		w.speedAt = now
	}
	if now.Sub(w.speedAt) < speedDecayInterval {
		return
	}
	factor := math.Exp(-float64(now.Sub(w.speedAt)) / float64(speedRecovery))
	w.speedAt = now
	w.speed = 1 + (w.speed-1)*factor
}

// isSlow reports whether a worker takes no new tasks of a step because tasks progress slowly there.
func (w *worker) isSlow(s *infra.Step) bool {
	return w.speed < minNormalSpeed && !s.LongRunning
}
