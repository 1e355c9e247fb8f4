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
	Front   string
	Ready   string
	Peer    string
	Metrics string
	// Store, Advice and Machines are the addresses of the platform's services; the latter two may be empty.
	Store    string
	Advice   string
	Machines string
	// Policies names the parts of the platform's rules that are in force.
	Policies []string
	Bounds   Bounds
	Quota    StoreLimits
	// MilliCPU is the processor time of the entry host in thousandths of a core.
	MilliCPU int64
	// MemoryBytes is the limit above which the platform kills the process.
	MemoryBytes int64
}

// Bounds are the times that the platform promises or asks for.
type Bounds struct {
	// Hold is the longest lease of a worker's tasks.
	Hold time.Duration
	// Stop is how long a worker takes to stop a task.
	Stop time.Duration
	// Gang is how long a task of a gang waits for the others.
	Gang time.Duration
	// Drain is how long the callers' and workers' sides go on after a notice.
	Drain time.Duration
	// Grace is the time between the request to stop a process and its end.
	Grace time.Duration
	// Status is how long the state of a finished job is kept.
	Status time.Duration
	// Heartbeat is the time between two heartbeats of a worker.
	Heartbeat time.Duration
	// Harm is how long a serving task may miss its target because of fillers.
	Harm time.Duration
	// Early is how much before its time an occurrence may start.
	Early time.Duration
	// RemoteFactor is how many times slower a task runs away from its data.
	RemoteFactor float64
}

// StoreLimits are the calls that all processes together may make in a second.
type StoreLimits struct {
	Writes  float64
	Reads   float64
	MinTTL  time.Duration
	Entries int
}
