package front_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/serve"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/front"
)

// documents is a fixed configuration.
type documents []config.VersionedDocument

func (d documents) All() []config.VersionedDocument { return d }

func (d documents) Customer(id fleet.CustomerID) (config.VersionedDocument, bool) {
	for _, v := range d {
		if v.Document.Customer == id {
			return v, true
		}
	}
	return config.VersionedDocument{}, false
}

var globex = documents{{Document: config.Document{
	Customer: "globex",
	Services: []config.Service{
		{Name: "quotes", Class: fleet.Urgent, DeadlineMS: 2000},
		{Name: "orders", Class: fleet.Standard, DeadlineMS: 2000, NonIdempotent: true},
	},
}}}

var discard = slog.New(slog.DiscardHandler)

// noPeers is a mesh without links.
type noPeers struct{}

func (noPeers) Call(context.Context, fleet.EntryHostID, wire.Message) (wire.Message, error) {
	return nil, fmt.Errorf("no link")
}
func (noPeers) Send(fleet.EntryHostID, wire.Message) error { return fmt.Errorf("no link") }
func (noPeers) LinkedPeers() []fleet.EntryHostID                    { return nil }

// memory is a store that keeps values in a map.
type memory struct {
	store.Client
	mu   sync.Mutex
	keys map[string][]byte
}

func (m *memory) Grant(context.Context, time.Duration) (store.LeaseID, error) { return 1, nil }

func (m *memory) Txn(_ context.Context, t store.Txn) (store.TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ops := store.TxnResult{Committed: true}, t.Then
	for _, c := range t.If {
		switch c := c.(type) {
		case store.KeyAbsent:
			r.Committed = r.Committed && m.keys[c.Key] == nil
		case store.ValueEqual:
			r.Committed = r.Committed && bytes.Equal(m.keys[c.Key], c.Value)
		}
	}
	if !r.Committed {
		ops = t.Else
	}
	for _, op := range ops {
		switch op := op.(type) {
		case store.Put:
			m.keys[op.Key] = op.Value
		case store.Delete:
			delete(m.keys, op.Key)
		case store.Get:
			var found []store.Entry
			if v := m.keys[op.Key]; v != nil {
				found = append(found, store.Entry{Key: op.Key, Value: v})
			}
			r.Reads = append(r.Reads, found)
		}
	}
	return r, nil
}

// runFront starts a front and waits until its start-up quarantine has passed.
func runFront(t testing.TB, deps front.Deps, ttl time.Duration, workers []fleet.Worker, opts ...front.Option) *front.Front {
	t.Helper()
	deps.Config, deps.Log = globex, discard
	times := serve.WithGrant(grant.WithTimes(ttl, ttl/10, 10*time.Millisecond))
	f := front.New(deps, append(opts, front.WithServeOptions(times))...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	f.ObserveFleet(workers)
	return f
}

// startFront runs one front over one worker with the given backend server.
func startFront(t testing.TB, backendURL string, opts ...front.Option) (*front.Front, *httptest.Server) {
	t.Helper()
	deps := front.Deps{
		Self: wire.Hello{EntryHost: "e1", Boot: "b1", Zone: "a"}, Roster: []grant.Member{{Host: "e1", Zone: "a"}},
		Peers: noPeers{}, Store: &memory{keys: make(map[string][]byte)},
	}
	f := runFront(t, deps, 20*time.Millisecond, []fleet.Worker{worker(backendURL)}, opts...)
	router := mux.NewRouter()
	f.Register(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	return f, server
}

func worker(url string) fleet.Worker {
	return fleet.Worker{ID: "w1", Zone: "a", State: fleet.HostLive, Slots: 8, Connections: 64, BackendURL: url}
}

func serveBackend(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

func ask(t *testing.T, method, url, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	answer, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	return answer, string(data), err
}

// A request must reach the backend server unchanged but for the headers of the connection, and its answer likewise.
func TestRequestAndAnswerPassWhole(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789"), 1000)
	backend := serveBackend(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Echo", fmt.Sprintf("%s %s %s hop=%q service=%s", r.Method, r.URL, body,
			r.Header.Get("X-Hop"), r.Header.Get("Lovagefork-Service")))
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write(large)
	})
	_, server := startFront(t, backend, front.WithBodyLimits(100, 1000, 1000))
	url := server.URL + "/v1/services/globex/quotes/requests/a%2Fb?c=d"
	answer, body, err := ask(t, "PUT", url, "x", "Connection", "X-Hop", "X-Hop", "secret")
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusTeapot)
	assert.Equal(t, answer.Header.Get("Lovagefork-Outcome"), "ran")
	assert.Equal(t, answer.Header.Get("Echo"), `PUT /a%2Fb?c=d x hop="" service=globex/quotes`)
	assert.Equal(t, body, string(large))
	answer, _, _ = ask(t, "PUT", url, strings.Repeat("x", 101))
	assert.Equal(t, answer.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Equal(t, answer.Header.Get("Lovagefork-Outcome"), "not_run")
}
