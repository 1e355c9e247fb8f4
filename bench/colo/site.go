package colo

import (
	"math"
	"math/rand/v2"
	"time"

	"lovagefork.example/coord/fleet"
)

const gib = 1 << 30

// kind is a kind of task with its declared size and its actual behavior.
type kind struct {
	name         string
	class        fleet.Class
	declaredSize fleet.Resources
	// replicas is the number of long-running replicas of a service, zero for batch kinds.
	replicas int
	// runTime is the run time of a batch task without slowdown. workShare is the share of the kind in the batch work.
	runTime   time.Duration
	workShare float64
	// cpuRatio and memoryRatio are the ratios of the true to the declared size.
	cpuRatio, memoryRatio float64
}

// Site is a deployment of section 1.6 of the design page with its task kinds.
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
			{name: "booking", class: fleet.Urgent, declaredSize: size(4, 8), replicas: 160},
			{name: "catalogue", class: fleet.Urgent, declaredSize: size(2, 4), replicas: 160},
			{name: "reconcile", class: fleet.Deferrable, declaredSize: size(4, 8), runTime: 10 * time.Minute, workShare: 0.4},
			{name: "count", class: fleet.Deferrable, declaredSize: size(2, 4), runTime: 4 * time.Minute, workShare: 0.2},
			{name: "press", class: fleet.Standard, declaredSize: size(8, 24), runTime: 12 * time.Minute, workShare: 0.2},
			{name: "archive", class: fleet.Deferrable, declaredSize: size(4, 16), runTime: 6 * time.Minute, workShare: 0.2},
		}},
		{"B", 50, 6, 4, size(32, 125), []kind{
			{name: "quote", class: fleet.Urgent, declaredSize: size(2, 4), replicas: 150},
			{name: "watch", class: fleet.Urgent, declaredSize: size(1, 2), replicas: 100},
			{name: "cut-plan", class: fleet.Standard, declaredSize: size(4, 8), runTime: 8 * time.Minute, workShare: 0.4},
			{name: "nesting", class: fleet.Deferrable, declaredSize: size(6, 16), runTime: 12 * time.Minute, workShare: 0.3},
			{name: "render", class: fleet.Deferrable, declaredSize: size(2, 6), runTime: 5 * time.Minute, workShare: 0.3},
		}},
	}
}

// Scenario is a set of adverse conditions of a run.
type Scenario struct {
	Name string
	// maxSizeError is the largest factor between declared and true sizes, in either direction.
	maxSizeError float64
	// loadShift raises the load of the services and submits a burst of one task kind in the middle of the run.
	loadShift bool
}

// Scenarios returns the scenarios to simulate.
func Scenarios() []Scenario {
	return []Scenario{
		{"sizes right", 1, false},
		{"sizes wrong ×10", 10, false},
		{"load shifts", 3, true},
	}
}

// withTrueSizes returns the kinds with random true sizes for a scenario.
//
// The size error of services is limited to a factor of 3: with a larger one the services alone exceed the capacity of
// the workers under every policy.
func (s Site) withTrueSizes(sc Scenario, rng *rand.Rand) []kind {
	kinds := make([]kind, len(s.kinds))
	for i, k := range s.kinds {
		limit := sc.maxSizeError
		if k.replicas > 0 {
			limit = min(limit, 3)
		}
		k.cpuRatio = math.Pow(limit, 2*rng.Float64()-1)
		k.memoryRatio = math.Pow(limit, 2*rng.Float64()-1)
		kinds[i] = k
	}
	return kinds
}

// drawInterference returns random added slowdowns, indexed by affected kind and causing kind. Each is the slowdown
// added by a load of the causing kind that fills a whole worker.
//
// Two in five kind pairs interfere strongly and the others weakly. These ranges are assumptions, not measurements.
func drawInterference(n int, rng *rand.Rand) [][]float64 {
	pairs := make([][]float64, n)
	for v := range pairs {
		pairs[v] = make([]float64, n)
		for c := range pairs[v] {
			if rng.Float64() < 0.4 {
				pairs[v][c] = 0.5 + 1.5*rng.Float64()
			} else {
				pairs[v][c] = 0.15 * rng.Float64()
			}
		}
	}
	return pairs
}
