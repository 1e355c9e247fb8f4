package etcdkv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"lovagefork.example/coord/store"
)

// maxErrorBytes is the maximum number of bytes that are read of an error response.
const maxErrorBytes = 4 << 10

// Client is a [store.Client] for one store address. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ store.Client = (*Client)(nil)

// Option configures a [Client] in [New].
type Option func(*Client)

// WithHTTPClient sets the HTTP client. It must have no timeout, which would end watches.
func WithHTTPClient(httpClient *http.Client) Option {
	return func(c *Client) { c.http = httpClient }
}

// New returns a client of the store at a base URL such as "http://127.0.0.1:2379". The context of each call sets its
// deadline.
func New(base string, opts ...Option) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 32
	c := &Client{base: strings.TrimRight(base, "/"), http: &http.Client{Transport: transport}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Range implements [store.Client].
func (c *Client) Range(ctx context.Context, get store.Get) (store.RangeResult, error) {
	var resp rangeResponse
	if err := c.call(ctx, "range", "/v3/kv/range", encodeGet(get), &resp); err != nil {
		return store.RangeResult{}, err
	}
	return decodeRange(resp), nil
}

// Txn implements [store.Client].
func (c *Client) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	req := txnRequest{Compare: encodeCompares(txn.If), Success: encodeOps(txn.Then), Failure: encodeOps(txn.Else)}
	var resp txnResponse
	if err := c.call(ctx, "txn", "/v3/kv/txn", req, &resp); err != nil {
		return store.TxnResult{}, err
	}
	out := store.TxnResult{Committed: resp.Succeeded, Revision: store.Revision(resp.Header.Revision)}
	for _, r := range resp.Responses {
		if r.Range != nil {
			out.Reads = append(out.Reads, decodeRange(*r.Range).Entries)
		}
	}
	return out, nil
}

// Grant implements [store.Client]. It rounds ttl up to whole seconds, the unit of the store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var resp leaseResponse
	seconds := int64((ttl + time.Second - 1) / time.Second)
	err := c.call(ctx, "grant", "/v3/lease/grant", leaseRequest{TTL: seconds}, &resp)
	return store.LeaseID(resp.ID), err
}

// KeepAlive implements [store.Client].
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	var resp streamMessage[leaseResponse]
	if err := c.call(ctx, "keepalive", "/v3/lease/keepalive", leaseRequest{ID: int64(id)}, &resp); err != nil {
		return 0, err
	}
	if resp.Error != nil {
		return 0, &store.OutcomeUnknownError{Op: "keepalive", Cause: errors.New(resp.Error.Message)}
	}
	return time.Duration(resp.Result.TTL) * time.Second, nil
}

// Revoke implements [store.Client].
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	return c.call(ctx, "revoke", "/v3/lease/revoke", leaseRequest{ID: int64(id)}, &struct{}{})
}

// Watch implements [store.Client]. The revision that it passes to observe is that of the last change in the batch.
//
// The header revision of the store is not used, because while a watch catches up it may be ahead of the delivered
// changes.
func (c *Client) Watch(
	ctx context.Context, prefix string, after store.Revision, observe func(store.Revision, []store.Change),
) error {
	create := watchCreate{Key: rangeStart(prefix), RangeEnd: prefixEnd(prefix), StartRevision: int64(after) + 1}
	body, err := c.send(ctx, "watch", "/v3/watch", watchRequest{Create: create})
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	dec := json.NewDecoder(body)
	for {
		var msg streamMessage[watchResponse]
		if err := dec.Decode(&msg); err != nil {
			return &store.OutcomeUnknownError{Op: "watch", Cause: err}
		}
		if msg.Error != nil {
			return &store.OutcomeUnknownError{Op: "watch", Cause: errors.New(msg.Error.Message)}
		}
		if msg.Result.Canceled {
			reason := fmt.Sprintf("canceled, compacted at revision %d", msg.Result.CompactRevision)
			return &store.RejectedError{Op: "watch", Status: http.StatusOK, Reason: reason}
		}
		deliver(msg.Result, observe)
	}
}

func deliver(resp watchResponse, observe func(store.Revision, []store.Change)) {
	var changes []store.Change
	var last store.Revision
	for _, e := range resp.Events {
		change := store.Change{Entry: decodeEntry(e.Kv), Deleted: e.Type == "DELETE"}
		changes = append(changes, change)
		last = max(last, change.Entry.ModRevision)
	}
	if len(changes) > 0 {
		observe(last, changes)
	}
}

func (c *Client) call(ctx context.Context, op, path string, req, resp any) error {
	body, err := c.send(ctx, op, path, req)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	if err := json.NewDecoder(body).Decode(resp); err != nil {
		return &store.OutcomeUnknownError{Op: op, Cause: err}
	}
	_, _ = io.Copy(io.Discard, body)
	return nil
}

// send sends a request and returns the body of a response with status 200. It reports a failure as a
// [*store.NotSentError] only if no connection was obtained for the request.
func (c *Client) send(ctx context.Context, op, path string, req any) (io.ReadCloser, error) {
	data, err := json.Marshal(req)
	if err != nil {
		return nil, &store.NotSentError{Op: op, Cause: err}
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, &store.NotSentError{Op: op, Cause: err}
	}
	httpReq.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(httpReq)
	switch {
	case err != nil && !connected.Load():
		return nil, &store.NotSentError{Op: op, Cause: err}
	case err != nil:
		return nil, &store.OutcomeUnknownError{Op: op, Cause: err}
	case resp.StatusCode != http.StatusOK:
		defer func() { _ = resp.Body.Close() }()
		return nil, responseError(op, resp)
	}
	return resp.Body, nil
}

// responseError returns the error for a response with another status than 200. Only client errors (4xx) prove that the
// request had no effect: after a timeout (408), a cancellation (499) or a server error the write may already have been
// proposed.
func responseError(op string, resp *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var body errorBody
	if json.Unmarshal(data, &body) != nil || body.Message == "" {
		body.Message = string(data)
	}
	status := resp.StatusCode
	if status >= 400 && status < 499 && status != http.StatusRequestTimeout {
		return &store.RejectedError{Op: op, Status: status, Reason: body.Message}
	}
	return &store.OutcomeUnknownError{Op: op, Cause: fmt.Errorf("status %d: %s", status, body.Message)}
}
