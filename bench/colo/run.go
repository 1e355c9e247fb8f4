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

	stepTime   = 10 * time.Second
	checkpoint = time.Second
	restart    = 15 * time.Second
	// maxAttempts is the default of a job.
	maxAttempts = 5
	// tries bounds the placements tried of one kind in a step after the first that found no room.
	tries = 1
	// baseLoad and highLoad are the utilisations of service replicas before and after the load shifts.
	baseLoad = 0.35
	highLoad = 0.55
	// offered is the batch work offered over the processor time that the services leave.
	offered   = 0.9
	overnight = 0.6
)

// run is one run of one variant.
type run struct {
	loop     *event.Loop
	random   *rand.Rand
	noise    *rand.Rand
	site     Site
	scenario Scenario
	kinds    []kind
	pairs    [][]float64
	m        *place.Machine
	workers  map[fleet.WorkerID]*fakeWorker
	order    []*fakeWorker
	waiting  [][]*task // by kind, oldest first
	running  map[plat.TaskRef]*task
	pending  []*task // wait for evictions
	next     int
	load     float64
	score    score
	horizon  time.Duration
}

// newRun draws all random choices of the workload from the seed alone, so that each variant meets the same one.
func newRun(site Site, sc Scenario, v Variant, seed uint64, horizon time.Duration) *run {
	random := rand.New(rand.NewPCG(seed, 1))
	r := &run{
		loop: event.New(), random: random, noise: rand.New(rand.NewPCG(seed, 2)),
		site: site, scenario: sc, kinds: site.withTruth(sc, random), pairs: drawPairs(len(site.kinds), random),
		m: place.New(v.policy, v.opts...), workers: map[fleet.WorkerID]*fakeWorker{},
		running: map[plat.TaskRef]*task{}, load: baseLoad, horizon: horizon,
	}
	r.waiting = make([][]*task, len(r.kinds))
	for i := range site.workers {
		w := &fakeWorker{Worker: fleet.Worker{
			ID: fleet.WorkerID(fmt.Sprintf("w%03d", i)), State: fleet.HostLive, Capacity: site.capacity,
			Rack: fleet.RackID(fmt.Sprintf("r%d", i/site.rack)), Zone: fleet.AvailabilityZone(fmt.Sprintf("z%d", i%site.zones)),
		}}
		r.workers[w.ID] = w
		r.order = append(r.order, w)
		r.m.Step(r.loop.Now(), place.WorkerUpdated{Worker: w.Worker})
	}
	return r
}

func (r *run) simulate() score {
	for i, k := range r.kinds {
		for range k.replicas {
			r.submit(i, false)
		}
	}
	r.submitBatch()
	r.loop.Every(stepTime, r.step)
	if r.scenario.shift {
		r.loop.After(r.horizon/2, r.shift)
	}
	r.loop.Run(r.horizon)
	return r.score
}

// spare returns the processor time that the services leave, in milli-core seconds over the horizon.
func (r *run) spare() float64 {
	total := float64(r.site.workers) * float64(r.site.capacity.MilliCPU)
	for _, k := range r.kinds {
		total -= float64(k.replicas) * float64(k.declared.MilliCPU) * k.cpuRatio
	}
	return max(total, 0) * r.horizon.Seconds()
}

// submitBatch submits the overnight work at once and lets the rest arrive over the horizon.
func (r *run) submitBatch() {
	for i, k := range r.kinds {
		if k.replicas > 0 {
			continue
		}
		cpu, _ := r.trueSize(k, 1, 1)
		work := offered * k.part * r.spare() / (cpu * k.run.Seconds())
		for range int(overnight * work) {
			r.submit(i, true)
		}
		if rest := (1 - overnight) * work; rest >= 1 {
			r.arrivals(i, time.Duration(float64(r.horizon)/rest))
		}
	}
}

func (r *run) arrivals(kind int, mean time.Duration) {
	r.loop.After(time.Duration(r.random.ExpFloat64()*float64(mean)), func() {
		r.submit(kind, false)
		r.arrivals(kind, mean)
	})
}

// shift raises the load of the services, adds replicas, and starts a burst of the last kind.
func (r *run) shift() {
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
func (r *run) trueSize(k kind, cpuNoise, memoryNoise float64) (cpu, memory float64) {
	cpu = min(float64(k.declared.MilliCPU)*k.cpuRatio*cpuNoise, 0.8*float64(r.site.capacity.MilliCPU))
	memory = min(float64(k.declared.MemoryBytes)*k.memoryRatio*memoryNoise, 0.8*float64(r.site.capacity.MemoryBytes))
	return cpu, memory
}

func (r *run) submit(kind int, overnight bool) {
	r.next++
	k := r.kinds[kind]
	cpu, memory := r.trueSize(k, 0.8+0.4*r.random.Float64(), 0.8+0.4*r.random.Float64())
	t := &task{
		kind: kind, cpu: cpu, memory: memory, remaining: k.run, saved: k.run, overnight: overnight,
		asked: r.loop.Now(), permille: 1000, slowdown: 1,
		place: place.Task{
			Ref:  plat.TaskRef{Task: fleet.TaskID(fmt.Sprintf("%s-%d/%d", k.name, r.next/50, r.next)), Attempt: 1},
			Kind: k.name, Class: k.class, Resources: k.declared,
		},
	}
	if overnight {
		r.score.overnight++
	}
	r.waiting[kind] = append(r.waiting[kind], t)
}

// step advances the tasks, takes reports, and places what waits.
func (r *run) step() {
	for _, w := range r.order {
		r.advance(w)
	}
	for _, w := range r.order {
		r.sendReport(w)
	}
	r.apply(r.m.Step(r.loop.Now(), place.Tick{}))
	for _, class := range fleet.Classes {
		for i, k := range r.kinds {
			if k.class == class {
				r.placeWaiting(i)
			}
		}
	}
}

func (r *run) advance(w *fakeWorker) {
	w.slow(r.pairs)
	for t := w.outOfMemory(); t != nil; t = w.outOfMemory() {
		r.kill(t)
	}
	for _, t := range slices.Clone(w.tasks) {
		if r.kinds[t.kind].replicas > 0 {
			r.score.sample(r.noise, r.load, t.slowdown)
			continue
		}
		done := time.Duration(float64(stepTime) * float64(t.permille) / 1000 / t.slowdown)
		t.remaining -= done
		if t.remaining <= 0 {
			r.finish(t)
		}
	}
	cpu, _ := w.use()
	r.score.use(cpu, float64(w.Capacity.MilliCPU))
}

// sendReport delivers a report late, and sometimes twice.
func (r *run) sendReport(w *fakeWorker) {
	report := w.status(r.loop.Now(), r.noise)
	deliver := func() { r.apply(r.m.Step(r.loop.Now(), report)) }
	r.loop.After(time.Duration(5+r.noise.IntN(25))*time.Second, deliver)
	if r.noise.IntN(20) == 0 {
		r.loop.After(time.Duration(5+r.noise.IntN(60))*time.Second, deliver)
	}
}

func (r *run) placeWaiting(kind int) {
	failed := 0
	for failed < tries && len(r.waiting[kind]) > 0 {
		t := r.waiting[kind][0]
		d, err := r.m.Place(r.loop.Now(), t.place)
		if err != nil {
			failed++
			continue
		}
		r.waiting[kind] = r.waiting[kind][1:]
		r.begin(t, d)
	}
}

// begin starts a task, after the evictions that its decision asks for.
func (r *run) begin(t *task, d place.Decision) {
	t.worker, t.permille = r.workers[d.Worker], 1000
	t.waits = map[plat.TaskRef]bool{}
	for _, ref := range d.Evict {
		if victim := r.running[ref]; victim != nil {
			t.waits[ref] = true
			r.evict(victim)
		}
	}
	r.running[t.place.Ref] = t
	if !r.startIfReady(t) {
		r.pending = append(r.pending, t)
	}
}

// startIfReady starts a task unless evictions that it waits for have not ended.
func (r *run) startIfReady(t *task) bool {
	if len(t.waits) > 0 {
		return false
	}
	t.worker.tasks = append(t.worker.tasks, t)
	r.m.Step(r.loop.Now(), place.Started{TaskRef: t.place.Ref, Worker: t.worker.ID})
	if t.place.Class == fleet.Urgent {
		r.score.started(r.loop.Now().Sub(t.asked))
	}
	return true
}
