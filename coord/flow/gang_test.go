package flow_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

const (
	// gangFleet and gangRacks are the size of the largest deployment.
	gangFleet = 490
	gangRacks = 61
)

// gangStep is a gang of small tasks.
func gangStep(count int, milliCPU int64) infra.Step {
	return infra.Step{
		Count: count, Size: fleet.Resources{MilliCPU: milliCPU, MemoryBytes: 10 << 20}, Estimate: time.Second, Gang: true, SameRack: true,
	}
}

// newGangHarness returns a scheduler with workers of 64 cores in racks, which have reported.
func newGangHarness(t *testing.T, size, racks int) *harness {
	workers := make([]infra.Worker, size)
	for i := range workers {
		workers[i] = newPoolWorker(fmt.Sprintf("w%04d", i))
		workers[i].Capacity = fleet.Resources{MilliCPU: 64_000, MemoryBytes: 250 << 30}
		workers[i].Labels = []string{"std", fmt.Sprintf("r%d", i%racks)}
	}
	h := newHarness(t, flow.Restored{}, workers...)
	for _, w := range workers {
		h.report(w.ID, infra.Report{})
	}
	return h
}

// examinedIn returns how many workers are examined in a round of placement.
func (h *harness) examinedIn(rounds int) int64 {
	before := h.m.Counts().Examined
	for range rounds {
		h.report(fleet.WorkerID("w0000"), infra.Report{})
		h.advance(25 * time.Millisecond)
	}
	return (h.m.Counts().Examined - before) / int64(rounds)
}

// Guards against gangs that hold up the renewals of leases and all other jobs (LOST): each round searched a worker for each task, in each
// rack.
func TestGangsThatFitNowhereCostNothing(t *testing.T) {
	h := newGangHarness(t, gangFleet, gangRacks)
	for n := range 10 {
		h.step(flow.Submitted{Job: singleStepJob(fmt.Sprintf("g%d", n), gangStep(20_000, 2000))})
	}
	assert.Equal(t, h.examinedIn(20), int64(0))
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(5))})
	h.advance(25 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 5)
}

// A gang that would fit on an empty fleet examines each worker at most once in a round, and is placed in one rack if one has room.
func TestGangIsPlacedByCountingRoom(t *testing.T) {
	h := newGangHarness(t, gangFleet, gangRacks)
	// Each worker has room for 32 tasks.
	h.step(flow.Submitted{Job: singleStepJob("big", gangStep(gangFleet*32-1, 2000))})
	before := h.m.Counts().Examined
	h.advance(25 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), gangFleet*32-1)
	assert.Assert(t, h.m.Counts().Examined-before <= gangFleet)
	used := make(map[fleet.WorkerID]int)
	for _, s := range starts {
		used[s.To.Worker]++
		assert.Assert(t, used[s.To.Worker] <= 32)
	}
	h = newGangHarness(t, gangFleet, gangRacks)
	h.step(flow.Submitted{Job: singleStepJob("rack", gangStep(200, 2000))})
	h.advance(25 * time.Millisecond)
	racks := make(map[string]bool)
	for _, s := range h.starts() {
		var n int
		_, err := fmt.Sscanf(string(s.To.Worker), "w%d", &n)
		assert.NilError(t, err)
		racks[fmt.Sprint(n%gangRacks)] = true
	}
	assert.Equal(t, len(racks), 1)
}

// Guards against steps that never have their turn because others use up each round of placement (LOST).
func TestRoundsOfPlacementAreBounded(t *testing.T) {
	const maxExamined = 25_000
	h := newGangHarness(t, gangFleet, gangRacks)
	// Each of the workers has room for 4 tasks of these gangs, and none can start: 5 more are asked for than there is room for.
	for n := range 300 {
		s := gangStep(4*gangFleet+5, 13_000)
		s.Size.MilliCPU += int64(n)
		s.SameRack = false
		h.step(flow.Submitted{Job: singleStepJob(fmt.Sprintf("g%03d", n), s)})
	}
	h.step(flow.Submitted{Job: singleStepJob("z", smallStep(5))})
	started := 0
	for range 40 {
		before := h.m.Counts().Examined
		h.report(fleet.WorkerID("w0000"), infra.Report{})
		h.advance(25 * time.Millisecond)
		started += len(h.starts())
		assert.Assert(t, h.m.Counts().Examined-before <= maxExamined, "%d workers were examined in a round", h.m.Counts().Examined-before)
	}
	assert.Equal(t, started, 5)
}

// BenchmarkRoundBesideGangs measures a round of placement beside gangs that would fit on an empty fleet but for the size of their tasks,
// at 490 workers and at the target size.
func BenchmarkRoundBesideGangs(b *testing.B) {
	for _, c := range []struct{ workers, racks, gangs, tasks int }{{490, 61, 2, 2800}, {3500, 437, 20, 20_000}} {
		b.Run(fmt.Sprintf("workers=%d", c.workers), func(b *testing.B) {
			o := newOverloadSim(c.workers)
			for i, id := range o.workerIDs {
				w := newPoolWorker(string(id))
				w.Capacity = fleet.Resources{MilliCPU: 64_000, MemoryBytes: 250 << 30}
				w.Labels = []string{"std", fmt.Sprintf("r%d", i%c.racks)}
				o.step(flow.WorkerListed{Worker: w})
			}
			for range c.gangs {
				o.submit("batch", gangStep(c.tasks, 11_000))
			}
			b.ResetTimer()
			for range b.N {
				o.report(o.workerIDs[0])
				o.now = o.now.Add(10 * time.Millisecond)
				o.step(flow.Tick{Wall: o.now})
			}
		})
	}
}
