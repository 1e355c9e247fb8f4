package stand

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/lovload/tally"
	"lovagefork.example/platform/caller"
	"lovagefork.example/platform/wkfake"
	"lovagefork.example/soak/check"
	"lovagefork.example/soak/plan"
)

const (
	// retryPause is the pause of a caller between two attempts, and pollInterval that between two questions for a state.
	// checkInterval is the pause between two looks at what should change soon.
	retryPause    = 250 * time.Millisecond
	pollInterval  = 500 * time.Millisecond
	checkInterval = 100 * time.Millisecond
	// maxSubmissions is the number of attempts after which a caller that is rejected gives up; its pause doubles up to
	// retryPause << maxRetryShift.
	maxSubmissions = 8
	maxRetryShift  = 3
	// maxLastingTime is how long a caller leaves a long-running job before it cancels it.
	maxLastingTime = 15 * time.Second
	extraPrefix    = "/extra/"
)

// order is a job with what its caller does.
type order struct {
	job infra.Job
	// cancelAfter is when the caller cancels the job; 0 if it waits for its end.
	cancelAfter time.Duration
}

// submitJobs submits jobs at random times until ctx ends. Each caller follows its job to its end.
func (s *soak) submitJobs(ctx context.Context, callers *sync.WaitGroup) {
	for n := range s.plan.LastingJobs {
		o := drawLastingOrder(rand.New(rand.NewPCG(s.plan.Seed, lastingStream+uint64(n))), s.plan, n)
		callers.Go(func() { s.follow(o, n) })
	}
	random := rand.New(rand.NewPCG(s.plan.Seed, 2))
	for n := 0; ctx.Err() == nil; n++ {
		o := drawOrder(random, s.plan, n)
		first := random.IntN(s.plan.Hosts)
		callers.Go(func() { s.follow(o, first) })
		s.sleep(time.Duration(random.ExpFloat64() / s.plan.JobsPerSecond * float64(time.Second)))
	}
}

// The default bounds of jobs, and the shortest work.
const (
	defaultMinTasks  = 1
	defaultMaxTasks  = 8
	minWorkMS        = 300
	defaultMaxWorkMS = 3300
)

// drawOrder returns the n-th job of a plan.
func drawOrder(random *rand.Rand, p plan.Plan, n int) order {
	minTasks, maxTasks := cmp.Or(p.MinTasks, defaultMinTasks), cmp.Or(p.MaxTasks, defaultMaxTasks)
	work := wkfake.Work{Padding: padding(p), Milliseconds: minWorkMS + random.Int64N(max(1, cmp.Or(p.MaxWorkMS, defaultMaxWorkMS)-minWorkMS))}
	if random.IntN(6) == 0 {
		work.Milliseconds *= 3
	}
	step := infra.Step{
		Count:    minTasks + random.IntN(maxTasks-minTasks+1),
		Estimate: time.Duration(float64(work.Milliseconds)*(0.5+random.Float64())) * time.Millisecond,
		Size:     fleet.Resources{MilliCPU: 1000 * (1 + random.Int64N(4)), MemoryBytes: 256 << 20},
	}
	o := order{job: infra.Job{ID: fleet.JobID(fmt.Sprintf("%08x%08x", uint32(p.Seed), n)), Queue: queueName, Steps: []infra.Step{step}}}
	switch random.IntN(10) {
	case 0:
		second, third := step, step
		second.After, third.After = []int{0}, []int{0, 1}
		o.job.Steps = append(o.job.Steps, second, third)
	case 1:
		work.FailPercent = 40
	case 2:
		o.cancelAfter = time.Duration(random.Int64N(4000)) * time.Millisecond
	case 3:
		work.Milliseconds, o.job.Steps[0].LongRunning = 0, true
		o.job.Steps[0].Count = 1 + random.IntN(3)
		o.cancelAfter = time.Duration(random.Int64N(int64(maxLastingTime)))
	case 4:
		o.job.Steps[0].Speculative = true
	case 5:
		o.job.Steps[0].Count = 1
		o.job.Schedule = infra.Schedule{Count: 2 + random.Int64N(3), Start: time.Now().Add(2 * time.Second).UnixMilli(), Interval: 4 * time.Second}
	case 6:
		o.job.Steps[0].Checkpoints = true
	}
	o.job.Spec = work.Spec()
	return o
}

// padding returns what makes the specs of a plan's jobs as large as the plan says. It does not compress.
func padding(p plan.Plan) string {
	random := rand.New(rand.NewPCG(p.Seed, paddingStream))
	text := make([]byte, p.SpecBytes)
	for i := range text {
		text[i] = 'a' + byte(random.IntN(26))
	}
	return string(text)
}

// paddingStream is the random stream of the padding.
const paddingStream = 3

// lastingStream is the random stream of the first long-running job; each has its own.
const lastingStream = 1000

// The bounds of jobs that last beyond the load, and their time beyond it, in which tasks run again after the last faults.
const (
	minLastingTasks = 2
	maxLastingTasks = 8
	lastingBeyond   = 25 * time.Second
)

// drawLastingOrder returns the n-th long-running job that stays beyond the load.
func drawLastingOrder(random *rand.Rand, p plan.Plan, n int) order {
	step := infra.Step{
		Count: cmp.Or(p.LastingTasks, minLastingTasks+random.IntN(maxLastingTasks-minLastingTasks+1)), LongRunning: true, Estimate: 500 * time.Millisecond,
		Size: fleet.Resources{MilliCPU: 500 * (1 + random.Int64N(4)), MemoryBytes: 256 << 20},
	}
	return order{
		job:         infra.Job{ID: fleet.JobID(fmt.Sprintf("1a%06x%08x", uint32(p.Seed)&0xffffff, n)), Queue: queueName, Spec: wkfake.Work{Padding: padding(p)}.Spec(), Steps: []infra.Step{step}},
		cancelAfter: time.Duration(p.LoadMS)*time.Millisecond + lastingBeyond,
	}
}

// host returns the n-th host that a caller tries.
func (s *soak) host(n int) *host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[n%len(s.hosts)]
}

// follow submits a job and follows it to its end.
func (s *soak) follow(o order, first int) {
	n := first
	if !s.submit(o.job, &n) {
		return
	}
	accepted := time.Now()
	isCancelled := false
	for deadline := accepted.Add(o.cancelAfter + settleTime); time.Now().Before(deadline); n++ {
		if o.cancelAfter > 0 && !isCancelled && time.Since(accepted) > o.cancelAfter {
			isCancelled = s.cancelJob(o.job.ID, &n)
		}
		if s.askState(o.job.ID, n).Final() || !s.sleep(pollInterval) {
			return
		}
	}
}

// submit submits a job until it is accepted. A caller that is rejected gives up after some attempts.
func (s *soak) submit(j infra.Job, n *int) bool {
	began := time.Now()
	for attempt := range maxSubmissions {
		h := s.host(*n)
		s.observe(check.Submitted{Job: j, MaxAttempts: maxAttempts})
		a := s.client.Submit(s.ctx, h.FrontAddr(), j)
		s.observeCall(h, a, "submit "+string(j.ID))
		answer := check.SubmitUnknown
		switch {
		case a.IsAccepted():
			answer = check.SubmitAccepted
		case a.IsRejected():
			answer = check.SubmitRejected
		}
		s.observe(check.SubmitAnswered{Job: j.ID, Answer: answer})
		if a.IsAccepted() {
			s.tally.Add(tally.Record{Stream: "submissions", At: began.Sub(s.began), Latency: time.Since(began), Outcome: tally.OutcomeGood})
			return true
		}
		*n++
		if !s.sleep(retryPause << min(attempt, maxRetryShift)) {
			return false
		}
	}
	s.tally.Add(tally.Record{Stream: "submissions", At: began.Sub(s.began), Latency: time.Since(began), Outcome: tally.OutcomeNotRun})
	return false
}

// observeCall reports a call whose connection broke before its answer.
func (s *soak) observeCall(h *host, a caller.Answer, text string) {
	outcome := tally.OutcomeGood
	switch {
	case a.Status == 0:
		outcome = tally.OutcomeConnectionLost
	case !a.IsAccepted():
		outcome = tally.OutcomeNotRun
	}
	s.tally.Add(tally.Record{Stream: "calls", At: time.Since(s.began) - a.Took, Latency: a.Took, Outcome: outcome, Reason: strconv.Itoa(a.Status)})
	if a.Status == 0 && a.Took < callerTimeout && s.ctx.Err() == nil && a.IsBroken() {
		s.observe(check.CallBroken{Host: h.Name, Took: a.Took, Text: fmt.Sprintf("%s: %v", text, a.Err)})
	}
}

func (s *soak) cancelJob(id fleet.JobID, n *int) bool {
	h := s.host(*n)
	s.observe(check.CancelSent{Job: id})
	a := s.client.Cancel(s.ctx, h.FrontAddr(), id)
	s.observeCall(h, a, "cancel "+string(id))
	*n++
	if a.IsAccepted() || a.IsUnknown() {
		s.observe(check.CancelAcked{Job: id})
		return true
	}
	return false
}

// askState asks for the state of a job and reports what the caller is told.
func (s *soak) askState(id fleet.JobID, n int) infra.State {
	h := s.host(n)
	a := s.client.State(s.ctx, h.FrontAddr(), id)
	s.observeCall(h, a, "state "+string(id))
	if a.IsUnknown() {
		s.observe(check.UnknownSeen{Job: id, Host: h.Name})
	}
	state := a.State()
	if state != "" {
		s.observe(check.StateSeen{Job: id, State: state})
	}
	return state
}

// extraQueue is the queue that changes of the configuration add and remove.
type extraQueue struct {
	version int64
	exists  bool
}

// changeConfiguration adds and removes the extra queue while the load lasts, and asks each entry process for it until probing
// ends.
func (s *soak) changeConfiguration(probing, load context.Context) {
	if s.plan.ConfigEveryMS == 0 {
		return
	}
	client := caller.New(queueHost, extraPrefix, callerTimeout, caller.WithDialer(s.links.dial))
	interval := time.Duration(s.plan.ConfigEveryMS) * time.Millisecond
	next := time.Now().Add(interval)
	for n := 0; probing.Err() == nil; n++ {
		if load.Err() == nil && time.Now().After(next) {
			next = time.Now().Add(interval)
			s.extra.exists = !s.extra.exists
			s.configure()
			s.observe(check.Configured{Version: s.extra.version})
		}
		h, sent := s.host(n), time.Since(s.began)
		if a := client.Pending(probing, h.FrontAddr()); a.Status != 0 && !a.IsUnavailable() {
			s.observe(check.RouteAsked{Host: h.Name, Exists: s.extra.exists, Found: a.IsAccepted(), Sent: sent})
		}
		s.sleep(pollInterval / 2)
	}
}
