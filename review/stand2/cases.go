package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of a small site that the checks use.
const (
	finishTime  = 14 * time.Second
	visibleTime = 3 * time.Second
	pendingLag  = 2 * time.Second
	// idleTime is how long a job may have nothing running while its turn has come and there is capacity.
	idleTime = 3 * time.Second
	// bootTime is the time in which an entry process that was stopped as planned is back.
	bootTime = 9 * time.Second
)

// jobID returns the id of the nth job.
func jobID(n int) string { return fmt.Sprintf("%016x", 0xa11ce000+n) }

// oneTask is a job with a single task.
func oneTask(ms int64, cpu int) job {
	return job{Spec: work{Milliseconds: ms}.spec(), Steps: []step{{Count: 1, CPU: cpu, Mem: 1024, Estimate: float64(ms)}}}
}

// ready starts the platform with workers and three entry hosts.
func (w *world) ready(workers, cpu int, routes ...route) error {
	w.configure(routes...)
	if err := w.addMachines(workers, cpu, 65536); err != nil {
		return err
	}
	return w.startHosts(3)
}

// backlog submits a job among sound ones that repeats each minute, whose start lies a day back and whose tasks fit on no worker.
// Before and after that it stops the process of the scheduler as planned, which starts again. Then it submits more sound jobs.
func backlog(w *world) (string, error) {
	const workers, cpu, before, after = 8, 16000, 25, 5
	q := newRoute("batch")
	if err := w.ready(workers, cpu, q); err != nil {
		return "", err
	}
	var mu sync.Mutex
	running, begun := 0, make(map[string]bool)
	w.onEvent(func(ev event) {
		mu.Lock()
		defer mu.Unlock()
		switch ev.kind {
		case "start":
			running++
			begun[ev.job()] = true
		case "end":
			running--
		}
	})
	if err := w.restartLeader(); err != nil {
		return "", err
	}
	const minute, day = 60_000, 24 * 60 * 60_000
	hopeless := job{
		Spec: work{Milliseconds: 500}.spec(), Repeat: 2880, Start: time.Now().UnixMilli() - day, Interval: minute,
		Steps: []step{{Count: 50, CPU: 2 * cpu, Mem: 1024, Estimate: 500}},
	}
	for n := range before {
		if w.trouble && n == before/2 {
			if err := w.submit(q, jobID(1), hopeless); err != nil {
				return "", err
			}
		}
		if err := w.submit(q, jobID(100+n), oneTask(500, 1000)); err != nil {
			return "", err
		}
	}
	w.sleep(3 * time.Second)
	if err := w.restartLeader(); err != nil {
		return "", err
	}
	for n := range after {
		if err := w.submit(q, jobID(200+n), oneTask(500, 1000)); err != nil {
			return "", err
		}
	}
	w.sleep(finishTime)
	isIdle := true
	for until := time.Now().Add(idleTime); time.Now().Before(until); w.sleep(50 * time.Millisecond) {
		mu.Lock()
		isIdle = isIdle && running == 0
		mu.Unlock()
	}
	w.state(q, jobID(100))
	w.state(q, jobID(100+before-1))
	mu.Lock()
	defer mu.Unlock()
	for n := range after {
		if state := w.state(q, jobID(200+n)).State; isIdle && !begun[jobID(200+n)] && state != "completed" {
			return fmt.Sprintf("LOST: job %s is %s and has nothing running for %v, and nothing runs on any of %d workers", jobID(200+n), state, idleTime, workers), nil
		}
	}
	return "", nil
}

// restartLeader stops the process of the scheduler as planned, and waits until it is back.
func (w *world) restartLeader() error {
	leader := w.leader()
	if leader == nil {
		return fmt.Errorf("no scheduler is elected")
	}
	leader.signal(syscall.SIGTERM)
	w.sleep(bootTime)
	return nil
}

// reborn leaves the start of a task unanswered. Its worker crashes in silence and is cut off when it starts again under its id. This
// next life carries the start out late.
func reborn(w *world) (string, error) {
	const (
		others  = 25
		lateBy  = 8 * time.Second
		downFor = 4400 * time.Millisecond
		cutFor  = 5400 * time.Millisecond
		// overlap is the time for which the worker is cut off before it starts again.
		overlap = 200 * time.Millisecond
	)
	q := newRoute("batch")
	if err := w.ready(8, 16000, q); err != nil {
		return "", err
	}
	var mu sync.Mutex
	var struck *machine
	broken := ""
	running := make(map[string]event)
	w.onEvent(func(ev event) {
		mu.Lock()
		defer mu.Unlock()
		key := ev.worker + " " + ev.task
		switch ev.kind {
		case "start":
			for _, other := range running {
				if other.task == ev.task && broken == "" {
					broken = fmt.Sprintf("TWICE: task %s runs on %s (run %d) and on %s (run %d)", ev.task, other.worker, other.run, ev.worker, ev.run)
				}
			}
			running[key] = ev
		case "end":
			delete(running, key)
		case "gone":
			for key, other := range running {
				if other.worker == ev.worker {
					delete(running, key)
				}
			}
		}
	})
	for n := range others {
		if err := w.submit(q, jobID(100+n), oneTask(500, 1000)); err != nil {
			return "", err
		}
	}
	w.sleep(2 * time.Second)
	for _, m := range w.machines {
		m.setJudge(func(path string, o order) verdict {
			mu.Lock()
			defer mu.Unlock()
			if path != startPath || !w.trouble || struck != nil {
				return verdict{}
			}
			struck = m
			return verdict{late: lateBy}
		})
	}
	if err := w.submit(q, jobID(1), oneTask(15000, 2000)); err != nil {
		return "", err
	}
	if w.trouble {
		isStruck := func() bool {
			mu.Lock()
			defer mu.Unlock()
			return struck != nil
		}
		if !w.await(5*time.Second, isStruck) {
			return "", fmt.Errorf("the task does not start")
		}
		struck.crash(true)
		w.sleep(downFor - overlap)
		struck.cut()
		w.sleep(overlap)
		struck.revive(false)
		w.sleep(cutFor - overlap)
		struck.heal()
	}
	isCompleted := func() bool { return w.state(q, jobID(1)).State == "completed" }
	w.await(25*time.Second, func() bool { w.sleep(time.Second); return isCompleted() })
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}

// pending fills all workers but one, lets that one reject starts, and asks for the number of pending jobs.
func pending(w *world) (string, error) {
	const workers, cpu, jobs, greyFor = 12, 8000, 12, 6500 * time.Millisecond
	q := newRoute("batch")
	if err := w.ready(workers, cpu, q); err != nil {
		return "", err
	}
	var mu sync.Mutex
	begun := make(map[string]bool)
	w.onEvent(func(ev event) {
		if ev.kind == "start" {
			mu.Lock()
			begun[ev.job()] = true
			mu.Unlock()
		}
	})
	for n := range workers - 1 {
		if err := w.submit(q, jobID(100+n), oneTask(60000, cpu)); err != nil {
			return "", err
		}
	}
	w.sleep(2 * time.Second)
	ends := time.Now().Add(greyFor)
	for _, m := range w.machines {
		if w.trouble && m.isIdle() {
			w.note("platform: machine %d rejects starts for %v", m.index, greyFor)
			m.setJudge(func(path string, _ order) verdict {
				if path == startPath && time.Now().Before(ends) {
					return verdict{status: http.StatusServiceUnavailable}
				}
				return verdict{}
			})
		}
	}
	for n := range jobs {
		if err := w.submit(q, jobID(n), oneTask(60000, 500)); err != nil {
			return "", err
		}
	}
	w.sleep(visibleTime + pendingLag)
	for time.Now().Before(ends) {
		for _, h := range w.hosts {
			a := w.call(h, http.MethodGet, q.Prefix, nil)
			waiting := 0
			mu.Lock()
			for n := range jobs {
				if !begun[jobID(n)] {
					waiting++
				}
			}
			mu.Unlock()
			if a.status == http.StatusOK && 2*a.Pending < waiting {
				return fmt.Sprintf(
					"MIXED: %s gives %d as pending, but %d jobs that were accepted over %v before have not begun", h.Name, a.Pending, waiting, visibleTime+pendingLag,
				), nil
			}
		}
		w.sleep(100 * time.Millisecond)
	}
	return "", nil
}

// gangs submits gangs among sound jobs that need more room than there is.
func gangs(w *world) (string, error) {
	const (
		workers, cpu, jobs = 66, 64000, 200
		// Two of the 52 jobs from the first to the last of these, which come within 3 s, are gangs.
		first, last, perGang = 40, 90, 25
	)
	q := newRoute("batch")
	if err := w.ready(workers, cpu, q); err != nil {
		return "", err
	}
	var mu sync.Mutex
	used, begun := 0, make(map[string]bool)
	w.onEvent(func(ev event) {
		mu.Lock()
		defer mu.Unlock()
		switch ev.kind {
		case "start":
			used += 1000
			begun[ev.job()] = true
		case "end":
			used -= 1000
		}
	})
	hopeless := job{
		Spec:  work{Milliseconds: 500}.spec(),
		Steps: []step{{Count: 20000, CPU: 500, Mem: 10, Estimate: 500, Gang: true, SameRack: true}},
	}
	for n := range jobs {
		if w.trouble && n >= first && n < last && n%perGang == perGang-1 {
			if err := w.submit(q, jobID(1000+n), hopeless); err != nil {
				return "", err
			}
		}
		if err := w.submit(q, jobID(n), oneTask(500, 1000)); err != nil {
			return "", err
		}
		w.sleep(50 * time.Millisecond)
	}
	w.sleep(finishTime)
	waiting := func() (ids []string, isFree bool) {
		mu.Lock()
		defer mu.Unlock()
		for n := range jobs {
			if !begun[jobID(n)] {
				ids = append(ids, jobID(n))
			}
		}
		return ids, used < workers*cpu/2
	}
	isFree := true
	for until := time.Now().Add(idleTime); time.Now().Before(until); w.sleep(50 * time.Millisecond) {
		_, isFreeNow := waiting()
		isFree = isFree && isFreeNow
	}
	ids, _ := waiting()
	if !isFree || len(ids) == 0 {
		return "", nil
	}
	state := w.state(q, ids[0]).State
	return fmt.Sprintf("LOST: %d of %d sound jobs have not begun, such as %s, which is %s; less than half of the capacity is in use", len(ids), jobs, ids[0], state), nil
}

// job returns the id of the job of an event.
func (ev event) job() string {
	id, _, _ := strings.Cut(ev.task, ".")
	return id
}
