package colo

import (
	"math/rand/v2"
	"slices"
	"time"

	"lovagefork.example/bench/table"
)

// score holds what is measured in one run.
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

// samples is the number of request latencies drawn for each replica and step.
const latenciesPerStep = 2

// sample draws latencies, in multiples of the undisturbed service time, of a queue whose server is slowed.
func (s *results) sampleLatencies(random *rand.Rand, load, slowdown float64) {
	mean := slowdown / (1 - min(load*slowdown, 0.97))
	for range latenciesPerStep {
		s.latencies = append(s.latencies, mean*random.ExpFloat64())
	}
}

func (s *results) recordStart(delay time.Duration) {
	s.startDelays = append(s.startDelays, delay.Seconds())
}

func (s *results) recordFinished(t *task, run time.Duration) {
	s.coreHours += t.cpu / 1000 * run.Hours()
	if t.overnight {
		s.overnightDone++
	}
}

func (s *results) recordUsage(cpu, capacity float64) {
	s.usedCPU += min(cpu, capacity)
	s.totalCPU += capacity
	if cpu > capacity {
		s.overloadedHours += stepInterval.Hours()
	}
}

// Metrics of the placement experiment; the first is plotted.
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

func (s *results) values() map[string]float64 {
	slices.Sort(s.latencies)
	values := map[string]float64{
		metricP99:         table.Quantile(s.latencies, 0.99),
		metricP999:        table.Quantile(s.latencies, 0.999),
		metricBatchWork:   s.coreHours,
		metricOvernight:   100 * float64(s.overnightDone) / float64(max(s.overnightTasks, 1)),
		metricEvictions:   float64(s.evictions),
		metricMemoryKills: float64(s.memoryKills),
		metricTasksLost:   float64(s.tasksLost),
	}
	if len(s.startDelays) > 0 {
		values[metricSlowestStart] = slices.Max(s.startDelays)
	}
	return values
}
