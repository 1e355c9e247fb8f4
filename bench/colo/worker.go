package colo

import (
	"math/rand/v2"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/place"
	"lovagefork.example/coord/plat"
)

// task is one task of the workload with the state of its current attempt.
type task struct {
	spec          place.Task
	kind          int
	cpu           float64 // true processor time in milli-cores
	memory        float64 // true memory in bytes
	remainingTime time.Duration
	// remainingAtCheckpoint is the remaining run time at the last checkpoint, including the restart time.
	remainingAtCheckpoint time.Duration
	overnight             bool
	submittedAt           time.Time
	worker                *fakeWorker
	throttlePermille      int
	slowdown              float64
	pendingEvictions      map[plat.TaskRef]bool
	// evictingAttempt is the latest attempt for which an eviction began, or zero.
	evictingAttempt fleet.Attempt
	failures        int
}

// fakeWorker is a simulated worker that runs tasks with their true sizes.
type fakeWorker struct {
	fleet.Worker
	tasks []*task
}

func (w *fakeWorker) removeTask(t *task) {
	w.tasks = slices.DeleteFunc(w.tasks, func(o *task) bool { return o == t })
}

// usage returns the actual resource use of the tasks on the worker, which can exceed its capacity.
func (w *fakeWorker) usage() (cpu, memory float64) {
	for _, t := range w.tasks {
		cpu += t.cpuDemand()
		memory += t.memory
	}
	return cpu, memory
}

func (t *task) cpuDemand() float64 { return t.cpu * float64(t.throttlePermille) / 1000 }

// updateSlowdowns sets the slowdown of each task. It grows with the interference from the other tasks, weighted by
// their load and the total load, and with processor demand above the capacity.
func (w *fakeWorker) updateSlowdowns(interference [][]float64) {
	capacity := float64(w.Capacity.MilliCPU)
	cpu, _ := w.usage()
	utilization := cpu / capacity
	loads := make([]float64, len(interference))
	for _, t := range w.tasks {
		loads[t.kind] += t.cpuDemand() / capacity
	}
	for _, t := range w.tasks {
		added := -interference[t.kind][t.kind] * t.cpuDemand() / capacity
		for cause, load := range loads {
			added += interference[t.kind][cause] * load
		}
		t.slowdown = (1 + max(added, 0)*(0.5+utilization)) * max(1, utilization)
	}
}

// memoryVictim returns the task to kill if the tasks exceed the memory of the worker: the largest one that is not
// urgent. It returns nil if the memory suffices or only urgent tasks are left.
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

// report returns a status report with random measurement errors of up to 10 % in the slowdowns.
func (w *fakeWorker) report(now time.Time, rng *rand.Rand) place.Report {
	cpu, memory := w.usage()
	r := place.Report{
		Worker: w.ID, MeasuredAt: now,
		Usage: fleet.Resources{MilliCPU: min(int64(cpu), w.Capacity.MilliCPU), MemoryBytes: int64(memory)},
	}
	for _, t := range w.tasks {
		measured := t.slowdown * (0.9 + 0.2*rng.Float64())
		r.Tasks = append(r.Tasks, plat.TaskStatus{
			TaskRef: t.spec.Ref, State: plat.TaskRunning, SlowdownPermille: int(1000 * measured),
		})
	}
	return r
}
