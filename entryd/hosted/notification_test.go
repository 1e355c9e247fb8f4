package hosted_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
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
	"lovagefork.example/entryd/hosted"
	"lovagefork.example/entryd/leader"
)

// revisionStore is an [electStore] that stores jobs at rising revisions. A scheduler reads it as empty at readRevision.
type revisionStore struct {
	electStore
	mu           sync.Mutex
	revision     store.Revision
	readRevision store.Revision
	entries      map[string]store.Entry
}

func (s *revisionStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	put, isPut := txn.Then[0].(store.Put)
	if !isPut || !strings.HasPrefix(put.Key, leader.JobKey("")) {
		return s.electStore.Txn(ctx, txn)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, found := s.entries[put.Key]; found {
		return store.TxnResult{Reads: [][]store.Entry{{e}}}, nil
	}
	s.revision++
	s.entries[put.Key] = store.Entry{Key: put.Key, Value: put.Value, ModRevision: s.revision}
	return store.TxnResult{Committed: true, Revision: s.revision}, nil
}

func (s *revisionStore) Range(context.Context, store.Get) (store.RangeResult, error) {
	return store.RangeResult{Revision: s.readRevision}, nil
}

// receivedLog collects the lines of the scheduler about received jobs.
type receivedLog struct {
	mu    sync.Mutex
	lines []map[string]any
}

func (r *receivedLog) Write(line []byte) (int, error) {
	var fields map[string]any
	if bytes.Contains(line, []byte(`"scheduler: job received"`)) && json.Unmarshal(line, &fields) == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lines = append(r.lines, fields)
	}
	return len(line), nil
}

// revisions returns the revisions of the jobs that the scheduler has received.
func (r *receivedLog) revisions() []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []int64
	for _, l := range r.lines {
		revision, _ := l["revision"].(float64)
		all = append(all, int64(revision))
	}
	return all
}

// startScheduler elects the only process of a group, and returns its intake and the jobs that its scheduler receives.
func startScheduler(t *testing.T, s store.Client) (*hosted.Intake, *receivedLog) {
	log, received := slog.New(slog.DiscardHandler), &receivedLog{}
	scheduler := leader.NewScheduler(leader.Deps{
		Store: s, Format: noWorkers{}, Bounds: infra.Bounds{MaxLease: time.Second}, Log: log,
		Decisions: slog.New(slog.NewJSONHandler(received, nil)), Metrics: metrics.NewRegistry(),
		Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, true },
	})
	group := leader.NewGroup("a", "a:1", s, log, scheduler.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		group.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-stopped })
	for !scheduler.Query(ctx, func(*flow.Machine) {}) {
		time.Sleep(time.Millisecond)
	}
	return hosted.NewIntake("a", s, log, hosted.WithScheduler(group, scheduler)), received
}

// Guards against a scheduler that takes a job for new because it does not know when the job was stored (TWICE).
func TestNotificationNamesTheRevisionOfTheJob(t *testing.T) {
	s := &revisionStore{revision: 11, readRevision: 9, entries: make(map[string]store.Entry)}
	intake, received := startScheduler(t, s)
	assert.NilError(t, intake.Submit(t.Context(), infra.Queue{Name: "q"}, job()))
	waitUntil(t, "job", func() bool { return len(received.revisions()) > 0 })
	assert.DeepEqual(t, received.revisions(), []int64{12})
}

// Guards against a second run of a job that the scheduler has finished and dropped but not yet deleted in the store (TWICE). A
// repeated submission of it was announced as a new job.
func TestRepeatedSubmissionIsNoNewJob(t *testing.T) {
	s := &revisionStore{revision: 11, readRevision: 9, entries: make(map[string]store.Entry)}
	data, err := leader.EncodeJob(job())
	assert.NilError(t, err)
	s.entries[leader.JobKey(job().ID)] = store.Entry{Key: leader.JobKey(job().ID), Value: data, ModRevision: 7}
	intake, received := startScheduler(t, s)
	assert.NilError(t, intake.Submit(t.Context(), infra.Queue{Name: "q"}, job()))
	next := job()
	next.ID = "5c0e7a21d94b36f9"
	assert.NilError(t, intake.Submit(t.Context(), infra.Queue{Name: "q"}, next))
	waitUntil(t, "next job", func() bool { return len(received.revisions()) > 0 })
	assert.DeepEqual(t, received.revisions(), []int64{12})
}

// Guards against a scheduler that runs a job as a repeated request described it, not as it was stored (UNASKED): the watch does
// not correct a job that a notification has delivered.
func TestRepeatedSubmissionAnnouncesTheStoredJob(t *testing.T) {
	s := &revisionStore{revision: 11, readRevision: 9, entries: make(map[string]store.Entry)}
	intake, received := startScheduler(t, s)
	stored := job()
	stored.Queue = "stored"
	data, err := leader.EncodeJob(stored)
	assert.NilError(t, err)
	s.entries[leader.JobKey(job().ID)] = store.Entry{Key: leader.JobKey(job().ID), Value: data, ModRevision: 11}
	assert.NilError(t, intake.Submit(t.Context(), infra.Queue{Name: "q"}, job()))
	waitUntil(t, "job", func() bool { return len(received.revisions()) > 0 })
	received.mu.Lock()
	defer received.mu.Unlock()
	assert.Equal(t, received.lines[0]["reason"], "stored")
}

func waitUntil(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !reached(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within 10 s", what)
		}
	}
}
