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

const settle = 250 * time.Millisecond

// process is one entry process; rate is the speed of its clock.
type process struct {
	self    grant.Member
	rate    float64
	boots   int
	machine *grant.Machine
}

// run is a request on a worker. It occupies the worker until it is released, or shortly after its end.
type run struct {
	process *process
	worker  fleet.WorkerID
	ticket  uint64
	until   time.Time
	aborted time.Duration
}

type message struct {
	from, to *process
	event    grant.Event
}

type world struct {
	t         *rapid.T
	now       time.Duration
	roster    []grant.Member
	workers   []fleet.Worker
	processes []*process
	runs      []*run
	messages  []message
	tickets   uint64
	// greedy takes every slot that becomes free at once.
	greedy *process
}

var epoch = time.Unix(0, 0)

func (p *process) local(now time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(now) * p.rate))
}

func (w *world) boot(p *process) {
	p.boots++
	p.machine = grant.New(p.self.Host, fleet.BootID(fmt.Sprint(p.boots)), w.roster, p.local(w.now))
	p.machine.Step(p.local(w.now), grant.WorkersObserved{Workers: w.workers})
	w.runs = slices.DeleteFunc(w.runs, func(r *run) bool { return r.process == p })
}

func (w *world) step(p *process, ev grant.Event) {
	for _, e := range p.machine.Step(p.local(w.now), ev) {
		switch e := e.(type) {
		case grant.Acquired:
			w.runs = append(w.runs, &run{process: p, worker: e.Worker, ticket: e.Ticket, until: ev.(grant.Acquire).Until})
		case grant.SendBorrow:
			lender := w.find(e.To)
			call := uint64(p.boots)<<32 | e.Call
			w.messages = append(w.messages, message{p, lender, grant.BorrowReceived{
				Call: call, ID: e.Request.ID, From: p.self.Host, Workers: []fleet.WorkerID{"w0", "w1"}, Slots: e.Request.Slots,
			}})
		case grant.SendLoan:
			borrower := ev.(grant.BorrowReceived)
			to := w.find(borrower.From)
			if e.Call>>32 == uint64(to.boots) {
				w.messages = append(w.messages, message{p, to, grant.LoanReceived{Call: e.Call & (1<<32 - 1), Loan: e.Loan}})
			}
		case grant.SendReturn:
			w.messages = append(w.messages, message{p, w.find(e.To), grant.ReturnReceived{From: p.self.Host, Return: e.Return}})
		}
	}
}

func (w *world) find(id fleet.EntryHostID) *process {
	i := slices.IndexFunc(w.processes, func(p *process) bool { return p.self.Host == id })
	return w.processes[i]
}

func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += min(50*time.Millisecond, end-w.now)
		for _, r := range w.runs {
			if r.aborted == 0 && !r.process.local(w.now).Before(r.until) {
				late := r.process.local(w.now).Sub(r.until)
				r.aborted = w.now - late + settle*9/10
				r.process.machine.Step(r.process.local(w.now), grant.Release{Ticket: r.ticket, Aborted: true})
			}
		}
		w.runs = slices.DeleteFunc(w.runs, func(r *run) bool { return r.aborted > 0 && r.aborted < w.now })
		for _, p := range w.processes {
			w.step(p, grant.Tick{})
		}
		w.take(w.greedy, 100*time.Millisecond)
		w.check()
	}
}

// take takes every slot that can be had for d.
func (w *world) take(p *process, d time.Duration) {
	for _, worker := range w.workers {
		for before := -1; before < len(w.runs); {
			before = len(w.runs)
			w.tickets++
			w.step(p, grant.Acquire{Ticket: w.tickets, Worker: worker.ID, Until: p.local(w.now).Add(d)})
		}
	}
}

// fill takes every slot for as long as it can be had.
func (w *world) fill(p *process) {
	for d := 5500 * time.Millisecond; d > 0; d -= 50 * time.Millisecond {
		w.take(p, d)
	}
	w.check()
}

// release ends the requests of a process in time.
func (w *world) release(p *process) {
	w.runs = slices.DeleteFunc(w.runs, func(r *run) bool {
		if r.process != p || r.aborted > 0 {
			return false
		}
		w.step(p, grant.Release{Ticket: r.ticket})
		return true
	})
}

// check counts what the workers carry, with every kept connection open that a process may have.
func (w *world) check() {
	for _, worker := range w.workers {
		slots, connections := 0, 0
		for _, r := range w.runs {
			if r.worker == worker.ID {
				slots++
				connections++
			}
		}
		for _, p := range w.processes {
			if share := p.machine.Share(worker.ID); share.KeepAlive() {
				connections += share.Slots
			}
		}
		if slots > worker.Slots || connections > worker.Connections {
			w.t.Fatalf("at %s worker %s carries %d of %d slots and %d of %d connections",
				w.now, worker.ID, slots, worker.Slots, connections, worker.Connections)
		}
	}
}

func (w *world) deliver() {
	if len(w.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.messages)-1).Draw(w.t, "message")
	l := w.messages[i]
	if rapid.Bool().Draw(w.t, "last copy") {
		w.messages = slices.Delete(w.messages, i, i+1)
	}
	w.step(l.to, l.event)
}

// A worker must never carry more requests or connections than it has, whatever happens to messages and processes.
func TestWorkerIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t}
		rates := []float64{0.97, 1.03}
		for i := range 3 {
			self := grant.Member{Host: fleet.EntryHostID(fmt.Sprint("e", i)), Zone: "a"}
			w.roster = append(w.roster, self)
			w.processes = append(w.processes, &process{self: self, rate: rapid.SampledFrom(rates).Draw(t, "rate")})
		}
		for i := range 2 {
			slots := rapid.IntRange(1, 8).Draw(t, "slots")
			w.workers = append(w.workers, fleet.Worker{
				ID: fleet.WorkerID(fmt.Sprint("w", i)), Zone: "a", Slots: slots,
				Connections: rapid.IntRange(slots, 4*slots).Draw(t, "connections"),
			})
		}
		for _, p := range w.processes {
			w.boot(p)
		}
		w.greedy = rapid.SampledFrom(w.processes).Draw(t, "greedy")
		w.advance(6 * time.Second)
		pick := func(label string) *process { return rapid.SampledFrom(w.processes).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"":     func(*rapid.T) { w.check() },
			"fill": func(*rapid.T) { w.fill(pick("filler")) },
			"fill all": func(*rapid.T) {
				for _, p := range w.processes {
					w.fill(p)
				}
			},
			"release": func(t *rapid.T) { w.release(pick("releaser")) },
			"borrow": func(t *rapid.T) {
				from, to := pick("borrower"), pick("lender")
				if from == to {
					return
				}
				w.release(to)
				w.step(from, grant.Borrow{Peer: to.self.Host, Request: wire.BorrowRequest{Slots: 8}})
				w.deliver()
				w.advance(time.Duration(rapid.SampledFrom([]int{0, 300, 2000, 4800}).Draw(t, "delay")) * time.Millisecond)
				w.deliver()
				w.fill(from)
			},
			"shrink": func(t *rapid.T) {
				p := pick("shrinker")
				d := time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond
				w.step(p, grant.ReturnUnused{Until: p.local(w.now).Add(d)})
			},
			"deliver": func(*rapid.T) { w.deliver() },
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(*rapid.T) { w.boot(pick("restarted")) },
		})
	})
}

// The shares must add up to the whole worker: less wastes slots, more overloads it.
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
