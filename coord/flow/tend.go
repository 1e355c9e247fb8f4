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
	// levelStep smooths the tail of a task; two reports in a row make up three quarters of it.
	levelStep = 0.5
	// headroom is what is left below the logarithm of a target for the swing of the serving task's own load.
	headroom = 0.25
	// overPatience is how long a serving task may miss its target before fillers beside it are moved: two or three reports,
	// well below the time after which callers are harmed.
	overPatience = 700 * time.Millisecond
	// settleTime is how long a start or stop takes to show in the tails: a report is about the last half second.
	settleTime = 700 * time.Millisecond
)

func logTarget(s *infra.Step) float64 {
	return math.Log(max(1, float64(s.TailTarget.Milliseconds())))
}

func (m *Machine) victim(s *infra.Step) *victim {
	v := m.victims[s.Image]
	if v == nil {
		v = newVictim(logTarget(s))
		m.victims[s.Image] = v
	}
	return v
}

// measure learns from the tails that a worker has reported.
func (m *Machine) measure(w *worker) {
	if len(w.serving) == 0 {
		return
	}
	settled := m.settledShares(w)
	for image, share := range w.pressed {
		if _, found := settled[image]; !found {
			w.pressed[image] = share * (1 - levelStep)
		}
	}
	for image, share := range settled {
		w.pressed[image] += levelStep * (share - w.pressed[image])
	}
	for _, r := range w.sortedRuns() {
		if !r.serves() || r.figure <= 0 || m.now.Sub(r.since) < settleTime {
			continue
		}
		tail := math.Log(r.figure)
		if r.level == 0 {
			r.level = tail
		}
		r.level += levelStep * (tail - r.level)
		m.victim(&r.step.spec).learn(settled, tail)
		m.watchTarget(r)
	}
}

// settledShares returns the shares of the fillers that have run long enough to show in a report.
func (m *Machine) settledShares(w *worker) map[string]float64 {
	shares := make(map[string]float64, len(w.fillers))
	for _, r := range w.runs {
		if r.filler > 0 && m.now.Sub(r.since) >= settleTime {
			shares[r.step.spec.Image] += w.share(r.filler)
		}
	}
	return shares
}

func (m *Machine) watchTarget(r *run) {
	if r.figure <= float64(r.step.spec.TailTarget.Milliseconds()) {
		r.over = time.Time{}
	} else if r.over.IsZero() {
		r.over = m.now
	}
}

// expected returns the logarithm of the tail of a serving run with the fillers that its worker has now.
func (m *Machine) expected(w *worker, r *run) float64 {
	v := m.victim(&r.step.spec)
	level := r.level
	if level == 0 {
		level = v.base()
		for image, share := range w.fillers {
			level += v.cost(image) * share
		}
		return level
	}
	for image, share := range w.fillers {
		level += v.cost(image) * (share - w.pressed[image])
	}
	return level
}

// tolerates reports whether all serving tasks of a worker are expected to keep their target beside one more filler.
func (m *Machine) tolerates(w *worker, filler *infra.Step) bool {
	if len(w.serving) == 0 {
		return true
	}
	share := w.share(filler.Size.MilliCPU)
	for _, r := range w.runs {
		if !r.serves() || r.state == stopping {
			continue
		}
		added := m.victim(&r.step.spec).cost(filler.Image) * share
		if m.expected(w, r)+added > logTarget(&r.step.spec)-headroom {
			return false
		}
	}
	return true
}

// strain is how much of the serving tasks' tolerance one more filler takes, from 0.
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
	level := v.base()
	for image, share := range w.fillers {
		level += v.cost(image) * share
	}
	return level - logTarget(serving) + headroom
}

// tend looks after what runs beside each other.
func (m *Machine) tend() {
	for _, w := range m.order {
		if len(w.serving) > 0 && w.filler > 0 {
			m.protect(w)
		}
	}
}

// protect moves fillers away from a serving task that misses its target, the most disturbing first.
func (m *Machine) protect(w *worker) {
	for _, r := range w.sortedRuns() {
		if !r.serves() || r.state != running || r.over.IsZero() || m.now.Sub(r.over) < overPatience {
			continue
		}
		if m.now.Sub(w.relievedAt) < settleTime {
			return
		}
		m.relieve(w, r)
	}
}

// relieve stops the fillers that disturb a serving run most, until it should keep its target again.
func (m *Machine) relieve(w *worker, harmed *run) {
	v := m.victim(&harmed.step.spec)
	excess := harmed.level - logTarget(&harmed.step.spec) + headroom
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
