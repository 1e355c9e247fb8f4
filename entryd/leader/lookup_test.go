package leader_test

import (
	"context"
	"log/slog"
	"sync/atomic"
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

// silentWatchClient never learns of jobs by its watch.
type silentWatchClient struct{ client }

func (c silentWatchClient) Watch(ctx context.Context, prefix string, after store.Revision, observe func(store.Revision, []store.Change)) error {
	if prefix != "lovagefork/input/" {
		return c.client.Watch(ctx, prefix, after, observe)
	}
	<-ctx.Done()
	return ctx.Err()
}

// finishedAgents are workers on which another scheduler has run a task, from the time that isStored is set.
type finishedAgents struct {
	idleAgents
	task     infra.TaskID
	isStored atomic.Bool
	starts   atomic.Int64
}

func (a *finishedAgents) Renew(ctx context.Context, to infra.AgentAddress, o infra.RenewOrder) (infra.Report, error) {
	r, err := a.idleAgents.Renew(ctx, to, o)
	if a.isStored.Load() && o.AckedEnd == 0 {
		r.Ended = []infra.EndedRun{{Number: 1, Task: a.task, Run: 1, Outcome: infra.OutcomeDone}}
	}
	return r, err
}

func (a *finishedAgents) Start(context.Context, infra.AgentAddress, infra.StartOrder) (int64, error) {
	a.starts.Add(1)
	return time.Now().UnixMilli(), nil
}

// runFinishedJob runs a scheduler with a store, and stores a job whose task another scheduler has run when the state was read. It
// returns a function that waits until the job is shown as completed.
func runFinishedJob(t *testing.T, m *memStore, c store.Client, agents *finishedAgents) (awaitCompleted func()) {
	put(t, m, "workers/a", []byte("a:1"))
	log := slog.New(slog.NewTextHandler(t.Output(), nil))
	s := leader.NewScheduler(leader.Deps{
		Store: c, Agents: agents, Format: strictFormat{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second, StatusRetention: time.Minute}, Log: log, Decisions: log,
		Metrics:   metrics.NewRegistry(),
		Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, true },
	})
	runGroup(t, leader.NewGroup("a", "a:1", c, log, s.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {}))
	waitFor(t, "scheduler", func() bool { return s.Query(t.Context(), func(*flow.Machine) {}) })
	job := infra.Job{ID: agents.task.Job, Queue: "batch", Steps: []infra.Step{{Count: 1, Size: fleet.Resources{MilliCPU: 1}}}}
	data, err := leader.EncodeJob(job)
	assert.NilError(t, err)
	put(t, m, leader.JobKey(job.ID), data)
	agents.isStored.Store(true)
	return func() {
		waitFor(t, "completed job", func() bool {
			state := infra.StateQueued
			s.Query(t.Context(), func(m *flow.Machine) { state, _ = m.State(job.ID) })
			return state == infra.StateCompleted
		})
	}
}

// A predecessor can start a job that is stored after its successor has read the state. The successor did not ask the store for
// the job of a run that a worker reported, forgot the end, and started the job when its watch showed it.
func TestJobOfReportedRunIsLookedUp(t *testing.T) {
	m := newMemStore()
	agents := &finishedAgents{task: infra.TaskID{Job: "0123456789abcdef"}}
	awaitCompleted := runFinishedJob(t, m, silentWatchClient{client{m, "a"}}, agents)
	awaitCompleted()
	assert.Equal(t, agents.starts.Load(), int64(0))
}

// slowLookupClient answers a lookup of a job only after the lease has not been confirmed for a while.
type slowLookupClient struct {
	silentWatchClient
	job           string
	isUnconfirmed atomic.Bool
}

func (c *slowLookupClient) Range(ctx context.Context, get store.Get) (store.RangeResult, error) {
	found, err := c.client.Range(ctx, get)
	if get.Key == c.job && c.isUnconfirmed.CompareAndSwap(false, true) {
		time.Sleep(2500 * time.Millisecond)
		time.AfterFunc(500*time.Millisecond, func() { c.isUnconfirmed.Store(false) })
	}
	return found, err
}

// KeepAlive implements [store.Client]. The lease holds although the renewals are not answered.
func (c *slowLookupClient) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	left, err := c.client.KeepAlive(ctx, id)
	if c.isUnconfirmed.Load() {
		return 0, &store.OutcomeUnknownError{Op: "keep", Cause: errNoAnswer}
	}
	return left, err
}

// A job that was held back because the lease was not confirmed was taken for one that does not exist when its lookup ended. The
// end of its run was forgotten, and the job was started when the lease was confirmed again.
func TestLookupEndsAfterJobsThatAreHeldBack(t *testing.T) {
	m := newMemStore()
	agents := &finishedAgents{task: infra.TaskID{Job: "0123456789abcdef"}}
	c := &slowLookupClient{silentWatchClient: silentWatchClient{client{m, "a"}}, job: leader.JobKey(agents.task.Job)}
	awaitCompleted := runFinishedJob(t, m, c, agents)
	awaitCompleted()
	assert.Equal(t, agents.starts.Load(), int64(0))
}

// thinLinkClient answers a lookup of a job after a second, unless the call ends before.
type thinLinkClient struct {
	silentWatchClient
	job string
}

func (c thinLinkClient) Range(ctx context.Context, get store.Get) (store.RangeResult, error) {
	if get.Key == c.job {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return store.RangeResult{}, &store.OutcomeUnknownError{Op: "range", Cause: ctx.Err()}
		}
	}
	return c.client.Range(ctx, get)
}

// A lookup had 0.7 s for all of a job. A large job on a full link was looked up without end, and its runs held their workers.
func TestLookupTakesAsLongAsItsBytes(t *testing.T) {
	m := newMemStore()
	agents := &finishedAgents{task: infra.TaskID{Job: "0123456789abcdef"}}
	c := thinLinkClient{silentWatchClient: silentWatchClient{client{m, "a"}}, job: leader.JobKey(agents.task.Job)}
	awaitCompleted := runFinishedJob(t, m, c, agents)
	awaitCompleted()
	assert.Equal(t, agents.starts.Load(), int64(0))
}
