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

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 64 << 20

// graceAfterDeadline is how long the caller waits past its deadline before it gives the connection up.
const graceAfterDeadline = time.Second

// echo is the part of a backend server's answer that ties it to the request.
type echo struct {
	IdempotencyKey string `json:"idempotency_key"`
	BodySHA256     string `json:"body_sha256"`
}

func (d *Driver) request(ctx context.Context, s plan.Stream, a plan.Arrival, deadline time.Time) (tally.Outcome, string) {
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(graceAfterDeadline))
	defer cancel()
	key := fmt.Sprintf("%s-%s-%d", d.run, s.Name, a.Number)
	body := bytes.Repeat([]byte{byte('a' + a.Number%26)}, max(1, s.BodyBytes))
	for try := range d.plan.Entries {
		url := fmt.Sprintf("%s/v1/services/%s/%s/requests/load?n=%d", d.entry(a, try), s.Customer, s.Service, a.Number)
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
		status, header, data, sent, err := d.do(req)
		if err != nil && !sent && ctx.Err() == nil {
			continue
		}
		outcome, reason := judge(status, header, data, err, key, body)
		d.remember(s, key, outcome)
		return outcome, reason
	}
	return tally.OutcomeNotSent, "no entry process reachable"
}

// do returns the whole answer; sent is false if no connection was obtained.
func (d *Driver) do(req *http.Request) (status int, header http.Header, data []byte, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	// The transport repeats a request with an Idempotency-Key when its connection breaks, unless it has a body that cannot
	// be read again.
	req.GetBody = nil
	resp, err := d.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return 0, nil, nil, connected.Load(), err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return resp.StatusCode, resp.Header, data, true, err
}

func judge(status int, header http.Header, data []byte, err error, key string, body []byte) (tally.Outcome, string) {
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
	var e echo
	if json.Unmarshal(data, &e) != nil || e.IdempotencyKey != key || e.BodySHA256 != hex.EncodeToString(sum[:]) {
		return tally.OutcomeWrongAnswer, "answer of another request"
	}
	return tally.OutcomeGood, ""
}

func (d *Driver) remember(s plan.Stream, key string, outcome tally.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch outcome {
	case tally.OutcomeNotRun:
		d.notRun = append(d.notRun, key)
	case tally.OutcomeGood, tally.OutcomeLate, tally.OutcomeFailed:
		d.ran = append(d.ran, key)
	}
	if s.NonIdempotent {
		d.once = append(d.once, key)
	}
}
