package batch

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/wire"
)

// takeUsage keeps the newest usage of each partition.
func (r *Runtime) takeUsage(u wire.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.usage[u.Partition]
	if u.Epoch > old.Epoch || (u.Epoch == old.Epoch && u.Sequence > old.Sequence) {
		r.usage[u.Partition] = u
	}
}

// shareUsage tells peers and own partitions what each customer holds, by which quotas are divided.
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
		for customer, h := range p.machine.Held() {
			u.Customers[customer] = wire.Share{Tasks: h.Tasks, Resources: h.Resources}
		}
		r.usage[id] = u
		r.Peers.Broadcast(u)
	}
	total := r.totalUsage()
	for i, id := range r.Partitions {
		if p := r.parts[id]; p != nil {
			r.stepJobs(now, p, jobs.Shares{
				Others:  without(total, r.usage[id]),
				Divisor: len(r.Partitions),
				Turn:    now.Unix()%int64(len(r.Partitions)) == int64(i),
			})
		}
	}
}

func (r *Runtime) totalUsage() map[fleet.CustomerID]jobs.Holding {
	total := make(map[fleet.CustomerID]jobs.Holding)
	for _, u := range r.usage {
		for customer, s := range u.Customers {
			h := total[customer]
			total[customer] = jobs.Holding{Tasks: h.Tasks + s.Tasks, Resources: h.Resources.Add(s.Resources)}
		}
	}
	return total
}

func without(total map[fleet.CustomerID]jobs.Holding, own wire.Usage) map[fleet.CustomerID]jobs.Holding {
	others := make(map[fleet.CustomerID]jobs.Holding, len(total))
	for customer, h := range total {
		s := own.Customers[customer]
		others[customer] = jobs.Holding{Tasks: h.Tasks - s.Tasks, Resources: h.Resources.Sub(s.Resources)}
	}
	return others
}
