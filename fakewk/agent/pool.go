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
	order   []*worker
	workers map[fleet.WorkerID]*worker
	audit   *audit

	mu        sync.Mutex
	set       Settings
	published plat.HostList
	at        time.Time
}

// Settings are the faults of the pool; the control page changes only the fields that a request names.
type Settings struct {
	// ListLagMS is the age that the host list reaches before it is published again.
	ListLagMS int `json:"list_lag_ms"`
	// ListOutage refuses reads of the host list with 503.
	ListOutage bool  `json:"list_outage"`
	Kinds      KindProperties `json:"pairs"`
	// Workers holds the faults by worker name; a worker that is not named is healthy.
	Workers map[fleet.WorkerID]WorkerFault `json:"workers"`
}

// New returns a pool of idle workers with the given lag of the host list.
func New(l Layout, listLag time.Duration) *Pool {
	p := &Pool{
		workers: make(map[fleet.WorkerID]*worker),
		audit:   newAudit(),
		set:     Settings{ListLagMS: int(listLag.Milliseconds()), Workers: make(map[fleet.WorkerID]WorkerFault)},
	}
	for _, info := range l.Workers() {
		w := newWorker(info, p.audit, l.UsageLag)
		p.order = append(p.order, w)
		p.workers[info.ID] = w
	}
	p.publish(time.Now())
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
			for _, w := range p.order {
				w.tick(now)
			}
			p.mu.Lock()
			if now.Sub(p.at) >= time.Duration(p.set.ListLagMS)*time.Millisecond {
				p.publish(now)
			}
			p.mu.Unlock()
		}
	}
}

// publish takes a new host list; the caller holds mu or is alone.
func (p *Pool) publish(now time.Time) {
	p.at = now
	p.published = plat.HostList{Hosts: make([]fleet.Worker, 0, len(p.order))}
	for _, w := range p.order {
		if info, ok := p.set.Workers[w.info.ID].listed(w.info, now); ok {
			p.published.Hosts = append(p.published.Hosts, info)
		}
	}
}

func (p *Pool) hosts(now time.Time) (plat.HostList, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.published
	list.AgeMS = now.Sub(p.at).Milliseconds()
	return list, !p.set.ListOutage
}
