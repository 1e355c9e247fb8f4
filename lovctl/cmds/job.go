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

// watchInterval is the time between two reads of a job that is watched.
const watchInterval = time.Second

func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }

// submission is the body of a new job; what is left out is taken from the customer's batch kind.
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
		a.jobCommand("show", "Show the state of a job.", func(id string) error { return a.jobGet(jobPath(id)) }),
		a.jobCommand("cancel", "Cancel a job; its running tasks are stopped.", func(id string) error {
			return a.jobChange(entry.RetryAlways, http.MethodDelete, jobPath(id), nil)
		}),
		a.evictCommand(),
		a.jobCommand("explain", "Tell why a job waits or where it was placed.", func(id string) error {
			return a.jobGet(jobPath(id) + "/explain")
		}),
		a.jobCommand("watch", "Print each change of a job until it has ended.", a.jobWatch))
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
		return a.jobChange(entry.RetryIfNotRun, http.MethodPost, jobPath(id)+"/evict", body)
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
	c.String(&s.Kind, "", "kind", "Kind of batch work, as named in the questionnaire.")
	c.Int(&s.MaxAttempts, "", "max-attempts", "Attempts of a failing task; 0 is the default of the kind.")
	return c
}

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
		a.say("job %s was not confirmed; to repeat it, submit it with --job-id %s", s.Job, s.Job)
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

func (a *app) jobGet(path string) error {
	var data json.RawMessage
	done, err := a.get(path, &data)
	if done || err != nil {
		return err
	}
	return show.Fields(a.Out, data)
}

func (a *app) jobChange(repeat entry.RetryPolicy, method, path string, body any) error {
	data, err := a.client.Call(a.ctx, repeat, method, path, body)
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

// jobWatch goes on while no entry process answers: a job outlives the outage of all of them.
func (a *app) jobWatch(id string) error {
	var last json.RawMessage
	for {
		data, err := a.client.Call(a.ctx, entry.RetryAlways, http.MethodGet, jobPath(id), nil)
		switch {
		case err != nil && exitCode(err) != ExitUnavailable:
			return err
		case err != nil:
			a.say("lovctl: %v", err)
		case !bytes.Equal(data, last):
			last = data
			if err := a.printChange(data); err != nil {
				return err
			}
		}
		if ended(last) {
			return nil
		}
		select {
		case <-a.ctx.Done():
			return errAborted
		case <-time.After(watchInterval):
		}
	}
}

func (a *app) printChange(data json.RawMessage) error {
	if a.json {
		show.JSON(a.Out, data)
		return nil
	}
	_, _ = fmt.Fprintln(a.Out, time.Now().Format(time.TimeOnly))
	return show.Fields(a.Out, data)
}

// ended reports whether a job's state is one that it does not leave.
func ended(data json.RawMessage) bool {
	var job struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal(data, &job); err != nil {
		return false
	}
	return job.State == "succeeded" || job.State == "failed" || job.State == "cancelled"
}
