package grant_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/wire"
)

const releaseDelay = 250 * time.Millisecond

// process is one entry process; rate is the rate of its clock relative to the simulated time.
type process struct {
	self    grant.Member
	rate    float64
	boots   int
	machine *grant.Machine
}

// run is a request on a worker. It occupies the worker until it is released, or until shortly after it was aborted.
type run struct {
	process *process
	worker  fleet.WorkerID
	ticket  uint64
	until   time.Time
	freeAt  time.Duration // time at which the worker frees the slot after an abort; zero if not aborted
}

type message struct {
	from, to *process
	event    grant.Event
}

type simulation struct {
	t         *rapid.T
	now       time.Duration
	roster    []grant.Member
	workers   []fleet.Worker
	processes []*process
	runs      []*run
	messages  []message
	tickets   uint64
	// greedy is a process that acquires every free slot at each step of the simulation.
	greedy *process
}

var epoch = time.Unix(0, 0)

func (p *process) local(now time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(now) * p.rate))
}

func (s *simulation) boot(p *process) {
	p.boots++
	p.machine = grant.New(p.self.Host, fleet.BootID(fmt.Sprint(p.boots)), s.roster, p.local(s.now))
	p.machine.Step(p.local(s.now), grant.WorkersObserved{Workers: s.workers})
	s.runs = slices.DeleteFunc(s.runs, func(r *run) bool { return r.process == p })
}

func (s *simulation) step(p *process, ev grant.Event) {
	for _, e := range p.machine.Step(p.local(s.now), ev) {
		switch e := e.(type) {
		case grant.Acquired:
			s.runs = append(s.runs, &run{process: p, worker: e.Worker, ticket: e.Ticket, until: ev.(grant.Acquire).Until})
		case grant.SendBorrow:
			lender := s.find(e.To)
			call := uint64(p.boots)<<32 | e.Call
			s.messages = append(s.messages, message{p, lender, grant.BorrowReceived{
				Call: call, ID: e.Request.ID, From: p.self.Host, Workers: []fleet.WorkerID{"w0", "w1"}, Slots: e.Request.Slots,
			}})
		case grant.SendLoan:
			borrower := ev.(grant.BorrowReceived)
			to := s.find(borrower.From)
			if e.Call>>32 == uint64(to.boots) {
				s.messages = append(s.messages, message{p, to, grant.LoanReceived{Call: e.Call & (1<<32 - 1), Loan: e.Loan}})
			}
		case grant.SendReturn:
			s.messages = append(s.messages, message{p, s.find(e.To), grant.ReturnReceived{From: p.self.Host, Return: e.Return}})
		}
	}
}

func (s *simulation) find(id fleet.EntryHostID) *process {
	i := slices.IndexFunc(s.processes, func(p *process) bool { return p.self.Host == id })
	return s.processes[i]
}

func (s *simulation) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += min(50*time.Millisecond, end-s.now)
		for _, r := range s.runs {
			if r.freeAt == 0 && !r.process.local(s.now).Before(r.until) {
				overrun := r.process.local(s.now).Sub(r.until)
				r.freeAt = s.now - overrun + releaseDelay*9/10
				r.process.machine.Step(r.process.local(s.now), grant.Release{Ticket: r.ticket, Aborted: true})
			}
		}
		s.runs = slices.DeleteFunc(s.runs, func(r *run) bool { return r.freeAt > 0 && r.freeAt < s.now })
		for _, p := range s.processes {
			s.step(p, grant.Tick{})
		}
		s.acquire(s.greedy, 100*time.Millisecond)
		s.check()
	}
}

// acquire acquires every slot that is available for d.
func (s *simulation) acquire(p *process, d time.Duration) {
	for _, worker := range s.workers {
		for before := -1; before < len(s.runs); {
			before = len(s.runs)
			s.tickets++
			s.step(p, grant.Acquire{Ticket: s.tickets, Worker: worker.ID, Until: p.local(s.now).Add(d)})
		}
	}
}

// fill acquires every available slot, each for as long as it is available.
func (s *simulation) fill(p *process) {
	for d := 5500 * time.Millisecond; d > 0; d -= 50 * time.Millisecond {
		s.acquire(p, d)
	}
	s.check()
}

// release ends all requests of a process that were not aborted.
func (s *simulation) release(p *process) {
	s.runs = slices.DeleteFunc(s.runs, func(r *run) bool {
		if r.process != p || r.freeAt > 0 {
			return false
		}
		s.step(p, grant.Release{Ticket: r.ticket})
		return true
	})
}

// check compares the slots and connections in use with the limits of each worker. It assumes that each process keeps
// open as many idle connections as it may.
func (s *simulation) check() {
	for _, worker := range s.workers {
		slots, connections := 0, 0
		for _, r := range s.runs {
			if r.worker == worker.ID {
				slots++
				connections++
			}
		}
		for _, p := range s.processes {
			if share := p.machine.Share(worker.ID); share.KeepAlive() {
				connections += share.Slots
			}
		}
		if slots > worker.Slots || connections > worker.Connections {
			s.t.Fatalf("at %s worker %s has %d of %d slots and %d of %d connections in use",
				s.now, worker.ID, slots, worker.Slots, connections, worker.Connections)
		}
	}
}

func (s *simulation) deliver() {
	if len(s.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.messages)-1).Draw(s.t, "message")
	msg := s.messages[i]
	if rapid.Bool().Draw(s.t, "last copy") {
		s.messages = slices.Delete(s.messages, i, i+1)
	}
	s.step(msg.to, msg.event)
}

// Guards against an overloaded worker: the requests and connections on a worker must stay within its limits when
// messages are delayed, repeated or reordered, processes restart and clocks run at different rates.
func TestWorkerIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t}
		rates := []float64{0.97, 1.03}
		for i := range 3 {
			self := grant.Member{Host: fleet.EntryHostID(fmt.Sprint("e", i)), Zone: "a"}
			s.roster = append(s.roster, self)
			s.processes = append(s.processes, &process{self: self, rate: rapid.SampledFrom(rates).Draw(t, "rate")})
		}
		for i := range 2 {
			slots := rapid.IntRange(1, 8).Draw(t, "slots")
			s.workers = append(s.workers, fleet.Worker{
				ID: fleet.WorkerID(fmt.Sprint("w", i)), Zone: "a", Slots: slots,
				Connections: rapid.IntRange(slots, 4*slots).Draw(t, "connections"),
			})
		}
		for _, p := range s.processes {
			s.boot(p)
		}
		s.greedy = rapid.SampledFrom(s.processes).Draw(t, "greedy")
		s.advance(6 * time.Second)
		draw := func(label string) *process { return rapid.SampledFrom(s.processes).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"":     func(*rapid.T) { s.check() },
			"fill": func(*rapid.T) { s.fill(draw("filler")) },
			"fill all": func(*rapid.T) {
				for _, p := range s.processes {
					s.fill(p)
				}
			},
			"release": func(t *rapid.T) { s.release(draw("releaser")) },
			"borrow": func(t *rapid.T) {
				from, to := draw("borrower"), draw("lender")
				if from == to {
					return
				}
				s.release(to)
				s.step(from, grant.Borrow{Peer: to.self.Host, Request: wire.BorrowRequest{Slots: 8}})
				s.deliver()
				s.advance(time.Duration(rapid.SampledFrom([]int{0, 300, 2000, 4800}).Draw(t, "delay")) * time.Millisecond)
				s.deliver()
				s.fill(from)
			},
			"shrink": func(t *rapid.T) {
				p := draw("shrinker")
				d := time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond
				s.step(p, grant.ReturnUnused{Until: p.local(s.now).Add(d)})
			},
			"deliver": func(*rapid.T) { s.deliver() },
			"advance": func(t *rapid.T) {
				s.advance(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(*rapid.T) { s.boot(draw("restarted")) },
		})
	})
}

// The sum of all shares must equal the worker's capacity: a smaller sum leaves slots unused, a larger one overloads it.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []fleet.AvailabilityZone{"a", "b", "c"}
		var roster []grant.Member
		for i := range rapid.IntRange(1, 9).Draw(t, "hosts") {
			zone := rapid.SampledFrom(zones).Draw(t, "zone")
			roster = append(roster, grant.Member{Host: fleet.EntryHostID(fmt.Sprint("e", i)), Zone: zone})
		}
		w := fleet.Worker{ID: fleet.WorkerID(rapid.String().Draw(t, "id")), Zone: rapid.SampledFrom(zones).Draw(t, "of")}
		w.Slots = rapid.IntRange(0, 20).Draw(t, "slots")
		w.Connections = w.Slots * 8
		var sum grant.Share
		for _, m := range roster {
			share := grant.ShareOf(roster, m.Host, w)
			sum.Slots += share.Slots
			sum.Connections += share.Connections
		}
		assert.Equal(t, sum, grant.Share{Slots: w.Slots, Connections: w.Connections})
	})
}
