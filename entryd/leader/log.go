package leader

import "lovagefork.example/coord/flow"

// writeLog writes a log entry of the state machine.
func (l *loop) writeLog(e flow.Log) {
	attrs := make([]any, 0, 20)
	if e.Task.Job != "" {
		attrs = append(attrs, "job", e.Task.Job, "occurrence", e.Task.Occurrence, "step", e.Task.Step, "index", e.Task.Index, "run", e.Run)
	} else if e.Job != "" {
		attrs = append(attrs, "job", e.Job)
	}
	if e.Worker != "" {
		attrs = append(attrs, "worker", e.Worker)
	}
	if e.Reason != "" {
		attrs = append(attrs, "reason", e.Reason)
	}
	if e.Revision != 0 {
		attrs = append(attrs, "revision", e.Revision)
	}
	if e.MayHaveRun {
		attrs = append(attrs, "may_have_run", true)
	}
	if e.Text == "start" {
		attrs = append(attrs, "slack_ms", e.Slack.Milliseconds(), "report_age_ms", e.ReportAge.Milliseconds())
	}
	if e.Via != "" {
		attrs = append(attrs, "via", e.Via)
	}
	log := l.decisions
	if e.Task.Job == "" && e.Job == "" {
		// Lines about workers and the leadership are few and help to explain the decisions, so they go to the main log.
		log = l.log
	}
	log.Info("scheduler: "+e.Text, attrs...)
}
