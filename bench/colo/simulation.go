package colo

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lovagefork.example/bench/event"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/place"
	"lovagefork.example/coord/plat"
)

const (
	// DefaultHorizon is the default duration of a run in virtual time.
	DefaultHorizon = 4 * time.Hour

	stepInterval   = 10 * time.Second
	checkpointTime = time.Second
	restartTime    = 15 * time.Second
	// maxAttempts is the default limit of a job.
	maxAttempts = 5
	// maxFailedPlacements is the number of failed placements of one kind after which a step stops placing that kind.
	maxFailedPlacements = 1
	// baseLoad and highLoad are the utilizations of service replicas before and after the load shift.
	baseLoad = 0.35
	highLoad = 0.55
	// batchLoad is the submitted batch work divided by the processor time not used by services. overnightShare is the
	// part of it that is submitted at the start.
	batchLoad      = 0.9
	overnightShare = 0.6
)

// simulation is one run of one variant.
type simulation struct {
	loop                   *event.Loop
	workloadRNG            *rand.Rand // draws the workload
	measurementRNG         *rand.Rand // draws request latencies and the errors, delays and repetitions of reports
	site                   Site
	scenario               Scenario
	kinds                  []kind
	interference           [][]float64
	placer                 *place.Machine
	workers                map[fleet.WorkerID]*fakeWorker
	workerList             []*fakeWorker
	waitingTasks           [][]*task // by kind, oldest first
	runningTasks           map[plat.TaskRef]*task
	tasksAwaitingEvictions []*task // started after evictions
	submittedCount         int     // number of submitted tasks
	load                   float64
	results                results
	horizon                time.Duration
}

// newSimulation returns a simulation with idle workers. The workload depends only on site, scenario, seed and horizon,
// so that all variants get the same one.
func newSimulation(site Site, sc Scenario, v Variant, seed uint64, horizon time.Duration) *simulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	sim := &simulation{
		loop: event.New(), workloadRNG: rng, measurementRNG: rand.New(rand.NewPCG(seed, 2)),
		site: site, scenario: sc, kinds: site.withTrueSizes(sc, rng), interference: drawInterference(len(site.kinds), rng),
		placer: place.New(v.policy, v.opts...), workers: map[fleet.WorkerID]*fakeWorker{},
		runningTasks: map[plat.TaskRef]*task{}, load: baseLoad, horizon: horizon,
	}
	sim.waitingTasks = make([][]*task, len(sim.kinds))
	for i := range site.workers {
		w := &fakeWorker{Worker: fleet.Worker{
			ID: fleet.WorkerID(fmt.Sprintf("w%03d", i)), State: fleet.HostLive, Capacity: site.capacity,
			Rack: fleet.RackID(fmt.Sprintf("r%d", i/site.rackSize)), Zone: fleet.AvailabilityZone(fmt.Sprintf("z%d", i%site.zones)),
		}}
		sim.workers[w.ID] = w
		sim.workerList = append(sim.workerList, w)
		sim.placer.Step(sim.loop.Now(), place.WorkerUpdated{Worker: w.Worker})
	}
	return sim
}

func (sim *simulation) run() results {
	for i, k := range sim.kinds {
		for range k.replicas {
			sim.submit(i, false)
		}
	}
	sim.submitBatch()
	sim.loop.Every(stepInterval, sim.step)
	if sim.scenario.loadShift {
		sim.loop.After(sim.horizon/2, sim.shiftLoad)
	}
	sim.loop.Run(sim.horizon)
	return sim.results
}

// spareCPU returns the processor time not used by services over the horizon, in milli-core seconds.
func (sim *simulation) spareCPU() float64 {
	total := float64(sim.site.workers) * float64(sim.site.capacity.MilliCPU)
	for _, k := range sim.kinds {
		total -= float64(k.replicas) * float64(k.declaredSize.MilliCPU) * k.cpuRatio
	}
	return max(total, 0) * sim.horizon.Seconds()
}

// submitBatch submits the overnight work immediately and schedules the arrivals of the rest over the horizon.
func (sim *simulation) submitBatch() {
	for i, k := range sim.kinds {
		if k.replicas > 0 {
			continue
		}
		cpu, _ := sim.trueSize(k, 1, 1)
		work := batchLoad * k.workShare * sim.spareCPU() / (cpu * k.runTime.Seconds())
		for range int(overnightShare * work) {
			sim.submit(i, true)
		}
		if rest := (1 - overnightShare) * work; rest >= 1 {
			sim.scheduleArrivals(i, time.Duration(float64(sim.horizon)/rest))
		}
	}
}

// scheduleArrivals submits tasks of a kind as a Poisson process with the given mean interval.
func (sim *simulation) scheduleArrivals(kind int, mean time.Duration) {
	sim.loop.After(time.Duration(sim.workloadRNG.ExpFloat64()*float64(mean)), func() {
		sim.submit(kind, false)
		sim.scheduleArrivals(kind, mean)
	})
}

// shiftLoad raises the load of the services, adds replicas and submits a burst of tasks of the last kind.
func (sim *simulation) shiftLoad() {
	sim.load = highLoad
	for i, k := range sim.kinds {
		for range k.replicas / 4 {
			sim.submit(i, false)
		}
	}
	for range 4 * sim.site.workers {
		sim.submit(len(sim.kinds)-1, false)
	}
}

// trueSize returns the actual processor and memory use of a task, at most 80 % of a worker each.
func (sim *simulation) trueSize(k kind, cpuNoise, memoryNoise float64) (cpu, memory float64) {
	cpu = min(float64(k.declaredSize.MilliCPU)*k.cpuRatio*cpuNoise, 0.8*float64(sim.site.capacity.MilliCPU))
	memory = min(float64(k.declaredSize.MemoryBytes)*k.memoryRatio*memoryNoise, 0.8*float64(sim.site.capacity.MemoryBytes))
	return cpu, memory
}

func (sim *simulation) submit(kind int, overnight bool) {
	sim.submittedCount++
	k := sim.kinds[kind]
	cpu, memory := sim.trueSize(k, 0.8+0.4*sim.workloadRNG.Float64(), 0.8+0.4*sim.workloadRNG.Float64())
	t := &task{
		kind: kind, cpu: cpu, memory: memory, remainingTime: k.runTime, remainingAtCheckpoint: k.runTime, overnight: overnight,
		submittedAt: sim.loop.Now(), throttlePermille: 1000, slowdown: 1,
		spec: place.Task{
			Ref:  plat.TaskRef{Task: fleet.TaskID(fmt.Sprintf("%s-%d/%d", k.name, sim.submittedCount/50, sim.submittedCount)), Attempt: 1},
			Kind: k.name, Class: k.class, Resources: k.declaredSize,
		},
	}
	if overnight {
		sim.results.overnightTasks++
	}
	sim.waitingTasks[kind] = append(sim.waitingTasks[kind], t)
}

// step advances the tasks, sends the reports of all workers and places waiting tasks, the most urgent class first.
func (sim *simulation) step() {
	for _, w := range sim.workerList {
		sim.advanceWorker(w)
	}
	for _, w := range sim.workerList {
		sim.sendReport(w)
	}
	sim.applyEffects(sim.placer.Step(sim.loop.Now(), place.Tick{}))
	for _, class := range fleet.Classes {
		for i, k := range sim.kinds {
			if k.class == class {
				sim.placeWaiting(i)
			}
		}
	}
}

func (sim *simulation) advanceWorker(w *fakeWorker) {
	w.updateSlowdowns(sim.interference)
	for t := w.memoryVictim(); t != nil; t = w.memoryVictim() {
		sim.killForMemory(t)
	}
	for _, t := range slices.Clone(w.tasks) {
		if sim.kinds[t.kind].replicas > 0 {
			sim.results.sampleLatencies(sim.measurementRNG, sim.load, t.slowdown)
			continue
		}
		progress := time.Duration(float64(stepInterval) * float64(t.throttlePermille) / 1000 / t.slowdown)
		t.remainingTime -= progress
		if t.remainingTime <= 0 {
			sim.finishTask(t)
		}
	}
	cpu, _ := w.usage()
	sim.results.recordUsage(cpu, float64(w.Capacity.MilliCPU))
}

// sendReport delivers a report with a delay, and one in twenty on average a second time.
func (sim *simulation) sendReport(w *fakeWorker) {
	report := w.report(sim.loop.Now(), sim.measurementRNG)
	deliver := func() { sim.applyEffects(sim.placer.Step(sim.loop.Now(), report)) }
	sim.loop.After(time.Duration(5+sim.measurementRNG.IntN(25))*time.Second, deliver)
	if sim.measurementRNG.IntN(20) == 0 {
		sim.loop.After(time.Duration(5+sim.measurementRNG.IntN(60))*time.Second, deliver)
	}
}

func (sim *simulation) placeWaiting(kind int) {
	failed := 0
	for failed < maxFailedPlacements && len(sim.waitingTasks[kind]) > 0 {
		t := sim.waitingTasks[kind][0]
		d, err := sim.placer.Place(sim.loop.Now(), t.spec)
		if err != nil {
			failed++
			continue
		}
		sim.waitingTasks[kind] = sim.waitingTasks[kind][1:]
		sim.startTask(t, d)
	}
}

// startTask starts a placed task after the evictions that the decision requires.
func (sim *simulation) startTask(t *task, d place.Decision) {
	t.worker, t.throttlePermille = sim.workers[d.Worker], 1000
	t.pendingEvictions = map[plat.TaskRef]bool{}
	for _, ref := range d.Evict {
		if victim := sim.runningTasks[ref]; victim != nil {
			t.pendingEvictions[ref] = true
			sim.evict(victim)
		}
	}
	sim.runningTasks[t.spec.Ref] = t
	if !sim.startIfReady(t) {
		sim.tasksAwaitingEvictions = append(sim.tasksAwaitingEvictions, t)
	}
}

// startIfReady starts a task if none of its evictions is pending, and reports whether it did.
func (sim *simulation) startIfReady(t *task) bool {
	if len(t.pendingEvictions) > 0 {
		return false
	}
	t.worker.tasks = append(t.worker.tasks, t)
	sim.placer.Step(sim.loop.Now(), place.Started{TaskRef: t.spec.Ref, Worker: t.worker.ID})
	if t.spec.Class == fleet.Urgent {
		sim.results.recordStart(sim.loop.Now().Sub(t.submittedAt))
	}
	return true
}
