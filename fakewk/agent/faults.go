package agent

import (
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
)

// WorkerFault is the condition of one worker; the zero value is a healthy one.
type WorkerFault struct {
	// FailAll makes every task that starts from now on fail FailAfterMS milliseconds after its start.
	FailAll     bool `json:"fail_all"`
	FailAfterMS int  `json:"fail_after_ms"`
	// Dead closes the worker's connections; its tasks, reports and epoch are lost.
	Dead bool `json:"dead"`
	// Paused holds calls and progress until the pause ends; leases lapse meanwhile.
	Paused bool `json:"paused"`
	// ReportLagMS is the age that a usage report reaches before it is renewed, if it exceeds the ordinary lag.
	ReportLagMS int `json:"report_lag_ms"`
	// UsagePermille scales the reported usage; zero means 1000.
	UsagePermille int `json:"usage_permille"`
	// DelayMS holds every answer back after the command took effect.
	DelayMS int `json:"delay_ms"`
	// ListState overrides the host list: "", "live", "leaving" or "gone".
	ListState string `json:"list_state"`
	// FlapMS alternates the host list between live and leaving with this period.
	FlapMS int `json:"flap_ms"`
}

// Pair is the extra slowdown, in thousandths, that a running task of kind By adds to a task of kind Kind.
type KindSlowdown struct {
	Kind          string `json:"kind"`
	CausedBy            string `json:"by"`
	ExtraPermille int    `json:"extra_permille"`
}

// Pairs are the properties of task kinds that callers cannot see.
type KindProperties struct {
	Slowdowns []KindSlowdown `json:"slowdowns"`
	// RunFactors multiply the declared run time by kind; a kind that is not listed has factor 1.
	RunFactors map[string]float64 `json:"run_factors"`
	// FailKinds are kinds whose tasks fail on every worker.
	FailKinds []string `json:"fail_kinds"`
}

// extra is proportional to the load of the disturbing task, which a throttle reduces.
func (p KindProperties) extra(kind, by string, permille int) int {
	for _, s := range p.Slowdowns {
		if s.Kind == kind && s.CausedBy == by {
			return s.ExtraPermille * permille / undisturbed
		}
	}
	return 0
}

func (p KindProperties) runFactor(kind string) float64 {
	if f, ok := p.RunFactors[kind]; ok {
		return f
	}
	return 1
}

func (p KindProperties) fails(kind string) bool {
	return slices.Contains(p.FailKinds, kind)
}

// listed returns the worker as the host list shows it at a time, and whether it is listed.
func (f WorkerFault) listed(w fleet.Worker, at time.Time) (fleet.Worker, bool) {
	if f.FlapMS > 0 && at.UnixMilli()/int64(f.FlapMS)%2 == 1 {
		return w.WithState(fleet.HostLeaving), true
	}
	switch f.ListState {
	case "gone":
		return w, false
	case "leaving":
		return w.WithState(fleet.HostLeaving), true
	}
	return w.WithState(fleet.HostLive), true
}
