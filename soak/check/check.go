package check

import (
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/platform/wkfake"
)

// The bounds of the platform.
const (
	// maxCrashes is the number of workers that may crash under a task before its job may be given up.
	maxCrashes     = 2
	contactTimeout = 3 * time.Second
	drainTimeout   = 2 * time.Second
	cancelTimeout  = 3 * time.Second
	stopTimeout    = 200 * time.Millisecond
	visibleTimeout = 3 * time.Second
	configTimeout  = 2 * time.Second
	gracePeriod    = 6 * time.Second
	lossSlack      = 200 * time.Millisecond
	maxEarlyStart  = 250 * time.Millisecond
)

// Promise names what is promised to callers and operators.
type Promise string

// The promises.
const (
	OnePlace     Promise = "a task runs in one place"
	OnceDone     Promise = "a task that is done does not run again"
	InOrder      Promise = "a step runs after those that it depends on, and at its time"
	Attempts     Promise = "a task has a bounded number of attempts"
	Capacity     Promise = "a worker gets what it can carry"
	OnlyAsked    Promise = "only what callers have submitted runs"
	Cancellation Promise = "a cancelled job ends"
	Rejection    Promise = "a rejected job does not run"
	Drained      Promise = "a draining worker gets no new tasks"
	Kept         Promise = "an accepted job is kept and completed"
	TrueState    Promise = "a job's state is true"
	PlannedStop  Promise = "a planned stop breaks no call"
	InForce      Promise = "a configuration is in force in time"
	Available    Promise = "callers are served again after faults"
	Restarted    Promise = "a long-running task runs again in time"
	Prompt       Promise = "tasks start soon after their submission"
)

// Violation is a broken promise.
type Violation struct {
	At      time.Duration
	Promise Promise
	Text    string
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%.3fs %s: %s", v.At.Seconds(), v.Promise, v.Text)
}

// Checker is the reducer. It is not safe for concurrent use.
type Checker struct {
	now     time.Duration
	jobs    map[fleet.JobID]*job
	tasks   map[infra.TaskID]*task
	workers map[fleet.WorkerID]*worker
	// planned and unplanned count the faults in force; their ends are those of the last ones.
	planned      int
	unplanned    int
	plannedEnd   time.Duration
	unplannedEnd time.Duration
	// disturbedAt is when a fault or a process has begun or ended last.
	disturbedAt time.Duration
	// longRunning are the jobs with long-running steps that go on, and roomSince is since when there is room for tasks of a
	// step, by its first one.
	longRunning  []*job
	roomSince    map[infra.TaskID]time.Duration
	stops        map[string]time.Duration
	configuredAt time.Duration
	violations   []Violation
	repeats      int
	// The figures of the summaries.
	startTimes  []time.Duration
	firstStarts []time.Duration
	restarts    []time.Duration
	lapsed      int
	// startLimit is the limit of the first starts' 95th percentile; 0 if there is none.
	startLimit time.Duration
}

// job is a job that a caller has sent.
type job struct {
	spec        infra.Job
	maxAttempts int
	submittedAt time.Duration
	// tasks are those that are known of the job.
	tasks []*task
	// open counts the submissions without an answer yet.
	open int
	// mayRun is set once a submission was accepted or remained without an answer.
	mayRun     bool
	isRejected bool
	hasStarted bool
	isAccepted bool
	acceptedAt time.Duration
	cancelSent bool
	cancelled  bool
	// cancelledAt is when the cancellation was acknowledged.
	cancelledAt time.Duration
	state       infra.State
}

type task struct {
	active map[wkfake.RunID]activeRun
	// lastRun is when a run has ended last, and isOverdue is set from a violation until the next start.
	lastRun   time.Duration
	isOverdue bool
	starts    []time.Duration
	// ends are in the order in which they were seen. One run can end in several lives of a worker.
	ends []*end
	// crashes counts the workers that have ended while they ran the task.
	crashes int
}

// activeRun is a run in progress. isInherited is set if the order was meant for an earlier life of its worker.
type activeRun struct {
	since       time.Duration
	isInherited bool
}

// end is the end of a run on a worker that is up.
type end struct {
	run     wkfake.RunID
	at      time.Duration
	outcome infra.Outcome
	noted   bool
}

type worker struct {
	capacity   fleet.Resources
	labels     []string
	used       fleet.Resources
	isGone     bool
	isDraining bool
	drainingAt time.Duration
	runs       map[wkfake.RunID]fleet.Resources
}

// Option changes a [Checker] under construction.
type Option func(*Checker)

// WithStartLimit sets within which time 95 of 100 tasks have to start.
func WithStartLimit(d time.Duration) Option { return func(c *Checker) { c.startLimit = d } }

// New returns a checker that has seen nothing.
func New(opts ...Option) *Checker {
	c := &Checker{
		jobs: make(map[fleet.JobID]*job), tasks: make(map[infra.TaskID]*task), workers: make(map[fleet.WorkerID]*worker),
		roomSince: make(map[infra.TaskID]time.Duration),
		stops:     make(map[string]time.Duration), plannedEnd: -contactTimeout, unplannedEnd: -contactTimeout,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Step applies an observation and returns the promises that it shows to be broken. At is the time since the beginning.
func (c *Checker) Step(at time.Duration, ev Event) []Violation {
	c.now, c.violations = at, nil
	switch ev := ev.(type) {
	case WorkerJoined:
		c.workers[ev.Worker] = &worker{capacity: ev.Capacity, labels: ev.Labels, runs: make(map[wkfake.RunID]fleet.Resources)}
	case WorkerSaw:
		c.workerSaw(ev.Event)
	case Submitted:
		c.submitted(ev)
	case SubmitAnswered:
		c.submitAnswered(ev)
	case CancelSent:
		c.jobs[ev.Job].cancelSent = true
	case CancelAcked:
		if j := c.jobs[ev.Job]; !j.cancelled {
			j.cancelled, j.cancelledAt = true, at
		}
	case StateSeen:
		c.stateSeen(ev)
	case UnknownSeen:
		c.unknownSeen(ev)
	case FaultBegan:
		c.countFault(ev.IsPlanned, 1)
	case FaultEnded:
		c.countFault(ev.IsPlanned, -1)
	case HostStarted:
		c.disturbedAt = at
	case StopRequested:
		c.stops[ev.Host] = at
	case CallBroken:
		c.callBroken(ev)
	case Configured:
		c.configuredAt = at
	case RouteAsked:
		c.routeAsked(ev)
	case HostUnavailable:
		c.fail(Available, "%s: %s", ev.Host, ev.Reason)
	case Ticked:
		c.checkLongRunning()
	case Finished:
		c.checkLongRunning()
		c.finish()
	}
	return c.violations
}

func (c *Checker) fail(p Promise, format string, args ...any) {
	c.violations = append(c.violations, Violation{At: c.now, Promise: p, Text: fmt.Sprintf(format, args...)})
}

func (c *Checker) countFault(isPlanned bool, change int) {
	count, end := &c.unplanned, &c.unplannedEnd
	if isPlanned {
		count, end = &c.planned, &c.plannedEnd
	}
	*count += change
	*end = c.now
	c.disturbedAt = c.now
}

// isCalm reports whether there has been no fault since contactTimeout before a time, so that bounds of time hold.
func (c *Checker) isCalm(since time.Duration) bool {
	return c.isUndisturbed(since) && c.planned == 0 && c.plannedEnd+contactTimeout <= since
}

// isUndisturbed is like isCalm, but allows planned stops.
func (c *Checker) isUndisturbed(since time.Duration) bool {
	return c.unplanned == 0 && c.unplannedEnd+contactTimeout <= since
}

func (c *Checker) submitted(ev Submitted) {
	j := c.jobs[ev.Job.ID]
	if j == nil {
		j = &job{spec: ev.Job, maxAttempts: ev.MaxAttempts, submittedAt: c.now}
		c.jobs[ev.Job.ID] = j
		if hasLongRunning(ev.Job) {
			c.longRunning = append(c.longRunning, j)
		}
	}
	j.open++
}

func (c *Checker) submitAnswered(ev SubmitAnswered) {
	j := c.jobs[ev.Job]
	j.open--
	switch ev.Answer {
	case SubmitAccepted:
		if !j.isAccepted {
			j.isAccepted, j.acceptedAt = true, c.now
		}
		j.mayRun = true
	case SubmitRejected:
		j.isRejected = true
		c.checkRejected(j)
	case SubmitUnknown:
		j.mayRun = true
	}
}

func (c *Checker) checkRejected(j *job) {
	if j.hasStarted && j.isRejected && !j.mayRun && j.open == 0 {
		c.fail(Rejection, "job %s runs, and each submission was rejected", j.spec.ID)
	}
}

func (c *Checker) stateSeen(ev StateSeen) {
	j := c.jobs[ev.Job]
	j.state = ev.State
	switch ev.State {
	case infra.StateCompleted:
		if open := c.firstOpenTask(j); open != "" {
			c.fail(TrueState, "job %s is shown as completed, and %s has not ended done", ev.Job, open)
		}
	case infra.StateFailed:
		if !c.hasFailed(j) {
			c.fail(Kept, "job %s is shown as failed without cause", ev.Job)
		}
	case infra.StateCancelled:
		if !j.cancelSent {
			c.fail(Kept, "job %s is shown as cancelled, and nobody has cancelled it", ev.Job)
		}
	}
}

func (c *Checker) unknownSeen(ev UnknownSeen) {
	j := c.jobs[ev.Job]
	if j.isAccepted && !j.cancelSent && c.now > j.acceptedAt+visibleTimeout && c.isCalm(j.acceptedAt) {
		c.fail(Kept, "%s does not know job %s, which was accepted at %.3fs", ev.Host, ev.Job, j.acceptedAt.Seconds())
	}
}

func (c *Checker) callBroken(ev CallBroken) {
	stoppedAt, isStopped := c.stops[ev.Host]
	sent := c.now - ev.Took
	if isStopped && c.now <= stoppedAt+gracePeriod+time.Second && ev.Took > lossSlack && c.isUndisturbed(sent) {
		c.fail(PlannedStop, "%s, told to stop at %.3fs, broke a call after %v: %s", ev.Host, stoppedAt.Seconds(), ev.Took, ev.Text)
	}
}

func (c *Checker) routeAsked(ev RouteAsked) {
	if ev.Found != ev.Exists && ev.Sent > c.configuredAt+configTimeout && c.isCalm(c.configuredAt) {
		c.fail(InForce, "%s: the queue is found: %t, by the configuration of %.3fs it exists: %t", ev.Host, ev.Found, c.configuredAt.Seconds(), ev.Exists)
	}
}

// JobStates returns the number of jobs in each state that callers were last shown.
func (c *Checker) JobStates() map[string]int {
	out := make(map[string]int)
	for _, j := range c.jobs {
		name := string(j.state)
		if !j.isAccepted {
			name = "not accepted"
		}
		out[name]++
	}
	return out
}

// Starts returns the number of runs that have begun.
func (c *Checker) Starts() int {
	total := 0
	for _, t := range c.tasks {
		total += len(t.starts)
	}
	return total
}

// Repeats returns the number of starts of tasks that had ended done on a worker, but for speculative ones. A start is a repeat
// also if it keeps all promises, since the end was not acknowledged in time.
func (c *Checker) Repeats() int { return c.repeats }

// finish checks that what was accepted has come to its end.
func (c *Checker) finish() {
	if w := c.FirstStarts(); c.startLimit > 0 && w.P95 > c.startLimit {
		c.fail(Prompt, "95 of 100 tasks of %d started within %v, want %v", w.Count, w.P95, c.startLimit)
	}
	for id, j := range c.jobs {
		if j.isAccepted && !j.cancelSent && !j.state.Final() {
			c.fail(Kept, "job %s, accepted at %.3fs, is %q at the end; open: %s", id, j.acceptedAt.Seconds(), j.state, c.firstOpenTask(j))
		}
	}
	for id, t := range c.tasks {
		if j := c.jobs[id.Job]; len(t.active) > 0 && j != nil && j.cancelled && c.now > j.cancelledAt+cancelTimeout+stopTimeout {
			c.fail(Cancellation, "%v of a cancelled job runs at the end", id)
		}
	}
}
