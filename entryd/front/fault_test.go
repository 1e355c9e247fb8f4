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

// brokenBackend answers every request with the given bytes and closes the connection. It counts the requests.
func brokenBackend(t *testing.T, answer string, requests *atomic.Int32) string {
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
				_, _ = io.WriteString(conn, answer)
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// A non-idempotent request whose answer breaks off anywhere must not be sent again, here or when the caller repeats it.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	for name, answer := range map[string]string{
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
			_, server := startFront(t, brokenBackend(t, answer, &requests))
			url := server.URL + "/v1/services/globex/orders/requests/"
			for _, want := range []int{http.StatusBadGateway, http.StatusConflict, http.StatusConflict} {
				got, _, _ := ask(t, "GET", url, "", "Idempotency-Key", "k")
				assert.Equal(t, got.StatusCode, want)
				assert.Equal(t, got.Header.Get("Lovagefork-Outcome"), "unknown")
			}
			assert.Equal(t, requests.Load(), int32(1))
		})
	}
}

// A kept connection that the backend server closes after it has read a request makes net/http send a replayable request
// again, which a non-idempotent one must not be.
func TestNonIdempotentAvoidsKeptConnections(t *testing.T) {
	var runs atomic.Int32
	var used sync.Map
	backend := serveBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "" {
			used.Store(r.RemoteAddr, true)
			return
		}
		runs.Add(1)
		if _, kept := used.Load(r.RemoteAddr); kept {
			panic(http.ErrAbortHandler)
		}
	})
	_, server := startFront(t, backend)
	_, _, _ = ask(t, "GET", server.URL+"/v1/services/globex/quotes/requests/", "")
	_, _, _ = ask(t, "GET", server.URL+"/v1/services/globex/orders/requests/", "", "Idempotency-Key", "k")
	assert.Equal(t, runs.Load(), int32(1))
}

// An idempotent request must be repeated, and reported as unknown when no try gave a whole answer.
func TestBrokenAnswersAreRepeated(t *testing.T) {
	var requests atomic.Int32
	_, server := startFront(t, brokenBackend(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", &requests))
	got, _, _ := ask(t, "GET", server.URL+"/v1/services/globex/quotes/requests/", "")
	assert.Equal(t, got.Header.Get("Lovagefork-Outcome"), "unknown")
	assert.Equal(t, requests.Load(), int32(3))
}

// A request that reached nobody is not_run, and its key must be free again.
func TestUnreachableBackendFreesTheKey(t *testing.T) {
	f, server := startFront(t, "http://127.0.0.1:1")
	url := server.URL + "/v1/services/globex/orders/requests/"
	for range 2 {
		got, _, _ := ask(t, "POST", url, "x", "Idempotency-Key", "k")
		assert.Equal(t, got.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, got.Header.Get("Lovagefork-Outcome"), "not_run")
	}
	ran := serveBackend(t, func(http.ResponseWriter, *http.Request) {})
	time.Sleep(1500 * time.Millisecond) // past the ejection of the worker
	f.ObserveFleet([]fleet.Worker{worker(ran)})
	got, _, _ := ask(t, "POST", url, "x", "Idempotency-Key", "k")
	assert.Equal(t, got.StatusCode, http.StatusOK)
	// The outcome is recorded after the answer; until then a repeated request is told unknown.
	for outcome, end := "", time.Now().Add(time.Second); outcome != "ran"; {
		got, _, _ := ask(t, "POST", url, "x", "Idempotency-Key", "k")
		assert.Equal(t, got.StatusCode, http.StatusConflict)
		outcome = got.Header.Get("Lovagefork-Outcome")
		assert.Assert(t, time.Now().Before(end), "outcome stays %s", outcome)
	}
}

// A streamed answer that breaks off must not look complete to the caller.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	for _, header := range []string{"Content-Length: 9999", "Transfer-Encoding: chunked"} {
		answer := "HTTP/1.1 200 OK\r\n" + header + "\r\n\r\n1000\r\n" + strings.Repeat("a", 4000)
		var requests atomic.Int32
		_, server := startFront(t, brokenBackend(t, answer, &requests), front.WithBodyLimits(100, 100, 1000))
		got, _, err := ask(t, "GET", server.URL+"/v1/services/globex/quotes/requests/", "")
		assert.Equal(t, got.StatusCode, http.StatusOK)
		assert.ErrorContains(t, err, "EOF")
	}
}

// A drain must not cut off a request in flight, and must reject later ones as not run.
func TestDrainFinishesRequests(t *testing.T) {
	entered, leave := make(chan bool), make(chan bool)
	release := sync.OnceFunc(func() { close(leave) })
	backend := serveBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		entered <- true
		<-leave
		_, _ = io.WriteString(w, "done")
	})
	f, server := startFront(t, backend, front.WithDrainNotice(10*time.Millisecond))
	t.Cleanup(release)
	url := server.URL + "/v1/services/globex/quotes/requests/"
	first := make(chan string, 1)
	go func() {
		got, body, err := ask(t, "GET", url, "")
		first <- fmt.Sprint(got.StatusCode, body, err)
	}()
	<-entered
	drained := make(chan error, 1)
	go func() { drained <- f.Drain(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	got, _, _ := ask(t, "GET", url, "")
	assert.Equal(t, got.Header.Get("Lovagefork-Reason"), "draining")
	assert.Equal(t, got.Header.Get("Lovagefork-Outcome"), "not_run")
	// A refusal must not wait for the body, which never comes here.
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

// Requests at an entry host without slots of its own must run on those of its peer, by loan or by forwarding, and each
// caller must get the answer to its own request.
func TestSlotsOfPeersAreUsed(t *testing.T) {
	var running, most atomic.Int32
	backend := serveBackend(t, func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
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
	claims := &memory{keys: make(map[string][]byte)}
	for i, host := range hosts {
		self := wire.Hello{EntryHost: host, Boot: "b1", Zone: roster[i].Zone}
		mesh := peers.New(self, addresses, discard)
		f := runFront(t, front.Deps{Self: self, Roster: roster, Peers: mesh, Store: claims}, 2*time.Second,
			[]fleet.Worker{worker(backend)})
		mesh.AddHandler(f.HandlePeer)
		routers[i].Handle("/peer/v1", mesh)
		f.Register(routers[i])
		servers[i].Start()
		go mesh.Run(ctx)
	}
	time.Sleep(2500 * time.Millisecond) // past the quarantine
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
			got, body, err := ask(t, "POST", url, fmt.Sprint("b", i), "Idempotency-Key", fmt.Sprint(i),
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
	t.Logf("outcomes %v, most at a time %d", count, most.Load())
	assert.Assert(t, count["ran answered"] >= 95, "%v", count)
	assert.Assert(t, most.Load() <= 8, "%d requests at a time on 8 slots", most.Load())
}
