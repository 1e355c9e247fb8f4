package flow

import (
	"cmp"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

const (
	// clockSlack is how much slower than steady time a worker's clock may run, by the platform's promise.
	clockSlack = 0.02
	// clockMargin covers the rounding of worker clocks to milliseconds and the end of a killed run.
	clockMargin = 100 * time.Millisecond
)

// runState is what is known of a run at a worker.
type runState uint8

const (
	// starting means that the start has no answer yet, or none that tells.
	starting runState = iota
	// running means that the worker has confirmed the run.
	running
	// stopping means that a stop is on its way.
	stopping
	// fencing means that the run may still start in a later life of the worker, until that life has taken a stop.
	fencing
)

// run is one start of a task at a worker; it holds capacity until its end is known.
type run struct {
	id      infra.TaskID
	number  infra.Run
	worker  *worker
	step    *step
	occ     *occurrence
	state   runState
	size    fleet.Resources
	filler  int64
	since   time.Time
	percent int
	// mark is the percent of the last measurement of progress, at markAt, and still how long there has been none.
	mark   int
	markAt time.Time
	still  time.Duration
	figure float64
	// deadline is the worker's clock after which the start can no longer happen.
	deadline int64
	// confirmed is the worker's clock at which the run was present.
	confirmed int64
	// listed is the same for the last report that listed the run.
	listed int64
	stopAt time.Time
	reason string
	// atypical runs were resumed from a checkpoint or slowed down, so that their time tells nothing of others.
	atypical bool
	// lost is set when the start had no answer.
	lost bool
	// pace is the share of its full speed at which a filler works, in percent.
	pace int
	// learnt is the last figure that was learnt from, and when.
	learnt   float64
	learntAt time.Time
	// slack is the smoothed target / tail of a serving task, and over is when it fell below 1.
	slack float64
	over  time.Time
}

func compareRuns(a, b *run) int {
	return cmp.Or(
		cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Occurrence, b.id.Occurrence),
		cmp.Compare(a.id.Step, b.id.Step), cmp.Compare(a.id.Index, b.id.Index),
	)
}

// worker is one life of a worker.
type worker struct {
	infra.Worker
	listed bool
	// enrolled workers are in the stored roster, so that a later scheduler knows that tasks may run there.
	enrolled bool
	// fenced workers have answered under this scheduler's token.
	fenced bool
	// trusted workers were fenced while the store confirmed this scheduler. A successor takes a worker that has started again
	// for one on which nothing of a former scheduler runs, so that no task may be started on other ones.
	trusted bool
	// reachable is whether the last call of a hold was answered.
	reachable bool
	refusals  int
	// clockAt is when the worker's clock was clock, in milliseconds.
	clockAt time.Time
	clock   int64
	// leaseEnd is the latest end of lease on the worker's clock that any order can have set.
	leaseEnd int64

	used   fleet.Resources
	filler int64
	// serving counts the runs with a tail latency target, by step, and images by image; reserves is the processor time that
	// they reserve.
	serving  map[*step]int
	images   map[string]int
	reserves int64
	// fillers is the share of the processors that fillers ask for, by image, and settled the same as it shows in the tails.
	fillers   map[string]float64
	settled   map[string]float64
	settledAt time.Time
	runs      map[infra.TaskID]*run
	// sorted lists the runs by task, so that a run of the scheduler repeats.
	sorted []*run

	seen    int64
	durable int64
	// unsaved is the place among the jobs to be saved that makes the ends up to seen durable; 0 if none is needed.
	unsaved int64
	// tolerance holds what the serving images on the worker tolerate, as of toleratedAt, unless a run has changed since.
	tolerance   []tolerance
	tolerated   bool
	toleratedAt time.Time

	holding bool
	holds   int64
	holdAt  time.Time

	// failed, by job, and ends decay; a worker at which most runs fail takes no new ones.
	failed  map[fleet.JobID]float64
	ends    float64
	decayAt time.Time
	// restUntil keeps new work away after the worker was found to fail or to stand still.
	restUntil time.Time
	// speed is the share of the usual speed at which tasks progress here; it fades towards 1.
	speed   float64
	speedAt time.Time

	unhealthyUntil time.Time
	// cordoned workers take no new tasks, because their machine is to be taken down at leavesAt; vacated is set once that has
	// been reported.
	cordoned bool
	vacated  bool
	// leavesAt is the earliest time at which a draining worker leaves; zero if it is not known.
	leavesAt    time.Time
	evacuatedAt time.Time
	// lookedAt is when a report was last asked for at once.
	lookedAt time.Time
	// relievedAt is when fillers were last moved away from serving tasks.
	relievedAt time.Time
}

func (w *worker) address() infra.AgentAddress {
	return infra.AgentAddress{Worker: w.ID, HostPort: w.Worker.Address}
}

// rack returns the label that names the worker's rack: the last one.
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

// usable reports whether new tasks may be started on the worker.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.enrolled && w.trusted && w.reachable && !w.Draining && !w.cordoned && w.clock > 0 && !now.Before(w.restUntil) && !now.Before(w.unhealthyUntil)
}

func (w *worker) free() fleet.Resources { return w.Capacity.Sub(w.used) }

// estimate returns the worker's clock at now, which may be ahead of the true one by the clock's slack.
func (w *worker) estimate(now time.Time) int64 {
	return w.clock + now.Sub(w.clockAt).Milliseconds()
}

// least returns the least that the worker's clock can show at now.
func (w *worker) least(now time.Time) int64 {
	elapsed := float64(now.Sub(w.clockAt)-clockMargin) * (1 - clockSlack)
	return w.clock + time.Duration(elapsed).Milliseconds()
}

// lapsed reports whether the lease of everything on the worker has certainly ended.
func (w *worker) lapsed(now time.Time) bool {
	return w.clock > 0 && w.least(now) > w.leaseEnd
}

func (w *worker) observeClock(now time.Time, clock int64) {
	if clock >= w.clock {
		w.clock, w.clockAt = clock, now
	}
}

func (w *worker) add(now time.Time, r *run) {
	w.runs[r.id] = r
	at, _ := slices.BinarySearchFunc(w.sorted, r, compareRuns)
	w.sorted = slices.Insert(w.sorted, at, r)
	w.used = w.used.Add(r.size)
	w.count(now, r, 1)
}

func (w *worker) remove(now time.Time, r *run) {
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	w.sorted = slices.DeleteFunc(w.sorted, func(o *run) bool { return o == r })
	w.used = w.used.Sub(r.size)
	w.count(now, r, -1)
}

// count adds or takes away what a run does to its neighbours.
func (w *worker) count(now time.Time, r *run, sign int) {
	w.tolerated = false
	if r.filler > 0 {
		w.settle(now)
	}
	w.filler += int64(sign) * r.filler
	if r.filler > 0 {
		image := r.step.spec.Image
		w.fillers[image] += float64(sign) * w.share(r.filler) * r.speed()
		if w.fillers[image] < minShare {
			delete(w.fillers, image)
		}
	}
	if r.serves() {
		image := r.step.spec.Image
		w.images[image] += sign
		if w.images[image] == 0 {
			delete(w.images, image)
		}
		w.serving[r.step] += sign
		if w.serving[r.step] == 0 {
			delete(w.serving, r.step)
		}
		w.reserves += int64(sign) * r.size.MilliCPU
	}
}

// fullPace is the pace of a run that is not slowed down, in percent.
const fullPace = 100

// speed returns the share of its full speed at which a run works, and disturbs others.
func (r *run) speed() float64 { return float64(r.pace) / fullPace }

// minShare is below the share of any task; what is less comes from rounding.
const minShare = 1e-6

// share returns processor time as a part of the worker's.
func (w *worker) share(milliCPU int64) float64 {
	return float64(milliCPU) / float64(max(1, w.Capacity.MilliCPU))
}

// serves reports whether the run has a tail latency target.
func (r *run) serves() bool { return r.step != nil && serves(&r.step.spec) }

func serves(s *infra.Step) bool { return s.TailTarget > 0 }
