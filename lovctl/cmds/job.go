package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/lovctl/draft"
	"lovagefork.example/lovctl/entry"
	"lovagefork.example/lovctl/show"
)

// watchInterval is the polling interval of "job watch".
const watchInterval = time.Second

func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }

// submission is the request body of a new job. Fields that are left out default to the values of the customer's batch
// kind.
type submission struct {
	Job            fleet.JobID      `json:"job_id"`
	Customer       fleet.CustomerID `json:"customer"`
	Class          *fleet.Class     `json:"class,omitempty"`
	Tasks          int              `json:"tasks"`
	Resources      fleet.Resources  `json:"resources"`
	EstimatedRunMS int64            `json:"estimated_run_ms"`
	Kind           string           `json:"kind"`
	MaxAttempts    int              `json:"max_attempts"`
}

func (a *app) jobCommands() *flaggy.Subcommand {
	return group("job", "Batch jobs.", a.submitCommand(), a.listCommand(),
		a.jobCommand("show", "Show the state of a job.", func(id string) error { return a.showJob(jobPath(id)) }),
		a.jobCommand("cancel", "Cancel a job; its running tasks are stopped.", func(id string) error {
			return a.changeJob(entry.RetryAlways, http.MethodDelete, jobPath(id), nil)
		}),
		a.evictCommand(),
		a.jobCommand("explain", "Explain why a job waits or where it was placed.", func(id string) error {
			return a.showJob(jobPath(id) + "/explain")
		}),
		a.jobCommand("watch", "Print each change of a job until it has ended.", a.watchJob))
}

func (a *app) jobCommand(name, description string, run func(id string) error) *flaggy.Subcommand {
	var id string
	c := a.command(name, description, func() error { return run(id) })
	c.AddPositionalValue(&id, "job", 1, true, "Id of the job.")
	return c
}

func (a *app) evictCommand() *flaggy.Subcommand {
	var task string
	c := a.jobCommand("evict", "Checkpoint the running tasks of a job and let them resume later.", func(id string) error {
		body := struct {
			Task string `json:"task_id,omitempty"`
		}{task}
		return a.changeJob(entry.RetryIfNotRun, http.MethodPost, jobPath(id)+"/evict", body)
	})
	c.String(&task, "", "task", "Id of the only task to evict (default: every running task).")
	return c
}

func (a *app) submitCommand() *flaggy.Subcommand {
	s := &submission{Tasks: 1}
	var id, customer, file string
	var class string
	var memoryMiB int64
	c := a.command("submit", "Submit a job. Repeating a submission with the same job id changes nothing.", func() error {
		if file != "" {
			return a.submitFile(file)
		}
		if class != "" {
			parsed, err := fleet.ParseClass(class)
			if err != nil {
				return &UsageError{Reason: "--class: " + err.Error()}
			}
			s.Class = &parsed
		}
		s.Job, s.Customer = fleet.JobID(id), fleet.CustomerID(customer)
		s.Resources.MemoryBytes = memoryMiB << 20
		return a.submit(*s)
	})
	c.String(&file, "f", "file", "File with the job as JSON, instead of the other flags; \"-\" is the standard input.")
	c.String(&id, "", "job-id", "Id of the job (default: a new one).")
	c.String(&customer, "", "customer", "Customer that the job belongs to.")
	c.String(&class, "", "class", "Class: urgent, standard or deferrable (default: that of the kind).")
	c.Int(&s.Tasks, "", "tasks", "Number of tasks.")
	c.Int64(&s.Resources.MilliCPU, "", "milli-cpu", "Processor time of a task in thousandths of a core (default: that of the kind).")
	c.Int64(&memoryMiB, "", "memory-mib", "Memory of a task in MiB (default: that of the kind).")
	c.Int64(&s.Resources.Accelerators, "", "accelerators", "Accelerators of a task.")
	c.Int64(&s.EstimatedRunMS, "", "estimated-run-ms", "Expected run time of a task in milliseconds.")
	c.String(&s.Kind, "", "kind", "Kind of batch work, by its name in the questionnaire.")
	c.Int(&s.MaxAttempts, "", "max-attempts", "Maximum attempts of a failing task; 0 means the default of the kind.")
	return c
}

// submitFile submits the job in a JSON file; "-" reads standard input.
func (a *app) submitFile(path string) error {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(a.In)
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return err
	}
	var s submission
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return &UsageError{Reason: path + ": " + err.Error()}
	}
	return a.submit(s)
}

func (a *app) submit(s submission) error {
	if s.Job == "" {
		s.Job = fleet.JobID(draft.NewID())
	}
	if s.Customer == "" {
		return &UsageError{Reason: "--customer is missing"}
	}
	data, err := a.client.Call(a.ctx, entry.RetryAlways, http.MethodPost, "/v1/jobs", s)
	if err != nil {
		a.messagef("job %s was not confirmed; to repeat it, submit it with --job-id %s", s.Job, s.Job)
		return err
	}
	if a.json {
		show.JSON(a.Out, data)
		return nil
	}
	_, _ = fmt.Fprintf(a.Out, "accepted: job %s\n", s.Job)
	return nil
}

func (a *app) listCommand() *flaggy.Subcommand {
	var customer, state string
	c := a.command("list", "List jobs.", func() error {
		filter := url.Values{}
		if customer != "" {
			filter.Set("customer", customer)
		}
		if state != "" {
			filter.Set("state", state)
		}
		var data json.RawMessage
		done, err := a.get("/v1/jobs?"+filter.Encode(), &data)
		if done || err != nil {
			return err
		}
		return show.Jobs(a.Out, data)
	})
	c.String(&customer, "", "customer", "Show only the jobs of this customer.")
	c.String(&state, "", "state", "Show only jobs in this state: waiting, running, succeeded, failed or cancelled.")
	return c
}

// showJob prints a JSON object about a job.
func (a *app) showJob(path string) error {
	var data json.RawMessage
	done, err := a.get(path, &data)
	if done || err != nil {
		return err
	}
	return show.Fields(a.Out, data)
}

// changeJob sends a change of a job and prints the response, or "done" if it is empty.
func (a *app) changeJob(retry entry.RetryPolicy, method, path string, body any) error {
	data, err := a.client.Call(a.ctx, retry, method, path, body)
	if err != nil {
		return err
	}
	if a.json {
		show.JSON(a.Out, data)
		return nil
	}
	if len(bytes.TrimSpace(data)) == 0 {
		_, _ = fmt.Fprintln(a.Out, "done")
		return nil
	}
	return show.Fields(a.Out, data)
}

// watchJob prints each change of a job until it has ended. It continues polling while no entry process responds,
// because jobs keep running during such an outage.
func (a *app) watchJob(id string) error {
	var last json.RawMessage
	for {
		data, err := a.client.Call(a.ctx, entry.RetryAlways, http.MethodGet, jobPath(id), nil)
		switch {
		case err != nil && exitCode(err) != ExitUnavailable:
			return err
		case err != nil:
			a.messagef("lovctl: %v", err)
		case !bytes.Equal(data, last):
			last = data
			if err := a.printChange(data); err != nil {
				return err
			}
		}
		if jobEnded(last) {
			return nil
		}
		select {
		case <-a.ctx.Done():
			return errAborted
		case <-time.After(watchInterval):
		}
	}
}

// printChange prints the state of a watched job, with the time of day unless the output is JSON.
func (a *app) printChange(data json.RawMessage) error {
	if a.json {
		show.JSON(a.Out, data)
		return nil
	}
	_, _ = fmt.Fprintln(a.Out, time.Now().Format(time.TimeOnly))
	return show.Fields(a.Out, data)
}

// jobEnded reports whether the job is in a final state.
func jobEnded(data json.RawMessage) bool {
	var job struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(data, &job); err != nil {
		return false
	}
	return job.State == "succeeded" || job.State == "failed" || job.State == "cancelled"
}
