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
	// errNoLength reports an answer that ends with its connection, where a truncated body looks like a whole one.
	errNoLength = errors.New("answer has no length")
	// errProtocol reports a switch of protocols that nobody asked for.
	errProtocol = errors.New("answer switches protocols")
	// errTooLong reports an answer that does not fit into a message to a peer.
	errTooLong = errors.New("answer is too long to forward")
)

// send runs an attempt and reports its end to the reducer.
func (f *Front) send(e serve.Send) {
	key := attemptKey{e.Request.ID, e.Attempt}
	a := f.attemptOf(key)
	go func() {
		ended := serve.AttemptEnded{ID: e.Request.ID, Attempt: e.Attempt, Result: serve.NotSent}
		if a.call != nil && a.ctx.Err() == nil {
			ended = f.attempt(a.ctx, e, a.call)
		}
		f.forget(key)
		f.step(ended)
	}()
}

// cancel stops an attempt. It stays registered until its end.
func (f *Front) cancel(key attemptKey) {
	if a := f.attemptOf(key); a.cancel != nil {
		a.cancel()
	}
}

func (f *Front) forget(key attemptKey) {
	f.cancel(key)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attempts, key)
}

func (f *Front) attempt(ctx context.Context, e serve.Send, c *call) serve.AttemptEnded {
	started := f.now()
	x := f.exchange(ctx, e, c)
	result := serve.Interrupted
	switch {
	case x.err == nil:
		result = serve.Completed
	case x.notSent:
		result = serve.NotSent
	}
	if x.err != nil {
		f.deps.Log.Info("route: attempt failed", "request", e.Request.ID, "attempt", e.Attempt, "worker", e.Worker.ID,
			"sent", !x.notSent, "error", x.err)
	}
	return serve.AttemptEnded{
		ID: e.Request.ID, Attempt: e.Attempt, Result: result, Status: x.status, Latency: f.now().Sub(started),
	}
}

type exchanged struct {
	status  int
	notSent bool
	err     error
}

// exchange sends the request and reads the whole answer, which it keeps in the call.
func (f *Front) exchange(ctx context.Context, e serve.Send, c *call) exchanged {
	request, err := backendRequest(ctx, e, c)
	if err != nil {
		return exchanged{notSent: true, err: err}
	}
	answer, notSent, err := f.roundTrip(request, e)
	if err != nil {
		return exchanged{notSent: notSent, err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode < http.StatusOK {
		return exchanged{status: answer.StatusCode, err: errProtocol}
	}
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 && request.Method != http.MethodHead {
		return exchanged{status: answer.StatusCode, err: errNoLength}
	}
	kept := &backendAnswer{status: answer.StatusCode, header: answer.Header}
	hold := f.answerHold
	if e.Request.Forwarded {
		hold = maxForwardedAnswer
	}
	kept.body, err = io.ReadAll(io.LimitReader(answer.Body, hold+1))
	switch {
	case err != nil:
	case int64(len(kept.body)) <= hold:
		c.keep(e.Attempt, kept)
	case e.Request.Forwarded:
		err = errTooLong
	default:
		err = f.stream(ctx, e, c, kept, answer.Body)
	}
	return exchanged{status: answer.StatusCode, err: err}
}

// stream lets the caller's handler copy the rest of the answer and waits until it has.
func (f *Front) stream(ctx context.Context, e serve.Send, c *call, kept *backendAnswer, rest io.Reader) error {
	reader := &countedReader{r: rest}
	kept.rest = reader
	c.keep(e.Attempt, kept)
	f.step(serve.StreamStarted{ID: e.Request.ID, Attempt: e.Attempt, Status: kept.status})
	select {
	case <-c.streamed:
	case <-ctx.Done():
	}
	if !reader.whole.Load() {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// countedReader remembers whether its source was read to the end.
type countedReader struct {
	r     io.Reader
	whole atomic.Bool
}

// Read reads from the source.
func (c *countedReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	if err == io.EOF {
		c.whole.Store(true)
	}
	return n, err
}

// roundTrip sends the request and reports whether no byte of it can have reached the backend server.
func (f *Front) roundTrip(r *http.Request, e serve.Send) (*http.Response, bool, error) {
	if !e.KeepAlive {
		g := &gate{}
		answer, err := f.transports.single.RoundTrip(r.WithContext(withGate(r.Context(), g)))
		return answer, err != nil && g.shut(), err
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	transport := f.transports.of(e.Worker.ID, e.Connections)
	answer, err := transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	return answer, err != nil && !connected.Load(), err
}

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
	// The transport would wait for a "100 Continue" that the held body does not need.
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
