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

// report is what lovload prints.
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

// load sends requests of both services and jobs for the given time while during runs, and checks what callers were told
// against what ran.
func (s *cluster) runLoad(seconds int, during func()) loadReport {
	s.t.Helper()
	plan := fmt.Sprintf(`{"name": "procs", "seed": 1, "duration_ms": %d, "settle_ms": 240000, "entries": [%q, %q, %q],
		"backend_control": "http://%s/control", "worker_control": "http://%s/control", "store_control": "http://%s/control",
		"streams": [{"name": "bookings", "customer": "acme", "service": "bookings", "rate": 40, "deadline_ms": 5000, "body_bytes": 100},
			{"name": "invoices", "customer": "acme", "service": "invoices", "rate": 10, "deadline_ms": 5000, "non_idempotent": true, "body_bytes": 100}],
		"jobs": [{"name": "j", "customer": "acme", "kind": "reconciliation", "rate": 2, "tasks": 2, "milli_cpu": 500, "memory_mib": 256, "run_ms": 1500}]}`,
		seconds*1000, s.url(0), s.url(1), s.url(2), s.address(portBackendsControl, 0), s.address(portWorkersControl, 0),
		s.address(portStoreControl, 0))
	file := filepath.Join(s.dir, "plan.json")
	assert.NilError(s.t, os.WriteFile(file, []byte(plan), 0o600))
	cmd := exec.Command(filepath.Join(binDir, "lovload"), file)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	assert.NilError(s.t, cmd.Start())
	time.Sleep(time.Second)
	during()
	err := cmd.Wait()
	s.t.Logf("lovload: %s", bytes.ReplaceAll(bytes.ReplaceAll(out.Bytes(), []byte("\n"), nil), []byte("  "), nil))
	assert.NilError(s.t, err, "%s", errOut.String())
	var r loadReport
	assert.NilError(s.t, json.Unmarshal(out.Bytes(), &r))
	assert.Equal(s.t, r.Verified.Violations, 0, "%v", r.Verified.Examples)
	assert.Assert(s.t, r.Verified.Checked > 0)
	if r.Jobs["waiting"] > 0 {
		s.logWaitingJobs()
	}
	for state, n := range r.Jobs {
		assert.Equal(s.t, state, "succeeded", "%d accepted jobs are %s", n, state)
	}
	assert.Assert(s.t, r.Jobs["succeeded"] > 0)
	return r
}

// explain logs what the jobs that still wait are waiting for.
func (s *cluster) logWaitingJobs() {
	var list struct {
		Jobs []struct {
			Job string `json:"job_id"`
		} `json:"jobs"`
	}
	assert.NilError(s.t, s.get(s.url(0)+"/v1/jobs?customer=acme&state=waiting", &list))
	for _, j := range list.Jobs {
		var text json.RawMessage
		assert.NilError(s.t, s.get(s.url(0)+"/v1/jobs/"+j.Job+"/explain", &text))
		s.t.Logf("waiting: %s", text)
	}
}
