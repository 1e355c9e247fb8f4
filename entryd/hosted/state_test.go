package hosted_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/entryd/hosted"
	"lovagefork.example/entryd/leader"
)

// electStore elects the first process that campaigns. The only entry that it returns is that of one job.
type electStore struct {
	store.Client
	job store.Entry
}

func (s electStore) Grant(context.Context, time.Duration) (store.LeaseID, error) { return 1, nil }
func (s electStore) Revoke(context.Context, store.LeaseID) error                 { return nil }

func (s electStore) KeepAlive(context.Context, store.LeaseID) (time.Duration, error) {
	return time.Second, nil
}

func (s electStore) Txn(context.Context, store.Txn) (store.TxnResult, error) {
	return store.TxnResult{Committed: true, Revision: 1}, nil
}

func (s electStore) Range(ctx context.Context, g store.Get) (store.RangeResult, error) {
	if ctx.Err() != nil {
		return store.RangeResult{}, &store.NotSentError{Cause: ctx.Err()}
	}
	if g.Key == s.job.Key {
		return store.RangeResult{Entries: []store.Entry{s.job}}, nil
	}
	return store.RangeResult{}, nil
}

func (s electStore) Watch(ctx context.Context, _ string, _ store.Revision, _ func(store.Revision, []store.Change)) error {
	<-ctx.Done()
	return ctx.Err()
}

type noWorkers struct{ infra.Format }

func (noWorkers) WorkersPrefix() string { return "servers/" }

// A status request must be answered from the store while the scheduler of the same process is busy. The request used
// to wait for the scheduler until its deadline, and ended without an answer.
func TestStateWhileOwnSchedulerIsBusy(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	id := job().ID
	s := electStore{job: store.Entry{Key: leader.JobKey(id), Value: []byte("unused")}}
	scheduler := leader.NewScheduler(leader.Deps{
		Store: s, Format: noWorkers{}, Bounds: infra.Bounds{MaxLease: time.Second}, Log: log, Decisions: log, Metrics: metrics.NewRegistry(),
		Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, true },
	})
	group := leader.NewGroup("a", "a:1", s, log, scheduler.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		group.Run(ctx)
	}()
	busy, release := make(chan struct{}), make(chan struct{})
	go func() {
		for ctx.Err() == nil && !scheduler.Query(ctx, func(*flow.Machine) { close(busy); <-release }) {
			time.Sleep(time.Millisecond)
		}
	}()
	t.Cleanup(func() { close(release); cancel(); <-stopped })
	<-busy
	callCtx, cancelCall := context.WithTimeout(ctx, 2*time.Second)
	defer cancelCall()
	began := time.Now()
	state, err := hosted.NewIntake("a", s, log, hosted.WithScheduler(group, scheduler)).State(callCtx, infra.Queue{Name: "q"}, id)
	assert.NilError(t, err)
	assert.Equal(t, state, infra.StateQueued)
	assert.Assert(t, time.Since(began) < time.Second)
}
