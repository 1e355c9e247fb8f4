package flow

// mostCopies bounds the runs of one speculative task at a time.
const mostCopies = 2

// copyRun starts a copy of a speculative task beside a run that may not come to its end, and reports whether there is one.
func (m *Machine) copyRun(r *run, reason string) bool {
	s, t := m.lookup(r.id)
	if t == nil || !s.spec.Speculative || s.spec.Gang || t.phase != active || !r.occ.job.live() {
		return false
	}
	if len(t.runs) >= mostCopies {
		return true
	}
	if len(t.failed) > 0 && m.checkAttempts(r.occ.job, t, r.id) {
		return true
	}
	clear(m.candidates)
	ready := m.readyFor(r)
	t.avoid = r.worker.ID
	w := m.pick(ready, t)
	if w == nil || w == r.worker {
		return false
	}
	m.counts.Copied++
	m.emit(Log{Text: "copy", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
	m.start(ready, r.id.Index, w, t.lastRun+1)
	return true
}
