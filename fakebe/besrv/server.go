package besrv

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 64 << 20

// Fault configures the injected faults of one server; the zero value injects none and responds immediately.
type Fault struct {
	// LatencyMS is the time to respond in milliseconds; ExtraMS is added to one percent of the requests.
	LatencyMS float64 `json:"latency_ms"`
	ExtraMS   float64 `json:"extra_ms"`
	// FailPermille is the share of requests, in thousandths, that run and get status 500.
	FailPermille int `json:"fail_permille"`
	// TruncatePermille is the share of requests that run and whose response is truncated halfway through its body.
	TruncatePermille int `json:"cut_permille"`
	// RefusePermille is the share of requests that are refused with status 503 before they run.
	RefusePermille int `json:"refuse_permille"`
	// Down closes the open connections, and each new one before a byte of a request is read.
	Down bool `json:"down"`
	// ResponseBytes is the size of the padding in a response; zero means no padding.
	ResponseBytes int `json:"answer_bytes"`
}

// Counters holds the counters of one server. Slots is the number of requests in progress.
type Counters struct {
	Requests       int64 `json:"requests"`
	Refused        int64 `json:"refused"`
	Slots          int   `json:"slots"`
	MaxSlots       int   `json:"max_slots"`
	Connections    int   `json:"connections"`
	MaxConnections int   `json:"max_connections"`
	// LastRequestMS is the Unix time in milliseconds of the latest request.
	LastRequestMS int64 `json:"last_request_ms"`
}

// server emulates one backend server.
type server struct {
	name string
	pool *Pool

	mu       sync.Mutex
	fault    Fault
	counters Counters
	conns    map[net.Conn]struct{}
}

// ServeHTTP runs one request. The response contains the name of the server and the request's properties, so that the
// client can check where and with which content the request ran.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := s.beginRequest()
	defer s.endRequest()
	if s.pool.chance(fault.RefusePermille) {
		s.countRefusal()
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	run := s.pool.countRun(r.Header.Get("Idempotency-Key"))
	if !s.waitLatency(r.Context(), fault) {
		return
	}
	if s.pool.chance(fault.FailPermille) {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	s.respond(w, r, body, run, fault)
}

// ResponseBody is the body of a successful response. Padding has the configured size.
type ResponseBody struct {
	Worker         string `json:"worker"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key"`
	BodySHA256     string `json:"body_sha256"`
	Run            int64  `json:"run"`
	Padding        string `json:"padding,omitempty"`
}

func (s *server) respond(w http.ResponseWriter, r *http.Request, body []byte, run int64, fault Fault) {
	sum := sha256.Sum256(body)
	resp := ResponseBody{
		Worker: s.name, Method: r.Method, Path: r.URL.RequestURI(), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		BodySHA256: hex.EncodeToString(sum[:]), Run: run,
	}
	if fault.ResponseBytes > 0 {
		resp.Padding = fmt.Sprintf("%0*d", fault.ResponseBytes, 0)
	}
	data, _ := json.Marshal(resp)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if s.pool.chance(fault.TruncatePermille) {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// waitLatency waits for the configured latency and reports whether the request is still active.
func (s *server) waitLatency(ctx context.Context, fault Fault) bool {
	ms := fault.LatencyMS
	if s.pool.chance(10) {
		ms += fault.ExtraMS
	}
	if ms <= 0 {
		return true
	}
	select {
	case <-time.After(time.Duration(ms * float64(time.Millisecond))):
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *server) beginRequest() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Requests++
	s.counters.Slots++
	s.counters.MaxSlots = max(s.counters.MaxSlots, s.counters.Slots)
	s.counters.LastRequestMS = time.Now().UnixMilli()
	return s.fault
}

func (s *server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Slots--
}

func (s *server) countRefusal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Refused++
}

// connState counts connections and closes new ones of a server that is down.
func (s *server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
		s.counters.MaxConnections = max(s.counters.MaxConnections, len(s.conns))
		if s.fault.Down {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	case http.StateActive, http.StateIdle:
	}
	s.counters.Connections = len(s.conns)
}

func (s *server) setFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	if f.Down {
		for c := range s.conns {
			_ = c.Close()
		}
	}
}

func (s *server) report() (Fault, Counters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault, s.counters
}
