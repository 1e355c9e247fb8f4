package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/front"
	"lovagefork.example/entryd/peers"
)

// brokenBackend starts a server that writes the given bytes in response to every request, closes the connection and
// counts the requests. It returns the server's URL.
func brokenBackend(t *testing.T, response string, requests *atomic.Int32) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				requests.Add(1)
				_, _ = io.WriteString(conn, response)
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against running a non-idempotent request twice: if its response is truncated at any point, neither the front
// nor a caller's retry with the same key may send it again.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	for name, response := range map[string]string{
		"no answer":     "",
		"half a header": "HTTP/1.1 200 O",
		"header only":   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
		"half a body":   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
		"half a chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no last chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"no length":     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab",
		"no HTTP":       "what?\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			_, server := startFront(t, brokenBackend(t, response, &requests))
			url := server.URL + "/v1/services/globex/orders/requests/"
			for _, want := range []int{http.StatusBadGateway, http.StatusConflict, http.StatusConflict} {
				got, _, _ := sendRequest(t, "GET", url, "", "Idempotency-Key", "k")
				assert.Equal(t, got.StatusCode, want)
				assert.Equal(t, got.Header.Get("Lovagefork-Outcome"), "unknown")
			}
			assert.Equal(t, requests.Load(), int32(1))
		})
	}
}

// Guards against running a non-idempotent request twice: if the backend server closes a reused connection after it has
// read a request, net/http replays the request by itself. Non-idempotent requests must not use such connections.
func TestNonIdempotentAvoidsReusedConnections(t *testing.T) {
	var runs atomic.Int32
	var used sync.Map
	backend := serveBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "" {
			used.Store(r.RemoteAddr, true)
			return
		}
		runs.Add(1)
		if _, reused := used.Load(r.RemoteAddr); reused {
			panic(http.ErrAbortHandler)
		}
	})
	_, server := startFront(t, backend)
	_, _, _ = sendRequest(t, "GET", server.URL+"/v1/services/globex/quotes/requests/", "")
	_, _, _ = sendRequest(t, "GET", server.URL+"/v1/services/globex/orders/requests/", "", "Idempotency-Key", "k")
	assert.Equal(t, runs.Load(), int32(1))
}

// Guards the retries of an idempotent request: it is sent again after a truncated response, and reported as unknown
// when every attempt ends that way.
func TestTruncatedResponsesAreRetried(t *testing.T) {
	var requests atomic.Int32
	_, server := startFront(t, brokenBackend(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", &requests))
	got, _, _ := sendRequest(t, "GET", server.URL+"/v1/services/globex/quotes/requests/", "")
	assert.Equal(t, got.Header.Get("Lovagefork-Outcome"), "unknown")
	assert.Equal(t, requests.Load(), int32(3))
}

// Guards against a blocked idempotency key: a request that reached no backend server is not_run, and the caller must be
// able to repeat it with the same key.
func TestUnreachableBackendFreesTheKey(t *testing.T) {
	f, server := startFront(t, "http://127.0.0.1:1")
	url := server.URL + "/v1/services/globex/orders/requests/"
	for range 2 {
		got, _, _ := sendRequest(t, "POST", url, "x", "Idempotency-Key", "k")
		assert.Equal(t, got.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, got.Header.Get("Lovagefork-Outcome"), "not_run")
	}
	reachable := serveBackend(t, func(http.ResponseWriter, *http.Request) {})
	time.Sleep(1500 * time.Millisecond) // until the worker's ejection ends
	f.ObserveFleet([]fleet.Worker{worker(reachable)})
	got, _, _ := sendRequest(t, "POST", url, "x", "Idempotency-Key", "k")
	assert.Equal(t, got.StatusCode, http.StatusOK)
	// The outcome is recorded after the response; until then a repeated request gets the outcome unknown.
	for outcome, end := "", time.Now().Add(time.Second); outcome != "ran"; {
		got, _, _ := sendRequest(t, "POST", url, "x", "Idempotency-Key", "k")
		assert.Equal(t, got.StatusCode, http.StatusConflict)
		outcome = got.Header.Get("Lovagefork-Outcome")
		assert.Assert(t, time.Now().Before(end), "outcome stays %s", outcome)
	}
}

// Guards against silent truncation: a streamed response that the backend server ends early must fail at the caller too.
func TestTruncatedStreamIsNotComplete(t *testing.T) {
	for _, header := range []string{"Content-Length: 9999", "Transfer-Encoding: chunked"} {
		response := "HTTP/1.1 200 OK\r\n" + header + "\r\n\r\n1000\r\n" + strings.Repeat("a", 4000)
		var requests atomic.Int32
		_, server := startFront(t, brokenBackend(t, response, &requests), front.WithBodyLimits(100, 100, 1000))
		got, _, err := sendRequest(t, "GET", server.URL+"/v1/services/globex/quotes/requests/", "")
		assert.Equal(t, got.StatusCode, http.StatusOK)
		assert.ErrorContains(t, err, "EOF")
	}
}

// Guards against lost requests on shutdown: a drain waits for requests in flight and rejects later ones as not_run.
func TestDrainFinishesRequests(t *testing.T) {
	entered, proceed := make(chan bool), make(chan bool)
	release := sync.OnceFunc(func() { close(proceed) })
	backend := serveBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		entered <- true
		<-proceed
		_, _ = io.WriteString(w, "done")
	})
	f, server := startFront(t, backend, front.WithDrainNotice(10*time.Millisecond))
	t.Cleanup(release)
	url := server.URL + "/v1/services/globex/quotes/requests/"
	first := make(chan string, 1)
	go func() {
		got, body, err := sendRequest(t, "GET", url, "")
		first <- fmt.Sprint(got.StatusCode, body, err)
	}()
	<-entered
	drained := make(chan error, 1)
	go func() { drained <- f.Drain(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	got, _, _ := sendRequest(t, "GET", url, "")
	assert.Equal(t, got.Header.Get("Lovagefork-Reason"), "draining")
	assert.Equal(t, got.Header.Get("Lovagefork-Outcome"), "not_run")
	// A rejection must not wait for the body, which is never sent here.
	body, end := io.Pipe()
	t.Cleanup(func() { _ = end.Close() })
	r, err := http.NewRequest("POST", url, body)
	assert.NilError(t, err)
	client := &http.Client{Timeout: time.Second}
	got, err = client.Do(r)
	assert.NilError(t, err)
	assert.Equal(t, got.Header.Get("Lovagefork-Reason"), "draining")
	assert.Equal(t, len(drained), 0, "drain ended before the request")
	release()
	assert.Equal(t, <-first, "200done<nil>")
	assert.NilError(t, <-drained)
}

// Guards the use of peers' slots: requests at an entry host without slots of its own must run on slots of its peer, by
// loan or by forwarding, each caller must get the response to its own request, and no slot may be used twice.
func TestPeerSlotsAreUsed(t *testing.T) {
	var running, maxRunning atomic.Int32
	backend := serveBackend(t, func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		for m := maxRunning.Load(); n > m && !maxRunning.CompareAndSwap(m, n); m = maxRunning.Load() {
		}
		body, _ := io.ReadAll(r.Body)
		time.Sleep(5 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	})
	hosts := []fleet.EntryHostID{"e1", "e2"}
	roster := []grant.Member{{Host: "e1", Zone: "a"}, {Host: "e2", Zone: "b"}}
	addresses := make(map[fleet.EntryHostID]string)
	servers := make([]*httptest.Server, len(hosts))
	routers := make([]*mux.Router, len(hosts))
	for i, host := range hosts {
		routers[i] = mux.NewRouter()
		servers[i] = httptest.NewUnstartedServer(routers[i])
		t.Cleanup(servers[i].Close)
		addresses[host] = servers[i].Listener.Addr().String()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	claimStore := &mapStore{values: make(map[string][]byte)}
	for i, host := range hosts {
		self := wire.Hello{EntryHost: host, Boot: "b1", Zone: roster[i].Zone}
		mesh := peers.New(self, addresses, discardLog)
		f := runFront(t, front.Deps{Self: self, Roster: roster, Peers: mesh, Store: claimStore}, 2*time.Second,
			[]fleet.Worker{worker(backend)})
		mesh.AddHandler(f.HandlePeer)
		routers[i].Handle("/peer/v1", mesh)
		f.Register(routers[i])
		servers[i].Start()
		go mesh.Run(ctx)
	}
	time.Sleep(2500 * time.Millisecond) // until the own shares of both processes are open
	results := make(chan string)
	for i := range 100 {
		go func() {
			deadline, service := "1500", "quotes"
			if i%2 == 0 {
				deadline = "6000"
			}
			if i%3 == 0 {
				service = "orders"
			}
			url := fmt.Sprintf("%s/v1/services/globex/%s/requests/%d", servers[1].URL, service, i)
			got, body, err := sendRequest(t, "POST", url, fmt.Sprint("b", i), "Idempotency-Key", fmt.Sprint(i),
				"Lovagefork-Deadline-Ms", deadline)
			if want := fmt.Sprintf("/%d b%d", i, i); err == nil && got.StatusCode == 200 && body != want {
				t.Errorf("request %d got %q", i, body)
			}
			results <- got.Header.Get("Lovagefork-Outcome") + " " + got.Header.Get("Lovagefork-Reason")
		}()
	}
	count := make(map[string]int)
	for range 100 {
		count[<-results]++
	}
	t.Logf("outcomes %v, at most %d requests at a time", count, maxRunning.Load())
	assert.Assert(t, count["ran answered"] >= 95, "%v", count)
	assert.Assert(t, maxRunning.Load() <= 8, "%d requests at a time on 8 slots", maxRunning.Load())
}
