package batch

import (
	"maps"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/wire"
)

// granter divides the quota of a customer while this process owns the partition that the customer's name chooses.
type quotaAllocator struct {
	*jobs.QuotaAllocator
	epoch fleet.Epoch
	startAt  time.Time
}

// accounts are the accounts of a partition, as far as the customers' quotas are divided by the owners of homes.
type partitionUsage struct {
	epoch     fleet.Epoch
	sequence  uint64
	fullSentAt    time.Time
	homePartitions     []fleet.PartitionID
	customers map[fleet.CustomerID]wire.CustomerUsage
}

// usageTo names the messages on one partition to one peer.
type usageStream struct {
	partition fleet.PartitionID
	peer      fleet.EntryHostID
}

// fullEvery bounds how long a lost message leaves the accounts of a partition out of date at a peer.
const fullUsageInterval = 10 * time.Second

// takeUsage keeps the newest accounts of each partition. Changes that follow a lost message wait for the next full one.
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
	if p := r.owned[g.Partition]; p != nil {
		r.stepJobs(time.Now(), p, jobs.QuotaGrant{
			Partition: g.Partition, Epoch: g.Epoch, Customer: g.Customer, Sequence: g.Sequence,
			Limit: jobs.Amount{Tasks: g.Tasks, Resources: g.Resources},
		})
	}
}

// shareUsage tells the owners that divide quotas what customers hold here, and grants parts of the quotas that this
// process divides.
func (r *Runtime) updateQuotas(now time.Time) {
	if now.Before(r.nextQuotaUpdate) {
		return
	}
	r.nextQuotaUpdate = now.Add(quotaUpdateInterval)
	homes := r.partitionsByOwner()
	for id, p := range r.owned {
		p.quotaUsage = p.machine.QuotaUsage()
		shares := r.usageByOwner(p.quotaUsage)
		for peer, served := range homes {
			if peer != r.Self.EntryHost {
				r.sendUsage(now, usageStream{id, peer}, p.epoch, served, shares[peer])
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

// homesByOwner lists the partitions of each owner.
func (r *Runtime) partitionsByOwner() map[fleet.EntryHostID][]fleet.PartitionID {
	homes := make(map[fleet.EntryHostID][]fleet.PartitionID)
	for _, id := range r.Partitions {
		if owner, known := r.lease.Owner(id); known {
			homes[owner.EntryHost] = append(homes[owner.EntryHost], id)
		}
	}
	return homes
}

// home returns the partition whose owner divides the quota of a customer.
func (r *Runtime) customerHome(customer fleet.CustomerID) fleet.PartitionID {
	id, known := r.customerHomes[customer]
	if !known {
		id = fleet.Rendezvous(string(customer), r.Partitions)
		r.customerHomes[customer] = id
	}
	return id
}

// sharesByOwner sorts the accounts of a partition by the process that divides the customer's quota.
func (r *Runtime) usageByOwner(all map[fleet.CustomerID]jobs.QuotaUsage) map[fleet.EntryHostID]map[fleet.CustomerID]wire.CustomerUsage {
	shares := make(map[fleet.EntryHostID]map[fleet.CustomerID]wire.CustomerUsage)
	for customer, a := range all {
		owner, known := r.lease.Owner(r.customerHome(customer))
		if !known {
			continue
		}
		if shares[owner.EntryHost] == nil {
			shares[owner.EntryHost] = make(map[fleet.CustomerID]wire.CustomerUsage)
		}
		shares[owner.EntryHost][customer] = toWireUsage(a)
	}
	return shares
}

func (r *Runtime) sendUsage(
	now time.Time, to usageStream, epoch fleet.Epoch, homes []fleet.PartitionID, current map[fleet.CustomerID]wire.CustomerUsage,
) {
	sent := r.sentUsage[to]
	full := sent.epoch != epoch || !slices.Equal(sent.homePartitions, homes) || now.Sub(sent.fullSentAt) >= fullUsageInterval
	if full {
		sent = partitionUsage{epoch: epoch, sequence: sent.sequence, fullSentAt: now, homePartitions: homes}
	}
	changed := make(map[fleet.CustomerID]wire.CustomerUsage)
	for customer, s := range current {
		if s != sent.customers[customer] {
			changed[customer] = s
		}
	}
	for customer := range sent.customers {
		if _, still := current[customer]; !still {
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
		sent.fullSentAt = time.Time{}
	}
	r.sentUsage[to] = sent
}

func toWireUsage(a jobs.QuotaUsage) wire.CustomerUsage {
	return wire.CustomerUsage{
		Tasks: a.Used.Tasks, Resources: a.Used.Resources, LimitTasks: a.Limit.Tasks, LimitResources: a.Limit.Resources,
		RequestedTasks: a.Requested.Tasks, RequestedResources: a.Requested.Resources, Grant: a.Sequence,
	}
}

func (r *Runtime) allocateQuota(now time.Time, customer fleet.CustomerID) []jobs.QuotaGrant {
	p := r.owned[r.customerHome(customer)]
	if p == nil {
		delete(r.allocators, customer)
		return nil
	}
	g := r.allocators[customer]
	if g == nil || g.epoch != p.epoch {
		g = &quotaAllocator{QuotaAllocator: jobs.NewQuotaAllocator(customer, p.epoch), epoch: p.epoch, startAt: now.Add(quotaAllocationDelay)}
		r.allocators[customer] = g
	}
	if now.Before(g.startAt) {
		return nil
	}
	reports := make(map[fleet.PartitionID]jobs.QuotaReport)
	for id, u := range r.peerUsage {
		if slices.Contains(u.homePartitions, p.id) {
			reports[id] = jobs.QuotaReport{Epoch: u.epoch, Usage: fromWireUsage(u.customers[customer])}
		}
	}
	for id, own := range r.owned {
		reports[id] = jobs.QuotaReport{Epoch: own.epoch, Usage: own.quotaUsage[customer]}
	}
	return g.Step(r.configs[customer].Document.Quota, reports)
}

func fromWireUsage(s wire.CustomerUsage) jobs.QuotaUsage {
	return jobs.QuotaUsage{
		Used: jobs.Amount{Tasks: s.Tasks, Resources: s.Resources}, Sequence: s.Grant,
		Limit: jobs.Amount{Tasks: s.LimitTasks, Resources: s.LimitResources},
		Requested:  jobs.Amount{Tasks: s.RequestedTasks, Resources: s.RequestedResources},
	}
}

func (r *Runtime) sendGrant(now time.Time, g jobs.QuotaGrant) {
	if p := r.owned[g.Partition]; p != nil {
		r.stepJobs(now, p, g)
		return
	}
	owner, known := r.lease.Owner(g.Partition)
	if !known {
		return
	}
	// A grant that is lost is sent again, because it stays open until the partition reports it.
	_ = r.Peers.Send(owner.EntryHost, wire.QuotaGrant{
		Partition: g.Partition, Epoch: g.Epoch, Customer: g.Customer, Sequence: g.Sequence,
		Tasks: g.Limit.Tasks, Resources: g.Limit.Resources,
	})
}
