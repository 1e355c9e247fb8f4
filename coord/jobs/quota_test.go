package jobs_test

import (
	"testing"

	"pgregory.net/rapid"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
)

// However late, lost or repeated reports and grants are, partitions together must not hold more than the quota, and
// once messages arrive, waiting tasks must get all of it.
func TestGrantsKeepToTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := fleet.Resources{MilliCPU: 100}
		quota := config.Quota{RunningTasks: rapid.IntRange(1, 20).Draw(t, "quota"), Resources: fleet.Resources{MilliCPU: 1500}}
		allowed := min(quota.RunningTasks, 15)
		names := []fleet.PartitionID{"a/0", "a/1", "b/0", "b/1"}
		g := jobs.NewQuotaAllocator("c", 3)
		state := make(map[fleet.PartitionID]jobs.QuotaUsage)
		seen := make(map[fleet.PartitionID]jobs.QuotaReport)
		var sent []jobs.QuotaGrant
		hold := func(n int) jobs.Amount {
			return jobs.Amount{Tasks: n, Resources: fleet.Resources{MilliCPU: size.MilliCPU * int64(n)}}
		}
		step := func(p fleet.PartitionID, held, want int, report, grant, receive bool) {
			a := state[p]
			a.Used, a.Requested = hold(min(held, a.Limit.Tasks, int(a.Limit.Resources.MilliCPU/100))), hold(want)
			if want == 0 {
				a.Limit = a.Used
			}
			state[p] = a
			if report {
				seen[p] = jobs.QuotaReport{Epoch: 1, Usage: a}
			}
			if grant {
				sent = g.Step(quota, seen)
			}
			for _, m := range sent {
				if a := state[m.Partition]; receive && m.Sequence > a.Sequence {
					a.Limit, a.Sequence = m.Limit, m.Sequence
					state[m.Partition] = a
				}
			}
			total := 0
			for _, a := range state {
				total += max(a.Used.Tasks, a.Limit.Tasks)
			}
			if total > allowed {
				t.Fatalf("partitions may hold %d tasks, quota allows %d: %+v", total, allowed, state)
			}
		}
		bit := rapid.Bool()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p := rapid.SampledFrom(names).Draw(t, "partition")
			held, want := rapid.IntRange(0, 20).Draw(t, "held"), rapid.IntRange(0, 9).Draw(t, "want")
			step(p, held, want, bit.Draw(t, "report"), bit.Draw(t, "grant"), bit.Draw(t, "receive"))
		}
		for range 40 {
			for _, p := range names {
				step(p, 20, 9, true, true, true)
			}
		}
		total := 0
		for _, a := range state {
			total += a.Used.Tasks
		}
		if total != allowed {
			t.Fatalf("partitions hold %d tasks, quota allows %d: %+v", total, allowed, state)
		}
	})
}
