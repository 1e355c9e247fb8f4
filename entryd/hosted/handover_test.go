package hosted_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/hosted"
	"lovagefork.example/entryd/leader"
)

// leaderRevision is the revision of all entries of a [leaderStore], which is the token of its leader.
const leaderRevision = 5

// leaderStore is a store in which each key that is read exists at leaderRevision, that of the leader among them. It lists nothing.
type leaderStore struct{ electStore }

func (leaderStore) Range(_ context.Context, get store.Get) (store.RangeResult, error) {
	return store.RangeResult{Revision: 9, Entries: []store.Entry{{Key: get.Key, ModRevision: leaderRevision}}}, nil
}

func (leaderStore) Txn(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	isCommitted := true
	var current []store.Entry
	for _, c := range txn.If {
		switch c := c.(type) {
		case store.KeyAbsent:
			isCommitted = false
			current = append(current, store.Entry{Key: c.Key, ModRevision: leaderRevision})
		case store.KeyUnchanged:
			isCommitted = isCommitted && c.ModRevision == leaderRevision
			current = append(current, store.Entry{Key: c.Key, ModRevision: leaderRevision})
		}
	}
	if !isCommitted {
		return store.TxnResult{Reads: [][]store.Entry{current}}, nil
	}
	return store.TxnResult{Committed: true, Revision: 9}, nil
}

// Guards against a small host that keeps the leadership (LOST) because its question is not understood, or gives it up for a refusal.
func TestQuestionBeforeHandOverIsAnswered(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	group := leader.NewGroup("b", "b:1", leaderStore{}, log, func(context.Context, *leader.Leadership) {},
		func(fleet.EntryHostID, string) {}, func(leader.Leader) {})
	intake := hosted.NewIntake("b", leaderStore{}, log, hosted.WithScheduler(group, nil))
	ask := func(token infra.Token) wire.ResponseStatus {
		resp, isResponse := intake.HandleMessage(t.Context(), "a", wire.HostedRequest{Kind: wire.RequestEligible, Token: token}).(wire.HostedResponse)
		assert.Assert(t, isResponse)
		return resp.Status
	}
	assert.Equal(t, ask(5), wire.ResponseNotRun, "the process is not registered")
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	running.Go(func() { group.Run(ctx) })
	for deadline := time.Now().Add(5 * time.Second); ask(5) != wire.ResponseOK; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the process does not say that it would take over")
	}
	assert.Equal(t, ask(4), wire.ResponseNotRun, "another process leads")
	group.Resign()
	assert.Equal(t, ask(5), wire.ResponseNotRun, "the process is stopping")
}
