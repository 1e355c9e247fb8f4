package jobs_test

import (
	"testing"

	"pgregory.net/rapid"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
)

// Guards against partitions that together exceed a quota, or that do not get all of it for waiting tasks once messages
// arrive again. Late, lost or repeated reports and grants could cause either.
func TestGrantsStayWithinQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := fleet.Resources{MilliCPU: 100}
		quota := config.Quota{RunningTasks: rapid.IntRange(1, 20).Draw(t, "quota"), Resources: fleet.Resources{MilliCPU: 1500}}
		allowed := min(quota.RunningTasks, 15)
		names := []fleet.PartitionID{"a/0", "a/1", "b/0", "b/1"}
		g := jobs.NewQuotaAllocator("c", 3)
		state := make(map[fleet.PartitionID]jobs.QuotaUsage)
		received := make(map[fleet.PartitionID]jobs.QuotaReport)
		var sent []jobs.QuotaGrant
		amount := func(n int) jobs.Amount {
			return jobs.Amount{Tasks: n, Resources: fleet.Resources{MilliCPU: size.MilliCPU * int64(n)}}
		}
		step := func(p fleet.PartitionID, used, requested int, report, grant, receive bool) {
			u := state[p]
			u.Used, u.Requested = amount(min(used, u.Limit.Tasks, int(u.Limit.Resources.MilliCPU/100))), amount(requested)
			if requested == 0 {
				u.Limit = u.Used
			}
			state[p] = u
			if report {
				received[p] = jobs.QuotaReport{Epoch: 1, Usage: u}
			}
			if grant {
				sent = g.Step(quota, received)
			}
			for _, msg := range sent {
				if u := state[msg.Partition]; receive && msg.Sequence > u.Sequence {
					u.Limit, u.Sequence = msg.Limit, msg.Sequence
					state[msg.Partition] = u
				}
			}
			total := 0
			for _, u := range state {
				total += max(u.Used.Tasks, u.Limit.Tasks)
			}
			if total > allowed {
				t.Fatalf("partitions may run %d tasks, quota allows %d: %+v", total, allowed, state)
			}
		}
		bit := rapid.Bool()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p := rapid.SampledFrom(names).Draw(t, "partition")
			used, requested := rapid.IntRange(0, 20).Draw(t, "used"), rapid.IntRange(0, 9).Draw(t, "requested")
			step(p, used, requested, bit.Draw(t, "report"), bit.Draw(t, "grant"), bit.Draw(t, "receive"))
		}
		for range 40 {
			for _, p := range names {
				step(p, 20, 9, true, true, true)
			}
		}
		total := 0
		for _, u := range state {
			total += u.Used.Tasks
		}
		if total != allowed {
			t.Fatalf("partitions run %d tasks, quota allows %d: %+v", total, allowed, state)
		}
	})
}
