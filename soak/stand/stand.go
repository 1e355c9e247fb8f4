package stand

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"lovagefork.example/coord/infra"
	"lovagefork.example/lovload/tally"
	"lovagefork.example/platform"
	"lovagefork.example/platform/caller"
	"lovagefork.example/platform/kvfake"
	"lovagefork.example/soak/check"
	"lovagefork.example/soak/links"
	"lovagefork.example/soak/plan"
)

const (
	// storeLatency is the time of one call of the platform's store.
	storeLatency = 4 * time.Millisecond
	gracePeriod  = 6 * time.Second
	// recoveryTime is the time after the last fault after which callers are served again, and settleTime the time after the
	// load until all jobs have ended.
	recoveryTime = 12 * time.Second
	settleTime   = 90 * time.Second
	readyTimeout = 20 * time.Second
	// cancelTime is the time after which nothing of a cancelled job runs.
	cancelTime = 3500 * time.Millisecond
	// callerTimeout is how long callers wait for an answer.
	callerTimeout = 3 * time.Second

	queueName   = "batch"
	queueHost   = "queue.example"
	queuePrefix = "/batch/"
	maxAttempts = 4
)

// soak is a running soak.
type soak struct {
	plan    plan.Plan
	program string
	dir     string
	began   time.Time
	// ctx ends with the soak; cancel ends it with the reason why it cannot go on.
	ctx    context.Context
	cancel context.CancelCauseFunc

	network *network
	links   *hostLinks
	store   *kvfake.Store
	client  *caller.Client
	tally   *tally.Tally
	record  *record
	// machines are the hosts of the workers.
	machines []*machine
	// faults are the faults in force.
	faults    sync.WaitGroup
	loadBegan time.Duration
	extra     extraQueue

	mu sync.Mutex
	// hosts are the present ones, and bornHosts counts all that there were.
	hosts     []*host
	bornHosts int
	// servers serve the store, each to one host.
	servers []*http.Server
	// random draws the targets of faults.
	random *rand.Rand
	// elections are those of schedulers, in their order.
	elections []election
	// strikes are those of the faults that have ended.
	strikes    []strike
	stalls     int
	checker    *check.Checker
	violations []check.Violation
}

// permutation returns the numbers below n in a random order.
func (s *soak) permutation(n int) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Perm(n)
}

// Report is the result of a soak.
type Report struct {
	Plan plan.Plan     `json:"plan"`
	Took time.Duration `json:"took_ns"`
	// LoadBegan is when the load began, from which the times of the plan count.
	LoadBegan time.Duration  `json:"load_began_ns"`
	Jobs      map[string]int `json:"jobs"`
	Starts    int            `json:"starts"`
	// Repeats counts the starts of tasks that had ended done.
	Repeats    int               `json:"repeats"`
	Violations []check.Violation `json:"violations"`
	Hits       []Hits            `json:"hits"`
	// Elections is the number of schedulers that were elected, and Leaderships says what they did.
	Elections   int          `json:"elections"`
	Leaderships []Leadership `json:"leaderships"`
	// FirstStarts is how long tasks waited for their first start, and Restarts how long long-running ones were down.
	FirstStarts check.Waits `json:"first_starts"`
	Restarts    check.Waits `json:"restarts"`
	// Lapsed counts the runs that ended with a lease, and Unanswered the starts that schedulers logged as not answered.
	Lapsed     int `json:"lapsed"`
	Unanswered int `json:"unanswered"`
	// Stalls counts the times at which this process did not get the processor; they can hide violations.
	Stalls int `json:"stalls"`
	// Timeline holds what callers saw, and Streams its summaries.
	Timeline []tally.Point   `json:"-"`
	Streams  []tally.Summary `json:"streams"`
}

// Run plays a plan with an entry program, and writes its settings, logs and observations to a directory. It ends all that it
// has started; its error says why the plan could not be played.
func Run(ctx context.Context, p plan.Plan, program, dir string) (Report, error) {
	record, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		return Report{}, err
	}
	s := &soak{
		plan: p, program: program, dir: dir, record: record, tally: &tally.Tally{}, random: rand.New(rand.NewPCG(p.Seed, 1)),
		checker: check.New(check.WithStartLimit(time.Duration(p.MaxStartMS) * time.Millisecond)),
		began:   time.Now(), links: &hostLinks{byIP: make(map[string]*links.Link)},
	}
	s.client = caller.New(queueHost, queuePrefix, callerTimeout, caller.WithDialer(s.links.dial))
	record.padding = padding(p)
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	defer s.cancel(nil)
	s.store = kvfake.New(kvfake.WithLatency(storeLatency), kvfake.WithSeed(p.Seed), kvfake.WithCommitHook(s.committed))
	defer s.close()
	if err := s.start(); err != nil {
		return Report{}, err
	}
	s.play()
	if err := context.Cause(s.ctx); err != nil {
		return Report{}, err
	}
	return s.report()
}

// abortOn ends the soak if it cannot go on.
func (s *soak) abortOn(err error) {
	if err != nil {
		s.cancel(err)
	}
}

// sleep waits; it returns false if the soak ends before.
func (s *soak) sleep(d time.Duration) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// observe passes an observation to the checker and records it.
func (s *soak) observe(ev check.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Since(s.began)
	if _, isTick := ev.(check.Ticked); !isTick {
		s.record.add(at, ev)
	}
	for _, v := range s.checker.Step(at, ev) {
		s.record.addText(at, "VIOLATION "+v.String())
		s.violations = append(s.violations, v)
	}
}

// start brings up the store, the workers and the entry processes.
func (s *soak) start() (err error) {
	if s.network, err = reserveNetwork(); err != nil {
		return err
	}
	s.configure()
	for i := range s.plan.Workers {
		m := &machine{index: i}
		if err := s.boot(m, false); err != nil {
			return err
		}
		s.machines = append(s.machines, m)
	}
	for n := range s.plan.Hosts {
		if err := s.addHost(s.plan.GroupOf(n)); err != nil {
			return err
		}
	}
	for _, h := range s.presentHosts() {
		if !s.awaitReady(h, readyTimeout) {
			return &NotReadyError{Host: h.Name, LogFile: h.logFile}
		}
	}
	// A scheduler is elected and hears from all workers.
	s.sleep(3 * time.Second)
	return nil
}

// NotReadyError reports an entry process that does not become ready.
type NotReadyError struct {
	Host    string
	LogFile string
}

// Error returns the host and its log file.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("%s is not ready, see %s", e.Host, e.LogFile)
}

// serveStore serves the store to the host with an index, behind its link unless that is nil, and returns its address.
func (s *soak) serveStore(index int, link *links.Link) (string, error) {
	linkOf := func(net.Addr) *links.Link { return link }
	listener, err := links.Listen(s.network.address(storeHost, firstStorePort+index), links.WithLinks(linkOf))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s.store.Handler(hostName(index))}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.abortOn(err)
		}
	}()
	return listener.Addr().String(), nil
}

func (s *soak) awaitReady(h *host, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		if h.isReady() {
			return true
		}
		if !s.sleep(50 * time.Millisecond) {
			return false
		}
	}
	return false
}

// processEnded records the end of an entry process; one that was not told to end shows a fault.
func (s *soak) processEnded(h *host, isExpected bool, err error) {
	if !isExpected {
		s.observe(check.HostUnavailable{Host: h.Name, Reason: fmt.Sprintf("the process has ended by itself: %v", err)})
	}
}

// close ends all processes, workers and servers.
func (s *soak) close() {
	for _, h := range s.presentHosts() {
		h.close()
	}
	for _, m := range s.machines {
		m.crash(false)
		m.pending.Close()
	}
	for _, server := range s.servers {
		// The processes that use the server have ended.
		_ = server.Close()
	}
	s.store.Close()
	if s.network != nil {
		s.abortOn(s.network.release())
	}
	s.abortOn(s.record.close())
}

// play runs the load beside the faults, and then waits until all has settled.
func (s *soak) play() {
	s.loadBegan = time.Since(s.began)
	load, end := context.WithTimeout(s.ctx, time.Duration(s.plan.LoadMS)*time.Millisecond)
	defer end()
	var callers, probes sync.WaitGroup
	probing, endProbes := context.WithCancel(s.ctx)
	defer endProbes()
	probes.Go(func() { s.watchDelays(probing) })
	probes.Go(func() { s.tick(probing) })
	probes.Go(func() { s.changeConfiguration(probing, load) })
	s.faults.Go(s.injectAll)
	s.submitJobs(load, &callers)
	s.faults.Wait()
	faultsEnded := time.Now()
	s.awaitAvailability(faultsEnded.Add(recoveryTime))
	callers.Wait()
	if s.sleep(cancelTime) {
		s.abortOn(s.checkRestored())
	}
	endProbes()
	probes.Wait()
	s.observe(check.Finished{})
}

// awaitAvailability checks that all entry processes serve callers by a time after the last fault.
func (s *soak) awaitAvailability(limit time.Time) {
	for _, h := range s.presentHosts() {
		reason := s.unavailableReason(h)
		for reason != "" && time.Now().Before(limit) && s.sleep(checkInterval) {
			reason = s.unavailableReason(h)
		}
		if reason != "" {
			s.observe(check.HostUnavailable{Host: h.Name, Reason: reason})
		}
	}
}

// unavailableReason returns why an entry process does not serve callers, or an empty text.
func (s *soak) unavailableReason(h *host) string {
	if !h.isReady() {
		return "not ready"
	}
	if a := s.client.Pending(s.ctx, h.FrontAddr()); !a.IsAccepted() {
		return fmt.Sprintf("status %d, %v", a.Status, a.Err)
	}
	return ""
}

// The ticks of watchDelays. A pause of the whole machine counts as a fault for the bounds of time.
const (
	delayTick = 20 * time.Millisecond
	maxDelay  = 250 * time.Millisecond
)

// watchDelays reports the times in which this process did not get the processor.
func (s *soak) watchDelays(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; last = time.Now() {
		time.Sleep(delayTick)
		if late := time.Since(last); late > maxDelay {
			text := fmt.Sprintf("the machine is busy, %v late", late)
			s.mu.Lock()
			s.stalls++
			s.mu.Unlock()
			s.observe(check.FaultBegan{Text: text})
			s.observe(check.FaultEnded{Text: text})
		}
	}
}

// checkTick is the interval at which bounds of time are checked.
const checkTick = 100 * time.Millisecond

// tick lets the checker see that time passes.
func (s *soak) tick(ctx context.Context) {
	ticker := time.NewTicker(checkTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.observe(check.Ticked{})
		}
	}
}

// configure writes the configuration with the extra queue in its present state.
func (s *soak) configure() {
	c := infra.Catalog{
		Version:  s.extra.version + 1,
		Services: []infra.Service{{Name: serviceName}},
		Queues: []infra.Queue{{
			Name: queueName, Host: queueHost, Prefix: queuePrefix, Timeout: callerTimeout, Service: serviceName, MaxAttempts: maxAttempts,
			StretchFactor: 2, TargetLatency: time.Second,
		}},
	}
	if s.extra.exists {
		c.Queues = append(c.Queues, infra.Queue{
			Name: "extra", Host: queueHost, Prefix: extraPrefix, Timeout: callerTimeout, Service: serviceName, MaxAttempts: maxAttempts,
			StretchFactor: 2, TargetLatency: time.Second,
		})
	}
	s.extra.version = c.Version
	s.store.Put(platform.CatalogKey, caller.Catalog(c))
}

func (s *soak) report() (Report, error) {
	unanswered, err := countUnanswered(s.dir)
	if err != nil {
		return Report{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return Report{
		Plan: s.plan, Took: time.Since(s.began), LoadBegan: s.loadBegan, Jobs: s.checker.JobStates(), Starts: s.checker.Starts(), Repeats: s.checker.Repeats(), Violations: s.violations,
		Hits: s.countHits(), Elections: len(s.elections), Leaderships: s.leaderships(),
		FirstStarts: s.checker.FirstStarts(), Restarts: s.checker.Restarts(), Lapsed: s.checker.Lapsed(), Unanswered: unanswered, Stalls: s.stalls,
		Timeline: s.tally.Timeline(time.Second), Streams: s.tally.Summaries(),
	}, nil
}
