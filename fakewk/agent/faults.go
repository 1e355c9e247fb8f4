package agent

import (
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
)

// WorkerFault configures the injected faults of one worker; the zero value injects none.
type WorkerFault struct {
	// FailAll makes every task started from now on fail FailAfterMS milliseconds after its start. FailAfterMS also
	// applies to KindProperties.FailKinds.
	FailAll     bool `json:"fail_all"`
	FailAfterMS int  `json:"fail_after_ms"`
	// Dead makes the worker close all connections without a response and discard its tasks, reports and epoch.
	Dead bool `json:"dead"`
	// Paused blocks calls and stops the progress of tasks until it is reset; task leases expire meanwhile.
	Paused bool `json:"paused"`
	// ReportLagMS is the interval between usage reports in milliseconds, if longer than Layout.UsageLag.
	ReportLagMS int `json:"report_lag_ms"`
	// UsagePermille scales the reported usage, in thousandths; zero means 1000.
	UsagePermille int `json:"usage_permille"`
	// DelayMS delays every response by this many milliseconds after the command took effect.
	DelayMS int `json:"delay_ms"`
	// ListState is the state in the host list: "live", "leaving", "gone" for not listed, or "" for live.
	ListState string `json:"list_state"`
	// FlapMS makes the host list alternate between live and leaving, changing every FlapMS milliseconds.
	FlapMS int `json:"flap_ms"`
}

// KindSlowdown is the additional slowdown, in thousandths, that a running task of kind CausedBy adds to a task of kind
// Kind on the same worker.
type KindSlowdown struct {
	Kind          string `json:"kind"`
	CausedBy      string `json:"by"`
	ExtraPermille int    `json:"extra_permille"`
}

// KindProperties holds the properties of task kinds that the worker does not report to callers.
type KindProperties struct {
	Slowdowns []KindSlowdown `json:"slowdowns"`
	// RunFactors holds the factor from declared to actual run time by kind; the default is 1.
	RunFactors map[string]float64 `json:"run_factors"`
	// FailKinds lists the kinds whose tasks fail on every worker.
	FailKinds []string `json:"fail_kinds"`
}

// extraSlowdown returns the slowdown in thousandths that a task of kind by adds to one of kind. It is proportional to
// the load of the causing task, which its throttle reduces.
func (p KindProperties) extraSlowdown(kind, by string, permille int) int {
	for _, s := range p.Slowdowns {
		if s.Kind == kind && s.CausedBy == by {
			return s.ExtraPermille * permille / fullPermille
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

func (p KindProperties) alwaysFails(kind string) bool {
	return slices.Contains(p.FailKinds, kind)
}

// hostListEntry returns the entry of w in a host list published at the given time, and whether w is listed.
func (f WorkerFault) hostListEntry(w fleet.Worker, at time.Time) (fleet.Worker, bool) {
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
