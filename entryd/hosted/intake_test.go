package hosted_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/entryd/hosted"
)

// fakeStore answers every transaction and read with the same outcome, and counts the calls.
type fakeStore struct {
	store.Client
	err     error
	found   []store.Entry
	calls   int
	written []store.Txn
}

func (f *fakeStore) Txn(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	f.calls++
	f.written = append(f.written, txn)
	return store.TxnResult{Committed: f.err == nil}, f.err
}

func (f *fakeStore) Range(context.Context, store.Get) (store.RangeResult, error) {
	f.calls++
	return store.RangeResult{Entries: f.found}, f.err
}

func job() infra.Job {
	return infra.Job{ID: "5c0e7a21d94b36f8", Queue: "q", Spec: "s", Steps: []infra.Step{{Count: 1}}}
}

func submit(t *testing.T, f *fakeStore) error {
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	return hosted.NewIntake("a", f, slog.New(slog.DiscardHandler)).Submit(ctx, infra.Queue{Name: "q", MaxAttempts: 3}, job())
}

// A job is acknowledged only once it is durable, and a repeat of its id must not write it again.
func TestSubmitStoresOnce(t *testing.T) {
	f := &fakeStore{}
	assert.NilError(t, submit(t, f))
	assert.Equal(t, len(f.written), 1)
	assert.DeepEqual(t, f.written[0].If, []store.Compare{store.KeyAbsent{Key: "lovagefork/input/5c0e7a21d94b36f8"}})
}

// "Not run" may be said only of a job that the store cannot have taken.
func TestSubmitTellsWhatIsKnown(t *testing.T) {
	var notRun *infra.NotRunError
	var unclear *infra.OutcomeUnknownError
	err := submit(t, &fakeStore{err: &store.RejectedError{Status: 503}})
	assert.Assert(t, errors.As(err, &notRun) && notRun.RetryAfter > 0)
	err = submit(t, &fakeStore{err: &store.NotSentError{Cause: errors.New("refused")}})
	assert.Assert(t, errors.As(err, &notRun))
	lost := &fakeStore{err: &store.OutcomeUnknownError{Cause: errors.New("no answer")}}
	err = submit(t, lost)
	assert.Assert(t, errors.As(err, &unclear), "%v", err)
	assert.Assert(t, lost.calls > 1, "an unclear write is repeated while there is time")
}

// A cancellation is written with a value (the store rejects a null one), and an unknown job is told
// from a store that does not answer.
func TestCancel(t *testing.T) {
	var none *infra.JobNotFoundError
	var notRun *infra.NotRunError
	cancel := func(f *fakeStore) error {
		ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer stop()
		return hosted.NewIntake("a", f, slog.New(slog.DiscardHandler)).Cancel(ctx, infra.Queue{Name: "q"}, "5c0e7a21d94b36f8")
	}
	assert.Assert(t, errors.As(cancel(&fakeStore{}), &none))
	f := &fakeStore{found: []store.Entry{{Key: "k"}}}
	assert.NilError(t, cancel(f))
	put, ok := f.written[0].Then[0].(store.Put)
	assert.Assert(t, ok && len(put.Value) > 0)
	assert.Assert(t, errors.As(cancel(&fakeStore{err: &store.RejectedError{Status: 429}}), &notRun))
}

// Without a scheduler the store tells the state of a job; only a job that is not there is unknown.
func TestStateWithoutAScheduler(t *testing.T) {
	var none *infra.JobNotFoundError
	i := hosted.NewIntake("a", &fakeStore{}, slog.New(slog.DiscardHandler))
	_, err := i.State(t.Context(), infra.Queue{Name: "q"}, "5c0e7a21d94b36f8")
	assert.Assert(t, errors.As(err, &none))
	i = hosted.NewIntake("a", &fakeStore{err: &store.OutcomeUnknownError{Cause: errors.New("no answer")}}, slog.New(slog.DiscardHandler))
	_, err = i.State(t.Context(), infra.Queue{Name: "q"}, "5c0e7a21d94b36f8")
	assert.Assert(t, err != nil && !errors.As(err, &none))
}
