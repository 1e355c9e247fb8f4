package infra

import (
	"time"

	"lovagefork.example/coord/fleet"
)

// Settings holds an entry process's addresses and limits, and those of the platform that it runs on.
type Settings struct {
	EntryHost fleet.EntryHostID
	Zone      fleet.AvailabilityZone
	IP        string
	// The addresses on which the process listens, as "ip:port": FrontAddr for callers' requests, ReadyAddr for the
	// load balancer's probes, PeerAddr for links from other entry processes, and MetricsAddr for metrics.
	FrontAddr   string
	ReadyAddr   string
	PeerAddr    string
	MetricsAddr string
	// The addresses of the platform's services, as "ip:port". PolicyAddr and MachinesAddr may be empty.
	StoreAddr    string
	PolicyAddr   string
	MachinesAddr string
	// Policies lists the platform's policies that are enabled.
	Policies    []string
	Bounds      Bounds
	StoreLimits StoreLimits
	// MilliCPU is the processor time of the entry host in thousandths of a core.
	MilliCPU int64
	// LinkBitsPerSecond is the bandwidth of the entry host's link in each direction; 0 if it is unknown.
	LinkBitsPerSecond int64
	// MemoryBytes is the limit above which the platform kills the process.
	MemoryBytes int64
}

// Bounds holds the time limits that the platform guarantees or requires.
type Bounds struct {
	// MaxLease is the maximum duration of the lease on a worker's tasks.
	MaxLease time.Duration
	// StopTimeout is the maximum time that a worker takes to stop a task.
	StopTimeout time.Duration
	// GangTimeout is how long a task of a gang waits for the other tasks of the gang.
	GangTimeout time.Duration
	// DrainTimeout is how long callers and workers keep working after a drain notice.
	DrainTimeout time.Duration
	// GracePeriod is the time between the request to stop a process and its forced end.
	GracePeriod time.Duration
	// StatusRetention is how long the state of a finished job is kept.
	StatusRetention time.Duration
	// HeartbeatInterval is the time between two heartbeats of a worker.
	HeartbeatInterval time.Duration
	// MaxTargetMiss is how long a serving task may exceed its latency target because of fillers.
	MaxTargetMiss time.Duration
	// MaxEarlyStart is how long before its scheduled time an occurrence may start.
	MaxEarlyStart time.Duration
	// RemoteFactor is how many times slower a task runs outside the rack of its data.
	RemoteFactor float64
}

// StoreLimits holds the limits of the platform's store. The rates apply to all entry processes together, MinTTL is
// the shortest lease, and MaxTxnEntries the maximum number of entries in one transaction.
type StoreLimits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	MinTTL          time.Duration
	MaxTxnEntries   int
}
