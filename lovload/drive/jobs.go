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

// pollInterval is the time between two submissions of a job with an unknown outcome, and between two reads of the job
// states.
const pollInterval = 500 * time.Millisecond

// submission is the request body of a new job.
type submission struct {
	Job            string          `json:"job_id"`
	Customer       string          `json:"customer"`
	Class          string          `json:"class,omitempty"`
	Kind           string          `json:"kind"`
	Tasks          int             `json:"tasks"`
	Resources      fleet.Resources `json:"resources"`
	EstimatedRunMS int64           `json:"estimated_run_ms"`
}

// submitJob submits a job, and repeats the submission while its outcome is unknown.
func (d *Driver) submitJob(ctx context.Context, a plan.Arrival) (tally.Outcome, string) {
	j := d.plan.Jobs[a.Index]
	id := fmt.Sprintf("%s-%s-%d", d.runID, j.Name, a.Number)
	data, err := json.Marshal(submission{
		Job: id, Customer: j.Customer, Class: j.Class, Kind: j.Kind, Tasks: j.Tasks, EstimatedRunMS: j.RunMS,
		Resources: fleet.Resources{MilliCPU: j.MilliCPU, MemoryBytes: j.MemoryMiB << 20},
	})
	if err != nil {
		return tally.OutcomeNotSent, err.Error()
	}
	outcome, reason := d.submitJobOnce(ctx, a, id, data)
	for outcome == tally.OutcomeUnknown || outcome == tally.OutcomeConnectionLost {
		// A caller that does not know the outcome has to repeat the submission with the same id. It must not start the
		// job twice.
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return outcome, reason
		}
		outcome, reason = d.submitJobOnce(ctx, a, id, data)
	}
	return outcome, reason
}

// submitJobOnce submits a job to the first entry process that accepts a connection.
func (d *Driver) submitJobOnce(ctx context.Context, a plan.Arrival, id string, data []byte) (tally.Outcome, string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for attempt := range d.plan.Entries {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.entryURL(a, attempt)+"/v1/jobs", bytes.NewReader(data))
		if err != nil {
			return tally.OutcomeNotSent, err.Error()
		}
		req.Header.Set("Content-Type", "application/json")
		status, header, _, sent, err := d.roundTrip(req)
		if err != nil && !sent && ctx.Err() == nil {
			continue
		}
		return d.submitOutcome(id, status, header, err)
	}
	return tally.OutcomeNotSent, "no entry process reachable"
}

// submitOutcome classifies the response to a submission and records the id of an accepted job.
func (d *Driver) submitOutcome(id string, status int, header http.Header, err error) (tally.Outcome, string) {
	switch {
	case err != nil:
		return tally.OutcomeConnectionLost, ""
	case status == http.StatusOK || status == http.StatusCreated || status == http.StatusAccepted:
		d.mu.Lock()
		d.acceptedJobs = append(d.acceptedJobs, id)
		d.mu.Unlock()
		return tally.OutcomeGood, ""
	case header.Get("Lovagefork-Outcome") == "unknown":
		return tally.OutcomeUnknown, http.StatusText(status)
	}
	return tally.OutcomeNotRun, http.StatusText(status)
}

// awaitJobs waits until every accepted job has ended or ctx is done.
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

// JobStates counts the accepted jobs by state; a job whose state cannot be read from any entry process counts as
// "unreadable".
func (d *Driver) JobStates(ctx context.Context) map[string]int {
	d.mu.Lock()
	accepted := append([]string{}, d.acceptedJobs...)
	d.mu.Unlock()
	if len(accepted) == 0 {
		return nil
	}
	states := make(map[string]string)
	customers := make(map[string]bool)
	for _, j := range d.plan.Jobs {
		customers[j.Customer] = true
	}
	for customer := range customers {
		d.readJobStates(ctx, customer, states)
	}
	counts := make(map[string]int)
	for _, id := range accepted {
		state := states[id]
		if state == "" {
			state = "unreadable"
		}
		counts[state]++
	}
	return counts
}

// readJobStates adds the states of a customer's jobs, read from the first entry process that returns the list.
func (d *Driver) readJobStates(ctx context.Context, customer string, states map[string]string) {
	for attempt := range d.plan.Entries {
		url := d.entryURL(plan.Arrival{}, attempt) + "/v1/jobs?customer=" + customer
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		status, _, data, _, err := d.roundTrip(req)
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
			states[j.Job] = j.State
		}
		return
	}
}
