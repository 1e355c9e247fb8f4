package cmds_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/form"
	"lovagefork.example/coord/store"
	"lovagefork.example/lovctl/cmds"
	"lovagefork.example/lovctl/draft"
)

// fakeEntry is an entry process that holds one customer's answers.
type fakeEntry struct {
	mu       sync.Mutex
	revision store.Revision
	answers  json.RawMessage
	changes  []form.ChangeRequest
	// race is put in place of the answers just before the next change arrives.
	race json.RawMessage
	// loseAnswer breaks the connection after each change has arrived.
	loseAnswer bool
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case r.Method == http.MethodPut:
		f.change(w, r)
	case strings.HasSuffix(r.URL.Path, "/preview"):
		reply(w, http.StatusOK, form.Preview{Revision: f.revision})
	case f.revision == 0:
		reply(w, http.StatusNotFound, form.ErrorResponse{Error: "no configuration"})
	default:
		reply(w, http.StatusOK, form.CurrentConfig{Customer: "acme", Revision: f.revision, Answers: f.answers})
	}
}

func (f *fakeEntry) change(w http.ResponseWriter, r *http.Request) {
	var c form.ChangeRequest
	_ = json.NewDecoder(r.Body).Decode(&c)
	f.changes = append(f.changes, c)
	if f.loseAnswer {
		panic(http.ErrAbortHandler)
	}
	if f.race != nil {
		f.revision, f.answers, f.race = f.revision+10, f.race, nil
	}
	if c.BaseRevision != f.revision {
		mine, _ := form.Decode(c.Answers)
		theirs, _ := form.Decode(f.answers)
		reply(w, http.StatusConflict, form.ErrorResponse{
			Error: "not current", Revision: f.revision, Answers: f.answers, Differences: form.Diff(theirs, mine),
		})
		return
	}
	f.revision, f.answers = f.revision+1, c.Answers
	reply(w, http.StatusOK, form.ChangeResponse{Customer: "acme", Revision: f.revision, ChangeID: c.ChangeID})
}

func (f *fakeEntry) received() []form.ChangeRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func serve(t *testing.T, f *fakeEntry) string {
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return s.URL
}

func run(input string, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = cmds.Run(context.Background(), "test", args, cmds.Streams{In: strings.NewReader(input), Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

func answers(replicas int) form.Answers {
	size := form.Size{MilliCPU: 1000, MemoryMiB: 512}
	return form.Answers{
		Customer: "acme", Urgent: []string{"bookings"},
		Services: []form.Service{{Name: "bookings", Replicas: replicas, DeadlineMS: 500, Size: size}},
	}
}

func encode(t *testing.T, a form.Answers) json.RawMessage {
	data, err := form.Encode(a)
	assert.NilError(t, err)
	return data
}

func write(t *testing.T, data []byte) string {
	path := filepath.Join(t.TempDir(), "answers.json")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	return path
}

// The loser of a race must see the current revision and the differing answers, and must not have to type again.
func TestAmendLosesRace(t *testing.T) {
	f := &fakeEntry{revision: 5, answers: encode(t, answers(2)), race: encode(t, answers(3))}
	keep := filepath.Join(t.TempDir(), "kept.json")
	typed := "bookings\n7\n\n\n\n\n\n\n\n\n\n\n\n\n\n\ny\n"
	code, _, errOut := run(typed, "--entry", serve(t, f), "config", "amend", "acme", "--keep", keep)
	assert.Equal(t, code, cmds.ExitConflict, errOut)
	assert.Assert(t, strings.Contains(errOut, "revision 15 is current"), errOut)
	assert.Assert(t, strings.Contains(errOut, "- services[bookings].replicas = 3"), errOut)
	assert.Assert(t, strings.Contains(errOut, "+ services[bookings].replicas = 7"), errOut)
	kept, err := draft.Load(keep)
	assert.NilError(t, err)
	assert.Equal(t, kept.BaseRevision, store.Revision(5))
	assert.Equal(t, kept.Answers.Services[0].Replicas, 7)

	// The kept file is still derived from the old revision, so that repeating it cannot undo the winner's change.
	code, _, _ = run("", "--entry", serve(t, f), "config", "amend", "acme", "--file", keep, "--yes", "--keep", keep)
	assert.Equal(t, code, cmds.ExitConflict)
}

// A change whose answer was lost may only be repeated elsewhere under the same id, or it could be made twice.
func TestFailoverKeepsChangeID(t *testing.T) {
	broken, working := &fakeEntry{loseAnswer: true}, &fakeEntry{}
	file := write(t, encode(t, answers(2)))
	entries := "127.0.0.1:1," + serve(t, broken) + "," + serve(t, working)
	code, _, errOut := run("", "-e", entries, "config", "amend", "acme", "--file", file, "--yes")
	assert.Equal(t, code, cmds.ExitDone, errOut)
	assert.Equal(t, len(broken.received()), 1)
	assert.Equal(t, len(working.received()), 1)
	assert.Equal(t, broken.received()[0].ChangeID, working.received()[0].ChangeID)

	lost, keep := &fakeEntry{loseAnswer: true}, filepath.Join(t.TempDir(), "kept.json")
	code, _, errOut = run("", "-e", serve(t, lost), "config", "amend", "acme", "-f", file, "-y", "-k", keep)
	assert.Equal(t, code, cmds.ExitOutcomeUnknown, errOut)
	kept, err := draft.Load(keep)
	assert.NilError(t, err)
	assert.Equal(t, kept.ChangeID, lost.received()[0].ChangeID)
}

// A file of unknown age must not be taken as derived from the current revision, because it would undo later changes.
func TestPlainFileNeedsBase(t *testing.T) {
	f := &fakeEntry{revision: 5, answers: encode(t, answers(2))}
	file := write(t, encode(t, answers(3)))
	code, _, _ := run("", "-e", serve(t, f), "config", "amend", "acme", "-f", file, "-y")
	assert.Equal(t, code, cmds.ExitUsage)
	assert.Equal(t, len(f.received()), 0)
	code, out, errOut := run("", "-e", serve(t, f), "--json", "config", "amend", "acme", "-f", file, "-y", "--base", "5")
	assert.Equal(t, code, cmds.ExitDone, errOut)
	assert.Assert(t, strings.Contains(out, `"revision": 6`), out)
}

// A declined change must not be written.
func TestAmendDeclined(t *testing.T) {
	f := &fakeEntry{}
	code, _, _ := run("n\n", "-e", serve(t, f), "config", "amend", "acme", "-f", write(t, encode(t, answers(2))))
	assert.Equal(t, code, cmds.ExitAborted)
	assert.Equal(t, len(f.received()), 0)
}

// Scripts rely on the exit codes to tell a job that was not submitted from one that may have been.
func TestJobExitCodes(t *testing.T) {
	for _, c := range []struct {
		status  int
		outcome string
		code    int
	}{
		{http.StatusCreated, "", cmds.ExitDone},
		{http.StatusUnprocessableEntity, "", cmds.ExitRefused},
		{http.StatusNotFound, "", cmds.ExitNotFound},
		{http.StatusConflict, "", cmds.ExitConflict},
		{http.StatusServiceUnavailable, form.OutcomeNotRun, cmds.ExitUnavailable},
		{http.StatusServiceUnavailable, form.OutcomeUnknown, cmds.ExitOutcomeUnknown},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			reply(w, c.status, form.ErrorResponse{Error: "e", Outcome: c.outcome})
		}))
		code, _, errOut := run("", "-e", s.URL, "job", "submit", "--customer", "acme", "--kind", "counts")
		s.Close()
		assert.Equal(t, code, c.code, errOut)
	}
	code, _, _ := run("", "-e", "127.0.0.1:1", "job", "evict", "j1")
	assert.Equal(t, code, cmds.ExitUnavailable)
}

// A class or size that the operator leaves open must be left to the kind of batch work; a list that lacks partitions must
// not pass for a complete one.
func TestJobDefaultsAndLists(t *testing.T) {
	var body map[string]any
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_ = json.NewDecoder(r.Body).Decode(&body)
			reply(w, http.StatusCreated, nil)
			return
		}
		_, _ = w.Write([]byte(`{"jobs":[{"job_id":"j","state":"running","task_states":{"running":2,"waiting":1}}],"incomplete":["a/0"]}`))
	}))
	defer s.Close()
	code, _, errOut := run("", "-e", s.URL, "job", "submit", "--customer", "acme", "--kind", "counts")
	assert.Equal(t, code, cmds.ExitDone, errOut)
	_, hasClass := body["class"]
	assert.Assert(t, !hasClass)
	code, out, _ := run("", "-e", s.URL, "job", "list", "--state", "running")
	assert.Equal(t, code, cmds.ExitDone)
	assert.Assert(t, strings.Contains(out, "running=2,waiting=1") && strings.Contains(out, "incomplete"), out)
}
