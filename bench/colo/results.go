package colo

import (
	"math/rand/v2"
	"slices"
	"time"

	"lovagefork.example/bench/table"
)

// results holds the measurements of one run.
type results struct {
	latencies         []float64
	startDelays       []float64
	coreHours         float64
	overnightTasks    int
	overnightDone     int
	evictions         int
	memoryKills       int
	tasksLost         int
	usedCPU, totalCPU float64
	overloadedHours   float64
}

// latenciesPerStep is the number of request latencies drawn for each replica and step.
const latenciesPerStep = 2

// sampleLatencies draws request latencies of a service replica as of an M/M/1 queue with the given load and slowdown,
// in multiples of the service time without slowdown.
func (r *results) sampleLatencies(rng *rand.Rand, load, slowdown float64) {
	mean := slowdown / (1 - min(load*slowdown, 0.97))
	for range latenciesPerStep {
		r.latencies = append(r.latencies, mean*rng.ExpFloat64())
	}
}

func (r *results) recordStart(delay time.Duration) {
	r.startDelays = append(r.startDelays, delay.Seconds())
}

func (r *results) recordFinished(t *task, run time.Duration) {
	r.coreHours += t.cpu / 1000 * run.Hours()
	if t.overnight {
		r.overnightDone++
	}
}

func (r *results) recordUsage(cpu, capacity float64) {
	r.usedCPU += min(cpu, capacity)
	r.totalCPU += capacity
	if cpu > capacity {
		r.overloadedHours += stepInterval.Hours()
	}
}

// Metrics of the placement experiment. The first one is plotted.
const (
	metricP99          = "service p99 (× service time)"
	metricP999         = "p99.9"
	metricBatchWork    = "batch core-hours"
	metricOvernight    = "overnight done %"
	metricEvictions    = "evictions"
	metricMemoryKills  = "out of memory"
	metricTasksLost    = "tasks lost"
	metricSlowestStart = "slowest urgent start s"
)

var metrics = []table.Metric{
	{Name: metricP99, Digits: 1},
	{Name: metricP999, Digits: 1},
	{Name: metricBatchWork},
	{Name: metricOvernight, Digits: 1},
	{Name: metricEvictions},
	{Name: metricMemoryKills},
	{Name: metricTasksLost},
	{Name: metricSlowestStart, Digits: 1},
}

func (r *results) values() map[string]float64 {
	slices.Sort(r.latencies)
	values := map[string]float64{
		metricP99:         table.Quantile(r.latencies, 0.99),
		metricP999:        table.Quantile(r.latencies, 0.999),
		metricBatchWork:   r.coreHours,
		metricOvernight:   100 * float64(r.overnightDone) / float64(max(r.overnightTasks, 1)),
		metricEvictions:   float64(r.evictions),
		metricMemoryKills: float64(r.memoryKills),
		metricTasksLost:   float64(r.tasksLost),
	}
	if len(r.startDelays) > 0 {
		values[metricSlowestStart] = slices.Max(r.startDelays)
	}
	return values
}
