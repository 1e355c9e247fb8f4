package plan

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"time"
)

// Bounds of an experiment.
const (
	maxDuration = time.Hour
	maxArrivals = 5_000_000
	maxInFlight = 16384
	maxFaults   = 1000
	maxBasePort = 65000
)

// Plan is one experiment; times are milliseconds from its start.
type Plan struct {
	Name       string   `json:"name"`
	Seed       uint64   `json:"seed"`
	DurationMS int64    `json:"duration_ms"`
	Entries    []string `json:"entries"`
	Streams    []Stream `json:"streams"`
	Jobs       []JobStream   `json:"jobs"`
	Faults     []Fault  `json:"faults"`
	// InFlight bounds the requests that wait for an answer; an arrival beyond it is counted and not sent.
	InFlight int `json:"in_flight"`
	// SettleMS is how long the tool waits after the last arrival for answers and for accepted jobs to end.
	SettleMS int64 `json:"settle_ms"`
	// IntervalMS is the length of one line of the timeline.
	IntervalMS int64 `json:"interval_ms"`
	// BackendControl, WorkerControl and StoreControl are control pages that tell afterwards what really ran.
	BackendControl string `json:"backend_control"`
	WorkerControl  string `json:"worker_control"`
	StoreControl   string `json:"store_control"`
	Limits         Limits `json:"limits"`
}

// Limits are what the control pages must not have seen exceeded since they started.
type Limits struct {
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// StoreWrites and StoreReads are calls in one second.
	StoreWrites int64 `json:"store_writes"`
	StoreReads  int64 `json:"store_reads"`
}

// defaultLimits are those of the platform's workers, and of the store as the entry daemon's settings assume it.
var defaultLimits = Limits{Slots: 8, Connections: 64, StoreWrites: 300, StoreReads: 1500}

// Stream is one kind of requests with Poisson arrivals at Rate a second from StartMS to EndMS (zero: the whole time).
type Stream struct {
	Name          string  `json:"name"`
	Customer      string  `json:"customer"`
	Service       string  `json:"service"`
	Class         string  `json:"class"`
	Rate          float64 `json:"rate"`
	StartMS       int64   `json:"start_ms"`
	EndMS         int64   `json:"end_ms"`
	DeadlineMS    int64   `json:"deadline_ms"`
	NonIdempotent bool    `json:"non_idempotent"`
	BodyBytes     int     `json:"body_bytes"`
}

// Jobs is one kind of batch jobs with Poisson arrivals.
type JobStream struct {
	Name      string  `json:"name"`
	Customer  string  `json:"customer"`
	Class     string  `json:"class"`
	Kind      string  `json:"kind"`
	Rate      float64 `json:"rate"`
	StartMS   int64   `json:"start_ms"`
	EndMS     int64   `json:"end_ms"`
	Tasks     int     `json:"tasks"`
	MilliCPU  int64   `json:"milli_cpu"`
	MemoryMiB int64   `json:"memory_mib"`
	RunMS     int64   `json:"run_ms"`
}

// Fault is one POST of a JSON body to a control page.
type Fault struct {
	AtMS int64           `json:"at_ms"`
	URL  string          `json:"url"`
	Body json.RawMessage `json:"body"`
	Note string          `json:"note"`
}

// Error reports a field of a plan with a value that is not allowed.
type Error struct {
	Field string
	Allowed  string
}

// Error names the field and what is allowed.
func (e *Error) Error() string { return fmt.Sprintf("plan: %s: want %s", e.Field, e.Allowed) }

var portPattern = regexp.MustCompile(`\{base\+(\d+)\}`)

// Load reads a plan and checks it; the error is an [*Error] unless the file cannot be read as JSON. "{base+3}" stands for
// the port basePort+3.
//
// There is no default for the ports: an experiment that met another developer's set would put faults into it.
func Load(file string, basePort int) (Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Plan{}, err
	}
	if portPattern.Match(data) && (basePort < 1 || basePort > maxBasePort) {
		return Plan{}, &Error{"--base-port", fmt.Sprintf("1 to %d, the first port of the set under test", maxBasePort)}
	}
	data = portPattern.ReplaceAllFunc(data, func(match []byte) []byte {
		offset, _ := strconv.Atoi(string(portPattern.FindSubmatch(match)[1]))
		return strconv.AppendInt(nil, int64(basePort+offset), 10)
	})
	return Parse(data)
}

// Parse checks the JSON of a plan and fills in the defaults.
func Parse(data []byte) (Plan, error) {
	p := Plan{InFlight: 2048, SettleMS: 10_000, IntervalMS: 500, Limits: defaultLimits}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return Plan{}, err
	}
	for i := range p.Streams {
		if p.Streams[i].EndMS == 0 {
			p.Streams[i].EndMS = p.DurationMS
		}
	}
	for i := range p.Jobs {
		if p.Jobs[i].EndMS == 0 {
			p.Jobs[i].EndMS = p.DurationMS
		}
	}
	return p, p.check()
}

// Duration returns the time of arrivals.
func (p Plan) Duration() time.Duration { return time.Duration(p.DurationMS) * time.Millisecond }

// Settle returns the time after the last arrival.
func (p Plan) SettleTime() time.Duration { return time.Duration(p.SettleMS) * time.Millisecond }

func (p Plan) check() error {
	switch {
	case p.DurationMS <= 0 || p.Duration() > maxDuration:
		return &Error{"duration_ms", "1 to 3600000"}
	case p.SettleMS < 0 || p.SettleTime() > maxDuration:
		return &Error{"settle_ms", "0 to 3600000"}
	case p.InFlight < 1 || p.InFlight > maxInFlight:
		return &Error{"in_flight", fmt.Sprintf("1 to %d", maxInFlight)}
	case p.IntervalMS < 10:
		return &Error{"interval_ms", "at least 10"}
	case len(p.Entries) == 0:
		return &Error{"entries", "at least one URL"}
	case len(p.Faults) > maxFaults:
		return &Error{"faults", fmt.Sprintf("at most %d", maxFaults)}
	}
	if err := p.checkArrivals(); err != nil {
		return err
	}
	return p.checkLoopback()
}

func (p Plan) checkArrivals() error {
	sum := 0.0
	span := func(rate float64, start, end int64) bool {
		sum += rate * float64(end-start) / 1000
		return rate >= 0 && start >= 0 && start <= end && end <= p.DurationMS
	}
	for _, s := range p.Streams {
		if !span(s.Rate, s.StartMS, s.EndMS) || s.Customer == "" || s.Service == "" || s.BodyBytes < 0 || s.BodyBytes > 1<<20 {
			return &Error{"streams: " + s.Name, "a customer, a service, a rate and times within the duration, at most 1 MiB"}
		}
	}
	for _, j := range p.Jobs {
		if !span(j.Rate, j.StartMS, j.EndMS) || j.Customer == "" || j.Tasks < 1 {
			return &Error{"jobs: " + j.Name, "a customer, tasks, a rate and times within the duration"}
		}
	}
	if sum > maxArrivals {
		return &Error{"rate", fmt.Sprintf("at most %d arrivals together", maxArrivals)}
	}
	return nil
}

// checkLoopback refuses any address that is not a loopback IP number, because the tool loads what it is pointed at.
func (p Plan) checkLoopback() error {
	all := append([]string{}, p.Entries...)
	for _, f := range p.Faults {
		all = append(all, f.URL)
	}
	for _, u := range []string{p.BackendControl, p.WorkerControl, p.StoreControl} {
		if u != "" {
			all = append(all, u)
		}
	}
	for _, raw := range all {
		u, err := url.Parse(raw)
		if err != nil {
			return &Error{raw, "a URL"}
		}
		ip, err := netip.ParseAddr(u.Hostname())
		if err != nil || !ip.IsLoopback() || u.Scheme != "http" {
			return &Error{raw, "an http URL with a loopback IP number"}
		}
	}
	return nil
}
