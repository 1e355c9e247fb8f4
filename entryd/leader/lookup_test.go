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

// A predecessor can start a job that is stored after its successor has read the state. The successor did not ask the store for
// the job of a run that a worker reported, forgot the end, and started the job when its watch showed it.
func TestJobOfReportedRunIsLookedUp(t *testing.T) {
	m := newMemStore()
	put(t, m, "workers/a", []byte("a:1"))
	agents := &finishedAgents{task: infra.TaskID{Job: "0123456789abcdef"}}
	log := slog.New(slog.NewTextHandler(t.Output(), nil))
	c := silentWatchClient{client{m, "a"}}
	s := leader.NewScheduler(leader.Deps{
		Store: c, Agents: agents, Format: strictFormat{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second}, Log: log, Decisions: log,
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
	waitFor(t, "completed job", func() bool {
		state := infra.StateQueued
		s.Query(t.Context(), func(m *flow.Machine) { state, _ = m.State(job.ID) })
		return state == infra.StateCompleted
	})
	assert.Equal(t, agents.starts.Load(), int64(0))
}
