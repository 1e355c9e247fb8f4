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
	errProtocolSwitch = errors.New("answer switches protocols")
	// errTooLong reports an answer that does not fit into a message to a peer.
	errResponseTooLong = errors.New("answer is too long to forward")
)

// send runs an attempt and reports its end to the reducer.
func (f *Front) startAttempt(e serve.Send) {
	key := attemptKey{e.Request.ID, e.Attempt}
	a := f.findAttempt(key)
	go func() {
		ended := serve.AttemptEnded{ID: e.Request.ID, Attempt: e.Attempt, Result: serve.NotSent}
		if a.call != nil && a.ctx.Err() == nil {
			ended = f.runAttempt(a.ctx, e, a.call)
		}
		f.removeAttempt(key)
		f.step(ended)
	}()
}

// cancel stops an attempt. It stays registered until its end.
func (f *Front) cancelAttempt(key attemptKey) {
	if a := f.findAttempt(key); a.cancel != nil {
		a.cancel()
	}
}

func (f *Front) removeAttempt(key attemptKey) {
	f.cancelAttempt(key)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attempts, key)
}

func (f *Front) runAttempt(ctx context.Context, e serve.Send, c *call) serve.AttemptEnded {
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

type exchangeResult struct {
	status  int
	notSent bool
	err     error
}

// exchange sends the request and reads the whole answer, which it keeps in the call.
func (f *Front) exchange(ctx context.Context, e serve.Send, c *call) exchangeResult {
	request, err := backendRequest(ctx, e, c)
	if err != nil {
		return exchangeResult{notSent: true, err: err}
	}
	answer, notSent, err := f.roundTrip(request, e)
	if err != nil {
		return exchangeResult{notSent: notSent, err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode < http.StatusOK {
		return exchangeResult{status: answer.StatusCode, err: errProtocolSwitch}
	}
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 && request.Method != http.MethodHead {
		return exchangeResult{status: answer.StatusCode, err: errNoLength}
	}
	kept := &backendResponse{status: answer.StatusCode, header: answer.Header}
	hold := f.maxBufferedBytes
	if e.Request.Forwarded {
		hold = maxForwardedResponse
	}
	kept.body, err = io.ReadAll(io.LimitReader(answer.Body, hold+1))
	switch {
	case err != nil:
	case int64(len(kept.body)) <= hold:
		c.setResponse(e.Attempt, kept)
	case e.Request.Forwarded:
		err = errResponseTooLong
	default:
		err = f.streamResponse(ctx, e, c, kept, answer.Body)
	}
	return exchangeResult{status: answer.StatusCode, err: err}
}

// stream lets the caller's handler copy the rest of the answer and waits until it has.
func (f *Front) streamResponse(ctx context.Context, e serve.Send, c *call, kept *backendResponse, rest io.Reader) error {
	reader := &eofReader{r: rest}
	kept.rest = reader
	c.setResponse(e.Attempt, kept)
	f.step(serve.StreamStarted{ID: e.Request.ID, Attempt: e.Attempt, Status: kept.status})
	select {
	case <-c.handlerDone:
	case <-ctx.Done():
	}
	if !reader.sawEOF.Load() {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// countedReader remembers whether its source was read to the end.
type eofReader struct {
	r      io.Reader
	sawEOF atomic.Bool
}

// Read reads from the source.
func (c *eofReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	if err == io.EOF {
		c.sawEOF.Store(true)
	}
	return n, err
}

// roundTrip sends the request and reports whether no byte of it can have reached the backend server.
func (f *Front) roundTrip(r *http.Request, e serve.Send) (*http.Response, bool, error) {
	if !e.KeepAlive {
		g := &writeGate{}
		answer, err := f.transports.singleUse.RoundTrip(r.WithContext(contextWithGate(r.Context(), g)))
		return answer, err != nil && g.closeUnwritten(), err
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	transport := f.transports.forWorker(e.Worker.ID, e.Connections)
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
