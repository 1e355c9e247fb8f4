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
	headerCustomer      = "Lovagefork-Customer"
	headerClass         = "Lovagefork-Class"
	headerDeadline      = "Lovagefork-Deadline-Ms"
	headerService       = "Lovagefork-Service"
	headerNonIdempotent = "Lovagefork-Non-Idempotent"
	headerKey           = "Idempotency-Key"
	headerOutcome       = "Lovagefork-Outcome"
	headerReason        = "Lovagefork-Reason"
)

// call is one caller's request that waits for its answer.
type call struct {
	request serve.Request
	method  string
	path    string
	header  http.Header
	body    []byte
	done    chan serve.Response

	mu       sync.Mutex
	answers  map[int]*backendAnswer
	streamed chan struct{}
}

// backendAnswer is a backend server's answer; rest is set if it was too long to be held.
type backendAnswer struct {
	status int
	header http.Header
	body   []byte
	rest   io.Reader
}

func (c *call) keep(attempt int, a *backendAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[attempt] = a
}

func (c *call) kept(attempt int) *backendAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[attempt]
}

// badRequest is a request that is refused before admission.
type badRequest struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// Error returns the reason.
func (e *badRequest) Error() string { return e.reason }

func refuse(status int, reason string) *badRequest {
	return &badRequest{status: status, reason: reason}
}

func (f *Front) handle(w http.ResponseWriter, r *http.Request) {
	c, bad := f.parse(r)
	if bad == nil {
		var release func()
		release, bad = f.readBody(w, r, c)
		defer release()
	}
	if bad != nil {
		f.deps.Log.Info("admit: request refused", "path", r.URL.Path, "outcome", serve.NotRun, "reason", bad.reason)
		// Without it net/http holds the answer back until it has read more of the body.
		w.Header().Set("Connection", "close")
		writeOutcome(w, serve.Response{
			Outcome: serve.NotRun, Reason: bad.reason, Status: bad.status, RetryAfter: bad.retryAfter,
		})
		return
	}
	f.open(c)
	defer f.close(c)
	f.step(serve.Arrived{Request: c.request})
	select {
	case a := <-c.done:
		f.writeAnswer(w, c, a)
	case <-r.Context().Done():
		f.step(serve.CallerDisconnected{ID: c.request.ID})
	}
}

func (f *Front) open(c *call) {
	c.done = make(chan serve.Response, 1)
	c.answers = make(map[int]*backendAnswer)
	c.streamed = make(chan struct{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	c.request.ID = f.nextID
	f.calls[f.nextID] = c
}

func (f *Front) close(c *call) {
	close(c.streamed)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, c.request.ID)
}

func (f *Front) parse(r *http.Request) (*call, *badRequest) {
	vars := mux.Vars(r)
	owner := fleet.CustomerID(vars["customer"])
	service, known := f.service(owner, vars["service"])
	if !known {
		return nil, refuse(http.StatusNotFound, "unknown_service")
	}
	customer := owner
	if h := r.Header.Get(headerCustomer); h != "" {
		customer = fleet.CustomerID(h)
	}
	// The customer is a segment of store keys, where a slash would let two customers meet in one key.
	if strings.Contains(string(customer), "/") {
		return nil, refuse(http.StatusBadRequest, "bad_customer")
	}
	class, bad := classOf(r.Header.Get(headerClass), service.Class)
	if bad != nil {
		return nil, bad
	}
	deadline, bad := deadlineOf(r.Header.Get(headerDeadline), service.DeadlineMS)
	if bad != nil {
		return nil, bad
	}
	key := r.Header.Get(headerKey)
	once := service.NonIdempotent || r.Header.Get(headerNonIdempotent) == "true"
	if once && key == "" {
		return nil, refuse(http.StatusBadRequest, "idempotency_key_required")
	}
	if len(key) > maxKeyBytes {
		return nil, refuse(http.StatusBadRequest, "idempotency_key_too_long")
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
const maxKeyBytes = 256

func (f *Front) service(owner fleet.CustomerID, name string) (config.Service, bool) {
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
func classOf(header string, service fleet.Class) (fleet.Class, *badRequest) {
	if header == "" {
		return service, nil
	}
	asked, err := fleet.ParseClass(header)
	if err != nil {
		return 0, refuse(http.StatusBadRequest, "bad_class")
	}
	return max(asked, service), nil
}

func deadlineOf(header string, serviceMS int64) (time.Duration, *badRequest) {
	d := defaultDeadline
	if serviceMS > 0 {
		d = time.Duration(serviceMS) * time.Millisecond
	}
	if header != "" {
		ms, err := strconv.ParseInt(header, 10, 64)
		if err != nil || ms <= 0 {
			return 0, refuse(http.StatusBadRequest, "bad_deadline")
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
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, c *call) (func(), *badRequest) {
	if r.ContentLength == 0 {
		return func() {}, nil
	}
	if a, refused := f.refuses(c.request); refused {
		return func() {}, &badRequest{status: a.Status, reason: a.Reason, retryAfter: a.RetryAfter}
	}
	reserve := f.bodyLimit
	if r.ContentLength > 0 {
		reserve = r.ContentLength
	}
	if reserve > f.bodyLimit {
		return func() {}, refuse(http.StatusRequestEntityTooLarge, "body_too_large")
	}
	if !f.bodies.take(reserve) {
		return func() {}, refuse(http.StatusServiceUnavailable, "bodies_full")
	}
	release := func() { f.bodies.give(reserve) }
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.bodyLimit))
	if err != nil {
		if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
			return release, refuse(http.StatusRequestEntityTooLarge, "body_too_large")
		}
		return release, refuse(http.StatusBadRequest, "body_incomplete")
	}
	c.body = body
	return release, nil
}

func (f *Front) refuses(r serve.Request) (serve.Response, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.WouldReject(f.now(), r)
}

// byteBudget bounds the memory for bodies.
type byteBudget struct {
	mu   sync.Mutex
	left int64
}

func newByteBudget(n int64) *byteBudget { return &byteBudget{left: n} }

func (b *byteBudget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

func (b *byteBudget) give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
}
