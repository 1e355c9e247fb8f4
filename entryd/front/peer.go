package front

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/serve"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/peers"
)

const (
	// borrowTimeout limits the wait for a loan; a later one is of little use.
	borrowTimeout = time.Second
	// maxForwardedResponse, in bytes, keeps a response with its headers below the message limit between peers (16 MiB).
	maxForwardedResponse = 12 << 20
)

// HandlePeer handles load reports, loans and forwarded requests of other entry processes. It returns the response to a
// call, and nil for one-way and all other messages.
func (f *Front) HandlePeer(ctx context.Context, from fleet.EntryHostID, m wire.Message) wire.Message {
	switch m := m.(type) {
	case wire.LoadReport:
		f.step(serve.LoadReceived{From: from, Load: m})
	case wire.LoanReturn:
		f.step(serve.ReturnReceived{From: from, Return: m})
	case wire.BorrowRequest:
		return f.handleBorrow(ctx, from, m)
	case wire.ForwardRequest:
		return f.runForwarded(ctx, from, m)
	}
	return nil
}

// handleBorrow passes a borrow request to the state machine and waits for the loan.
func (f *Front) handleBorrow(ctx context.Context, from fleet.EntryHostID, m wire.BorrowRequest) wire.Message {
	loan := make(chan wire.Loan, 1)
	f.mu.Lock()
	f.nextID++
	id := f.nextID
	f.pendingBorrows[id] = loan
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.pendingBorrows, id)
	}()
	f.step(serve.BorrowReceived{Call: id, From: from, Borrow: m})
	select {
	case l := <-loan:
		return l
	case <-ctx.Done():
		return wire.Failure{Status: http.StatusServiceUnavailable, Reason: "link_ended", NotRun: true}
	}
}

func (f *Front) deliverLoan(e serve.SendLoan) {
	f.mu.Lock()
	pending := f.pendingBorrows[e.Call]
	f.mu.Unlock()
	if pending != nil {
		pending <- e.Loan
	}
}

// sendBorrow requests slots from a peer in a goroutine and reports the loan, or its failure, to the state machine.
func (f *Front) sendBorrow(e serve.SendBorrow) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		defer cancel()
		response, err := f.deps.Peers.Call(ctx, e.To, e.Borrow)
		loan, ok := response.(wire.Loan)
		if err != nil || !ok {
			f.step(serve.BorrowFailed{Call: e.Call})
			return
		}
		f.deps.Log.Debug("route: slots borrowed", "peer", e.To, "service", e.Borrow.Service, "parts", len(loan.Parts))
		f.step(serve.LoanReceived{Call: e.Call, Loan: loan})
	}()
}

func (f *Front) sendReturn(e serve.SendReturn) {
	if err := f.deps.Peers.Send(e.To, e.Return); err != nil {
		f.deps.Log.Debug("route: loan return failed, loan expires later", "peer", e.To, "loan", e.Return.ID, "error", err)
	}
}

// forward sends the request to a peer in a goroutine and reports the outcome to the state machine.
func (f *Front) forward(e serve.Forward) {
	key := attemptKey{e.Request.ID, e.Attempt}
	a := f.findAttempt(key)
	go func() {
		ended := serve.ForwardEnded{ID: e.Request.ID, Attempt: e.Attempt, Outcome: serve.OutcomeNotRun}
		if a.call != nil && a.ctx.Err() == nil {
			ended = f.callPeer(a.ctx, e, a.call)
		}
		f.removeAttempt(key)
		f.step(ended)
	}()
}

// callPeer forwards a request and stores the peer's response in the call.
func (f *Front) callPeer(ctx context.Context, e serve.Forward, c *call) serve.ForwardEnded {
	header := make(http.Header)
	copyHeader(header, c.header)
	ended := serve.ForwardEnded{ID: e.Request.ID, Attempt: e.Attempt, Outcome: serve.OutcomeUnknown}
	response, err := f.deps.Peers.Call(ctx, e.Peer, wire.ForwardRequest{
		Service: e.Request.Service, Customer: e.Request.Customer, Class: e.Request.Class, RequestID: e.Request.Key,
		NonIdempotent: e.Request.NonIdempotent, RemainingMS: time.Until(e.Request.Deadline).Milliseconds(),
		Method: c.method, Path: c.path, Header: header, Body: c.body,
	})
	if err != nil {
		ended.Reason = "link_failed"
		var linkErr *peers.LinkError
		if errors.As(err, &linkErr) && linkErr.NotSent {
			ended.Outcome = serve.OutcomeNotRun
		}
		f.deps.Log.Info("route: forwarding failed", "request", e.Request.ID, "peer", e.Peer, "outcome", ended.Outcome,
			"error", err)
		return ended
	}
	switch m := response.(type) {
	case wire.ForwardResponse:
		ended.Outcome, ended.Reason, ended.Status = checkedOutcome(m), m.Reason, m.Status
		c.setResponse(e.Attempt, &backendResponse{status: m.Status, header: m.Header, body: m.Body})
	case wire.Failure:
		ended.Reason = m.Reason
		if m.NotRun {
			ended.Outcome = serve.OutcomeNotRun
		}
	default:
		ended.Reason = "unexpected_answer"
	}
	return ended
}

// checkedOutcome returns the outcome in a peer's response, or unknown if its outcome or status is not valid.
func checkedOutcome(m wire.ForwardResponse) serve.Outcome {
	o := serve.Outcome(m.Outcome)
	if o == serve.OutcomeNotRun || (o == serve.OutcomeRan && m.Status >= http.StatusOK && m.Status <= 999) {
		return o
	}
	return serve.OutcomeUnknown
}

// runForwarded runs a request forwarded by a peer on a slot of this process.
func (f *Front) runForwarded(ctx context.Context, from fleet.EntryHostID, m wire.ForwardRequest) wire.Message {
	// A path without a leading slash would extend the host name in the backend server's URL.
	if m.RemainingMS <= 0 || m.Class > fleet.Deferrable || !strings.HasPrefix(m.Path, "/") {
		return wire.Failure{Status: http.StatusBadRequest, Reason: "bad_forward", NotRun: true}
	}
	remaining := min(time.Duration(m.RemainingMS)*time.Millisecond, maxDeadline)
	c := &call{
		request: serve.Request{
			Key: m.RequestID, Service: m.Service, Customer: m.Customer, Class: m.Class,
			Deadline: f.now().Add(remaining), NonIdempotent: m.NonIdempotent, Forwarded: true,
		},
		method: m.Method, path: m.Path, header: m.Header, body: m.Body,
	}
	c.request.Content = c.contentHash()
	f.addCall(c)
	defer f.removeCall(c)
	f.step(serve.Arrived{Request: c.request})
	select {
	case resp := <-c.result:
		f.deps.Log.Debug("route: forwarded request ended", "peer", from, "outcome", resp.Outcome, "reason", resp.Reason)
		return forwardResponse(c, resp)
	case <-ctx.Done():
		f.step(serve.CallerDisconnected{ID: c.request.ID})
		return wire.Failure{Status: http.StatusBadGateway, Reason: "link_ended"}
	}
}

// forwardResponse returns the response to the peer that forwarded the request.
func forwardResponse(c *call, r serve.Response) wire.ForwardResponse {
	forwarded := wire.ForwardResponse{Outcome: string(r.Outcome), Reason: r.Reason, Status: r.Status}
	if r.Attempt == 0 {
		return forwarded
	}
	backend := c.response(r.Attempt)
	header := make(http.Header)
	copyHeader(header, backend.header)
	forwarded.Status, forwarded.Header, forwarded.Body = backend.status, header, backend.body
	return forwarded
}
