package flow

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lovagefork.example/coord/infra"
)

const (
	// priorSpread is the sum of squared deviations of the logarithms that is credited to the estimates of a queue
	// before its run times are known, and priorSteps the number of steps that is credited to uncorrected estimates.
	// Both equal the weight of a few steps.
	priorSpread = 3
	priorSteps  = 4
	// windowSteps is the approximate number of recent steps in a model.
	windowSteps = 200
	// maxCorrection limits the factor by which an estimate is corrected.
	maxCorrection = 8
)

// runTimeModel models how the run times of a queue's steps depend on their estimates: a linear regression of the
// logarithms. For a queue with uninformative estimates it predicts the usual run time of the queue.
type runTimeModel struct {
	count, sumX, sumY, sumXX, sumXY float64
	// meanWork is the mean work of a job, in core-seconds.
	meanWork float64
}

// observe adds the estimate and the mean task run time of a step.
func (rt *runTimeModel) observe(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	if rt.count >= windowSteps {
		decay := float64(windowSteps-1) / windowSteps
		rt.count, rt.sumX, rt.sumY, rt.sumXX, rt.sumXY = rt.count*decay, rt.sumX*decay, rt.sumY*decay, rt.sumXX*decay, rt.sumXY*decay
	}
	x, y := math.Log(estimate.Seconds()), math.Log(took.Seconds())
	rt.count, rt.sumX, rt.sumY, rt.sumXX, rt.sumXY = rt.count+1, rt.sumX+x, rt.sumY+y, rt.sumXX+x*x, rt.sumXY+x*y
}

// predict returns the expected run time of a task with an estimate.
func (rt *runTimeModel) predict(estimate time.Duration) time.Duration {
	if rt == nil || rt.count == 0 || estimate <= 0 {
		return estimate
	}
	x := math.Log(estimate.Seconds())
	meanX, meanY := rt.sumX/rt.count, rt.sumY/rt.count
	slope := (priorSpread + rt.sumXY - rt.count*meanX*meanY) / (priorSpread + rt.sumXX - rt.count*meanX*meanX)
	slope = min(1, max(0, slope))
	weight := rt.count / (rt.count + priorSteps)
	shift := weight * (meanY + slope*(x-meanX) - x)
	shift = min(math.Log(maxCorrection), max(-math.Log(maxCorrection), shift))
	return time.Duration(float64(estimate) * math.Exp(shift))
}

// runTimeModel returns the model of a queue and creates it if needed.
func (m *Machine) runTimeModel(queue string) *runTimeModel {
	rt := m.runTimes[queue]
	if rt == nil {
		rt = &runTimeModel{}
		m.runTimes[queue] = rt
	}
	return rt
}

// recordRunTime records the time of a run that completed at full speed and without interruption.
func (m *Machine) recordRunTime(r *run) {
	s := r.step
	if s == nil || s.spec.LongRunning || r.excludeRunTime {
		return
	}
	s.totalRunTime += m.now.Sub(r.startedAt)
	s.timedRuns++
	if s.done+1 >= s.tasks.len() {
		m.runTimeModel(r.occ.job.spec.Queue).observe(s.spec.Estimate, s.totalRunTime/time.Duration(s.timedRuns))
	}
}

// expectedRunTime returns the expected run time of a task of a step: from its completed tasks, else from the progress
// of its running tasks, else from the model of the queue.
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

// objective returns the time in which a job should complete, given the length of its critical path.
func (j *job) objective(pathLength time.Duration) time.Duration {
	return time.Duration(float64(pathLength)*j.queue.StretchFactor) + j.queue.TargetLatency
}

// estimate holds what the ranks of all steps of an occurrence have in common.
type estimate struct {
	// total and remaining are the lengths of the critical path.
	total, remaining time.Duration
	// workPerCredit is the remaining work divided by the credit.
	workPerCredit float64
}

// estimateOf returns the estimate of an occurrence. It takes as long as the occurrence has steps, so that it is computed
// once for each time at which steps are ranked.
func (m *Machine) estimateOf(o *occurrence) estimate {
	if !o.estimatedAt.Equal(m.now) {
		m.counts.Estimates++
		o.estimatedAt = m.now
		o.estimate.total, o.estimate.remaining = m.criticalPath(o)
		o.estimate.workPerCredit = m.remainingWork(o) / m.credit(o)
	}
	return o.estimate
}

// criticalPath returns the total and the remaining length of the critical path through the steps of an occurrence.
func (m *Machine) criticalPath(o *occurrence) (total, remaining time.Duration) {
	ends := make([]time.Duration, 2*len(o.steps))
	for i := range o.steps {
		s := &o.steps[i]
		length := m.expectedRunTime(o.job, s)
		begin, beginRemaining := time.Duration(0), time.Duration(0)
		for _, a := range s.spec.After {
			begin, beginRemaining = max(begin, ends[2*a]), max(beginRemaining, ends[2*a+1])
		}
		ends[2*i] = begin + length
		ends[2*i+1] = beginRemaining + s.remaining(length)
		total, remaining = max(total, ends[2*i]), max(remaining, ends[2*i+1])
	}
	return total, remaining
}

// remaining returns how much longer a step takes if its waiting tasks start at once.
func (s *step) remaining(length time.Duration) time.Duration {
	switch {
	case s.complete():
		return 0
	case s.waiting > 0:
		return length
	}
	minPercent := 100
	for _, t := range s.tasks.allocated() {
		if t.phase == active && len(t.runs) > 0 {
			minPercent = min(minPercent, slices.MaxFunc(t.runs, func(a, b *run) int { return cmp.Compare(a.percent, b.percent) }).percent)
		}
	}
	return length * time.Duration(100-minPercent) / 100
}

const (
	// creditFloor is the part of a job's credit that does not grow with its work, and maxCredit limits the credit of a
	// large job as a multiple of the mean. Both are specified on the users' pages.
	creditFloor = 0.3
	maxCredit   = 4
	// workSmoothing is the smoothing factor for the mean work of a queue's jobs.
	workSmoothing = 0.05
)

// updateMeanWork adds the work of a new job to the mean of its queue. That of a job in its [Finished] form is unknown.
func (m *Machine) updateMeanWork(j *job) {
	if IsFinished(j.spec) {
		return
	}
	rt := m.runTimeModel(j.spec.Queue)
	work := 0.0
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		work += float64(s.Count) * coreSeconds(s, rt.predict(s.Estimate))
	}
	if rt.meanWork == 0 {
		rt.meanWork = work
	}
	rt.meanWork += workSmoothing * (work - rt.meanWork)
}

// credit returns the value of completing a job on time, as a multiple of that of a job with mean work.
func (m *Machine) credit(o *occurrence) float64 {
	work := 0.0
	for i := range o.steps {
		s := &o.steps[i]
		work += float64(s.tasks.len()) * coreSeconds(&s.spec, m.expectedRunTime(o.job, s))
	}
	mean := max(m.runTimeModel(o.job.spec.Queue).meanWork, minWork)
	return min(maxCredit, creditFloor+(1-creditFloor)*work/mean)
}

// minWork prevents a division by zero for jobs without work, in core-seconds.
const minWork = 1e-3

// remainingWork returns the work of an occurrence's incomplete tasks, in core-seconds.
func (m *Machine) remainingWork(o *occurrence) float64 {
	sum := 0.0
	for i := range o.steps {
		s := &o.steps[i]
		sum += float64(s.tasks.len()-s.done) * coreSeconds(&s.spec, m.expectedRunTime(o.job, s))
	}
	return sum
}

func coreSeconds(s *infra.Step, length time.Duration) float64 {
	return float64(s.Size.MilliCPU) / 1000 * length.Seconds()
}
