package reqs

import (
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
)

const (
	slotsPerServer = 8
	connsPerServer = 64
	// connectTimeout is how long an unreachable backend server or peer takes to be noticed.
	connectTimeout = 250 * time.Millisecond
	// retransmit is the least time that TCP waits before it repeats a lost packet.
	retransmitDelay = 200 * time.Millisecond
	// warmup covers the quarantine of shares at start, one loan TTL plus margin.
	warmupTime = 6 * time.Second
	// balancerLag is how long the platform's load balancer sends callers to a dead entry host, and listLag how long the
	// host list shows a dead worker.
	balancerDelay = time.Second
	hostListDelay = 5 * time.Second
)

// deadlines of the classes, urgent first; an urgent caller waits on the telephone.
var deadlines = [...]time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second}

// Site is a deployment of section 1.6 of the design page.
type Site struct {
	Name      string
	workers   int
	entries   int
	zones     int
	zoneDelay time.Duration
}

// Sites returns both deployments at their current size.
func Sites() []Site {
	return []Site{
		{"A", 65, 6, 3, 4500 * time.Microsecond},
		{"B", 50, 8, 4, 4 * time.Millisecond},
	}
}

func zoneName(i int) fleet.AvailabilityZone { return fleet.AvailabilityZone(fmt.Sprintf("z%d", i)) }

func (s Site) roster() []grant.Member {
	roster := make([]grant.Member, s.entries)
	for i := range roster {
		roster[i] = grant.Member{Host: fleet.EntryHostID(fmt.Sprintf("e%d", i)), Zone: zoneName(i % s.zones)}
	}
	return roster
}

func (s Site) fleet() []fleet.Worker {
	workers := make([]fleet.Worker, s.workers)
	for i := range workers {
		workers[i] = fleet.Worker{
			ID: fleet.WorkerID(fmt.Sprintf("w%02d", i)), Zone: zoneName(i % s.zones), State: fleet.HostLive,
			Slots: slotsPerServer, Connections: connsPerServer,
		}
	}
	return workers
}

// capacity returns the requests a second that the backend servers can answer.
func (s Site) capacity(mean time.Duration) float64 {
	return float64(s.workers*slotsPerServer) / mean.Seconds()
}
