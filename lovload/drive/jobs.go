package drive

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/lovload/plan"
	"lovagefork.example/lovload/tally"
)

// pollInterval is the time between two reads of a customer's list of jobs.
const pollInterval = 500 * time.Millisecond

type submission struct {
	Job            string          `json:"job_id"`
	Customer       string          `json:"customer"`
	Class          string          `json:"class,omitempty"`
	Kind           string          `json:"kind"`
	Tasks          int             `json:"tasks"`
	Resources      fleet.Resources `json:"resources"`
	EstimatedRunMS int64           `json:"estimated_run_ms"`
}

func (d *Driver) submit(ctx context.Context, a plan.Arrival) (tally.Outcome, string) {
	j := d.plan.Jobs[a.Index]
	id := fmt.Sprintf("%s-%s-%d", d.run, j.Name, a.Number)
	data, err := json.Marshal(submission{
		Job: id, Customer: j.Customer, Class: j.Class, Kind: j.Kind, Tasks: j.Tasks, EstimatedRunMS: j.RunMS,
		Resources: fleet.Resources{MilliCPU: j.MilliCPU, MemoryBytes: j.MemoryMiB << 20},
	})
	if err != nil {
		return tally.OutcomeNotSent, err.Error()
	}
	outcome, reason := d.submitOnce(ctx, a, id, data)
	for outcome == tally.OutcomeUnknown || outcome == tally.OutcomeConnectionLost {
		// A caller that does not know must ask again with the same id, which may not start the job twice.
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return outcome, reason
		}
		outcome, reason = d.submitOnce(ctx, a, id, data)
	}
	return outcome, reason
}

func (d *Driver) submitOnce(ctx context.Context, a plan.Arrival, id string, data []byte) (tally.Outcome, string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for try := range d.plan.Entries {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.entry(a, try)+"/v1/jobs", bytes.NewReader(data))
		if err != nil {
			return tally.OutcomeNotSent, err.Error()
		}
		req.Header.Set("Content-Type", "application/json")
		status, header, _, sent, err := d.do(req)
		if err != nil && !sent && ctx.Err() == nil {
			continue
		}
		return d.submitted(id, status, header, err)
	}
	return tally.OutcomeNotSent, "no entry process reachable"
}

func (d *Driver) submitted(id string, status int, header http.Header, err error) (tally.Outcome, string) {
	switch {
	case err != nil:
		return tally.OutcomeConnectionLost, ""
	case status == http.StatusOK || status == http.StatusCreated || status == http.StatusAccepted:
		d.mu.Lock()
		d.accepted = append(d.accepted, id)
		d.mu.Unlock()
		return tally.OutcomeGood, ""
	case header.Get("Lovagefork-Outcome") == "unknown":
		return tally.OutcomeUnknown, http.StatusText(status)
	}
	return tally.OutcomeNotRun, http.StatusText(status)
}

// awaitJobs waits until every accepted job has ended, or ctx ends.
func (d *Driver) awaitJobs(ctx context.Context) {
	for ctx.Err() == nil {
		states := d.JobStates(ctx)
		if states["waiting"]+states["running"]+states["unreadable"] == 0 {
			return
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// JobStates counts the accepted jobs by state; a job that no entry process shows is "unreadable".
func (d *Driver) JobStates(ctx context.Context) map[string]int {
	d.mu.Lock()
	accepted := append([]string{}, d.accepted...)
	d.mu.Unlock()
	if len(accepted) == 0 {
		return nil
	}
	known := make(map[string]string)
	customers := make(map[string]bool)
	for _, j := range d.plan.Jobs {
		customers[j.Customer] = true
	}
	for customer := range customers {
		d.list(ctx, customer, known)
	}
	counts := make(map[string]int)
	for _, id := range accepted {
		state := known[id]
		if state == "" {
			state = "unreadable"
		}
		counts[state]++
	}
	return counts
}

func (d *Driver) list(ctx context.Context, customer string, known map[string]string) {
	for try := range d.plan.Entries {
		url := d.entry(plan.Arrival{}, try) + "/v1/jobs?customer=" + customer
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		status, _, data, _, err := d.do(req)
		var list struct {
			Jobs []struct {
				Job   string `json:"job_id"`
				State string `json:"state"`
			} `json:"jobs"`
		}
		if err != nil || status != http.StatusOK || json.Unmarshal(data, &list) != nil {
			continue
		}
		for _, j := range list.Jobs {
			known[j.Job] = j.State
		}
		return
	}
}
