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
	// connectTimeout is the time after which a connection attempt to a dead backend server or peer fails.
	connectTimeout = 250 * time.Millisecond
	// retransmitDelay is the minimum retransmission timeout of TCP.
	retransmitDelay = 200 * time.Millisecond
	// warmupTime exceeds the time for which entry hosts do not use their own share of slots after a start, which is one
	// loan TTL plus a margin.
	warmupTime = 6 * time.Second
	// balancerDelay is the time for which the load balancer of the platform still sends requests to a dead entry host,
	// and hostListDelay the time for which the host list still contains a dead worker.
	balancerDelay = time.Second
	hostListDelay = 5 * time.Second
)

// deadlines holds the deadlines by class, the most urgent first. Urgent requests serve people who wait on the
// telephone.
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

// capacity returns the requests per second that all backend servers can answer, for a mean service time.
func (s Site) capacity(mean time.Duration) float64 {
	return float64(s.workers*slotsPerServer) / mean.Seconds()
}
