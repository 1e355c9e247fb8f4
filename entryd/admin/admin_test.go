package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
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
	data, err := os.ReadFile("testdata/gehegewerk.json")
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
		var answer form.ChangeAnswer
		request := form.ChangeRequest{ChangeID: "c1", Answers: answersFile(t)}
		assert.Equal(t, call(one, http.MethodPut, "/v1/config/gehegewerk", request, &answer), http.StatusOK)
		time.Sleep(time.Second)
		v, found := two.admin.View().Customer("gehegewerk")
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
		var failure form.Failure
		assert.Equal(t, call(n, http.MethodPut, "/v1/config/gehegewerk", request, &failure), http.StatusServiceUnavailable)
		assert.Equal(t, failure.Outcome, form.OutcomeNotRun)

		c.kv.set(func(k *kv) { k.down, k.lose = false, true })
		var answer form.ChangeAnswer
		assert.Equal(t, call(n, http.MethodPut, "/v1/config/gehegewerk", request, &answer), http.StatusOK)
		assert.Equal(t, answer.Outcome, form.OutcomeAccepted)
	})
}
