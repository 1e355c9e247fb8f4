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

// maxAnswerBytes bounds an answer; the host list of 3,500 workers takes about 1 MB.
const maxAnswerBytes = 32 << 20

// HTTP is the [Agent] and [Hosts] of a platform that speaks HTTP and JSON; it may be used by several goroutines.
type HTTP struct {
	hostsURL string
	client   *http.Client
}

var (
	_ Agent      = (*HTTP)(nil)
	_ HostLister = (*HTTP)(nil)
)

// Option changes an [HTTP] under construction.
type Option func(*HTTP)

// WithHTTPClient sets the HTTP client.
func WithHTTPClient(c *http.Client) Option {
	return func(h *HTTP) { h.client = c }
}

// NewHTTP returns the adapter; hostsURL is the host list's URL, whose path is /v1/hosts if it has none. Deadlines come
// from each call's context.
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

// List implements [Hosts]; its errors name no worker.
func (h *HTTP) List(ctx context.Context) (HostList, error) {
	var list HostList
	err := h.do(ctx, call{op: "list hosts", method: http.MethodGet, url: h.hostsURL}, &list)
	return list, err
}

// Start implements [Agent].
func (h *HTTP) Start(ctx context.Context, w fleet.Worker, s StartRequest) error {
	return h.do(ctx, post(w, "start", "/tasks", s), nil)
}

// Renew implements [Agent].
func (h *HTTP) Renew(
	ctx context.Context, w fleet.Worker, epoch fleet.Epoch, lease time.Duration, tasks []TaskRef,
) ([]TaskRef, error) {
	var answer struct {
		Unknown []TaskRef `json:"unknown"`
	}
	body := map[string]any{"epoch": epoch, "lease_ms": lease.Milliseconds(), "tasks": tasks}
	err := h.do(ctx, post(w, "renew", "/renew", body), &answer)
	return answer.Unknown, err
}

// Stop implements [Agent].
func (h *HTTP) Stop(
	ctx context.Context, w fleet.Worker, epoch fleet.Epoch, task TaskRef, checkpoint bool,
) (TaskStatus, error) {
	var status TaskStatus
	body := map[string]any{"epoch": epoch, "attempt": task.Attempt, "checkpoint": checkpoint}
	err := h.do(ctx, post(w, "stop", taskPath(task, "stop"), body), &status)
	return status, err
}

// Throttle implements [Agent].
func (h *HTTP) Throttle(ctx context.Context, w fleet.Worker, epoch fleet.Epoch, task TaskRef, permille int) error {
	body := map[string]any{"epoch": epoch, "attempt": task.Attempt, "permille": permille}
	return h.do(ctx, post(w, "throttle", taskPath(task, "throttle"), body), nil)
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
	return h.do(ctx, post(w, "ack", "/ack", map[string]any{"epoch": epoch, "tasks": tasks}), nil)
}

type call struct {
	worker fleet.WorkerID
	op     string
	method string
	url    string
	body   any
}

func post(w fleet.Worker, op, path string, body any) call {
	return call{worker: w.ID, op: op, method: http.MethodPost, url: workerURL(w) + path, body: body}
}

func workerURL(w fleet.Worker) string {
	return strings.TrimRight(w.AgentURL, "/") + "/v1/workers/" + url.PathEscape(string(w.ID))
}

func taskPath(task TaskRef, op string) string {
	return "/tasks/" + url.PathEscape(string(task.Task)) + "/" + op
}

// do makes a call. A failure counts as unreachable only if no connection was obtained for the call.
func (h *HTTP) do(ctx context.Context, c call, answer any) error {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &OutcomeUnknownError{Worker: c.worker, Op: c.op, Cause: err}
	}
	return c.decode(resp.StatusCode, data, answer)
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

// decode treats 4xx and 507 as refusals without effect; any other error answer proves nothing.
func (c call) decode(status int, data []byte, answer any) error {
	switch {
	case status >= 200 && status < 300:
		if answer == nil {
			return nil
		}
		if err := json.Unmarshal(data, answer); err != nil {
			return &OutcomeUnknownError{Worker: c.worker, Op: c.op, Cause: err}
		}
		return nil
	case status >= 400 && status < 500, status == http.StatusInsufficientStorage:
		return &RefusedError{Worker: c.worker, Op: c.op, Reason: refusalReason(status, data)}
	}
	text := fmt.Sprintf("status %d: %.200s", status, data)
	return &OutcomeUnknownError{Worker: c.worker, Op: c.op, Cause: errors.New(text)}
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
