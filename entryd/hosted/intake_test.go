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
	assert.DeepEqual(t, f.written[0].If, []store.Compare{
		store.KeyAbsent{Key: "lovagefork/input/5c0e7a21d94b36f8"}, store.KeyAbsent{Key: "lovagefork/input/5c0e7a21d94b36f8/cancel"},
	})
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

// Guards against a job that callers send again and again although the store never accepts it: the answer named a time to come back.
func TestJobTooLargeForStoreIsInvalid(t *testing.T) {
	var invalid *infra.InvalidJobError
	f := &fakeStore{err: &store.RejectedError{Status: 400}}
	assert.Assert(t, errors.As(submit(t, f), &invalid))
	assert.Equal(t, f.calls, 1)
	large := job()
	large.Steps = make([]infra.Step, infra.MaxTasks)
	for i := range large.Steps {
		large.Steps[i] = infra.Step{Count: 1}
	}
	f = &fakeStore{}
	err := hosted.NewIntake("a", f, slog.New(slog.DiscardHandler)).Submit(t.Context(), infra.Queue{Name: "q"}, large)
	assert.Assert(t, errors.As(err, &invalid), "%v", err)
	assert.Equal(t, f.calls, 0)
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

// conditionalStore keeps entries, and applies transactions whose conditions are all that their keys are absent.
type conditionalStore struct {
	store.Client
	entries map[string]store.Entry
}

func (s *conditionalStore) Txn(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	var present []store.Entry
	for _, c := range txn.If {
		if e, found := s.entries[c.(store.KeyAbsent).Key]; found {
			present = append(present, e)
		}
	}
	if len(present) > 0 {
		return store.TxnResult{Reads: [][]store.Entry{present}}, nil
	}
	for _, op := range txn.Then {
		put := op.(store.Put)
		s.entries[put.Key] = store.Entry{Key: put.Key, Value: put.Value}
	}
	return store.TxnResult{Committed: true}, nil
}

func (s *conditionalStore) Range(_ context.Context, get store.Get) (store.RangeResult, error) {
	if e, found := s.entries[get.Key]; found {
		return store.RangeResult{Entries: []store.Entry{e}}, nil
	}
	return store.RangeResult{}, nil
}

// A job whose cancellation was answered with "no such job" ran afterwards, because its submission, which had got no answer,
// was carried out late.
func TestSubmissionAfterCancellation(t *testing.T) {
	s := &conditionalStore{entries: make(map[string]store.Entry)}
	i := hosted.NewIntake("a", s, slog.New(slog.DiscardHandler))
	q := infra.Queue{Name: "q"}
	for range 2 {
		var notFound *infra.JobNotFoundError
		err := i.Cancel(t.Context(), q, job().ID)
		assert.Assert(t, errors.As(err, &notFound), "%v", err)
	}
	var cancelled *infra.JobCancelledError
	err := i.Submit(t.Context(), q, job())
	assert.Assert(t, errors.As(err, &cancelled), "%v", err)
	var notFound *infra.JobNotFoundError
	_, err = i.State(t.Context(), q, job().ID)
	assert.Assert(t, errors.As(err, &notFound), "%v", err)
}

// A repeated submission must be answered as accepted, also after the job was cancelled.
func TestRepeatedSubmissionOfCancelledJob(t *testing.T) {
	s := &conditionalStore{entries: make(map[string]store.Entry)}
	i := hosted.NewIntake("a", s, slog.New(slog.DiscardHandler))
	q := infra.Queue{Name: "q"}
	assert.NilError(t, i.Submit(t.Context(), q, job()))
	for range 2 {
		assert.NilError(t, i.Cancel(t.Context(), q, job().ID))
		assert.NilError(t, i.Submit(t.Context(), q, job()))
	}
	state, err := i.State(t.Context(), q, job().ID)
	assert.NilError(t, err)
	assert.Equal(t, state, infra.StateCancelled)
}
