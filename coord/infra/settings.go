package infra

import (
	"time"

	"lovagefork.example/coord/fleet"
)

// Settings is what a process on an entry host is told about itself and its platform.
type Settings struct {
	EntryHost fleet.EntryHostID
	Zone      fleet.AvailabilityZone
	IP        string
	// Front takes callers' requests, Ready the balancer's probes, Peer links from other entry processes, and Metrics serves
	// counters; each is "ip:port".
	FrontAddr   string
	ReadyAddr   string
	PeerAddr    string
	MetricsAddr string
	// Store, Advice and Machines are the addresses of the platform's services; the latter two may be empty.
	StoreAddr    string
	PolicyAddr   string
	MachinesAddr string
	// Policies names the parts of the platform's rules that are in force.
	Policies    []string
	Bounds      Bounds
	StoreLimits StoreLimits
	// MilliCPU is the processor time of the entry host in thousandths of a core.
	MilliCPU int64
	// MemoryBytes is the limit above which the platform kills the process.
	MemoryBytes int64
}

// Bounds are the times that the platform promises or asks for.
type Bounds struct {
	// Hold is the longest lease of a worker's tasks.
	MaxLease time.Duration
	// Stop is how long a worker takes to stop a task.
	StopTimeout time.Duration
	// Gang is how long a task of a gang waits for the others.
	GangTimeout time.Duration
	// Drain is how long the callers' and workers' sides go on after a notice.
	DrainTimeout time.Duration
	// Grace is the time between the request to stop a process and its end.
	GracePeriod time.Duration
	// Status is how long the state of a finished job is kept.
	StatusRetention time.Duration
	// Heartbeat is the time between two heartbeats of a worker.
	HeartbeatInterval time.Duration
	// Harm is how long a serving task may miss its target because of fillers.
	MaxTargetMiss time.Duration
	// Early is how much before its time an occurrence may start.
	MaxEarlyStart time.Duration
	// RemoteFactor is how many times slower a task runs away from its data.
	RemoteFactor float64
}

// StoreLimits are the calls that all processes together may make in a second.
type StoreLimits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	MinTTL          time.Duration
	MaxTxnEntries   int
}
