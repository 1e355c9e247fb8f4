package leader_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/vnet"
	"lovagefork.example/entryd/leader"
	"lovagefork.example/platform"
	"lovagefork.example/platform/kvfake"
	"lovagefork.example/platform/wkfake"
)

const (
	wideLink = 1000
	// specBytes is the mean size of the specs of a large deployment.
	specBytes = 2400
	// leaseLapse is longer than the longest lease of tasks.
	leaseLapse = 7 * time.Second
	// lostTime is how soon after its last run a long-running task must run again: it is missed from 6 s after that, and lost
	// once it has been missed for 3 s.
	lostTime = 9 * time.Second
)

// The goroutine that updates all meters starts with the first of them, and must not belong to a bubble.
var _ = metrics.NewMeter()

// messageCounts is a [slog.Handler] that counts messages.
type messageCounts struct {
	mu     sync.Mutex
	counts map[string]int
	// first holds when each message was seen first.
	first map[string]time.Time
}

func newMessageCounts() *messageCounts {
	return &messageCounts{counts: make(map[string]int), first: make(map[string]time.Time)}
}

// Enabled implements [slog.Handler].
func (*messageCounts) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements [slog.Handler].
func (c *messageCounts) Handle(_ context.Context, r slog.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[r.Message] == 0 {
		c.first[r.Message] = time.Now()
	}
	c.counts[r.Message]++
	return nil
}

// WithAttrs implements [slog.Handler].
func (c *messageCounts) WithAttrs([]slog.Attr) slog.Handler { return c }

// WithGroup implements [slog.Handler].
func (c *messageCounts) WithGroup(string) slog.Handler { return c }

func (c *messageCounts) of(message string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[message]
}

func (c *messageCounts) firstAt(message string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first[message]
}

// linkJobs describes the work of a [linkFleet].
type linkJobs struct {
	longRunning int
	batch       int
	// tasks is the number of tasks of a job, and batchTime how long each of a batch job works.
	tasks     int
	batchTime time.Duration
}

// seenTask is what the workers have seen of a task.
type seenTask struct {
	starts  []time.Time
	running int
	lastEnd time.Time
}

// linkFleet is a store and workers with wide links on a virtual network. It exists in a bubble of testing/synctest.
type linkFleet struct {
	t       *testing.T
	network *vnet.Network
	store   *kvfake.Store
	workers []*wkfake.Worker
	catalog *infra.Catalog
	stops   []func()

	mu       sync.Mutex
	tasks    map[infra.TaskID]*seenTask
	outcomes map[infra.Outcome]int
}

// newLinkFleet starts the store and the workers. They end with the test.
func newLinkFleet(t *testing.T, workers int) *linkFleet {
	f := &linkFleet{
		t: t, network: vnet.New(vnet.WithLatency(4 * time.Millisecond)), store: kvfake.New(kvfake.WithLatency(2 * time.Millisecond)),
		tasks: make(map[infra.TaskID]*seenTask), outcomes: make(map[infra.Outcome]int),
		catalog: &infra.Catalog{
			Version:  1,
			Queues:   []infra.Queue{{Name: "batch", Service: "pool", MaxAttempts: 3, StretchFactor: 2, TargetLatency: time.Second}},
			Services: []infra.Service{{Name: "pool"}},
		},
	}
	server := &http.Server{Handler: f.store}
	listener := f.network.AddHost(wideLink * 1e6).Listen("store:1")
	go func() { _ = server.Serve(listener) }()
	for i := range workers {
		address := fmt.Sprintf("10.1.%d.%d:1", i/250, i%250+1)
		info := infra.Worker{
			ID: fleet.WorkerID(fmt.Sprintf("w%03d", i)), Service: "pool", Zone: "z", Version: "1",
			Capacity: fleet.Resources{MilliCPU: 64000, MemoryBytes: 64 << 30},
		}
		f.workers = append(f.workers, wkfake.New(
			info, f.network.AddHost(wideLink*1e6).Listen(address), f.store, f.observe, wkfake.WithWorkInterval(50*time.Millisecond),
		))
	}
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
		for _, w := range f.workers {
			w.Crash()
		}
		f.network.Close()
		_ = server.Close()
		f.store.Close()
		// Time stands still once the test has returned, and calls in progress would never end.
		time.Sleep(time.Minute)
	})
	return f
}

func (f *linkFleet) observe(ev wkfake.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch ev := ev.(type) {
	case wkfake.Started:
		t := f.tasks[ev.Task]
		if t == nil {
			t = &seenTask{}
			f.tasks[ev.Task] = t
		}
		t.starts = append(t.starts, time.Now())
		t.running++
	case wkfake.Ended:
		t := f.tasks[ev.Task]
		t.running--
		t.lastEnd = time.Now()
		f.outcomes[ev.Outcome]++
	default:
	}
}

// The prefixes of the IDs of jobs with long-running tasks, and of others.
const (
	longJob  = "a"
	batchJob = "b"
)

// spec returns a spec of the usual size for a task that works for a time, or without end.
func spec(work time.Duration) string {
	s := wkfake.Work{Milliseconds: work.Milliseconds()}.Spec()
	return s + strings.Repeat(" ", specBytes-len(s))
}

// submit stores jobs, as entry processes do.
func (f *linkFleet) submit(jobs linkJobs) {
	f.t.Helper()
	add := func(prefix string, tasks int, work time.Duration) {
		for i := range tasks / jobs.tasks {
			step := infra.Step{
				Count: jobs.tasks, Size: fleet.Resources{MilliCPU: 1000, MemoryBytes: 256 << 20}, Estimate: work, LongRunning: work == 0,
			}
			j := infra.Job{
				ID: fleet.JobID(fmt.Sprintf("%s%05d", prefix, i)), Queue: "batch", Service: "pool", MaxAttempts: 3, Spec: spec(work),
				Steps: []infra.Step{step}, Submitted: time.Now().UnixMilli(),
			}
			data, err := leader.EncodeJob(j)
			assert.NilError(f.t, err)
			f.store.Put(leader.JobKey(j.ID), data)
		}
	}
	add(longJob, jobs.longRunning, 0)
	add(batchJob, jobs.batch, jobs.batchTime)
}

// running returns how many tasks run of jobs whose IDs have a prefix.
func (f *linkFleet) running(prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for id, t := range f.tasks {
		if strings.HasPrefix(string(id.Job), prefix) && t.running > 0 {
			n++
		}
	}
	return n
}

// startsBetween returns how many runs workers have begun in a period.
func (f *linkFleet) startsBetween(from, to time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, t := range f.tasks {
		for _, at := range t.starts {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
	}
	return n
}

// linkHost is an entry host that takes part in elections.
type linkHost struct {
	*leader.Scheduler
	host *vnet.Host
	log  *messageCounts
	stop func()
}

// startHost starts an entry host with a link of some Mbit/s.
func (f *linkFleet) startHost(name string, mbits float64) *linkHost {
	h := &linkHost{host: f.network.AddHost(mbits * 1e6), log: newMessageCounts()}
	log := slog.New(h.log)
	client := platform.NewStore("store:1", platform.WithDialer(h.host.DialContext))
	h.Scheduler = leader.NewScheduler(leader.Deps{
		Store: client, Agents: platform.NewAgents(platform.WithAgentsDialer(h.host.DialContext)), Format: platform.Format{},
		Bounds: infra.Bounds{MaxLease: 6 * time.Second, StatusRetention: 2 * time.Minute, MaxTargetMiss: 4 * time.Second},
		Log:    log, Decisions: log, Metrics: metrics.NewRegistry(),
		Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, false },
	})
	h.Configure(f.catalog)
	group := leader.NewGroup(
		fleet.EntryHostID(name), "10.0.0.1:1", client, log, h.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {},
	)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		group.Run(ctx)
	}()
	h.stop = func() { cancel(); <-done }
	f.stops = append(f.stops, h.stop)
	return h
}

// awaitElection waits until a host is elected, and returns since when it has been.
func (f *linkFleet) awaitElection(h *linkHost) time.Time {
	f.t.Helper()
	const message = "group: elected"
	for range 100 {
		if h.log.of(message) > 0 {
			return h.log.firstAt(message)
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatal("not elected")
	return time.Time{}
}

// lapse lets a host with a wide link start all jobs, ends it and waits until all leases have expired.
func (f *linkFleet) lapse(jobs linkJobs) {
	f.t.Helper()
	f.submit(jobs)
	first := f.startHost("first", wideLink)
	f.awaitElection(first)
	for range 200 {
		if f.running("") == jobs.longRunning+jobs.batch {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(f.t, f.running(""), jobs.longRunning+jobs.batch)
	first.stop()
	time.Sleep(leaseLapse)
	assert.Equal(f.t, f.running(""), 0)
}

// thinLink is the bandwidth of the scheduler's host in Mbit/s.
var thinLink = flag.Float64("mbits", 10, "bandwidth of the scheduler's host in Mbit/s")

// thinLinkJobs are the jobs of a deployment with some 200 workers. The longest tasks of such a deployment take 7 s.
var thinLinkJobs = linkJobs{longRunning: 1200, batch: 3000, tasks: 10, batchTime: 7 * time.Second}

const thinLinkWorkers = 200

// Guards against long-running tasks that do not run again for too long after all leases have lapsed (rule LOST), because the
// link of the scheduler's host is full: starts waited there behind each other, timed out and paused their workers.
func TestLongRunningTasksStartInTimeOnThinLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLinkFleet(t, thinLinkWorkers)
		h, elected := f.restart(thinLinkJobs, *thinLink)
		for time.Since(elected) < lostTime {
			f.logSecond(h, elected)
		}
		t.Logf("state read after %v", h.log.firstAt("scheduler: state read").Sub(elected))
		f.assertRunningBy(longJob, thinLinkJobs.longRunning, elected.Add(lostTime))
		assert.Check(t, h.log.of(notAnswered) == 0, "%d starts not answered by workers that answer at once", h.log.of(notAnswered))
	})
}

const notAnswered = "scheduler: start not answered"

// restart elects a host with a link of some Mbit/s after the leases of all long-running tasks have lapsed, with other jobs
// waiting.
func (f *linkFleet) restart(jobs linkJobs, mbits float64) (*linkHost, time.Time) {
	f.t.Helper()
	f.lapse(linkJobs{longRunning: jobs.longRunning, tasks: jobs.tasks})
	f.submit(linkJobs{batch: jobs.batch, tasks: jobs.tasks, batchTime: jobs.batchTime})
	h := f.startHost("thin", mbits)
	return h, f.awaitElection(h)
}

// logSecond logs what happens in a second.
func (f *linkFleet) logSecond(h *linkHost, elected time.Time) {
	f.t.Helper()
	from := time.Now()
	time.Sleep(time.Second)
	f.t.Logf("%.1f s after the election: %d starts in a second, %d long-running tasks and %d others run, %d starts not answered, %d workers unreachable",
		time.Since(elected).Seconds(), f.startsBetween(from, time.Now()), f.running(longJob), f.running(batchJob),
		h.log.of(notAnswered), h.log.of("scheduler: worker unreachable"))
}

// assertRunningBy checks that a number of tasks of jobs whose IDs have a prefix run, and have done so since a time.
func (f *linkFleet) assertRunningBy(prefix string, want int, by time.Time) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	inTime := 0
	for id, t := range f.tasks {
		if strings.HasPrefix(string(id.Job), prefix) && t.running > 0 && !t.starts[len(t.starts)-1].After(by) {
			inTime++
		}
	}
	assert.Check(f.t, inTime == want, "%d of %d run in time", inTime, want)
}
