package hosted_test

import (
	"context"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/hosted"
	"lovagefork.example/entryd/leader"
)

// leaderStore is a store that holds the entry of a leader with token 5.
type leaderStore struct{ electStore }

func (leaderStore) Range(_ context.Context, get store.Get) (store.RangeResult, error) {
	return store.RangeResult{Revision: 9, Entries: []store.Entry{{Key: get.Key, ModRevision: 5}}}, nil
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
	assert.Equal(t, ask(5), wire.ResponseOK)
	assert.Equal(t, ask(4), wire.ResponseNotRun, "another process leads")
	group.Resign()
	assert.Equal(t, ask(5), wire.ResponseNotRun, "the process is stopping")
}
