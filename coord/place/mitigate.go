package place

import (
	"fmt"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
)

const (
	// DefaultSlowdownLimit is the slowdown of urgent tasks above which mitigation starts. In the worst case of
	// docs/policies.md, batch throughput falls to half of that under [Spread] at 1.35, and to 95 % at 1.8.
	DefaultSlowdownLimit = 1.8
	// slowdownHysteresis is the distance below the limit at which mitigation is relaxed.
	slowdownHysteresis = 0.2
	// minHighReports and minLowReports are the numbers of consecutive reports with a slowdown above the limit, or below it
	// by more than the hysteresis, after which mitigation is escalated or relaxed.
	minHighReports = 2
	minLowReports  = 6
	// minActionInterval separates two actions on a worker: reports lag, so the effect of the first must show in them.
	minActionInterval = 10 * time.Second
	// minGain is the smallest predicted reduction of the slowdown that justifies an action.
	minGain = 0.05
	// minTimeBeforeMove is the time from the placement of a task until it may be moved, and minMoveInterval the time
	// between two moves of it.
	minTimeBeforeMove = time.Minute
	minMoveInterval   = 10 * time.Minute
)

// throttleSteps are the limits, in permille, that are applied in order before a task is moved.
var throttleSteps = [...]int{unthrottledPermille, 500, 250}

// mitigationState counts consecutive reports of a worker with a high or a low slowdown and holds the time of the last
// action on it.
type mitigationState struct {
	highReports, lowReports int
	lastActionAt            time.Time
}

// mitigate throttles and then moves the task that contributes most to the slowdown of the most slowed urgent task. It
// relaxes throttles once the slowdown has been low for minLowReports reports.
func (m *Machine) mitigate(now time.Time, h *host) []Effect {
	victim := mostSlowed(h)
	state := &h.mitigation
	switch {
	case victim == nil:
		state.highReports, state.lowReports = 0, state.lowReports+1
	case victim.slowdown > m.slowdownLimit:
		state.highReports, state.lowReports = state.highReports+1, 0
	case victim.slowdown < m.slowdownLimit-slowdownHysteresis:
		state.highReports, state.lowReports = 0, state.lowReports+1
	default:
		state.highReports, state.lowReports = 0, 0
	}
	if now.Sub(state.lastActionAt) < minActionInterval && !state.lastActionAt.IsZero() {
		return nil
	}
	switch {
	case state.highReports >= minHighReports:
		return m.escalate(now, h, victim)
	case state.lowReports >= minLowReports:
		return m.relax(now, h, victim)
	}
	return nil
}

// mostSlowed returns the urgent task on a host with the largest slowdown, or nil if there is none.
func mostSlowed(h *host) *reservation {
	var worst *reservation
	for _, t := range h.reservations {
		if t.task.Class == fleet.Urgent && (worst == nil || t.slowdown > worst.slowdown) {
			worst = t
		}
	}
	return worst
}

// escalate throttles the task that slows the victim most, or moves it if it already has the lowest limit. Standard
// tasks are considered only if no deferrable task qualifies.
func (m *Machine) escalate(now time.Time, h *host, victim *reservation) []Effect {
	for _, class := range []fleet.Class{fleet.Deferrable, fleet.Standard} {
		if cause := m.worstCause(now, h, victim, class); cause != nil {
			h.mitigation.lastActionAt, h.mitigation.highReports = now, 0
			return m.throttleOrEvict(now, h, victim, cause)
		}
	}
	return nil
}

// worstCause returns the task of the class that adds most to the slowdown of the victim, or nil if none adds more than
// minGain.
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

// canThrottleOrMove reports whether a task may be throttled further or moved.
func (m *Machine) canThrottleOrMove(now time.Time, t *reservation) bool {
	if t.throttlePermille > throttleSteps[len(throttleSteps)-1] {
		return true
	}
	moved, ok := m.lastMovedAt[t.task.Ref.Task]
	return now.Sub(t.reservedAt) >= minTimeBeforeMove && (!ok || now.Sub(moved) >= minMoveInterval) && m.hasBetterHost(t)
}

// hasBetterHost reports whether another worker has room for a task and would keep its urgent tasks within the slowdown
// limit.
func (m *Machine) hasBetterHost(t *reservation) bool {
	for _, h := range m.hostsByID {
		if h != t.host && h.available() && !h.history.probation && t.size.Fits(h.free()) &&
			m.model.worstSlowdownWith(h, t) <= m.slowdownLimit {
			return true
		}
	}
	return false
}

// throttleOrEvict applies the next lower limit to the cause, or evicts it if there is none.
func (m *Machine) throttleOrEvict(now time.Time, h *host, victim, cause *reservation) []Effect {
	reason := fmt.Sprintf("%s slowed to %.2f by kind %s", victim.task.Ref.Task, victim.slowdown, cause.task.Kind)
	i := slices.Index(throttleSteps[:], cause.throttlePermille)
	if i+1 < len(throttleSteps) {
		cause.throttlePermille = throttleSteps[i+1]
		return []Effect{Throttle{TaskRef: cause.task.Ref, Worker: h.worker.ID, Permille: cause.throttlePermille, Reason: reason}}
	}
	cause.setEvicting()
	m.lastMovedAt[cause.task.Ref.Task] = now
	return []Effect{Evict{TaskRef: cause.task.Ref, Worker: h.worker.ID, Reason: reason}}
}

// relax raises the limit of one throttled task by one step if the victim is predicted to stay within the slowdown
// limit. With no victim it always does.
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

// slowdownFromLifting returns the slowdown that raising the limit of a task to permille is predicted to add.
func (m *Machine) slowdownFromLifting(h *host, victim, t *reservation, permille int) float64 {
	growth := float64(permille)/float64(t.throttlePermille) - 1
	return m.model.slowdowns[victim.kind][t.kind] * h.share(t.expectedMilliCPU()) * growth
}
