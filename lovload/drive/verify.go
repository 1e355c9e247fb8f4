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

// keysPerCall bounds the keys in one question to the backend servers' control page.
const keysPerCall = 10_000

// maxExamples bounds the violations that are listed.
const maxExamples = 20

// Verdict compares what callers were told with what ran; a healthy run has no violation.
type VerifyResult struct {
	Checked    int      `json:"checked"`
	Violations int      `json:"violations"`
	Examples   []string `json:"examples,omitempty"`
	// Workers is the audit of the workers' control page.
	Workers json.RawMessage `json:"workers,omitempty"`
	// Store holds the counters of the store's control page.
	Store json.RawMessage `json:"store,omitempty"`
}

func (v *VerifyResult) violation(format string, args ...any) {
	v.Violations++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// Verify asks the control pages of the plan. Its error reports a page that cannot be read.
func (d *Driver) Verify(ctx context.Context) (VerifyResult, error) {
	var v VerifyResult
	for _, check := range []struct {
		page string
		run  func(context.Context, *VerifyResult) error
	}{
		{d.plan.BackendControl, d.verifyRuns},
		{d.plan.BackendControl, d.verifySlots},
		{d.plan.WorkerControl, d.verifyWorkers},
		{d.plan.StoreControl, d.verifyStore},
	} {
		if check.page == "" {
			continue
		}
		if err := check.run(ctx, &v); err != nil {
			return v, err
		}
	}
	return v, nil
}

func (d *Driver) verifyWorkers(ctx context.Context, v *VerifyResult) error {
	var page struct {
		Audit json.RawMessage `json:"audit"`
	}
	if err := d.page(ctx, http.MethodGet, d.plan.WorkerControl, nil, &page); err != nil {
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

func (d *Driver) verifySlots(ctx context.Context, v *VerifyResult) error {
	var page struct {
		Counters map[string]struct {
			MaxSlots       int `json:"max_slots"`
			MaxConnections int `json:"max_connections"`
		} `json:"counters"`
	}
	if err := d.page(ctx, http.MethodGet, d.plan.BackendControl, nil, &page); err != nil {
		return err
	}
	for worker, c := range page.Counters {
		if c.MaxSlots > d.plan.Limits.Slots || c.MaxConnections > d.plan.Limits.Connections {
			v.violation("backend server %s: %d slots and %d connections in use at a time", worker, c.MaxSlots, c.MaxConnections)
		}
	}
	return nil
}

func (d *Driver) verifyStore(ctx context.Context, v *VerifyResult) error {
	var page struct {
		Counters json.RawMessage `json:"counters"`
	}
	if err := d.page(ctx, http.MethodGet, d.plan.StoreControl, nil, &page); err != nil {
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
		v.violation("store: %d writes and %d reads in one second", c.MaxWrites, c.MaxReads)
	}
	return nil
}

func (d *Driver) verifyRuns(ctx context.Context, v *VerifyResult) error {
	rules := []struct {
		keys  []string
		allow func(runs int64) bool
		text  string
	}{
		{d.notRun, func(runs int64) bool { return runs == 0 }, "told not_run"},
		{d.ran, func(runs int64) bool { return runs >= 1 }, "told ran"},
		{d.once, func(runs int64) bool { return runs <= 1 }, "non-idempotent"},
	}
	for _, rule := range rules {
		for len(rule.keys) > 0 {
			part := rule.keys[:min(keysPerCall, len(rule.keys))]
			rule.keys = rule.keys[len(part):]
			var answer struct {
				Runs []int64 `json:"runs"`
			}
			url := strings.TrimRight(d.plan.BackendControl, "/") + "/runs"
			if err := d.page(ctx, http.MethodPost, url, map[string]any{"keys": part}, &answer); err != nil {
				return err
			}
			for i, runs := range answer.Runs {
				v.Checked++
				if !rule.allow(runs) {
					v.violation("request %s: %s, ran %d times", part[i], rule.text, runs)
				}
			}
		}
	}
	return nil
}

func (d *Driver) page(ctx context.Context, method, url string, body, into any) error {
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
