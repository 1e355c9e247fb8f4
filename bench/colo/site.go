package colo

import (
	"math"
	"math/rand/v2"
	"time"

	"lovagefork.example/coord/fleet"
)

const gib = 1 << 30

// kind is a kind of task with its declared size and its true behaviour.
type kind struct {
	name     string
	class    fleet.Class
	declared fleet.Resources
	// replicas is the number of long-running replicas of a service, zero for batch kinds.
	replicas int
	// run is the run time of a batch task without slowdown; part is its part of the batch work.
	runTime   time.Duration
	workShare float64
	// cpuRatio and memoryRatio are the true over the declared size.
	cpuRatio, memoryRatio float64
}

// Site is a deployment of section 1.6 of the design page with its kinds of work.
type Site struct {
	Name     string
	workers  int
	rackSize int
	zones    int
	capacity fleet.Resources
	kinds    []kind
}

func size(cores, gibs int64) fleet.Resources {
	return fleet.Resources{MilliCPU: cores * 1000, MemoryBytes: gibs * gib}
}

// Sites returns both deployments at their current size.
func Sites() []Site {
	return []Site{
		{"A", 65, 8, 3, size(64, 250), []kind{
			{name: "booking", class: fleet.Urgent, declared: size(4, 8), replicas: 160},
			{name: "catalogue", class: fleet.Urgent, declared: size(2, 4), replicas: 160},
			{name: "reconcile", class: fleet.Deferrable, declared: size(4, 8), runTime: 10 * time.Minute, workShare: 0.4},
			{name: "count", class: fleet.Deferrable, declared: size(2, 4), runTime: 4 * time.Minute, workShare: 0.2},
			{name: "press", class: fleet.Standard, declared: size(8, 24), runTime: 12 * time.Minute, workShare: 0.2},
			{name: "archive", class: fleet.Deferrable, declared: size(4, 16), runTime: 6 * time.Minute, workShare: 0.2},
		}},
		{"B", 50, 6, 4, size(32, 125), []kind{
			{name: "quote", class: fleet.Urgent, declared: size(2, 4), replicas: 150},
			{name: "watch", class: fleet.Urgent, declared: size(1, 2), replicas: 100},
			{name: "cut-plan", class: fleet.Standard, declared: size(4, 8), runTime: 8 * time.Minute, workShare: 0.4},
			{name: "nesting", class: fleet.Deferrable, declared: size(6, 16), runTime: 12 * time.Minute, workShare: 0.3},
			{name: "render", class: fleet.Deferrable, declared: size(2, 6), runTime: 5 * time.Minute, workShare: 0.3},
		}},
	}
}

// Scenario is what goes wrong in a run.
type Scenario struct {
	Name string
	// wrong is the largest factor by which declared sizes are off, in either direction.
	maxSizeError float64
	// shift moves the load of the services and starts a burst of one noisy kind half way.
	loadShift bool
}

// Scenarios returns the scenarios that are compared.
func Scenarios() []Scenario {
	return []Scenario{
		{"sizes right", 1, false},
		{"sizes wrong ×10", 10, false},
		{"load shifts", 3, true},
	}
}

// withTruth returns the kinds with true sizes drawn for a scenario.
//
// Services are off by at most three times: beyond that they alone exceed the workers, whatever the policy.
func (s Site) withTrueSizes(sc Scenario, random *rand.Rand) []kind {
	kinds := make([]kind, len(s.kinds))
	for i, k := range s.kinds {
		limit := sc.maxSizeError
		if k.replicas > 0 {
			limit = min(limit, 3)
		}
		k.cpuRatio = math.Pow(limit, 2*random.Float64()-1)
		k.memoryRatio = math.Pow(limit, 2*random.Float64()-1)
		kinds[i] = k
	}
	return kinds
}

// drawPairs returns the added slowdown, by victim and cause, that a cause filling a whole worker adds.
//
// Two pairs in five disturb each other strongly, the others little; the ranges are an assumption, not a measurement.
func drawInterference(n int, random *rand.Rand) [][]float64 {
	pairs := make([][]float64, n)
	for v := range pairs {
		pairs[v] = make([]float64, n)
		for c := range pairs[v] {
			if random.Float64() < 0.4 {
				pairs[v][c] = 0.5 + 1.5*random.Float64()
			} else {
				pairs[v][c] = 0.15 * random.Float64()
			}
		}
	}
	return pairs
}
