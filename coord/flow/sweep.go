package flow

import (
	"time"
)

// tick lets time pass: holds that are due, stops to repeat, leases that have lapsed, occurrences that are due.
func (m *Machine) tick(wall time.Time) {
	m.wall, m.wallAt = wall, m.now
	if !m.restored {
		return
	}
	if m.now.Sub(m.sweptAt) >= sweepEach {
		m.sweptAt = m.now
		m.sweep()
	}
	if m.placeNext && m.now.Sub(m.placedAt) >= placeEach {
		m.placedAt = m.now
		m.place()
	}
	m.save()
}

// sweep looks at everything that time alone changes.
func (m *Machine) sweep() {
	for _, j := range m.timed {
		m.createDue(j)
	}
	if len(m.unsettled) > 0 && m.now.After(m.unsettledTill) {
		m.emit(Log{Text: "leases of the former scheduler have lapsed"})
		clear(m.unsettled)
		m.placeNext = true
	}
	for _, w := range m.order {
		m.tickWorker(w)
	}
	m.expire()
	m.tend()
	m.learntDirty = m.learntDirty || len(m.victims) > 0 && m.now.Sub(m.learntAt) >= learntEach
	if len(m.ready) > 0 && m.now.Sub(m.placedAt) >= retryEach {
		m.placeNext = true
	}
}

func (m *Machine) tickWorker(w *worker) {
	if w.fenced && !w.trusted && !m.doubted {
		w.trusted = true
		m.placeNext = true
	}
	if !w.holding && !m.now.Before(w.holdAt) && (w.listed || len(w.runs) > 0 || m.isUnsettled(w)) {
		m.hold(w)
	}
	if !w.reachable && len(w.runs) > 0 && w.lapsed(m.now) {
		m.emit(Log{Text: "lease lapsed", Worker: w.ID, Reason: "worker not reachable"})
		m.clearWorker(w, "lease lapsed")
	}
	m.evacuate(w)
	w.recoverSpeed(m.now)
	for _, r := range w.sortedRuns() {
		if r.state == stopping && !m.now.Before(r.stopAt) {
			m.sendStop(r)
		}
		if r.state == fencing && m.now.Sub(r.since) > lateOrders {
			m.vanish(r, "start to a former life is too old to happen")
		} else if r.state == fencing && w.fenced && !m.now.Before(r.stopAt) {
			m.sendStop(r)
		}
	}
	if !w.listed && len(w.runs) == 0 && !w.holding && !m.isUnsettled(w) {
		m.removeWorker(w)
	}
}

func (m *Machine) isUnsettled(w *worker) bool {
	_, found := m.unsettled[w.ID]
	return found
}
