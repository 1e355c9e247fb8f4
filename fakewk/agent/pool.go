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

// Layout describes the emulated workers; worker i of zone z is named "<z>-w<i>", and i/RackSize is its rack.
type Layout struct {
	Zones       []string
	PerZone     int
	RackSize    int
	Capacity    fleet.Resources
	Slots       int
	Connections int
	// AgentURL and BackendURL are templates; {worker} is replaced by the name and {port} by BackendPort plus the index of
	// the worker over all zones.
	AgentURL    string
	BackendURL  string
	BackendPort int
	// UsageLag is the age that a usage report reaches before it is renewed.
	UsageLag time.Duration
}

// Workers returns the workers of the layout in the order of their index.
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

// Settings are the faults of the pool; the control page changes only the fields that a request names.
type Settings struct {
	// ListLagMS is the age that the host list reaches before it is published again.
	ListLagMS int `json:"list_lag_ms"`
	// ListOutage refuses reads of the host list with 503.
	ListOutage bool           `json:"list_outage"`
	Kinds      KindProperties `json:"pairs"`
	// Workers holds the faults by worker name; a worker that is not named is healthy.
	Workers map[fleet.WorkerID]WorkerFault `json:"workers"`
}

// New returns a pool of idle workers with the given lag of the host list.
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

// Run moves the tasks of all workers forward until ctx ends.
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

// publish takes a new host list; the caller holds mu or is alone.
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
