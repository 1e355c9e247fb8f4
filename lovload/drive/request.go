package drive

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"lovagefork.example/lovload/plan"
	"lovagefork.example/lovload/tally"
)

// maxResponseBytes bounds a response body.
const maxResponseBytes = 64 << 20

// graceAfterDeadline is how long a call waits for a late response after its deadline before it closes the connection.
const graceAfterDeadline = time.Second

// echoResponse is the part of a backend server's response that identifies the request, to detect the response to
// another request.
type echoResponse struct {
	IdempotencyKey string `json:"idempotency_key"`
	BodySHA256     string `json:"body_sha256"`
}

// sendRequest sends one request to the first entry process that accepts a connection and records its outcome.
func (d *Driver) sendRequest(ctx context.Context, s plan.Stream, a plan.Arrival, deadline time.Time) (tally.Outcome, string) {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(graceAfterDeadline))
	defer cancel()
	key := fmt.Sprintf("%s-%s-%d", d.runID, s.Name, a.Number)
	body := bytes.Repeat([]byte{byte('a' + a.Number%26)}, max(1, s.BodyBytes))
	for attempt := range d.plan.Entries {
		url := fmt.Sprintf("%s/v1/services/%s/%s/requests/load?n=%d", d.entryURL(a, attempt), s.Customer, s.Service, a.Number)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return tally.OutcomeNotSent, err.Error()
		}
		req.Header.Set("Lovagefork-Customer", s.Customer)
		if s.Class != "" {
			req.Header.Set("Lovagefork-Class", s.Class)
		}
		if s.NonIdempotent {
			req.Header.Set("Lovagefork-Non-Idempotent", "true")
		}
		req.Header.Set("Lovagefork-Deadline-Ms", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
		req.Header.Set("Idempotency-Key", key)
		status, header, data, sent, err := d.roundTrip(req)
		if err != nil && !sent && ctx.Err() == nil {
			continue
		}
		outcome, reason := classifyResponse(status, header, data, err, key, body)
		d.recordOutcome(s, key, outcome)
		return outcome, reason
	}
	return tally.OutcomeNotSent, "no entry process reachable"
}

// do sends a request and reads the whole response; sent is false if no connection was established.
func (d *Driver) roundTrip(req *http.Request) (status int, header http.Header, data []byte, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	// Without GetBody the transport cannot replay the request. It would otherwise repeat a request with an
	// Idempotency-Key when its connection breaks.
	req.GetBody = nil
	resp, err := d.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return 0, nil, nil, connected.Load(), err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, resp.Header, data, true, err
}

// classifyResponse returns the outcome of a request and the reason, which may be empty.
func classifyResponse(status int, header http.Header, data []byte, err error, key string, body []byte) (tally.Outcome, string) {
	if err != nil {
		return tally.OutcomeConnectionLost, ""
	}
	reason := header.Get("Lovagefork-Reason")
	switch header.Get("Lovagefork-Outcome") {
	case "not_run":
		return tally.OutcomeNotRun, reason
	case "unknown":
		return tally.OutcomeUnknown, reason
	case "ran":
	default:
		return tally.OutcomeWrongAnswer, "no outcome"
	}
	if status != http.StatusOK {
		return tally.OutcomeFailed, strconv.Itoa(status)
	}
	sum := sha256.Sum256(body)
	var e echoResponse
	if json.Unmarshal(data, &e) != nil || e.IdempotencyKey != key || e.BodySHA256 != hex.EncodeToString(sum[:]) {
		return tally.OutcomeWrongAnswer, "answer of another request"
	}
	return tally.OutcomeGood, ""
}

// recordOutcome stores the key of a request for [Driver.Verify].
func (d *Driver) recordOutcome(s plan.Stream, key string, outcome tally.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch outcome {
	case tally.OutcomeNotRun:
		d.notRunKeys = append(d.notRunKeys, key)
	case tally.OutcomeGood, tally.OutcomeLate, tally.OutcomeFailed:
		d.ranKeys = append(d.ranKeys, key)
	}
	if s.NonIdempotent {
		d.nonIdempotentKeys = append(d.nonIdempotentKeys, key)
	}
}
