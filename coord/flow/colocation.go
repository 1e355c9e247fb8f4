package flow

import (
	"math"
	"slices"
	"strconv"
	"time"

	"lovagefork.example/coord/infra"
)

// endDecay is the time constant with which the ended runs of a worker lose weight.
const endDecay = 5 * time.Second

// measureEnd adds the end of a run to the failure statistics of its worker and to the run time model.
func (m *Machine) measureEnd(r *run, outcome infra.Outcome) {
	w := r.worker
	w.decayEnds(m.now)
	switch outcome {
	case infra.OutcomeDone:
		w.endWeight++
		m.recordRunTime(r)
	case infra.OutcomeFailed:
		w.endWeight++
		w.failures[r.id.Job]++
		m.quarantineIfFailing(w)
	default:
	}
}

const (
	// badWorkerJobs and badWorkerFailureShare distinguish a worker that fails its runs from jobs that fail on any
	// worker: 2 to 5 % of runs fail by themselves, as do all runs of a job that can never complete.
	badWorkerJobs         = 3
	badWorkerFailureShare = 0.6
	// badWorkerQuarantine is how long such a worker takes no new tasks. One more failure after that renews the
	// quarantine.
	badWorkerQuarantine = 4 * time.Second
	// minEndWeight is the weight below which a failure is forgotten.
	minEndWeight = 0.3
)

// quarantineIfFailing quarantines a worker on which the runs of several jobs fail.
func (m *Machine) quarantineIfFailing(w *worker) {
	failed := 0.0
	for _, weight := range w.failures {
		failed += weight
	}
	if len(w.failures) >= badWorkerJobs && failed > badWorkerFailureShare*w.endWeight && !m.now.Before(w.quarantinedUntil) {
		w.quarantinedUntil = m.now.Add(badWorkerQuarantine)
		m.emit(Log{Text: "worker quarantined", Worker: w.ID, Reason: "runs of several jobs failed"})
	}
}

func (w *worker) decayEnds(now time.Time) {
	factor := math.Exp(-float64(now.Sub(w.decayedAt)) / float64(endDecay))
	w.endWeight *= factor
	for id, weight := range w.failures {
		w.failures[id] = weight * factor
		if w.failures[id] < minEndWeight {
			delete(w.failures, id)
		}
	}
	w.decayedAt = now
}

const (
	// placementMargin is the headroom above 1 that must remain when a filler is placed, to cover model errors.
	placementMargin = 0.25
	// pauseMissShare is the share of the permitted time for which a serving task may miss its target before the fillers
	// beside it are paused. The rest covers the age of the measurements and the time until an order takes effect.
	pauseMissShare = 0.5
	// latencySettleTime is the delay until a start or stop is visible in the tail latencies. A report covers about the
	// last half second.
	latencySettleTime = 700 * time.Millisecond
	// latencyLag is the mean age of the tail latencies in a report.
	latencyLag = 450 * time.Millisecond
	// latencyInterval is the interval at which a worker measures a new tail latency. The same one is used only once.
	latencyInterval = 480 * time.Millisecond
	// headroomSmoothing is the smoothing factor for the headroom of a task.
	headroomSmoothing = 0.5
)

func (m *Machine) interferenceOf(image string) *interferenceModel {
	model := m.interferenceModels[image]
	if model == nil {
		model = newInterferenceModel(m.now)
		m.interferenceModels[image] = model
	}
	return model
}

// learnInterference updates the models from the tail latencies that a worker has reported.
func (m *Machine) learnInterference(w *worker) {
	if len(w.servingSteps) == 0 || w.Capacity.MilliCPU <= 0 {
		return
	}
	w.updateLaggedLoad(m.now)
	shares := w.shares(w.laggedLoad)
	for _, r := range w.runsByTask {
		if !r.isServing() || r.measurement <= 0 || m.now.Sub(r.startedAt) < latencySettleTime {
			continue
		}
		if r.measurement == r.learnedMeasurement && m.now.Sub(r.observation.at) < latencyInterval {
			continue
		}
		r.learnedMeasurement = r.measurement
		headroom := float64(r.step.spec.TailTarget.Milliseconds()) / r.measurement
		if r.step.load == nil {
			r.step.load = newLoadModel(m.now)
		}
		r.observation = observation{at: m.now, headroom: headroom, shares: shares}
		alone := m.collectReference(r)
		m.interferenceOf(r.step.spec.Image).learn(m.now, r.step.load, r.observation, &m.reference, alone)
		m.updateHeadroom(r, headroom)
	}
}

// collectReference collects in m.reference the recent observations of other tasks of a run's step on other workers. alone
// reports whether there are no such tasks.
func (m *Machine) collectReference(r *run) (alone bool) {
	alone = true
	m.reference.reset()
	for _, t := range r.step.tasks.allocated() {
		for _, other := range t.runs {
			if other.worker == r.worker {
				continue
			}
			alone = false
			if m.now.Sub(other.observation.at) <= comparisonWindow && !other.observation.saturated() {
				m.reference.add(other.observation)
			}
		}
	}
	return alone
}

// updateHeadroom adds a measured headroom to the smoothed one, and updates since when the target is missed.
func (m *Machine) updateHeadroom(r *run, headroom float64) {
	if r.headroom == 0 {
		r.headroom = headroom
	}
	r.headroom += headroomSmoothing * (headroom - r.headroom)
	switch {
	case headroom < 1 && r.missSince.IsZero():
		r.missSince = m.now
	case headroom >= 1 && r.headroom >= 1:
		r.missSince = time.Time{}
	}
}

// updateLaggedLoad moves the lagged filler load, which the tail latencies reflect, towards the current one.
func (w *worker) updateLaggedLoad(now time.Time) {
	factor := math.Exp(-float64(now.Sub(w.laggedAt)) / float64(latencyLag))
	w.laggedAt = now
	for i := range w.laggedLoad {
		w.laggedLoad[i].amount *= factor
	}
	w.laggedLoad = slices.DeleteFunc(w.laggedLoad, func(x imageAmount) bool { return x.amount < loadEpsilon })
	for _, l := range w.fillerLoad {
		w.laggedLoad.add(l.image, l.amount*(1-factor), 0)
	}
}

// shares returns loads as fractions of the worker's capacity.
func (w *worker) shares(loads imageAmounts) imageAmounts {
	shares := slices.Clone(loads)
	for i := range shares {
		shares[i].amount = w.shareOf(shares[i].amount)
	}
	return shares
}

// headroomLoss returns the headroom that the fillers of a worker take from the tasks of a serving image.
func (w *worker) headroomLoss(model *interferenceModel) float64 {
	loss := 0.0
	for _, l := range w.fillerLoad {
		loss += model.headroomCost(l.image) * l.amount
	}
	return w.shareOf(loss)
}

// expectedMinHeadroom returns the lowest headroom without fillers that is expected of a serving step in the near
// future.
func (m *Machine) expectedMinHeadroom(s *step) float64 {
	model := m.interferenceOf(s.spec.Image)
	if s.load == nil {
		return model.lowHeadroom
	}
	return model.minHeadroomAhead(s.load, m.now)
}

// headroomBudget is the headroom that additional fillers may take from the tasks of one serving image on a worker.
type headroomBudget struct {
	model    *interferenceModel
	headroom float64
}

// headroomBudgets returns the budget of each serving image on a worker. It is cached until a run changes or
// sweepInterval has passed.
func (m *Machine) headroomBudgets(w *worker) []headroomBudget {
	if w.budgetsValid && m.now.Sub(w.budgetsAt) < sweepInterval {
		return w.headroomBudgets
	}
	w.budgetsValid, w.budgetsAt = true, m.now
	w.headroomBudgets = w.headroomBudgets[:0]
	for s := range w.servingSteps {
		model := m.interferenceOf(s.spec.Image)
		headroom := m.expectedMinHeadroom(s) - 1 - placementMargin
		known := false
		for i := range w.headroomBudgets {
			if w.headroomBudgets[i].model == model {
				w.headroomBudgets[i].headroom = min(w.headroomBudgets[i].headroom, headroom)
				known = true
			}
		}
		if !known {
			w.headroomBudgets = append(w.headroomBudgets, headroomBudget{model: model, headroom: headroom})
		}
	}
	for i := range w.headroomBudgets {
		w.headroomBudgets[i].headroom -= w.headroomLoss(w.headroomBudgets[i].model)
	}
	return w.headroomBudgets
}

// acceptsFiller reports whether all serving tasks of a worker are expected to meet their targets beside one more
// filler.
func (m *Machine) acceptsFiller(w *worker, filler *infra.Step) bool {
	if len(w.servingSteps) == 0 {
		return true
	}
	image, share := m.fillerImages.of(filler.Image), w.share(filler.Size.MilliCPU)
	for _, b := range m.headroomBudgets(w) {
		if b.model.headroomCost(image)*share > b.headroom {
			return false
		}
	}
	return true
}

// fillerCost returns the largest headroom that one more filler takes from a serving task of a worker.
func (m *Machine) fillerCost(w *worker, filler *infra.Step) float64 {
	if len(w.servingSteps) == 0 {
		return 0
	}
	worst := 0.0
	image, share := m.fillerImages.of(filler.Image), w.share(filler.Size.MilliCPU)
	for _, b := range m.headroomBudgets(w) {
		worst = max(worst, b.model.headroomCost(image)*share)
	}
	return worst
}

// missingHeadroom returns the headroom that a new serving task is expected to lack beside the fillers of a worker.
func (m *Machine) missingHeadroom(w *worker, serving *infra.Step) float64 {
	model := m.interferenceOf(serving.Image)
	return 1 + placementMargin + w.headroomLoss(model) - model.lowHeadroom
}

// adjustFillers pauses or speeds up the fillers on all workers.
func (m *Machine) adjustFillers() {
	for _, w := range m.workersByID {
		if w.fillerCPU == 0 || m.now.Sub(w.adjustedAt) < adjustInterval {
			continue
		}
		switch {
		case len(w.servingSteps) > 0 && m.protectServing(w):
			w.adjustedAt = m.now
		case m.repeatThrottles(w), m.raiseSpeeds(w):
			w.adjustedAt = m.now
		}
	}
}

// protectServing pauses the fillers beside a serving task that has missed its target for too long, and reports whether
// it has changed or must keep their speed. Most misses are short, and a paused filler delays all later steps of its
// job. If a pause does not help, the fillers work for as long as they were paused; otherwise they would never complete
// beside a task that misses its target by itself.
func (m *Machine) protectServing(w *worker) bool {
	limit := time.Duration(pauseMissShare * float64(m.opts.maxTargetMiss))
	missed, helpless := false, false
	for _, r := range w.runsByTask {
		if !r.isServing() || r.state != running || r.missSince.IsZero() {
			continue
		}
		switch miss := m.now.Sub(r.missSince); {
		case miss >= 2*limit:
			r.missSince, helpless = m.now, true
		case miss >= limit:
			missed = true
		}
	}
	switch {
	case missed:
		m.setSpeeds(w, 0)
	case helpless:
		m.setSpeeds(w, fullSpeedPercent)
	}
	return missed || helpless
}

// setSpeeds orders all fillers of a worker to run at a percentage of their full speed.
func (m *Machine) setSpeeds(w *worker, percent int) {
	for _, r := range w.fillerRuns() {
		if r.speedPercent != percent || r.throttleFailed {
			m.setSpeed(r, percent)
		}
	}
}

// repeatThrottles sends the failed throttle orders of a worker again, and reports whether there were any.
func (m *Machine) repeatThrottles(w *worker) bool {
	if !w.reachable || !slices.ContainsFunc(w.runsByTask, func(r *run) bool { return r.throttleFailed }) {
		return false
	}
	repeated := false
	for _, r := range w.fillerRuns() {
		if r.throttleFailed {
			m.setSpeed(r, r.orderedPercent)
			repeated = true
		}
	}
	return repeated
}

const (
	// adjustInterval is the pause between two adjustments of the fillers on a worker. The effect of one is visible
	// after that time.
	adjustInterval = 500 * time.Millisecond
	// speedStepPercent is the granularity of a filler's speed.
	speedStepPercent = 10
)

// raiseSpeeds raises the speed of slowed fillers, in the order of their tasks, as far as the serving tasks tolerate it.
// It reports whether it has raised any.
func (m *Machine) raiseSpeeds(w *worker) bool {
	isSlowed := func(r *run) bool { return r.fillerCPU > 0 && r.speedPercent < fullSpeedPercent }
	// The cost of a filler is relative to the capacity, which is unknown until the worker is listed.
	if !w.listed || !slices.ContainsFunc(w.runsByTask, isSlowed) {
		return false
	}
	raised := false
	for _, r := range w.fillerRuns() {
		if r.speedPercent == fullSpeedPercent {
			continue
		}
		increase := 1.0
		for _, b := range m.headroomBudgets(w) {
			if cost := b.model.headroomCost(r.fillerImage) * w.share(r.fillerCPU); cost > 0 {
				increase = min(increase, b.headroom/cost)
			}
		}
		percent := min(fullSpeedPercent, int((r.speedFraction()+increase)*fullSpeedPercent)/speedStepPercent*speedStepPercent)
		if percent > r.speedPercent {
			m.setSpeed(r, percent)
			raised = true
		}
	}
	return raised
}

func (w *worker) fillerRuns() []*run {
	fillers := make([]*run, 0, len(w.runs))
	for _, r := range w.sortedRuns() {
		if r.fillerCPU > 0 && r.state == running {
			fillers = append(fillers, r)
		}
	}
	return fillers
}

// setSpeed orders a worker to run a filler at a percentage of its full speed.
func (m *Machine) setSpeed(r *run, percent int) {
	m.counts.Paced++
	m.applySpeed(r, percent)
	r.throttleFailed, r.orderedPercent = false, percent
	m.emit(Log{Text: "throttle", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: strconv.Itoa(percent) + " %"})
	m.emit(Throttle{To: r.worker.address(), Order: infra.ThrottleOrder{Task: r.id, Run: r.number, SpeedPercent: percent, Token: r.worker.token}})
}

// applySpeed accounts for a filler at a percentage of its full speed.
func (m *Machine) applySpeed(r *run, percent int) {
	r.worker.countLoad(m.now, r, -1)
	r.speedPercent = percent
	r.excludeRunTime = true
	r.measuredPercent, r.measuredAt, r.stalledFor = r.percent, m.now, 0
	r.worker.countLoad(m.now, r, 1)
	m.markChanged(r.worker)
}
