package colo

import (
	"math/rand/v2"
	"slices"
	"time"

	"lovagefork.example/bench/table"
)

// score holds what is measured in one run.
type score struct {
	latencies []float64
	starts    []float64
	work      float64
	overnight int
	done      int
	evictions int
	kills     int
	lost      int
	used, all float64
	over      float64
}

// samples is the number of request latencies drawn for each replica and step.
const samples = 2

// sample draws latencies, in multiples of the undisturbed service time, of a queue whose server is slowed.
func (s *score) sample(random *rand.Rand, load, slowdown float64) {
	mean := slowdown / (1 - min(load*slowdown, 0.97))
	for range samples {
		s.latencies = append(s.latencies, mean*random.ExpFloat64())
	}
}

func (s *score) started(delay time.Duration) { s.starts = append(s.starts, delay.Seconds()) }

func (s *score) finished(t *task, run time.Duration) {
	s.work += t.cpu / 1000 * run.Hours()
	if t.overnight {
		s.done++
	}
}

func (s *score) use(cpu, capacity float64) {
	s.used += min(cpu, capacity)
	s.all += capacity
	if cpu > capacity {
		s.over += stepTime.Hours()
	}
}

// Metrics of the placement experiment; the first is plotted.
const (
	tail      = "service p99 (× service time)"
	farTail   = "p99.9"
	batchWork = "batch core-hours"
	night     = "overnight done %"
	evictions = "evictions"
	kills     = "out of memory"
	lost      = "tasks lost"
	slowStart = "slowest urgent start s"
)

var metrics = []table.Metric{
	{Name: tail, Digits: 1},
	{Name: farTail, Digits: 1},
	{Name: batchWork},
	{Name: night, Digits: 1},
	{Name: evictions},
	{Name: kills},
	{Name: lost},
	{Name: slowStart, Digits: 1},
}

func (s *score) values() map[string]float64 {
	slices.Sort(s.latencies)
	values := map[string]float64{
		tail:      table.Quantile(s.latencies, 0.99),
		farTail:   table.Quantile(s.latencies, 0.999),
		batchWork: s.work,
		night:     100 * float64(s.done) / float64(max(s.overnight, 1)),
		evictions: float64(s.evictions),
		kills:     float64(s.kills),
		lost:      float64(s.lost),
	}
	if len(s.starts) > 0 {
		values[slowStart] = slices.Max(s.starts)
	}
	return values
}
