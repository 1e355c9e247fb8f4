package check

import (
	"slices"
	"time"

	"lovagefork.example/coord/infra"
	"lovagefork.example/platform/wkfake"
)

// Waits sums up how long some tasks waited.
type Waits struct {
	Count int           `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P95   time.Duration `json:"p95_ns"`
	Max   time.Duration `json:"max_ns"`
}

// sumUp returns the summary of some waits, which it sorts.
func sumUp(waits []time.Duration) Waits {
	if len(waits) == 0 {
		return Waits{}
	}
	slices.Sort(waits)
	last := len(waits) - 1
	return Waits{Count: len(waits), P50: waits[last/2], P95: waits[last*95/100], Max: waits[last]}
}

// noteStart keeps what the summaries need of a start, which the task has not counted yet.
func (c *Checker) noteStart(ev wkfake.Started, t *task, j *job, s *infra.Step) {
	c.startTimes = append(c.startTimes, c.now)
	switch {
	case len(t.starts) == 0 && len(s.After) == 0 && j.spec.Schedule.Count == 0:
		c.firstStarts = append(c.firstStarts, c.now-j.submittedAt)
	case len(t.starts) > 0 && s.LongRunning && len(t.active) == 0:
		c.restarts = append(c.restarts, c.now-t.lastRun)
	}
}

// FirstStarts returns how long tasks waited for their first start since their job was submitted. It leaves out those that had to
// wait for other tasks or a time.
func (c *Checker) FirstStarts() Waits { return sumUp(slices.Clone(c.firstStarts)) }

// Restarts returns how long long-running tasks were down before they ran again.
func (c *Checker) Restarts() Waits { return sumUp(slices.Clone(c.restarts)) }

// Lapsed returns the number of runs that ended with the lease of their worker.
func (c *Checker) Lapsed() int { return c.lapsed }

// StartsPerSecond returns the number of starts in each of some seconds from a time on.
func (c *Checker) StartsPerSecond(from time.Duration, seconds int) []int {
	counts := make([]int, seconds)
	first, _ := slices.BinarySearch(c.startTimes, from)
	for _, at := range c.startTimes[first:] {
		second := int((at - from) / time.Second)
		if second >= seconds {
			break
		}
		counts[second]++
	}
	return counts
}
