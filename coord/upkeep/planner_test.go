package upkeep_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/upkeep"
)

const downtime = 2 * time.Second

// simulation is a fleet of machines with one maintenance wave, and a stored record that survives the replacement of the
// planner.
type simulation struct {
	t          *rapid.T
	p          *upkeep.Planner
	now        time.Time
	wave       infra.Wave
	record     upkeep.Record
	maintained map[infra.MachineID]bool
	upAt       map[infra.MachineID]time.Time
	removed    map[infra.MachineID]bool
	generation map[infra.MachineID]int
	pending    []action
	takenDown  int
	cordoned   map[fleet.WorkerID]bool
	// lossPercent is the percentage of orders without an answer, half of which are carried out late.
	lossPercent int
	// shortListPercent is the percentage of lists that lack their last machines.
	shortListPercent int
	// longTasks is set if each worker has tasks until the deadline of its evacuation.
	longTasks bool
	// listed is the last list that the planner has received.
	listed     []infra.Machine
	violations []string
}

func newSimulation(t *rapid.T) *simulation {
	return &simulation{
		t: t, now: time.Unix(1000, 0), maintained: make(map[infra.MachineID]bool), upAt: make(map[infra.MachineID]time.Time),
		removed: make(map[infra.MachineID]bool), generation: make(map[infra.MachineID]int), cordoned: make(map[fleet.WorkerID]bool),
	}
}

// action is run once the simulated time reaches at.
type action struct {
	at time.Time
	do func()
}

func (s *simulation) schedule(d time.Duration, do func()) {
	s.pending = append(s.pending, action{at: s.now.Add(d), do: do})
}

// step passes an event to the planner p, unless p has been replaced.
func (s *simulation) step(p *upkeep.Planner, ev upkeep.Event) {
	if p != s.p {
		return
	}
	for _, e := range p.Step(s.now, ev) {
		s.perform(p, e)
	}
}

func (s *simulation) perform(p *upkeep.Planner, e upkeep.Effect) {
	switch e := e.(type) {
	case upkeep.ListMachines:
		began := s.now
		// A slow read returns the state at its start.
		machines := s.list()
		slow := time.Duration(rapid.SampledFrom([]int{10, 10, 1500}).Draw(s.t, "list ms")) * time.Millisecond
		s.schedule(slow, func() {
			if p == s.p {
				s.listed = machines
			}
			s.step(p, upkeep.MachinesListed{Machines: machines, StartedAt: began})
		})
	case upkeep.CordonWorker:
		s.cordoned[e.Worker] = true
		wait := max(0, e.Deadline.Sub(s.now))
		if !s.longTasks {
			wait = min(wait, time.Duration(rapid.SampledFrom([]int{0, 500, 3000, 20000}).Draw(s.t, "evacuation ms"))*time.Millisecond)
		}
		s.schedule(wait, func() { s.step(p, upkeep.WorkerEvacuated{Worker: e.Worker}) })
	case upkeep.UncordonWorker:
		delete(s.cordoned, e.Worker)
	case upkeep.SaveRecord:
		s.schedule(20*time.Millisecond, func() {
			if p != s.p {
				return
			}
			s.record = e.Record
			s.checkCompleted()
			s.step(p, upkeep.RecordSaved{Wave: e.Wave, Version: e.Version})
		})
	case upkeep.OrderMaintenance:
		for _, m := range s.listed {
			if m.ID == e.Machine && m.Up && !s.cordoned[m.Worker] {
				s.violations = append(s.violations, fmt.Sprintf("order for %s, whose worker %s takes new tasks", m.ID, m.Worker))
			}
		}
		s.sendOrder(p, e)
	}
}

func (s *simulation) sendOrder(p *upkeep.Planner, e upkeep.OrderMaintenance) {
	if rapid.IntRange(0, 99).Draw(s.t, "lost") < s.lossPercent {
		if rapid.Bool().Draw(s.t, "carried out") {
			s.schedule(time.Duration(rapid.IntRange(2000, 12000).Draw(s.t, "late"))*time.Millisecond, func() { s.takeDown(e.Machine) })
		}
		s.schedule(time.Second, func() {
			s.step(p, upkeep.OrderAnswered{Wave: e.Wave, Machine: e.Machine, Err: &infra.OutcomeUnknownError{Reason: "no answer"}})
		})
		return
	}
	err := s.takeDown(e.Machine)
	s.schedule(10*time.Millisecond, func() { s.step(p, upkeep.OrderAnswered{Wave: e.Wave, Machine: e.Machine, Err: err}) })
}

// isDown reports whether a machine is down for maintenance; a machine removed from the platform is not.
func (s *simulation) isDown(id infra.MachineID) bool {
	return s.now.Before(s.upAt[id]) && !s.removed[id]
}

// takeDown takes a machine down, unless its maintenance was done before.
func (s *simulation) takeDown(id infra.MachineID) error {
	switch {
	case s.removed[id]:
		return &infra.MachineError{Machine: id, Reason: infra.MachineUnknown}
	case s.maintained[id]:
		return nil
	}
	down := 0
	for _, m := range s.wave.Machines {
		if s.isDown(m) {
			down++
		}
	}
	if down >= s.wave.MaxDown {
		s.violations = append(s.violations, fmt.Sprintf("%s goes down while %d machines are down, cap %d", id, down, s.wave.MaxDown))
	}
	s.takenDown++
	s.maintained[id], s.upAt[id] = true, s.now.Add(downtime)
	s.generation[id]++
	return nil
}

func (s *simulation) list() []infra.Machine {
	all := []infra.Machine{{ID: "other", Up: true, Worker: "other-0"}}
	for _, id := range s.wave.Machines {
		if !s.removed[id] {
			all = append(all, infra.Machine{
				ID: id, Worker: fleet.WorkerID(fmt.Sprintf("%s-%d", id, s.generation[id])), Up: !s.isDown(id), InMaintenance: s.isDown(id),
			})
		}
	}
	if s.shortListPercent > 0 && rapid.IntRange(0, 99).Draw(s.t, "short") < s.shortListPercent {
		return all[:rapid.IntRange(1, len(all)).Draw(s.t, "length")]
	}
	return all
}

func (s *simulation) checkCompleted() {
	for _, id := range s.wave.Machines {
		if s.record.Completed && !s.maintained[id] && !s.removed[id] {
			s.violations = append(s.violations, fmt.Sprintf("wave completed before the maintenance of %s", id))
		}
	}
}

// replacePlanner starts a new planner from the stored record.
func (s *simulation) replacePlanner() {
	s.p, s.listed = upkeep.New(), nil
	clear(s.cordoned)
	s.step(s.p, upkeep.WaveRequested{Wave: s.wave, Record: s.record, Wall: s.now})
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(20 * time.Millisecond) {
		due := s.pending
		s.pending = nil
		for _, a := range due {
			if a.at.After(s.now) {
				s.pending = append(s.pending, a)
				continue
			}
			a.do()
		}
		s.step(s.p, upkeep.Tick{})
	}
}

// Orders without an answer, lists that lack machines and a replaced planner must not take more machines down at once than the
// cap, take a machine down twice, send an order for one whose worker takes new tasks, complete the wave before the maintenance of
// every machine, leave it uncompleted, or leave a worker out of service.
func TestWaveInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.lossPercent = rapid.SampledFrom([]int{0, 0, 10, 40}).Draw(t, "lossy")
		s.shortListPercent = rapid.SampledFrom([]int{0, 0, 10, 40}).Draw(t, "short lists")
		n := rapid.IntRange(1, 8).Draw(t, "machines")
		s.wave = infra.Wave{Number: 3, MaxDown: rapid.IntRange(1, 3).Draw(t, "cap"), Duration: 40 * time.Second}
		for i := range n {
			s.wave.Machines = append(s.wave.Machines, infra.MachineID(fmt.Sprintf("m%d", i)))
		}
		s.replacePlanner()
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(100, 20000).Draw(t, "at")) * time.Millisecond
			if id := s.wave.Machines[rapid.IntRange(0, n-1).Draw(t, "machine")]; rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
				s.schedule(at, func() { s.removed[id] = true })
				continue
			}
			s.schedule(at, s.replacePlanner)
		}
		s.run(200 * time.Second)
		assert.Assert(t, len(s.violations) == 0, "%q", s.violations)
		assert.Assert(t, s.record.Completed)
		assert.Equal(t, len(s.cordoned), 0, "workers left out of service")
		assert.Assert(t, s.takenDown <= n)
	})
}

// Workers that take long to evacuate must not make a wave exceed its duration: each tenth that it is late has a cost.
func TestWaveEndsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.wave = infra.Wave{Number: 1, MaxDown: 2, Duration: 30 * time.Second}
		for i := range 8 {
			s.wave.Machines = append(s.wave.Machines, infra.MachineID(fmt.Sprintf("m%d", i)))
		}
		s.replacePlanner()
		s.run(s.wave.Duration)
		assert.Equal(t, s.takenDown, 8)
	})
}

// Guards against more machines down than the cap (LIMIT of a wave) after the planner is replaced. An order may be
// carried out seconds after it was sent, while the machine is still listed as up. So an order must be recorded before
// it is sent, and a later planner must count every recorded order as a machine that is down.
func TestOrderIsRecordedBeforeSent(t *testing.T) {
	now := time.Unix(1000, 0)
	wave := infra.Wave{Number: 1, Machines: []infra.MachineID{"m0", "m1"}, Duration: time.Minute, MaxDown: 1}
	listed := upkeep.MachinesListed{StartedAt: now, Machines: []infra.Machine{{ID: "m0", Worker: "w0", Up: true}, {ID: "m1", Worker: "w1", Up: true}}}
	p := upkeep.New()
	p.Step(now, upkeep.WaveRequested{Wave: wave})
	p.Step(now, listed)
	var save upkeep.SaveRecord
	for _, e := range p.Step(now, upkeep.WorkerEvacuated{Worker: "w0"}) {
		_, isOrder := e.(upkeep.OrderMaintenance)
		assert.Assert(t, !isOrder, "order sent before its record was saved")
		if s, ok := e.(upkeep.SaveRecord); ok {
			save = s
		}
	}
	assert.DeepEqual(t, save.Record.Ordered, []infra.MachineID{"m0"})
	orders := 0
	for _, e := range p.Step(now, upkeep.RecordSaved{Wave: 1, Version: save.Version}) {
		if o, ok := e.(upkeep.OrderMaintenance); ok {
			orders++
			assert.Equal(t, o.Machine, infra.MachineID("m0"))
		}
	}
	assert.Equal(t, orders, 1)
	later := upkeep.New()
	later.Step(now, upkeep.WaveRequested{Wave: wave, Record: save.Record})
	var cordons []upkeep.CordonWorker
	for _, e := range later.Step(now, listed) {
		if c, isCordon := e.(upkeep.CordonWorker); isCordon {
			cordons = append(cordons, c)
		}
	}
	// Only the machine of the recorded order is cordoned, and not evacuated.
	assert.DeepEqual(t, cordons, []upkeep.CordonWorker{{Worker: "w0"}})
}
