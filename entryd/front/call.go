package front

import (
	"hash/maphash"
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

// Headers of requests and responses.
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

// call is a caller's or a peer's request whose result is pending.
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

// backendResponse is a backend server's response; rest is the unread part of a body that exceeds the buffer limit.
type backendResponse struct {
	status int
	header http.Header
	body   []byte
	rest   io.Reader
}

func (c *call) setResponse(attempt int, r *backendResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses[attempt] = r
}

func (c *call) response(attempt int) *backendResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responses[attempt]
}

// requestError reports why a request is rejected before admission.
type requestError struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// Error returns the reason, as in the header Lovagefork-Reason.
func (e *requestError) Error() string { return e.reason }

func newRequestError(status int, reason string) *requestError {
	return &requestError{status: status, reason: reason}
}

func (f *Front) handle(w http.ResponseWriter, r *http.Request) {
	c, reqErr := f.parseRequest(r)
	if reqErr == nil {
		var release func()
		release, reqErr = f.readBody(w, r, c)
		defer release()
	}
	if reqErr != nil {
		f.deps.Log.Info("admit: request rejected before admission", "path", r.URL.Path, "outcome", serve.OutcomeNotRun, "reason", reqErr.reason)
		// Without this header net/http delays the response until it has read more of the body.
		w.Header().Set("Connection", "close")
		writeUnansweredOutcome(w, serve.Response{
			Outcome: serve.OutcomeNotRun, Reason: reqErr.reason, Status: reqErr.status, RetryAfter: reqErr.retryAfter,
		})
		return
	}
	c.request.Content = c.contentHash()
	f.addCall(c)
	defer f.removeCall(c)
	f.step(serve.Arrived{Request: c.request})
	select {
	case resp := <-c.result:
		f.writeResponse(w, c, resp)
	case <-r.Context().Done():
		f.step(serve.CallerDisconnected{ID: c.request.ID})
	}
}

// addCall assigns an ID to a call and registers it.
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

// removeCall removes a call; its handler must return after it.
func (f *Front) removeCall(c *call) {
	close(c.handlerDone)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, c.request.ID)
}

// parseRequest validates the path and the headers of a request.
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
	// The customer is a segment of store keys: a slash could make the keys of two customers equal.
	if strings.Contains(string(customer), "/") {
		return nil, newRequestError(http.StatusBadRequest, "bad_customer")
	}
	class, reqErr := parseClass(r.Header.Get(headerClass), service.Class)
	if reqErr != nil {
		return nil, reqErr
	}
	deadline, reqErr := parseDeadline(r.Header.Get(headerDeadline), service.DeadlineMS)
	if reqErr != nil {
		return nil, reqErr
	}
	key := r.Header.Get(headerIdempotencyKey)
	nonIdempotent := service.NonIdempotent || r.Header.Get(headerNonIdempotent) == "true"
	if nonIdempotent && key == "" {
		return nil, newRequestError(http.StatusBadRequest, "idempotency_key_required")
	}
	if len(key) > maxIdempotencyKeyBytes {
		return nil, newRequestError(http.StatusBadRequest, "idempotency_key_too_long")
	}
	return &call{
		request: serve.Request{
			Key: fleet.RequestID(key), Service: fleet.NewServiceID(owner, service.Name), Customer: customer,
			Class: class, Deadline: f.now().Add(deadline), NonIdempotent: nonIdempotent,
		},
		method: r.Method, path: backendPath(r), header: r.Header,
	}, nil
}

// maxIdempotencyKeyBytes limits the length of an idempotency key, which becomes part of a store key.
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

// parseClass returns the requested class, or that of the service if none is requested or the requested one is more
// urgent.
func parseClass(header string, service fleet.Class) (fleet.Class, *requestError) {
	if header == "" {
		return service, nil
	}
	requested, err := fleet.ParseClass(header)
	if err != nil {
		return 0, newRequestError(http.StatusBadRequest, "bad_class")
	}
	return max(requested, service), nil
}

// parseDeadline returns the time limit of a request: the header's, else the service's, else the default, at most
// maxDeadline.
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

// backendPath returns the part of the URL after "/requests" in its original escaping, with the query.
func backendPath(r *http.Request) string {
	parts := strings.SplitN(r.URL.EscapedPath(), "/", 7)
	path := "/" + parts[len(parts)-1]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// readBody reads the whole body into memory, so that an incomplete upload never reaches a backend server. The returned
// function releases the memory that was reserved for the body.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, c *call) (func(), *requestError) {
	if r.ContentLength == 0 {
		return func() {}, nil
	}
	if resp, rejected := f.wouldReject(c.request); rejected {
		return func() {}, &requestError{status: resp.Status, reason: resp.Reason, retryAfter: resp.RetryAfter}
	}
	reserved := f.maxBodyBytes
	if r.ContentLength > 0 {
		reserved = r.ContentLength
	}
	if reserved > f.maxBodyBytes {
		return func() {}, newRequestError(http.StatusRequestEntityTooLarge, "body_too_large")
	}
	if !f.bodyMemory.acquire(reserved) {
		return func() {}, newRequestError(http.StatusServiceUnavailable, "bodies_full")
	}
	release := func() { f.bodyMemory.release(reserved) }
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

// contentSeed makes the hashes of requests unpredictable.
var contentSeed = maphash.MakeSeed()

// contentHash returns a hash of what a backend server gets to see of a request, without its headers.
func (c *call) contentHash() uint64 {
	var h maphash.Hash
	h.SetSeed(contentSeed)
	_, _ = h.WriteString(c.method + " " + c.path + "\n")
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// wouldReject reports whether admission rejects the request at present, and with which response.
func (f *Front) wouldReject(r serve.Request) (serve.Response, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.WouldReject(f.now(), r)
}

// byteBudget limits the total memory of the request bodies in flight, in bytes.
type byteBudget struct {
	mu             sync.Mutex
	availableBytes int64
}

func newByteBudget(n int64) *byteBudget { return &byteBudget{availableBytes: n} }

func (b *byteBudget) acquire(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.availableBytes < n {
		return false
	}
	b.availableBytes -= n
	return true
}

func (b *byteBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.availableBytes += n
}
