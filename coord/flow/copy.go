package flow

// maxParallelRuns limits the parallel runs of a speculative task.
const maxParallelRuns = 2

// copyRun starts a copy of a speculative task whose run may not complete. It reports whether the task has failed its
// job or has another run.
func (m *Machine) copyRun(r *run, reason string) bool {
	s, t := m.lookupTask(r.id)
	if t == nil || !s.spec.Speculative || s.spec.Gang || t.phase != active || !r.occ.job.live() {
		return false
	}
	if t.isSuspect() {
		return false
	}
	if len(t.runs) >= maxParallelRuns {
		return true
	}
	if len(t.failedRuns) > 0 && m.checkAttempts(r.occ.job, t, r.id) {
		return true
	}
	clear(m.candidates)
	ready := m.readyStepOf(r)
	t.avoidWorker = r.worker.ID
	w := m.pickWorker(ready, t)
	if w == nil || w == r.worker {
		return false
	}
	m.counts.Copied++
	m.emit(Log{Text: "speculative copy", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
	via := m.chooseLane(r.occ.job, t)
	if via == nil {
		via = m.link
	}
	m.start(ready, r.id.Index, w, t.lastRun+1, via)
	return true
}
