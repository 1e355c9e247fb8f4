package main

import (
	"errors"
	"time"
)

var (
	errNotAccepted = errors.New("the job is not accepted")
	errNoStart     = errors.New("no worker got a start")
)

var cases = map[string]func(c *checker, trouble bool) error{"crashes": crashes, "lasting-done": lastingDone, "late-start": lateStart}

func noLabels(int) []string { return []string{"a", "r1"} }

// crashes lets the worker crash on which the only task of a job has worked for 2 s, four times in all. One worker of eight is down at
// a time.
func crashes(c *checker, trouble bool) error {
	const (
		workers = 8
		times   = 4
		lasted  = 2 * time.Second
		down    = 4500 * time.Millisecond
	)
	s, err := newSet(c, nil, 3, workers, noLabels)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	j := &job{
		ID: jobID(1), Steps: []step{{Count: 1, CPU: 4000, Mem: 2000, Estimate: 6000, Saves: true}},
		works: []stepWork{{WorkMS: 6000, Saves: true}},
	}
	if !s.submit(j) {
		return errNotAccepted
	}
	state := ""
	for limit := time.Now().Add(80 * time.Second); time.Now().Before(limit) && state != "completed" && state != "failed"; {
		time.Sleep(200 * time.Millisecond)
		if w := s.workerOfRun(lasted); trouble && w != nil && j.lost < times {
			s.fleet.mu.Lock()
			c.trouble("worker %s crashes for %v", w.id, down)
			s.fleet.mu.Unlock()
			w.crash()
			time.Sleep(down)
			if err := w.start(); err != nil {
				return err
			}
		}
		state, _ = s.state(j.ID)
	}
	s.fleet.mu.Lock()
	failed, lost := j.failedEnds, j.lost
	s.fleet.mu.Unlock()
	c.log("the job is shown as %q; %d runs have ended failed, %d were lost with their workers", state, failed, lost)
	if state == "failed" && failed == 0 {
		c.violate("LOST", "the job is shown as failed, and no run of it has ended failed")
	}
	return nil
}

// workerOfRun returns a worker with a run that has lasted for some time, or nil.
func (s *set) workerOfRun(lasted time.Duration) *worker {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, w := range s.fleet.workers {
		for _, r := range w.runs {
			if time.Since(r.began) > lasted {
				return w
			}
		}
	}
	return nil
}

// lastingDone lets each run of a job of lasting tasks end as done.
func lastingDone(c *checker, trouble bool) error {
	const (
		tasks = 3
		// allowed is the time without a run that the rule allows, and a margin.
		allowed = 15 * time.Second
	)
	s, err := newSet(c, nil, 3, 6, noLabels)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	j := &job{ID: jobID(1), Steps: []step{{Count: tasks, CPU: 1000, Mem: 500, Lasts: true}}, works: []stepWork{{}}}
	if !s.submit(j) {
		return errNotAccepted
	}
	time.Sleep(8 * time.Second)
	if trouble {
		s.endRuns("done")
	}
	time.Sleep(allowed)
	s.fleet.mu.Lock()
	for i := range tasks {
		if len(c.task(taskID{j.ID, 0, 0, i}).active) == 0 {
			c.violate("LOST", "task %d lasts and has had no run for %v", i, allowed)
		}
	}
	s.fleet.mu.Unlock()
	state, _ := s.state(j.ID)
	c.log("the job is shown as %q", state)
	return nil
}

// endRuns ends all runs.
func (s *set) endRuns(how string) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, w := range s.fleet.workers {
		for _, r := range w.runs {
			s.check.trouble("%s run %d ends by itself", r.id, r.number)
			w.end(r, how)
		}
	}
}

// lateStart leaves a start without an answer. The worker that got it crashes 4 s later, and is back under its ID when it carries the start
// out, less than 12 s after it was sent.
func lateStart(c *checker, trouble bool) error {
	const (
		workers = 8
		down    = 4500 * time.Millisecond
	)
	s, err := newSet(c, nil, 3, workers, noLabels)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	if trouble {
		s.fleet.mu.Lock()
		for _, w := range s.fleet.workers {
			w.losesStart = true
		}
		s.fleet.mu.Unlock()
	}
	j := &job{
		ID: jobID(1), Steps: []step{{Count: 1, CPU: 4000, Mem: 2000, Estimate: 20000}}, works: []stepWork{{WorkMS: 20000}},
	}
	sent := time.Now()
	if !s.submit(j) {
		return errNotAccepted
	}
	time.Sleep(200 * time.Millisecond)
	var w *worker
	s.fleet.mu.Lock()
	for _, candidate := range s.fleet.workers {
		candidate.losesStart = false
		if candidate.lost != nil {
			w = candidate
		}
	}
	s.fleet.mu.Unlock()
	if trouble && w == nil {
		return errNoStart
	}
	if trouble {
		time.Sleep(4 * time.Second)
		s.fleet.mu.Lock()
		c.trouble("worker %s crashes for %v", w.id, down)
		s.fleet.mu.Unlock()
		w.crash()
		time.Sleep(down)
		if err := w.start(); err != nil {
			return err
		}
		w.carryOutLate()
		c.log("%v since the job was sent", time.Since(sent).Round(time.Millisecond))
	}
	time.Sleep(30 * time.Second)
	state, _ := s.state(j.ID)
	c.log("the job is shown as %q", state)
	return nil
}
