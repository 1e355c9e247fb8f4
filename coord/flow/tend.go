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
const decay = 5 * time.Second

// measureEnd updates the record of the worker of a run.
func (m *Machine) measureEnd(r *run, outcome infra.Outcome) {
	w := r.worker
	w.decay(m.now)
	switch outcome {
	case infra.OutcomeDone:
		w.ends++
		m.measureLength(r)
	case infra.OutcomeFailed:
		w.ends++
		w.failed[r.id.Job]++
		m.judge(w)
	default:
	}
}

const (
	// jobsOfBadWorker and shareOfBadWorker tell a worker that fails what it starts from jobs that fail anywhere: 2 to 5 % of
	// runs fail by their own fault, and all runs of a job that can never be done.
	jobsOfBadWorker  = 3
	shareOfBadWorker = 0.6
	// badWorkerRest keeps new work away from such a worker; after it one more failure renews it.
	badWorkerRest = 4 * time.Second
	// leastWeight is when a failure has been forgotten.
	leastWeight = 0.3
)

// judge gives a worker a rest where the runs of several jobs fail.
func (m *Machine) judge(w *worker) {
	fails := 0.0
	for _, weight := range w.failed {
		fails += weight
	}
	if len(w.failed) >= jobsOfBadWorker && fails > shareOfBadWorker*w.ends && !m.now.Before(w.restUntil) {
		w.restUntil = m.now.Add(badWorkerRest)
		m.emit(Log{Text: "worker rests", Worker: w.ID, Reason: "the runs of several jobs fail there"})
	}
}

func (w *worker) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(w.decayAt)) / float64(decay))
	w.ends *= factor
	for id, weight := range w.failed {
		w.failed[id] = weight * factor
		if w.failed[id] < leastWeight {
			delete(w.failed, id)
		}
	}
	w.decayAt = now
}

const (
	// headroom is the slack over 1 that is left when fillers are placed, for errors of the model.
	headroom = 0.25
	// alarm is the slack over 1 below which fillers are moved away, and relief what the others must leave then.
	alarm  = 0.12
	relief = 0.25
	// overPatience is how long a serving task may miss its target against the model before fillers beside it are moved,
	// well below the time after which callers are harmed.
	overPatience = 1200 * time.Millisecond
	// settleTime is how long a start or stop takes to show in the tails: a report is about the last half second.
	settleTime = 700 * time.Millisecond
	// settleLag is the mean age of what a report is about.
	settleLag = 450 * time.Millisecond
	// figureEach is how often a worker takes a new figure; the same one is not learnt from twice.
	figureEach = 480 * time.Millisecond
	// levelStep smooths the slack of a task.
	levelStep = 0.5
)

func (m *Machine) victim(image string) *victim {
	v := m.victims[image]
	if v == nil {
		v = newVictim(m.now)
		m.victims[image] = v
	}
	return v
}

// measure learns from the tails that a worker has reported.
func (m *Machine) measure(w *worker) {
	if len(w.serving) == 0 {
		return
	}
	w.settle(m.now)
	for _, r := range w.sortedRuns() {
		if !r.serves() || r.figure <= 0 || m.now.Sub(r.since) < settleTime {
			continue
		}
		if r.figure == r.learnt && m.now.Sub(r.learntAt) < figureEach {
			continue
		}
		r.learnt, r.learntAt = r.figure, m.now
		slack := float64(r.step.spec.TailTarget.Milliseconds()) / r.figure
		if r.step.pulse == nil {
			r.step.pulse = newPulse(m.now)
		}
		m.victim(r.step.spec.Image).learn(m.now, r.step.pulse, w.settled, slack)
		m.watchTarget(r, slack)
	}
}

func (m *Machine) watchTarget(r *run, slack float64) {
	if r.slack == 0 {
		r.slack = slack
	}
	r.slack += levelStep * (slack - r.slack)
	if r.slack >= 1 {
		r.over = time.Time{}
	} else if r.over.IsZero() {
		r.over = m.now
	}
}

// settle lets the shares that show in the tails follow those of the fillers that run.
func (w *worker) settle(now time.Time) {
	left := math.Exp(-float64(now.Sub(w.settledAt)) / float64(settleLag))
	w.settledAt = now
	for image, share := range w.settled {
		w.settled[image] = share * left
		if w.settled[image] < minShare {
			delete(w.settled, image)
		}
	}
	for image, share := range w.fillers {
		w.settled[image] += share * (1 - left)
	}
}

// ahead returns the lowest slack without fillers that a serving step is expected to have soon.
func (m *Machine) ahead(s *step) float64 {
	v := m.victim(s.spec.Image)
	if s.pulse == nil {
		return v.low
	}
	return v.ahead(s.pulse, m.now)
}

// tolerance is the slack that fillers may still take from the tasks of one serving image on a worker.
type tolerance struct {
	victim *victim
	slack  float64
}

// tolerances returns how much each serving image on a worker tolerates; it is computed again after each change.
func (m *Machine) tolerances(w *worker) []tolerance {
	if w.tolerated && m.now.Sub(w.toleratedAt) < sweepEach {
		return w.tolerance
	}
	w.tolerated, w.toleratedAt = true, m.now
	w.tolerance = w.tolerance[:0]
	for s := range w.serving {
		v := m.victim(s.spec.Image)
		slack := m.ahead(s) - 1 - headroom
		known := false
		for i := range w.tolerance {
			if w.tolerance[i].victim == v {
				w.tolerance[i].slack = min(w.tolerance[i].slack, slack)
				known = true
			}
		}
		if !known {
			w.tolerance = append(w.tolerance, tolerance{victim: v, slack: slack})
		}
	}
	for i := range w.tolerance {
		w.tolerance[i].slack -= w.tolerance[i].victim.pressed(w.fillers)
	}
	return w.tolerance
}

// tolerates reports whether all serving tasks of a worker are expected to keep their target beside one more filler.
func (m *Machine) tolerates(w *worker, filler *infra.Step) bool {
	if len(w.serving) == 0 {
		return true
	}
	share := w.share(filler.Size.MilliCPU)
	for _, t := range m.tolerances(w) {
		if t.victim.cost(filler.Image)*share > t.slack {
			return false
		}
	}
	return true
}

// strain is how much slack one more filler takes from the serving tasks of a worker.
func (m *Machine) strain(w *worker, filler *infra.Step) float64 {
	if len(w.serving) == 0 {
		return 0
	}
	worst := 0.0
	share := w.share(filler.Size.MilliCPU)
	for _, t := range m.tolerances(w) {
		worst = max(worst, t.victim.cost(filler.Image)*share)
	}
	return worst
}

// excess is the slack that a new serving task is expected to miss beside the fillers of a worker.
func (m *Machine) excess(w *worker, serving *infra.Step) float64 {
	v := m.victim(serving.Image)
	return 1 + headroom + v.pressed(w.fillers) - v.low
}

// tend looks after what runs beside each other.
func (m *Machine) tend() {
	for _, w := range m.order {
		if w.filler == 0 || m.now.Sub(w.relievedAt) < reliefEach {
			continue
		}
		switch {
		case len(w.serving) > 0 && m.protect(w):
			w.relievedAt = m.now
		case m.speedUp(w):
			w.relievedAt = m.now
		}
	}
}

// protect slows fillers down, or moves them away, where serving tasks miss their target or are about to.
func (m *Machine) protect(w *worker) bool {
	var harmed *victim
	missing := 0.0
	for s := range w.serving {
		v := m.victim(s.spec.Image)
		pressed := v.pressed(w.fillers)
		if s.pulse == nil || pressed == 0 {
			continue
		}
		slack := s.pulse.now(m.now) - pressed
		if slack < 1+alarm && 1+relief-slack > missing {
			harmed, missing = v, 1+relief-slack
		}
	}
	// The most harmed run is the same in whichever order they are looked at.
	for _, r := range w.runs {
		if r.serves() && r.state == running && !r.over.IsZero() && m.now.Sub(r.over) >= overPatience && 1+relief-r.slack > missing {
			harmed, missing = m.victim(r.step.spec.Image), 1+relief-r.slack
		}
	}
	if harmed == nil {
		return false
	}
	m.relieve(w, harmed, missing)
	return true
}

const (
	// reliefEach is the pause between two looks at the fillers of a worker: what one has changed shows after that time.
	reliefEach = 500 * time.Millisecond
	// paceUnit is what the pace of a filler is a multiple of, and leastPace the pace below which it is better moved.
	paceUnit  = 10
	leastPace = 40
	// slowestPace is that of a filler that no other worker has room for: a moved one would only wait, without its progress.
	// Several fillers at a tenth of their speed still push a serving task over its target at the peak of its load.
	slowestPace = 0
	// minRelief lets a few orders be enough where the model sees no cause.
	minRelief = 0.1
)

// relieve slows down the fillers that disturb a serving image most, until the missing slack is back.
func (m *Machine) relieve(w *worker, v *victim, missing float64) {
	fillers := w.fillerRuns()
	slices.SortStableFunc(fillers, func(a, b *run) int {
		return cmp.Compare(v.cost(b.step.spec.Image)*float64(b.filler), v.cost(a.step.spec.Image)*float64(a.filler))
	})
	for _, r := range fillers {
		if missing <= 0 {
			return
		}
		whole := max(minRelief, v.cost(r.step.spec.Image)*w.share(r.filler))
		keep := r.speed() - missing/whole
		percent := int(keep*fullPace) / paceUnit * paceUnit
		if percent < leastPace && m.hasRoomElsewhere(r) {
			missing -= whole * r.speed()
			m.counts.Relieved++
			m.stop(r, "disturbs a serving task")
			continue
		}
		if percent = max(percent, slowestPace); percent >= r.pace {
			continue
		}
		missing -= whole * (r.speed() - float64(percent)/fullPace)
		m.setPace(r, percent)
	}
}

// hasRoomElsewhere reports whether another worker could take the task of a run now.
func (m *Machine) hasRoomElsewhere(r *run) bool {
	clear(m.candidates)
	ready := m.readyFor(r)
	return slices.ContainsFunc(m.usable(ready.queue.Service), func(w *worker) bool {
		return w != r.worker && m.fits(ready, w, "")
	})
}

// speedUp lets slowed fillers work faster where serving tasks tolerate it, the least disturbing first.
func (m *Machine) speedUp(w *worker) bool {
	released := false
	for _, r := range w.fillerRuns() {
		if r.pace == fullPace {
			continue
		}
		room := 1.0
		for _, t := range m.tolerances(w) {
			if cost := t.victim.cost(r.step.spec.Image) * w.share(r.filler); cost > 0 {
				room = min(room, t.slack/cost)
			}
		}
		percent := min(fullPace, int((r.speed()+room)*fullPace)/paceUnit*paceUnit)
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
		if r.filler > 0 && r.state == running {
			fillers = append(fillers, r)
		}
	}
	return fillers
}

// setPace lets a filler work at a share of its full speed, in percent.
func (m *Machine) setPace(r *run, percent int) {
	m.counts.Paced++
	m.assumePace(r, percent)
	m.emit(Log{Text: "pace", Task: r.id, Run: r.number, Worker: r.worker.ID, Reason: strconv.Itoa(percent) + " %"})
	m.emit(Pace{To: r.worker.address(), Order: infra.ThrottleOrder{Task: r.id, Run: r.number, SpeedPercent: percent, Token: m.token}})
}

// assumePace counts a filler at a share of its full speed, in percent.
func (m *Machine) assumePace(r *run, percent int) {
	r.worker.count(m.now, r, -1)
	r.pace = percent
	r.atypical = true
	r.mark, r.markAt, r.still = r.percent, m.now, 0
	r.worker.count(m.now, r, 1)
}
