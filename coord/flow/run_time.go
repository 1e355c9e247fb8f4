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
	priorSpread = 3
	priorSteps  = 4
	// forgetSteps is about how many of the last steps count.
	windowSteps = 200
	// mostOff bounds by which factor a run time is corrected.
	maxCorrection = 8
)

// lengths is what is known of how the run times of a queue's steps depend on their estimates: a linear regression of the
// logarithms. Estimates that say little are drawn to the usual run time of the queue.
type runTimeModel struct {
	count, sumX, sumY, sumXX, sumXY float64
	// work is the mean work of a job, in core-seconds.
	meanWork float64
}

// observe takes up a step whose tasks took a time.
func (l *runTimeModel) observe(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	if l.count >= windowSteps {
		keep := float64(windowSteps-1) / windowSteps
		l.count, l.sumX, l.sumY, l.sumXX, l.sumXY = l.count*keep, l.sumX*keep, l.sumY*keep, l.sumXX*keep, l.sumXY*keep
	}
	x, y := math.Log(estimate.Seconds()), math.Log(took.Seconds())
	l.count, l.sumX, l.sumY, l.sumXX, l.sumXY = l.count+1, l.sumX+x, l.sumY+y, l.sumXX+x*x, l.sumXY+x*y
}

// predict returns the run time to be expected of a task with an estimate.
func (l *runTimeModel) predict(estimate time.Duration) time.Duration {
	if l == nil || l.count == 0 || estimate <= 0 {
		return estimate
	}
	x := math.Log(estimate.Seconds())
	meanX, meanY := l.sumX/l.count, l.sumY/l.count
	slope := (priorSpread + l.sumXY - l.count*meanX*meanY) / (priorSpread + l.sumXX - l.count*meanX*meanX)
	slope = min(1, max(0, slope))
	trust := l.count / (l.count + priorSteps)
	shift := trust * (meanY + slope*(x-meanX) - x)
	shift = min(math.Log(maxCorrection), max(-math.Log(maxCorrection), shift))
	return time.Duration(float64(estimate) * math.Exp(shift))
}

// lengthsOf returns what is known of a queue.
func (m *Machine) runTimeModel(queue string) *runTimeModel {
	l := m.runTimes[queue]
	if l == nil {
		l = &runTimeModel{}
		m.runTimes[queue] = l
	}
	return l
}

// measureLength takes up the time of a run that was done without interruption at full speed.
func (m *Machine) recordRunTime(r *run) {
	s := r.step
	if s == nil || s.spec.LongRunning || r.atypical {
		return
	}
	s.totalRunTime += m.now.Sub(r.startedAt)
	s.timedRuns++
	if s.done+1 >= len(s.tasks) {
		m.runTimeModel(r.occ.job.spec.Queue).observe(s.spec.Estimate, s.totalRunTime/time.Duration(s.timedRuns))
	}
}

// length returns how long a task of a step takes: as its tasks have shown, else as their progress shows, else as is usual for
// the queue.
func (m *Machine) expectedRunTime(j *job, s *step) time.Duration {
	switch {
	case s.timedRuns > 0:
		return s.totalRunTime / time.Duration(s.timedRuns)
	case s.rate > 0 && s.rateSamples > minRateSamples:
		return time.Duration(100 / s.rate * float64(time.Second))
	default:
		return m.runTimes[j.spec.Queue].predict(s.spec.Estimate)
	}
}

// objective returns the time in which a job with a chain of work should complete.
func (j *job) objective(chain time.Duration) time.Duration {
	return time.Duration(float64(chain)*j.queue.Stretch) + j.queue.Objective
}

// chains returns the longest chain of work of an occurrence, and what is left of it.
func (m *Machine) criticalPath(o *occurrence) (whole, left time.Duration) {
	ends := make([]time.Duration, 2*len(o.steps))
	for i := range o.steps {
		s := &o.steps[i]
		length := m.expectedRunTime(o.job, s)
		begin, beginLeft := time.Duration(0), time.Duration(0)
		for _, a := range s.spec.After {
			begin, beginLeft = max(begin, ends[2*a]), max(beginLeft, ends[2*a+1])
		}
		ends[2*i] = begin + length
		ends[2*i+1] = beginLeft + s.remaining(length)
		whole, left = max(whole, ends[2*i]), max(left, ends[2*i+1])
	}
	return whole, left
}

// left returns how long a step takes from now on if its waiting tasks start at once.
func (s *step) remaining(length time.Duration) time.Duration {
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
	maxCredit   = 4
	// workStep smooths the mean work of a queue's jobs.
	workSmoothing = 0.05
)

// expect takes up the work of a new job in the mean of its queue.
func (m *Machine) updateMeanWork(j *job) {
	l := m.runTimeModel(j.spec.Queue)
	work := 0.0
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		work += float64(s.Count) * coreSeconds(s, l.predict(s.Estimate))
	}
	if l.meanWork == 0 {
		l.meanWork = work
	}
	l.meanWork += workSmoothing * (work - l.meanWork)
}

// credit returns what a job earns in time, as a multiple of what a job of mean work earns.
func (m *Machine) credit(o *occurrence) float64 {
	work := 0.0
	for i := range o.steps {
		s := &o.steps[i]
		work += float64(len(s.tasks)) * coreSeconds(&s.spec, m.expectedRunTime(o.job, s))
	}
	mean := max(m.runTimeModel(o.job.spec.Queue).meanWork, minWork)
	return min(maxCredit, creditFloor+(1-creditFloor)*work/mean)
}

// leastWork keeps jobs without work from dividing by zero, in core-seconds.
const minWork = 1e-3

// workLeft returns the work of an occurrence's tasks that are not done, in core-seconds.
func (m *Machine) remainingWork(o *occurrence) float64 {
	sum := 0.0
	for i := range o.steps {
		s := &o.steps[i]
		sum += float64(len(s.tasks)-s.done) * coreSeconds(&s.spec, m.expectedRunTime(o.job, s))
	}
	return sum
}

func coreSeconds(s *infra.Step, length time.Duration) float64 {
	return float64(s.Size.MilliCPU) / 1000 * length.Seconds()
}
