package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/form"
	"lovagefork.example/coord/store"
	"lovagefork.example/entryd/admin"
)

// process is an entry process.
type process struct {
	admin  *admin.Admin
	router *mux.Router
	stop   context.CancelFunc
	done   chan struct{}
}

// cluster is a store with the entry processes that use it.
type cluster struct {
	store *fakeStore
	mesh  *fakeMesh
}

func newCluster() *cluster {
	m := &fakeMesh{
		processes: make(map[fleet.EntryHostID]*process), cutLinks: make(map[[2]fleet.EntryHostID]bool),
		lostInRow: make(map[[2]fleet.EntryHostID]int), rng: rand.New(rand.NewPCG(1, 1)),
	}
	return &cluster{store: newFakeStore(), mesh: m}
}

// start starts a process, after stopping an earlier one on the same entry host, and links it to the reachable ones.
func (c *cluster) start(id fleet.EntryHostID) *process {
	ctx, stop := context.WithCancel(context.Background())
	p := &process{
		admin:  admin.New(id, c.store, fakePeers{mesh: c.mesh, self: id}, slog.New(slog.DiscardHandler)),
		router: mux.NewRouter(), stop: stop, done: make(chan struct{}),
	}
	p.admin.Register(p.router)
	c.kill(id)
	c.mesh.mu.Lock()
	c.mesh.processes[id] = p
	c.mesh.mu.Unlock()
	go func() { defer close(p.done); _ = p.admin.Run(ctx) }()
	for _, peer := range c.ids() {
		c.mesh.linkChanged(id, peer)
	}
	return p
}

// kill stops a process and breaks its links.
func (c *cluster) kill(id fleet.EntryHostID) {
	p := c.mesh.processOn(id)
	if p == nil {
		return
	}
	c.mesh.mu.Lock()
	delete(c.mesh.processes, id)
	c.mesh.mu.Unlock()
	p.stop()
	<-p.done
	for _, peer := range c.ids() {
		c.mesh.linkChanged(id, peer)
	}
}

func (c *cluster) ids() []fleet.EntryHostID {
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	return slices.Sorted(maps.Keys(c.mesh.processes))
}

// stop stops all processes.
func (c *cluster) stop() {
	for _, id := range c.ids() {
		c.kill(id)
	}
}

// call sends a request to a process, decodes the response body into response and returns the status.
func call(p *process, method, path string, body, response any) int {
	data, _ := json.Marshal(body)
	w := httptest.NewRecorder()
	p.router.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(data)))
	_ = json.Unmarshal(w.Body.Bytes(), response)
	return w.Code
}

func answersFile(t testing.TB) json.RawMessage {
	data, err := os.ReadFile("testdata/globex.json")
	assert.NilError(t, err)
	return data
}

// Guards the path of a change from the HTTP interface to another process: without a link between the two, the change
// must take effect there through the watch of the store.
func TestChangeReachesOtherProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		e1, e2 := c.start("e1"), c.start("e2")
		c.mesh.setCut("e1", "e2", true)
		time.Sleep(time.Second)
		var response form.ChangeResponse
		request := form.ChangeRequest{ChangeID: "c1", Answers: answersFile(t)}
		assert.Equal(t, call(e1, http.MethodPut, "/v1/config/globex", request, &response), http.StatusOK)
		time.Sleep(time.Second)
		v, found := e2.admin.View().Customer("globex")
		assert.Assert(t, found)
		assert.Equal(t, v.Revision, response.Revision)
		assert.DeepEqual(t, v.Document, response.Document)
		assert.Equal(t, v.Document.Services[0].Class, fleet.Urgent)
		assert.Equal(t, v.Revision, store.Revision(1))
	})
}

// Guards against wrong outcomes on store faults: a change that was not sent to the store must be reported as not run,
// and one whose response was lost, but which the store has, as accepted.
func TestStoreFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		p := c.start("e1")
		time.Sleep(time.Second)
		c.store.set(func(s *fakeStore) { s.down = true })
		request := form.ChangeRequest{ChangeID: "c1", Answers: answersFile(t)}
		var failure form.ErrorResponse
		assert.Equal(t, call(p, http.MethodPut, "/v1/config/globex", request, &failure), http.StatusServiceUnavailable)
		assert.Equal(t, failure.Outcome, form.OutcomeNotRun)

		c.store.set(func(s *fakeStore) { s.down, s.loseResponses = false, true })
		var response form.ChangeResponse
		assert.Equal(t, call(p, http.MethodPut, "/v1/config/globex", request, &response), http.StatusOK)
		assert.Equal(t, response.Outcome, form.OutcomeAccepted)
	})
}

// putReplicas proposes a change of the number of replicas, decodes the response body into response and returns the
// status.
func putReplicas(t *testing.T, p *process, base store.Revision, id string, replicas int, response any) int {
	answers := bytes.Replace(answersFile(t), []byte(`"replicas": 4`), fmt.Appendf(nil, `"replicas": %d`, replicas), 1)
	request := form.ChangeRequest{BaseRevision: base, ChangeID: id, Answers: answers}
	return call(p, http.MethodPut, "/v1/config/globex", request, response)
}

// Guards against lost and repeated updates: of two changes of the same revision, the later one must get a conflict with
// the current revision, and a repeated change must not be applied again, even after other changes.
func TestConflictAndRepetition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		e1, e2 := c.start("e1"), c.start("e2")
		time.Sleep(time.Second)
		var first, second, again form.ChangeResponse
		var failure form.ErrorResponse
		assert.Equal(t, putReplicas(t, e1, 0, "c1", 5, &first), http.StatusOK)
		assert.Equal(t, putReplicas(t, e2, 0, "c2", 6, &failure), http.StatusConflict)
		assert.Equal(t, failure.Revision, first.Revision)
		assert.DeepEqual(t, failure.Differences, []form.Difference{{Field: "services[stock-watch].replicas", From: "5", To: "6"}})

		assert.Equal(t, putReplicas(t, e2, first.Revision, "c2", 6, &second), http.StatusOK)
		assert.Equal(t, putReplicas(t, e2, 0, "c1", 5, &again), http.StatusOK)
		assert.Equal(t, again.Revision, first.Revision)
		assert.Equal(t, putReplicas(t, e1, 0, "c1", 7, &failure), http.StatusUnprocessableEntity)
		assert.Equal(t, failure.Field, "change_id")
		assert.Equal(t, putReplicas(t, e1, second.Revision, "", 7, &failure), http.StatusUnprocessableEntity)
		time.Sleep(2 * time.Second)
		var status form.Status
		assert.Equal(t, call(e1, http.MethodGet, "/v1/config", nil, &status), http.StatusOK)
		assert.Equal(t, status.Revisions["globex"], second.Revision)
		assert.DeepEqual(t, status.Peers[0].Revisions, status.Revisions)
	})
}

// Guards against a history that grows without bound and fills the store. A preview must not add an entry.
func TestHistoryIsTrimmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		p := c.start("e1")
		time.Sleep(time.Second)
		var response form.ChangeResponse
		for i := range config.HistoryLimit + 5 {
			assert.Equal(t, putReplicas(t, p, response.Revision, fmt.Sprint("c", i), i+1, &response), http.StatusOK)
			synctest.Wait()
		}
		var preview form.Preview
		path := "/v1/config/globex"
		assert.Equal(t, call(p, http.MethodPost, path+"/preview", form.PreviewRequest{Answers: answersFile(t)}, &preview), http.StatusOK)
		assert.Equal(t, preview.Differences[0].To, "4")
		var history form.History
		assert.Equal(t, call(p, http.MethodGet, path+"/history", nil, &history), http.StatusOK)
		assert.Equal(t, history.History[0].ChangeID, "c104")
		assert.Equal(t, history.History[0].Differences[0].To, "105")
		stored, _ := c.store.entriesAt(store.Get{Key: config.HistoryPrefix, Prefix: true}, len(c.store.log))
		assert.Equal(t, len(stored), config.HistoryLimit)
	})
}
