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

// fakeEntry is an entry process that stores the answers of one customer.
type fakeEntry struct {
	mu       sync.Mutex
	revision store.Revision
	answers  json.RawMessage
	changes  []form.ChangeRequest
	// concurrentAnswers replace the answers just before the next change is applied, as a concurrent change would.
	concurrentAnswers json.RawMessage
	// dropResponse closes the connection after each change has been received.
	dropResponse bool
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case r.Method == http.MethodPut:
		f.change(w, r)
	case strings.HasSuffix(r.URL.Path, "/preview"):
		writeResponse(w, http.StatusOK, form.Preview{Revision: f.revision})
	case f.revision == 0:
		writeResponse(w, http.StatusNotFound, form.ErrorResponse{Error: "no configuration"})
	default:
		writeResponse(w, http.StatusOK, form.CurrentConfig{Customer: "acme", Revision: f.revision, Answers: f.answers})
	}
}

func (f *fakeEntry) change(w http.ResponseWriter, r *http.Request) {
	var c form.ChangeRequest
	_ = json.NewDecoder(r.Body).Decode(&c)
	f.changes = append(f.changes, c)
	if f.dropResponse {
		panic(http.ErrAbortHandler)
	}
	if f.concurrentAnswers != nil {
		f.revision, f.answers, f.concurrentAnswers = f.revision+10, f.concurrentAnswers, nil
	}
	if c.BaseRevision != f.revision {
		submitted, _ := form.Decode(c.Answers)
		current, _ := form.Decode(f.answers)
		writeResponse(w, http.StatusConflict, form.ErrorResponse{
			Error: "not current", Revision: f.revision, Answers: f.answers, Differences: form.Diff(current, submitted),
		})
		return
	}
	f.revision, f.answers = f.revision+1, c.Answers
	writeResponse(w, http.StatusOK, form.ChangeResponse{Customer: "acme", Revision: f.revision, ChangeID: c.ChangeID})
}

func (f *fakeEntry) received() []form.ChangeRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes
}

func writeResponse(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func startServer(t *testing.T, f *fakeEntry) string {
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

func writeFile(t *testing.T, data []byte) string {
	path := filepath.Join(t.TempDir(), "answers.json")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	return path
}

// An operator whose change conflicts with a concurrent one must see the current revision and the differing answers, and
// must find the answers just entered in a file. Otherwise the answers have to be entered again.
func TestAmendConflict(t *testing.T) {
	f := &fakeEntry{revision: 5, answers: encode(t, answers(2)), concurrentAnswers: encode(t, answers(3))}
	keepPath := filepath.Join(t.TempDir(), "kept.json")
	input := "bookings\n7\n\n\n\n\n\n\n\n\n\n\n\n\n\n\ny\n"
	code, _, errOut := run(input, "--entry", startServer(t, f), "config", "amend", "acme", "--keep", keepPath)
	assert.Equal(t, code, cmds.ExitConflict, errOut)
	assert.Assert(t, strings.Contains(errOut, "revision 15 is current"), errOut)
	assert.Assert(t, strings.Contains(errOut, "- services[bookings].replicas = 3"), errOut)
	assert.Assert(t, strings.Contains(errOut, "+ services[bookings].replicas = 7"), errOut)
	saved, err := draft.Load(keepPath)
	assert.NilError(t, err)
	assert.Equal(t, saved.BaseRevision, store.Revision(5))
	assert.Equal(t, saved.Answers.Services[0].Replicas, 7)

	// The saved file still has the old base revision, so that repeating it cannot undo the concurrent change.
	code, _, _ = run("", "--entry", startServer(t, f), "config", "amend", "acme", "--file", keepPath, "--yes", "--keep", keepPath)
	assert.Equal(t, code, cmds.ExitConflict)
}

// A change whose response was lost must be repeated at the next entry process, and in the saved draft, under the same
// change id. Under another id it could be made twice.
func TestFailoverKeepsChangeID(t *testing.T) {
	broken, working := &fakeEntry{dropResponse: true}, &fakeEntry{}
	file := writeFile(t, encode(t, answers(2)))
	entries := "127.0.0.1:1," + startServer(t, broken) + "," + startServer(t, working)
	code, _, errOut := run("", "-e", entries, "config", "amend", "acme", "--file", file, "--yes")
	assert.Equal(t, code, cmds.ExitDone, errOut)
	assert.Equal(t, len(broken.received()), 1)
	assert.Equal(t, len(working.received()), 1)
	assert.Equal(t, broken.received()[0].ChangeID, working.received()[0].ChangeID)

	lost, keepPath := &fakeEntry{dropResponse: true}, filepath.Join(t.TempDir(), "kept.json")
	code, _, errOut = run("", "-e", startServer(t, lost), "config", "amend", "acme", "-f", file, "-y", "-k", keepPath)
	assert.Equal(t, code, cmds.ExitOutcomeUnknown, errOut)
	saved, err := draft.Load(keepPath)
	assert.NilError(t, err)
	assert.Equal(t, saved.ChangeID, lost.received()[0].ChangeID)
}

// A file without a base revision must not be accepted as based on the current revision. It may be older, and would then
// undo later changes.
func TestPlainFileNeedsBase(t *testing.T) {
	f := &fakeEntry{revision: 5, answers: encode(t, answers(2))}
	file := writeFile(t, encode(t, answers(3)))
	code, _, _ := run("", "-e", startServer(t, f), "config", "amend", "acme", "-f", file, "-y")
	assert.Equal(t, code, cmds.ExitUsage)
	assert.Equal(t, len(f.received()), 0)
	code, out, errOut := run("", "-e", startServer(t, f), "--json", "config", "amend", "acme", "-f", file, "-y", "--base", "5")
	assert.Equal(t, code, cmds.ExitDone, errOut)
	assert.Assert(t, strings.Contains(out, `"revision": 6`), out)
}

// A change that the operator declines must not be sent.
func TestAmendDeclined(t *testing.T) {
	f := &fakeEntry{}
	code, _, _ := run("n\n", "-e", startServer(t, f), "config", "amend", "acme", "-f", writeFile(t, encode(t, answers(2))))
	assert.Equal(t, code, cmds.ExitAborted)
	assert.Equal(t, len(f.received()), 0)
}

// Scripts distinguish by the exit code whether a job was not submitted or may have been submitted.
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
			writeResponse(w, c.status, form.ErrorResponse{Error: "e", Outcome: c.outcome})
		}))
		code, _, errOut := run("", "-e", s.URL, "job", "submit", "--customer", "acme", "--kind", "counts")
		s.Close()
		assert.Equal(t, code, c.code, errOut)
	}
	code, _, _ := run("", "-e", "127.0.0.1:1", "job", "evict", "j1")
	assert.Equal(t, code, cmds.ExitUnavailable)
}

// A class or size that the operator does not specify must default to that of the batch kind, so the class must be
// absent from the request. A list without the jobs of some partitions must be marked as incomplete.
func TestJobDefaultsAndLists(t *testing.T) {
	var body map[string]any
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_ = json.NewDecoder(r.Body).Decode(&body)
			writeResponse(w, http.StatusCreated, nil)
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
