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

const restTime = 2 * time.Second

// site is a fleet whose machines go down for their upkeep, and the store that outlives planners.
type site struct {
	t       *rapid.T
	p       *upkeep.Planner
	now     time.Time
	wave    infra.Wave
	record  upkeep.Record
	had     map[infra.MachineID]bool
	upAt    map[infra.MachineID]time.Time
	gone    map[infra.MachineID]bool
	life    map[infra.MachineID]int
	pending []pending
	begun   int
	empties map[fleet.WorkerID]bool
	// lossy is the percent of orders without an answer, half of which are carried out late.
	lossy  int
	broken []string
}

// pending is something that happens later, to the planner that asked for it if it still runs.
type pending struct {
	at time.Time
	do func()
}

func (s *site) after(d time.Duration, do func()) {
	s.pending = append(s.pending, pending{at: s.now.Add(d), do: do})
}

func (s *site) step(p *upkeep.Planner, ev upkeep.Event) {
	if p != s.p {
		return
	}
	for _, e := range p.Step(s.now, ev) {
		s.carryOut(p, e)
	}
}

func (s *site) carryOut(p *upkeep.Planner, e upkeep.Effect) {
	switch e := e.(type) {
	case upkeep.ListMachines:
		began := s.now
		// A slow reading shows the state of its beginning.
		machines := s.list()
		slow := time.Duration(rapid.SampledFrom([]int{10, 10, 1500}).Draw(s.t, "list ms")) * time.Millisecond
		s.after(slow, func() { s.step(p, upkeep.MachinesListed{Machines: machines, StartedAt: began}) })
	case upkeep.DrainWorker:
		s.empties[e.Worker] = true
		wait := min(time.Duration(rapid.SampledFrom([]int{0, 500, 3000, 20000}).Draw(s.t, "empties"))*time.Millisecond, max(0, e.Deadline.Sub(s.now)))
		s.after(wait, func() { s.step(p, upkeep.WorkerDrained{Worker: e.Worker}) })
	case upkeep.ReinstateWorker:
		delete(s.empties, e.Worker)
	case upkeep.SaveRecord:
		s.after(20*time.Millisecond, func() {
			if p != s.p {
				return
			}
			s.record = e.Record
			s.checkCompleted()
			s.step(p, upkeep.RecordSaved{Wave: e.Wave, Version: e.Version})
		})
	case upkeep.OrderMaintenance:
		s.order(p, e)
	}
}

func (s *site) order(p *upkeep.Planner, e upkeep.OrderMaintenance) {
	if rapid.IntRange(0, 99).Draw(s.t, "lost") < s.lossy {
		if rapid.Bool().Draw(s.t, "carried out") {
			s.after(time.Duration(rapid.IntRange(2000, 12000).Draw(s.t, "late"))*time.Millisecond, func() { s.begin(e.Machine) })
		}
		s.after(time.Second, func() {
			s.step(p, upkeep.OrderAnswered{Wave: e.Wave, Machine: e.Machine, Err: &infra.OutcomeUnknownError{Reason: "no answer"}})
		})
		return
	}
	err := s.begin(e.Machine)
	s.after(10*time.Millisecond, func() { s.step(p, upkeep.OrderAnswered{Wave: e.Wave, Machine: e.Machine, Err: err}) })
}

// resting machines are down for their upkeep, which one that has left the platform is not.
func (s *site) resting(id infra.MachineID) bool { return s.now.Before(s.upAt[id]) && !s.gone[id] }

// begin takes a machine down unless it had its upkeep.
func (s *site) begin(id infra.MachineID) error {
	switch {
	case s.gone[id]:
		return &infra.MachineError{Machine: id, Reason: infra.MachineUnknown}
	case s.had[id]:
		return nil
	}
	down := 0
	for _, m := range s.wave.Machines {
		if s.resting(m) {
			down++
		}
	}
	if down >= s.wave.MaxDown {
		s.broken = append(s.broken, fmt.Sprintf("%s goes down while %d of at most %d are", id, down, s.wave.MaxDown))
	}
	s.begun++
	s.had[id], s.upAt[id] = true, s.now.Add(restTime)
	s.life[id]++
	return nil
}

func (s *site) list() []infra.Machine {
	all := []infra.Machine{{ID: "other", Up: true, Worker: "other-0"}}
	for _, id := range s.wave.Machines {
		if !s.gone[id] {
			all = append(all, infra.Machine{
				ID: id, Worker: fleet.WorkerID(fmt.Sprintf("%s-%d", id, s.life[id])), Up: !s.resting(id), InMaintenance: s.resting(id),
			})
		}
	}
	return all
}

func (s *site) checkCompleted() {
	for _, id := range s.wave.Machines {
		if s.record.Completed && !s.had[id] && !s.gone[id] {
			s.broken = append(s.broken, fmt.Sprintf("completed before %s had its upkeep", id))
		}
	}
}

// replan starts a new planner from the record.
func (s *site) replan() {
	s.p = upkeep.New()
	clear(s.empties)
	s.step(s.p, upkeep.WaveRequested{Wave: s.wave, Record: s.record})
}

func (s *site) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(20 * time.Millisecond) {
		due := s.pending
		s.pending = nil
		for _, x := range due {
			if x.at.After(s.now) {
				s.pending = append(s.pending, x)
				continue
			}
			x.do()
		}
		s.step(s.p, upkeep.Tick{})
	}
}

// However orders are lost and planners are replaced, no more machines of a wave may be down than its cap, each goes down
// once, a wave is completed only when all had their upkeep, and it is completed at last with every worker back in service.
func TestWavePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &site{
			t: t, now: time.Unix(1000, 0), had: make(map[infra.MachineID]bool), upAt: make(map[infra.MachineID]time.Time),
			gone: make(map[infra.MachineID]bool), life: make(map[infra.MachineID]int), empties: make(map[fleet.WorkerID]bool),
			lossy: rapid.SampledFrom([]int{0, 0, 10, 40}).Draw(t, "lossy"),
		}
		n := rapid.IntRange(1, 8).Draw(t, "machines")
		s.wave = infra.Wave{Number: 3, MaxDown: rapid.IntRange(1, 3).Draw(t, "cap"), Duration: 40 * time.Second}
		for i := range n {
			s.wave.Machines = append(s.wave.Machines, infra.MachineID(fmt.Sprintf("m%d", i)))
		}
		s.replan()
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(100, 20000).Draw(t, "at")) * time.Millisecond
			if id := s.wave.Machines[rapid.IntRange(0, n-1).Draw(t, "machine")]; rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
				s.after(at, func() { s.gone[id] = true })
				continue
			}
			s.after(at, s.replan)
		}
		s.run(200 * time.Second)
		assert.Assert(t, len(s.broken) == 0, "%q", s.broken)
		assert.Assert(t, s.record.Completed)
		assert.Equal(t, len(s.empties), 0, "a worker stays out of service")
		assert.Assert(t, s.begun <= n)
	})
}

// A wave whose machines take long to empty still ends in its time (each tenth that is late is priced).
func TestWaveEndsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &site{
			t: t, now: time.Unix(1000, 0), had: make(map[infra.MachineID]bool), upAt: make(map[infra.MachineID]time.Time),
			gone: make(map[infra.MachineID]bool), life: make(map[infra.MachineID]int), empties: make(map[fleet.WorkerID]bool),
		}
		s.wave = infra.Wave{Number: 1, MaxDown: 2, Duration: 30 * time.Second}
		for i := range 8 {
			s.wave.Machines = append(s.wave.Machines, infra.MachineID(fmt.Sprintf("m%d", i)))
		}
		s.replan()
		s.run(s.wave.Duration)
		assert.Equal(t, s.begun, 8)
	})
}

// An order is recorded before it is sent, and a later planner counts a recorded order as carried out: it may be, seconds
// later, while the machine does not show it (LIMIT of a wave).
func TestOrdersAreRecordedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	wave := infra.Wave{Number: 1, Machines: []infra.MachineID{"m0", "m1"}, Duration: time.Minute, MaxDown: 1}
	listed := upkeep.MachinesListed{StartedAt: now, Machines: []infra.Machine{{ID: "m0", Worker: "w0", Up: true}, {ID: "m1", Worker: "w1", Up: true}}}
	p := upkeep.New()
	p.Step(now, upkeep.WaveRequested{Wave: wave})
	p.Step(now, listed)
	var save upkeep.SaveRecord
	for _, e := range p.Step(now, upkeep.WorkerDrained{Worker: "w0"}) {
		_, isOrder := e.(upkeep.OrderMaintenance)
		assert.Assert(t, !isOrder, "an order before its record")
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
	for _, e := range later.Step(now, listed) {
		empty, isEmpty := e.(upkeep.DrainWorker)
		assert.Assert(t, !isEmpty, "%v is emptied beside a recorded order", empty)
	}
}
