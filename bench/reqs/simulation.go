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

// call is one request of a client.
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

// entryHost is a simulated entry process that runs a real serve.Machine.
type entryHost struct {
	grant.Member
	machine *serve.Machine
	dead    bool
	// calls holds the requests of clients by ID, and forwards the response handlers of requests forwarded by peers.
	calls    map[uint64]*call
	forwards map[uint64]func(serve.Response)
}

// server is a simulated backend server. Its service times are multiplied by slowdown.
type server struct {
	fleet.Worker
	busySlots int
	slowdown  float64
	dead      bool
}

// linkFaults configures the faults of links between zones.
type linkFaults struct {
	// jitter is the mean additional delay of a message as a fraction of the delay between zones. loss is the fraction
	// of messages that are delayed by a retransmission.
	jitter, loss float64
}

// simulation holds the entry hosts and backend servers of one run.
type simulation struct {
	loop            *event.Loop
	site            Site
	rng             *rand.Rand
	meanServiceTime time.Duration
	faults          linkFaults
	entryHosts      []*entryHost
	entryHostsByID  map[fleet.EntryHostID]*entryHost
	servers         map[fleet.WorkerID]*server
	serverList      []*server
	calls           []*call
	pendingBorrows  map[uint64]func(serve.SendLoan)
	lastID          uint64
	// requestsBeyondSlots counts the requests received by a server that had no free slot.
	requestsBeyondSlots int
}

const service = fleet.ServiceID("bench/quote")

func newSimulation(site Site, mean time.Duration, seed uint64, opts func(i int) []serve.Option) *simulation {
	sim := &simulation{
		loop: event.New(), site: site, rng: rand.New(rand.NewPCG(seed, 3)), meanServiceTime: mean,
		entryHostsByID: map[fleet.EntryHostID]*entryHost{}, servers: map[fleet.WorkerID]*server{},
		pendingBorrows: map[uint64]func(serve.SendLoan){},
	}
	for _, f := range site.fleet() {
		s := &server{Worker: f, slowdown: 1}
		sim.servers[f.ID] = s
		sim.serverList = append(sim.serverList, s)
	}
	for i, member := range site.roster() {
		e := &entryHost{Member: member, calls: map[uint64]*call{}, forwards: map[uint64]func(serve.Response){}}
		e.machine = serve.New(serve.Config{
			Self: member, Boot: "1", Roster: site.roster(), Random: rand.New(rand.NewPCG(seed, uint64(100+i))),
		}, sim.loop.Now(), opts(i)...)
		sim.entryHosts = append(sim.entryHosts, e)
		sim.entryHostsByID[member.Host] = e
		sim.step(e, serve.FleetObserved{Workers: site.fleet()})
		sim.loop.Every(25*time.Millisecond, func() { sim.step(e, serve.Tick{}) })
	}
	return sim
}

func (sim *simulation) step(e *entryHost, ev serve.Event) {
	if e.dead {
		return
	}
	for _, effect := range e.machine.Step(sim.loop.Now(), ev) {
		sim.applyEffect(e, effect)
	}
}

// linkDelay returns a random delay for one message between two zones.
func (sim *simulation) linkDelay(a, b fleet.AvailabilityZone) time.Duration {
	if a == b {
		return 200 * time.Microsecond
	}
	d := float64(sim.site.zoneDelay) * (1 + sim.faults.jitter*sim.rng.ExpFloat64())
	if sim.rng.Float64() < sim.faults.loss {
		d += float64(retransmitDelay)
	}
	return time.Duration(d)
}

func (sim *simulation) sendToPeer(from, to *entryHost, ev serve.Event) {
	sim.loop.After(sim.linkDelay(from.Zone, to.Zone), func() { sim.step(to, ev) })
}

func (sim *simulation) applyEffect(e *entryHost, effect serve.Effect) {
	switch x := effect.(type) {
	case serve.Send:
		sim.runAttempt(e, x)
	case serve.Forward:
		sim.forward(e, x)
	case serve.Response:
		sim.handleResponse(e, x)
	case serve.SendBorrow:
		sim.lastID++
		to, id := sim.entryHostsByID[x.To], sim.lastID
		sim.pendingBorrows[id] = func(l serve.SendLoan) { sim.sendToPeer(to, e, serve.LoanReceived{Call: x.Call, Loan: l.Loan}) }
		sim.sendToPeer(e, to, serve.BorrowReceived{Call: id, From: e.Host, Borrow: x.Borrow})
		sim.loop.After(time.Second, func() {
			if _, pending := sim.pendingBorrows[id]; pending {
				delete(sim.pendingBorrows, id)
				sim.step(e, serve.BorrowFailed{Call: x.Call})
			}
		})
	case serve.SendLoan:
		if reply := sim.pendingBorrows[x.Call]; reply != nil {
			delete(sim.pendingBorrows, x.Call)
			reply(x)
		}
	case serve.SendReturn:
		sim.sendToPeer(e, sim.entryHostsByID[x.To], serve.ReturnReceived{From: e.Host, Return: x.Return})
	case serve.SendLoad:
		sim.sendToPeer(e, sim.entryHostsByID[x.To], serve.LoadReceived{From: e.Host, Load: x.Load})
	case serve.StoreLease:
		sim.loop.After(5*time.Millisecond, func() {
			sim.step(e, serve.StoreLeaseEnded{GrantLeaseEnded: once.GrantLeaseEnded{Lease: 1}})
		})
	}
}

// serviceTime draws a log-normally distributed time with mean meanServiceTime times the slowdown. With sigma 0.6 the
// 99th percentile is 3.4 times the mean.
func (sim *simulation) serviceTime(slowdown float64) time.Duration {
	const sigma = 0.6
	x := math.Exp(sigma*sim.rng.NormFloat64() - sigma*sigma/2)
	return time.Duration(x * slowdown * float64(sim.meanServiceTime))
}

// runAttempt runs an attempt on a simulated server. The server aborts it when the connection is closed at the deadline.
func (sim *simulation) runAttempt(e *entryHost, x serve.Send) {
	s, start := sim.servers[x.Worker.ID], sim.loop.Now()
	ended := serve.AttemptEnded{ID: x.Request.ID, Attempt: x.Attempt, Result: serve.ResultCompleted, Status: 200}
	finish := func(r serve.Result) {
		ended.Result, ended.Latency = r, sim.loop.Now().Sub(start)
		sim.step(e, ended)
	}
	if s.dead {
		sim.loop.After(connectTimeout, func() { finish(serve.ResultNotSent) })
		return
	}
	returnDelay := sim.linkDelay(e.Zone, s.Zone)
	sim.loop.After(sim.linkDelay(e.Zone, s.Zone), func() {
		if s.dead {
			sim.loop.After(connectTimeout, func() { finish(serve.ResultInterrupted) })
			return
		}
		s.busySlots++
		if s.busySlots > slotsPerServer {
			sim.requestsBeyondSlots++
		}
		run, result := sim.serviceTime(s.slowdown), serve.ResultCompleted
		if remaining := x.Request.Deadline.Sub(sim.loop.Now()); run+returnDelay > remaining {
			run, result = max(remaining, 0), serve.ResultInterrupted
		}
		sim.loop.After(run, func() {
			s.busySlots--
			if s.dead {
				result = serve.ResultInterrupted
			}
			if result == serve.ResultInterrupted {
				finish(result)
				return
			}
			sim.loop.After(returnDelay, func() { finish(result) })
		})
	})
}

// forward sends a request to a peer and returns the response of the peer.
func (sim *simulation) forward(e *entryHost, x serve.Forward) {
	peer := sim.entryHostsByID[x.Peer]
	pending := true
	end := func(o serve.Outcome, reason string, status int) {
		if pending {
			pending = false
			sim.step(e, serve.ForwardEnded{ID: x.Request.ID, Attempt: x.Attempt, Outcome: o, Reason: reason, Status: status})
		}
	}
	sim.loop.After(x.Request.Deadline.Sub(sim.loop.Now()), func() { end(serve.OutcomeUnknown, "timeout", 0) })
	if peer.dead {
		sim.loop.After(connectTimeout, func() { end(serve.OutcomeNotRun, "peer_unreachable", 0) })
		return
	}
	sim.lastID++
	id, request := sim.lastID, x.Request
	request.ID, request.Forwarded = id, true
	peer.forwards[id] = func(resp serve.Response) {
		sim.loop.After(sim.linkDelay(peer.Zone, e.Zone), func() { end(resp.Outcome, resp.Reason, resp.Status) })
	}
	sim.sendToPeer(e, peer, serve.Arrived{Request: request})
}

// handleResponse passes a response on to the peer that forwarded the request, or records it for the client.
func (sim *simulation) handleResponse(e *entryHost, resp serve.Response) {
	if reply := e.forwards[resp.ID]; reply != nil {
		delete(e.forwards, resp.ID)
		reply(resp)
		return
	}
	c := e.calls[resp.ID]
	if c == nil || c.done {
		return
	}
	delete(e.calls, resp.ID)
	c.done, c.latency = true, sim.loop.Now().Sub(c.arrivedAt)
	c.inTime = resp.Outcome == serve.OutcomeRan && !sim.loop.Now().After(c.deadline)
	c.rejectReason = resp.Reason
}
