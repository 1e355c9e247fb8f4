package jobs

import (
	"fmt"
	"maps"
	"slices"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
)

// Account is what a partition holds of a customer's quota, what it may hold, and what its waiting tasks ask for beyond.
type QuotaUsage struct {
	Used  Amount
	Limit Amount
	Requested  Amount
	// Sequence is that of the last grant that Limit reflects.
	Sequence uint64
}

// Grant raises the limit of a partition; it concerns only the owner with the given epoch.
type QuotaGrant struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Customer  fleet.CustomerID
	Limit     Amount
	Sequence  uint64
}

// Report is the account of a partition under an epoch.
type QuotaReport struct {
	Epoch   fleet.Epoch
	Usage QuotaUsage
}

// Granter divides the quota of one customer over the partitions. It runs at the owner of one partition and keeps only
// grants that have not been reported back; a partition gives back on its own what it does not need.
type QuotaAllocator struct {
	customer fleet.CustomerID
	sequence uint64
	open     map[fleet.PartitionID]QuotaGrant
	turn     int
}

// NewGranter returns a granter whose grants take precedence over those under a lower epoch.
func NewQuotaAllocator(customer fleet.CustomerID, epoch fleet.Epoch) *QuotaAllocator {
	return &QuotaAllocator{customer: customer, sequence: uint64(epoch) << 32, open: make(map[fleet.PartitionID]QuotaGrant)}
}

// Step returns the grants that follow from the newest reports, and repeats those that were not reported back.
func (g *QuotaAllocator) Step(quota config.Quota, reports map[fleet.PartitionID]QuotaReport) []QuotaGrant {
	left := Amount{Tasks: quota.RunningTasks, Resources: quota.Resources}
	var wanting []fleet.PartitionID
	for _, p := range slices.Sorted(maps.Keys(reports)) {
		r := reports[p]
		if open, waits := g.open[p]; waits && (open.Epoch < r.Epoch || open.Sequence <= r.Usage.Sequence) {
			delete(g.open, p)
		}
		limit := g.limit(p, r)
		left.Tasks -= limit.Tasks
		left.Resources = left.Resources.Sub(limit.Resources)
		if _, waits := g.open[p]; !waits && r.Usage.Requested.Tasks > 0 {
			wanting = append(wanting, p)
		}
	}
	for i := range wanting {
		p := wanting[(i+g.turn)%len(wanting)]
		left = g.grant(p, quota, reports[p], left, len(wanting)-i)
	}
	g.turn++
	return slices.Collect(maps.Values(g.open))
}

// limit is the most that a partition may hold by what is known.
func (g *QuotaAllocator) limit(p fleet.PartitionID, r QuotaReport) Amount {
	limit := r.Usage.Limit
	limit.Tasks = max(limit.Tasks, r.Usage.Used.Tasks)
	limit.Resources = limit.Resources.Max(r.Usage.Used.Resources)
	if open, waits := g.open[p]; waits {
		limit.Tasks = max(limit.Tasks, open.Limit.Tasks)
		limit.Resources = limit.Resources.Max(open.Limit.Resources)
	}
	return limit
}

// grant gives a partition its part of what is left, at least one task, and returns the rest.
func (g *QuotaAllocator) grant(p fleet.PartitionID, quota config.Quota, r QuotaReport, left Amount, sharers int) Amount {
	want := r.Usage.Requested
	n := want.Tasks
	if quota.RunningTasks > 0 {
		n = min(n, left.Tasks, max(1, left.Tasks/sharers))
	}
	each := scale(want.Resources, 1, int64(want.Tasks))
	n = min(n, affordable(quota.Resources, left.Resources, each, int64(sharers)))
	if n <= 0 {
		return left
	}
	more := scale(each, int64(n), 1)
	limit := g.limit(p, r)
	g.sequence++
	g.open[p] = QuotaGrant{
		Partition: p, Epoch: r.Epoch, Customer: g.customer, Sequence: g.sequence,
		Limit: Amount{Tasks: limit.Tasks + n, Resources: limit.Resources.Add(more)},
	}
	return Amount{Tasks: left.Tasks - n, Resources: left.Resources.Sub(more)}
}

// affordable returns how many tasks of a size a part of the rest holds, at least one if the whole rest holds one.
func affordable(quota, left, each fleet.Resources, sharers int64) int {
	most := int64(1 << 30)
	for _, k := range [...][3]int64{
		{quota.MilliCPU, left.MilliCPU, each.MilliCPU},
		{quota.MemoryBytes, left.MemoryBytes, each.MemoryBytes},
		{quota.Accelerators, left.Accelerators, each.Accelerators},
	} {
		if k[0] > 0 && k[2] > 0 {
			most = min(most, max(k[1]/k[2]/sharers, min(1, k[1]/k[2])))
		}
	}
	return int(most)
}

func scale(r fleet.Resources, by, over int64) fleet.Resources {
	return fleet.Resources{
		MilliCPU: r.MilliCPU * by / over, MemoryBytes: r.MemoryBytes * by / over, Accelerators: r.Accelerators * by / over,
	}
}

// limited reports whether a customer has a quota for tasks or resources.
func limited(q config.Quota) bool { return q.RunningTasks > 0 || !q.Resources.IsZero() }

// overQuota returns why a customer may not start another task of the shape, or "".
func (m *Machine) overQuota(s shape) string {
	quota := m.quotas[s.customer]
	if !limited(quota) {
		return ""
	}
	limit, held := m.limits[s.customer].Limit, m.held[s.customer]
	if quota.RunningTasks > 0 && held.Tasks >= limit.Tasks {
		return fmt.Sprintf("quota of customer %s: %d running tasks, %d of them in this partition", s.customer, quota.RunningTasks, limit.Tasks)
	}
	rest := limit.Resources.Sub(held.Resources)
	for _, k := range [...][3]int64{
		{quota.Resources.MilliCPU, rest.MilliCPU, s.resources.MilliCPU},
		{quota.Resources.MemoryBytes, rest.MemoryBytes, s.resources.MemoryBytes},
		{quota.Resources.Accelerators, rest.Accelerators, s.resources.Accelerators},
	} {
		if k[0] > 0 && k[1] < k[2] {
			return fmt.Sprintf("quota of customer %s: %v, %v of it in this partition", s.customer, quota.Resources, limit.Resources)
		}
	}
	return ""
}

// Accounts returns the accounts of the customers with a quota. A customer without waiting tasks gives back what it does
// not hold.
func (m *Machine) QuotaUsage() map[fleet.CustomerID]QuotaUsage {
	want := make(map[fleet.CustomerID]Amount)
	for _, q := range m.byShape {
		n := min(len(q.resumed)+len(q.fresh), maxWant)
		w := want[q.shape.customer]
		w.Tasks += n
		w.Resources = w.Resources.Add(scale(q.shape.resources, int64(n), 1))
		want[q.shape.customer] = w
	}
	all := make(map[fleet.CustomerID]QuotaUsage)
	for customer, quota := range m.quotas {
		if !limited(quota) {
			continue
		}
		a := m.limits[customer]
		a.Used, a.Requested = m.held[customer], want[customer]
		if a.Requested.Tasks == 0 {
			a.Limit = a.Used
		}
		m.limits[customer] = a
		if a.Used.Tasks > 0 || a.Requested.Tasks > 0 || a.Sequence > 0 {
			all[customer] = a
		}
	}
	return all
}

// maxWant bounds what one shape asks for at a time, so that one partition does not take a whole quota at once.
const maxWant = 256

// granted applies a grant; an older one than the last changes nothing.
func (m *Machine) granted(g QuotaGrant) {
	a := m.limits[g.Customer]
	if g.Epoch != m.epoch || g.Sequence <= a.Sequence {
		return
	}
	a.Limit, a.Sequence = g.Limit, g.Sequence
	m.limits[g.Customer] = a
	m.version++
}
