package flow

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// State returns the state of a job as reported to callers. It is durable, so that a successor reports no earlier one.
func (m *Machine) State(id fleet.JobID) (infra.State, bool) {
	j := m.jobs[id]
	switch {
	case j == nil:
		return "", false
	case j.cancelled:
		return infra.StateCancelled, true
	default:
		return j.durableState, true
	}
}

// pendingInterval is the maximum age of the numbers of pending jobs. Each entry process asks for them, and counting goes
// through all jobs.
const pendingInterval = 200 * time.Millisecond

// Pending returns the number of live jobs of a queue of which no task has started, as of at most 0.2 s ago.
func (m *Machine) Pending(queue string) int {
	if m.pendingByQueue == nil || m.now.Sub(m.pendingAt) >= pendingInterval {
		m.pendingByQueue, m.pendingAt = make(map[string]int), m.now
		for _, j := range m.jobs {
			if !j.started && j.live() {
				m.pendingByQueue[j.spec.Queue]++
			}
		}
	}
	return m.pendingByQueue[queue]
}

// Counts returns the totals since the scheduler was elected.
func (m *Machine) Counts() Counts { return m.counts }

// Overview is a summary of the scheduler's state for operators.
type Overview struct {
	Token   infra.Token `json:"token"`
	Term    int64       `json:"term"`
	Catalog int64       `json:"catalog_version"`
	// Jobs counts the known jobs by state, and Ready the steps that wait for workers.
	Jobs    map[infra.State]int `json:"jobs"`
	Ready   int                 `json:"ready_steps"`
	Workers int                 `json:"workers"`
	// LongWaits counts the long-running steps that have waited for several seconds.
	LongWaits int `json:"waiting_long_running_steps"`
	// Unreachable, Draining and Resting workers take no new tasks. Resting workers are quarantined or were unhealthy a
	// moment ago.
	Unreachable int `json:"unreachable_workers"`
	Draining    int `json:"draining_workers"`
	Resting     int `json:"resting_workers"`
	// Unsettled workers may run tasks that a predecessor started and this scheduler has not seen yet. Unanswered
	// counts the starts without an answer, and Unsaved the jobs whose progress is not durable.
	Unsettled  int    `json:"unsettled_workers"`
	Unanswered int    `json:"unanswered_starts"`
	Unsaved    int    `json:"unsaved_jobs"`
	Counts     Counts `json:"counts"`
	// Link is the use of the scheduler's link by starts.
	Link LinkUse `json:"link"`
}

// Overview returns a summary of the scheduler's state.
func (m *Machine) Overview() Overview {
	o := Overview{
		Token: m.token, Term: m.term, Jobs: make(map[infra.State]int), Ready: len(m.readySteps), Workers: len(m.workers), LongWaits: m.longWaits,
		Unsettled: len(m.unreconciledWorkers), Unanswered: m.unansweredStarts, Unsaved: len(m.dirtyUnits), Counts: m.counts, Link: m.LinkUse(),
	}
	if m.catalog != nil {
		o.Catalog = m.catalog.Version
	}
	for _, j := range m.jobs {
		o.Jobs[j.state()]++
	}
	for _, w := range m.workersByID {
		switch {
		case !w.reachable:
			o.Unreachable++
		case w.Draining || w.cordoned:
			o.Draining++
		case w.isQuarantined(m.now) || m.now.Before(w.unhealthyUntil):
			o.Resting++
		}
	}
	return o
}

// noReport is the age of the last report of a worker that has sent none.
const noReport = -1

// WorkerView describes a worker for operators. ReportAge is the age of its last report in milliseconds, -1 before its
// first one.
type WorkerView struct {
	Worker   fleet.WorkerID         `json:"worker"`
	Service  string                 `json:"service"`
	Zone     fleet.AvailabilityZone `json:"availability_zone"`
	Capacity fleet.Resources        `json:"capacity"`
	Used     fleet.Resources        `json:"used"`
	// FillerMilliCPU is the processor time that the fillers on the worker reserve, and FillerLoad what they request at
	// their current speed, which is never more.
	FillerMilliCPU int64 `json:"filler_milli_cpu"`
	FillerLoad     int64 `json:"filler_load_milli_cpu"`
	Runs           int   `json:"runs"`
	ReportAge      int64 `json:"report_age_ms"`
	// Speed is the progress of the worker's tasks relative to the usual rate.
	Speed float64 `json:"speed"`
	// UnusableReason is why the worker takes no new tasks; empty if it does.
	UnusableReason string `json:"refuses,omitempty"`
}

// Workers returns all workers sorted by ID.
func (m *Machine) Workers() []WorkerView {
	views := make([]WorkerView, 0, len(m.workersByID))
	for _, w := range m.workersByID {
		views = append(views, WorkerView{
			Worker: w.ID, Service: w.Service, Zone: w.Zone, Capacity: w.Capacity, Used: w.used, FillerMilliCPU: w.fillerCPU,
			FillerLoad: w.totalFillerLoad(), Runs: len(w.runs),
			ReportAge: w.reportAge(m.now), Speed: w.speed, UnusableReason: m.unusableReason(w),
		})
	}
	return views
}

func (w *worker) reportAge(now time.Time) int64 {
	if w.clockAt.IsZero() {
		return noReport
	}
	return now.Sub(w.clockAt).Milliseconds()
}

// totalFillerLoad returns the load of all fillers of a worker in thousandths of a core.
func (w *worker) totalFillerLoad() int64 {
	sum := 0.0
	for _, l := range w.fillerLoad {
		sum += l.amount
	}
	return int64(math.Round(sum))
}

// unusableReason returns why a worker takes no new tasks, or "" if it does.
func (m *Machine) unusableReason(w *worker) string {
	switch {
	case !w.listed:
		return "not listed"
	case w.restartedSinceListing:
		return "not listed since its restart"
	case !w.reachable:
		return "not reachable"
	case w.Draining:
		return "drains"
	case w.cordoned:
		return "is taken out of service"
	case !w.tokenAccepted || !w.hasAnswered || w.clock == 0:
		return "has not answered this scheduler yet"
	case !w.inStoredRoster:
		return "not in the stored roster yet"
	case !w.leadershipConfirmed:
		return "first held while the store was silent"
	case w.isQuarantined(m.now):
		return "rests because its tasks failed or stood still"
	case m.now.Before(w.unhealthyUntil):
		return "was unhealthy or left an order unanswered"
	case w.unknownSizes > 0:
		return "runs a task of an unknown job"
	default:
		return ""
	}
}

// JobView describes a job for operators. Slack is the time left in milliseconds until the objective of its first
// open occurrence can no longer be met.
type JobView struct {
	Job   fleet.JobID `json:"job"`
	Queue string      `json:"queue"`
	State infra.State `json:"state"`
	// DurableState is the state reported to callers.
	DurableState infra.State `json:"durable_state"`
	Age          int64       `json:"age_ms"`
	Slack        int64       `json:"slack_ms"`
	Steps        []StepView  `json:"steps"`
	// OmittedSteps counts the incomplete steps after those in Steps.
	OmittedSteps int `json:"omitted_steps,omitempty"`
}

// StepView describes a step of an occurrence that is not complete.
type StepView struct {
	Occurrence int64 `json:"occurrence"`
	Step       int   `json:"step"`
	Waiting    int   `json:"waiting"`
	Active     int   `json:"active"`
	Done       int   `json:"done"`
	Failed     int   `json:"failed_runs"`
	// BlockedReason is why the step cannot run yet. WorkersByReason counts the workers of the step's service by why
	// they cannot take a waiting task.
	BlockedReason   string         `json:"blocked,omitempty"`
	WorkersByReason map[string]int `json:"workers,omitempty"`
	Runs            []RunView      `json:"runs,omitempty"`
	// OmittedRuns counts the runs after those in Runs.
	OmittedRuns int `json:"omitted_runs,omitempty"`
}

// RunView describes a run of a task. Age is in milliseconds.
type RunView struct {
	Index   int            `json:"index"`
	Run     infra.Run      `json:"run"`
	Worker  fleet.WorkerID `json:"worker"`
	State   string         `json:"state"`
	Percent int            `json:"percent"`
	Age     int64          `json:"age_ms"`
}

// runStateNames are the names of the run states for operators.
var runStateNames = map[runState]string{starting: "starting", running: "running", stopping: "stopping", fencing: "fencing"}

// Job returns a job with its incomplete steps and the reasons why they wait. It returns false for an unknown job.
func (m *Machine) Job(id fleet.JobID) (JobView, bool) {
	j := m.jobs[id]
	if j == nil {
		return JobView{}, false
	}
	durable, _ := m.State(id)
	v := JobView{
		Job: id, Queue: j.spec.Queue, State: j.state(), DurableState: durable, Age: m.now.Sub(j.arrivedAt).Milliseconds(),
	}
	for k, n := range slices.Sorted(maps.Keys(j.occurrences)) {
		o := j.occurrences[n]
		if k == 0 {
			total, remaining := m.criticalPath(o)
			v.Slack = (j.arrivedAt.Add(j.objective(total)).Sub(m.now) - remaining).Milliseconds()
		}
		if n >= j.createdOccurrences {
			break
		}
		for i := range o.steps {
			s := &o.steps[i]
			switch {
			case s.complete() || !j.live():
			case len(v.Steps) == maxViewSteps:
				v.OmittedSteps++
			default:
				v.Steps = append(v.Steps, m.viewStep(o, i, s))
			}
		}
	}
	return v, true
}

// maxViewSteps and maxViewRuns limit the steps in the view of a job, and the runs in that of a step, which are computed between two events
// of the scheduler.
const (
	maxViewSteps = 32
	maxViewRuns  = 256
)

func (m *Machine) viewStep(o *occurrence, index int, s *step) StepView {
	v := StepView{
		Occurrence: o.number, Step: index, Waiting: s.waiting, Done: s.done, Active: s.tasks.len() - s.waiting - s.done,
	}
	for i, t := range s.tasks.allocated() {
		v.Failed += len(t.failedRuns)
		for _, r := range t.runs {
			if len(v.Runs) == maxViewRuns {
				v.OmittedRuns++
				continue
			}
			v.Runs = append(v.Runs, RunView{
				Index: i, Run: r.number, Worker: r.worker.ID, State: runStateNames[r.state], Percent: r.percent,
				Age: m.now.Sub(r.startedAt).Milliseconds(),
			})
		}
	}
	if s.waiting == 0 {
		return v
	}
	ready := m.readySteps[s]
	switch {
	case !o.released(index):
		v.BlockedReason = "earlier steps are not done"
	case ready == nil:
		v.BlockedReason = "not released"
	case m.mayAllRunUnseen(ready):
		v.BlockedReason = "workers of previous schedulers have not answered yet: " + m.waitSummary()
	default:
		m.setRank(ready)
		v.WorkersByReason = m.placementObstacles(ready)
	}
	return v
}

// placementObstacles counts the workers of a step's service by why they cannot take a task of it. Workers that can are
// counted under "has room"; the step then waits for its turn in rank order.
func (m *Machine) placementObstacles(r *readyStep) map[string]int {
	counts := make(map[string]int)
	spec := &r.step.spec
	for _, w := range m.workersByID {
		reason := m.unusableReason(w)
		if w.isQuarantined(m.now) && w.usable(m.now) && m.isOverdue(r) {
			reason = ""
		}
		switch {
		case w.Service != r.queue.Service:
			continue
		case reason != "":
		case !spec.Reserved().Fits(w.free()):
			reason = "no room for its size"
		case w.isSlow(spec):
			reason = "is slow"
		case spec.Filler && w.spareMilliCPU() < spec.Size.MilliCPU:
			reason = "no processor time to spare"
		case spec.Filler && !m.acceptsFiller(w, spec):
			reason = "serving tasks would miss their target"
		case spec.Label != "" && !w.hasLabel(spec.Label):
			reason = "lacks the label"
		case spec.MaxPerWorker > 0 && r.step.runsPerWorker[w.ID] >= spec.MaxPerWorker:
			reason = "runs as many tasks of the step as allowed"
		default:
			reason = "has room"
		}
		counts[reason]++
	}
	return counts
}

const (
	// summaryInterval is the interval between two summaries of the waiting tasks and of the fillers.
	summaryInterval = 2 * time.Second
	// maxSummaryQueues limits the lines of a summary. The queues whose tasks rank highest are included.
	maxSummaryQueues = 16
)

// logSummary logs, for queues with waiting tasks, how many there are and why the workers cannot take the first of
// them, and for all workers the processor time that fillers reserve and request. The lines show afterwards why the
// tasks of a queue waited, which the views show only at the time.
func (m *Machine) logSummary() {
	if m.catalog == nil || m.now.Sub(m.summarizedAt) < summaryInterval {
		return
	}
	m.summarizedAt = m.now
	type backlog struct {
		first        *readyStep
		steps, tasks int
	}
	backlogs := make(map[string]*backlog)
	for _, r := range m.rankedSteps {
		if r.removed || r.step.waiting == 0 {
			continue
		}
		b := backlogs[r.queue.Name]
		if b == nil && len(backlogs) >= maxSummaryQueues {
			continue
		}
		if b == nil {
			b = &backlog{first: r}
			backlogs[r.queue.Name] = b
		}
		b.steps++
		b.tasks += r.step.waiting
	}
	for _, queue := range slices.Sorted(maps.Keys(backlogs)) {
		b := backlogs[queue]
		m.emit(Log{Text: "tasks waiting", Reason: fmt.Sprintf("queue %s: %d tasks of %d steps; %s reserved; workers: %s",
			queue, b.tasks, b.steps, m.reservedShares(b.first.queue.Service), formatCounts(m.placementObstacles(b.first)))})
	}
	m.logHeldBack()
	var reserved, load int64
	paused, fillers := 0, 0
	for _, w := range m.workersByID {
		if w.fillerCPU == 0 {
			continue
		}
		reserved += w.fillerCPU
		load += w.totalFillerLoad()
		for _, r := range w.runsByTask {
			if r.fillerCPU == 0 {
				continue
			}
			fillers++
			if r.speedPercent == 0 {
				paused++
			}
		}
	}
	if fillers > 0 {
		m.emit(Log{Text: "fillers", Reason: fmt.Sprintf("%d running, %d of them paused; they reserve %dm and request %dm", fillers, paused, reserved, load)})
	}
}

// logHeldBack logs how many due occurrences wait until others of their jobs have started or ended.
func (m *Machine) logHeldBack() {
	jobs, occurrences := 0, int64(0)
	for _, j := range m.scheduledJobs {
		if held := m.heldBackOccurrences(j); held > 0 {
			jobs++
			occurrences += held
		}
	}
	if jobs > 0 {
		m.emit(Log{Text: "due occurrences are not created yet", Reason: fmt.Sprintf("%d of %d jobs", occurrences, jobs)})
	}
}

// reservedShares formats the shares of a service's capacity that its tasks reserve. The processor time of fillers is not
// reserved.
func (m *Machine) reservedShares(service string) string {
	var used, capacity fleet.Resources
	for _, w := range m.workersByID {
		if w.Service == service {
			used, capacity = used.Add(w.used), capacity.Add(w.Capacity)
		}
	}
	percent := func(used, capacity int64) int64 { return 100 * used / max(1, capacity) }
	return fmt.Sprintf("%d %% of the processors and %d %% of the memory",
		percent(used.MilliCPU, capacity.MilliCPU), percent(used.MemoryBytes, capacity.MemoryBytes))
}

// formatCounts formats counts by name, the highest first.
func formatCounts(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(-cmp.Compare(counts[a], counts[b]), cmp.Compare(a, b))
	})
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%d %s", counts[name], name))
	}
	return strings.Join(parts, ", ")
}

// Counts are totals since the scheduler was elected. Lost counts unanswered starts that were not carried out, Vanished
// runs that disappeared from a worker without an end, Stalled runs without progress or with slow progress, Paced
// changes of the speed of fillers, Copied copies of speculative tasks, Crashes workers whose process ended while they
// had runs, Trials starts of tasks that are suspected of a crash, and GivenUp jobs that failed because a task crashes its
// workers. Relayed counts the starts that relays have sent, and RelayFailures those that their relay has not answered for. OtherLife
// counts the starts that another life of their worker than the one meant has carried out, and MissingEnds the ends that such a life
// has dropped before it reported them, because a call for another life acknowledged them. Examined counts how often a worker was considered for a task, which is most of the work of placement, and
// Estimates how often the critical path and the work of an occurrence were computed.
type Counts struct {
	Starts, Refused, Lost, Done, Failed, Stopped, Vanished, Stalled, Paced, Copied, Crashes, TakenBack, Trials, GivenUp, Relayed, RelayFailures, OtherLife, MissingEnds, Examined, Estimates int64
}
