package flow

import (
	"maps"
	"slices"
)

// completedSet is a set of the numbers of complete occurrences: all before first, and those in ahead.
type completedSet struct {
	first int64
	ahead map[int64]struct{}
}

// numberRange is a range of occurrences.
type numberRange struct{ first, count int64 }

func (c *completedSet) len() int64 { return c.first + int64(len(c.ahead)) }

func (c *completedSet) contains(n int64) bool {
	_, found := c.ahead[n]
	return found || n < c.first
}

func (c *completedSet) add(n int64) {
	if c.contains(n) {
		return
	}
	if c.ahead == nil {
		c.ahead = make(map[int64]struct{})
	}
	c.ahead[n] = struct{}{}
	for {
		if _, found := c.ahead[c.first]; !found {
			return
		}
		delete(c.ahead, c.first)
		c.first++
	}
}

// later returns the ranges of the complete occurrences after the first one that is not complete.
func (c *completedSet) later() []numberRange {
	var ranges []numberRange
	for _, n := range slices.Sorted(maps.Keys(c.ahead)) {
		last := len(ranges) - 1
		if last >= 0 && ranges[last].first+ranges[last].count == n {
			ranges[last].count++
			continue
		}
		ranges = append(ranges, numberRange{first: n, count: 1})
	}
	return ranges
}
