package flow

import (
	"fmt"
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
	// more than maxCrashes workers have crashed under it, however long it had run on them.
	maxCrashes          = 3
	minConfirmedCrashes = 2
	// minLostSuspects is the number of workers that may have crashed under recent runs of a task after which it is a suspect. The
	// worker of a single one is more likely cut off, and a trial takes time.
	minLostSuspects = 2
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
	// lost are the runs on workers of which it is not known whether they have crashed.
	lost []lostRun
}

// isSuspect reports whether a worker has crashed under a recent run of the task. Several that may have count like one.
func (c *crashRecord) isSuspect() bool { return c.crashes > 0 || c.lostSuspects() >= minLostSuspects }

func (c *crashRecord) suspicions() int { return c.crashes + c.lostSuspects() }

// sound returns the record of a task that has run soundly. The workers that were lost under it count on, because it may crash them
// later.
func (c *crashRecord) sound() crashRecord {
	lost := slices.DeleteFunc(slices.Clone(c.lost), func(l lostRun) bool { return !l.existed })
	for i := range lost {
		lost[i].suspect = false
	}
	return crashRecord{losses: c.losses, lost: lost}
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
	if _, t := m.lookupTask(r.id); t != nil && (t.losses > 0 || len(t.lost) > 0) && r.step.spec.LongRunning && clock-r.firstClock >= provenRunTime.Milliseconds() {
		t.losses, t.lost = 0, nil
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
	if s.crashes > 0 || len(s.lostWorkers) > 0 {
		s.crashes = 0
		clear(s.lostWorkers)
		m.searchAgain()
	}
	if t.suspicions() == 0 {
		return
	}
	m.emit(Log{Text: "no longer suspected of a crash", Task: r.id, Run: r.number, Worker: r.worker.ID})
	t.crashRecord, t.verdictDue = t.sound(), false
	s.crashesChanged(r.id.Index)
	m.markTaskDirty(r.id)
}

// countLoss counts the crash of a worker for a task, whatever the age of its run. It bounds the crashes by a task that is not found
// as a suspect, because it crashes its workers late.
func (m *Machine) countLoss(id infra.TaskID, t *task) {
	t.losses++
	m.jobs[id.Job].crashed = true
	m.markTaskDirty(id)
}

// existed reports whether the run is known to have existed in the present life of its worker.
func (r *run) existed() bool { return r.firstClock > 0 && !r.fromPreviousIncarnation }

// startedSoonBefore reports whether the worker had confirmed the start and became unreachable soon after it, at a time. The run of a
// worker that crashed without notice may have ended before.
func (r *run) startedSoonBefore(noticed time.Time) bool {
	isAdopted := r.deadline == 0
	return r.firstClock > 0 && !isAdopted && noticed.Sub(r.startedAt) < maxNoticeTime
}

// excludesOthers reports whether a crash of the worker cannot have been caused by its other runs, because it had survived
// them until the run started.
func (r *run) excludesOthers() bool { return r.isolated && (r.firstClock > 0 || r.fresh) }

// suspects returns the runs that may have crashed the worker: those that had not lasted long, or in an isolated trial only the one on
// trial.
func (w *worker) suspects() []*run {
	var suspects []*run
	for _, r := range w.runsByTask {
		if !r.sound && !r.fromPreviousIncarnation && r.step != nil && r.occ.job.live() {
			suspects = append(suspects, r)
		}
	}
	if w.trial != nil && w.trial.excludesOthers() && slices.Contains(suspects, w.trial) {
		return []*run{w.trial}
	}
	return suspects
}

// suspect counts a crash of the worker of a recent run against its task. The worker became unreachable at a time.
func (m *Machine) suspect(id infra.TaskID, l lostRun, at time.Time, logged bool) {
	s, t := m.lookupTask(id)
	t.crashes++
	s.crashesChanged(id.Index)
	if l.confirmed {
		t.confirmed++
	}
	m.jobs[id.Job].crashed = true
	t.unsavedSeq, t.crashedAt = m.markTaskDirty(id), at
	// Two crashes of one worker are no better evidence against the task than against the worker.
	t.verdictDue = t.confirmed >= minConfirmedCrashes && l.confirmed && l.isolated && t.crashedOn != l.worker
	t.crashedOn = l.worker
	if logged {
		m.emit(Log{
			Text: "run suspected of a crash", Task: id, Run: l.number, Worker: l.worker,
			Reason: fmt.Sprintf("crash %d, %d confirmed, isolated %t", t.crashes, t.confirmed, l.isolated),
		})
	}
}

// giveUpOnCrashes fails the job of a task that crashes its workers, and reports whether it did. The verdict on a task
// with fewer than maxCrashes crashes waits until other crashes at the same time would have been noticed.
func (m *Machine) giveUpOnCrashes(r *readyStep, t *task, index int) bool {
	m.judgeGoneWorkers(r.task(index), r.step, t)
	if !t.verdictDue && !t.exceedsCrashes() {
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
	m.failJob(r.occ.job, t, r.task(index), fmt.Sprintf(
		"task crashes its workers: %d crashes, %d confirmed; %d workers crashed under it", t.crashes, t.confirmed, t.losses,
	))
	return true
}

// isCorrelated reports whether several workers were lost at about the given time, and have crashed or not answered since.
func (m *Machine) isCorrelated(at time.Time) bool {
	isNear := func(t time.Time) bool { return t.Sub(at).Abs() <= correlationWindow }
	count := countFunc(m.recentCrashes, isNear)
	for _, l := range m.lostLives {
		if isNear(l.since) {
			count++
		}
	}
	return count >= minCorrelatedCrashes
}

// mayStart reports whether a task may be started now as far as crashes are concerned. A crash and the open run of a trial must
// be durable first, so that a successor counts on from them. The tasks of a step behave alike: while several workers crashed
// under it, or may have, they start one at a time.
func (m *Machine) mayStart(s *step, t *task) bool {
	if t.unsavedSeq > m.savedSeq || t.verdictDue || t.exceedsCrashes() || t.awaitsLostWorkers() || m.now.Before(t.trialRetryAt) {
		return false
	}
	return s.crashes+len(s.lostWorkers) < 2 || s.spec.Gang || !s.hasRecentRun()
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

// mostSuspected returns the task itself, or for a gang, which is suspected as a whole, the most suspected member.
func (s *step) mostSuspected(t *task) *task {
	if !s.spec.Gang {
		return t
	}
	return s.tasks.peek(s.suspect)
}

// crashesChanged updates the most suspected member of a gang after a change of the crash record of a task.
func (s *step) crashesChanged(index int) {
	switch {
	case !s.spec.Gang:
	case s.tasks.peek(index).suspicions() > s.tasks.peek(s.suspect).suspicions():
		s.suspect = index
	case index == s.suspect:
		for i, t := range s.tasks.allocated() {
			if t.suspicions() > s.tasks.peek(s.suspect).suspicions() {
				s.suspect = i
			}
		}
	}
}

// needsIsolation reports whether a task must be placed on a worker without recent runs, so that a crash can have no other
// cause; t may be nil for a gang.
func (m *Machine) needsIsolation(s *step, t *task) bool {
	t = s.mostSuspected(t)
	if t == nil || !t.isSuspect() {
		return false
	}
	return t.trialSince.IsZero() || m.now.Sub(t.trialSince) < maxTrialWait
}

// ignoresTrials reports whether a task has waited so long for a trial that it starts beside others. Only a long-running task
// does: a task with an end can wait, and would be blamed for the crashes of others.
func (m *Machine) ignoresTrials(s *step, t *task) bool {
	t = s.mostSuspected(t)
	return s.spec.LongRunning && t != nil && t.isSuspect() && !m.needsIsolation(s, t)
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
	if r.step.mostSuspected(t).isSuspect() {
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
