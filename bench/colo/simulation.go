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
	// Night is the default virtual time of a run.
	DefaultHorizon = 4 * time.Hour

	stepInterval   = 10 * time.Second
	checkpointTime = time.Second
	restartTime    = 15 * time.Second
	// maxAttempts is the default of a job.
	maxAttempts = 5
	// tries bounds the placements tried of one kind in a step after the first that found no room.
	maxFailedPlacements = 1
	// baseLoad and highLoad are the utilisations of service replicas before and after the load shifts.
	baseLoad = 0.35
	highLoad = 0.55
	// offered is the batch work offered over the processor time that the services leave.
	batchLoad      = 0.9
	overnightShare = 0.6
)

// run is one run of one variant.
type simulation struct {
	loop              *event.Loop
	random            *rand.Rand
	noise             *rand.Rand
	site              Site
	scenario          Scenario
	kinds             []kind
	interference      [][]float64
	placer            *place.Machine
	workers           map[fleet.WorkerID]*fakeWorker
	workerList        []*fakeWorker
	waiting           [][]*task // by kind, oldest first
	running           map[plat.TaskRef]*task
	awaitingEvictions []*task // wait for evictions
	submitted         int
	load              float64
	results           results
	horizon           time.Duration
}

// newRun draws all random choices of the workload from the seed alone, so that each variant meets the same one.
func newSimulation(site Site, sc Scenario, v Variant, seed uint64, horizon time.Duration) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	r := &simulation{
		loop: event.New(), random: random, noise: rand.New(rand.NewPCG(seed, 2)),
		site: site, scenario: sc, kinds: site.withTrueSizes(sc, random), interference: drawInterference(len(site.kinds), random),
		placer: place.New(v.policy, v.opts...), workers: map[fleet.WorkerID]*fakeWorker{},
		running: map[plat.TaskRef]*task{}, load: baseLoad, horizon: horizon,
	}
	r.waiting = make([][]*task, len(r.kinds))
	for i := range site.workers {
		w := &fakeWorker{Worker: fleet.Worker{
			ID: fleet.WorkerID(fmt.Sprintf("w%03d", i)), State: fleet.HostLive, Capacity: site.capacity,
			Rack: fleet.RackID(fmt.Sprintf("r%d", i/site.rackSize)), Zone: fleet.AvailabilityZone(fmt.Sprintf("z%d", i%site.zones)),
		}}
		r.workers[w.ID] = w
		r.workerList = append(r.workerList, w)
		r.placer.Step(r.loop.Now(), place.WorkerUpdated{Worker: w.Worker})
	}
	return r
}

func (r *simulation) simulate() results {
	for i, k := range r.kinds {
		for range k.replicas {
			r.submit(i, false)
		}
	}
	r.submitBatch()
	r.loop.Every(stepInterval, r.step)
	if r.scenario.loadShift {
		r.loop.After(r.horizon/2, r.shiftLoad)
	}
	r.loop.Run(r.horizon)
	return r.results
}

// spare returns the processor time that the services leave, in milli-core seconds over the horizon.
func (r *simulation) spareCPU() float64 {
	total := float64(r.site.workers) * float64(r.site.capacity.MilliCPU)
	for _, k := range r.kinds {
		total -= float64(k.replicas) * float64(k.declared.MilliCPU) * k.cpuRatio
	}
	return max(total, 0) * r.horizon.Seconds()
}

// submitBatch submits the overnight work at once and lets the rest arrive over the horizon.
func (r *simulation) submitBatch() {
	for i, k := range r.kinds {
		if k.replicas > 0 {
			continue
		}
		cpu, _ := r.trueSize(k, 1, 1)
		work := batchLoad * k.workShare * r.spareCPU() / (cpu * k.runTime.Seconds())
		for range int(overnightShare * work) {
			r.submit(i, true)
		}
		if rest := (1 - overnightShare) * work; rest >= 1 {
			r.scheduleArrivals(i, time.Duration(float64(r.horizon)/rest))
		}
	}
}

func (r *simulation) scheduleArrivals(kind int, mean time.Duration) {
	r.loop.After(time.Duration(r.random.ExpFloat64()*float64(mean)), func() {
		r.submit(kind, false)
		r.scheduleArrivals(kind, mean)
	})
}

// shift raises the load of the services, adds replicas, and starts a burst of the last kind.
func (r *simulation) shiftLoad() {
	r.load = highLoad
	for i, k := range r.kinds {
		for range k.replicas / 4 {
			r.submit(i, false)
		}
	}
	for range 4 * r.site.workers {
		r.submit(len(r.kinds)-1, false)
	}
}

// trueSize returns what a task uses; no single task can use more than most of a worker.
func (r *simulation) trueSize(k kind, cpuNoise, memoryNoise float64) (cpu, memory float64) {
	cpu = min(float64(k.declared.MilliCPU)*k.cpuRatio*cpuNoise, 0.8*float64(r.site.capacity.MilliCPU))
	memory = min(float64(k.declared.MemoryBytes)*k.memoryRatio*memoryNoise, 0.8*float64(r.site.capacity.MemoryBytes))
	return cpu, memory
}

func (r *simulation) submit(kind int, overnight bool) {
	r.submitted++
	k := r.kinds[kind]
	cpu, memory := r.trueSize(k, 0.8+0.4*r.random.Float64(), 0.8+0.4*r.random.Float64())
	t := &task{
		kind: kind, cpu: cpu, memory: memory, remaining: k.runTime, checkpointed: k.runTime, overnight: overnight,
		submittedAt: r.loop.Now(), throttlePermille: 1000, slowdown: 1,
		spec: place.Task{
			Ref:  plat.TaskRef{Task: fleet.TaskID(fmt.Sprintf("%s-%d/%d", k.name, r.submitted/50, r.submitted)), Attempt: 1},
			Kind: k.name, Class: k.class, Resources: k.declared,
		},
	}
	if overnight {
		r.results.overnightTasks++
	}
	r.waiting[kind] = append(r.waiting[kind], t)
}

// step advances the tasks, takes reports, and places what waits.
func (r *simulation) step() {
	for _, w := range r.workerList {
		r.advanceWorker(w)
	}
	for _, w := range r.workerList {
		r.sendReport(w)
	}
	r.applyEffects(r.placer.Step(r.loop.Now(), place.Tick{}))
	for _, class := range fleet.Classes {
		for i, k := range r.kinds {
			if k.class == class {
				r.placeWaiting(i)
			}
		}
	}
}

func (r *simulation) advanceWorker(w *fakeWorker) {
	w.updateSlowdowns(r.interference)
	for t := w.memoryVictim(); t != nil; t = w.memoryVictim() {
		r.killForMemory(t)
	}
	for _, t := range slices.Clone(w.tasks) {
		if r.kinds[t.kind].replicas > 0 {
			r.results.sampleLatencies(r.noise, r.load, t.slowdown)
			continue
		}
		done := time.Duration(float64(stepInterval) * float64(t.throttlePermille) / 1000 / t.slowdown)
		t.remaining -= done
		if t.remaining <= 0 {
			r.finishTask(t)
		}
	}
	cpu, _ := w.usage()
	r.results.recordUsage(cpu, float64(w.Capacity.MilliCPU))
}

// sendReport delivers a report late, and sometimes twice.
func (r *simulation) sendReport(w *fakeWorker) {
	report := w.report(r.loop.Now(), r.noise)
	deliver := func() { r.applyEffects(r.placer.Step(r.loop.Now(), report)) }
	r.loop.After(time.Duration(5+r.noise.IntN(25))*time.Second, deliver)
	if r.noise.IntN(20) == 0 {
		r.loop.After(time.Duration(5+r.noise.IntN(60))*time.Second, deliver)
	}
}

func (r *simulation) placeWaiting(kind int) {
	failed := 0
	for failed < maxFailedPlacements && len(r.waiting[kind]) > 0 {
		t := r.waiting[kind][0]
		d, err := r.placer.Place(r.loop.Now(), t.spec)
		if err != nil {
			failed++
			continue
		}
		r.waiting[kind] = r.waiting[kind][1:]
		r.startTask(t, d)
	}
}

// begin starts a task, after the evictions that its decision asks for.
func (r *simulation) startTask(t *task, d place.Decision) {
	t.worker, t.throttlePermille = r.workers[d.Worker], 1000
	t.evictionsPending = map[plat.TaskRef]bool{}
	for _, ref := range d.Evict {
		if victim := r.running[ref]; victim != nil {
			t.evictionsPending[ref] = true
			r.evict(victim)
		}
	}
	r.running[t.spec.Ref] = t
	if !r.startIfReady(t) {
		r.awaitingEvictions = append(r.awaitingEvictions, t)
	}
}

// startIfReady starts a task unless evictions that it waits for have not ended.
func (r *simulation) startIfReady(t *task) bool {
	if len(t.evictionsPending) > 0 {
		return false
	}
	t.worker.tasks = append(t.worker.tasks, t)
	r.placer.Step(r.loop.Now(), place.Started{TaskRef: t.spec.Ref, Worker: t.worker.ID})
	if t.spec.Class == fleet.Urgent {
		r.results.recordStart(r.loop.Now().Sub(t.submittedAt))
	}
	return true
}
