package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"lovagefork.example/coord/form"
)

// maxAnswerBytes bounds an answer; the status of the target fleet takes about 1 MB.
const maxAnswerBytes = 32 << 20

// Client calls whichever of its entry processes answers.
type Client struct {
	bases   []string
	http    *http.Client
	timeout time.Duration
}

// New returns a client of the entry processes at the given addresses, "ip:port" or a URL, tried in this order.
//
// The timeout bounds the call at one address.
func New(addresses []string, timeout time.Duration) *Client {
	c := &Client{http: &http.Client{}, timeout: timeout}
	for _, a := range addresses {
		if !strings.Contains(a, "://") {
			a = "http://" + a
		}
		c.bases = append(c.bases, strings.TrimRight(a, "/"))
	}
	return c
}

// Repeat tells when a call may be repeated at another entry process.
type RetryPolicy int

// The cases in which a call may be repeated.
const (
	// Always is for reads, and for changes that carry their own id and so take effect once however often they arrive.
	RetryAlways RetryPolicy = iota
	// UnlessSent is for changes without an id: they are repeated only if they have certainly not been run.
	RetryIfNotRun
)

// Refused reports an answer with an error; Body is the decoded answer.
type StatusError struct {
	Status int
	Body   form.ErrorResponse
}

// Error returns the text of the answer.
func (e *StatusError) Error() string {
	if e.Body.Error == "" {
		return fmt.Sprintf("status %d", e.Status)
	}
	return e.Body.Error
}

// Unreachable reports that no entry process took the call, which was not run.
type NotRunError struct {
	Cause error
}

// Error joins the causes of all addresses.
func (e *NotRunError) Error() string { return "not run: " + e.Cause.Error() }

// Unwrap returns the causes.
func (e *NotRunError) Unwrap() error { return e.Cause }

// Unclear reports that the call may have been run.
type OutcomeUnknownError struct {
	Cause error
}

// Error joins the causes of all addresses.
func (e *OutcomeUnknownError) Error() string { return "outcome unknown: " + e.Cause.Error() }

// Unwrap returns the causes.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Call sends one request and returns the JSON of a successful answer; its error is a [*Refused], [*Unreachable] or
// [*Unclear].
func (c *Client) Call(ctx context.Context, repeat RetryPolicy, method, path string, body any) (json.RawMessage, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, &NotRunError{Cause: err}
		}
	}
	var causes []error
	unclear := false
	for _, base := range c.bases {
		answer, err := c.callOne(ctx, method, base+path, data)
		if err == nil {
			return answer, nil
		}
		refused := (*StatusError)(nil)
		if errors.As(err, &refused) && final(refused, unclear) {
			return nil, err
		}
		causes = append(causes, fmt.Errorf("%s: %w", base, err))
		unclear = unclear || method != http.MethodGet && mayHaveRun(err)
		if unclear && repeat == RetryIfNotRun {
			break
		}
	}
	if unclear {
		return nil, &OutcomeUnknownError{Cause: errors.Join(causes...)}
	}
	return nil, &NotRunError{Cause: errors.Join(causes...)}
}

// final reports whether another entry process would give the same answer, and whether it also settles an earlier call
// of which the outcome is unknown. Only a conflict does: the base of that call is gone for good.
func final(e *StatusError, unclear bool) bool {
	if e.Status == http.StatusConflict {
		return true
	}
	return e.Status < http.StatusInternalServerError && e.Status != http.StatusTooManyRequests && !unclear
}

// mayHaveRun reports whether the call that failed could have taken effect.
func mayHaveRun(err error) bool {
	refused := (*StatusError)(nil)
	if errors.As(err, &refused) {
		return refused.Status >= http.StatusInternalServerError && refused.Body.Outcome != form.OutcomeNotRun
	}
	dial := (*net.OpError)(nil)
	return !errors.As(err, &dial) || dial.Op != "dial"
}

func (c *Client) callOne(ctx context.Context, method, url string, data []byte) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 == 2 {
		return answer, nil
	}
	refused := &StatusError{Status: response.StatusCode}
	if err := json.Unmarshal(answer, &refused.Body); err != nil {
		refused.Body.Error = fmt.Sprintf("status %d: %.200s", response.StatusCode, answer)
	}
	return nil, refused
}
