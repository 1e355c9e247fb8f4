package drive

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// keysPerCall bounds the keys in one request to the backend servers' control page.
const keysPerCall = 10_000

// maxExamples bounds the violations that a result lists.
const maxExamples = 20

// VerifyResult compares the outcomes that callers received with the runs and limits that the control pages counted. If
// the processes work correctly, there are no violations.
type VerifyResult struct {
	Checked    int      `json:"checked"`
	Violations int      `json:"violations"`
	Examples   []string `json:"examples,omitempty"`
	// Workers is the audit from the workers' control page.
	Workers json.RawMessage `json:"workers,omitempty"`
	// Store contains the counters from the store's control page.
	Store json.RawMessage `json:"store,omitempty"`
}

// addViolation counts a violation and lists it among the examples if there is room.
func (v *VerifyResult) addViolation(format string, args ...any) {
	v.Violations++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// Verify reads the control pages that the plan names and checks the outcomes and limits. It returns an error if a page
// cannot be read.
func (d *Driver) Verify(ctx context.Context) (VerifyResult, error) {
	var v VerifyResult
	for _, check := range []struct {
		page   string
		verify func(context.Context, *VerifyResult) error
	}{
		{d.plan.BackendControl, d.verifyRuns},
		{d.plan.BackendControl, d.verifySlots},
		{d.plan.WorkerControl, d.verifyWorkers},
		{d.plan.StoreControl, d.verifyStore},
	} {
		if check.page == "" {
			continue
		}
		if err := check.verify(ctx, &v); err != nil {
			return v, err
		}
	}
	return v, nil
}

// verifyWorkers adds the violations that the workers' audit found.
func (d *Driver) verifyWorkers(ctx context.Context, v *VerifyResult) error {
	var page struct {
		Audit json.RawMessage `json:"audit"`
	}
	if err := d.callControlPage(ctx, http.MethodGet, d.plan.WorkerControl, nil, &page); err != nil {
		return err
	}
	v.Workers = page.Audit
	var audit struct {
		Violations int      `json:"violations"`
		Examples   []string `json:"examples"`
	}
	if err := json.Unmarshal(page.Audit, &audit); err != nil {
		return err
	}
	v.Violations += audit.Violations
	v.Examples = append(v.Examples, audit.Examples[:min(len(audit.Examples), maxExamples)]...)
	return nil
}

// verifySlots checks the highest number of slots and connections in use at each backend server.
func (d *Driver) verifySlots(ctx context.Context, v *VerifyResult) error {
	var page struct {
		Counters map[string]struct {
			MaxSlots       int `json:"max_slots"`
			MaxConnections int `json:"max_connections"`
		} `json:"counters"`
	}
	if err := d.callControlPage(ctx, http.MethodGet, d.plan.BackendControl, nil, &page); err != nil {
		return err
	}
	for worker, c := range page.Counters {
		if c.MaxSlots > d.plan.Limits.Slots || c.MaxConnections > d.plan.Limits.Connections {
			v.addViolation("backend server %s: %d slots and %d connections in use at a time", worker, c.MaxSlots, c.MaxConnections)
		}
	}
	return nil
}

// verifyStore checks the highest rates of store calls.
func (d *Driver) verifyStore(ctx context.Context, v *VerifyResult) error {
	var page struct {
		Counters json.RawMessage `json:"counters"`
	}
	if err := d.callControlPage(ctx, http.MethodGet, d.plan.StoreControl, nil, &page); err != nil {
		return err
	}
	v.Store = page.Counters
	var c struct {
		MaxWrites int64 `json:"max_writes_per_second"`
		MaxReads  int64 `json:"max_reads_per_second"`
	}
	if err := json.Unmarshal(page.Counters, &c); err != nil {
		return err
	}
	if c.MaxWrites > d.plan.Limits.StoreWrites || c.MaxReads > d.plan.Limits.StoreReads {
		v.addViolation("store: %d writes and %d reads in one second", c.MaxWrites, c.MaxReads)
	}
	return nil
}

// verifyRuns checks how often each request ran: never if its caller received not_run, at least once if it received ran,
// and at most once if it is not idempotent.
func (d *Driver) verifyRuns(ctx context.Context, v *VerifyResult) error {
	rules := []struct {
		keys    []string
		allowed func(runs int64) bool
		text    string
	}{
		{d.notRunKeys, func(runs int64) bool { return runs == 0 }, "told not_run"},
		{d.ranKeys, func(runs int64) bool { return runs >= 1 }, "told ran"},
		{d.nonIdempotentKeys, func(runs int64) bool { return runs <= 1 }, "non-idempotent"},
	}
	for _, rule := range rules {
		for len(rule.keys) > 0 {
			batch := rule.keys[:min(keysPerCall, len(rule.keys))]
			rule.keys = rule.keys[len(batch):]
			var response struct {
				Runs []int64 `json:"runs"`
			}
			url := strings.TrimRight(d.plan.BackendControl, "/") + "/runs"
			if err := d.callControlPage(ctx, http.MethodPost, url, map[string]any{"keys": batch}, &response); err != nil {
				return err
			}
			for i, runs := range response.Runs {
				v.Checked++
				if !rule.allowed(runs) {
					v.addViolation("request %s: %s, ran %d times", batch[i], rule.text, runs)
				}
			}
		}
	}
	return nil
}

// callControlPage sends body as JSON to a control page and decodes the response.
func (d *Driver) callControlPage(ctx context.Context, method, url string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err = io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: status %d: %.200s", url, resp.StatusCode, data)
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}
