package upkeep_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/upkeep"
)

// Guards against a wave that stands still while schedulers replace each other: each planner gave the workers their whole time
// again, so that no machine with long tasks was taken down until a scheduler had led for 8 s.
func TestWaveEndsInTimeBesideTakeovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.longTasks = true
		s.wave = infra.Wave{Number: 1, MaxDown: 2, Duration: time.Minute}
		for i := range 8 {
			s.wave.Machines = append(s.wave.Machines, infra.MachineID(fmt.Sprintf("m%d", i)))
		}
		s.replacePlanner()
		const term = 4500 * time.Millisecond
		for at := term; at < s.wave.Duration; at += term {
			s.schedule(at, s.replacePlanner)
		}
		s.run(s.wave.Duration)
		assert.Assert(t, len(s.violations) == 0, "%q", s.violations)
		assert.Equal(t, s.takenDown, 8)
	})
}

// An evacuation that an earlier planner has begun continues before another one begins, and ends when it was to end. A difference
// between the clocks of two hosts must not give a worker more than its whole time again.
func TestEvacuationContinuesAfterTakeover(t *testing.T) {
	const spent, whole = 3 * time.Second, 8 * time.Second
	wave := infra.Wave{Number: 1, Machines: []infra.MachineID{"m1", "m2"}, Duration: time.Minute, MaxDown: 1}
	for _, c := range []struct{ clockLead, want time.Duration }{
		{0, whole - spent}, {time.Hour, whole - wave.Duration}, {-time.Hour, whole},
	} {
		began := time.Unix(1000, 0)
		machines := []infra.Machine{{ID: "m1", Worker: "w1"}, {ID: "m2", Worker: "w2", Up: true}}
		first := upkeep.New()
		first.Step(began, upkeep.WaveRequested{Wave: wave, Wall: began})
		var record upkeep.Record
		for _, e := range first.Step(began, upkeep.MachinesListed{StartedAt: began, Machines: machines}) {
			if save, isSave := e.(upkeep.SaveRecord); isSave {
				record = save.Record
			}
		}
		machines[0].Up = true
		now := began.Add(spent)
		second := upkeep.New()
		second.Step(now, upkeep.WaveRequested{Wave: wave, Record: record, Wall: now.Add(c.clockLead)})
		var cordons []upkeep.CordonWorker
		for _, e := range second.Step(now, upkeep.MachinesListed{StartedAt: now, Machines: machines}) {
			if cordon, isCordon := e.(upkeep.CordonWorker); isCordon {
				cordons = append(cordons, cordon)
			}
		}
		assert.DeepEqual(t, cordons, []upkeep.CordonWorker{{Worker: "w2", Deadline: now.Add(c.want)}})
	}
}
