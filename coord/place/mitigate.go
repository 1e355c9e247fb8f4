package place

import (
	"fmt"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
)

const (
	// DefaultSlowdownLimit is the slowdown of urgent tasks above which mitigation starts. At 1.35 the batch work falls to
	// half of that under Spread in the worst case of docs/policies.md; at 1.8 it keeps 95 %.
	DefaultSlowdownLimit = 1.8
	// slowdownBand is the hysteresis: mitigation is lifted this far below the limit.
	slowdownHysteresis = 0.2
	// badReports and goodReports are the reports in a row that must agree before a step up or down.
	minHighReports  = 2
	minLowReports = 6
	// actionGap lets a step show in reports, which lag, before the next one.
	minActionInterval = 10 * time.Second
	// minGain is the predicted relief, as added slowdown, below which a step is not worth its cost.
	minGain = 0.05
	// minStay is how long a task runs before it may be moved, and moveGap how long between two moves of one task.
	minTimeBeforeMove = time.Minute
	minMoveInterval = 10 * time.Minute
)

// throttleSteps are the limits tried in order before a task is moved.
var throttleSteps = [...]int{unthrottled, 500, 250}

// guard is the state of the mitigation on one worker.
type mitigationState struct {
	highReports, lowReports int
	lastActionAt   time.Time
}

// mitigate limits the task that slows the urgent tasks of a worker most, then moves it; it lifts limits later.
func (m *Machine) mitigate(now time.Time, h *host) []Effect {
	victim := mostSlowed(h)
	g := &h.mitigation
	switch {
	case victim == nil:
		g.highReports, g.lowReports = 0, g.lowReports+1
	case victim.slowdown > m.slowdownLimit:
		g.highReports, g.lowReports = g.highReports+1, 0
	case victim.slowdown < m.slowdownLimit-slowdownHysteresis:
		g.highReports, g.lowReports = 0, g.lowReports+1
	default:
		g.highReports, g.lowReports = 0, 0
	}
	if now.Sub(g.lastActionAt) < minActionInterval && !g.lastActionAt.IsZero() {
		return nil
	}
	switch {
	case g.highReports >= minHighReports:
		return m.escalate(now, h, victim)
	case g.lowReports >= minLowReports:
		return m.relax(now, h, victim)
	}
	return nil
}

// slowest returns the urgent task on a worker that is slowed most.
func mostSlowed(h *host) *reservation {
	var worst *reservation
	for _, t := range h.reservations {
		if t.task.Class == fleet.Urgent && (worst == nil || t.slowdown > worst.slowdown) {
			worst = t
		}
	}
	return worst
}

// stepUp throttles the least urgent, then most harmful task, or moves it if it is throttled already.
func (m *Machine) escalate(now time.Time, h *host, victim *reservation) []Effect {
	for _, class := range []fleet.Class{fleet.Deferrable, fleet.Standard} {
		if cause := m.worstCause(now, h, victim, class); cause != nil {
			h.mitigation.lastActionAt, h.mitigation.highReports = now, 0
			return m.throttleOrEvict(now, h, victim, cause)
		}
	}
	return nil
}

func (m *Machine) worstCause(now time.Time, h *host, victim *reservation, class fleet.Class) *reservation {
	var worst *reservation
	worstGain := minGain
	for _, t := range h.reservations {
		if t.task.Class != class || t.evicting || !m.canThrottleOrMove(now, t) {
			continue
		}
		gain := m.model.slowdowns[victim.kind][t.kind] * h.share(t.expectedMilliCPU())
		if gain > worstGain {
			worst, worstGain = t, gain
		}
	}
	return worst
}

// canStep reports whether a task may be limited further or moved.
func (m *Machine) canThrottleOrMove(now time.Time, t *reservation) bool {
	if t.throttlePermille > throttleSteps[len(throttleSteps)-1] {
		return true
	}
	moved, ok := m.lastMoved[t.task.Ref.Task]
	return now.Sub(t.reservedAt) >= minTimeBeforeMove && (!ok || now.Sub(moved) >= minMoveInterval) && m.hasBetterHost(t)
}

// betterElsewhere reports whether another worker has room for a task without slowing its urgent tasks too much.
func (m *Machine) hasBetterHost(t *reservation) bool {
	for _, h := range m.byID {
		if h != t.host && h.available() && !h.history.probation && t.size.Fits(h.free()) &&
			m.model.worstSlowdownWith(h, t) <= m.slowdownLimit {
			return true
		}
	}
	return false
}

func (m *Machine) throttleOrEvict(now time.Time, h *host, victim, cause *reservation) []Effect {
	reason := fmt.Sprintf("%s slowed to %.2f by kind %s", victim.task.Ref.Task, victim.slowdown, cause.task.Kind)
	i := slices.Index(throttleSteps[:], cause.throttlePermille)
	if i+1 < len(throttleSteps) {
		cause.throttlePermille = throttleSteps[i+1]
		return []Effect{Throttle{TaskRef: cause.task.Ref, Worker: h.worker.ID, Permille: cause.throttlePermille, Reason: reason}}
	}
	cause.setEvicting()
	m.lastMoved[cause.task.Ref.Task] = now
	return []Effect{Evict{TaskRef: cause.task.Ref, Worker: h.worker.ID, Reason: reason}}
}

// stepDown lifts one limit by one step if the urgent tasks are predicted to stay below the upper threshold.
func (m *Machine) relax(now time.Time, h *host, victim *reservation) []Effect {
	for _, t := range h.reservations {
		i := slices.Index(throttleSteps[:], t.throttlePermille)
		if i <= 0 || t.evicting {
			continue
		}
		if victim != nil && victim.slowdown+m.slowdownFromLifting(h, victim, t, throttleSteps[i-1]) > m.slowdownLimit {
			continue
		}
		t.throttlePermille = throttleSteps[i-1]
		h.mitigation.lastActionAt, h.mitigation.lowReports = now, 0
		reason := "urgent tasks are no longer slowed"
		return []Effect{Throttle{TaskRef: t.task.Ref, Worker: h.worker.ID, Permille: t.throttlePermille, Reason: reason}}
	}
	return nil
}

func (m *Machine) slowdownFromLifting(h *host, victim, t *reservation, permille int) float64 {
	growth := float64(permille)/float64(t.throttlePermille) - 1
	return m.model.slowdowns[victim.kind][t.kind] * h.share(t.expectedMilliCPU()) * growth
}
