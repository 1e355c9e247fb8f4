package front

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/serve"
)

// Headers of the callers' interface.
const (
	headerCustomer       = "Lovagefork-Customer"
	headerClass          = "Lovagefork-Class"
	headerDeadline       = "Lovagefork-Deadline-Ms"
	headerService        = "Lovagefork-Service"
	headerNonIdempotent  = "Lovagefork-Non-Idempotent"
	headerIdempotencyKey = "Idempotency-Key"
	headerOutcome        = "Lovagefork-Outcome"
	headerReason         = "Lovagefork-Reason"
)

// call is one caller's request that waits for its answer.
type call struct {
	request serve.Request
	method  string
	path    string
	header  http.Header
	body    []byte
	result  chan serve.Response

	mu          sync.Mutex
	responses   map[int]*backendResponse
	handlerDone chan struct{}
}

// backendAnswer is a backend server's answer; rest is set if it was too long to be held.
type backendResponse struct {
	status int
	header http.Header
	body   []byte
	rest   io.Reader
}

func (c *call) setResponse(attempt int, a *backendResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses[attempt] = a
}

func (c *call) response(attempt int) *backendResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responses[attempt]
}

// badRequest is a request that is refused before admission.
type requestError struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// Error returns the reason.
func (e *requestError) Error() string { return e.reason }

func newRequestError(status int, reason string) *requestError {
	return &requestError{status: status, reason: reason}
}

func (f *Front) handle(w http.ResponseWriter, r *http.Request) {
	c, bad := f.parseRequest(r)
	if bad == nil {
		var release func()
		release, bad = f.readBody(w, r, c)
		defer release()
	}
	if bad != nil {
		f.deps.Log.Info("admit: request refused", "path", r.URL.Path, "outcome", serve.NotRun, "reason", bad.reason)
		// Without it net/http holds the answer back until it has read more of the body.
		w.Header().Set("Connection", "close")
		writeUnansweredOutcome(w, serve.Response{
			Outcome: serve.NotRun, Reason: bad.reason, Status: bad.status, RetryAfter: bad.retryAfter,
		})
		return
	}
	f.addCall(c)
	defer f.removeCall(c)
	f.step(serve.Arrived{Request: c.request})
	select {
	case a := <-c.result:
		f.writeResponse(w, c, a)
	case <-r.Context().Done():
		f.step(serve.CallerDisconnected{ID: c.request.ID})
	}
}

func (f *Front) addCall(c *call) {
	c.result = make(chan serve.Response, 1)
	c.responses = make(map[int]*backendResponse)
	c.handlerDone = make(chan struct{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	c.request.ID = f.nextID
	f.calls[f.nextID] = c
}

func (f *Front) removeCall(c *call) {
	close(c.handlerDone)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, c.request.ID)
}

func (f *Front) parseRequest(r *http.Request) (*call, *requestError) {
	vars := mux.Vars(r)
	owner := fleet.CustomerID(vars["customer"])
	service, known := f.findService(owner, vars["service"])
	if !known {
		return nil, newRequestError(http.StatusNotFound, "unknown_service")
	}
	customer := owner
	if h := r.Header.Get(headerCustomer); h != "" {
		customer = fleet.CustomerID(h)
	}
	// The customer is a segment of store keys, where a slash would let two customers meet in one key.
	if strings.Contains(string(customer), "/") {
		return nil, newRequestError(http.StatusBadRequest, "bad_customer")
	}
	class, bad := parseClass(r.Header.Get(headerClass), service.Class)
	if bad != nil {
		return nil, bad
	}
	deadline, bad := parseDeadline(r.Header.Get(headerDeadline), service.DeadlineMS)
	if bad != nil {
		return nil, bad
	}
	key := r.Header.Get(headerIdempotencyKey)
	once := service.NonIdempotent || r.Header.Get(headerNonIdempotent) == "true"
	if once && key == "" {
		return nil, newRequestError(http.StatusBadRequest, "idempotency_key_required")
	}
	if len(key) > maxIdempotencyKeyBytes {
		return nil, newRequestError(http.StatusBadRequest, "idempotency_key_too_long")
	}
	return &call{
		request: serve.Request{
			Key: fleet.RequestID(key), Service: fleet.NewServiceID(owner, service.Name), Customer: customer,
			Class: class, Deadline: f.now().Add(deadline), NonIdempotent: once,
		},
		method: r.Method, path: backendPath(r), header: r.Header,
	}, nil
}

// maxKeyBytes bounds the keys that callers can cause in the store.
const maxIdempotencyKeyBytes = 256

func (f *Front) findService(owner fleet.CustomerID, name string) (config.Service, bool) {
	versioned, ok := f.deps.Config.Customer(owner)
	if !ok {
		return config.Service{}, false
	}
	for _, s := range versioned.Document.Services {
		if s.Name == name {
			return s, true
		}
	}
	return config.Service{}, false
}

// classOf returns the class that the caller asks for, but none more urgent than that of the service.
func parseClass(header string, service fleet.Class) (fleet.Class, *requestError) {
	if header == "" {
		return service, nil
	}
	asked, err := fleet.ParseClass(header)
	if err != nil {
		return 0, newRequestError(http.StatusBadRequest, "bad_class")
	}
	return max(asked, service), nil
}

func parseDeadline(header string, serviceMS int64) (time.Duration, *requestError) {
	d := defaultDeadline
	if serviceMS > 0 {
		d = time.Duration(serviceMS) * time.Millisecond
	}
	if header != "" {
		ms, err := strconv.ParseInt(header, 10, 64)
		if err != nil || ms <= 0 {
			return 0, newRequestError(http.StatusBadRequest, "bad_deadline")
		}
		d = time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
	}
	return min(d, maxDeadline), nil
}

// backendPath returns what follows "/requests" in the caller's URL, as it was escaped, with the query.
func backendPath(r *http.Request) string {
	parts := strings.SplitN(r.URL.EscapedPath(), "/", 7)
	path := "/" + parts[len(parts)-1]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// readBody holds the whole body, so that a caller's broken upload never reaches a backend server.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, c *call) (func(), *requestError) {
	if r.ContentLength == 0 {
		return func() {}, nil
	}
	if a, refused := f.wouldReject(c.request); refused {
		return func() {}, &requestError{status: a.Status, reason: a.Reason, retryAfter: a.RetryAfter}
	}
	reserve := f.maxBodyBytes
	if r.ContentLength > 0 {
		reserve = r.ContentLength
	}
	if reserve > f.maxBodyBytes {
		return func() {}, newRequestError(http.StatusRequestEntityTooLarge, "body_too_large")
	}
	if !f.bodyMemory.acquire(reserve) {
		return func() {}, newRequestError(http.StatusServiceUnavailable, "bodies_full")
	}
	release := func() { f.bodyMemory.release(reserve) }
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.maxBodyBytes))
	if err != nil {
		if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
			return release, newRequestError(http.StatusRequestEntityTooLarge, "body_too_large")
		}
		return release, newRequestError(http.StatusBadRequest, "body_incomplete")
	}
	c.body = body
	return release, nil
}

func (f *Front) wouldReject(r serve.Request) (serve.Response, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.WouldReject(f.now(), r)
}

// byteBudget bounds the memory for bodies.
type byteBudget struct {
	mu        sync.Mutex
	available int64
}

func newByteBudget(n int64) *byteBudget { return &byteBudget{available: n} }

func (b *byteBudget) acquire(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < n {
		return false
	}
	b.available -= n
	return true
}

func (b *byteBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += n
}
