package flow

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lovagefork.example/coord/infra"
)

// decay is the time in which a worker's record of ends loses weight by a factor e.
const decay = 5 * time.Second

// measureEnd updates the record of the worker and the image of a run.
func (m *Machine) measureEnd(r *run, outcome infra.Outcome) {
	w := r.worker
	w.decay(m.now)
	switch outcome {
	case infra.Done:
		w.ends++
	case infra.Failed:
		w.ends++
		w.fails++
		if w.fails >= failsOfBadWorker && w.fails > shareOfBadWorker*w.ends {
			w.restUntil = m.now.Add(badWorkerRest)
			m.emit(Note{Text: "worker rests", Worker: w.ID, Reason: "most runs fail there"})
		}
	default:
	}
}

const (
	// failsOfBadWorker and shareOfBadWorker tell a worker that fails what it starts from jobs that fail anywhere: 2 to 5 %
	// of runs fail by their own fault.
	failsOfBadWorker = 2.5
	shareOfBadWorker = 0.6
	// badWorkerRest keeps new work away; after it one more failure renews it.
	badWorkerRest = 4 * time.Second
)

func (w *worker) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(w.decayAt)) / float64(decay))
	w.fails *= factor
	w.ends *= factor
	w.decayAt = now
}

const (
	// headroom is what is left below the logarithm of a target when fillers are placed, for errors of the model.
	headroom = 0.15
	// alarm is what is left when fillers are moved away, and relief what the others must leave then.
	alarm  = 0.03
	relief = 0.1
	// overPatience is how long a serving task may miss its target against the model before fillers beside it are moved,
	// well below the time after which callers are harmed.
	overPatience = 1200 * time.Millisecond
	// settleTime is how long a start or stop takes to show in the tails: a report is about the last half second.
	settleTime = 700 * time.Millisecond
	// settleLag is the mean age of what a report is about.
	settleLag = 300 * time.Millisecond
	// levelStep smooths the tail of a task; single reports are off by a third.
	levelStep = 0.4
)

func logTarget(s *infra.Step) float64 {
	return math.Log(max(1, float64(s.TailTarget.Milliseconds())))
}

func (m *Machine) victim(s *infra.Step) *victim {
	v := m.victims[s.Image]
	if v == nil {
		v = newVictim(logTarget(s), m.now)
		m.victims[s.Image] = v
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
		tail := math.Log(r.figure)
		m.victim(&r.step.spec).learn(m.now, w.settled, tail)
		m.watchTarget(r, tail)
	}
}

func (m *Machine) watchTarget(r *run, tail float64) {
	if r.level == 0 {
		r.level = tail
	}
	r.level += levelStep * (tail - r.level)
	if r.level <= logTarget(&r.step.spec) {
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

// tolerates reports whether all serving tasks of a worker are expected to keep their target beside one more filler.
func (m *Machine) tolerates(w *worker, filler *infra.Step) bool {
	share := w.share(filler.Size.MilliCPU)
	for image, target := range w.serving {
		v := m.victims[image]
		if v == nil {
			return false
		}
		if v.ahead()+v.pressed(w.fillers)+v.cost(filler.Image)*share > target.log-headroom {
			return false
		}
	}
	return true
}

// strain is how much one more filler adds to the logarithm of the tails on a worker.
func (m *Machine) strain(w *worker, filler *infra.Step) float64 {
	worst := 0.0
	share := w.share(filler.Size.MilliCPU)
	for image := range w.serving {
		if v := m.victims[image]; v != nil {
			worst = max(worst, v.cost(filler.Image)*share)
		}
	}
	return worst
}

// excess is how far over its target a new serving task is expected to be beside the fillers of a worker.
func (m *Machine) excess(w *worker, serving *infra.Step) float64 {
	v := m.victim(serving)
	return v.ahead() + v.pressed(w.fillers) - logTarget(serving) + headroom
}

// tend looks after what runs beside each other.
func (m *Machine) tend() {
	for _, w := range m.order {
		if len(w.serving) > 0 && w.filler > 0 {
			m.protect(w)
		}
	}
}

// protect moves fillers away from serving tasks that miss their target or are about to, the most disturbing first.
func (m *Machine) protect(w *worker) {
	if m.now.Sub(w.relievedAt) < settleTime {
		return
	}
	for image, target := range w.serving {
		v := m.victims[image]
		if v == nil {
			continue
		}
		pressed := v.pressed(w.fillers)
		if pressed > 0 && v.base()+pressed > target.log-alarm {
			m.relieve(w, v, v.base()+pressed-target.log+relief)
			return
		}
	}
	for _, r := range w.sortedRuns() {
		if r.serves() && r.state == running && !r.over.IsZero() && m.now.Sub(r.over) >= overPatience {
			m.relieve(w, m.victim(&r.step.spec), r.level-logTarget(&r.step.spec)+relief)
			return
		}
	}
}

// relieve stops the fillers that disturb a serving image most, until the excess is gone.
func (m *Machine) relieve(w *worker, v *victim, excess float64) {
	fillers := make([]*run, 0, len(w.runs))
	for _, r := range w.sortedRuns() {
		if r.filler > 0 && r.state == running {
			fillers = append(fillers, r)
		}
	}
	slices.SortStableFunc(fillers, func(a, b *run) int {
		return cmp.Compare(v.cost(b.step.spec.Image)*float64(b.filler), v.cost(a.step.spec.Image)*float64(a.filler))
	})
	for _, r := range fillers {
		if excess <= 0 {
			break
		}
		excess -= max(minRelief, v.cost(r.step.spec.Image)*w.share(r.filler))
		m.counts.Relieved++
		w.relievedAt = m.now
		m.stop(r, "disturbs a serving task")
	}
}

// minRelief lets a few stops be enough where the model sees no cause.
const minRelief = 0.1
