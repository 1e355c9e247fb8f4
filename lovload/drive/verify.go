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
type Verdict struct {
	Checked    int      `json:"checked"`
	Violations int      `json:"violations"`
	Examples   []string `json:"examples,omitempty"`
	// Workers is the audit of the workers' control page.
	Workers json.RawMessage `json:"workers,omitempty"`
}

func (v *Verdict) violation(format string, args ...any) {
	v.Violations++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// Verify asks the control pages of the plan. Its error reports a page that cannot be read.
func (d *Driver) Verify(ctx context.Context) (Verdict, error) {
	var v Verdict
	if d.plan.BackendControl != "" {
		if err := d.verifyRuns(ctx, &v); err != nil {
			return v, err
		}
	}
	if d.plan.WorkerControl == "" {
		return v, nil
	}
	var page struct {
		Audit json.RawMessage `json:"audit"`
	}
	if err := d.page(ctx, http.MethodGet, d.plan.WorkerControl, nil, &page); err != nil {
		return v, err
	}
	v.Workers = page.Audit
	var audit struct {
		Violations int      `json:"violations"`
		Examples   []string `json:"examples"`
	}
	if err := json.Unmarshal(page.Audit, &audit); err != nil {
		return v, err
	}
	v.Violations += audit.Violations
	v.Examples = append(v.Examples, audit.Examples[:min(len(audit.Examples), maxExamples)]...)
	return v, nil
}

func (d *Driver) verifyRuns(ctx context.Context, v *Verdict) error {
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
