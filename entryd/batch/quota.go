package batch

import (
	"maps"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/wire"
)

// quotaAllocator divides a customer's quota among the partitions. The process that owns the customer's home partition
// runs it.
type quotaAllocator struct {
	*jobs.QuotaAllocator
	epoch   fleet.Epoch
	startAt time.Time
}

// partitionUsage is the usage of quotas in one partition, as sent to or received from a peer. It covers the customers
// whose home partition is in homePartitions.
type partitionUsage struct {
	epoch          fleet.Epoch
	sequence       uint64
	fullSentAt     time.Time
	homePartitions []fleet.PartitionID
	customers      map[fleet.CustomerID]wire.CustomerUsage
}

// usageStream identifies the sequence of usage messages about one partition to one peer.
type usageStream struct {
	partition fleet.PartitionID
	peer      fleet.EntryHostID
}

// fullUsageInterval bounds how long the usage of a partition stays out of date at a peer after a lost message.
const fullUsageInterval = 10 * time.Second

// receiveUsage keeps the newest usage of each partition. After a lost message, changes are ignored until the next full
// message.
func (r *Runtime) receiveUsage(u wire.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.peerUsage[u.Partition]
	switch {
	case u.Epoch < old.epoch, u.Epoch == old.epoch && u.Sequence <= old.sequence:
		return
	case u.Full:
		r.peerUsage[u.Partition] = partitionUsage{epoch: u.Epoch, sequence: u.Sequence, homePartitions: u.HomePartitions, customers: u.Customers}
	case u.Epoch == old.epoch && u.Sequence == old.sequence+1:
		maps.Copy(old.customers, u.Customers)
		old.sequence = u.Sequence
		r.peerUsage[u.Partition] = old
	}
}

func (r *Runtime) receiveGrant(g wire.QuotaGrant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.ownedPartitions[g.Partition]; p != nil {
		r.stepJobs(time.Now(), p, jobs.QuotaGrant{
			Partition: g.Partition, Epoch: g.Epoch, Customer: g.Customer, Sequence: g.Sequence,
			Limit: jobs.Amount{Tasks: g.Tasks, Resources: g.Resources},
		})
	}
}

// updateQuotas sends the usage of the owned partitions to the owners of the customers' home partitions. It also
// allocates the quotas of the customers whose home partition this process owns.
func (r *Runtime) updateQuotas(now time.Time) {
	if now.Before(r.nextQuotaUpdate) {
		return
	}
	r.nextQuotaUpdate = now.Add(quotaUpdateInterval)
	owners := r.partitionsByOwner()
	for id, p := range r.ownedPartitions {
		p.quotaUsage = p.machine.QuotaUsage()
		usage := r.usageByOwner(p.quotaUsage)
		for peer, homes := range owners {
			if peer != r.Self.EntryHost {
				r.sendUsage(now, usageStream{id, peer}, p.epoch, homes, usage[peer])
			}
		}
	}
	for customer, doc := range r.configs {
		if q := doc.Document.Quota; q.RunningTasks == 0 && q.Resources.IsZero() {
			continue
		}
		for _, g := range r.allocateQuota(now, customer) {
			r.sendGrant(now, g)
		}
	}
}

// partitionsByOwner returns the partitions of each owner.
func (r *Runtime) partitionsByOwner() map[fleet.EntryHostID][]fleet.PartitionID {
	partitions := make(map[fleet.EntryHostID][]fleet.PartitionID)
	for _, id := range r.Partitions {
		if owner, known := r.lease.Owner(id); known {
			partitions[owner.EntryHost] = append(partitions[owner.EntryHost], id)
		}
	}
	return partitions
}

// customerHome returns the home partition of a customer, whose owner allocates the customer's quota.
func (r *Runtime) customerHome(customer fleet.CustomerID) fleet.PartitionID {
	id, known := r.customerHomes[customer]
	if !known {
		id = fleet.Rendezvous(string(customer), r.Partitions)
		r.customerHomes[customer] = id
	}
	return id
}

// usageByOwner groups the usage of a partition by the process that allocates the customer's quota.
func (r *Runtime) usageByOwner(all map[fleet.CustomerID]jobs.QuotaUsage) map[fleet.EntryHostID]map[fleet.CustomerID]wire.CustomerUsage {
	usage := make(map[fleet.EntryHostID]map[fleet.CustomerID]wire.CustomerUsage)
	for customer, u := range all {
		owner, known := r.lease.Owner(r.customerHome(customer))
		if !known {
			continue
		}
		if usage[owner.EntryHost] == nil {
			usage[owner.EntryHost] = make(map[fleet.CustomerID]wire.CustomerUsage)
		}
		usage[owner.EntryHost][customer] = toWireUsage(u)
	}
	return usage
}

// sendUsage sends the changes since the last message of a stream. It sends everything if the epoch or the home
// partitions of the peer have changed, or after fullUsageInterval.
func (r *Runtime) sendUsage(
	now time.Time, to usageStream, epoch fleet.Epoch, homes []fleet.PartitionID, current map[fleet.CustomerID]wire.CustomerUsage,
) {
	sent := r.sentUsage[to]
	full := sent.epoch != epoch || !slices.Equal(sent.homePartitions, homes) || now.Sub(sent.fullSentAt) >= fullUsageInterval
	if full {
		sent = partitionUsage{epoch: epoch, sequence: sent.sequence, fullSentAt: now, homePartitions: homes}
	}
	changed := make(map[fleet.CustomerID]wire.CustomerUsage)
	for customer, u := range current {
		if u != sent.customers[customer] {
			changed[customer] = u
		}
	}
	for customer := range sent.customers {
		if _, used := current[customer]; !used {
			changed[customer] = wire.CustomerUsage{}
		}
	}
	if len(changed) == 0 && !full {
		return
	}
	sent.sequence++
	sent.customers = current
	u := wire.Usage{Partition: to.partition, Epoch: epoch, Sequence: sent.sequence, Full: full, HomePartitions: homes, Customers: changed}
	if err := r.Peers.Send(to.peer, u); err != nil {
		sent.fullSentAt = time.Time{} // the next update sends everything again
	}
	r.sentUsage[to] = sent
}

func toWireUsage(u jobs.QuotaUsage) wire.CustomerUsage {
	return wire.CustomerUsage{
		Tasks: u.Used.Tasks, Resources: u.Used.Resources, LimitTasks: u.Limit.Tasks, LimitResources: u.Limit.Resources,
		RequestedTasks: u.Requested.Tasks, RequestedResources: u.Requested.Resources, GrantSequence: u.Sequence,
	}
}

// allocateQuota returns the new and the unconfirmed grants of a customer's quota. It returns nil if another process
// allocates the quota, and until quotaAllocationDelay has passed.
func (r *Runtime) allocateQuota(now time.Time, customer fleet.CustomerID) []jobs.QuotaGrant {
	p := r.ownedPartitions[r.customerHome(customer)]
	if p == nil {
		delete(r.allocators, customer)
		return nil
	}
	a := r.allocators[customer]
	if a == nil || a.epoch != p.epoch {
		a = &quotaAllocator{QuotaAllocator: jobs.NewQuotaAllocator(customer, p.epoch), epoch: p.epoch, startAt: now.Add(quotaAllocationDelay)}
		r.allocators[customer] = a
	}
	if now.Before(a.startAt) {
		return nil
	}
	reports := make(map[fleet.PartitionID]jobs.QuotaReport)
	for id, u := range r.peerUsage {
		if slices.Contains(u.homePartitions, p.id) {
			reports[id] = jobs.QuotaReport{Epoch: u.epoch, Usage: fromWireUsage(u.customers[customer])}
		}
	}
	for id, own := range r.ownedPartitions {
		reports[id] = jobs.QuotaReport{Epoch: own.epoch, Usage: own.quotaUsage[customer]}
	}
	return a.Step(r.configs[customer].Document.Quota, reports)
}

func fromWireUsage(u wire.CustomerUsage) jobs.QuotaUsage {
	return jobs.QuotaUsage{
		Used: jobs.Amount{Tasks: u.Tasks, Resources: u.Resources}, Sequence: u.GrantSequence,
		Limit:     jobs.Amount{Tasks: u.LimitTasks, Resources: u.LimitResources},
		Requested: jobs.Amount{Tasks: u.RequestedTasks, Resources: u.RequestedResources},
	}
}

func (r *Runtime) sendGrant(now time.Time, g jobs.QuotaGrant) {
	if p := r.ownedPartitions[g.Partition]; p != nil {
		r.stepJobs(now, p, g)
		return
	}
	owner, known := r.lease.Owner(g.Partition)
	if !known {
		return
	}
	// The allocator repeats a grant until the partition reports it, so a failed send needs no retry here.
	_ = r.Peers.Send(owner.EntryHost, wire.QuotaGrant{
		Partition: g.Partition, Epoch: g.Epoch, Customer: g.Customer, Sequence: g.Sequence,
		Tasks: g.Limit.Tasks, Resources: g.Limit.Resources,
	})
}
