package upkeep_test

import (
	"testing"
	"time"

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

// Guards against an order that the stored record lacks: the caller may pass an answer to a cordon back before it performs the
// effects that follow, and a record of that answer must not be overtaken by an earlier one.
func TestRecordsPrecedeCordons(t *testing.T) {
	now := time.Unix(1000, 0)
	p := upkeep.New()
	for number, id := range map[int64]infra.MachineID{1: "m1", 2: "m2"} {
		p.Step(now, upkeep.WaveRequested{Wave: infra.Wave{Number: number, Machines: []infra.MachineID{id}, MaxDown: 1, Duration: time.Minute}})
	}
	other := infra.Machine{ID: "other", Up: true, Worker: "other"}
	machines := []infra.Machine{other}
	var ordered, evacuating []infra.MachineID
	records, cordons := 0, 0
	for i := range 3 {
		if i == 2 {
			machines = append(machines, infra.Machine{ID: "m1", Up: true, Worker: "w1"})
		}
		records, cordons = 0, 0
		for _, e := range p.Step(now, upkeep.MachinesListed{Machines: machines, StartedAt: now}) {
			switch e := e.(type) {
			case upkeep.SaveRecord:
				records++
				ordered = append(ordered, e.Record.Ordered...)
				for _, ev := range e.Record.Evacuating {
					evacuating = append(evacuating, ev.Machine)
				}
				assert.Equal(t, cordons, 0, "a record follows a cordon")
			case upkeep.CordonWorker:
				cordons++
			}
		}
	}
	// One for the evacuation of m1, and one for the order for m2, which may be gone.
	assert.Equal(t, records, 2)
	assert.DeepEqual(t, evacuating, []infra.MachineID{"m1"})
	assert.DeepEqual(t, ordered, []infra.MachineID{"m2"})
	assert.Equal(t, cordons, 1)
}

// Guards against tasks on a machine that goes down: the list that an earlier wave has read last may name a former worker, which the
// scheduler no longer knows and takes for evacuated.
func TestWaveBeginsWithNewList(t *testing.T) {
	s := newPlatform("m1")
	for range 3 {
		s.listAs("m1", "w1")
		s.now = s.now.Add(time.Second)
	}
	assert.Assert(t, s.completed)
	s.now, s.orders, s.cordons = s.now.Add(time.Hour), nil, nil
	s.step(upkeep.WaveRequested{Wave: infra.Wave{Number: 2, Machines: []infra.MachineID{"m1"}, MaxDown: 1, Duration: time.Minute}})
	s.step(upkeep.Tick{})
	assert.Equal(t, len(s.cordons), 0, "%v", s.cordons)
	s.listAs("m1", "w2")
	assert.DeepEqual(t, s.cordons, []fleet.WorkerID{"w2"})
}
