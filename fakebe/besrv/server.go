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

// maxBodyBytes bounds the request body that a server reads.
const maxBodyBytes = 64 << 20

// Fault is the condition of one server; the zero value answers at once.
type Fault struct {
	// LatencyMS is the mean time to answer; ExtraMS is added to one request in a hundred.
	LatencyMS float64 `json:"latency_ms"`
	ExtraMS   float64 `json:"extra_ms"`
	// FailPermille is the share of requests that run and are answered 500.
	FailPermille int `json:"fail_permille"`
	// CutPermille is the share of requests that run and whose answer breaks off halfway through its body.
	TruncatePermille int `json:"cut_permille"`
	// RefusePermille is the share of requests refused with 503 before they run.
	RefusePermille int `json:"refuse_permille"`
	// Down closes every connection before a byte of a request is read.
	Down bool `json:"down"`
	// AnswerBytes is the size of an answer; zero means a short one.
	ResponseBytes int `json:"answer_bytes"`
}

// Counters count what one server saw. Slots are requests at a time.
type Counters struct {
	Requests       int64 `json:"requests"`
	Refused        int64 `json:"refused"`
	Slots          int   `json:"slots"`
	MaxSlots       int   `json:"max_slots"`
	Connections    int   `json:"connections"`
	MaxConnections int   `json:"max_connections"`
	// LastRequestMS is the Unix time in milliseconds of the last request.
	LastRequestMS int64 `json:"last_request_ms"`
}

// server emulates one backend server.
type server struct {
	name string
	pool *Pool

	mu    sync.Mutex
	fault Fault
	count Counters
	conns map[net.Conn]struct{}
}

// ServeHTTP runs one request and answers with its own identity, so that a caller can check the answer's origin.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := s.enter()
	defer s.leave()
	if s.pool.chance(fault.RefusePermille) {
		s.refused()
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	run := s.pool.ran(r.Header.Get("Idempotency-Key"))
	if !s.wait(r.Context(), fault) {
		return
	}
	if s.pool.chance(fault.FailPermille) {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	s.answer(w, r, body, run, fault)
}

// Answer is the body of a successful answer; Padding fills it up to the configured size.
type ResponseBody struct {
	Worker         string `json:"worker"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key"`
	BodySHA256     string `json:"body_sha256"`
	Run            int64  `json:"run"`
	Padding        string `json:"padding,omitempty"`
}

func (s *server) answer(w http.ResponseWriter, r *http.Request, body []byte, run int64, fault Fault) {
	sum := sha256.Sum256(body)
	a := ResponseBody{
		Worker: s.name, Method: r.Method, Path: r.URL.RequestURI(), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		BodySHA256: hex.EncodeToString(sum[:]), Run: run,
	}
	if fault.ResponseBytes > 0 {
		a.Padding = fmt.Sprintf("%0*d", fault.ResponseBytes, 0)
	}
	data, _ := json.Marshal(a)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if s.pool.chance(fault.TruncatePermille) {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

func (s *server) wait(ctx context.Context, fault Fault) bool {
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

func (s *server) enter() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count.Requests++
	s.count.Slots++
	s.count.MaxSlots = max(s.count.MaxSlots, s.count.Slots)
	s.count.LastRequestMS = time.Now().UnixMilli()
	return s.fault
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count.Slots--
}

func (s *server) refused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count.Refused++
}

// connState counts connections; those of a server that is down are closed at once.
func (s *server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
		s.count.MaxConnections = max(s.count.MaxConnections, len(s.conns))
		if s.fault.Down {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	case http.StateActive, http.StateIdle:
	}
	s.count.Connections = len(s.conns)
}

func (s *server) set(f Fault) {
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
	return s.fault, s.count
}
