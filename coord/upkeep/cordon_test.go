package upkeep_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/upkeep"
)

// listAs reads a list that shows a machine up as a worker.
func (s *platform) listAs(id infra.MachineID, worker fleet.WorkerID) {
	s.step(upkeep.MachinesListed{StartedAt: s.now, Machines: []infra.Machine{{ID: id, Up: true, Worker: worker}}})
}

// Guards against tasks on a machine that may go down at any time: a planner that follows another one repeats the recorded order,
// and must cordon the machine's worker, which its own scheduler has not cordoned.
func TestOrderedMachineIsCordonedAfterTakeover(t *testing.T) {
	s := newPlatform("m1")
	s.p, s.orderErr = upkeep.New(), &infra.OutcomeUnknownError{Reason: "no answer"}
	s.step(upkeep.WaveRequested{
		Wave:   infra.Wave{Number: 1, Machines: []infra.MachineID{"m1"}, MaxDown: 1},
		Record: upkeep.Record{Ordered: []infra.MachineID{"m1"}},
	})
	s.list("m1")
	assert.DeepEqual(t, s.orders, []infra.MachineID{"m1"})
	assert.DeepEqual(t, s.cordons, []fleet.WorkerID{"worker-m1"})
	s.orderErr = nil
	s.list("m1")
	s.list("m1")
	assert.Assert(t, s.completed)
	assert.DeepEqual(t, s.cordons, []fleet.WorkerID{"worker-m1"})
	assert.DeepEqual(t, s.uncordons, []fleet.WorkerID{"worker-m1"})
}

// Guards against tasks on a machine that may go down at any time: its worker can crash and join under another ID.
func TestMachineThatReturnsAsAnotherWorkerIsCordoned(t *testing.T) {
	t.Run("while it is evacuated", func(t *testing.T) {
		s := newPlatform("m1")
		s.holdEvacuations = true
		s.listAs("m1", "w1")
		s.listAs("m1", "w2")
		assert.DeepEqual(t, s.cordons, []fleet.WorkerID{"w1", "w2"})
		assert.DeepEqual(t, s.uncordons, []fleet.WorkerID{"w1"})
		s.step(upkeep.WorkerEvacuated{Worker: "w1"})
		assert.Equal(t, len(s.orders), 0, "w2 has not been evacuated")
		s.step(upkeep.WorkerEvacuated{Worker: "w2"})
		assert.DeepEqual(t, s.orders, []infra.MachineID{"m1"})
	})
	t.Run("while its order is out", func(t *testing.T) {
		s := newPlatform("m1")
		s.orderErr = &infra.OutcomeUnknownError{Reason: "no answer"}
		s.listAs("m1", "w1")
		assert.DeepEqual(t, s.orders, []infra.MachineID{"m1"})
		s.listAs("m1", "w2")
		assert.DeepEqual(t, s.cordons, []fleet.WorkerID{"w1", "w2"})
		assert.DeepEqual(t, s.uncordons, []fleet.WorkerID{"w1"})
	})
}
