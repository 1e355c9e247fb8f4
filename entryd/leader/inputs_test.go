package leader_test

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/entryd/leader"
)

// inputsClient is a client of the store with faults of its watch on jobs, of renewals and of deletions.
type inputsClient struct {
	client
	// released is closed when the watch on jobs may begin. A value of compacted ends it with status 410.
	released  chan struct{}
	compacted chan struct{}

	mu sync.Mutex
	// keepFails makes renewals fail while the lease holds, and deletesFail makes transactions with deletions fail.
	keepFails, deletesFail bool
}

func newInputsClient(m *memStore) *inputsClient {
	return &inputsClient{client: client{m, "a"}, released: make(chan struct{}), compacted: make(chan struct{})}
}

func (c *inputsClient) setKeepFails(fails bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepFails = fails
}

// KeepAlive implements [store.Client].
func (c *inputsClient) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	c.mu.Lock()
	fails := c.keepFails
	c.mu.Unlock()
	if !fails {
		return c.client.KeepAlive(ctx, id)
	}
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.m.leases[id] = time.Now().Add(time.Minute)
	return 0, &store.OutcomeUnknownError{Op: "keep", Cause: errNoAnswer}
}

// Txn implements [store.Client].
func (c *inputsClient) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	c.mu.Lock()
	fails := c.deletesFail
	c.mu.Unlock()
	isDelete := func(o store.Op) bool { _, ok := o.(store.Delete); return ok }
	if fails && slices.ContainsFunc(txn.Then, isDelete) {
		return store.TxnResult{}, &store.RejectedError{Op: "txn", Status: http.StatusTooManyRequests}
	}
	return c.client.Txn(ctx, txn)
}

// Watch implements [store.Client].
func (c *inputsClient) Watch(ctx context.Context, prefix string, after store.Revision, observe func(store.Revision, []store.Change)) error {
	if prefix != inputPrefix {
		return c.client.Watch(ctx, prefix, after, observe)
	}
	select {
	case <-c.released:
	case <-ctx.Done():
		return ctx.Err()
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-c.compacted:
			cancel()
		case <-watchCtx.Done():
		}
	}()
	err := c.client.Watch(watchCtx, prefix, after, observe)
	if ctx.Err() == nil {
		return &store.RejectedError{Op: "watch", Status: http.StatusGone}
	}
	return err
}

const inputPrefix = "lovagefork/input/"

// promptAgents are workers that complete each task at once. Silent ones answer nothing.
type promptAgents struct {
	infra.Agents
	silent []fleet.WorkerID

	mu     sync.Mutex
	starts []fleet.JobID
	ended  map[fleet.WorkerID][]infra.EndedRun
}

func (a *promptAgents) Renew(ctx context.Context, to infra.AgentAddress, o infra.RenewOrder) (infra.Report, error) {
	if slices.Contains(a.silent, to.Worker) {
		return infra.Report{}, &infra.NoAnswerError{Worker: to.Worker}
	}
	select {
	case <-ctx.Done():
		return infra.Report{}, ctx.Err()
	case <-time.After(min(o.Wait, 20*time.Millisecond)):
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	unacked := func(e infra.EndedRun) bool { return e.Number > o.AckedEnd }
	at := slices.IndexFunc(a.ended[to.Worker], unacked)
	var ended []infra.EndedRun
	if at >= 0 {
		ended = slices.Clone(a.ended[to.Worker][at:])
	}
	return infra.Report{Clock: time.Now().UnixMilli(), StartedAt: 1, Ended: ended}, nil
}

func (a *promptAgents) Start(_ context.Context, to infra.AgentAddress, o infra.StartOrder) (int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starts = append(a.starts, o.Task.Job)
	ended := a.ended[to.Worker]
	a.ended[to.Worker] = append(ended, infra.EndedRun{Number: int64(len(ended) + 1), Task: o.Task, Run: o.Run, Outcome: infra.OutcomeDone})
	return time.Now().UnixMilli(), nil
}

func (a *promptAgents) Stop(context.Context, infra.AgentAddress, infra.StopOrder) (int64, error) {
	return time.Now().UnixMilli(), nil
}

// started returns how often the task of a job was started.
func (a *promptAgents) started(id fleet.JobID) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, s := range a.starts {
		if s == id {
			n++
		}
	}
	return n
}

// inputsFixture is an elected scheduler with the worker a.
type inputsFixture struct {
	*leader.Scheduler
	t      *testing.T
	store  *memStore
	client *inputsClient
	agents *promptAgents
	log    *logBuffer
}

// startInputs elects a scheduler. Its predecessors do not confirm that they have stopped, and the workers in silent do not
// answer.
func startInputs(t *testing.T, m *memStore, c *inputsClient, bounds infra.Bounds, silent ...fleet.WorkerID) *inputsFixture {
	put(t, m, "workers/a", []byte("a:1"))
	f := &inputsFixture{
		t: t, store: m, client: c, log: &logBuffer{}, agents: &promptAgents{silent: silent, ended: make(map[fleet.WorkerID][]infra.EndedRun)},
	}
	log := slog.New(slog.NewJSONHandler(f.log, nil))
	f.Scheduler = leader.NewScheduler(leader.Deps{
		Store: c, Agents: f.agents, Format: strictFormat{}, Bounds: bounds, Log: log, Decisions: log, Metrics: metrics.NewRegistry(),
		Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, false },
	})
	f.Configure(&infra.Catalog{
		Version:  1,
		Queues:   []infra.Queue{{Name: "batch", Service: "pool", MaxAttempts: 3, StretchFactor: 2, TargetLatency: time.Second}},
		Services: []infra.Service{{Name: "pool"}},
	})
	runGroup(t, leader.NewGroup("a", "a:1", c, log, f.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {}))
	f.waitForLine("scheduler: state read")
	return f
}

func (f *inputsFixture) logText() string {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	return f.log.text.String()
}

func (f *inputsFixture) waitForLine(text string) {
	f.t.Helper()
	waitFor(f.t, "line "+text, func() bool { return strings.Contains(f.logText(), text) })
}

// isKnown reports whether the scheduler has a job in memory, and its state.
func (f *inputsFixture) isKnown(id fleet.JobID) (state infra.State, known bool) {
	f.Query(f.t.Context(), func(m *flow.Machine) { state, known = m.State(id) })
	return state, known
}

func poolJob(id fleet.JobID) infra.Job {
	step := infra.Step{Count: 1, Size: fleet.Resources{MilliCPU: 100}, Estimate: time.Second}
	return infra.Job{ID: id, Queue: "batch", Service: "pool", MaxAttempts: 3, Steps: []infra.Step{step}}
}

// storeJob stores a job and returns its revision.
func (f *inputsFixture) storeJob(id fleet.JobID) store.Revision {
	f.t.Helper()
	data, err := leader.EncodeJob(poolJob(id))
	assert.NilError(f.t, err)
	put(f.t, f.store, leader.JobKey(id), data)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.entries[leader.JobKey(id)].ModRevision
}

// Guards against a start of a job that a predecessor may have started on a worker that has not reported yet (TWICE). The job
// was stored before the predecessor's lease had ended, and a watch that lagged delivered it to the successor later.
func TestJobDeliveredLateMayHaveRun(t *testing.T) {
	m := newMemStore()
	put(t, m, termKey, encode(t, map[string]any{"term": 3, "entry_host": "b"}))
	put(t, m, "lovagefork/roster", encode(t, []flow.RosterEntry{{Worker: "a", Address: "a:1"}, {Worker: "z", Address: "z:1"}}))
	f := startInputs(t, m, newInputsClient(m), infra.Bounds{MaxLease: 6 * time.Second, StatusRetention: time.Minute}, "z")
	f.storeJob("early")
	time.Sleep(2500 * time.Millisecond)
	close(f.client.released)
	f.waitForLine(`"job":"early"`)
	f.storeJob("later")
	waitFor(t, "start of a job that no predecessor can have started", func() bool { return f.agents.started("later") == 1 })
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, f.agents.started("early"), 0, "z has not reported yet")
}

// Guards against new jobs in a scheduler that may have a successor already, which takes them for new too (TWICE). Only the
// notifications of jobs took account of the lease, not the watch.
func TestUnconfirmedLeaseHoldsJobsBack(t *testing.T) {
	m := newMemStore()
	// Worker b takes no tasks, since it is not listed, and shows that there is no newer scheduler.
	put(t, m, "lovagefork/roster", encode(t, []flow.RosterEntry{{Worker: "b", Address: "b:1"}}))
	f := startInputs(t, m, newInputsClient(m), infra.Bounds{MaxLease: 6 * time.Second, StatusRetention: time.Minute}, "a")
	close(f.client.released)
	f.storeJob("known")
	waitFor(t, "job", func() bool { _, known := f.isKnown("known"); return known })
	// Its answers count once the lease has been renewed after the first of them.
	time.Sleep(time.Second)
	f.client.setKeepFails(true)
	time.Sleep(2200 * time.Millisecond)
	revision := f.storeJob("new")
	f.NotifyJob(poolJob("new"), revision)
	put(t, m, leader.CancelKey("known"), []byte("cancelled"))
	waitFor(t, "cancellation", func() bool { state, _ := f.isKnown("known"); return state == infra.StateCancelled })
	time.Sleep(500 * time.Millisecond)
	_, known := f.isKnown("new")
	assert.Assert(t, !known, "a new job was taken without a lease")
	assert.Equal(t, strings.Count(f.logText(), "new jobs are held back"), 1)
	f.client.setKeepFails(false)
	waitFor(t, "held job", func() bool { _, known := f.isKnown("new"); return known })
}

// Guards against a second run of a job that is done and dropped from memory but not yet deleted in the store (TWICE). It was
// taken for a new one whenever it was delivered again.
func TestDeliveredJobIsNotNewAgain(t *testing.T) {
	for name, deliverAgain := range map[string]func(*inputsFixture, store.Revision){
		"by a read after compaction": func(f *inputsFixture, _ store.Revision) {
			f.client.compacted <- struct{}{}
			f.waitForLine("watch of jobs ended")
		},
		"by a repeated notification": func(f *inputsFixture, revision store.Revision) { f.NotifyJob(poolJob("done"), revision) },
		"by a notification of an old peer": func(f *inputsFixture, _ store.Revision) {
			f.NotifyJob(poolJob("done"), 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startWithoutDeletions(t)
			close(f.client.released)
			revision := f.storeJob("done")
			f.waitUntilDropped("done")
			deliverAgain(f, revision)
			f.assertNotStartedAgain("done")
		})
	}
	t.Run("by a watch after the notification", func(t *testing.T) {
		t.Parallel()
		f := startWithoutDeletions(t)
		f.NotifyJob(poolJob("done"), f.storeJob("done"))
		f.waitUntilDropped("done")
		close(f.client.released)
		f.assertNotStartedAgain("done")
	})
}

// startWithoutDeletions starts a scheduler that drops finished jobs at once, but cannot delete them from the store.
func startWithoutDeletions(t *testing.T) *inputsFixture {
	m := newMemStore()
	c := newInputsClient(m)
	c.deletesFail = true
	return startInputs(t, m, c, infra.Bounds{MaxLease: 6 * time.Second, StatusRetention: 10 * time.Millisecond})
}

// waitUntilDropped waits until a job is done and no longer in the scheduler's memory.
func (f *inputsFixture) waitUntilDropped(id fleet.JobID) {
	f.t.Helper()
	waitFor(f.t, "end of the job", func() bool {
		_, known := f.isKnown(id)
		return f.agents.started(id) > 0 && !known
	})
}

func (f *inputsFixture) assertNotStartedAgain(id fleet.JobID) {
	f.t.Helper()
	f.storeJob("next")
	waitFor(f.t, "start of the next job", func() bool { return f.agents.started("next") == 1 })
	time.Sleep(300 * time.Millisecond)
	assert.Equal(f.t, f.agents.started(id), 1)
}

// Finished jobs were kept with their steps, which a successor had to read before it scheduled anything. The watch delivers the
// form without steps to the scheduler that has stored it; it must not start the job again.
func TestFinishedJobsAreStoredWithoutSteps(t *testing.T) {
	m := newMemStore()
	f := startInputs(t, m, newInputsClient(m), infra.Bounds{MaxLease: 6 * time.Second, StatusRetention: time.Minute})
	close(f.client.released)
	ids := make([]fleet.JobID, 24)
	for n := range ids {
		ids[n] = fleet.JobID(string(rune('a' + n)))
		f.storeJob(ids[n])
	}
	stored := func(id fleet.JobID) infra.Job {
		m.mu.Lock()
		defer m.mu.Unlock()
		j, err := leader.DecodeJob(m.entries[leader.JobKey(id)].Value)
		assert.NilError(t, err)
		return j
	}
	for _, id := range ids {
		waitFor(t, "end of "+string(id), func() bool { state, _ := f.isKnown(id); return state == infra.StateCompleted })
	}
	for _, id := range ids {
		waitFor(t, "reduced "+string(id), func() bool { return len(stored(id).Steps) == 0 })
		assert.Equal(t, stored(id).ID, id)
	}
	time.Sleep(500 * time.Millisecond)
	for _, id := range ids {
		state, _ := f.isKnown(id)
		assert.Equal(t, state, infra.StateCompleted)
		assert.Equal(t, f.agents.started(id), 1)
	}
}
