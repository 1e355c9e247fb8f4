package show

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
)

// HostedScheduler prints the state of the scheduler of a hosted deployment.
func HostedScheduler(w io.Writer, host fleet.EntryHostID, o flow.Overview) {
	_, _ = fmt.Fprintf(w, "scheduler on %s, token %d, term %d, configuration %d\n", host, o.Token, o.Term, o.Catalog)
	_, _ = fmt.Fprintf(w, "workers %d: %d not reachable, %d draining, %d resting, %d not settled\n",
		o.Workers, o.Unreachable, o.Draining, o.Resting, o.Unsettled)
	_, _ = fmt.Fprintf(w, "ready steps %d, starts without an answer %d, jobs to be stored %d\n", o.Ready, o.Unanswered, o.Unsaved)
	if o.Link.Window > 0 {
		_, _ = fmt.Fprintf(w, "link: %d of %d bytes, %d tasks held back, %d relays (%d resting), %d of %d starts relayed\n",
			o.Link.OnWay, o.Link.Window, o.Link.HeldBack, o.Link.Relays, o.Link.Resting, o.Link.Relayed, o.Link.Starts)
	}
	for _, state := range slices.Sorted(maps.Keys(o.Jobs)) {
		_, _ = fmt.Fprintf(w, "jobs %s: %d\n", state, o.Jobs[state])
	}
}

// HostedWorkers prints the workers of a hosted deployment.
func HostedWorkers(w io.Writer, all []flow.WorkerView) {
	rows := [][]string{{"WORKER", "ZONE", "CAPACITY", "USED", "FILLERS", "RUNS", "REPORT", "SPEED", "REFUSES"}}
	for _, v := range all {
		rows = append(rows, []string{
			string(v.Worker), string(v.Zone), v.Capacity.String(), v.Used.String(), fmt.Sprintf("%dm of %dm", v.FillerLoad, v.FillerMilliCPU), fmt.Sprint(v.Runs),
			formatReportAge(v.ReportAge), fmt.Sprintf("%.2f", v.Speed), v.UnusableReason,
		})
	}
	printTable(w, rows)
}

// formatReportAge formats the age of a worker's last report in milliseconds.
func formatReportAge(age int64) string {
	if age < 0 {
		return "none"
	}
	return fmt.Sprintf("%d ms", age)
}

// HostedJob prints a job of a hosted deployment with its runs and the reasons why its other tasks wait.
func HostedJob(w io.Writer, v flow.JobView) {
	_, _ = fmt.Fprintf(w, "job %s of %s: %s (durable: %s), %d ms old, %d ms left\n", v.Job, v.Queue, v.State, v.DurableState, v.Age, v.Slack)
	for _, s := range v.Steps {
		_, _ = fmt.Fprintf(w, "occurrence %d, step %d: %d waiting, %d active, %d done, %d failed runs\n",
			s.Occurrence, s.Step, s.Waiting, s.Active, s.Done, s.Failed)
		if s.BlockedReason != "" {
			_, _ = fmt.Fprintf(w, "  waits: %s\n", s.BlockedReason)
		}
		for _, reason := range slices.Sorted(maps.Keys(s.WorkersByReason)) {
			_, _ = fmt.Fprintf(w, "  %d workers: %s\n", s.WorkersByReason[reason], reason)
		}
		for _, r := range s.Runs {
			_, _ = fmt.Fprintf(w, "  task %d run %d on %s: %s, %d %%, %d ms old\n", r.Index, r.Run, r.Worker, r.State, r.Percent, r.Age)
		}
	}
}
