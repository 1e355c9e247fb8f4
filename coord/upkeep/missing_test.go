package upkeep_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/upkeep"
)

// platform answers the effects of a planner at once, and confirms each order.
type platform struct {
	p         *upkeep.Planner
	now       time.Time
	orders    []infra.MachineID
	cordons   []fleet.WorkerID
	uncordons []fleet.WorkerID
	completed bool
	// orderErr is the answer to each order.
	orderErr error
	// holdEvacuations leaves workers unevacuated.
	holdEvacuations bool
}

func newPlatform(machines ...infra.MachineID) *platform {
	s := &platform{p: upkeep.New(), now: time.Unix(1000, 0)}
	s.step(upkeep.WaveRequested{Wave: infra.Wave{Number: 1, Machines: machines, MaxDown: 1, Duration: time.Minute}})
	return s
}

func (s *platform) step(ev upkeep.Event) {
	for _, e := range s.p.Step(s.now, ev) {
		switch e := e.(type) {
		case upkeep.OrderMaintenance:
			s.orders = append(s.orders, e.Machine)
			s.step(upkeep.OrderAnswered{Wave: 1, Machine: e.Machine, Err: s.orderErr})
		case upkeep.SaveRecord:
			s.completed = e.Record.Completed
			s.step(upkeep.RecordSaved{Wave: 1, Version: e.Version})
		case upkeep.CordonWorker:
			s.cordons = append(s.cordons, e.Worker)
			if !s.holdEvacuations {
				s.step(upkeep.WorkerEvacuated{Worker: e.Worker})
			}
		case upkeep.UncordonWorker:
			s.uncordons = append(s.uncordons, e.Worker)
		}
	}
}

// list reads a list that shows the machines up.
func (s *platform) list(up ...infra.MachineID) {
	s.now = s.now.Add(time.Second)
	ev := upkeep.MachinesListed{StartedAt: s.now}
	for _, id := range up {
		ev.Machines = append(ev.Machines, infra.Machine{ID: id, Up: true, Worker: fleet.WorkerID("worker-" + id)})
	}
	s.step(ev)
	s.step(upkeep.Tick{})
}

// Guards against a wave that is reported as completed without the maintenance of a machine that stays (MIXED): one list that
// lacks a machine does not show that it is gone.
func TestMachineMissingFromOneListIsMaintained(t *testing.T) {
	s := newPlatform("m1")
	s.list("m2")
	assert.Assert(t, !s.completed, "completed without an order")
	s.list("m1", "m2")
	assert.DeepEqual(t, s.orders, []infra.MachineID{"m1"})
	assert.DeepEqual(t, s.cordons, []fleet.WorkerID{"worker-m1"})
	s.list("m1", "m2")
	assert.Assert(t, s.completed)
}

// Guards against more machines down than the cap (LIMIT): a machine that may be down counts as down while lists lack it.
func TestMissingMachineCountsAsDown(t *testing.T) {
	for name, answer := range map[string]error{"ordered": &infra.OutcomeUnknownError{Reason: "no answer"}, "down": nil} {
		t.Run(name, func(t *testing.T) {
			s := newPlatform("m1", "m2")
			s.orderErr = answer
			s.list("m1", "m2")
			assert.DeepEqual(t, s.orders, []infra.MachineID{"m1"})
			for range 9 {
				s.list("m2")
			}
			assert.Assert(t, !slices.Contains(s.orders, "m2"), "%v", s.orders)
			s.orderErr = nil
			for range 3 {
				s.list("m1", "m2")
			}
			assert.Assert(t, slices.Contains(s.orders, "m2"), "%v", s.orders)
		})
	}
}

// Guards against more machines down than the cap (LIMIT): a machine that was listed as down without an order of this wave counts
// as down while one list lacks it.
func TestMissingMachineOfAnotherWaveCountsAsDown(t *testing.T) {
	s := newPlatform("m1", "m2")
	s.step(upkeep.MachinesListed{StartedAt: s.now, Machines: []infra.Machine{{ID: "m1", InMaintenance: true}, {ID: "m2"}}})
	s.list("m2")
	assert.Equal(t, len(s.orders), 0, "%v", s.orders)
}

// Guards against a wave that waits for machines that are gone: the platform's answer to an order shows that they are.
func TestWaveWithRemovedMachinesEndsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.wave = infra.Wave{Number: 1, MaxDown: 2, Duration: 30 * time.Second}
		for i := range 8 {
			s.wave.Machines = append(s.wave.Machines, infra.MachineID(fmt.Sprintf("m%d", i)))
		}
		s.removed["m0"], s.removed["m5"] = true, true
		s.schedule(time.Duration(rapid.IntRange(0, 15000).Draw(t, "at"))*time.Millisecond, func() { s.removed["m2"] = true })
		s.replacePlanner()
		s.run(s.wave.Duration)
		assert.Assert(t, s.record.Completed)
		assert.Assert(t, len(s.violations) == 0, "%q", s.violations)
		assert.Equal(t, len(s.cordoned), 0, "workers left out of service")
	})
}
