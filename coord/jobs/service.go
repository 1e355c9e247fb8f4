package jobs

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/wire"
)

// ReplicaPartition returns the home partition of a service replica. Replicas with consecutive indices get different
// availability zones, so that the loss of one zone leaves the others running.
func ReplicaPartition(s fleet.ServiceID, index int, partitions []fleet.PartitionID) fleet.PartitionID {
	var zones []fleet.AvailabilityZone
	for _, p := range partitions {
		if !slices.Contains(zones, p.Zone()) {
			zones = append(zones, p.Zone())
		}
	}
	if len(zones) == 0 {
		return ""
	}
	first := xxhash.Sum64String(string(s))
	zone := zones[(first+uint64(index))%uint64(len(zones))]
	var inZone []fleet.PartitionID
	for _, p := range partitions {
		if p.Zone() == zone {
			inZone = append(inZone, p)
		}
	}
	return fleet.Rendezvous(string(s)+"/"+strconv.Itoa(index), inZone)
}

// Services returns the records that configure the replicas of a customer's services in partition p.
func Services(doc config.VersionedDocument, p fleet.PartitionID, partitions []fleet.PartitionID) []ledger.ServiceConfigured {
	var all []ledger.ServiceConfigured
	for _, s := range doc.Document.Services {
		id := fleet.NewServiceID(doc.Document.Customer, s.Name)
		r := ledger.ServiceConfigured{Service: id, Class: fleet.Urgent, Resources: s.Resources, Revision: doc.Revision}
		for i := range s.Replicas {
			if ReplicaPartition(id, i, partitions) == p {
				r.Replicas = append(r.Replicas, i)
			}
		}
		if len(r.Replicas) > 0 {
			all = append(all, r)
		}
	}
	return all
}

func (m *Machine) configured(ev Configured) {
	customer := ev.Document.Document.Customer
	if old, known := m.configs[customer]; known && ev.Document.Revision <= old.Document.Revision {
		return
	}
	m.configs[customer] = ev
	m.quotas[customer] = ev.Document.Document.Quota
	m.configDirty = true
	m.placementVersion++
}

// reconcileServices appends the records that are needed to make the recorded replicas match the configuration.
func (m *Machine) reconcileServices() {
	if !m.configDirty {
		return
	}
	m.configDirty = false
	for _, customer := range slices.Sorted(maps.Keys(m.configs)) {
		ev := m.configs[customer]
		configured := make(map[fleet.ServiceID]bool)
		for _, s := range ev.Services {
			configured[s.Service] = true
			m.reconcileService(s)
		}
		for _, j := range m.jobs {
			if j.serviceID == "" || j.spec.Customer != customer || configured[j.serviceID] {
				continue
			}
			m.reconcileService(ledger.ServiceConfigured{Service: j.serviceID, Resources: j.spec.Resources, Revision: ev.Document.Revision})
		}
	}
}

// reconcileService appends the record of a service if it is newer and differs from the recorded state. While another
// record of the service is not durable yet, the check is repeated in the next tick.
func (m *Machine) reconcileService(s ledger.ServiceConfigured) {
	if m.pendingServices[s.Service] {
		m.configDirty = true
		return
	}
	j := m.jobs[serviceJob(s.Service)]
	if j == nil && len(s.Replicas) == 0 {
		return
	}
	if j != nil && (s.Revision <= j.revision || (j.spec.Resources == s.Resources && slices.Equal(j.replicas(), s.Replicas))) {
		return
	}
	m.pendingServices[s.Service] = true
	m.emit(Append{Records: []ledger.Record{s}})
}

// replicas returns the indices of the replicas that are not retired, in ascending order.
func (j *job) replicas() []int {
	var indices []int
	for _, t := range j.tasks {
		if !t.retired {
			indices = append(indices, t.index())
		}
	}
	slices.Sort(indices)
	return indices
}

// index returns the index of a task within its job.
func (t *task) index() int {
	n, err := strconv.Atoi(string(t.id[len(t.job.spec.Job)+1:]))
	if err != nil {
		return -1
	}
	return n
}

func (m *Machine) applyService(r ledger.ServiceConfigured) bool {
	id := serviceJob(r.Service)
	j := m.jobs[id]
	if j == nil {
		j = &job{serviceID: r.Service}
		m.jobs[id] = j
	} else if r.Revision <= j.revision {
		return false
	}
	j.revision = r.Revision
	j.spec = ledger.Spec{
		Job: id, Customer: r.Service.Customer(), Class: r.Class, Kind: r.Service.Name(),
		Tasks: len(r.Replicas), Resources: r.Resources,
	}
	for _, t := range slices.Clone(j.tasks) {
		t.retired = !slices.Contains(r.Replicas, t.index())
		if t.retired && t.state == StateWaiting {
			m.removeTask(t)
		}
	}
	for _, i := range r.Replicas {
		if m.tasks[taskID(id, i)] == nil {
			t := &task{id: taskID(id, i), job: j, state: StateWaiting}
			j.tasks = append(j.tasks, t)
			m.tasks[t.id] = t
		}
	}
	return true
}

func (m *Machine) serviceConfigured(now time.Time, r ledger.ServiceConfigured) {
	delete(m.pendingServices, r.Service)
	existing := make(map[fleet.TaskID]bool)
	if j := m.jobs[serviceJob(r.Service)]; j != nil {
		for _, t := range j.tasks {
			existing[t.id] = true
			if t.reservedOn != "" && !slices.Contains(r.Replicas, t.index()) {
				m.unreserve(now, t)
			}
		}
	}
	if !m.apply(r) {
		return
	}
	j := m.jobs[serviceJob(r.Service)]
	m.endpointsChanged = true
	m.log("jobs: service configured", "service", r.Service, "replicas", r.Replicas, "revision", r.Revision)
	for _, t := range j.tasks {
		switch {
		case t.state == StateWaiting && !existing[t.id]:
			m.enqueue(t)
		case t.retired && t.state.live() && t.startSent:
			m.stop(now, t, false)
		}
	}
}

// replicaRemoved frees the worker and the quota of a retired replica, whose task was removed when r was applied.
func (m *Machine) replicaRemoved(now time.Time, r ledger.AttemptEnded) {
	for _, w := range m.sortedWorkers {
		if t := w.tasks[r.Task]; t != nil && t.attempt == r.Attempt {
			m.releaseWorker(now, t, r)
			m.log("jobs: replica removed", "task", r.Task, "attempt", r.Attempt, "worker", w.info.ID)
			return
		}
	}
}

// publish announces the running replicas when they change, and periodically for processes that have just started.
func (m *Machine) publish(now time.Time) {
	if !m.permit.Renew || (!m.endpointsChanged && now.Before(m.nextPublish)) {
		return
	}
	m.nextPublish = now.Add(publishInterval)
	if m.endpointsChanged {
		m.endpointsChanged = false
		running := m.runningReplicas()
		if !maps.EqualFunc(running, m.published, slices.Equal) {
			m.published = running
			m.endpointsSequence++
		}
	}
	m.emit(PublishEndpoints{Endpoints: wire.Endpoints{
		Partition: m.partition, Epoch: m.epoch, Sequence: m.endpointsSequence, Services: m.published,
	}})
}

// runningReplicas returns the workers of the running replicas of each service. Replicas that are being evicted or
// retired are excluded, so that they get no new requests.
func (m *Machine) runningReplicas() map[fleet.ServiceID][]fleet.WorkerID {
	running := make(map[fleet.ServiceID][]fleet.WorkerID)
	for _, j := range m.jobs {
		if j.serviceID == "" {
			continue
		}
		workers := []fleet.WorkerID{}
		for _, t := range j.tasks {
			if t.state == StateRunning && !t.retired {
				workers = append(workers, t.worker)
			}
		}
		slices.Sort(workers)
		running[j.serviceID] = workers
	}
	return running
}

// HomePartition returns the partition to which a job is submitted.
func HomePartition(job fleet.JobID, partitions []fleet.PartitionID) fleet.PartitionID {
	return fleet.Rendezvous(string(job), partitions)
}
