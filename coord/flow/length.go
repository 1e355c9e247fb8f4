package flow

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lovagefork.example/coord/infra"
)

const (
	// priorWeight is the spread of logarithms that speaks for the estimates of a queue before its run times are known, and
	// priorSteps the number of steps in whose favour its usual run time counts; both are that of a few steps.
	priorWeight = 3
	priorSteps  = 4
	// forgetSteps is about how many of the last steps count.
	forgetSteps = 200
	// mostOff bounds by which factor a run time is corrected.
	mostOff = 8
)

// lengths is what is known of how the run times of a queue's steps depend on their estimates: a linear regression of the
// logarithms. Estimates that say little are drawn to the usual run time of the queue.
type lengths struct {
	n, x, y, xx, xy float64
	// work is the mean work of a job, in core-seconds.
	work float64
}

// observe takes up a step whose tasks took a time.
func (l *lengths) observe(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	if l.n >= forgetSteps {
		keep := float64(forgetSteps-1) / forgetSteps
		l.n, l.x, l.y, l.xx, l.xy = l.n*keep, l.x*keep, l.y*keep, l.xx*keep, l.xy*keep
	}
	x, y := math.Log(estimate.Seconds()), math.Log(took.Seconds())
	l.n, l.x, l.y, l.xx, l.xy = l.n+1, l.x+x, l.y+y, l.xx+x*x, l.xy+x*y
}

// predict returns the run time to be expected of a task with an estimate.
func (l *lengths) predict(estimate time.Duration) time.Duration {
	if l == nil || l.n == 0 || estimate <= 0 {
		return estimate
	}
	x := math.Log(estimate.Seconds())
	meanX, meanY := l.x/l.n, l.y/l.n
	slope := (priorWeight + l.xy - l.n*meanX*meanY) / (priorWeight + l.xx - l.n*meanX*meanX)
	slope = min(1, max(0, slope))
	trust := l.n / (l.n + priorSteps)
	shift := trust * (meanY + slope*(x-meanX) - x)
	shift = min(math.Log(mostOff), max(-math.Log(mostOff), shift))
	return time.Duration(float64(estimate) * math.Exp(shift))
}

// lengthsOf returns what is known of a queue.
func (m *Machine) lengthsOf(queue string) *lengths {
	l := m.lengths[queue]
	if l == nil {
		l = &lengths{}
		m.lengths[queue] = l
	}
	return l
}

// measureLength takes up the time of a run that was done without interruption at full speed.
func (m *Machine) measureLength(r *run) {
	s := r.step
	if s == nil || s.spec.LongRunning || r.atypical {
		return
	}
	s.took += m.now.Sub(r.since)
	s.timed++
	if s.done+1 >= len(s.tasks) {
		m.lengthsOf(r.occ.job.spec.Queue).observe(s.spec.Estimate, s.took/time.Duration(s.timed))
	}
}

// length returns how long a task of a step takes: as its tasks have shown, else as their progress shows, else as is usual for
// the queue.
func (m *Machine) length(j *job, s *step) time.Duration {
	switch {
	case s.timed > 0:
		return s.took / time.Duration(s.timed)
	case s.rate > 0 && s.measured > leastMeasured:
		return time.Duration(100 / s.rate * float64(time.Second))
	default:
		return m.lengths[j.spec.Queue].predict(s.spec.Estimate)
	}
}

// objective returns the time in which a job with a chain of work should complete.
func (j *job) objective(chain time.Duration) time.Duration {
	return time.Duration(float64(chain)*j.queue.StretchFactor) + j.queue.TargetLatency
}

// chains returns the longest chain of work of an occurrence, and what is left of it.
func (m *Machine) chains(o *occurrence) (whole, left time.Duration) {
	ends := make([]time.Duration, 2*len(o.steps))
	for i := range o.steps {
		s := &o.steps[i]
		length := m.length(o.job, s)
		begin, beginLeft := time.Duration(0), time.Duration(0)
		for _, a := range s.spec.After {
			begin, beginLeft = max(begin, ends[2*a]), max(beginLeft, ends[2*a+1])
		}
		ends[2*i] = begin + length
		ends[2*i+1] = beginLeft + s.left(length)
		whole, left = max(whole, ends[2*i]), max(left, ends[2*i+1])
	}
	return whole, left
}

// left returns how long a step takes from now on if its waiting tasks start at once.
func (s *step) left(length time.Duration) time.Duration {
	switch {
	case s.complete():
		return 0
	case s.waiting > 0:
		return length
	}
	least := 100
	for i := range s.tasks {
		if t := &s.tasks[i]; t.phase == active && len(t.runs) > 0 {
			least = min(least, slices.MaxFunc(t.runs, func(a, b *run) int { return cmp.Compare(a.percent, b.percent) }).percent)
		}
	}
	return length * time.Duration(100-least) / 100
}

const (
	// creditFloor is the part of a job's credit that does not grow with its work, and mostCredit bounds the credit of a large
	// job as a multiple of the mean, both by the users' pages.
	creditFloor = 0.3
	mostCredit  = 4
	// workStep smooths the mean work of a queue's jobs.
	workStep = 0.05
)

// expect takes up the work of a new job in the mean of its queue.
func (m *Machine) expect(j *job) {
	l := m.lengthsOf(j.spec.Queue)
	work := 0.0
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		work += float64(s.Count) * coreSeconds(s, l.predict(s.Estimate))
	}
	if l.work == 0 {
		l.work = work
	}
	l.work += workStep * (work - l.work)
}

// credit returns what a job earns in time, as a multiple of what a job of mean work earns.
func (m *Machine) credit(o *occurrence) float64 {
	work := 0.0
	for i := range o.steps {
		s := &o.steps[i]
		work += float64(len(s.tasks)) * coreSeconds(&s.spec, m.length(o.job, s))
	}
	mean := max(m.lengthsOf(o.job.spec.Queue).work, leastWork)
	return min(mostCredit, creditFloor+(1-creditFloor)*work/mean)
}

// leastWork keeps jobs without work from dividing by zero, in core-seconds.
const leastWork = 1e-3

// workLeft returns the work of an occurrence's tasks that are not done, in core-seconds.
func (m *Machine) workLeft(o *occurrence) float64 {
	sum := 0.0
	for i := range o.steps {
		s := &o.steps[i]
		sum += float64(len(s.tasks)-s.done) * coreSeconds(&s.spec, m.length(o.job, s))
	}
	return sum
}

func coreSeconds(s *infra.Step, length time.Duration) float64 {
	return float64(s.Size.MilliCPU) / 1000 * length.Seconds()
}
