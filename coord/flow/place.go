package flow

import (
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

const (
	// remoteWaitFactor is the fraction of a step's estimate for which its tasks wait for a worker in the rack of their
	// data.
	remoteWaitFactor = 0.5
)

// place starts waiting tasks in rank order.
func (m *Machine) place() {
	m.placementDue = false
	if !m.restored || m.catalog == nil {
		return
	}
	m.round++
	if m.searchDue || m.now.Sub(m.searchedAt) >= placeRetryInterval {
		m.searchDue, m.searchedAt = false, m.now
		m.searchEpoch++
	}
	m.rankReady()
	m.unplaceableShapes = m.unplaceableShapes[:0]
	clear(m.candidates)
	m.linkFull = false
	m.link.expire(m.now)
	for _, l := range m.relays {
		l.expire(m.now)
	}
	m.placeRanked()
}

// maxRoundCost limits the cost of a round of placement, in workers examined. Leases are renewed, and answers applied, between rounds.
const maxRoundCost = 20_000

// placeRanked starts waiting tasks in rank order as far as maxRoundCost allows. The first half is spent from the highest rank on, the
// second half from where the last round has ended, so that each step has its turn.
func (m *Machine) placeRanked() {
	m.roundCost = 0
	next := 0
	for ; next < len(m.rankedSteps) && m.roundCost < maxRoundCost/2; next++ {
		if !m.placeReady(m.rankedSteps[next]) {
			return
		}
	}
	if next == len(m.rankedSteps) {
		m.resumeAt = nil
		return
	}
	// The rest is due at once.
	m.placementDue = true
	next = max(next, slices.Index(m.rankedSteps, m.resumeAt))
	m.resumeAt = nil
	for ; next < len(m.rankedSteps); next++ {
		if m.roundCost >= maxRoundCost {
			m.resumeAt = m.rankedSteps[next]
			return
		}
		if !m.placeReady(m.rankedSteps[next]) {
			return
		}
	}
}

// placeReady starts waiting tasks of a step, and returns false if no more starts may be sent in this round.
func (m *Machine) placeReady(r *readyStep) bool {
	switch {
	case m.tooManyUnanswered() || m.linkFull:
		return false
	case r.removed:
	case r.step.spec.Gang:
		m.placeGang(r)
	default:
		m.placeStep(r)
	}
	return true
}

// examine counts the consideration of a worker for a task.
func (m *Machine) examine() {
	m.counts.Examined++
	m.roundCost++
}

// mayHaveRun reports whether a predecessor may have started a job. It goes by when the job was stored, because a watch that
// lags delivers it any time later.
func (m *Machine) mayHaveRun(j *job) bool {
	return m.predecessorRevision == 0 || j.revision <= m.predecessorRevision
}

// mayRunUnseen reports whether a worker that this scheduler has not heard from may run a task, which a predecessor
// started there, or may hold the failed end that uses up its attempts.
func (m *Machine) mayRunUnseen(j *job, t *task) bool {
	if len(m.unreconciledWorkers) == 0 || !m.mayHaveRun(j) {
		return false
	}
	return !t.located || len(t.failedRuns) > 0 && len(t.failedRuns) >= m.maxAttempts(j)-1
}

// mayAllRunUnseen reports whether no waiting task of a step can be started because of [Machine.mayRunUnseen].
func (m *Machine) mayAllRunUnseen(r *readyStep) bool {
	for _, t := range r.step.tasks.allocated() {
		if t.phase == waiting && !m.mayRunUnseen(r.occ.job, t) {
			return false
		}
	}
	return r.step.tasks.allAllocated() || m.mayRunUnseen(r.occ.job, r.step.tasks.blank)
}

// candidateSet holds the workers of a service that accept new tasks in this round of placement. maxFree and maxSpare are
// upper bounds of their free resources and spare processor time, which only fall during a round.
type candidateSet struct {
	workers  []*worker
	maxFree  fleet.Resources
	maxSpare int64
	// totalFree is an upper bound of the free resources of all workers together.
	totalFree fleet.Resources
	// changedBefore is the round of placement before which any of the workers last changed in a way that can make room.
	changedBefore int64
}

// candidatesOf returns the workers of a service that accept new tasks in this round of placement.
func (m *Machine) candidatesOf(service string) *candidateSet {
	if found, known := m.candidates[service]; known {
		return found
	}
	found := &candidateSet{}
	for _, w := range m.workersByID {
		if w.Service == service && w.usable(m.now) {
			found.workers = append(found.workers, w)
			found.maxFree = found.maxFree.Max(w.free())
			found.totalFree = found.totalFree.Add(w.free().Max(fleet.Resources{}))
			found.changedBefore = max(found.changedBefore, w.changedBefore)
			found.maxSpare = max(found.maxSpare, w.spareMilliCPU())
		}
	}
	m.candidates[service] = found
	return found
}

// mayFit reports whether a task of a step could fit on a worker by its size alone.
func (c *candidateSet) mayFit(s *infra.Step) bool {
	return s.Reserved().Fits(c.maxFree) && (!s.Filler || s.Size.MilliCPU <= c.maxSpare)
}

// unplaceableShape is the size of an unconstrained task that no worker could take in this round of placement.
type unplaceableShape struct {
	service string
	image   string
	filler  bool
	// longRunning is set if slow workers could not take the task either, see [worker.isSlow].
	longRunning bool
	// overdue is set if quarantined workers could not take the task either, see [Machine.isOverdue].
	overdue bool
	size    fleet.Resources
}

// isUnplaceable reports whether a step requires at least as much as a task that no worker could take in this round.
func (m *Machine) isUnplaceable(r *readyStep) bool {
	for _, u := range m.unplaceableShapes {
		if u.service == r.queue.Service && u.filler == r.step.spec.Filler && (!u.filler || u.image == r.step.spec.Image) &&
			(u.longRunning || !r.step.spec.LongRunning) && (u.overdue || !m.isOverdue(r)) && u.size.Fits(r.step.spec.Size) {
			return true
		}
	}
	return false
}

// addUnplaceable records a task that no worker could take. It replaces the entries that require at least as much.
func (m *Machine) addUnplaceableShape(u unplaceableShape) {
	m.unplaceableShapes = slices.DeleteFunc(m.unplaceableShapes, func(o unplaceableShape) bool {
		return o.service == u.service && o.filler == u.filler && o.image == u.image &&
			(u.longRunning || !o.longRunning) && (u.overdue || !o.overdue) && u.size.Fits(o.size)
	})
	m.unplaceableShapes = append(m.unplaceableShapes, u)
}

// isUnconstrained reports whether only the size of a step's tasks limits their placement.
func isUnconstrained(s *infra.Step) bool {
	return s.Label == "" && s.DataRack == "" && s.MaxPerWorker == 0
}

func (m *Machine) placeStep(r *readyStep) {
	s := r.step
	if r.queue.ApprovalCost == nil && m.isUnplaceable(r) {
		r.searched = m.currentSearch()
		return
	}
	ordinary := ranking{workers: m.rankedWorkers[:0]}
	defer func() { m.rankedWorkers = ordinary.workers[:0] }()
	for i := s.firstWaiting; i < s.tasks.len() && s.waiting > 0; i++ {
		t := s.tasks.peek(i)
		if t.phase != waiting {
			if i == s.firstWaiting {
				s.firstWaiting++
			}
			continue
		}
		if m.mayRunUnseen(r.occ.job, t) {
			continue
		}
		if len(t.failedRuns) > 0 && m.checkAttempts(r.occ.job, t, r.task(i)) {
			return
		}
		if m.giveUpOnCrashes(r, t, i) {
			return
		}
		if !m.mayStart(s, t) {
			continue
		}
		var w *worker
		if t.isOrdinary() && s.spec.DataRack == "" {
			w = ordinary.best(m, r)
		} else {
			w = m.pickWorker(r, t)
			ordinary.reset()
		}
		if w == nil {
			if r.queue.ApprovalCost != nil {
				m.requestApproval(r)
			}
			if t.isSuspect() {
				m.reserve(r, t)
				continue
			}
			if r.queue.ApprovalCost == nil && isUnconstrained(&s.spec) {
				m.addUnplaceableShape(unplaceableShape{
					r.queue.Service, s.spec.Image, s.spec.Filler, s.spec.LongRunning, m.isOverdue(r), s.spec.Size,
				})
			}
			break
		}
		via := m.chooseLane(r.occ.job, t)
		if via == nil {
			break
		}
		if !m.recordTrial(r, i, w) || m.awaitReport(r, t, w) {
			continue
		}
		m.start(r, i, w, t.lastRun+1, via)
		ordinary.stale = true
		if m.tooManyUnanswered() {
			break
		}
	}
	if s.waiting == 0 {
		m.removeReady(s)
	}
}

// pickWorker returns the best worker for a task, or nil. Tasks with data in a rack wait for a worker there for some
// time.
func (m *Machine) pickWorker(r *readyStep, t *task) *worker {
	rack := r.step.spec.DataRack
	if rack != "" {
		if w := m.bestWorker(r, t, rack); w != nil {
			return w
		}
		wait := time.Duration(float64(r.step.spec.Estimate) * remoteWaitFactor)
		if m.now.Sub(r.readySince) < wait {
			return nil
		}
	}
	return m.bestWorker(r, t, "")
}

// bestWorker returns the worker with the highest score among those that can take a task, or nil. A rack that is not
// empty limits the choice to its workers.
func (m *Machine) bestWorker(r *readyStep, t *task, rack string) *worker {
	var best *worker
	bestScore := 0.0
	candidates := m.candidatesOf(r.queue.Service)
	if !candidates.mayFit(&r.step.spec) {
		return nil
	}
	isolated, ignoresTrials := m.needsIsolation(r.step, t), m.ignoresTrials(r.step, t)
	for _, w := range candidates.workers {
		m.examine()
		if !m.fits(r, w, rack) || !w.accepts(m.now, isolated, ignoresTrials) {
			continue
		}
		if isolated && w.isReservedForOther(m.now, t) {
			continue
		}
		score := m.score(r, w)
		if isolated {
			score += m.trialScore(t, w)
		}
		if t.isSuspect() && t.hasOpenRunOn(w) {
			score += openRunBonus
		}
		if t.avoidWorker == w.ID {
			score -= avoidPenalty
		}
		if w.isQuarantined(m.now) {
			score -= avoidPenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

func (m *Machine) fits(r *readyStep, w *worker, rack string) bool {
	if rack != "" && !w.hasLabel(rack) || w.unansweredStarts >= m.maxUnansweredOf() {
		return false
	}
	if r.queue.ApprovalCost != nil {
		if _, approved := m.ticketFor(r.step, w); !approved {
			return false
		}
	}
	return m.fitsWithoutPolicy(r, w)
}

// fitsWithoutPolicy reports whether a worker could run a task of a step, ignoring the policy of its queue.
func (m *Machine) fitsWithoutPolicy(r *readyStep, w *worker) bool {
	spec := &r.step.spec
	if !spec.Reserved().Fits(w.free()) {
		return false
	}
	if w.isSlow(spec) || w.isQuarantined(m.now) && !m.isOverdue(r) {
		return false
	}
	if spec.Filler && (w.spareMilliCPU() < spec.Size.MilliCPU || !m.acceptsFiller(w, spec)) {
		return false
	}
	if spec.Label != "" && !w.hasLabel(spec.Label) {
		return false
	}
	if spec.MaxPerWorker > 0 && r.step.runsPerWorker[w.ID] >= spec.MaxPerWorker {
		return false
	}
	return true
}

// servingUtilization is the assumed average utilization of the processor time reserved by serving tasks. The rest is
// available to fillers.
const servingUtilization = 0.5

// spareMilliCPU returns the processor time that neither the other tasks nor the fillers of a worker use.
func (w *worker) spareMilliCPU() int64 {
	return w.Capacity.MilliCPU - w.used.MilliCPU + int64((1-servingUtilization)*float64(w.servingCPU)) - w.fillerCPU
}

// avoidPenalty exceeds all other terms of the score, so that a failed task tries another worker first.
const avoidPenalty = 10

const (
	// sameImageBonus packs serving tasks of the same image together, because each filler image disturbs only some
	// serving images. It and noServingBonus exceed the terms for free capacity, which are at most 2.
	sameImageBonus = 6
	// noServingBonus prefers a worker without serving tasks to one with serving tasks of other images.
	noServingBonus = 3
	// imageDifferencePenalty prefers, among workers with other images, those whose images are disturbed by the same
	// fillers.
	imageDifferencePenalty = 0.3
	// missingHeadroomPenalty keeps serving tasks away from workers whose fillers would push them over their target.
	missingHeadroomPenalty = 2
	// speedWeight prefers workers on which tasks progress at the expected rate.
	speedWeight = 2
)

// score rates a worker for a task. It rises with the expected progress of the task and falls with its interference.
func (m *Machine) score(r *readyStep, w *worker) float64 {
	score := (w.speed-1)*speedWeight + float64(w.spareMilliCPU())/float64(max(1, w.Capacity.MilliCPU))
	spec := &r.step.spec
	switch {
	case isServing(spec):
		free := w.share(w.free().MilliCPU)
		return score - 2*free + m.imageAffinity(w, spec.Image) - missingHeadroomPenalty*max(0, m.missingHeadroom(w, spec))
	case spec.Filler:
		return score - m.fillerCost(w, spec)
	default:
		return score
	}
}

// imageAffinity rises with the similarity between an image and the serving images of a worker, in terms of the fillers
// that disturb them.
func (m *Machine) imageAffinity(w *worker, image string) float64 {
	if len(w.servingImages) == 0 {
		return noServingBonus
	}
	difference := 0.0
	for other := range w.servingImages {
		if other != image {
			difference += 1 + m.interferenceOf(image).meanDifference(m.interferenceOf(other))
		}
	}
	if w.servingImages[image] > 0 {
		return sameImageBonus - imageDifferencePenalty*difference
	}
	return -imageDifferencePenalty * difference
}

func (m *Machine) start(r *readyStep, index int, w *worker, number infra.Run, via *lane) {
	s := r.step
	t := s.tasks.at(index)
	id := r.task(index)
	newRun := &run{
		id: id, number: number, worker: w, step: s, occ: r.occ, state: starting, size: s.spec.Reserved(),
		token: w.token, startedAt: m.now, measuredAt: m.now, speedPercent: fullSpeedPercent, excludeRunTime: t.checkpoint != "",
	}
	if s.spec.Filler {
		newRun.fillerCPU, newRun.fillerImage = s.spec.Size.MilliCPU, m.fillerImages.of(s.spec.Image)
	}
	m.beginTrial(newRun, t)
	// The deadline of a start grants no longer lease than a renewal.
	newRun.deadline = min(w.likelyClock(m.now)+startWindow.Milliseconds(), w.maxClock(m.now)+m.maxLease(w).Milliseconds())
	w.leaseEnd, w.tokenUsed = max(w.leaseEnd, newRun.deadline), true
	w.noteReach(m.now.Add(m.startTransit(via)))
	t.lastRun, t.located = number, true
	t.runs = append(t.runs, newRun)
	r.occ.runs++
	w.add(m.now, newRun)
	if s.runsPerWorker != nil {
		s.runsPerWorker[w.ID]++
	}
	s.setPhase(index, active)
	m.unansweredStarts++
	w.unansweredStarts++
	size := startBytes(r.occ.job, t)
	if via != m.link {
		m.unansweredRelayed++
		via.add(m.now, startID{id, number}, size)
		size = relayedBytes(t)
		m.counts.Relayed++
	}
	m.link.add(m.now, startID{id, number}, size)
	m.counts.Starts++
	m.emit(Log{
		Text: "start", Task: id, Run: number, Worker: w.ID, Reason: r.queue.Name, Slack: r.rank.slack,
		ReportAge: m.now.Sub(w.clockAt), Via: via.relay,
	})
	ticket, _ := m.ticketFor(s, w)
	m.emit(Start{To: w.address(), Via: via.relay, Order: infra.StartOrder{
		Task: id, Run: number, Ticket: ticket, Spec: r.occ.job.spec.Spec, Checkpoint: t.checkpoint, Deadline: newRun.deadline, Token: w.token,
	}})
}
