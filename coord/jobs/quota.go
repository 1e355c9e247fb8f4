package jobs

import (
	"fmt"
	"maps"
	"slices"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
)

// QuotaUsage describes the share of a customer's quota at one partition: the amount that is used, the limit, and the
// further amount that the waiting tasks request.
type QuotaUsage struct {
	Used      Amount
	Limit     Amount
	Requested Amount
	// Sequence is the sequence of the last grant that is included in Limit.
	Sequence uint64
}

// QuotaGrant raises the limit of a partition. It is valid only for the owner with the given epoch.
type QuotaGrant struct {
	Partition fleet.PartitionID
	Epoch     fleet.Epoch
	Customer  fleet.CustomerID
	Limit     Amount
	Sequence  uint64
}

// QuotaReport is the quota usage of a partition as reported by its owner under the given epoch.
type QuotaReport struct {
	Epoch fleet.Epoch
	Usage QuotaUsage
}

// QuotaAllocator divides the quota of one customer among the partitions. It runs at the owner of one partition and
// keeps only the grants that no report has confirmed yet. It revokes nothing: each partition lowers
// its limit itself by what it does not need.
type QuotaAllocator struct {
	customer    fleet.CustomerID
	sequence    uint64
	unconfirmed map[fleet.PartitionID]QuotaGrant
	rotation    int
}

// NewQuotaAllocator returns an allocator whose grants take precedence over those of allocators with a lower epoch.
func NewQuotaAllocator(customer fleet.CustomerID, epoch fleet.Epoch) *QuotaAllocator {
	return &QuotaAllocator{customer: customer, sequence: uint64(epoch) << 32, unconfirmed: make(map[fleet.PartitionID]QuotaGrant)}
}

// Step returns new grants according to the latest reports, and repeats the grants that no report has confirmed yet.
func (g *QuotaAllocator) Step(quota config.Quota, reports map[fleet.PartitionID]QuotaReport) []QuotaGrant {
	remaining := Amount{Tasks: quota.RunningTasks, Resources: quota.Resources}
	var requesting []fleet.PartitionID
	for _, p := range slices.Sorted(maps.Keys(reports)) {
		r := reports[p]
		if grant, found := g.unconfirmed[p]; found && (grant.Epoch < r.Epoch || grant.Sequence <= r.Usage.Sequence) {
			delete(g.unconfirmed, p)
		}
		limit := g.limit(p, r)
		remaining.Tasks -= limit.Tasks
		remaining.Resources = remaining.Resources.Sub(limit.Resources)
		if _, found := g.unconfirmed[p]; !found && r.Usage.Requested.Tasks > 0 {
			requesting = append(requesting, p)
		}
	}
	for i := range requesting {
		p := requesting[(i+g.rotation)%len(requesting)]
		remaining = g.grant(p, quota, reports[p], remaining, len(requesting)-i)
	}
	g.rotation++
	return slices.Collect(maps.Values(g.unconfirmed))
}

// limit returns an upper bound of the amount that a partition may use, according to its report and the unconfirmed
// grant.
func (g *QuotaAllocator) limit(p fleet.PartitionID, r QuotaReport) Amount {
	limit := r.Usage.Limit
	limit.Tasks = max(limit.Tasks, r.Usage.Used.Tasks)
	limit.Resources = limit.Resources.Max(r.Usage.Used.Resources)
	if grant, found := g.unconfirmed[p]; found {
		limit.Tasks = max(limit.Tasks, grant.Limit.Tasks)
		limit.Resources = limit.Resources.Max(grant.Limit.Resources)
	}
	return limit
}

// grant grants a partition an equal share of the remaining quota, or one task if that is more, and returns the rest.
// sharers is the number of partitions that have not got a share in this step, including p.
func (g *QuotaAllocator) grant(p fleet.PartitionID, quota config.Quota, r QuotaReport, remaining Amount, sharers int) Amount {
	requested := r.Usage.Requested
	n := requested.Tasks
	if quota.RunningTasks > 0 {
		n = min(n, remaining.Tasks, max(1, remaining.Tasks/sharers))
	}
	perTask := scale(requested.Resources, 1, int64(requested.Tasks))
	n = min(n, affordable(quota.Resources, remaining.Resources, perTask, int64(sharers)))
	if n <= 0 {
		return remaining
	}
	granted := scale(perTask, int64(n), 1)
	limit := g.limit(p, r)
	g.sequence++
	g.unconfirmed[p] = QuotaGrant{
		Partition: p, Epoch: r.Epoch, Customer: g.customer, Sequence: g.sequence,
		Limit: Amount{Tasks: limit.Tasks + n, Resources: limit.Resources.Add(granted)},
	}
	return Amount{Tasks: remaining.Tasks - n, Resources: remaining.Resources.Sub(granted)}
}

// affordable returns how many tasks of the given size fit into an equal share of the remaining resources, or one if
// only all the remaining resources together hold a task. Resources without a quota are not limited.
func affordable(quota, remaining, perTask fleet.Resources, sharers int64) int {
	n := int64(1 << 30)
	for _, k := range [...][3]int64{
		{quota.MilliCPU, remaining.MilliCPU, perTask.MilliCPU},
		{quota.MemoryBytes, remaining.MemoryBytes, perTask.MemoryBytes},
		{quota.Accelerators, remaining.Accelerators, perTask.Accelerators},
	} {
		if k[0] > 0 && k[2] > 0 {
			n = min(n, max(k[1]/k[2]/sharers, min(1, k[1]/k[2])))
		}
	}
	return int(n)
}

// scale returns r multiplied by num/denom.
func scale(r fleet.Resources, num, denom int64) fleet.Resources {
	return fleet.Resources{
		MilliCPU: r.MilliCPU * num / denom, MemoryBytes: r.MemoryBytes * num / denom, Accelerators: r.Accelerators * num / denom,
	}
}

// hasTaskQuota reports whether a customer has a quota for running tasks or their resources.
func hasTaskQuota(q config.Quota) bool { return q.RunningTasks > 0 || !q.Resources.IsZero() }

// quotaReason returns the reason why the quota forbids to start another task of the shape, or "".
func (m *Machine) quotaReason(s shape) string {
	quota := m.quotas[s.customer]
	if !hasTaskQuota(quota) {
		return ""
	}
	limit, used := m.quotaUsage[s.customer].Limit, m.used[s.customer]
	if quota.RunningTasks > 0 && used.Tasks >= limit.Tasks {
		return fmt.Sprintf("quota of customer %s: %d running tasks, %d of them in this partition", s.customer, quota.RunningTasks, limit.Tasks)
	}
	free := limit.Resources.Sub(used.Resources)
	for _, k := range [...][3]int64{
		{quota.Resources.MilliCPU, free.MilliCPU, s.resources.MilliCPU},
		{quota.Resources.MemoryBytes, free.MemoryBytes, s.resources.MemoryBytes},
		{quota.Resources.Accelerators, free.Accelerators, s.resources.Accelerators},
	} {
		if k[0] > 0 && k[1] < k[2] {
			return fmt.Sprintf("quota of customer %s: %v, %v of it in this partition", s.customer, quota.Resources, limit.Resources)
		}
	}
	return ""
}

// QuotaUsage returns the quota usage of the customers with a quota. It also lowers the limit of a customer without
// waiting tasks to the amount used, which returns the rest to the allocator.
func (m *Machine) QuotaUsage() map[fleet.CustomerID]QuotaUsage {
	requested := make(map[fleet.CustomerID]Amount)
	for _, q := range m.byShape {
		n := min(len(q.retries)+len(q.firstAttempts), maxRequestedPerShape)
		r := requested[q.shape.customer]
		r.Tasks += n
		r.Resources = r.Resources.Add(scale(q.shape.resources, int64(n), 1))
		requested[q.shape.customer] = r
	}
	all := make(map[fleet.CustomerID]QuotaUsage)
	for customer, quota := range m.quotas {
		if !hasTaskQuota(quota) {
			continue
		}
		u := m.quotaUsage[customer]
		u.Used, u.Requested = m.used[customer], requested[customer]
		if u.Requested.Tasks == 0 {
			u.Limit = u.Used
		}
		m.quotaUsage[customer] = u
		if u.Used.Tasks > 0 || u.Requested.Tasks > 0 || u.Sequence > 0 {
			all[customer] = u
		}
	}
	return all
}

// maxRequestedPerShape bounds the tasks for which one shape requests quota at a time, so that one partition does not
// get a whole quota at once.
const maxRequestedPerShape = 256

// quotaGranted applies a grant. Grants for another epoch and grants that are not newer than the last are ignored.
func (m *Machine) quotaGranted(g QuotaGrant) {
	u := m.quotaUsage[g.Customer]
	if g.Epoch != m.epoch || g.Sequence <= u.Sequence {
		return
	}
	u.Limit, u.Sequence = g.Limit, g.Sequence
	m.quotaUsage[g.Customer] = u
	m.placementVersion++
}
