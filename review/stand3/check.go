package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as the caller hands it in.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu,omitempty"`
	Mem         int64  `json:"mem_mb,omitempty"`
	Estimate    int64  `json:"estimated_ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	Saves       bool   `json:"checkpointing,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	SameRack    bool   `json:"same_rack,omitempty"`
	Label       string `json:"requirements,omitempty"`
	DataRack    string `json:"data_rack,omitempty"`
	Apart       int    `json:"anti_affinity,omitempty"`
	Speculative bool   `json:"speculative,omitempty"`
	Lasts       bool   `json:"long_running,omitempty"`
	MayMiss     int    `json:"may_miss,omitempty"`
}

// job is a job with what is known of it.
type job struct {
	ID       string `json:"-"`
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	Repeat   int64  `json:"repeat_count,omitempty"`
	Start    int64  `json:"start_at_ms,omitempty"`
	Interval int64  `json:"interval_ms,omitempty"`

	works     []stepWork
	accepted  time.Time
	cancelled time.Time // acknowledged
	cancelAt  time.Time // sent
	state     string
	failPlan  int // percent of runs that fail
	// beganDone, failed and lost count ends.
	failedEnds int
	lost       int
}

type taskInfo struct {
	active map[*run]*worker
	done   bool
	noted  bool
	failed int
	starts int
}

// checker records what the workers see and checks the rules on starts. The fleet's lock covers it.
type checker struct {
	began      time.Time
	mu         sync.Mutex
	out        *os.File
	jobs       map[string]*job
	tasks      map[taskID]*taskInfo
	violations []string
	counts     map[string]int
	random     *rand.Rand
	troubleAt  time.Time
	maxFails   int
	// onDone decides how a run ends; nil for done.
	onDone func(r *run) string
}

func newChecker(path string, seed uint64) (*checker, error) {
	out, err := os.Create(path)
	return &checker{
		began: time.Now(), out: out, jobs: make(map[string]*job), tasks: make(map[taskID]*taskInfo), counts: make(map[string]int),
		random: rand.New(rand.NewPCG(seed, seed)), maxFails: 4,
	}, err
}

func (c *checker) log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.out, "%8.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

func (c *checker) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	c.log("BROKEN %s", text)
	c.mu.Lock()
	c.violations = append(c.violations, text)
	c.mu.Unlock()
}

func (c *checker) trouble(format string, args ...any) {
	c.log("trouble: "+format, args...)
	c.troubleAt = time.Now()
}

func (c *checker) add(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.ID] = j
}

func (c *checker) job(id string) *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

func (c *checker) task(id taskID) *taskInfo {
	t := c.tasks[id]
	if t == nil {
		t = &taskInfo{active: make(map[*run]*worker)}
		c.tasks[id] = t
	}
	return t
}

func (c *checker) outcome(r *run) string {
	if c.onDone != nil {
		return c.onDone(r)
	}
	if j := c.job(r.id.job); j != nil && c.random.IntN(100) < j.failPlan {
		return "failed"
	}
	return "done"
}

func (c *checker) started(w *worker, r *run, o order) {
	c.counts["starts"]++
	c.log("start %s run %d on %s token %d checkpoint %q", r.id, r.number, w.id, o.Token, o.Checkpoint)
	j := c.job(r.id.job)
	if j == nil {
		c.violate("UNASKED", "start of %s, which nobody sent", r.id)
		return
	}
	t := c.task(r.id)
	t.starts++
	s := j.Steps[r.id.step]
	if o.Spec != j.Spec {
		c.violate("UNASKED", "start of %s with another spec", r.id)
	}
	if o.Checkpoint != "" {
		owner, _, _ := strings.Cut(o.Checkpoint, "@")
		want := r.id.String()
		if s.Gang {
			want = want[:strings.LastIndex(want, ".")]
		}
		if owner != want {
			c.violate("UNASKED", "start of %s with checkpoint %q", r.id, o.Checkpoint)
		}
	}
	if !s.Speculative {
		for other, on := range t.active {
			c.violate("TWICE", "start of %s run %d on %s while run %d is on %s", r.id, r.number, w.id, other.number, on.id)
		}
		if t.noted && !s.Lasts {
			c.violate("TWICE", "start of %s run %d on %s after its end was taken note of", r.id, r.number, w.id)
		}
	}
	for _, a := range s.After {
		for i := range j.Steps[a].Count {
			if before := c.tasks[taskID{r.id.job, r.id.occurrence, a, i}]; !j.Steps[a].Gang && (before == nil || !before.done) {
				c.violate("ORDER", "start of %s before step %d has ended", r.id, a)
				break
			}
		}
	}
	if due := time.UnixMilli(j.Start + r.id.occurrence*j.Interval); j.Repeat > 0 && time.Until(due) > 250*time.Millisecond {
		c.violate("ORDER", "start of %s %v before its time", r.id, time.Until(due))
	}
	if s.Label != "" && !slices.Contains(w.labels, s.Label) {
		c.violate("ROUTE", "start of %s on %s without label %s", r.id, w.id, s.Label)
	}
	var cpu, mem int64
	apart := 1
	for _, other := range w.runs {
		if oj := c.job(other.id.job); oj != nil {
			cpu += oj.Steps[other.id.step].CPU
			mem += oj.Steps[other.id.step].Mem
		}
		if other.id.job == r.id.job && other.id.occurrence == r.id.occurrence && other.id.step == r.id.step {
			apart++
		}
	}
	if cpu+s.CPU > w.cpu || mem+s.Mem > w.mem {
		c.violate("LIMIT", "start of %s on %s: cpu %d of %d, mem %d of %d", r.id, w.id, cpu+s.CPU, w.cpu, mem+s.Mem, w.mem)
	}
	if s.Apart > 0 && apart > s.Apart {
		c.violate("ROUTE", "start of %s on %s beyond anti_affinity %d", r.id, w.id, s.Apart)
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > 3*time.Second {
		c.violate("UNASKED", "start of %s %v after its job's cancelling", r.id, time.Since(j.cancelled))
	}
	if t.failed >= c.maxFails && !s.Lasts {
		c.violate("BUDGET", "start of %s after %d failed ends", r.id, t.failed)
	}
	t.active[r] = w
}

func (c *checker) ended(w *worker, e *end) {
	c.counts[e.how]++
	c.log("end %s run %d on %s: %s", e.run.id, e.run.number, w.id, e.how)
	t := c.task(e.run.id)
	delete(t.active, e.run)
	j := c.job(e.run.id.job)
	switch e.how {
	case "done":
		t.done = true
	case "failed":
		if j != nil {
			j.failedEnds++
		}
	case "alone":
		if time.Since(c.troubleAt) > 8*time.Second && j != nil && j.cancelAt.IsZero() {
			c.violate("GANG", "%s run %d on %s has ended alone", e.run.id, e.run.number, w.id)
		}
	}
}

func (c *checker) noted(w *worker, e *end) {
	c.log("noted %s run %d on %s: %s", e.run.id, e.run.number, w.id, e.how)
	t := c.task(e.run.id)
	switch e.how {
	case "done":
		t.noted = true
	case "failed":
		t.failed++
	}
}

// gone notes a run that ends with its worker.
func (c *checker) gone(w *worker, r *run) {
	c.counts["lost"]++
	c.log("lost %s run %d with %s", r.id, r.number, w.id)
	delete(c.task(r.id).active, r)
	if j := c.job(r.id.job); j != nil {
		j.lost++
	}
}

// rejected notes a start without a valid ticket.
func (c *checker) rejected(w *worker, o order) {
	c.mu.Lock()
	c.counts["without ticket"]++
	n := c.counts["without ticket"]
	c.mu.Unlock()
	if n <= 20 || n%50 == 0 {
		c.log("start %s run %d on %s is rejected: ticket %q (rejection %d)", o.Task, o.Run, w.id, o.Ticket, n)
	}
}

// rejections returns the number of starts without a valid ticket.
func (c *checker) rejections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts["without ticket"]
}
