package flow

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"lovagefork.example/coord/infra"
)

// decay is the time in which a worker's record of ends loses weight by a factor e.
const endDecay = 5 * time.Second

// measureEnd updates the record of the worker of a run.
func (m *Machine) measureEnd(r *run, outcome infra.Outcome) {
	w := r.worker
	w.decayEnds(m.now)
	switch outcome {
	case infra.Done:
		w.endWeight++
		m.recordRunTime(r)
	case infra.Failed:
		w.endWeight++
		w.failures[r.id.Job]++
		m.quarantineIfFailing(w)
	default:
	}
}

const (
	// jobsOfBadWorker and shareOfBadWorker tell a worker that fails what it starts from jobs that fail anywhere: 2 to 5 % of
	// runs fail by their own fault, and all runs of a job that can never be done.
	badWorkerJobs         = 3
	badWorkerFailureShare = 0.6
	// badWorkerRest keeps new work away from such a worker; after it one more failure renews it.
	badWorkerQuarantine = 4 * time.Second
	// leastWeight is when a failure has been forgotten.
	minEndWeight = 0.3
)

// judge gives a worker a rest where the runs of several jobs fail.
func (m *Machine) quarantineIfFailing(w *worker) {
	fails := 0.0
	for _, weight := range w.failures {
		fails += weight
	}
	if len(w.failures) >= badWorkerJobs && fails > badWorkerFailureShare*w.endWeight && !m.now.Before(w.quarantinedUntil) {
		w.quarantinedUntil = m.now.Add(badWorkerQuarantine)
		m.emit(Note{Text: "worker rests", Worker: w.ID, Reason: "the runs of several jobs fail there"})
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
	// headroom is the slack over 1 that is left when fillers are placed, for errors of the model.
	placementMargin = 0.25
	// alarm is the slack over 1 below which fillers are moved away, and relief what the others must leave then.
	adjustMargin   = 0.12
	restoredMargin = 0.25
	// overPatience is how long a serving task may miss its target against the model before fillers beside it are moved,
	// well below the time after which callers are harmed.
	overTargetTimeout = 1200 * time.Millisecond
	// settleTime is how long a start or stop takes to show in the tails: a report is about the last half second.
	figureSettleTime = 700 * time.Millisecond
	// settleLag is the mean age of what a report is about.
	figureLag = 450 * time.Millisecond
	// figureEach is how often a worker takes a new figure; the same one is not learnt from twice.
	figureInterval = 480 * time.Millisecond
	// levelStep smooths the slack of a task.
	slackSmoothing = 0.5
)

func (m *Machine) interferenceOf(image string) *interferenceModel {
	v := m.interference[image]
	if v == nil {
		v = newInterferenceModel(m.now)
		m.interference[image] = v
	}
	return v
}

// measure learns from the tails that a worker has reported.
func (m *Machine) learnInterference(w *worker) {
	if len(w.servingSteps) == 0 {
		return
	}
	w.updateLaggedShares(m.now)
	for _, r := range w.sortedRuns() {
		if !r.isServing() || r.figure <= 0 || m.now.Sub(r.startedAt) < figureSettleTime {
			continue
		}
		if r.figure == r.learntFigure && m.now.Sub(r.learntAt) < figureInterval {
			continue
		}
		r.learntFigure, r.learntAt = r.figure, m.now
		slack := float64(r.step.spec.TailTarget.Milliseconds()) / r.figure
		if r.step.load == nil {
			r.step.load = newLoadModel(m.now)
		}
		m.interferenceOf(r.step.spec.Image).update(m.now, r.step.load, w.laggedShares, slack)
		m.updateSlack(r, slack)
	}
}

func (m *Machine) updateSlack(r *run, slack float64) {
	if r.slack == 0 {
		r.slack = slack
	}
	r.slack += slackSmoothing * (slack - r.slack)
	if r.slack >= 1 {
		r.overSince = time.Time{}
	} else if r.overSince.IsZero() {
		r.overSince = m.now
	}
}

// settle lets the shares that show in the tails follow those of the fillers that run.
func (w *worker) updateLaggedShares(now time.Time) {
	left := math.Exp(-float64(now.Sub(w.laggedAt)) / float64(figureLag))
	w.laggedAt = now
	for image, share := range w.laggedShares {
		w.laggedShares[image] = share * left
		if w.laggedShares[image] < shareEpsilon {
			delete(w.laggedShares, image)
		}
	}
	for image, share := range w.fillerShares {
		w.laggedShares[image] += share * (1 - left)
	}
}

// ahead returns the lowest slack without fillers that a serving step is expected to have soon.
func (m *Machine) expectedMinSlack(s *step) float64 {
	v := m.interferenceOf(s.spec.Image)
	if s.load == nil {
		return v.lowSlack
	}
	return v.minSlackAhead(s.load, m.now)
}

// tolerance is the slack that fillers may still take from the tasks of one serving image on a worker.
type slackBudget struct {
	model *interferenceModel
	slack float64
}

// tolerances returns how much each serving image on a worker tolerates; it is computed again after each change.
func (m *Machine) slackBudgets(w *worker) []slackBudget {
	if w.budgetsValid && m.now.Sub(w.budgetsAt) < sweepInterval {
		return w.slackBudgets
	}
	w.budgetsValid, w.budgetsAt = true, m.now
	w.slackBudgets = w.slackBudgets[:0]
	for s := range w.servingSteps {
		v := m.interferenceOf(s.spec.Image)
		slack := m.expectedMinSlack(s) - 1 - placementMargin
		known := false
		for i := range w.slackBudgets {
			if w.slackBudgets[i].model == v {
				w.slackBudgets[i].slack = min(w.slackBudgets[i].slack, slack)
				known = true
			}
		}
		if !known {
			w.slackBudgets = append(w.slackBudgets, slackBudget{model: v, slack: slack})
		}
	}
	for i := range w.slackBudgets {
		w.slackBudgets[i].slack -= w.slackBudgets[i].model.slackLoss(w.fillerShares)
	}
	return w.slackBudgets
}

// tolerates reports whether all serving tasks of a worker are expected to keep their target beside one more filler.
func (m *Machine) acceptsFiller(w *worker, filler *infra.Step) bool {
	if len(w.servingSteps) == 0 {
		return true
	}
	share := w.share(filler.Size.MilliCPU)
	for _, t := range m.slackBudgets(w) {
		if t.model.slackCost(filler.Image)*share > t.slack {
			return false
		}
	}
	return true
}

// strain is how much slack one more filler takes from the serving tasks of a worker.
func (m *Machine) fillerCost(w *worker, filler *infra.Step) float64 {
	if len(w.servingSteps) == 0 {
		return 0
	}
	worst := 0.0
	share := w.share(filler.Size.MilliCPU)
	for _, t := range m.slackBudgets(w) {
		worst = max(worst, t.model.slackCost(filler.Image)*share)
	}
	return worst
}

// excess is the slack that a new serving task is expected to miss beside the fillers of a worker.
func (m *Machine) missingSlack(w *worker, serving *infra.Step) float64 {
	v := m.interferenceOf(serving.Image)
	return 1 + placementMargin + v.slackLoss(w.fillerShares) - v.lowSlack
}

// tend looks after what runs beside each other.
func (m *Machine) adjustFillers() {
	for _, w := range m.workersByID {
		if w.fillerCPU == 0 || m.now.Sub(w.adjustedAt) < adjustInterval {
			continue
		}
		switch {
		case len(w.servingSteps) > 0 && m.protectServing(w):
			w.adjustedAt = m.now
		case m.raisePaces(w):
			w.adjustedAt = m.now
		}
	}
}

// protect slows fillers down, or moves them away, where serving tasks miss their target or are about to.
func (m *Machine) protectServing(w *worker) bool {
	var harmed *interferenceModel
	missing := 0.0
	for s := range w.servingSteps {
		v := m.interferenceOf(s.spec.Image)
		pressed := v.slackLoss(w.fillerShares)
		if s.load == nil || pressed == 0 {
			continue
		}
		slack := s.load.slackAt(m.now) - pressed
		if slack < 1+adjustMargin && 1+restoredMargin-slack > missing {
			harmed, missing = v, 1+restoredMargin-slack
		}
	}
	// The most harmed run is the same in whichever order they are looked at.
	for _, r := range w.runs {
		if r.isServing() && r.state == running && !r.overSince.IsZero() && m.now.Sub(r.overSince) >= overTargetTimeout && 1+restoredMargin-r.slack > missing {
			harmed, missing = m.interferenceOf(r.step.spec.Image), 1+restoredMargin-r.slack
		}
	}
	if harmed == nil {
		return false
	}
	m.reduceInterference(w, harmed, missing)
	return true
}

const (
	// reliefEach is the pause between two looks at the fillers of a worker: what one has changed shows after that time.
	adjustInterval = 500 * time.Millisecond
	// paceUnit is what the pace of a filler is a multiple of, and leastPace the pace below which it is better moved.
	paceStep          = 10
	minPaceBesideRoom = 40
	// slowestPace is that of a filler that no other worker has room for: a moved one would only wait, without its progress.
	// Several fillers at a tenth of their speed still push a serving task over its target at the peak of its load.
	minPace = 0
	// minRelief lets a few orders be enough where the model sees no cause.
	minRecoveredSlack = 0.1
)

// relieve slows down the fillers that disturb a serving image most, until the missing slack is back.
func (m *Machine) reduceInterference(w *worker, v *interferenceModel, missing float64) {
	fillers := w.fillerRuns()
	slices.SortStableFunc(fillers, func(a, b *run) int {
		return cmp.Compare(v.slackCost(b.step.spec.Image)*float64(b.fillerCPU), v.slackCost(a.step.spec.Image)*float64(a.fillerCPU))
	})
	for _, r := range fillers {
		if missing <= 0 {
			return
		}
		whole := max(minRecoveredSlack, v.slackCost(r.step.spec.Image)*w.share(r.fillerCPU))
		keep := r.speed() - missing/whole
		percent := int(keep*fullPace) / paceStep * paceStep
		if percent < minPaceBesideRoom && m.hasRoomElsewhere(r) {
			missing -= whole * r.speed()
			m.counts.Relieved++
			m.stop(r, "disturbs a serving task")
			continue
		}
		if percent = max(percent, minPace); percent >= r.pace {
			continue
		}
		missing -= whole * (r.speed() - float64(percent)/fullPace)
		m.setPace(r, percent)
	}
}

// hasRoomElsewhere reports whether another worker could take the task of a run now.
func (m *Machine) hasRoomElsewhere(r *run) bool {
	clear(m.candidates)
	ready := m.readyStepOf(r)
	return slices.ContainsFunc(m.candidatesOf(ready.queue.Service), func(w *worker) bool {
		return w != r.worker && m.fits(ready, w, "")
	})
}

// speedUp lets slowed fillers work faster where serving tasks tolerate it, the least disturbing first.
func (m *Machine) raisePaces(w *worker) bool {
	released := false
	for _, r := range w.fillerRuns() {
		if r.pace == fullPace {
			continue
		}
		room := 1.0
		for _, t := range m.slackBudgets(w) {
			if cost := t.model.slackCost(r.step.spec.Image) * w.share(r.fillerCPU); cost > 0 {
				room = min(room, t.slack/cost)
			}
		}
		percent := min(fullPace, int((r.speed()+room)*fullPace)/paceStep*paceStep)
		if percent > r.pace {
			m.setPace(r, percent)
			released = true
		}
	}
	return released
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

// setPace lets a filler work at a share of its full speed, in percent.
func (m *Machine) setPace(r *run, percent int) {
	m.counts.Paced++
	m.applyPace(r, percent)
	m.emit(Note{Text: "pace", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: strconv.Itoa(percent) + " %"})
	m.emit(Pace{To: r.worker.address(), Order: infra.PaceOrder{Task: r.id, Run: r.number, Percent: percent, Token: m.token}})
}

// assumePace counts a filler at a share of its full speed, in percent.
func (m *Machine) applyPace(r *run, percent int) {
	r.worker.countShares(m.now, r, -1)
	r.pace = percent
	r.atypical = true
	r.measuredPercent, r.measuredAt, r.stalledFor = r.percent, m.now, 0
	r.worker.countShares(m.now, r, 1)
}
