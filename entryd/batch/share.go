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
type granter struct {
	*jobs.QuotaAllocator
	epoch fleet.Epoch
	from  time.Time
}

// accounts are the accounts of a partition, as far as the customers' quotas are divided by the owners of homes.
type accounts struct {
	epoch     fleet.Epoch
	sequence  uint64
	fullAt    time.Time
	homes     []fleet.PartitionID
	customers map[fleet.CustomerID]wire.CustomerUsage
}

// usageTo names the messages on one partition to one peer.
type usageTo struct {
	partition fleet.PartitionID
	peer      fleet.EntryHostID
}

// fullEvery bounds how long a lost message leaves the accounts of a partition out of date at a peer.
const fullEvery = 10 * time.Second

// takeUsage keeps the newest accounts of each partition. Changes that follow a lost message wait for the next full one.
func (r *Runtime) takeUsage(u wire.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.usage[u.Partition]
	switch {
	case u.Epoch < old.epoch, u.Epoch == old.epoch && u.Sequence <= old.sequence:
		return
	case u.Full:
		r.usage[u.Partition] = accounts{epoch: u.Epoch, sequence: u.Sequence, homes: u.HomePartitions, customers: u.Customers}
	case u.Epoch == old.epoch && u.Sequence == old.sequence+1:
		maps.Copy(old.customers, u.Customers)
		old.sequence = u.Sequence
		r.usage[u.Partition] = old
	}
}

func (r *Runtime) takeGrant(g wire.QuotaGrant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.parts[g.Partition]; p != nil {
		r.stepJobs(time.Now(), p, jobs.QuotaGrant{
			Partition: g.Partition, Epoch: g.Epoch, Customer: g.Customer, Sequence: g.Sequence,
			Limit: jobs.Amount{Tasks: g.Tasks, Resources: g.Resources},
		})
	}
}

// shareUsage tells the owners that divide quotas what customers hold here, and grants parts of the quotas that this
// process divides.
func (r *Runtime) shareUsage(now time.Time) {
	if now.Before(r.nextShare) {
		return
	}
	r.nextShare = now.Add(shareEvery)
	homes := r.homesByOwner()
	for id, p := range r.parts {
		p.accounts = p.machine.QuotaUsage()
		shares := r.sharesByOwner(p.accounts)
		for peer, served := range homes {
			if peer != r.Self.EntryHost {
				r.sendUsage(now, usageTo{id, peer}, p.epoch, served, shares[peer])
			}
		}
	}
	for customer, doc := range r.configs {
		if q := doc.Document.Quota; q.RunningTasks == 0 && q.Resources.IsZero() {
			continue
		}
		for _, g := range r.grant(now, customer) {
			r.sendGrant(now, g)
		}
	}
}

// homesByOwner lists the partitions of each owner.
func (r *Runtime) homesByOwner() map[fleet.EntryHostID][]fleet.PartitionID {
	homes := make(map[fleet.EntryHostID][]fleet.PartitionID)
	for _, id := range r.Partitions {
		if owner, known := r.lease.Owner(id); known {
			homes[owner.EntryHost] = append(homes[owner.EntryHost], id)
		}
	}
	return homes
}

// home returns the partition whose owner divides the quota of a customer.
func (r *Runtime) home(customer fleet.CustomerID) fleet.PartitionID {
	id, known := r.homes[customer]
	if !known {
		id = fleet.Rendezvous(string(customer), r.Partitions)
		r.homes[customer] = id
	}
	return id
}

// sharesByOwner sorts the accounts of a partition by the process that divides the customer's quota.
func (r *Runtime) sharesByOwner(all map[fleet.CustomerID]jobs.QuotaUsage) map[fleet.EntryHostID]map[fleet.CustomerID]wire.CustomerUsage {
	shares := make(map[fleet.EntryHostID]map[fleet.CustomerID]wire.CustomerUsage)
	for customer, a := range all {
		owner, known := r.lease.Owner(r.home(customer))
		if !known {
			continue
		}
		if shares[owner.EntryHost] == nil {
			shares[owner.EntryHost] = make(map[fleet.CustomerID]wire.CustomerUsage)
		}
		shares[owner.EntryHost][customer] = shareOf(a)
	}
	return shares
}

func (r *Runtime) sendUsage(
	now time.Time, to usageTo, epoch fleet.Epoch, homes []fleet.PartitionID, current map[fleet.CustomerID]wire.CustomerUsage,
) {
	sent := r.sentUsage[to]
	full := sent.epoch != epoch || !slices.Equal(sent.homes, homes) || now.Sub(sent.fullAt) >= fullEvery
	if full {
		sent = accounts{epoch: epoch, sequence: sent.sequence, fullAt: now, homes: homes}
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
		sent.fullAt = time.Time{}
	}
	r.sentUsage[to] = sent
}

func shareOf(a jobs.QuotaUsage) wire.CustomerUsage {
	return wire.CustomerUsage{
		Tasks: a.Used.Tasks, Resources: a.Used.Resources, LimitTasks: a.Limit.Tasks, LimitResources: a.Limit.Resources,
		RequestedTasks: a.Requested.Tasks, RequestedResources: a.Requested.Resources, Grant: a.Sequence,
	}
}

func (r *Runtime) grant(now time.Time, customer fleet.CustomerID) []jobs.QuotaGrant {
	p := r.parts[r.home(customer)]
	if p == nil {
		delete(r.granters, customer)
		return nil
	}
	g := r.granters[customer]
	if g == nil || g.epoch != p.epoch {
		g = &granter{QuotaAllocator: jobs.NewQuotaAllocator(customer, p.epoch), epoch: p.epoch, from: now.Add(granterDelay)}
		r.granters[customer] = g
	}
	if now.Before(g.from) {
		return nil
	}
	reports := make(map[fleet.PartitionID]jobs.QuotaReport)
	for id, u := range r.usage {
		if slices.Contains(u.homes, p.id) {
			reports[id] = jobs.QuotaReport{Epoch: u.epoch, Usage: accountOf(u.customers[customer])}
		}
	}
	for id, own := range r.parts {
		reports[id] = jobs.QuotaReport{Epoch: own.epoch, Usage: own.accounts[customer]}
	}
	return g.Step(r.configs[customer].Document.Quota, reports)
}

func accountOf(s wire.CustomerUsage) jobs.QuotaUsage {
	return jobs.QuotaUsage{
		Used: jobs.Amount{Tasks: s.Tasks, Resources: s.Resources}, Sequence: s.Grant,
		Limit: jobs.Amount{Tasks: s.LimitTasks, Resources: s.LimitResources},
		Requested:  jobs.Amount{Tasks: s.RequestedTasks, Resources: s.RequestedResources},
	}
}

func (r *Runtime) sendGrant(now time.Time, g jobs.QuotaGrant) {
	if p := r.parts[g.Partition]; p != nil {
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
