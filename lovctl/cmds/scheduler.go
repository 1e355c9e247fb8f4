package cmds

import (
	"encoding/json"
	"net/url"

	"github.com/integrii/flaggy"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/lovctl/show"
)

// schedulerPath is the path prefix of the scheduler's API, which every hosted entry process serves on its metrics
// address.
const schedulerPath = "/v1/scheduler"

func (a *app) schedulerCommands() *flaggy.Subcommand {
	var id string
	job := a.command("job", "Show where the tasks of a job run and why the others wait.", func() error {
		var v flow.JobView
		done, err := a.get(schedulerPath+"/jobs/"+url.PathEscape(id), &v)
		if err != nil || done {
			return err
		}
		show.HostedJob(a.Out, v)
		return nil
	})
	job.AddPositionalValue(&id, "job", 1, true, "Id of the job.")
	return group("scheduler", "The scheduler of a hosted deployment; --entry takes metrics addresses.",
		a.command("status", "Show which entry host runs the scheduler, and the scheduler's state.", a.schedulerStatus),
		a.command("workers", "List the workers with their load and the reasons why they accept no tasks.", func() error {
			var all []flow.WorkerView
			done, err := a.get(schedulerPath+"/workers", &all)
			if err != nil || done {
				return err
			}
			show.HostedWorkers(a.Out, all)
			return nil
		}), job)
}

func (a *app) schedulerStatus() error {
	var v struct {
		EntryHost fleet.EntryHostID `json:"entry_host"`
		Token     infra.Token       `json:"token"`
		Overview  json.RawMessage   `json:"overview"`
	}
	done, err := a.get(schedulerPath, &v)
	if err != nil || done {
		return err
	}
	var o flow.Overview
	if err := json.Unmarshal(v.Overview, &o); err != nil {
		return err
	}
	show.HostedScheduler(a.Out, v.EntryHost, o)
	return nil
}
