package flow

import (
	"fmt"
	"math"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

const (
	// soundRunTime is how long a run must have lasted on its worker to be no suspect when the worker crashes.
	soundRunTime = 500 * time.Millisecond
	// provenRunTime is how long a long-running task must have lasted for earlier losses to count no more.
	provenRunTime = 10 * time.Second
	// maxNoticeTime is the maximum time from a start until its worker is found unreachable for the crash to be confirmed. It
	// covers the report that ends a trial.
	maxNoticeTime = time.Second
	// maxLoggedSuspects limits the log lines about one crash.
	maxLoggedSuspects = 8
	// maxTrialWait is how long a suspect waits for a worker without other recent runs. A task should not wait for much
	// longer while there is room for it.
	maxTrialWait = 2 * time.Second
	// trialRetryPause is the pause between two searches for a worker for a trial.
	trialRetryPause = 40 * time.Millisecond
	// maxReservedShare is the share of a service's workers that may be reserved for trials at a time.
	maxReservedShare = 0.25
	// maxCrashes is the number of crashes after which a task is given up. One less is enough if the last one happened in
	// an isolated trial on another worker. At least minConfirmedCrashes must be confirmed. A task is also given up after
	// the loss of more than maxCrashes workers, however long it had run on them.
	maxCrashes          = 3
	minConfirmedCrashes = 2
	// freshReport is the maximum age of a worker's report when a trial is started on it.
	freshReport = 50 * time.Millisecond
	// correlationWindow is the maximum distance between the crashes that a failure of a rack or of the power supply causes.
	// That many crashes in it without a task that was suspected before are taken for such a failure.
	correlationWindow    = 300 * time.Millisecond
	minCorrelatedCrashes = 3
)

// crashRecord counts the workers that crashed under recent runs of a task, and those of them that had confirmed the start
// and became unreachable soon after it.
type crashRecord struct {
	crashes, confirmed int
	// losses counts all workers that crashed under the task, and crashedOn is the last one that made it a suspect.
	losses    int
	crashedOn fleet.WorkerID
	openRun   openRun
}

// exceedsCrashes reports whether the task has to be given up however the last crash happened.
func (c crashRecord) exceedsCrashes() bool {
	return c.losses > maxCrashes || c.crashes > maxCrashes || c.crashes == maxCrashes && c.confirmed >= minConfirmedCrashes
}

// observeRun records that a run existed at a time of its worker's clock.
func (m *Machine) observeRun(r *run, clock int64) {
	if r.firstClock == 0 {
		r.firstClock = clock
	}
	if r.step == nil {
		// The job was unknown when the run was adopted.
		return
	}
	if !r.sound && clock-r.firstClock >= soundRunTime.Milliseconds() {
		m.markSound(r)
	}
	if _, t := m.lookupTask(r.id); t != nil && t.losses > 0 && r.step.spec.LongRunning && clock-r.firstClock >= provenRunTime.Milliseconds() {
		t.losses = 0
		m.markTaskDirty(r.id)
	}
}

// markSound clears a task and its step of the suspicion of crashing workers.
func (m *Machine) markSound(r *run) {
	r.sound = true
	if r.worker.trial == r {
		r.worker.trial = nil
		m.searchAgain()
	}
	s, t := m.lookupTask(r.id)
	if t == nil || r.step == nil {
		return
	}
	if s.crashes > 0 {
		s.crashes = 0
		m.searchAgain()
	}
	if t.crashes == 0 {
		return
	}
	m.emit(Log{Text: "no longer suspected of a crash", Task: r.id, Run: r.number, Worker: r.worker.ID})
	t.crashRecord, t.verdictDue = crashRecord{losses: t.losses}, false
	s.crashesChanged(r.id.Index)
	m.markTaskDirty(r.id)
}

// workerCrashed handles the unplanned end of a worker's process. The runs that had not lasted long are suspected of
// having caused it; in an isolated trial only the run on trial is.
func (m *Machine) workerCrashed(w *worker, reason string) {
	if w.Draining || w.cordoned {
		return
	}
	if !w.hasAnswered {
		m.blameSilencedRuns(w.ID, math.MaxInt64)
	}
	if len(w.runs) == 0 {
		return
	}
	m.counts.Crashes++
	suspects := w.suspects()
	if w.trial != nil && w.trial.excludesOthers() && slices.Contains(suspects, w.trial) {
		suspects = []*run{w.trial}
	} else {
		m.recentCrashes = slices.DeleteFunc(m.recentCrashes, func(c time.Time) bool { return m.now.Sub(c) > 4*correlationWindow })
		m.recentCrashes = append(m.recentCrashes, m.now)
	}
	for _, r := range w.runsByTask {
		if _, t := m.lookupTask(r.id); t != nil {
			m.closeRun(r.id, t, w.ID)
		}
	}
	steps := make(map[*step]struct{})
	for _, r := range suspects {
		steps[r.step] = struct{}{}
	}
	for s := range steps {
		s.crashes++
	}
	m.emit(Log{Text: "worker crashed", Worker: w.ID, Reason: fmt.Sprintf("%s; %d suspects of %d runs", reason, len(suspects), len(w.runs))})
	m.countLosses(w)
	for i, r := range suspects {
		m.suspect(r.id, r.number, w.ID, w.crashedSoonAfter(r, m.now), r.isolated, i < maxLoggedSuspects)
	}
}

// countLosses counts the crash of a worker for all tasks on it. It bounds the crashes by a task that is not found as a
// suspect, because it crashes its workers late.
func (m *Machine) countLosses(w *worker) {
	for _, r := range w.runsByTask {
		_, t := m.lookupTask(r.id)
		if t != nil && r.step != nil && r.existed() && r.occ.job.live() {
			m.countLoss(r.id, t)
		}
	}
}

func (m *Machine) countLoss(id infra.TaskID, t *task) {
	t.losses++
	t.verdictDue = t.verdictDue || t.exceedsCrashes()
	m.jobs[id.Job].crashed = true
	m.markTaskDirty(id)
}

// existed reports whether the run is known to have existed in the present life of its worker.
func (r *run) existed() bool { return r.firstClock > 0 && !r.fromPreviousIncarnation }

// crashedSoonAfter reports whether the worker had confirmed the start and became unreachable soon after it. The run of a
// worker that crashed without notice may have ended before.
func (w *worker) crashedSoonAfter(r *run, now time.Time) bool {
	noticed := now
	if !w.reachable {
		noticed = w.unreachableSince
	}
	isAdopted := r.deadline == 0
	return r.firstClock > 0 && !isAdopted && noticed.Sub(r.startedAt) < maxNoticeTime
}

// excludesOthers reports whether a crash of the worker cannot have been caused by its other runs, because it had survived
// them until the run started.
func (r *run) excludesOthers() bool { return r.isolated && (r.firstClock > 0 || r.fresh) }

// suspects returns the runs that may have crashed the worker.
func (w *worker) suspects() []*run {
	var suspects []*run
	for _, r := range w.runsByTask {
		if !r.sound && !r.fromPreviousIncarnation && r.step != nil && r.occ.job.live() {
			suspects = append(suspects, r)
		}
	}
	return suspects
}

// suspect counts a crash of a worker against a task.
func (m *Machine) suspect(id infra.TaskID, number infra.Run, on fleet.WorkerID, confirmed, isolated, logged bool) {
	s, t := m.lookupTask(id)
	t.crashes++
	s.crashesChanged(id.Index)
	if confirmed {
		t.confirmed++
	}
	m.jobs[id.Job].crashed = true
	t.unsavedSeq, t.crashedAt = m.markTaskDirty(id), m.now
	// Two crashes of one worker are no better evidence against the task than against the worker.
	t.verdictDue = t.exceedsCrashes() || t.confirmed >= minConfirmedCrashes && confirmed && isolated && t.crashedOn != on
	t.crashedOn = on
	if logged {
		m.emit(Log{
			Text: "run suspected of a crash", Task: id, Run: number, Worker: on,
			Reason: fmt.Sprintf("crash %d, %d confirmed, isolated %t", t.crashes, t.confirmed, isolated),
		})
	}
}

// giveUpOnCrashes fails the job of a task that crashes its workers, and reports whether it did. The verdict on a task
// with fewer than maxCrashes crashes waits until other crashes at the same time would have been noticed.
func (m *Machine) giveUpOnCrashes(r *readyStep, t *task, index int) bool {
	if !t.verdictDue {
		return false
	}
	if !t.exceedsCrashes() {
		if m.now.Sub(t.crashedAt) < correlationWindow {
			return false
		}
		if m.isCorrelated(t.crashedAt) {
			t.verdictDue = false
			return false
		}
	}
	m.counts.GivenUp++
	m.failJob(r.occ.job, t, r.task(index), fmt.Sprintf("task crashes its workers: %d crashes", t.crashes))
	return true
}

// isCorrelated reports whether several workers crashed at about the given time.
func (m *Machine) isCorrelated(at time.Time) bool {
	count := 0
	for _, c := range m.recentCrashes {
		if c.Sub(at).Abs() <= correlationWindow {
			count++
		}
	}
	return count >= minCorrelatedCrashes
}

// mayStart reports whether a task may be started now as far as crashes are concerned. A crash and the open run of a trial must
// be durable first, so that a successor counts on from them. The tasks of a step behave alike: while several workers crashed
// under it, they start one at a time.
func (m *Machine) mayStart(s *step, t *task) bool {
	if t.unsavedSeq > m.savedSeq || t.verdictDue || m.now.Before(t.trialRetryAt) {
		return false
	}
	return s.crashes < 2 || s.spec.Gang || !s.hasRecentRun()
}

// hasRecentRun reports whether a run of the step on a worker that answers may still turn out to be a crash.
func (s *step) hasRecentRun() bool {
	for _, t := range s.tasks.allocated() {
		for _, r := range t.runs {
			if !r.sound && !r.fromPreviousIncarnation && r.worker.reachable && r.worker.unconfirmed == nil {
				return true
			}
		}
	}
	return false
}

// mostSuspected returns the task itself, or for a gang, which is suspected as a whole, the member with the most crashes.
func (s *step) mostSuspected(t *task) *task {
	if !s.spec.Gang {
		return t
	}
	return s.tasks.peek(s.suspect)
}

// crashesChanged updates the most suspected member of a gang after a change of the crashes of a task.
func (s *step) crashesChanged(index int) {
	switch {
	case !s.spec.Gang:
	case s.tasks.peek(index).crashes > s.tasks.peek(s.suspect).crashes:
		s.suspect = index
	case index == s.suspect:
		for i, t := range s.tasks.allocated() {
			if t.crashes > s.tasks.peek(s.suspect).crashes {
				s.suspect = i
			}
		}
	}
}

// needsIsolation reports whether a task must be placed on a worker without recent runs, so that a crash can have no other
// cause; t may be nil for a gang.
func (m *Machine) needsIsolation(s *step, t *task) bool {
	t = s.mostSuspected(t)
	if t == nil || t.crashes == 0 {
		return false
	}
	return t.trialSince.IsZero() || m.now.Sub(t.trialSince) < maxTrialWait
}

// ignoresTrials reports whether a task has waited so long for a trial that it starts beside others. Only a long-running task
// does: a task with an end can wait, and would be blamed for the crashes of others.
func (m *Machine) ignoresTrials(s *step, t *task) bool {
	t = s.mostSuspected(t)
	return s.spec.LongRunning && t != nil && t.crashes > 0 && !m.needsIsolation(s, t)
}

// accepts reports whether a worker takes a task, as far as trials are concerned. isolated and ignoresTrials are the results
// of [Machine.needsIsolation] and [Machine.ignoresTrials] for the task.
func (w *worker) accepts(now time.Time, isolated, ignoresTrials bool) bool {
	switch {
	case ignoresTrials:
		return true
	case w.trial != nil:
		return false
	case isolated:
		return now.Sub(w.lastStart) >= soundRunTime
	}
	return !now.Before(w.reservedUntil)
}

func (w *worker) hasFreshReport(now time.Time) bool { return now.Sub(w.clockAt) <= freshReport }

// awaitReport reports whether the trial of a task has to wait until the worker has reported. Otherwise the worker may have
// crashed already.
func (m *Machine) awaitReport(r *readyStep, t *task, w *worker) bool {
	if !m.needsIsolation(r.step, t) || w.hasFreshReport(m.now) {
		return false
	}
	if t.trialSince.IsZero() {
		t.trialSince = m.now
	}
	if !w.probed {
		w.probed = true
		m.sendImmediateRenewal(w)
	}
	return true
}

// reserve keeps new tasks away from a worker, so that it can run a trial of the task soon. The wait for a trial is bounded
// from when a worker has room for the task.
func (m *Machine) reserve(r *readyStep, t *task) {
	t = r.step.mostSuspected(t)
	if t == nil || !m.needsIsolation(r.step, t) {
		return
	}
	t.trialRetryAt = m.now.Add(trialRetryPause)
	if m.now.Before(t.reservedUntil) {
		return
	}
	candidates := m.candidatesOf(r.queue.Service).workers
	reserved := 0
	var best *worker
	for _, w := range candidates {
		isReserved := m.now.Before(w.reservedUntil)
		if isReserved {
			reserved++
		}
		if !m.fits(r, w, "") {
			continue
		}
		if t.trialSince.IsZero() {
			t.trialSince = m.now
		}
		if !isReserved && (best == nil || w.lossOnCrash() < best.lossOnCrash()) {
			best = w
		}
	}
	if best == nil || reserved > int(maxReservedShare*float64(len(candidates))) {
		return
	}
	t.reservedUntil = m.now.Add(soundRunTime + placeRetryInterval)
	best.reservedUntil, best.reservedFor = t.reservedUntil, nil
}

// beginTrial records the start of a run on its worker.
func (m *Machine) beginTrial(r *run, t *task) {
	w := r.worker
	r.fresh = w.hasFreshReport(m.now)
	t.trialSince = time.Time{}
	if r.step.mostSuspected(t).crashes > 0 {
		r.isolated = w.trial == nil && m.now.Sub(w.lastStart) >= soundRunTime
		if w.trial != nil {
			w.trial.isolated = false
		}
		w.trial, w.reservedUntil, w.reservedFor = r, time.Time{}, nil
		m.counts.Trials++
	}
	w.lastStart = m.now
}

// probeTrial requests a report once a trial may have been passed. It does so once for each trial: a renewal that replaced
// one without an answer before that had failed would hide that the worker is unreachable.
func (m *Machine) probeTrial(w *worker) {
	r := w.trial
	if r == nil || r.probed || r.firstClock == 0 || w.minClock(m.now) < r.firstClock+soundRunTime.Milliseconds() {
		return
	}
	r.probed = true
	m.sendImmediateRenewal(w)
}

// lossPenalty weighs what a crash would cost against all other terms of the score, and freshReportBonus exceeds it for any
// number of runs on a worker. crashedOnPenalty exceeds both, so that another worker shows whether the task is to blame.
const (
	lossPenalty      = 100
	freshReportBonus = 1e6
	crashedOnPenalty = 1e7
	// openRunBonus exceeds all other terms, because the choice of another worker would have to be durable first.
	openRunBonus = 1e9
)

// trialScore rates a worker for the trial of a task, in addition to [Machine.score].
func (m *Machine) trialScore(t *task, w *worker) float64 {
	score := -lossPenalty * w.lossOnCrash()
	if w.hasFreshReport(m.now) {
		score += freshReportBonus
	}
	if w.ID == t.crashedOn {
		score -= crashedOnPenalty
	}
	return score
}

// longRunningLoss is the number of other runs that a long-running one outweighs in a crash.
const longRunningLoss = 3

// lossOnCrash rates what a crash of the worker would end.
func (w *worker) lossOnCrash() float64 {
	return float64(len(w.runs) + longRunningLoss*w.longRunning)
}

// silencedRun is a run on a worker whose leases expired while it could not be reached, or an open run in the record of a
// predecessor. startedAt is the start time of the worker, and suspect is set if the run was recent.
type silencedRun struct {
	task      infra.TaskID
	number    infra.Run
	startedAt int64
	suspect   bool
}

// rememberRuns keeps runs of an unreachable worker. Only its return shows whether it had crashed.
func (m *Machine) rememberRuns(w *worker, runs []*run) {
	if w.Draining || w.cordoned || w.StartedAt == 0 {
		return
	}
	suspects := w.suspects()
	for _, r := range runs {
		suspect := slices.Contains(suspects, r)
		if !suspect && !r.existed() {
			continue
		}
		known := slices.DeleteFunc(m.silenced[w.ID], func(s silencedRun) bool { return s.task == r.id })
		m.silenced[w.ID] = append(known, silencedRun{r.id, r.number, w.StartedAt, suspect})
	}
}

// workerAnswered resolves the silenced runs of a worker with its first answer. An incarnation that answers has not crashed.
func (m *Machine) workerAnswered(w *worker) {
	m.blameSilencedRuns(w.ID, w.StartedAt)
	for _, r := range m.silenced[w.ID] {
		// The record of a trial remains until the trial has begun.
		if _, t := m.lookupTask(r.task); t != nil && t.crashes == 0 {
			m.closeRun(r.task, t, w.ID)
		}
	}
	delete(m.silenced, w.ID)
}

// blameSilencedRuns counts the crash of a worker that returns as a new incarnation, started at the given time. A task that
// has run soundly elsewhere since is not blamed.
func (m *Machine) blameSilencedRuns(id fleet.WorkerID, startedAt int64) {
	runs := slices.DeleteFunc(slices.Clone(m.silenced[id]), func(r silencedRun) bool { return r.startedAt >= startedAt })
	if len(runs) == 0 {
		return
	}
	delete(m.silenced, id)
	m.counts.Crashes++
	for i, r := range runs {
		j := m.jobs[r.task.Job]
		_, t := m.lookupTask(r.task)
		if t == nil || t.phase == done || !j.live() || slices.ContainsFunc(t.runs, func(r *run) bool { return r.sound }) {
			continue
		}
		m.closeRun(r.task, t, id)
		m.countLoss(r.task, t)
		if r.suspect {
			m.suspect(r.task, r.number, id, false, false, i < maxLoggedSuspects)
		}
	}
}
