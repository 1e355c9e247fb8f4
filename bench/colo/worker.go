package colo

import (
	"math/rand/v2"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/place"
	"lovagefork.example/coord/plat"
)

// task is one task of the workload through all its attempts.
type task struct {
	spec      place.Task
	kind      int
	cpu       float64 // true processor time in milli-cores
	memory    float64 // true memory in bytes
	remaining time.Duration
	// saved is what remains after the last checkpoint.
	checkpointed     time.Duration
	overnight        bool
	submittedAt      time.Time
	worker           *fakeWorker
	throttlePermille int
	slowdown         float64
	evictionsPending map[plat.TaskRef]bool
	// evicting is the attempt that is being evicted, or zero.
	evicting fleet.Attempt
	failures int
}

// fakeWorker runs tasks with their true sizes.
type fakeWorker struct {
	fleet.Worker
	tasks []*task
}

func (w *fakeWorker) removeTask(t *task) {
	w.tasks = slices.DeleteFunc(w.tasks, func(o *task) bool { return o == t })
}

// use returns the true use of the worker's tasks, which may exceed its capacity.
func (w *fakeWorker) usage() (cpu, memory float64) {
	for _, t := range w.tasks {
		cpu += t.cpuDemand()
		memory += t.memory
	}
	return cpu, memory
}

func (t *task) cpuDemand() float64 { return t.cpu * float64(t.throttlePermille) / 1000 }

// slow sets the slowdown of each task: by pairs of kinds, weighted by load and total load, and by lack of processors.
func (w *fakeWorker) updateSlowdowns(pairs [][]float64) {
	capacity := float64(w.Capacity.MilliCPU)
	cpu, _ := w.usage()
	full := cpu / capacity
	loads := make([]float64, len(pairs))
	for _, t := range w.tasks {
		loads[t.kind] += t.cpuDemand() / capacity
	}
	for _, t := range w.tasks {
		added := -pairs[t.kind][t.kind] * t.cpuDemand() / capacity
		for cause, load := range loads {
			added += pairs[t.kind][cause] * load
		}
		t.slowdown = (1 + max(added, 0)*(0.5+full)) * max(1, full)
	}
}

// outOfMemory returns the task that the worker kills because memory is exceeded, nil if it is not.
func (w *fakeWorker) memoryVictim() *task {
	if _, memory := w.usage(); memory <= float64(w.Capacity.MemoryBytes) {
		return nil
	}
	var largest *task
	for _, t := range w.tasks {
		if t.spec.Class != fleet.Urgent && (largest == nil || t.memory > largest.memory) {
			largest = t
		}
	}
	return largest
}

// status returns a report with noise on the measured slowdowns.
func (w *fakeWorker) report(now time.Time, random *rand.Rand) place.Report {
	cpu, memory := w.usage()
	r := place.Report{
		Worker: w.ID, MeasuredAt: now,
		Usage: fleet.Resources{MilliCPU: min(int64(cpu), w.Capacity.MilliCPU), MemoryBytes: int64(memory)},
	}
	for _, t := range w.tasks {
		measured := t.slowdown * (0.9 + 0.2*random.Float64())
		r.Tasks = append(r.Tasks, plat.TaskStatus{
			TaskRef: t.spec.Ref, State: plat.TaskRunning, SlowdownPermille: int(1000 * measured),
		})
	}
	return r
}
