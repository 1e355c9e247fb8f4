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
	class        fleet.Class
	customer     fleet.CustomerID
	arrivedAt    time.Time
	deadline     time.Time
	done         bool
	inTime       bool
	latency      time.Duration
	rejectReason string
}

// entry is a fake entry process around a real machine.
type entryHost struct {
	grant.Member
	machine *serve.Machine
	dead    bool
	// calls holds the requests of callers, and forwards those of peers.
	calls    map[uint64]*call
	forwards map[uint64]func(serve.Response)
}

// server is a fake backend server; slow multiplies its service time.
type server struct {
	fleet.Worker
	busy     int
	slowdown float64
	dead     bool
}

// faults are the conditions of a run.
type linkFaults struct {
	// jitter is the mean extra delay of a message over the delay between zones, as a part of it; loss is the part of
	// messages between zones that wait for a retransmission.
	jitter, loss float64
}

type simulation struct {
	loop            *event.Loop
	site            Site
	random          *rand.Rand
	meanServiceTime time.Duration
	faults          linkFaults
	entries         []*entryHost
	entriesByID     map[fleet.EntryHostID]*entryHost
	servers         map[fleet.WorkerID]*server
	serverList      []*server
	calls           []*call
	pendingBorrows  map[uint64]func(serve.SendLoan)
	lastID          uint64
	// excess counts requests that a server got beyond its slots.
	beyondSlots int
}

const service = fleet.ServiceID("bench/quote")

func newSimulation(site Site, mean time.Duration, seed uint64, opts func(i int) []serve.Option) *simulation {
	w := &simulation{
		loop: event.New(), site: site, random: rand.New(rand.NewPCG(seed, 3)), meanServiceTime: mean,
		entriesByID: map[fleet.EntryHostID]*entryHost{}, servers: map[fleet.WorkerID]*server{},
		pendingBorrows: map[uint64]func(serve.SendLoan){},
	}
	for _, f := range site.fleet() {
		s := &server{Worker: f, slowdown: 1}
		w.servers[f.ID] = s
		w.serverList = append(w.serverList, s)
	}
	for i, member := range site.roster() {
		e := &entryHost{Member: member, calls: map[uint64]*call{}, forwards: map[uint64]func(serve.Response){}}
		e.machine = serve.New(serve.Config{
			Self: member, Boot: "1", Roster: site.roster(), Random: rand.New(rand.NewPCG(seed, uint64(100+i))),
		}, w.loop.Now(), opts(i)...)
		w.entries = append(w.entries, e)
		w.entriesByID[member.Host] = e
		w.step(e, serve.FleetObserved{Workers: site.fleet()})
		w.loop.Every(25*time.Millisecond, func() { w.step(e, serve.Tick{}) })
	}
	return w
}

func (w *simulation) step(e *entryHost, ev serve.Event) {
	if e.dead {
		return
	}
	for _, effect := range e.machine.Step(w.loop.Now(), ev) {
		w.applyEffect(e, effect)
	}
}

// link returns the delay of one message between two zones.
func (w *simulation) linkDelay(a, b fleet.AvailabilityZone) time.Duration {
	if a == b {
		return 200 * time.Microsecond
	}
	d := float64(w.site.zoneDelay) * (1 + w.faults.jitter*w.random.ExpFloat64())
	if w.random.Float64() < w.faults.loss {
		d += float64(retransmitDelay)
	}
	return time.Duration(d)
}

func (w *simulation) sendToPeer(from, to *entryHost, ev serve.Event) {
	w.loop.After(w.linkDelay(from.Zone, to.Zone), func() { w.step(to, ev) })
}

func (w *simulation) applyEffect(e *entryHost, effect serve.Effect) {
	switch x := effect.(type) {
	case serve.Send:
		w.runAttempt(e, x)
	case serve.Forward:
		w.forward(e, x)
	case serve.Response:
		w.handleResponse(e, x)
	case serve.SendBorrow:
		w.lastID++
		to, id := w.entriesByID[x.To], w.lastID
		w.pendingBorrows[id] = func(a serve.SendLoan) { w.sendToPeer(to, e, serve.LoanReceived{Call: x.Call, Loan: a.Loan}) }
		w.sendToPeer(e, to, serve.BorrowReceived{Call: id, From: e.Host, Borrow: x.Borrow})
		w.loop.After(time.Second, func() {
			if _, open := w.pendingBorrows[id]; open {
				delete(w.pendingBorrows, id)
				w.step(e, serve.BorrowFailed{Call: x.Call})
			}
		})
	case serve.SendLoan:
		if reply := w.pendingBorrows[x.Call]; reply != nil {
			delete(w.pendingBorrows, x.Call)
			reply(x)
		}
	case serve.SendReturn:
		w.sendToPeer(e, w.entriesByID[x.To], serve.ReturnReceived{From: e.Host, Return: x.Return})
	case serve.SendLoad:
		w.sendToPeer(e, w.entriesByID[x.To], serve.LoadReceived{From: e.Host, Load: x.Load})
	case serve.StoreLease:
		w.loop.After(5*time.Millisecond, func() {
			w.step(e, serve.StoreLeaseEnded{LeaseEnded: once.LeaseEnded{Lease: 1}})
		})
	}
}

// serviceTime draws a log-normal time with the given mean; a sigma of 0.6 puts its p99 at 3.4 times the mean.
func (w *simulation) serviceTime(slow float64) time.Duration {
	const sigma = 0.6
	x := math.Exp(sigma*w.random.NormFloat64() - sigma*sigma/2)
	return time.Duration(x * slow * float64(w.meanServiceTime))
}

// send runs an attempt on a fake server, which stops it when the connection ends at the deadline.
func (w *simulation) runAttempt(e *entryHost, x serve.Send) {
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
	back := w.linkDelay(e.Zone, s.Zone)
	w.loop.After(w.linkDelay(e.Zone, s.Zone), func() {
		if s.dead {
			w.loop.After(connectTimeout, func() { finish(serve.Interrupted) })
			return
		}
		s.busy++
		if s.busy > slotsPerServer {
			w.beyondSlots++
		}
		run, result := w.serviceTime(s.slowdown), serve.Completed
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
func (w *simulation) forward(e *entryHost, x serve.Forward) {
	peer := w.entriesByID[x.Peer]
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
	w.lastID++
	id, request := w.lastID, x.Request
	request.ID, request.Forwarded = id, true
	peer.forwards[id] = func(a serve.Response) {
		w.loop.After(w.linkDelay(peer.Zone, e.Zone), func() { end(a.Outcome, a.Reason, a.Status) })
	}
	w.sendToPeer(e, peer, serve.Arrived{Request: request})
}

func (w *simulation) handleResponse(e *entryHost, a serve.Response) {
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
	c.done, c.latency = true, w.loop.Now().Sub(c.arrivedAt)
	c.inTime = a.Outcome == serve.Ran && !w.loop.Now().After(c.deadline)
	c.rejectReason = a.Reason
}
