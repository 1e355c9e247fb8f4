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

// fakeStore returns err from every transaction and read, or found from reads without an error. It records the calls.
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

// Guards against a job that is acknowledged without being stored, and against a retry that overwrites the stored job.
func TestSubmitStoresOnce(t *testing.T) {
	f := &fakeStore{}
	assert.NilError(t, submit(t, f))
	assert.Equal(t, len(f.written), 1)
	assert.DeepEqual(t, f.written[0].If, []store.Compare{store.KeyAbsent{Key: "lovagefork/input/5c0e7a21d94b36f8"}})
}

// Guards against reporting "not run" for a job that the store may have written.
func TestSubmitReportsOutcome(t *testing.T) {
	var notRun *infra.NotRunError
	var unknown *infra.OutcomeUnknownError
	err := submit(t, &fakeStore{err: &store.RejectedError{Status: 503}})
	assert.Assert(t, errors.As(err, &notRun) && notRun.RetryAfter > 0)
	err = submit(t, &fakeStore{err: &store.NotSentError{Cause: errors.New("refused")}})
	assert.Assert(t, errors.As(err, &notRun))
	noAnswer := &fakeStore{err: &store.OutcomeUnknownError{Cause: errors.New("no answer")}}
	err = submit(t, noAnswer)
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.Assert(t, noAnswer.calls > 1, "a write with an unknown outcome must be retried until the deadline")
}

// Guards against a cancellation without a value, which the store rejects, and against a failed store call that is
// reported as an unknown job.
func TestCancel(t *testing.T) {
	var notFound *infra.JobNotFoundError
	var notRun *infra.NotRunError
	cancel := func(f *fakeStore) error {
		ctx, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer stop()
		return hosted.NewIntake("a", f, slog.New(slog.DiscardHandler)).Cancel(ctx, infra.Queue{Name: "q"}, "5c0e7a21d94b36f8")
	}
	assert.Assert(t, errors.As(cancel(&fakeStore{}), &notFound))
	f := &fakeStore{found: []store.Entry{{Key: "k"}}}
	assert.NilError(t, cancel(f))
	put, ok := f.written[0].Then[0].(store.Put)
	assert.Assert(t, ok && len(put.Value) > 0)
	assert.Assert(t, errors.As(cancel(&fakeStore{err: &store.RejectedError{Status: 429}}), &notRun))
}

// Guards against a store failure that is reported as an unknown job. Without a scheduler the state of a job is read
// from the store.
func TestStateWithoutScheduler(t *testing.T) {
	var notFound *infra.JobNotFoundError
	i := hosted.NewIntake("a", &fakeStore{}, slog.New(slog.DiscardHandler))
	_, err := i.State(t.Context(), infra.Queue{Name: "q"}, "5c0e7a21d94b36f8")
	assert.Assert(t, errors.As(err, &notFound))
	i = hosted.NewIntake("a", &fakeStore{err: &store.OutcomeUnknownError{Cause: errors.New("no answer")}}, slog.New(slog.DiscardHandler))
	_, err = i.State(t.Context(), infra.Queue{Name: "q"}, "5c0e7a21d94b36f8")
	assert.Assert(t, err != nil && !errors.As(err, &notFound))
}
