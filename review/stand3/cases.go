package main

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

var (
	errNotAccepted = errors.New("the job is not accepted")
	errNoStart     = errors.New("no worker got a start")
	errNoScheduler = errors.New("there is no scheduler")
)

var cases = map[string]func(c *checker, trouble bool) error{"dropped-route": droppedRoute, "late-start": lateStart}

func noLabels(int) []string { return []string{"a", "r1"} }

// lateStart leaves one of 26 starts without an answer. The worker that got it crashes 4 s later, and is back under its ID when it carries the start
// out, less than 12 s after it was sent.
func lateStart(c *checker, trouble bool) error {
	const (
		workers = 8
		down    = 4500 * time.Millisecond
		// others is the number of further jobs of one task, whose starts are answered.
		others = 25
	)
	s, err := newSet(c, "", 3, workers, noLabels)
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
	for n := range others {
		other := &job{
			ID: jobID(2 + n), Steps: []step{{Count: 1, CPU: 1000, Mem: 500, Estimate: 300}}, works: []stepWork{{WorkMS: 300}},
		}
		if !s.submit(other) {
			return errNotAccepted
		}
		time.Sleep(80 * time.Millisecond)
	}
	if trouble {
		time.Sleep(time.Until(sent.Add(4 * time.Second)))
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
	time.Sleep(14 * time.Second)
	state, _ := s.state(j.ID)
	c.log("the job is shown as %q", state)
	return nil
}

// droppedRoute removes the route of a job that is open, and then stops the scheduler's process, as planned work does.
func droppedRoute(c *checker, trouble bool) error {
	const (
		workers = 8
		// first and second are the work of the tasks of the two steps.
		first, second = 15 * time.Second, 2 * time.Second
		// allowed is the time without a run that the rule allows, and a margin.
		allowed = 25 * time.Second
	)
	var s *set
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	policy := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) { s.fleet.advise(out, r) })}
	go func() { _ = policy.Serve(listener) }()
	defer func() { _ = policy.Close() }()
	extra := "advice=" + listener.Addr().String() + "\npolicies=base,drain,config,cost,recover,sched,platform,advice\n"
	s, err = newSet(c, extra, 3, workers, noLabels)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	s.fleet.mu.Lock()
	s.fleet.tickets = make(map[string]ticket)
	s.fleet.mu.Unlock()
	advised := func(route map[string]any) {
		route["advice"] = map[string]any{"decision_ms": 30, "per_worker_ms": 3, "valid_ms": ticketTime.Milliseconds()}
	}
	s.configure(5, advised)
	time.Sleep(3 * time.Second)
	j := &job{
		ID: jobID(1),
		Steps: []step{
			{Count: 2, CPU: 2000, Mem: 1000, Estimate: first.Milliseconds()},
			{Count: 2, CPU: 2000, Mem: 1000, Estimate: second.Milliseconds(), After: []int{0}},
		},
		works: []stepWork{{WorkMS: first.Milliseconds()}, {WorkMS: second.Milliseconds()}},
	}
	if !s.submit(j) {
		return errNotAccepted
	}
	time.Sleep(3 * time.Second)
	if trouble {
		c.log("trouble: version 9 drops the route and adds another one")
		s.configure(9, func(route map[string]any) {
			advised(route)
			route["name"], route["prefix"] = "r-2", "/other/"
		})
		time.Sleep(3 * time.Second)
		h := s.leader()
		if h == nil {
			return errNoScheduler
		}
		c.log("trouble: SIGTERM to %s, the scheduler; it starts again when it has ended", h.Name)
		h.signal(syscall.SIGTERM)
	}
	for idle := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		ended, running := s.progress(j)
		switch {
		case ended == 4:
			c.log("all tasks have ended as done")
			return nil
		case running > 0:
			idle = time.Now()
		case time.Since(idle) > allowed:
			c.violate("LOST", "the job has had nothing running for %v: %d of 4 tasks have ended, %d starts were rejected for want of a ticket",
				allowed, ended, c.rejections())
			return nil
		}
	}
}

// progress returns how many tasks of a job without repetitions have ended as done, and how many are running.
func (s *set) progress(j *job) (ended, running int) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for i, st := range j.Steps {
		for n := range st.Count {
			t := s.check.task(taskID{j.ID, 0, i, n})
			running += len(t.active)
			if t.done {
				ended++
			}
		}
	}
	return ended, running
}
