package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lovagefork.example/coord/serve"
)

var (
	// errNoLength reports a response delimited only by the end of its connection: a truncated body is not detectable.
	errNoLength = errors.New("answer has no length")
	// errProtocolSwitch reports a 1xx status, such as a protocol switch, in place of a final response.
	errProtocolSwitch = errors.New("answer switches protocols")
	// errResponseTooLong reports a response that does not fit into a message to a peer.
	errResponseTooLong = errors.New("answer is too long to forward")
)

// startAttempt runs an attempt in a goroutine and reports its result to the state machine.
func (f *Front) startAttempt(e serve.Send) {
	key := attemptKey{e.Request.ID, e.Attempt}
	a := f.findAttempt(key)
	go func() {
		ended := serve.AttemptEnded{ID: e.Request.ID, Attempt: e.Attempt, Result: serve.ResultNotSent}
		if a.call != nil && a.ctx.Err() == nil {
			ended = f.runAttempt(a.ctx, e, a.call)
		}
		f.removeAttempt(key)
		f.step(ended)
	}()
}

// cancelAttempt cancels the context of an attempt, which stays registered until it ends.
func (f *Front) cancelAttempt(key attemptKey) {
	if a := f.findAttempt(key); a.cancel != nil {
		a.cancel()
	}
}

// removeAttempt removes an ended attempt and releases its context.
func (f *Front) removeAttempt(key attemptKey) {
	f.cancelAttempt(key)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attempts, key)
}

// runAttempt runs one attempt and classifies its result.
func (f *Front) runAttempt(ctx context.Context, e serve.Send, c *call) serve.AttemptEnded {
	started := f.now()
	x := f.exchange(ctx, e, c)
	result := serve.ResultInterrupted
	switch {
	case x.err == nil:
		result = serve.ResultCompleted
	case x.notSent:
		result = serve.ResultNotSent
	}
	if x.err != nil {
		f.deps.Log.Info("route: attempt failed", "request", e.Request.ID, "attempt", e.Attempt, "worker", e.Worker.ID,
			"sent", !x.notSent, "error", x.err)
	}
	return serve.AttemptEnded{
		ID: e.Request.ID, Attempt: e.Attempt, Result: result, Status: x.status, Latency: f.now().Sub(started),
	}
}

// exchangeResult is the result of sending a request and reading its response; notSent is set if no byte of the request
// can have reached the backend server.
type exchangeResult struct {
	status  int
	notSent bool
	err     error
}

// exchange sends the request, reads the whole response and stores it in the call. A response that exceeds the buffer
// limit is streamed.
func (f *Front) exchange(ctx context.Context, e serve.Send, c *call) exchangeResult {
	request, err := backendRequest(ctx, e, c)
	if err != nil {
		return exchangeResult{notSent: true, err: err}
	}
	response, notSent, err := f.roundTrip(request, e)
	if err != nil {
		return exchangeResult{notSent: notSent, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode < http.StatusOK {
		return exchangeResult{status: response.StatusCode, err: errProtocolSwitch}
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && request.Method != http.MethodHead {
		return exchangeResult{status: response.StatusCode, err: errNoLength}
	}
	buffered := &backendResponse{status: response.StatusCode, header: response.Header}
	limit := f.maxBufferedBytes
	if e.Request.Forwarded {
		limit = maxForwardedResponse
	}
	buffered.body, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	switch {
	case err != nil:
	case int64(len(buffered.body)) <= limit:
		c.setResponse(e.Attempt, buffered)
	case e.Request.Forwarded:
		err = errResponseTooLong
	default:
		err = f.streamResponse(ctx, e, c, buffered, response.Body)
	}
	return exchangeResult{status: response.StatusCode, err: err}
}

// streamResponse passes the rest of the response to the caller's handler and waits until the handler has returned or
// ctx ends. It returns [io.ErrUnexpectedEOF] if the rest was not read to its end.
func (f *Front) streamResponse(ctx context.Context, e serve.Send, c *call, buffered *backendResponse, rest io.Reader) error {
	reader := &eofReader{r: rest}
	buffered.rest = reader
	c.setResponse(e.Attempt, buffered)
	f.step(serve.StreamStarted{ID: e.Request.ID, Attempt: e.Attempt, Status: buffered.status})
	select {
	case <-c.handlerDone:
	case <-ctx.Done():
	}
	if !reader.sawEOF.Load() {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// eofReader records whether its source was read to the end.
type eofReader struct {
	r      io.Reader
	sawEOF atomic.Bool
}

// Read reads from the source and records its end.
func (e *eofReader) Read(b []byte) (int, error) {
	n, err := e.r.Read(b)
	if err == io.EOF {
		e.sawEOF.Store(true)
	}
	return n, err
}

// roundTrip sends the request and returns the response. With an error, it reports whether no byte of the request can
// have reached the backend server.
func (f *Front) roundTrip(r *http.Request, e serve.Send) (*http.Response, bool, error) {
	if !e.KeepAlive {
		g := &writeGate{}
		response, err := f.transports.singleUse.RoundTrip(r.WithContext(contextWithGate(r.Context(), g)))
		return response, err != nil && g.closeUnwritten(), err
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	transport := f.transports.forWorker(e.Worker.ID, e.Connections)
	response, err := transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	return response, err != nil && !connected.Load(), err
}

// backendRequest builds the request to the backend server, with the remaining deadline in a header.
func backendRequest(ctx context.Context, e serve.Send, c *call) (*http.Request, error) {
	var body io.Reader
	if len(c.body) > 0 {
		body = bytes.NewReader(c.body)
	}
	url := strings.TrimSuffix(e.Worker.BackendURL, "/") + c.path
	r, err := http.NewRequestWithContext(ctx, c.method, url, body)
	if err != nil {
		return nil, err
	}
	copyHeader(r.Header, c.header)
	// The body is already buffered: with Expect, the transport would wait for a needless "100 Continue".
	r.Header.Del("Expect")
	r.Header.Del("Content-Length")
	if r.Header.Get("User-Agent") == "" {
		r.Header.Set("User-Agent", "")
	}
	r.Header.Set(headerService, string(e.Request.Service))
	r.Header.Set(headerCustomer, string(e.Request.Customer))
	r.Header.Set(headerClass, e.Request.Class.String())
	remaining := time.Until(e.Request.Deadline).Milliseconds()
	r.Header.Set(headerDeadline, strconv.FormatInt(max(1, remaining), 10))
	return r, nil
}
