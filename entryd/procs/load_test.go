package procs_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"gotest.tools/v3/assert"
)

// loadReport is the part of lovload's JSON output that the tests check.
type loadReport struct {
	Streams []struct {
		Stream   string         `json:"stream"`
		Count    int            `json:"count"`
		Outcomes map[string]int `json:"outcomes"`
		Reasons  map[string]int `json:"reasons"`
	} `json:"streams"`
	Jobs     map[string]int `json:"job_states"`
	Verified struct {
		Checked    int      `json:"checked"`
		Violations int      `json:"violations"`
		Examples   []string `json:"examples"`
	} `json:"verified"`
}

func (r loadReport) outcomes(stream string) map[string]int {
	for _, s := range r.Streams {
		if s.Stream == stream {
			return s.Outcomes
		}
	}
	return nil
}

// runLoad runs lovload for the given time, with requests to both services and jobs, and calls during meanwhile. It
// fails the test if the outcomes reported to callers differ from what ran, or if an accepted job has not succeeded.
func (c *cluster) runLoad(seconds int, during func()) loadReport {
	c.t.Helper()
	plan := fmt.Sprintf(`{"name": "procs", "seed": 1, "duration_ms": %d, "settle_ms": 240000, "entries": [%q, %q, %q],
		"backend_control": "http://%s/control", "worker_control": "http://%s/control", "store_control": "http://%s/control",
		"streams": [{"name": "bookings", "customer": "acme", "service": "bookings", "rate": 40, "deadline_ms": 5000, "body_bytes": 100},
			{"name": "invoices", "customer": "acme", "service": "invoices", "rate": 10, "deadline_ms": 5000, "non_idempotent": true, "body_bytes": 100}],
		"jobs": [{"name": "j", "customer": "acme", "kind": "reconciliation", "rate": 2, "tasks": 2, "milli_cpu": 500, "memory_mib": 256, "run_ms": 1500}]}`,
		seconds*1000, c.url(0), c.url(1), c.url(2), c.address(portBackendsControl, 0), c.address(portWorkersControl, 0),
		c.address(portStoreControl, 0))
	file := filepath.Join(c.dir, "plan.json")
	assert.NilError(c.t, os.WriteFile(file, []byte(plan), 0o600))
	cmd := exec.Command(filepath.Join(binDir, "lovload"), file)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	assert.NilError(c.t, cmd.Start())
	time.Sleep(time.Second)
	during()
	err := cmd.Wait()
	c.t.Logf("lovload: %s", bytes.ReplaceAll(bytes.ReplaceAll(out.Bytes(), []byte("\n"), nil), []byte("  "), nil))
	assert.NilError(c.t, err, "%s", errOut.String())
	var r loadReport
	assert.NilError(c.t, json.Unmarshal(out.Bytes(), &r))
	assert.Equal(c.t, r.Verified.Violations, 0, "%v", r.Verified.Examples)
	assert.Assert(c.t, r.Verified.Checked > 0)
	if r.Jobs["waiting"] > 0 {
		c.logWaitingJobs()
	}
	for state, n := range r.Jobs {
		assert.Equal(c.t, state, "succeeded", "%d accepted jobs are %s", n, state)
	}
	assert.Assert(c.t, r.Jobs["succeeded"] > 0)
	return r
}

// logWaitingJobs logs the explanation of each job that is still waiting.
func (c *cluster) logWaitingJobs() {
	var list struct {
		Jobs []struct {
			Job string `json:"job_id"`
		} `json:"jobs"`
	}
	assert.NilError(c.t, c.get(c.url(0)+"/v1/jobs?customer=acme&state=waiting", &list))
	for _, j := range list.Jobs {
		var text json.RawMessage
		assert.NilError(c.t, c.get(c.url(0)+"/v1/jobs/"+j.Job+"/explain", &text))
		c.t.Logf("waiting: %s", text)
	}
}
