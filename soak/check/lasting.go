package check

import (
	"slices"
	"time"

	"lovagefork.example/coord/infra"
	"lovagefork.example/platform"
)

// The bounds of long-running tasks.
const (
	restartTimeout = 6 * time.Second
	// restartObservation is how long after restartTimeout a task must be down, with room for restartSlots of its size, before
	// that is a violation; restartCalm is the time without faults before that.
	restartObservation = 3 * time.Second
	restartCalm        = 4 * time.Second
	restartSlots       = 2
)

// checkLongRunning checks the long-running tasks whose turn has come.
func (c *Checker) checkLongRunning() {
	c.longRunning = slices.DeleteFunc(c.longRunning, func(j *job) bool { return j.cancelSent || j.state.Final() })
	for _, j := range c.longRunning {
		if !j.isAccepted {
			continue
		}
		for k := range max(1, j.spec.Schedule.Count) {
			for step, s := range j.spec.Steps {
				if s.LongRunning {
					c.checkRestarts(j, s, infra.TaskID{Job: j.spec.ID, Occurrence: k, Step: step})
				}
			}
		}
	}
}

// checkRestarts checks the tasks of one occurrence of a step, the first of which is given.
func (c *Checker) checkRestarts(j *job, s infra.Step, first infra.TaskID) {
	turn, hasTurn := c.turn(j, s, first)
	if !hasTurn {
		return
	}
	if c.slots(s, first) < restartSlots {
		c.roomSince[first] = c.now
	} else if _, isKnown := c.roomSince[first]; !isKnown {
		c.roomSince[first] = c.now
	}
	limit := restartTimeout + restartObservation
	if c.hasFailed(j) {
		// The job may have failed without its caller having been told yet.
		limit += visibleTimeout
	}
	for index := range s.Count {
		id := first
		id.Index = index
		t := c.task(id)
		down := c.now - max(turn, t.lastRun)
		if len(t.active) > 0 || c.isDone(id) || t.isOverdue || down <= limit {
			continue
		}
		if c.now-c.roomSince[first] > restartObservation && c.isCalmFor(restartObservation+restartCalm) {
			t.isOverdue = true
			c.fail(Restarted, "%s has not run for %v, with room for %d of its size", platform.FormatTask(id), down, restartSlots)
		}
	}
}

// turn returns when a step could start, and false if it cannot yet.
func (c *Checker) turn(j *job, s infra.Step, first infra.TaskID) (time.Duration, bool) {
	turn := j.acceptedAt
	if j.spec.Schedule.Count > 0 {
		due := time.UnixMilli(j.spec.Schedule.Start).Add(time.Duration(first.Occurrence) * j.spec.Schedule.Interval)
		turn = max(turn, c.now-time.Since(due))
	}
	for _, before := range s.After {
		for index := range j.spec.Steps[before].Count {
			earlier := infra.TaskID{Job: first.Job, Occurrence: first.Occurrence, Step: before, Index: index}
			if !c.isDone(earlier) {
				return 0, false
			}
			turn = max(turn, c.task(earlier).lastRun)
		}
	}
	return turn, turn <= c.now
}

// slots returns how many further tasks of a step the workers that are up and not draining have room for, up to restartSlots.
func (c *Checker) slots(s infra.Step, first infra.TaskID) (found int) {
	for _, w := range c.workers {
		if w.isGone || w.isDraining || s.Label != "" && !slices.Contains(w.labels, s.Label) {
			continue
		}
		used, same := w.used.Add(s.Reserved()), w.countRuns(first)
		for used.Fits(w.capacity) && (s.MaxPerWorker == 0 || same < s.MaxPerWorker) {
			if found++; found == restartSlots {
				return found
			}
			used, same = used.Add(s.Reserved()), same+1
		}
	}
	return found
}

// countRuns returns the number of runs of the step of a task on a worker.
func (w *worker) countRuns(first infra.TaskID) (n int) {
	for id := range w.runs {
		if id.Task.Job == first.Job && id.Task.Occurrence == first.Occurrence && id.Task.Step == first.Step {
			n++
		}
	}
	return n
}

// isCalmFor reports whether there has been no fault at all for a time, not even the start of a process.
func (c *Checker) isCalmFor(d time.Duration) bool {
	return c.planned == 0 && c.unplanned == 0 && c.now-c.disturbedAt >= d
}

// hasLongRunning reports whether a job has a long-running step.
func hasLongRunning(j infra.Job) bool {
	return slices.ContainsFunc(j.Steps, func(s infra.Step) bool { return s.LongRunning })
}
