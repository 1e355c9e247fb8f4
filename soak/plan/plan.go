package plan

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Hosts run an entry process each. Hosts and workers that are lost do not return; a lost host is replaced
// by an empty one, with another identity, if its fault has a duration. The process of a dark host is silent, with its connections
// open, until it is killed at the end of the fault. Killed processes return after their fault's duration, or after a second.
// Orders that a worker carries out late reach the next life under its ID if it crashes before.
const (
	HostKill   Kind = "host_kill"
	HostStop   Kind = "host_stop"
	HostPause  Kind = "host_pause"
	HostReload Kind = "host_reload"
	HostLoss   Kind = "host_loss"
	HostDark   Kind = "host_dark"

	StoreDown     Kind = "store_down"
	StoreSlow     Kind = "store_slow"
	StoreLost     Kind = "store_lost_answers"
	StoreLate     Kind = "store_late_writes"
	StoreExcludes Kind = "store_excludes_hosts"
	StoreCompact  Kind = "store_compact"
	StoreWatchLag Kind = "store_watch_lag"

	WorkersRefuse Kind = "workers_refuse"
	WorkersReset  Kind = "workers_reset"
	WorkersSilent Kind = "workers_silent"
	WorkersOneWay Kind = "workers_one_way"
	WorkersDelay  Kind = "workers_delay"
	WorkersLate   Kind = "workers_late_orders"
	WorkerCrash   Kind = "workers_crash"
	WorkerDrain   Kind = "workers_drain"
	WorkerLoss    Kind = "workers_loss"
)

// Kinds are all kinds of faults.
var Kinds = []Kind{
	HostKill, HostStop, HostPause, HostReload, StoreDown, StoreSlow, StoreLost, StoreLate, StoreExcludes, StoreCompact, StoreWatchLag,
	WorkersRefuse, WorkersReset, WorkersSilent, WorkersOneWay, WorkersDelay, WorkersLate, WorkerCrash, WorkerDrain, HostLoss, WorkerLoss,
	HostDark,
}

// DisturbsWorkers reports whether the targets of faults of a kind are workers.
func (k Kind) DisturbsWorkers() bool {
	switch k {
	case WorkersRefuse, WorkersReset, WorkersSilent, WorkersOneWay, WorkersDelay, WorkersLate, WorkerCrash, WorkerDrain, WorkerLoss:
		return true
	}
	return false
}

// Fault is one fault. Times are in milliseconds; AtMS counts from the start of the load.
type Fault struct {
	Kind  Kind  `json:"kind"`
	AtMS  int64 `json:"at_ms"`
	ForMS int64 `json:"for_ms,omitempty"`
	// Count is the number of hosts or workers.
	Count int `json:"count,omitempty"`
	// Group selects the hosts of a group, counted from 1; 0 stands for all hosts.
	Group int `json:"group,omitempty"`
	// OnLeader selects the host of the scheduler first.
	OnLeader bool `json:"on_leader,omitempty"`
	// Among selects the targets among the workers that faults of this kind disturb at the time.
	Among Kind `json:"among,omitempty"`
	// CutsStore also keeps the workers from renewing their entries in the store.
	CutsStore bool `json:"cuts_store,omitempty"`
	// NewID lets crashed workers return under other IDs.
	NewID bool `json:"new_id,omitempty"`
	// Silent lets the store leave calls unanswered instead of rejecting them. Calls of crashed workers then wait for the next one at
	// the address instead of being refused.
	Silent bool `json:"silent,omitempty"`
	// PausesLeases pauses the store's leases.
	PausesLeases bool `json:"pauses_leases,omitempty"`
	// Share is the share of the calls that is affected, and DelayMS a delay. Each late order of workers has its own delay up to
	// MaxDelayMS if that is above DelayMS.
	Share      float64 `json:"share,omitempty"`
	DelayMS    int64   `json:"delay_ms,omitempty"`
	MaxDelayMS int64   `json:"max_delay_ms,omitempty"`
}

// Duration returns how long the fault lasts.
func (f Fault) Duration() time.Duration { return time.Duration(f.ForMS) * time.Millisecond }

// Delay returns the delay that the fault adds.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// MaxDelay returns the bound up to which the delay of late orders is drawn.
func (f Fault) MaxDelay() time.Duration { return time.Duration(f.MaxDelayMS) * time.Millisecond }

// Plan is a soak. JobsPerSecond is the rate of submissions in the time LoadMS.
type Plan struct {
	Name string `json:"name"`
	// Cause says what a plan that is kept has found.
	Cause string `json:"cause,omitempty"`
	Seed  uint64 `json:"seed"`
	Hosts int    `json:"hosts"`
	// HostGroups describes the hosts in their order; without it they are alike and their links unlimited.
	HostGroups    []HostGroup `json:"host_groups,omitempty"`
	Workers       int         `json:"workers"`
	LoadMS        int64       `json:"load_ms"`
	JobsPerSecond float64     `json:"jobs_per_second"`
	// MinTasks and MaxTasks bound the number of tasks of a step, and MaxWorkMS the work of most of them; 0 stands for the default.
	MinTasks  int   `json:"min_tasks,omitempty"`
	MaxTasks  int   `json:"max_tasks,omitempty"`
	MaxWorkMS int64 `json:"max_work_ms,omitempty"`
	// SpecBytes is the size of the specs of jobs; 0 leaves them as short as they are.
	SpecBytes int `json:"spec_bytes,omitempty"`
	// LastingJobs is the number of further jobs, long-running ones that are submitted at the beginning and stay beyond the load.
	LastingJobs int `json:"lasting_jobs,omitempty"`
	// LastingTasks is the number of tasks of each of them; 0 stands for a few, drawn for each job.
	LastingTasks int `json:"lasting_tasks,omitempty"`
	// ConfigEveryMS is the interval of changes of the configuration; 0 means that there are none.
	ConfigEveryMS int64 `json:"config_every_ms,omitempty"`
	// MaxStartMS is the time within which 95 of 100 tasks have to start; 0 if there is no limit.
	MaxStartMS int64 `json:"max_start_ms,omitempty"`
	// ReportMS is how long workers take between the parts of a report; 0 means that they read them at one moment.
	ReportMS int64   `json:"report_ms,omitempty"`
	Faults   []Fault `json:"faults"`
}

// HostGroup describes some hosts that are alike.
type HostGroup struct {
	Count int `json:"count"`
	// LinkMbps is the bandwidth of each host's link in Mbit/s in each direction; 0 if it is unlimited.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// DelayMS is how long a segment takes on a limited link besides.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// MilliCPU is the processor time in the settings of each host, in thousandths of a core; 0 stands for the default.
	MilliCPU int64 `json:"milli_cpu,omitempty"`
}

// GroupOf returns the number of the group of the n-th host, counted from 1, or 0 if the plan has no groups.
func (p Plan) GroupOf(n int) int {
	for i, g := range p.HostGroups {
		if n -= g.Count; n < 0 {
			return i + 1
		}
	}
	return 0
}

// Group returns the group with a number, which is the zero value for 0.
func (p Plan) Group(number int) HostGroup {
	if number == 0 {
		return HostGroup{}
	}
	return p.HostGroups[number-1]
}

// InvalidError reports a plan that cannot be carried out.
type InvalidError struct {
	Source string
	Reason string
}

// Error returns the source and the reason.
func (e *InvalidError) Error() string { return fmt.Sprintf("plan %s: %s", e.Source, e.Reason) }

// The limits of a plan, which keep a soak within a few hundred processes and a few minutes.
const (
	maxHosts   = 200
	maxWorkers = 1000
	maxLoadMS  = 3600_000
	maxTasks   = 100
	// maxLastingJobs limits the long-running jobs of a plan.
	maxLastingJobs = 100
	maxSpecBytes   = 64 << 10
)

// Load reads and validates a plan; its error is an [*InvalidError] or that of the file system.
func Load(file string) (Plan, error) {
	var p Plan
	data, err := os.ReadFile(file)
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return p, &InvalidError{Source: file, Reason: err.Error()}
	}
	return p, p.Validate(file)
}

// Validate returns an [*InvalidError] if a plan cannot be carried out; source names the plan in it.
func (p Plan) Validate(source string) error {
	invalid := func(format string, args ...any) error {
		return &InvalidError{Source: source, Reason: fmt.Sprintf(format, args...)}
	}
	switch {
	case p.Hosts < 1 || p.Hosts > maxHosts:
		return invalid("%d hosts, want 1 to %d", p.Hosts, maxHosts)
	case p.Workers < 1 || p.Workers > maxWorkers:
		return invalid("%d workers, want 1 to %d", p.Workers, maxWorkers)
	case p.LoadMS < 1 || p.LoadMS > maxLoadMS:
		return invalid("%d ms of load, want 1 to %d", p.LoadMS, maxLoadMS)
	case p.JobsPerSecond <= 0 || p.ConfigEveryMS < 0 || p.ReportMS < 0 || p.MaxStartMS < 0:
		return invalid("a rate or an interval is not positive")
	case p.MinTasks < 0 || p.MaxTasks < p.MinTasks || p.MaxTasks > maxTasks:
		return invalid("%d to %d tasks in a step, want at most %d", p.MinTasks, p.MaxTasks, maxTasks)
	case p.SpecBytes < 0 || p.SpecBytes > maxSpecBytes:
		return invalid("specs of %d bytes, want at most %d", p.SpecBytes, maxSpecBytes)
	case p.LastingTasks < 0 || p.LastingTasks > maxTasks:
		return invalid("%d tasks of a long-running job, want at most %d", p.LastingTasks, maxTasks)
	case p.LastingJobs < 0 || p.LastingJobs > maxLastingJobs:
		return invalid("%d long-running jobs, want at most %d", p.LastingJobs, maxLastingJobs)
	case p.MaxWorkMS < 0 || p.MaxWorkMS > maxLoadMS:
		return invalid("%d ms of work, want at most %d", p.MaxWorkMS, maxLoadMS)
	}
	if reason := p.invalidGroups(); reason != "" {
		return invalid("%s", reason)
	}
	lost := 0
	for i, f := range p.Faults {
		if f.Kind == HostLoss {
			lost += f.Count
		}
		if !slices.Contains(Kinds, f.Kind) {
			return invalid("fault %d: unknown kind %q", i, f.Kind)
		}
		if f.AtMS < 0 || f.ForMS < 0 || f.Count < 0 || f.Share < 0 || f.Share > 1 || f.DelayMS < 0 || f.MaxDelayMS < 0 {
			return invalid("fault %d: a figure is out of range", i)
		}
		if f.Group < 0 || f.Group > len(p.HostGroups) {
			return invalid("fault %d: group %d of %d", i, f.Group, len(p.HostGroups))
		}
		if f.Among != "" && (!f.Kind.DisturbsWorkers() || !f.Among.DisturbsWorkers()) {
			return invalid("fault %d: %s among %s, want two kinds of faults of workers", i, f.Kind, f.Among)
		}
	}
	if p.Hosts+lost > maxHosts {
		return invalid("%d hosts and %d lost ones, want at most %d", p.Hosts, lost, maxHosts)
	}
	return nil
}

// invalidGroups returns why the groups of hosts cannot be set up, or an empty text.
func (p Plan) invalidGroups() string {
	if len(p.HostGroups) == 0 {
		return ""
	}
	total := 0
	for i, g := range p.HostGroups {
		if g.Count < 1 || g.LinkMbps < 0 || g.DelayMS < 0 || g.MilliCPU < 0 {
			return fmt.Sprintf("group %d: a figure is out of range", i+1)
		}
		total += g.Count
	}
	if total != p.Hosts {
		return fmt.Sprintf("%d hosts in groups, want %d", total, p.Hosts)
	}
	return ""
}

// Save writes a plan.
func (p Plan) Save(file string) error {
	data, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}
