package check

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/platform"
	"lovagefork.example/platform/wkfake"
)

func (c *Checker) workerSaw(ev wkfake.Event) {
	switch ev := ev.(type) {
	case wkfake.Started:
		c.started(ev)
	case wkfake.Ended:
		c.ended(ev)
	case wkfake.Noted:
		c.noted(ev)
	case wkfake.Draining:
		w := c.workers[ev.Worker]
		w.isDraining, w.drainingAt = true, c.now
	case wkfake.Gone:
		c.gone(ev.Worker)
	}
}

func (c *Checker) started(ev wkfake.Started) {
	name := platform.FormatTask(ev.Task)
	t := c.task(ev.Task)
	j, s := c.lookup(ev.Task)
	if s == nil || j.spec.Spec != ev.Spec {
		c.fail(OnlyAsked, "%s run %d starts on %s, and no caller has submitted it so", name, ev.Run, ev.Worker)
		return
	}
	j.hasStarted = true
	c.checkRejected(j)
	c.checkDuplicates(ev, t, s)
	c.noteStart(ev, t, j, s)
	t.active[ev.RunID] = activeRun{since: c.now, isInherited: ev.IsInherited}
	t.starts = append(t.starts, c.now)
	t.isOverdue = false
	c.checkAttempts(ev.RunID, t, j, s)
	c.checkOrder(ev.RunID, j, s)
	c.checkWorker(ev, s)
	if j.cancelled && c.now > j.cancelledAt+cancelTimeout && !ev.IsLate && c.isCalm(j.cancelledAt) {
		c.fail(Cancellation, "%s run %d starts on %s, the job was cancelled at %.3fs", name, ev.Run, ev.Worker, j.cancelledAt.Seconds())
	}
}

// task returns what is known of a task.
func (c *Checker) task(id infra.TaskID) *task {
	t := c.tasks[id]
	if t == nil {
		t = &task{active: make(map[wkfake.RunID]activeRun)}
		c.tasks[id] = t
		if j := c.jobs[id.Job]; j != nil {
			j.tasks = append(j.tasks, t)
		}
	}
	return t
}

// lookup returns the job and the step of a task; the step is nil if nobody has submitted the task.
func (c *Checker) lookup(id infra.TaskID) (*job, *infra.Step) {
	j := c.jobs[id.Job]
	if j == nil || id.Step >= len(j.spec.Steps) || id.Index >= j.spec.Steps[id.Step].Count || id.Occurrence >= max(1, j.spec.Schedule.Count) {
		return j, nil
	}
	return j, &j.spec.Steps[id.Step]
}

func (c *Checker) checkDuplicates(ev wkfake.Started, t *task, s *infra.Step) {
	if s.Speculative {
		return
	}
	if c.isDone(ev.Task) {
		c.repeats++
	}
	name := platform.FormatTask(ev.Task)
	for other, present := range t.active {
		c.fail(OnePlace, "%s run %d starts on %s%s while run %d is on %s since %.3fs%s", name, ev.Run, ev.Worker, originText(ev.IsInherited),
			other.Run, other.Worker, present.since.Seconds(), originText(present.isInherited))
	}
	for _, e := range t.ends {
		if e.outcome == infra.OutcomeDone && e.noted {
			c.fail(OnceDone, "%s run %d starts on %s%s, run %d ended done on %s at %.3fs", name, ev.Run, ev.Worker, originText(ev.IsInherited),
				e.run.Run, e.run.Worker, e.at.Seconds())
		}
	}
}

// originText returns an addition to the name of the worker on which a run has started.
func originText(isInherited bool) string {
	if isInherited {
		return " (meant for an earlier life)"
	}
	return ""
}

// checkAttempts checks the last start of a task against the failures that were noted.
func (c *Checker) checkAttempts(id wkfake.RunID, t *task, j *job, s *infra.Step) {
	if s.Speculative || s.LongRunning || len(t.starts) == 0 {
		return
	}
	failures, last := 0, t.starts[len(t.starts)-1]
	for _, e := range t.ends {
		if e.outcome == infra.OutcomeFailed && e.noted && e.at < last {
			failures++
		}
	}
	if failures >= j.maxAttempts {
		c.fail(Attempts, "%s started at %.3fs after %d runs had failed", platform.FormatTask(id.Task), last.Seconds(), failures)
	}
}

func (c *Checker) checkOrder(id wkfake.RunID, j *job, s *infra.Step) {
	name := platform.FormatTask(id.Task)
	for _, before := range s.After {
		for index := range j.spec.Steps[before].Count {
			earlier := infra.TaskID{Job: id.Task.Job, Occurrence: id.Task.Occurrence, Step: before, Index: index}
			if !c.isDone(earlier) {
				c.fail(InOrder, "%s run %d starts on %s before %s is done", name, id.Run, id.Worker, platform.FormatTask(earlier))
				return
			}
		}
	}
	if j.spec.Schedule.Count == 0 {
		return
	}
	due := time.UnixMilli(j.spec.Schedule.Start).Add(time.Duration(id.Task.Occurrence) * j.spec.Schedule.Interval)
	if early := time.Until(due); early > maxEarlyStart {
		c.fail(InOrder, "%s run %d starts on %s %v before its time", name, id.Run, id.Worker, early)
	}
}

func (c *Checker) checkWorker(ev wkfake.Started, s *infra.Step) {
	w := c.workers[ev.Worker]
	w.runs[ev.RunID] = s.Reserved()
	w.used = w.used.Add(s.Reserved())
	if !w.used.Fits(w.capacity) {
		c.fail(Capacity, "%s has %s and is given %s%s", ev.Worker, w.capacity, w.used, originText(ev.IsInherited))
	}
	if w.isDraining && c.now > w.drainingAt+drainTimeout && !ev.IsLate && c.isCalm(w.drainingAt) {
		c.fail(Drained, "%s starts on %s, which drains since %.3fs", platform.FormatTask(ev.Task), ev.Worker, w.drainingAt.Seconds())
	}
}

func (c *Checker) ended(ev wkfake.Ended) {
	c.release(ev.RunID)
	t := c.tasks[ev.Task]
	delete(t.active, ev.RunID)
	t.lastRun = c.now
	if ev.Outcome == infra.OutcomeLeaseExpired {
		c.lapsed++
	}
	t.ends = append(t.ends, &end{run: ev.RunID, at: c.now, outcome: ev.Outcome})
}

func (c *Checker) release(id wkfake.RunID) {
	w := c.workers[id.Worker]
	w.used = w.used.Sub(w.runs[id])
	delete(w.runs, id)
}

// noted marks an end as acknowledged, which counts for the starts before it too.
func (c *Checker) noted(ev wkfake.Noted) {
	t := c.tasks[ev.Task]
	var e *end
	for _, other := range t.ends {
		if other.run == ev.RunID {
			e = other
		}
	}
	e.noted = true
	j, s := c.lookup(ev.Task)
	if s == nil {
		return
	}
	switch ev.Outcome {
	case infra.OutcomeFailed:
		c.checkAttempts(ev.RunID, t, j, s)
	case infra.OutcomeDone:
		for _, at := range t.starts {
			if at > e.at && !s.Speculative {
				c.fail(OnceDone, "%s started at %.3fs, run %d had ended done on %s at %.3fs",
					platform.FormatTask(ev.Task), at.Seconds(), ev.Run, ev.Worker, e.at.Seconds())
			}
		}
	}
}

func (c *Checker) gone(id fleet.WorkerID) {
	w := c.workers[id]
	w.isGone = true
	for run := range w.runs {
		t := c.tasks[run.Task]
		delete(t.active, run)
		t.lastRun = c.now
		t.crashes++
	}
	clear(w.runs)
	w.used = fleet.Resources{}
}

func (c *Checker) isDone(id infra.TaskID) bool {
	t := c.tasks[id]
	if t == nil {
		return false
	}
	for _, e := range t.ends {
		if e.outcome == infra.OutcomeDone {
			return true
		}
	}
	return false
}

// firstOpenTask returns the name of a task of a job that has not ended done, or an empty text.
func (c *Checker) firstOpenTask(j *job) string {
	for k := range max(1, j.spec.Schedule.Count) {
		for step, s := range j.spec.Steps {
			for index := range s.Count {
				id := infra.TaskID{Job: j.spec.ID, Occurrence: k, Step: step, Index: index}
				if !c.isDone(id) {
					return platform.FormatTask(id)
				}
			}
		}
	}
	return ""
}

// hasFailed reports whether a task of a job has used up its attempts, or may be given up because workers crashed under it.
func (c *Checker) hasFailed(j *job) bool {
	for _, t := range j.tasks {
		failures := 0
		for _, e := range t.ends {
			if e.outcome == infra.OutcomeFailed {
				failures++
			}
		}
		if failures >= j.maxAttempts || t.crashes >= maxCrashes {
			return true
		}
	}
	return false
}
