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

// maxResponseBytes bounds a response body; the status of a fleet of the target size takes about 1 MB.
const maxResponseBytes = 32 << 20

// Client sends each call to its entry processes in turn until one responds.
type Client struct {
	baseURLs []string
	http     *http.Client
	timeout  time.Duration
}

// New returns a client of the entry processes at the given addresses, each "ip:port" or a URL, which it tries in this
// order.
//
// The timeout bounds the call to one address.
func New(addresses []string, timeout time.Duration) *Client {
	c := &Client{http: &http.Client{}, timeout: timeout}
	for _, a := range addresses {
		if !strings.Contains(a, "://") {
			a = "http://" + a
		}
		c.baseURLs = append(c.baseURLs, strings.TrimRight(a, "/"))
	}
	return c
}

// RetryPolicy specifies when a call may be repeated at another entry process.
type RetryPolicy int

// Retry policies.
const (
	// RetryAlways is for idempotent calls: reads, and changes with an id, which take effect only once.
	RetryAlways RetryPolicy = iota
	// RetryIfNotRun is for changes without an id: they are repeated only if it is certain that they were not run.
	RetryIfNotRun
)

// StatusError reports a response with an error status; Body is the decoded response.
type StatusError struct {
	Status int
	Body   form.ErrorResponse
}

// Error returns the error text of the response, or its status if there is none.
func (e *StatusError) Error() string {
	if e.Body.Error == "" {
		return fmt.Sprintf("status %d", e.Status)
	}
	return e.Body.Error
}

// NotRunError reports that no entry process ran the call.
type NotRunError struct {
	Cause error
}

// Error returns the causes of all addresses with the prefix "not run: ".
func (e *NotRunError) Error() string { return "not run: " + e.Cause.Error() }

// Unwrap returns the joined causes.
func (e *NotRunError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports that the call may have been run.
type OutcomeUnknownError struct {
	Cause error
}

// Error returns the causes of all addresses with the prefix "outcome unknown: ".
func (e *OutcomeUnknownError) Error() string { return "outcome unknown: " + e.Cause.Error() }

// Unwrap returns the joined causes.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Call sends a request, to further entry processes as the policy permits, and returns the JSON of a successful
// response.
//
// Its error is a [*StatusError], [*NotRunError] or [*OutcomeUnknownError].
func (c *Client) Call(ctx context.Context, retry RetryPolicy, method, path string, body any) (json.RawMessage, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, &NotRunError{Cause: err}
		}
	}
	var causes []error
	outcomeUnknown := false
	for _, base := range c.baseURLs {
		response, err := c.callURL(ctx, method, base+path, data)
		if err == nil {
			return response, nil
		}
		statusErr := (*StatusError)(nil)
		if errors.As(err, &statusErr) && isFinal(statusErr, outcomeUnknown) {
			return nil, err
		}
		causes = append(causes, fmt.Errorf("%s: %w", base, err))
		outcomeUnknown = outcomeUnknown || method != http.MethodGet && mayHaveRun(err)
		if outcomeUnknown && retry == RetryIfNotRun {
			break
		}
	}
	if outcomeUnknown {
		return nil, &OutcomeUnknownError{Cause: errors.Join(causes...)}
	}
	return nil, &NotRunError{Cause: errors.Join(causes...)}
}

// isFinal reports whether the error response ends the failover: every other entry process would respond the same.
//
// After a call with an unknown outcome only a conflict is final. It proves that the earlier call cannot take effect any
// more, because another change has superseded its base revision.
func isFinal(e *StatusError, outcomeUnknown bool) bool {
	if e.Status == http.StatusConflict {
		return true
	}
	return e.Status < http.StatusInternalServerError && e.Status != http.StatusTooManyRequests && !outcomeUnknown
}

// mayHaveRun reports whether the failed call may have taken effect. It cannot have if no connection was established.
func mayHaveRun(err error) bool {
	statusErr := (*StatusError)(nil)
	if errors.As(err, &statusErr) {
		return statusErr.Status >= http.StatusInternalServerError && statusErr.Body.Outcome != form.OutcomeNotRun
	}
	dial := (*net.OpError)(nil)
	return !errors.As(err, &dial) || dial.Op != "dial"
}

// callURL sends one request to one entry process; an error status is returned as a [*StatusError].
func (c *Client) callURL(ctx context.Context, method, url string, data []byte) (json.RawMessage, error) {
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
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 == 2 {
		return responseBody, nil
	}
	statusErr := &StatusError{Status: response.StatusCode}
	if err := json.Unmarshal(responseBody, &statusErr.Body); err != nil {
		statusErr.Body.Error = fmt.Sprintf("status %d: %.200s", response.StatusCode, responseBody)
	}
	return nil, statusErr
}
