package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"lovagefork.example/coord/fleet"
)

// maxResponseBytes bounds a response body; the host list of 3,500 workers takes about 1 MB.
const maxResponseBytes = 32 << 20

// HTTP implements [Agent] and [HostLister] over HTTP with JSON. It is safe for concurrent use.
type HTTP struct {
	hostsURL string
	client   *http.Client
}

var (
	_ Agent      = (*HTTP)(nil)
	_ HostLister = (*HTTP)(nil)
)

// Option configures an [HTTP] in [NewHTTP].
type Option func(*HTTP)

// WithHTTPClient sets the HTTP client.
func WithHTTPClient(c *http.Client) Option {
	return func(h *HTTP) { h.client = c }
}

// NewHTTP returns a client of the platform. hostsURL is the URL of the host list; its path defaults to /v1/hosts. The
// context of each call sets its deadline.
func NewHTTP(hostsURL string, opts ...Option) *HTTP {
	if u, err := url.Parse(hostsURL); err == nil && strings.Trim(u.Path, "/") == "" {
		u.Path = "/v1/hosts"
		hostsURL = u.String()
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConns = 0
	transport.MaxIdleConnsPerHost = 8
	h := &HTTP{hostsURL: hostsURL, client: &http.Client{Transport: transport}}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// List implements [HostLister]; the Worker of its errors is empty.
func (h *HTTP) List(ctx context.Context) (HostList, error) {
	var list HostList
	err := h.do(ctx, call{op: "list hosts", method: http.MethodGet, url: h.hostsURL}, &list)
	return list, err
}

// Start implements [Agent].
func (h *HTTP) Start(ctx context.Context, w fleet.Worker, s StartRequest) error {
	return h.do(ctx, postCall(w, "start", "/tasks", s), nil)
}

// Renew implements [Agent].
func (h *HTTP) Renew(
	ctx context.Context, w fleet.Worker, epoch fleet.Epoch, lease time.Duration, tasks []TaskRef,
) ([]TaskRef, error) {
	var response struct {
		Unknown []TaskRef `json:"unknown"`
	}
	body := map[string]any{"epoch": epoch, "lease_ms": lease.Milliseconds(), "tasks": tasks}
	err := h.do(ctx, postCall(w, "renew", "/renew", body), &response)
	return response.Unknown, err
}

// Stop implements [Agent].
func (h *HTTP) Stop(
	ctx context.Context, w fleet.Worker, epoch fleet.Epoch, task TaskRef, checkpoint bool,
) (TaskStatus, error) {
	var status TaskStatus
	body := map[string]any{"epoch": epoch, "attempt": task.Attempt, "checkpoint": checkpoint}
	err := h.do(ctx, postCall(w, "stop", taskPath(task, "stop"), body), &status)
	return status, err
}

// Throttle implements [Agent].
func (h *HTTP) Throttle(ctx context.Context, w fleet.Worker, epoch fleet.Epoch, task TaskRef, permille int) error {
	body := map[string]any{"epoch": epoch, "attempt": task.Attempt, "permille": permille}
	return h.do(ctx, postCall(w, "throttle", taskPath(task, "throttle"), body), nil)
}

// Status implements [Agent].
func (h *HTTP) Status(ctx context.Context, w fleet.Worker, epoch fleet.Epoch) (WorkerStatus, error) {
	var status WorkerStatus
	path := workerURL(w) + "/status?epoch=" + strconv.FormatUint(uint64(epoch), 10)
	err := h.do(ctx, call{worker: w.ID, op: "status", method: http.MethodGet, url: path}, &status)
	return status, err
}

// Ack implements [Agent].
func (h *HTTP) Ack(ctx context.Context, w fleet.Worker, epoch fleet.Epoch, tasks []TaskRef) error {
	return h.do(ctx, postCall(w, "ack", "/ack", map[string]any{"epoch": epoch, "tasks": tasks}), nil)
}

type call struct {
	worker fleet.WorkerID
	op     string
	method string
	url    string
	body   any
}

func postCall(w fleet.Worker, op, path string, body any) call {
	return call{worker: w.ID, op: op, method: http.MethodPost, url: workerURL(w) + path, body: body}
}

func workerURL(w fleet.Worker) string {
	return strings.TrimRight(w.AgentURL, "/") + "/v1/workers/" + url.PathEscape(string(w.ID))
}

func taskPath(task TaskRef, op string) string {
	return "/tasks/" + url.PathEscape(string(task.Task)) + "/" + op
}

// do makes a call. A failure is an [*UnreachableError] only if no connection was obtained for the call.
func (h *HTTP) do(ctx context.Context, c call, result any) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return &UnreachableError{Worker: c.worker, Op: c.op, Cause: err}
	}
	resp, err := h.client.Do(req)
	if err != nil {
		if !connected.Load() {
			return &UnreachableError{Worker: c.worker, Op: c.op, Cause: err}
		}
		return &OutcomeUnknownError{Worker: c.worker, Op: c.op, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &OutcomeUnknownError{Worker: c.worker, Op: c.op, Cause: err}
	}
	return c.decode(resp.StatusCode, data, result)
}

func (c call) request(ctx context.Context) (*http.Request, error) {
	var body io.Reader
	if c.body != nil {
		data, err := json.Marshal(c.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, c.url, body)
	if err == nil && body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, err
}

// decode treats statuses 4xx and 507 as a refusal without effect. After any other error status the outcome is unknown.
func (c call) decode(status int, data []byte, result any) error {
	switch {
	case status >= 200 && status < 300:
		if result == nil {
			return nil
		}
		if err := json.Unmarshal(data, result); err != nil {
			return &OutcomeUnknownError{Worker: c.worker, Op: c.op, Cause: err}
		}
		return nil
	case status >= 400 && status < 500, status == http.StatusInsufficientStorage:
		return &RefusedError{Worker: c.worker, Op: c.op, Reason: refusalReason(status, data)}
	}
	cause := fmt.Sprintf("status %d: %.200s", status, data)
	return &OutcomeUnknownError{Worker: c.worker, Op: c.op, Cause: errors.New(cause)}
}

func refusalReason(status int, data []byte) string {
	var body struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal(data, &body) == nil && body.Reason != "" {
		return body.Reason
	}
	return fmt.Sprintf("status %d", status)
}
