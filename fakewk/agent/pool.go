package agent

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

const tickInterval = 10 * time.Millisecond

// Layout describes the emulated workers. Worker i of zone z is named "<z>-w<i>" and is in rack "<z>-r<i/RackSize>".
type Layout struct {
	Zones       []string
	PerZone     int
	RackSize    int
	Capacity    fleet.Resources
	Slots       int
	Connections int
	// AgentURL and BackendURL are templates: {worker} is replaced by the worker name, and {port} by BackendPort plus
	// the index of the worker over all zones.
	AgentURL    string
	BackendURL  string
	BackendPort int
	// UsageLag is the interval between usage reports.
	UsageLag time.Duration
}

// Workers returns the workers of the layout ordered by their index.
func (l Layout) Workers() []fleet.Worker {
	var all []fleet.Worker
	for _, zone := range l.Zones {
		for i := range l.PerZone {
			w := fleet.Worker{
				ID:          fleet.WorkerID(fmt.Sprintf("%s-w%d", zone, i)),
				Rack:        fleet.RackID(fmt.Sprintf("%s-r%d", zone, i/max(1, l.RackSize))),
				Zone:        fleet.AvailabilityZone(zone),
				State:       fleet.HostLive,
				Capacity:    l.Capacity,
				Slots:       l.Slots,
				Connections: l.Connections,
			}
			expand := strings.NewReplacer("{worker}", string(w.ID), "{port}", strconv.Itoa(l.BackendPort+len(all))).Replace
			w.AgentURL, w.BackendURL = expand(l.AgentURL), expand(l.BackendURL)
			all = append(all, w)
		}
	}
	return all
}

// Pool is a set of emulated workers and their host list.
type Pool struct {
	workerList []*worker
	workers    map[fleet.WorkerID]*worker
	auditor    *auditor

	mu          sync.Mutex
	settings    Settings
	hostList    plat.HostList
	publishedAt time.Time
}

// Settings configures the injected faults. A POST to the control page changes only the fields present in its body.
type Settings struct {
	// ListLagMS is the interval in milliseconds at which the host list is published.
	ListLagMS int `json:"list_lag_ms"`
	// ListOutage rejects reads of the host list with status 503.
	ListOutage bool `json:"list_outage"`
	// Kinds holds the properties of task kinds; a POST replaces them as a whole.
	Kinds KindProperties `json:"pairs"`
	// Workers holds the faults by worker; a worker without an entry has none.
	Workers map[fleet.WorkerID]WorkerFault `json:"workers"`
}

// New returns a pool of idle workers that publishes its host list at the given interval.
func New(l Layout, listLag time.Duration) *Pool {
	p := &Pool{
		workers:  make(map[fleet.WorkerID]*worker),
		auditor:  newAuditor(),
		settings: Settings{ListLagMS: int(listLag.Milliseconds()), Workers: make(map[fleet.WorkerID]WorkerFault)},
	}
	for _, info := range l.Workers() {
		w := newWorker(info, p.auditor, l.UsageLag)
		p.workerList = append(p.workerList, w)
		p.workers[info.ID] = w
	}
	p.publishHosts(time.Now())
	return p
}

// Run advances the tasks of all workers and publishes the host list until ctx is done.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			for _, w := range p.workerList {
				w.tick(now)
			}
			p.mu.Lock()
			if now.Sub(p.publishedAt) >= time.Duration(p.settings.ListLagMS)*time.Millisecond {
				p.publishHosts(now)
			}
			p.mu.Unlock()
		}
	}
}

// publishHosts replaces the published host list. The caller must hold mu, except in New.
func (p *Pool) publishHosts(now time.Time) {
	p.publishedAt = now
	p.hostList = plat.HostList{Hosts: make([]fleet.Worker, 0, len(p.workerList))}
	for _, w := range p.workerList {
		if info, ok := p.settings.Workers[w.info.ID].hostListEntry(w.info, now); ok {
			p.hostList.Hosts = append(p.hostList.Hosts, info)
		}
	}
}

func (p *Pool) hosts(now time.Time) (plat.HostList, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.hostList
	list.AgeMS = now.Sub(p.publishedAt).Milliseconds()
	return list, !p.settings.ListOutage
}
