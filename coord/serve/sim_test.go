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
	tick       = 10 * time.Millisecond
	settleTime = grant.DefaultReleaseDelay
)

// faults holds the probability of each fault, in thousandths.
type faults struct{ storeLost, storeLate, linkLost, unreachable, interrupted, restart, disconnect int }

// caller records a request and its responses as its caller sees them, and the number of times that it reached a backend
// server.
type caller struct {
	request      serve.Request
	process      *proc
	boot         int
	backendRuns  int
	responses    []serve.Response
	latency      time.Duration
	arrivedAt    time.Time
	disconnected bool
}

// proc is an entry process; a restart increments boot and replaces the machine.
type proc struct {
	self    grant.Member
	boot    int
	machine *serve.Machine
	calls   map[uint64]*caller
	// forwarded maps requests received from peers to the functions that send the response.
	forwarded map[uint64]func(serve.Response)
}

type timer struct {
	at time.Time
	do func()
}

// sim simulates entry processes, backend servers and a store in virtual time.
type sim struct {
	t       interface{ Fatalf(string, ...any) }
	random  *rand.Rand
	faults  faults
	now     time.Time
	timers  []timer
	roster  []grant.Member
	workers []fleet.Worker
	procs   []*proc
	running map[fleet.WorkerID]map[*attempt]bool
	keys    map[string]store.Entry
	runs    map[once.Key]int
	callers []*caller
	nextID  uint64
	// deadlineMS and latencyMS are the maximum time to a request's deadline and the maximum latency of an attempt;
	// nonIdempotentPermille is the share of non-idempotent requests.
	deadlineMS, latencyMS, nonIdempotentPermille int
	opts                                         []serve.Option
	// crashing reports whether a request crashes the server to which it is sent.
	crashing func(serve.Request) bool
	// pendingBorrows maps calls to the functions that deliver the loan to the borrower.
	pendingBorrows map[uint64]func(wire.Loan)
}

type attempt struct {
	proc   *proc
	boot   int
	endsAt time.Time
}

func (s *sim) chance(permille int) bool { return s.random.IntN(1000) < permille }

func (s *sim) delay(maxMS int) time.Duration {
	return time.Duration(1+s.random.IntN(maxMS)) * time.Millisecond
}

func (s *sim) after(d time.Duration, do func()) { s.timers = append(s.timers, timer{s.now.Add(d), do}) }

// afterUnlessRestarted runs a function after d unless the process has restarted by then.
func (s *sim) afterUnlessRestarted(p *proc, d time.Duration, do func()) {
	boot := p.boot
	s.after(d, func() {
		if p.boot == boot {
			do()
		}
	})
}

func (s *sim) start(p *proc) {
	p.boot++
	p.calls, p.forwarded = make(map[uint64]*caller), make(map[uint64]func(serve.Response))
	p.machine = serve.New(serve.Config{
		Self: p.self, Boot: fleet.BootID(fmt.Sprint(p.boot)), Roster: s.roster, Random: s.random,
	}, s.now, s.opts...)
	for _, running := range s.running {
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
		s.applyEffect(p, e)
	}
}

func (s *sim) applyEffect(p *proc, e serve.Effect) {
	switch e := e.(type) {
	case serve.Send:
		s.send(p, e)
	case serve.Forward:
		s.forward(p, e)
	case serve.Response:
		s.respond(p, e)
	case serve.SendBorrow:
		s.sendBorrow(p, e)
	case serve.SendLoan:
		s.afterUnlessRestarted(p, s.delay(8), func() { s.deliverLoan(e) })
	case serve.SendReturn:
		s.toPeer(s.procOf(e.To), func(q *proc) { s.step(q, serve.ReturnReceived{From: p.self.Host, Return: e.Return}) })
	case serve.SendLoad:
		s.toPeer(s.procOf(e.To), func(q *proc) { s.step(q, serve.LoadReceived{From: p.self.Host, Load: e.Load}) })
	case serve.StoreTxn:
		s.storeTxn(p, e)
	case serve.StoreLease:
		s.afterUnlessRestarted(p, s.delay(20), func() {
			s.step(p, serve.StoreLeaseEnded{GrantLeaseEnded: once.GrantLeaseEnded{Lease: 1}})
		})
	}
}

func (s *sim) procOf(id fleet.EntryHostID) *proc {
	return s.procs[slices.IndexFunc(s.procs, func(p *proc) bool { return p.self.Host == id })]
}

// toPeer delivers a message once, never, or twice.
func (s *sim) toPeer(q *proc, do func(*proc)) {
	for range 1 + s.random.IntN(2) {
		if !s.chance(s.faults.linkLost) {
			s.afterUnlessRestarted(q, s.delay(20), func() { do(q) })
		}
	}
}

func (s *sim) sendBorrow(p *proc, e serve.SendBorrow) {
	s.nextID++
	call := s.nextID
	boot := p.boot
	s.pendingBorrows[call] = func(loan wire.Loan) {
		for range 1 + s.random.IntN(2) {
			if p.boot == boot {
				s.step(p, serve.LoanReceived{Call: e.Call, Loan: loan})
			}
		}
	}
	s.afterUnlessRestarted(p, time.Second, func() { s.step(p, serve.BorrowFailed{Call: e.Call}) })
	if q := s.procOf(e.To); !s.chance(s.faults.linkLost) {
		s.afterUnlessRestarted(q, s.delay(8), func() {
			s.step(q, serve.BorrowReceived{Call: call, From: p.self.Host, Borrow: e.Borrow})
		})
	}
}

func (s *sim) deliverLoan(e serve.SendLoan) {
	if !s.chance(s.faults.linkLost) {
		s.pendingBorrows[e.Call](e.Loan)
	}
}

// send runs an attempt on a worker. Depending on the faults, the attempt is not sent, completes, is interrupted, or
// runs past the deadline.
func (s *sim) send(p *proc, e serve.Send) {
	ended := serve.AttemptEnded{ID: e.Request.ID, Attempt: e.Attempt, Status: 200, Latency: s.delay(s.latencyMS)}
	if s.chance(s.faults.unreachable) {
		ended.Result = serve.ResultNotSent
		s.afterUnlessRestarted(p, s.delay(20), func() { s.step(p, ended) })
		return
	}
	s.recordRun(p, e.Request)
	a := &attempt{proc: p, boot: p.boot, endsAt: e.Request.Deadline.Add(settleTime * 9 / 10)}
	s.running[e.Worker.ID][a] = true
	if len(s.running[e.Worker.ID]) > e.Worker.Slots {
		s.t.Fatalf("worker %s runs %d requests but has %d slots", e.Worker.ID, len(s.running[e.Worker.ID]), e.Worker.Slots)
	}
	if s.now.Add(ended.Latency).After(e.Request.Deadline) {
		ended.Result = serve.ResultInterrupted
		s.after(a.endsAt.Sub(s.now), func() { delete(s.running[e.Worker.ID], a) })
		s.afterUnlessRestarted(p, e.Request.Deadline.Sub(s.now), func() { s.step(p, ended) })
		return
	}
	if s.chance(s.faults.interrupted) || s.crashing != nil && s.crashing(e.Request) {
		ended.Result = serve.ResultInterrupted
	}
	s.afterUnlessRestarted(p, ended.Latency, func() {
		delete(s.running[e.Worker.ID], a)
		s.step(p, ended)
	})
}

// recordRun counts a run of a request on a backend server for its original caller, also if a peer forwarded it, and
// fails if a non-idempotent request runs twice.
func (s *sim) recordRun(p *proc, r serve.Request) {
	if c := p.calls[r.ID]; c != nil {
		c.backendRuns++
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
	q := s.procOf(e.Peer)
	reply := func(o serve.Outcome) {
		s.step(p, serve.ForwardEnded{ID: e.Request.ID, Attempt: e.Attempt, Outcome: o, Status: 200})
	}
	s.afterUnlessRestarted(p, max(0, e.Request.Deadline.Sub(s.now)), func() { reply(serve.OutcomeUnknown) })
	if s.chance(s.faults.linkLost) {
		s.afterUnlessRestarted(p, s.delay(20), func() { reply(serve.OutcomeUnknown) })
		return
	}
	s.afterUnlessRestarted(q, s.delay(8), func() {
		s.nextID++
		r := e.Request
		r.ID, r.Forwarded = s.nextID, true
		q.calls[r.ID] = origin
		q.forwarded[r.ID] = func(a serve.Response) {
			if !s.chance(s.faults.linkLost) {
				s.afterUnlessRestarted(p, s.delay(8), func() { reply(a.Outcome) })
			}
		}
		s.step(q, serve.Arrived{Request: r})
	})
}

func (s *sim) respond(p *proc, a serve.Response) {
	if reply := p.forwarded[a.ID]; reply != nil {
		reply(a)
		return
	}
	c := p.calls[a.ID]
	c.responses = append(c.responses, a)
	c.latency = s.now.Sub(c.arrivedAt)
}

// storeTxn applies a transaction immediately, late or never, and reports its result or an unknown outcome.
func (s *sim) storeTxn(p *proc, e serve.StoreTxn) {
	ended := once.TxnEnded{Txn: e.ID}
	reply := func() { s.step(p, serve.StoreTxnEnded{TxnEnded: ended}) }
	switch {
	case s.chance(s.faults.storeLate):
		ended.Err = &store.OutcomeUnknownError{Op: "txn"}
		s.after(s.delay(3000), func() { s.applyTxn(e.Txn) })
		s.afterUnlessRestarted(p, s.delay(100), reply)
	case s.chance(s.faults.storeLost):
		s.after(s.delay(20), func() { s.applyTxn(e.Txn) })
		ended.Err = &store.OutcomeUnknownError{Op: "txn"}
		s.afterUnlessRestarted(p, s.delay(100), reply)
	case s.chance(s.faults.storeLost):
		ended.Err = &store.NotSentError{Op: "txn"}
		s.afterUnlessRestarted(p, s.delay(20), reply)
	default:
		s.after(s.delay(10), func() { ended.Result = s.applyTxn(e.Txn) })
		s.afterUnlessRestarted(p, 11*time.Millisecond, reply)
	}
}

func (s *sim) applyTxn(t store.Txn) store.TxnResult {
	ops, r := t.Then, store.TxnResult{Committed: true}
	for _, c := range t.If {
		switch c := c.(type) {
		case store.KeyAbsent:
			_, held := s.keys[c.Key]
			r.Committed = r.Committed && !held
		case store.ValueEqual:
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

func (s *sim) newRequest(p *proc) {
	s.nextID++
	c := &caller{process: p, boot: p.boot, arrivedAt: s.now, request: serve.Request{
		ID: s.nextID, Key: fleet.RequestID(fmt.Sprint(s.random.IntN(len(s.callers) + 2))), Service: "c/s", Customer: "c",
		Class: fleet.Classes[s.random.IntN(3)], Deadline: s.now.Add(s.delay(s.deadlineMS)),
		NonIdempotent: s.chance(s.nonIdempotentPermille),
	}}
	p.calls[c.request.ID] = c
	s.callers = append(s.callers, c)
	s.step(p, serve.Arrived{Request: c.request})
	if s.chance(s.faults.disconnect) {
		s.afterUnlessRestarted(p, s.delay(500), func() {
			c.disconnected = true
			s.step(p, serve.CallerDisconnected{ID: c.request.ID})
		})
	}
}

// run advances the time by d. arrivals is the probability of a new request per process and tick, in thousandths;
// processes restart only if it is positive.
func (s *sim) run(d time.Duration, arrivals int) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tick) {
		slices.SortStableFunc(s.timers, func(a, b timer) int { return a.at.Compare(b.at) })
		for len(s.timers) > 0 && !s.timers[0].at.After(s.now) {
			next := s.timers[0]
			s.timers = s.timers[1:]
			next.do()
		}
		for _, p := range s.procs {
			s.step(p, serve.Tick{})
			if s.chance(arrivals) {
				s.newRequest(p)
			}
			if arrivals > 0 && s.chance(s.faults.restart) {
				s.start(p)
			}
		}
	}
}

// checkOutcomes checks the responses to all callers, after all requests have ended.
func (s *sim) checkOutcomes() {
	for _, c := range s.callers {
		if c.process.boot == c.boot && !c.disconnected && len(c.responses) != 1 {
			s.t.Fatalf("request %d got %d responses", c.request.ID, len(c.responses))
		}
		for _, a := range c.responses {
			if a.Outcome == serve.OutcomeNotRun && c.backendRuns > 0 {
				s.t.Fatalf("request %d got outcome %s (%s) after it reached a backend server", a.ID, a.Outcome, a.Reason)
			}
			if a.Attempt > 0 && c.backendRuns == 0 {
				s.t.Fatalf("request %d got a response of a backend server but never reached one", a.ID)
			}
		}
	}
	for _, p := range s.procs {
		if n := p.machine.ActiveRequests() + p.machine.UnrecordedOutcomes(); n > 0 {
			s.t.Fatalf("%d requests or unrecorded outcomes of %s remain", n, p.self.Host)
		}
	}
}

// newSim returns a simulation with entry hosts in the given zones, and with workers in zone a that have the given
// slots.
func newSim(t interface{ Fatalf(string, ...any) }, seed uint64, zones []fleet.AvailabilityZone, slots ...int) *sim {
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0),
		deadlineMS: 7000, latencyMS: 300, nonIdempotentPermille: 500,
		running: make(map[fleet.WorkerID]map[*attempt]bool), keys: make(map[string]store.Entry),
		runs: make(map[once.Key]int), pendingBorrows: make(map[uint64]func(wire.Loan)),
	}
	for i, zone := range zones {
		self := grant.Member{Host: fleet.EntryHostID(fmt.Sprint("e", i)), Zone: zone}
		s.roster = append(s.roster, self)
		s.procs = append(s.procs, &proc{self: self})
	}
	for i, n := range slots {
		id := fleet.WorkerID(fmt.Sprint("w", i))
		s.running[id] = make(map[*attempt]bool)
		s.workers = append(s.workers, fleet.Worker{
			ID: id, Zone: "a", State: fleet.HostLive, Slots: n, Connections: 2 * n,
		})
	}
	return s
}

// Lost, late and duplicated messages, failed store transactions and restarts must not overload a worker or run a
// non-idempotent request twice. Each caller must get exactly one response, and never not_run for a request that reached
// a backend server.
func TestOutcomesAndSlotsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := func(label string, most int) int { return rapid.IntRange(0, most).Draw(t, label) }
		zones := []fleet.AvailabilityZone{"a", "a", "b"}
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), zones, 1+rate("slots", 3), 1+rate("slots", 3))
		s.faults = faults{
			storeLost: rate("store lost", 300), storeLate: rate("store late", 300), linkLost: rate("link lost", 300),
			unreachable: rate("unreachable", 300), interrupted: rate("broken", 300), restart: rate("restart", 2), disconnect: 50,
		}
		policies := []serve.Overflow{serve.BorrowFirst{}, serve.ForwardOnly{}}
		s.opts = []serve.Option{serve.WithOverflow(rapid.SampledFrom(policies).Draw(t, "overflow"))}
		for _, p := range s.procs {
			s.start(p)
		}
		s.run(20*time.Second, rate("arrivals", 200))
		s.faults = faults{}
		s.run(20*time.Second, 0)
		s.checkOutcomes()
	})
}

// BenchmarkOverflow compares the policies for requests without a free slot. The zone of the third entry host has no
// workers, so that none of its requests has one.
func BenchmarkOverflow(b *testing.B) {
	for _, deadlineMS := range []int{1000, 10000} {
		for _, policy := range []serve.Overflow{serve.BorrowFirst{}, serve.ForwardOnly{}, serve.WaitOnly{}} {
			b.Run(fmt.Sprintf("%T/%dms", policy, deadlineMS), func(b *testing.B) {
				var latencies []time.Duration
				requests := 0
				for i := range b.N {
					s := newSim(b, uint64(i), []fleet.AvailabilityZone{"a", "a", "b"}, 8, 8)
					s.deadlineMS, s.latencyMS, s.nonIdempotentPermille = deadlineMS, 50, 0
					s.opts = []serve.Option{serve.WithOverflow(policy)}
					for _, p := range s.procs {
						s.start(p)
					}
					s.run(7*time.Second, 0)
					// Three requests per 10 ms occupy half of the 16 slots.
					s.run(20*time.Second, 1000)
					s.run(10*time.Second, 0)
					for _, c := range s.callers {
						requests++
						if c.responses[0].Outcome == serve.OutcomeRan {
							latencies = append(latencies, c.latency)
						}
					}
				}
				slices.Sort(latencies)
				b.ReportMetric(float64(len(latencies))/float64(requests), "ran")
				b.ReportMetric(float64(latencies[len(latencies)/2].Milliseconds()), "p50-ms")
				b.ReportMetric(float64(latencies[len(latencies)*99/100].Milliseconds()), "p99-ms")
			})
		}
	}
}
