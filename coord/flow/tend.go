package flow

import (
	"math"
	"time"

	"lovagefork.example/coord/infra"
)

// decay is the time in which a worker's record of ends loses weight by a factor e.
const decay = 5 * time.Second

// imageStats is what is known of an image.
type imageStats struct {
	// stretch is the mean run time of its tasks as a multiple of their estimate.
	stretch float64
	samples int
}

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
	// overPatience is how long a serving task may miss its target before the fillers beside it are moved: two reports, well
	// below the time after which callers are harmed.
	overPatience = time.Second
)

// tend looks after what runs beside each other.
func (m *Machine) tend() {
	for _, w := range m.order {
		if w.serving > 0 && w.filler > 0 {
			m.protect(w)
		}
	}
}

// protect moves the fillers away from serving tasks that miss their target.
func (m *Machine) protect(w *worker) {
	harmed := false
	for _, r := range w.runs {
		if !r.serves() || r.state != running {
			continue
		}
		if r.figure <= float64(r.step.spec.TailTarget.Milliseconds()) {
			r.over = time.Time{}
			continue
		}
		if r.over.IsZero() {
			r.over = m.now
		}
		harmed = harmed || m.now.Sub(r.over) >= overPatience
	}
	if !harmed {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.filler > 0 {
			m.counts.Paced++
			m.stop(r, "disturbs a serving task")
		}
	}
}
