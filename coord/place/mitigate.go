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
	slowdownBand = 0.2
	// badReports and goodReports are the reports in a row that must agree before a step up or down.
	badReports  = 2
	goodReports = 6
	// actionGap lets a step show in reports, which lag, before the next one.
	actionGap = 10 * time.Second
	// minGain is the predicted relief, as added slowdown, below which a step is not worth its cost.
	minGain = 0.05
	// minStay is how long a task runs before it may be moved, and moveGap how long between two moves of one task.
	minStay = time.Minute
	moveGap = 10 * time.Minute
)

// throttleSteps are the limits tried in order before a task is moved.
var throttleSteps = [...]int{unthrottled, 500, 250}

// guard is the state of the mitigation on one worker.
type guard struct {
	bad, good int
	actedAt   time.Time
}

// mitigate limits the task that slows the urgent tasks of a worker most, then moves it; it lifts limits later.
func (m *Machine) mitigate(now time.Time, h *host) []Effect {
	victim := slowest(h)
	g := &h.guard
	switch {
	case victim == nil:
		g.bad, g.good = 0, g.good+1
	case victim.slowdown > m.limit:
		g.bad, g.good = g.bad+1, 0
	case victim.slowdown < m.limit-slowdownBand:
		g.bad, g.good = 0, g.good+1
	default:
		g.bad, g.good = 0, 0
	}
	if now.Sub(g.actedAt) < actionGap && !g.actedAt.IsZero() {
		return nil
	}
	switch {
	case g.bad >= badReports:
		return m.stepUp(now, h, victim)
	case g.good >= goodReports:
		return m.stepDown(now, h, victim)
	}
	return nil
}

// slowest returns the urgent task on a worker that is slowed most.
func slowest(h *host) *held {
	var worst *held
	for _, t := range h.list {
		if t.task.Class == fleet.Urgent && (worst == nil || t.slowdown > worst.slowdown) {
			worst = t
		}
	}
	return worst
}

// stepUp throttles the least urgent, then most harmful task, or moves it if it is throttled already.
func (m *Machine) stepUp(now time.Time, h *host, victim *held) []Effect {
	for _, class := range []fleet.Class{fleet.Deferrable, fleet.Standard} {
		if cause := m.worstCause(now, h, victim, class); cause != nil {
			h.guard.actedAt, h.guard.bad = now, 0
			return m.act(now, h, victim, cause)
		}
	}
	return nil
}

func (m *Machine) worstCause(now time.Time, h *host, victim *held, class fleet.Class) *held {
	var worst *held
	worstGain := minGain
	for _, t := range h.list {
		if t.task.Class != class || t.evicting || !m.canStep(now, t) {
			continue
		}
		gain := m.model.pairs[victim.kind][t.kind] * h.share(t.expectedLoad())
		if gain > worstGain {
			worst, worstGain = t, gain
		}
	}
	return worst
}

// canStep reports whether a task may be limited further or moved.
func (m *Machine) canStep(now time.Time, t *held) bool {
	if t.permille > throttleSteps[len(throttleSteps)-1] {
		return true
	}
	moved, ok := m.moves[t.task.Ref.Task]
	return now.Sub(t.reservedAt) >= minStay && (!ok || now.Sub(moved) >= moveGap) && m.betterElsewhere(t)
}

// betterElsewhere reports whether another worker has room for a task without slowing its urgent tasks too much.
func (m *Machine) betterElsewhere(t *held) bool {
	for _, h := range m.order {
		if h != t.host && h.available() && !h.record.probation && t.size.Fits(h.free()) &&
			m.model.worstWith(h, t) <= m.limit {
			return true
		}
	}
	return false
}

func (m *Machine) act(now time.Time, h *host, victim, cause *held) []Effect {
	reason := fmt.Sprintf("%s slowed to %.2f by kind %s", victim.task.Ref.Task, victim.slowdown, cause.task.Kind)
	i := slices.Index(throttleSteps[:], cause.permille)
	if i+1 < len(throttleSteps) {
		cause.permille = throttleSteps[i+1]
		return []Effect{Throttle{TaskRef: cause.task.Ref, Worker: h.worker.ID, Permille: cause.permille, Reason: reason}}
	}
	cause.setEvicting()
	m.moves[cause.task.Ref.Task] = now
	return []Effect{Evict{TaskRef: cause.task.Ref, Worker: h.worker.ID, Reason: reason}}
}

// stepDown lifts one limit by one step if the urgent tasks are predicted to stay below the upper threshold.
func (m *Machine) stepDown(now time.Time, h *host, victim *held) []Effect {
	for _, t := range h.list {
		i := slices.Index(throttleSteps[:], t.permille)
		if i <= 0 || t.evicting {
			continue
		}
		if victim != nil && victim.slowdown+m.addedByLifting(h, victim, t, throttleSteps[i-1]) > m.limit {
			continue
		}
		t.permille = throttleSteps[i-1]
		h.guard.actedAt, h.guard.good = now, 0
		reason := "urgent tasks are no longer slowed"
		return []Effect{Throttle{TaskRef: t.task.Ref, Worker: h.worker.ID, Permille: t.permille, Reason: reason}}
	}
	return nil
}

func (m *Machine) addedByLifting(h *host, victim, t *held, permille int) float64 {
	growth := float64(permille)/float64(t.permille) - 1
	return m.model.pairs[victim.kind][t.kind] * h.share(t.expectedLoad()) * growth
}
