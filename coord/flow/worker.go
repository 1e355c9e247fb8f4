package flow

import (
	"cmp"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

const (
	// maxClockDrift is the maximum relative drift of a worker's clock behind monotonic time, as guaranteed by the
	// platform.
	maxClockDrift = 0.02
	// clockMargin covers the rounding of worker clocks to milliseconds and the time until a killed run has ended.
	clockMargin = 100 * time.Millisecond
)

// runState is the scheduler's view of a run on a worker.
type runState uint8

const (
	// starting means that the start has no answer yet, or none that shows whether it was carried out.
	starting runState = iota
	// running means that the worker has confirmed the run.
	running
	// stopping means that a stop has been sent.
	stopping
	// fencing means that the run may still start in a later incarnation of the worker, until that incarnation has
	// accepted a stop or a higher token.
	fencing
)

// run is one start of a task on a worker. It occupies capacity until its end is known.
type run struct {
	id     infra.TaskID
	number infra.Run
	worker *worker
	step   *step
	occ    *occurrence
	state  runState
	size   fleet.Resources
	// sizeUnknown marks a run of an unknown job, which may hold all resources of its worker.
	sizeUnknown bool
	// fillerCPU is the processor time that a filler requests at full speed, and fillerImage the number of its image.
	fillerCPU   int64
	fillerImage int
	startedAt   time.Time
	// token is that of the start; 0 for a run that was adopted.
	token   infra.Token
	percent int
	// measuredPercent is the progress at the last measurement, at measuredAt, and stalledFor how long there has been
	// no progress.
	measuredPercent int
	measuredAt      time.Time
	stalledFor      time.Duration
	// measurement is the last reported [infra.ActiveRun.Measurement], which is the tail latency of a serving task.
	measurement float64
	// deadline is the worker clock after which the start can no longer be carried out.
	deadline int64
	// confirmedClock is the latest worker clock at which the run was known to exist, 0 if it was never confirmed.
	confirmedClock int64
	// listedClock is the worker clock of the last report that listed the run.
	listedClock int64
	// lastReport is the number of the last report of the worker that listed the run.
	lastReport int64
	// missingReport is the number of the last report that did not list the run although it should have.
	missingReport int64
	// firstClock is the earliest worker clock at which the run is known to have existed, 0 if it may never have started.
	firstClock int64
	// sound is set once the run has lasted for soundRunTime.
	sound bool
	// fresh is set if the worker had reported just before the start.
	fresh bool
	// isolated is set for a trial that began when no other run on the worker was recent.
	isolated bool
	// probed is set once a report has been requested to end the trial.
	probed     bool
	nextStop   time.Time
	stopReason string
	// fromPreviousIncarnation is set for a run that was started on a previous incarnation of its worker.
	fromPreviousIncarnation bool
	// excludeRunTime keeps the run out of the run time statistics, because it was adopted, resumed from a checkpoint or
	// slowed down and its run time is unknown or not comparable to that of other runs.
	excludeRunTime bool
	// startUnanswered is set when the start was not answered in time.
	startUnanswered bool
	// speedPercent is the speed of a filler in percent of its full speed.
	speedPercent int
	// throttleFailed is set while the last order of a filler's speed, orderedPercent, may not have been carried out.
	throttleFailed bool
	orderedPercent int
	// observation is the last one that the interference model has learned from, and learnedMeasurement the measurement
	// behind it.
	observation        observation
	learnedMeasurement float64
	// headroom is the smoothed target / tail latency of a serving task. missSince is when its measurements fell below
	// 1; a miss ends when the smoothed headroom has also recovered.
	headroom  float64
	missSince time.Time
}

func compareRuns(a, b *run) int {
	return cmp.Or(
		cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Occurrence, b.id.Occurrence),
		cmp.Compare(a.id.Step, b.id.Step), cmp.Compare(a.id.Index, b.id.Index),
	)
}

// worker is the state of one incarnation of a worker.
type worker struct {
	infra.Worker
	listed bool
	// restartedSinceListing is set while the registration is that of a previous incarnation, whose service, labels and
	// capacity may differ.
	restartedSinceListing bool
	// answeredAt is the address at which the worker last answered this scheduler, or at which a predecessor reached it.
	answeredAt string
	// unconfirmed is a registration that announces a restart which the worker has not confirmed; nil if there is none.
	unconfirmed *infra.Worker
	// sawOtherClock is set if an answer since the last report shows the clock of another life.
	sawOtherClock bool
	// inStoredRoster is set once the stored roster lists the worker as one whose lease this scheduler may renew, so that a
	// later one expects tasks on it.
	inStoredRoster bool
	// isLeaseKnown is set if the restored roster says that the scheduler before this one may have renewed the worker's lease.
	isLeaseKnown bool
	// token is that of the orders to the worker, see [Machine.raiseToken], and tokenUsed is set once an order has carried it
	// which must not reach a later life. acceptedToken is the highest that the present life is known to have accepted, and
	// renewalToken that of the last renewal.
	token         infra.Token
	tokenUsed     bool
	acceptedToken infra.Token
	renewalToken  infra.Token
	// tokenAccepted is set once the worker has accepted this scheduler's fencing token, at acceptedAt.
	tokenAccepted bool
	acceptedAt    time.Time
	// hasAnswered is set once a report of the worker has been applied.
	hasAnswered bool
	// renewalSentAt is when the last renewal was sent, and askedAt when the last one was sent that was answered.
	renewalSentAt time.Time
	askedAt       time.Time
	// leadershipConfirmed is set if the store has confirmed this scheduler's leadership since the worker accepted its
	// token. A successor assumes that a restarted worker runs no task of a predecessor, so a scheduler that may have
	// been replaced must not start tasks on such a worker.
	leadershipConfirmed bool
	// reachable reports whether the last renewal was answered.
	reachable        bool
	unreachableSince time.Time
	connRefusals     int
	// failedRenewals counts the renewals that failed since the worker was added or has answered.
	failedRenewals int
	// clock is the last known worker clock in milliseconds, and clockAt the local time at which it was read.
	clockAt time.Time
	clock   int64
	// bestClock and bestClockAt are the reading that says most of the present clock, see [worker.likelyClock].
	bestClockAt time.Time
	bestClock   int64
	// leaseEnd is the latest end of the lease, on the worker's clock, that any order can have set.
	leaseEnd int64
	// reachedBy is when the last call that prolongs leases has reached the worker, unless it is carried out late.
	reachedBy time.Time

	used      fleet.Resources
	fillerCPU int64
	// unknownSizes counts the runs of unknown size.
	unknownSizes int
	// servingSteps and servingImages count the runs with a tail latency target by step and by image; servingCPU is the
	// processor time that they reserve.
	servingSteps  map[*step]int
	servingImages map[string]int
	servingCPU    int64
	// longRunning counts the runs of long-running tasks.
	longRunning int
	// fillerLoad is the processor time that fillers request at their current speed, by image. laggedLoad is its
	// low-pass filtered value, which the reported tail latencies reflect. Both are in thousandths of a core, because
	// the capacity of a worker is unknown until it is listed.
	fillerLoad imageAmounts
	laggedLoad imageAmounts
	laggedAt   time.Time
	runs       map[infra.TaskID]*run
	// trial is the run of a suspect task that is not sound yet; the worker takes no other tasks meanwhile. lastStart is
	// when the last start was sent, and until reservedUntil the worker takes only trials, or only that of reservedFor unless
	// it is nil.
	trial         *run
	lastStart     time.Time
	reservedUntil time.Time
	reservedFor   *task
	// probed is set while a trial waits for the worker's report.
	probed bool
	// runsByTask is sorted by task, so that iteration is deterministic.
	runsByTask []*run

	// changedBefore is the round of placement before which the worker last changed in a way that can make room.
	changedBefore int64
	// reports is the number of reports so far.
	reports int64
	// seenEnd is the number of the last reported end, and durableEnd that of the last end whose effects are durable.
	seenEnd    int64
	durableEnd int64
	// ackedEnd is the highest end that the present life has forgotten, and renewalAckedEnd that of the last renewal.
	ackedEnd        int64
	renewalAckedEnd int64
	// hasMoreEnds is set if the last report did not list all ends.
	hasMoreEnds bool
	// hasReported is set once a report that listed all ends was received while the worker was not reconciled.
	hasReported bool
	// secondReportDue is set if another report is needed at once, because the last one may have missed a run that has just
	// started or ended.
	secondReportDue bool
	// unsavedEnds lists up to which end which save makes the reported ends durable, in order; it is empty if all are durable.
	unsavedEnds []unsavedEnd
	// heldEnds is the number of ends of unknown jobs that the present life has reported, and life the number of that life.
	heldEnds int
	life     int
	// headroomBudgets caches the headroom budgets of the serving images as of budgetsAt. budgetsValid is cleared when a
	// run changes.
	headroomBudgets []headroomBudget
	budgetsValid    bool
	budgetsAt       time.Time

	// unansweredStarts counts the starts without an answer.
	unansweredStarts int

	renewalInFlight bool
	renewalSequence int64
	nextRenewal     time.Time

	// failures, by job, and endWeight are decaying counts of the failed and of all ended runs. A worker on which most
	// runs fail takes no new tasks.
	failures  map[fleet.JobID]float64
	endWeight float64
	decayedAt time.Time
	// quarantinedUntil is the end of a quarantine, during which the worker takes no new tasks because its tasks failed
	// or stalled.
	quarantinedUntil time.Time
	// speed is the progress of the worker's tasks relative to the usual rate. It decays towards 1.
	speed   float64
	speedAt time.Time

	unhealthyUntil time.Time
	// cordoned workers take no new tasks, because their machine will be taken down at leavesAt. evacuationReported is
	// set once [Evacuated] has been emitted.
	cordoned           bool
	evacuationReported bool
	// leavesAt is the earliest time at which a draining worker leaves; zero if unknown.
	leavesAt            time.Time
	evacuationCheckedAt time.Time
	// immediateRenewalAt is when sendImmediateRenewal last sent a renewal.
	immediateRenewalAt time.Time
	// adjustedAt is when the speed or placement of fillers on the worker was last adjusted.
	adjustedAt time.Time
}

func (w *worker) address() infra.AgentAddress {
	return infra.AgentAddress{Worker: w.ID, HostPort: w.Worker.Address}
}

// rack returns the last label, which names the worker's rack.
func (w *worker) rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

func (w *worker) hasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// usable reports whether new tasks may be started on the worker, apart from a quarantine.
func (w *worker) usable(now time.Time) bool {
	return w.listed && !w.restartedSinceListing && w.unknownSizes == 0 && w.inStoredRoster && w.leadershipConfirmed && w.reachable &&
		!w.Draining && !w.cordoned && w.hasAnswered && w.clock > 0 && !now.Before(w.unhealthyUntil)
}

func (w *worker) isQuarantined(now time.Time) bool { return now.Before(w.quarantinedUntil) }

func (w *worker) free() fleet.Resources { return w.Capacity.Sub(w.used) }

// maxClock returns an upper bound for the worker's clock, which may run slower than local time by up to maxClockDrift.
func (w *worker) maxClock(now time.Time) int64 {
	return w.clock + now.Sub(w.clockAt).Milliseconds()
}

// likelyClock returns the highest clock that a reading shows for the present time, unless the clock has stood still since. A report
// that was on its way for long shows a lower one.
func (w *worker) likelyClock(now time.Time) int64 {
	return w.bestClock + time.Duration(float64(now.Sub(w.bestClockAt))*(1-maxClockDrift)).Milliseconds()
}

// minClock returns a lower bound for the worker's clock.
func (w *worker) minClock(now time.Time) int64 {
	elapsed := float64(now.Sub(w.clockAt)-clockMargin) * (1 - maxClockDrift)
	return w.clock + time.Duration(elapsed).Milliseconds()
}

// leaseExpired reports whether the lease of all runs on the worker has certainly ended.
func (w *worker) leaseExpired(now time.Time) bool {
	return w.clock > 0 && w.minClock(now) > w.leaseEnd
}

func (w *worker) observeClock(now time.Time, clock int64) {
	if clock >= w.clock {
		w.clock, w.clockAt = clock, now
	}
	if w.bestClockAt.IsZero() || clock >= w.likelyClock(now) {
		w.bestClock, w.bestClockAt = clock, now
	}
}

// maxAnswerDelay exceeds the time for which an answer to an order can be on its way.
const maxAnswerDelay = 2 * time.Second

// isOtherClock reports whether a clock reading is too low for the life of the worker that has reported last.
func (w *worker) isOtherClock(clock int64) bool {
	return clock > 0 && w.clock-clock > maxAnswerDelay.Milliseconds()
}

// mayHaveRestarted reports whether there is a sign of a later life which has not been confirmed by a report.
func (w *worker) mayHaveRestarted() bool { return w.unconfirmed != nil || w.sawOtherClock }

func (w *worker) add(now time.Time, r *run) {
	w.runs[r.id] = r
	at, _ := slices.BinarySearchFunc(w.runsByTask, r, compareRuns)
	w.runsByTask = slices.Insert(w.runsByTask, at, r)
	w.used = w.used.Add(r.size)
	if r.sizeUnknown {
		w.unknownSizes++
	}
	w.countLoad(now, r, 1)
}

func (w *worker) remove(now time.Time, r *run) {
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	w.runsByTask = slices.DeleteFunc(w.runsByTask, func(o *run) bool { return o == r })
	w.used = w.used.Sub(r.size)
	if r.sizeUnknown {
		w.unknownSizes--
	}
	w.countLoad(now, r, -1)
}

// countLoad adds or removes the effect of a run on other runs; sign is 1 or -1.
func (w *worker) countLoad(now time.Time, r *run, sign int) {
	w.budgetsValid = false
	if r.step != nil && r.step.spec.LongRunning {
		w.longRunning += sign
	}
	if r.fillerCPU > 0 {
		w.updateLaggedLoad(now)
		w.fillerCPU += int64(sign) * r.fillerCPU
		w.fillerLoad.add(r.fillerImage, float64(sign)*float64(r.fillerCPU)*r.speedFraction(), loadEpsilon)
	}
	if r.isServing() {
		image := r.step.spec.Image
		w.servingImages[image] += sign
		if w.servingImages[image] == 0 {
			delete(w.servingImages, image)
		}
		w.servingSteps[r.step] += sign
		if w.servingSteps[r.step] == 0 {
			delete(w.servingSteps, r.step)
		}
		w.servingCPU += int64(sign) * r.size.MilliCPU
	}
}

// fullSpeedPercent is the speed of a run that is not throttled.
const fullSpeedPercent = 100

// speedFraction returns the fraction of its full speed at which a run works and disturbs others.
func (r *run) speedFraction() float64 { return float64(r.speedPercent) / fullSpeedPercent }

// loadEpsilon is less than the load of any task, in thousandths of a core. Smaller values are rounding errors.
const loadEpsilon = 0.01

// share returns processor time as a fraction of the worker's capacity, and 0 while that is unknown.
func (w *worker) share(milliCPU int64) float64 { return w.shareOf(float64(milliCPU)) }

func (w *worker) shareOf(milliCPU float64) float64 {
	if w.Capacity.MilliCPU <= 0 {
		return 0
	}
	return milliCPU / float64(w.Capacity.MilliCPU)
}

// isServing reports whether the run has a tail latency target.
func (r *run) isServing() bool { return r.step != nil && isServing(&r.step.spec) }

func isServing(s *infra.Step) bool { return s.TailTarget > 0 }
