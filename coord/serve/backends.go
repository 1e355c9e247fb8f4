package serve

import (
	"cmp"
	"maps"
	"slices"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/sets"
	"lovagefork.example/coord/wire"
)

// backends maps services to the workers that run their replicas.
type backends struct {
	workers   map[fleet.WorkerID]fleet.Worker
	live      []fleet.WorkerID
	endpoints map[fleet.PartitionID]wire.Endpoints
	services  map[fleet.ServiceID][]fleet.WorkerID
}

func newBackends() backends {
	return backends{endpoints: make(map[fleet.PartitionID]wire.Endpoints)}
}

func (b *backends) observe(workers []fleet.Worker) {
	b.workers = make(map[fleet.WorkerID]fleet.Worker, len(workers))
	b.live = nil
	for _, w := range workers {
		b.workers[w.ID] = w
		if w.State == fleet.HostLive {
			b.live = append(b.live, w.ID)
		}
	}
	slices.Sort(b.live)
}

// updateEndpoints stores the endpoints of a partition unless the stored ones have the same or a later version.
func (b *backends) updateEndpoints(e wire.Endpoints) {
	stored, found := b.endpoints[e.Partition]
	if found && cmp.Or(cmp.Compare(stored.Epoch, e.Epoch), cmp.Compare(stored.Sequence, e.Sequence)) >= 0 {
		return
	}
	b.endpoints[e.Partition] = e
	workersOf := make(map[fleet.ServiceID]sets.Set[fleet.WorkerID])
	for _, endpoints := range b.endpoints {
		for service, workers := range endpoints.Services {
			workersOf[service] = sets.Of(slices.Concat(workers, sets.Sorted(workersOf[service]))...)
		}
	}
	b.services = make(map[fleet.ServiceID][]fleet.WorkerID, len(workersOf))
	for _, service := range slices.Sorted(maps.Keys(workersOf)) {
		b.services[service] = sets.Sorted(workersOf[service])
	}
}

// workersFor returns the workers that run a service, or all live workers if no endpoint of the service is known.
func (b *backends) workersFor(service fleet.ServiceID) []fleet.WorkerID {
	if workers := b.services[service]; len(workers) > 0 {
		return workers
	}
	return b.live
}
