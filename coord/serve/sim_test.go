package serve_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/once"
	"lovagefork.example/coord/serve"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
)

const (
	tick   = 10 * time.Millisecond
	settle = grant.DefaultReleaseDelay
)

// faults are the parts, in thousandths, of messages and processes that go wrong.
type faults struct{ storeLost, storeLate, linkLost, unreachable, broken, restart, gone int }

// caller is one request of one caller, as seen from outside.
type caller struct {
	request serve.Request
	process *proc
	boot    int
	reached int
	answers []serve.Answer
	took    time.Duration
	arrived time.Time
	gone    bool
}

// proc is an entry process; a restart replaces its machine.
type proc struct {
	self    grant.Member
	boot    int
	machine *serve.Machine
	calls   map[uint64]*caller
	// forwarded answers the requests of peers.
	forwarded map[uint64]func(serve.Answer)
}

type job struct {
	at time.Time
	do func()
}

// sim runs entry processes, backend servers and a store in virtual time.
type sim struct {
	t       interface{ Fatalf(string, ...any) }
	random  *rand.Rand
	faults  faults
	now     time.Time
	jobs    []job
	roster  []grant.Member
	workers []fleet.Worker
	procs   []*proc
	busy    map[fleet.WorkerID]map[*attempt]bool
	keys    map[string]store.Entry
	runs    map[once.Key]int
	callers []*caller
	nextID  uint64
	// deadlineMS and latencyMS bound the times of requests, and claimed is the part of non-idempotent ones in thousandths.
	deadlineMS, latencyMS, claimed int
	opts                           []serve.Option
	// loans passes the answer to a question for a loan to the borrower.
	loans map[uint64]func(wire.Loan)
}

type attempt struct {
	proc *proc
	boot int
	ends time.Time
}

func (s *sim) chance(permille int) bool { return s.random.IntN(1000) < permille }

func (s *sim) delay(maxMS int) time.Duration {
	return time.Duration(1+s.random.IntN(maxMS)) * time.Millisecond
}

func (s *sim) after(d time.Duration, do func()) { s.jobs = append(s.jobs, job{s.now.Add(d), do}) }

// live runs a function later unless the process has restarted.
func (s *sim) live(p *proc, d time.Duration, do func()) {
	boot := p.boot
	s.after(d, func() {
		if p.boot == boot {
			do()
		}
	})
}

func (s *sim) start(p *proc) {
	p.boot++
	p.calls, p.forwarded = make(map[uint64]*caller), make(map[uint64]func(serve.Answer))
	p.machine = serve.New(serve.Config{
		Self: p.self, Boot: fleet.BootID(fmt.Sprint(p.boot)), Roster: s.roster, Random: s.random,
	}, s.now, s.opts...)
	for _, running := range s.busy {
		for a := range running {
			if a.proc == p {
				delete(running, a)
			}
		}
	}
	s.step(p, serve.FleetObserved{Workers: s.workers})
}

func (s *sim) step(p *proc, ev serve.Event) {
	for _, e := range p.machine.Step(s.now, ev) {
		s.carryOut(p, e)
	}
}

func (s *sim) carryOut(p *proc, e serve.Effect) {
	switch e := e.(type) {
	case serve.Send:
		s.send(p, e)
	case serve.Forward:
		s.forward(p, e)
	case serve.Answer:
		s.answer(p, e)
	case serve.SendBorrow:
		s.borrow(p, e)
	case serve.AnswerBorrow:
		s.live(p, s.delay(8), func() { s.loan(e) })
	case serve.SendReturn:
		s.toPeer(s.find(e.To), func(q *proc) { s.step(q, serve.ReturnReceived{From: p.self.Host, Return: e.Return}) })
	case serve.ShareLoad:
		s.toPeer(s.find(e.To), func(q *proc) { s.step(q, serve.LoadReceived{From: p.self.Host, Load: e.Load}) })
	case serve.StoreTxn:
		s.storeTxn(p, e)
	case serve.StoreLease:
		s.live(p, s.delay(20), func() { s.step(p, serve.StoreLeaseEnded{GrantLeaseEnded: once.GrantLeaseEnded{Lease: 1}}) })
	}
}

func (s *sim) find(id fleet.EntryHostID) *proc {
	return s.procs[slices.IndexFunc(s.procs, func(p *proc) bool { return p.self.Host == id })]
}

// toPeer delivers a message once, never, or twice.
func (s *sim) toPeer(q *proc, do func(*proc)) {
	for range 1 + s.random.IntN(2) {
		if !s.chance(s.faults.linkLost) {
			s.live(q, s.delay(20), func() { do(q) })
		}
	}
}

func (s *sim) borrow(p *proc, e serve.SendBorrow) {
	s.nextID++
	call := s.nextID
	boot := p.boot
	s.loans[call] = func(loan wire.Loan) {
		for range 1 + s.random.IntN(2) {
			if p.boot == boot {
				s.step(p, serve.LoanReceived{Ask: e.Ask, Loan: loan})
			}
		}
	}
	s.live(p, time.Second, func() { s.step(p, serve.LoanMissed{Ask: e.Ask}) })
	if q := s.find(e.To); !s.chance(s.faults.linkLost) {
		s.live(q, s.delay(8), func() {
			s.step(q, serve.BorrowReceived{Call: call, From: p.self.Host, Borrow: e.Borrow})
		})
	}
}

func (s *sim) loan(e serve.AnswerBorrow) {
	if !s.chance(s.faults.linkLost) {
		s.loans[e.Call](e.Loan)
	}
}

// send runs an attempt on a worker: refused, answered, broken before or after it ran, or cut by the deadline.
func (s *sim) send(p *proc, e serve.Send) {
	ended := serve.AttemptEnded{ID: e.Request.ID, Attempt: e.Attempt, Status: 200, Latency: s.delay(s.latencyMS)}
	if s.chance(s.faults.unreachable) {
		ended.Result = serve.NotSent
		s.live(p, s.delay(20), func() { s.step(p, ended) })
		return
	}
	s.reach(p, e.Request)
	a := &attempt{proc: p, boot: p.boot, ends: e.Request.Deadline.Add(settle * 9 / 10)}
	s.busy[e.Worker.ID][a] = true
	if len(s.busy[e.Worker.ID]) > e.Worker.Slots {
		s.t.Fatalf("worker %s runs %d requests on %d slots", e.Worker.ID, len(s.busy[e.Worker.ID]), e.Worker.Slots)
	}
	if s.now.Add(ended.Latency).After(e.Request.Deadline) {
		ended.Result = serve.Broken
		s.after(a.ends.Sub(s.now), func() { delete(s.busy[e.Worker.ID], a) })
		s.live(p, e.Request.Deadline.Sub(s.now), func() { s.step(p, ended) })
		return
	}
	if s.chance(s.faults.broken) {
		ended.Result = serve.Broken
	}
	s.live(p, ended.Latency, func() {
		delete(s.busy[e.Worker.ID], a)
		s.step(p, ended)
	})
}

// reach counts a request at a backend server, also if it came through a peer.
func (s *sim) reach(p *proc, r serve.Request) {
	if c := p.calls[r.ID]; c != nil {
		c.reached++
	}
	if r.NonIdempotent {
		key := once.Key{Customer: r.Customer, Request: r.Key}
		if s.runs[key]++; s.runs[key] > 1 {
			s.t.Fatalf("request %v ran twice", key)
		}
	}
}

func (s *sim) forward(p *proc, e serve.Forward) {
	origin := p.calls[e.Request.ID]
	q := s.find(e.Peer)
	reply := func(o serve.Outcome) {
		s.step(p, serve.ForwardEnded{ID: e.Request.ID, Attempt: e.Attempt, Outcome: o, Status: 200})
	}
	s.live(p, max(0, e.Request.Deadline.Sub(s.now)), func() { reply(serve.Unknown) })
	if s.chance(s.faults.linkLost) {
		s.live(p, s.delay(20), func() { reply(serve.Unknown) })
		return
	}
	s.live(q, s.delay(8), func() {
		s.nextID++
		r := e.Request
		r.ID, r.Forwarded = s.nextID, true
		q.calls[r.ID] = origin
		q.forwarded[r.ID] = func(a serve.Answer) {
			if !s.chance(s.faults.linkLost) {
				s.live(p, s.delay(8), func() { reply(a.Outcome) })
			}
		}
		s.step(q, serve.Arrived{Request: r})
	})
}

func (s *sim) answer(p *proc, a serve.Answer) {
	if reply := p.forwarded[a.ID]; reply != nil {
		reply(a)
		return
	}
	c := p.calls[a.ID]
	c.answers = append(c.answers, a)
	c.took = s.now.Sub(c.arrived)
}

// storeTxn applies a transaction at once, late or never, and answers it clearly or not.
func (s *sim) storeTxn(p *proc, e serve.StoreTxn) {
	ended := once.TxnEnded{Txn: e.ID}
	reply := func() { s.step(p, serve.StoreTxnEnded{TxnEnded: ended}) }
	switch {
	case s.chance(s.faults.storeLate):
		ended.Err = &store.UnclearError{Op: "txn"}
		s.after(s.delay(3000), func() { s.apply(e.Txn) })
		s.live(p, s.delay(100), reply)
	case s.chance(s.faults.storeLost):
		s.after(s.delay(20), func() { s.apply(e.Txn) })
		ended.Err = &store.UnclearError{Op: "txn"}
		s.live(p, s.delay(100), reply)
	case s.chance(s.faults.storeLost):
		ended.Err = &store.NotSentError{Op: "txn"}
		s.live(p, s.delay(20), reply)
	default:
		s.after(s.delay(10), func() { ended.Result = s.apply(e.Txn) })
		s.live(p, 11*time.Millisecond, reply)
	}
}

func (s *sim) apply(t store.Txn) store.TxnResult {
	ops, r := t.Then, store.TxnResult{Committed: true}
	for _, c := range t.If {
		switch c := c.(type) {
		case store.Absent:
			_, held := s.keys[c.Key]
			r.Committed = r.Committed && !held
		case store.Equal:
			r.Committed = r.Committed && bytes.Equal(s.keys[c.Key].Value, c.Value)
		}
	}
	if !r.Committed {
		ops = t.Else
	}
	for _, op := range ops {
		switch op := op.(type) {
		case store.Put:
			s.keys[op.Key] = store.Entry{Key: op.Key, Value: op.Value}
		case store.Delete:
			delete(s.keys, op.Key)
		case store.Get:
			var found []store.Entry
			if e, ok := s.keys[op.Key]; ok {
				found = append(found, e)
			}
			r.Reads = append(r.Reads, found)
		}
	}
	return r
}

func (s *sim) arrive(p *proc) {
	s.nextID++
	c := &caller{process: p, boot: p.boot, arrived: s.now, request: serve.Request{
		ID: s.nextID, Key: fleet.RequestID(fmt.Sprint(s.random.IntN(len(s.callers) + 2))), Service: "c/s", Customer: "c",
		Class: fleet.Classes[s.random.IntN(3)], Deadline: s.now.Add(s.delay(s.deadlineMS)), NonIdempotent: s.chance(s.claimed),
	}}
	p.calls[c.request.ID] = c
	s.callers = append(s.callers, c)
	s.step(p, serve.Arrived{Request: c.request})
	if s.chance(s.faults.gone) {
		s.live(p, s.delay(500), func() {
			c.gone = true
			s.step(p, serve.CallerGone{ID: c.request.ID})
		})
	}
}

// run advances the time by d, with arrivals while the callers are there.
func (s *sim) run(d time.Duration, arrivals int) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tick) {
		slices.SortStableFunc(s.jobs, func(a, b job) int { return a.at.Compare(b.at) })
		for len(s.jobs) > 0 && !s.jobs[0].at.After(s.now) {
			j := s.jobs[0]
			s.jobs = s.jobs[1:]
			j.do()
		}
		for _, p := range s.procs {
			s.step(p, serve.Tick{})
			if s.chance(arrivals) {
				s.arrive(p)
			}
			if arrivals > 0 && s.chance(s.faults.restart) {
				s.start(p)
			}
		}
	}
}

// check looks at what each caller was told, after everything has ended.
func (s *sim) check() {
	for _, c := range s.callers {
		if c.process.boot == c.boot && !c.gone && len(c.answers) != 1 {
			s.t.Fatalf("request %d got %d answers", c.request.ID, len(c.answers))
		}
		for _, a := range c.answers {
			if a.Outcome == serve.NotRun && c.reached > 0 {
				s.t.Fatalf("request %d was told %s (%s) after it reached a backend server", a.ID, a.Outcome, a.Reason)
			}
			if a.Attempt > 0 && c.reached == 0 {
				s.t.Fatalf("request %d got an answer without a run", a.ID)
			}
		}
	}
	for _, p := range s.procs {
		if n := p.machine.Active() + p.machine.Unrecorded(); n > 0 {
			s.t.Fatalf("%d requests or outcomes of %s never ended", n, p.self.Host)
		}
	}
}

// newSim returns a world of entry hosts in the given zones and of workers in zone a.
func newSim(t interface{ Fatalf(string, ...any) }, seed uint64, zones []fleet.AvailabilityZone, slots ...int) *sim {
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0),
		deadlineMS: 7000, latencyMS: 300, claimed: 500,
		busy: make(map[fleet.WorkerID]map[*attempt]bool), keys: make(map[string]store.Entry),
		runs: make(map[once.Key]int), loans: make(map[uint64]func(wire.Loan)),
	}
	for i, zone := range zones {
		self := grant.Member{Host: fleet.EntryHostID(fmt.Sprint("e", i)), Zone: zone}
		s.roster = append(s.roster, self)
		s.procs = append(s.procs, &proc{self: self})
	}
	for i, n := range slots {
		id := fleet.WorkerID(fmt.Sprint("w", i))
		s.busy[id] = make(map[*attempt]bool)
		s.workers = append(s.workers, fleet.Worker{
			ID: id, Zone: "a", State: fleet.HostLive, Slots: n, Connections: 2 * n,
		})
	}
	return s
}

// Whatever is lost, late or twice, a worker must not be overloaded, a claimed request must not run twice, and no caller
// may be told not_run for a request that reached a backend server or be left without an answer.
func TestOutcomesAndSlotsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := func(label string, most int) int { return rapid.IntRange(0, most).Draw(t, label) }
		zones := []fleet.AvailabilityZone{"a", "a", "b"}
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), zones, 1+rate("slots", 3), 1+rate("slots", 3))
		s.faults = faults{
			storeLost: rate("store lost", 300), storeLate: rate("store late", 300), linkLost: rate("link lost", 300),
			unreachable: rate("unreachable", 300), broken: rate("broken", 300), restart: rate("restart", 2), gone: 50,
		}
		policies := []serve.Overflow{serve.BorrowFirst{}, serve.ForwardOnly{}}
		s.opts = []serve.Option{serve.WithOverflow(rapid.SampledFrom(policies).Draw(t, "overflow"))}
		for _, p := range s.procs {
			s.start(p)
		}
		s.run(20*time.Second, rate("arrivals", 200))
		s.faults = faults{}
		s.run(20*time.Second, 0)
		s.check()
	})
}

// BenchmarkOverflow compares what happens to requests without a free slot: at the third entry host, whose zone has no
// workers, all requests are such.
func BenchmarkOverflow(b *testing.B) {
	for _, deadlineMS := range []int{1000, 10000} {
		for _, policy := range []serve.Overflow{serve.BorrowFirst{}, serve.ForwardOnly{}, serve.WaitOnly{}} {
			b.Run(fmt.Sprintf("%T/%dms", policy, deadlineMS), func(b *testing.B) {
				var took []time.Duration
				asked := 0
				for i := range b.N {
					s := newSim(b, uint64(i), []fleet.AvailabilityZone{"a", "a", "b"}, 8, 8)
					s.deadlineMS, s.latencyMS, s.claimed = deadlineMS, 50, 0
					s.opts = []serve.Option{serve.WithOverflow(policy)}
					for _, p := range s.procs {
						s.start(p)
					}
					s.run(7*time.Second, 0)
					// Three requests in 10 ms need half of the 16 slots.
					s.run(20*time.Second, 1000)
					s.run(10*time.Second, 0)
					for _, c := range s.callers {
						asked++
						if c.answers[0].Outcome == serve.Ran {
							took = append(took, c.took)
						}
					}
				}
				slices.Sort(took)
				b.ReportMetric(float64(len(took))/float64(asked), "ran")
				b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "p50-ms")
				b.ReportMetric(float64(took[len(took)*99/100].Milliseconds()), "p99-ms")
			})
		}
	}
}
