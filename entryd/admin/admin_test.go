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

// node is one entry process.
type node struct {
	admin  *admin.Admin
	router *mux.Router
	stop   context.CancelFunc
	done   chan struct{}
}

// cluster is a store and the processes on it.
type cluster struct {
	kv   *kv
	mesh *mesh
}

func newCluster() *cluster {
	m := &mesh{
		nodes: make(map[fleet.EntryHostID]*node), cut: make(map[[2]fleet.EntryHostID]bool),
		lost: make(map[[2]fleet.EntryHostID]int), random: rand.New(rand.NewPCG(1, 1)),
	}
	return &cluster{kv: newKV(), mesh: m}
}

// start runs a process, in place of a former one on the same entry host, and links it to those that it can reach.
func (c *cluster) start(id fleet.EntryHostID) *node {
	ctx, stop := context.WithCancel(context.Background())
	n := &node{
		admin:  admin.New(id, c.kv, port{mesh: c.mesh, self: id}, slog.New(slog.DiscardHandler)),
		router: mux.NewRouter(), stop: stop, done: make(chan struct{}),
	}
	n.admin.Register(n.router)
	c.kill(id)
	c.mesh.mu.Lock()
	c.mesh.nodes[id] = n
	c.mesh.mu.Unlock()
	go func() { defer close(n.done); _ = n.admin.Run(ctx) }()
	for _, peer := range c.ids() {
		c.mesh.linkChanged(id, peer)
	}
	return n
}

func (c *cluster) kill(id fleet.EntryHostID) {
	n := c.mesh.node(id)
	if n == nil {
		return
	}
	c.mesh.mu.Lock()
	delete(c.mesh.nodes, id)
	c.mesh.mu.Unlock()
	n.stop()
	<-n.done
	for _, peer := range c.ids() {
		c.mesh.linkChanged(id, peer)
	}
}

func (c *cluster) ids() []fleet.EntryHostID {
	c.mesh.mu.Lock()
	defer c.mesh.mu.Unlock()
	return slices.Sorted(maps.Keys(c.mesh.nodes))
}

func (c *cluster) stop() {
	for _, id := range c.ids() {
		c.kill(id)
	}
}

// call sends a request to a process; the answer is decoded into answer.
func call(n *node, method, path string, body, answer any) int {
	data, _ := json.Marshal(body)
	w := httptest.NewRecorder()
	n.router.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(data)))
	_ = json.Unmarshal(w.Body.Bytes(), answer)
	return w.Code
}

func answersFile(t testing.TB) json.RawMessage {
	data, err := os.ReadFile("testdata/globex.json")
	assert.NilError(t, err)
	return data
}

// Guards the whole path: an answers file put at one process must be in effect at another through its watch.
func TestChangeReachesOtherProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		one, two := c.start("e1"), c.start("e2")
		c.mesh.setCut("e1", "e2", true)
		time.Sleep(time.Second)
		var answer form.ChangeResponse
		request := form.ChangeRequest{ChangeID: "c1", Answers: answersFile(t)}
		assert.Equal(t, call(one, http.MethodPut, "/v1/config/globex", request, &answer), http.StatusOK)
		time.Sleep(time.Second)
		v, found := two.admin.View().Customer("globex")
		assert.Assert(t, found)
		assert.Equal(t, v.Revision, answer.Revision)
		assert.DeepEqual(t, v.Document, answer.Document)
		assert.Equal(t, v.Document.Services[0].Class, fleet.Urgent)
		assert.Equal(t, v.Revision, store.Revision(1))
	})
}

// A change that the store never saw must be reported as not run, and one whose answer was lost as accepted.
func TestStoreFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		n := c.start("e1")
		time.Sleep(time.Second)
		c.kv.set(func(k *kv) { k.down = true })
		request := form.ChangeRequest{ChangeID: "c1", Answers: answersFile(t)}
		var failure form.ErrorResponse
		assert.Equal(t, call(n, http.MethodPut, "/v1/config/globex", request, &failure), http.StatusServiceUnavailable)
		assert.Equal(t, failure.Outcome, form.OutcomeNotRun)

		c.kv.set(func(k *kv) { k.down, k.lose = false, true })
		var answer form.ChangeResponse
		assert.Equal(t, call(n, http.MethodPut, "/v1/config/globex", request, &answer), http.StatusOK)
		assert.Equal(t, answer.Outcome, form.OutcomeAccepted)
	})
}

// put sends a change of the number of replicas and decodes the answer.
func put(t *testing.T, n *node, base store.Revision, id string, replicas int, answer any) int {
	answers := bytes.Replace(answersFile(t), []byte(`"replicas": 4`), fmt.Appendf(nil, `"replicas": %d`, replicas), 1)
	request := form.ChangeRequest{BaseRevision: base, ChangeID: id, Answers: answers}
	return call(n, http.MethodPut, "/v1/config/globex", request, answer)
}

// The loser of a race must learn what is current, and a repeated change must not be made twice, however old it is.
func TestConflictAndRepetition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		one, two := c.start("e1"), c.start("e2")
		time.Sleep(time.Second)
		var first, second, again form.ChangeResponse
		var failure form.ErrorResponse
		assert.Equal(t, put(t, one, 0, "c1", 5, &first), http.StatusOK)
		assert.Equal(t, put(t, two, 0, "c2", 6, &failure), http.StatusConflict)
		assert.Equal(t, failure.Revision, first.Revision)
		assert.DeepEqual(t, failure.Differences, []form.Difference{{Field: "services[stock-watch].replicas", From: "5", To: "6"}})

		assert.Equal(t, put(t, two, first.Revision, "c2", 6, &second), http.StatusOK)
		assert.Equal(t, put(t, two, 0, "c1", 5, &again), http.StatusOK)
		assert.Equal(t, again.Revision, first.Revision)
		assert.Equal(t, put(t, one, 0, "c1", 7, &failure), http.StatusUnprocessableEntity)
		assert.Equal(t, failure.Field, "change_id")
		assert.Equal(t, put(t, one, second.Revision, "", 7, &failure), http.StatusUnprocessableEntity)
		time.Sleep(2 * time.Second)
		var status form.Status
		assert.Equal(t, call(one, http.MethodGet, "/v1/config", nil, &status), http.StatusOK)
		assert.Equal(t, status.Revisions["globex"], second.Revision)
		assert.DeepEqual(t, status.Peers[0].Revisions, status.Revisions)
	})
}

// Without a limit the history of a busy customer would fill the store; a preview must not add to it.
func TestHistoryIsTrimmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.stop()
		n := c.start("e1")
		time.Sleep(time.Second)
		var answer form.ChangeResponse
		for i := range config.HistoryLimit + 5 {
			assert.Equal(t, put(t, n, answer.Revision, fmt.Sprint("c", i), i+1, &answer), http.StatusOK)
			synctest.Wait()
		}
		var preview form.Preview
		path := "/v1/config/globex"
		assert.Equal(t, call(n, http.MethodPost, path+"/preview", form.PreviewRequest{Answers: answersFile(t)}, &preview), http.StatusOK)
		assert.Equal(t, preview.Differences[0].To, "4")
		var history form.History
		assert.Equal(t, call(n, http.MethodGet, path+"/history", nil, &history), http.StatusOK)
		assert.Equal(t, history.History[0].ChangeID, "c104")
		assert.Equal(t, history.History[0].Differences[0].To, "105")
		stored, _ := c.kv.get(store.Get{Key: config.HistoryPrefix, Prefix: true}, len(c.kv.log))
		assert.Equal(t, len(stored), config.HistoryLimit)
	})
}
