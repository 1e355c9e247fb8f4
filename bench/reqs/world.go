package reqs

import (
	"math"
	"math/rand/v2"
	"time"

	"lovagefork.example/bench/event"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/once"
	"lovagefork.example/coord/serve"
)

// call is one request from the outside.
type call struct {
	class    fleet.Class
	customer fleet.CustomerID
	at       time.Time
	deadline time.Time
	done     bool
	ok       bool
	latency  time.Duration
	reject   string
}

// entry is a fake entry process around a real machine.
type entry struct {
	grant.Member
	m    *serve.Machine
	dead bool
	// calls holds the requests of callers, and forwards those of peers.
	calls    map[uint64]*call
	forwards map[uint64]func(serve.Response)
}

// server is a fake backend server; slow multiplies its service time.
type server struct {
	fleet.Worker
	busy int
	slow float64
	dead bool
}

// faults are the conditions of a run.
type faults struct {
	// jitter is the mean extra delay of a message over the delay between zones, as a part of it; loss is the part of
	// messages between zones that wait for a retransmission.
	jitter, loss float64
}

type world struct {
	loop    *event.Loop
	site    Site
	random  *rand.Rand
	mean    time.Duration
	faults  faults
	entries []*entry
	byHost  map[fleet.EntryHostID]*entry
	servers map[fleet.WorkerID]*server
	order   []*server
	calls   []*call
	loans   map[uint64]func(serve.SendLoan)
	next    uint64
	// excess counts requests that a server got beyond its slots.
	excess int
}

const service = fleet.ServiceID("bench/quote")

func newWorld(site Site, mean time.Duration, seed uint64, opts func(i int) []serve.Option) *world {
	w := &world{
		loop: event.New(), site: site, random: rand.New(rand.NewPCG(seed, 3)), mean: mean,
		byHost: map[fleet.EntryHostID]*entry{}, servers: map[fleet.WorkerID]*server{},
		loans: map[uint64]func(serve.SendLoan){},
	}
	for _, f := range site.fleet() {
		s := &server{Worker: f, slow: 1}
		w.servers[f.ID] = s
		w.order = append(w.order, s)
	}
	for i, member := range site.roster() {
		e := &entry{Member: member, calls: map[uint64]*call{}, forwards: map[uint64]func(serve.Response){}}
		e.m = serve.New(serve.Config{
			Self: member, Boot: "1", Roster: site.roster(), Random: rand.New(rand.NewPCG(seed, uint64(100+i))),
		}, w.loop.Now(), opts(i)...)
		w.entries = append(w.entries, e)
		w.byHost[member.Host] = e
		w.step(e, serve.FleetObserved{Workers: site.fleet()})
		w.loop.Every(25*time.Millisecond, func() { w.step(e, serve.Tick{}) })
	}
	return w
}

func (w *world) step(e *entry, ev serve.Event) {
	if e.dead {
		return
	}
	for _, effect := range e.m.Step(w.loop.Now(), ev) {
		w.apply(e, effect)
	}
}

// link returns the delay of one message between two zones.
func (w *world) link(a, b fleet.AvailabilityZone) time.Duration {
	if a == b {
		return 200 * time.Microsecond
	}
	d := float64(w.site.delay) * (1 + w.faults.jitter*w.random.ExpFloat64())
	if w.random.Float64() < w.faults.loss {
		d += float64(retransmit)
	}
	return time.Duration(d)
}

func (w *world) toPeer(from, to *entry, ev serve.Event) {
	w.loop.After(w.link(from.Zone, to.Zone), func() { w.step(to, ev) })
}

func (w *world) apply(e *entry, effect serve.Effect) {
	switch x := effect.(type) {
	case serve.Send:
		w.send(e, x)
	case serve.Forward:
		w.forward(e, x)
	case serve.Response:
		w.answer(e, x)
	case serve.SendBorrow:
		w.next++
		to, id := w.byHost[x.To], w.next
		w.loans[id] = func(a serve.SendLoan) { w.toPeer(to, e, serve.LoanReceived{Call: x.Call, Loan: a.Loan}) }
		w.toPeer(e, to, serve.BorrowReceived{Call: id, From: e.Host, Borrow: x.Borrow})
		w.loop.After(time.Second, func() {
			if _, open := w.loans[id]; open {
				delete(w.loans, id)
				w.step(e, serve.BorrowFailed{Call: x.Call})
			}
		})
	case serve.SendLoan:
		if reply := w.loans[x.Call]; reply != nil {
			delete(w.loans, x.Call)
			reply(x)
		}
	case serve.SendReturn:
		w.toPeer(e, w.byHost[x.To], serve.ReturnReceived{From: e.Host, Return: x.Return})
	case serve.SendLoad:
		w.toPeer(e, w.byHost[x.To], serve.LoadReceived{From: e.Host, Load: x.Load})
	case serve.StoreLease:
		w.loop.After(5*time.Millisecond, func() {
			w.step(e, serve.StoreLeaseEnded{GrantLeaseEnded: once.GrantLeaseEnded{Lease: 1}})
		})
	}
}

// serviceTime draws a log-normal time with the given mean; a sigma of 0.6 puts its p99 at 3.4 times the mean.
func (w *world) serviceTime(slow float64) time.Duration {
	const sigma = 0.6
	x := math.Exp(sigma*w.random.NormFloat64() - sigma*sigma/2)
	return time.Duration(x * slow * float64(w.mean))
}

// send runs an attempt on a fake server, which stops it when the connection ends at the deadline.
func (w *world) send(e *entry, x serve.Send) {
	s, start := w.servers[x.Worker.ID], w.loop.Now()
	ended := serve.AttemptEnded{ID: x.Request.ID, Attempt: x.Attempt, Result: serve.Completed, Status: 200}
	finish := func(r serve.Result) {
		ended.Result, ended.Latency = r, w.loop.Now().Sub(start)
		w.step(e, ended)
	}
	if s.dead {
		w.loop.After(connectTimeout, func() { finish(serve.NotSent) })
		return
	}
	back := w.link(e.Zone, s.Zone)
	w.loop.After(w.link(e.Zone, s.Zone), func() {
		if s.dead {
			w.loop.After(connectTimeout, func() { finish(serve.Interrupted) })
			return
		}
		s.busy++
		if s.busy > slots {
			w.excess++
		}
		run, result := w.serviceTime(s.slow), serve.Completed
		if left := x.Request.Deadline.Sub(w.loop.Now()); run+back > left {
			run, result = max(left, 0), serve.Interrupted
		}
		w.loop.After(run, func() {
			s.busy--
			if s.dead {
				result = serve.Interrupted
			}
			if result == serve.Interrupted {
				finish(result)
				return
			}
			w.loop.After(back, func() { finish(result) })
		})
	})
}

// forward passes a request to a peer and its answer back.
func (w *world) forward(e *entry, x serve.Forward) {
	peer := w.byHost[x.Peer]
	open := true
	end := func(o serve.Outcome, reason string, status int) {
		if open {
			open = false
			w.step(e, serve.ForwardEnded{ID: x.Request.ID, Attempt: x.Attempt, Outcome: o, Reason: reason, Status: status})
		}
	}
	w.loop.After(x.Request.Deadline.Sub(w.loop.Now()), func() { end(serve.Unknown, "timeout", 0) })
	if peer.dead {
		w.loop.After(connectTimeout, func() { end(serve.NotRun, "peer_unreachable", 0) })
		return
	}
	w.next++
	id, request := w.next, x.Request
	request.ID, request.Forwarded = id, true
	peer.forwards[id] = func(a serve.Response) {
		w.loop.After(w.link(peer.Zone, e.Zone), func() { end(a.Outcome, a.Reason, a.Status) })
	}
	w.toPeer(e, peer, serve.Arrived{Request: request})
}

func (w *world) answer(e *entry, a serve.Response) {
	if reply := e.forwards[a.ID]; reply != nil {
		delete(e.forwards, a.ID)
		reply(a)
		return
	}
	c := e.calls[a.ID]
	if c == nil || c.done {
		return
	}
	delete(e.calls, a.ID)
	c.done, c.latency = true, w.loop.Now().Sub(c.at)
	c.ok = a.Outcome == serve.Ran && !w.loop.Now().After(c.deadline)
	c.reject = a.Reason
}
