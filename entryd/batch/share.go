package batch

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/wire"
)

// granter divides the quota of a customer while this process owns the partition that the customer's name chooses.
type granter struct {
	*jobs.Granter
	epoch fleet.Epoch
	from  time.Time
}

// takeUsage keeps the newest usage of each partition.
func (r *Runtime) takeUsage(u wire.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.usage[u.Partition]
	if u.Epoch > old.Epoch || (u.Epoch == old.Epoch && u.Sequence > old.Sequence) {
		r.usage[u.Partition] = u
	}
}

func (r *Runtime) takeGrant(g wire.QuotaGrant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.parts[g.Partition]; p != nil {
		r.stepJobs(time.Now(), p, jobs.Grant{
			Partition: g.Partition, Epoch: g.Epoch, Customer: g.Customer, Sequence: g.Sequence,
			Limit: jobs.Holding{Tasks: g.Tasks, Resources: g.Resources},
		})
	}
}

// shareUsage tells peers what customers with a quota hold here, and grants parts of the quotas that it divides.
func (r *Runtime) shareUsage(now time.Time) {
	if now.Before(r.nextShare) {
		return
	}
	r.nextShare = now.Add(shareEvery)
	for id, p := range r.parts {
		u := wire.Usage{
			Partition: id, Epoch: p.epoch, Sequence: r.usage[id].Sequence + 1,
			Customers: make(map[fleet.CustomerID]wire.Share),
		}
		for customer, a := range p.machine.Accounts() {
			u.Customers[customer] = wire.Share{
				Tasks: a.Held.Tasks, Resources: a.Held.Resources, LimitTasks: a.Limit.Tasks, LimitResources: a.Limit.Resources,
				WantTasks: a.Want.Tasks, WantResources: a.Want.Resources, Grant: a.Sequence,
			}
		}
		r.usage[id] = u
		r.Peers.Broadcast(u)
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

func (r *Runtime) grant(now time.Time, customer fleet.CustomerID) []jobs.Grant {
	p := r.parts[fleet.Rendezvous(string(customer), r.Partitions)]
	if p == nil {
		delete(r.granters, customer)
		return nil
	}
	g := r.granters[customer]
	if g == nil || g.epoch != p.epoch {
		g = &granter{Granter: jobs.NewGranter(customer, p.epoch), epoch: p.epoch, from: now.Add(granterDelay)}
		r.granters[customer] = g
	}
	if now.Before(g.from) {
		return nil
	}
	reports := make(map[fleet.PartitionID]jobs.Report)
	for id, u := range r.usage {
		s := u.Customers[customer]
		reports[id] = jobs.Report{Epoch: u.Epoch, Account: jobs.Account{
			Held: jobs.Holding{Tasks: s.Tasks, Resources: s.Resources}, Sequence: s.Grant,
			Limit: jobs.Holding{Tasks: s.LimitTasks, Resources: s.LimitResources},
			Want:  jobs.Holding{Tasks: s.WantTasks, Resources: s.WantResources},
		}}
	}
	return g.Step(r.configs[customer].Document.Quota, reports)
}

func (r *Runtime) sendGrant(now time.Time, g jobs.Grant) {
	if p := r.parts[g.Partition]; p != nil {
		r.stepJobs(now, p, g)
		return
	}
	r.Peers.Broadcast(wire.QuotaGrant{
		Partition: g.Partition, Epoch: g.Epoch, Customer: g.Customer, Sequence: g.Sequence,
		Tasks: g.Limit.Tasks, Resources: g.Limit.Resources,
	})
}
