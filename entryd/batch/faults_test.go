package batch_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/lease"
)

var (
	hosts       = []fleet.EntryHostID{"e1", "e2"}
	hostZones   = map[fleet.EntryHostID]fleet.AvailabilityZone{"e1": "a", "e2": "b"}
	workerNames = []fleet.WorkerID{"a0", "a1", "b0", "b1"}
)

// action is a fault or a request; after is the time since the previous action.
type action struct {
	kind     string
	after    time.Duration
	duration time.Duration
	host     fleet.EntryHostID
	worker   fleet.WorkerID
	job      int
	count    int
	flag     bool
}

// faultPlan holds the jobs to submit and the actions to apply.
type faultPlan struct {
	tasks       []int
	runMS       []int64
	classes     []string
	failingJobs []bool
	actions     []action
	// actionsBeforeJobs is the number of actions before the jobs are submitted, so that faults also affect the first
	// task starts.
	actionsBeforeJobs int
}

// actionKinds lists the kinds of actions. "cut" makes a worker unreachable for all processes, "isolate" cuts a process
// off from the store, and "disconnect" cuts a process off from a worker. The flag of an outage states whether leases
// expire during it, and that of "disconnect" whether it covers the whole zone of the worker.
var actionKinds = []string{
	"pause", "kill", "lose start", "late start", "lose store", "outage", "evict", "cancel", "evict and cancel",
	"cut", "reboot", "resubmit", "drain", "isolate", "disconnect", "isolate and disconnect", "long outage",
}

// drawDuration draws a duration near one of several sizes, because a draw from the whole range would favour short ones.
func drawDuration(t *rapid.T, name string, sizes ...int) time.Duration {
	size := rapid.SampledFrom(sizes).Draw(t, name)
	return time.Duration(size+rapid.IntRange(0, size/2).Draw(t, name+" extra")) * time.Millisecond
}

func drawPlan(t *rapid.T) faultPlan {
	var p faultPlan
	n := rapid.IntRange(2, 5).Draw(t, "jobs")
	for range n {
		p.tasks = append(p.tasks, rapid.IntRange(1, 5).Draw(t, "tasks"))
		p.runMS = append(p.runMS, drawDuration(t, "run", 100, 2000, 20_000, 80_000).Milliseconds())
		p.classes = append(p.classes, rapid.SampledFrom([]string{"urgent", "standard", "deferrable"}).Draw(t, "class"))
		p.failingJobs = append(p.failingJobs, rapid.IntRange(0, 5).Draw(t, "failing") == 0)
	}
	for range rapid.IntRange(1, 8).Draw(t, "actions") {
		p.actions = append(p.actions, action{
			kind:     rapid.SampledFrom(actionKinds).Draw(t, "kind"),
			after:    drawDuration(t, "after", 0, 50, 1000, 6000),
			duration: drawDuration(t, "length", 10, 1000, 10_000, 27_000),
			host:     rapid.SampledFrom(hosts).Draw(t, "host"),
			worker:   rapid.SampledFrom(workerNames).Draw(t, "worker"),
			job:      rapid.IntRange(0, n-1).Draw(t, "job"),
			count:    rapid.IntRange(1, 3).Draw(t, "count"),
			flag:     rapid.Bool().Draw(t, "flag"),
		})
	}
	p.actionsBeforeJobs = rapid.IntRange(0, min(2, len(p.actions))).Draw(t, "actions before jobs")
	return p
}

// settleTime is the time after the last action by which every fault has ended.
func (p faultPlan) settleTime() time.Duration {
	longest := 10 * time.Second
	for _, a := range p.actions {
		longest = max(longest, 6*a.duration)
	}
	return longest
}

// planRun is one run of a plan and the problems found in it.
type planRun struct {
	cluster *cluster
	plan    faultPlan
	// submits counts the pending submissions, which may last longer than the fault that delays them.
	submits sync.WaitGroup
	mu      sync.Mutex
	// acceptedJobs holds the jobs that were acknowledged. possibleJobs holds those that may exist, because some
	// submission was not answered with the outcome not_run.
	acceptedJobs  map[int]bool
	possibleJobs  map[int]bool
	cancelledJobs map[int]bool
	problems      []string
}

// ownershipTimeout is the time after the last fault within which every partition must have an owner. It is the TTL of a
// session.
const ownershipTimeout = lease.TTL

func (r *planRun) anyProcess() *process {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	for _, h := range hosts {
		if p := r.cluster.processes[h]; p != nil {
			return p
		}
	}
	return nil
}

func (r *planRun) processOn(h fleet.EntryHostID) *process {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	return r.cluster.processes[h]
}

func jobName(i int) string { return fmt.Sprintf("job%d", i) }

func (r *planRun) submit(i int) {
	p := r.anyProcess()
	if p == nil {
		return
	}
	body := jobBody(jobName(i), r.plan.classes[i], r.plan.tasks[i], r.plan.runMS[i])
	if r.plan.failingJobs[i] {
		body = `{"kind":"bad",` + body[1:]
	}
	code, text := p.request(http.MethodPost, "/v1/jobs", body)
	r.mu.Lock()
	defer r.mu.Unlock()
	if code == http.StatusCreated || code == http.StatusOK {
		r.acceptedJobs[i] = true
	}
	if !strings.Contains(text, `"outcome":"not_run"`) {
		r.possibleJobs[i] = true
	}
}

func (r *planRun) apply(a action) {
	time.Sleep(a.after)
	p, workers := r.processOn(a.host), r.cluster.workers
	switch a.kind {
	case "pause":
		if p != nil {
			p.pause()
			time.AfterFunc(a.duration, p.resume)
		}
	case "kill":
		r.cluster.kill(a.host)
		time.AfterFunc(a.duration, func() { r.restart(a.host) })
	case "drain":
		if p != nil {
			go func() { _ = p.runtime.Drain(p.ctx) }()
			time.AfterFunc(a.duration, func() {
				r.cluster.kill(a.host)
				r.restart(a.host)
			})
		}
	case "lose start", "late start":
		workers.mu.Lock()
		workers.loseNext = a.count
		workers.lateBy = 0
		if a.kind == "late start" {
			workers.lateBy = a.duration / 10
		}
		workers.mu.Unlock()
	case "lose store":
		r.cluster.store.mu.Lock()
		r.cluster.store.loseNext = a.count
		r.cluster.store.mu.Unlock()
	case "outage":
		r.cluster.store.setDown(true, a.flag)
		time.AfterFunc(a.duration, func() { r.cluster.store.setDown(false, a.flag) })
	case "long outage": // up to 4 minutes, which exceeds testHorizon
		r.cluster.store.setDown(true, a.flag)
		time.AfterFunc(6*a.duration, func() { r.cluster.store.setDown(false, a.flag) })
	case "isolate", "disconnect", "isolate and disconnect":
		r.isolate(a)
	case "cut":
		workers.setCut(a.worker, true)
		time.AfterFunc(3*a.duration, func() { workers.setCut(a.worker, false) })
	case "reboot":
		workers.reboot(a.worker)
	case "resubmit":
		r.submits.Go(func() { r.submit(a.job) })
	default:
		r.changeJob(a)
	}
}

// isolate cuts one process off from the store, or another one from a worker or a zone. If it does both, a former owner
// renews the leases of tasks that the next owner cannot reach.
func (r *planRun) isolate(a action) {
	for _, h := range hosts {
		p := r.processOn(h)
		if p == nil || (a.kind != "isolate and disconnect" && h != a.host) {
			continue
		}
		if a.kind == "isolate" || (a.kind != "disconnect" && h == a.host) {
			p.set(func(p *process) { p.storeCut = true })
			time.AfterFunc(5*a.duration, func() { p.set(func(p *process) { p.storeCut = false }) })
			continue
		}
		prefix := string(a.worker)
		if a.flag {
			prefix = prefix[:1] // the whole zone
		}
		r.cluster.workers.setUnreachable(prefix)
		p.set(func(p *process) { p.cutWorkers = prefix })
		time.AfterFunc(6*a.duration, func() { p.set(func(p *process) { p.cutWorkers = "" }) })
	}
}

func (r *planRun) changeJob(a action) {
	p := r.processOn(a.host)
	if p == nil {
		return
	}
	if a.kind != "cancel" {
		go p.requestJob(http.MethodPost, "/v1/jobs/"+jobName(a.job)+"/evict", "")
	}
	if a.kind != "evict" {
		code, _ := p.requestJob(http.MethodDelete, "/v1/jobs/"+jobName(a.job), "")
		if code == http.StatusOK {
			r.cancelledJobs[a.job] = true
		}
	}
}

func (r *planRun) restart(h fleet.EntryHostID) {
	if r.processOn(h) == nil {
		r.cluster.start(h, hostZones[h])
	}
}

// finalState returns a job, the HTTP status of the response, and whether the job has ended.
func (r *planRun) finalState(i int) (jobs.View, int, bool) {
	p := r.anyProcess()
	if p == nil {
		return jobs.View{}, http.StatusServiceUnavailable, false
	}
	code, v := p.requestJob(http.MethodGet, "/v1/jobs/"+jobName(i)+"/explain", "")
	ended := slices.Contains([]jobs.State{jobs.StateSucceeded, jobs.StateFailed, jobs.StateCancelled}, v.State)
	return v, code, code == http.StatusOK && ended
}

func (r *planRun) run() {
	c := r.cluster
	for _, h := range hosts {
		c.start(h, hostZones[h])
	}
	time.Sleep(4 * time.Second)
	for _, a := range r.plan.actions[:r.plan.actionsBeforeJobs] {
		r.apply(a)
	}
	for i := range r.plan.tasks {
		r.submit(i)
	}
	for _, a := range r.plan.actions[r.plan.actionsBeforeJobs:] {
		r.apply(a)
	}
	time.Sleep(r.plan.settleTime())
	r.submits.Wait()
	time.Sleep(ownershipTimeout)
	// A failing job may take five attempts of up to two minutes, each of them interrupted.
	deadline := time.Now().Add(testHorizon + 20*time.Minute)
	for i := range r.plan.tasks {
		v, code, done := r.finalState(i)
		for !done && code != http.StatusNotFound && time.Now().Before(deadline) {
			time.Sleep(time.Second)
			v, code, done = r.finalState(i)
		}
		// A job whose acknowledgement was lost runs like any other, and occupies workers until it ends.
		exists := code != http.StatusNotFound
		if exists || r.acceptedJobs[i] {
			r.check(i, v, done)
		}
		if exists && !r.possibleJobs[i] {
			r.problems = append(r.problems, fmt.Sprintf("job %d exists, but its caller was told that it has not run", i))
		}
	}
	r.checkCapacity()
	c.workers.mu.Lock()
	r.problems = append(r.problems, c.workers.violations...)
	c.workers.mu.Unlock()
}

// checkCapacity fills every worker, which fails if the reservation of an ended attempt was not released.
func (r *planRun) checkCapacity() {
	p := r.anyProcess()
	for _, id := range []string{"probe0", "probe1"} {
		body := strings.Replace(jobBody(id, "urgent", 2, 600_000), "1000}", "4000}", 1)
		if status, text := p.request(http.MethodPost, "/v1/jobs", body); status != http.StatusCreated {
			r.problems = append(r.problems, text)
		}
	}
	time.Sleep(40 * time.Second)
	if n := r.cluster.workers.running(isJob("probe0")) + r.cluster.workers.running(isJob("probe1")); n != 4 {
		r.problems = append(r.problems, fmt.Sprintf("%d of 4 workers can be filled", n))
	}
}

func (r *planRun) check(i int, v jobs.View, done bool) {
	want := jobs.StateSucceeded
	switch {
	case r.cancelledJobs[i]:
		want = jobs.StateCancelled
	case r.plan.failingJobs[i]:
		want = jobs.StateFailed
	}
	if !done || (v.State != want && v.State != jobs.StateCancelled) || (r.cancelledJobs[i] && v.State != want) {
		r.problems = append(r.problems, fmt.Sprintf("job %d is %s, want %s: %+v", i, v.State, want, v))
	}
	for _, t := range v.Tasks {
		if t.Failures > 5 {
			r.problems = append(r.problems, fmt.Sprintf("task %s failed %d times", t.Task, t.Failures))
		}
	}
}

// Applies faults in random order: paused, killed, drained and isolated processes, store outages, lost responses, and
// unreachable and rebooted workers. Guards against a task that runs in two places at once, an attempt that runs twice,
// an evicted task that loses its checkpoint, an accepted job that does not end, a job that exists although its
// submission was answered with not_run, and reservations that are never released.
func TestFaultsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var problems []string
		var logs string
		synctest.Test(t, func(*testing.T) {
			c := newCluster(2)
			c.workers.failingKinds["bad"] = true
			r := &planRun{cluster: c, plan: p, acceptedJobs: map[int]bool{}, possibleJobs: map[int]bool{}, cancelledJobs: map[int]bool{}}
			r.run()
			c.stop()
			problems, logs = r.problems, c.logs.String()
		})
		if len(problems) > 0 {
			rt.Fatalf("%q\n%s", problems, logs)
		}
	})
}
