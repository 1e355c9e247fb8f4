package serve

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"lovagefork.example/coord/admit"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/once"
	"lovagefork.example/coord/route"
)

// Machine is the reducer for the requests of one entry process.
type Machine struct {
	self     grant.Member
	grants   *grant.Machine
	admits   *admit.Machine
	routes   *route.Machine
	claims   *once.Machine
	overflow Overflow
	peers    map[fleet.EntryHostID]*peer
	asked    map[uint64]fleet.EntryHostID
	loadSent time.Time
	others   []fleet.EntryHostID
	requests map[uint64]*request
	backends backends
	retries  retryBudget
	costs    costs
	blocked  map[admit.Flow]bool
	drained  bool
}

// request is the state of one request: attempt numbers its tries, sends counts those that a peer did not refuse, and
// touched is set once a byte may have reached a backend server.
type request struct {
	Request
	phase    phase
	attempt  int
	sends    int
	worker   fleet.WorkerID
	peer     fleet.EntryHostID
	touched  bool
	claimed  bool
	answered bool
}

type phase int

const (
	queued phase = iota
	claiming
	sending
	forwarding
)

// Config holds what a [Machine] needs to know about its process; Random is the source of all random choices.
type Config struct {
	Self   grant.Member
	Boot   fleet.BootID
	Roster []grant.Member
	Random *rand.Rand
}

// Option changes a [Machine] under construction.
type Option func(*options)

type options struct {
	admit []admit.Option
	route []route.Option
	grant []grant.Option

	overflow Overflow
}

// WithAdmit passes options to the admission control.
func WithAdmit(opts ...admit.Option) Option {
	return func(o *options) { o.admit = append(o.admit, opts...) }
}

// WithRoute passes options to the selection of backend servers.
func WithRoute(opts ...route.Option) Option {
	return func(o *options) { o.route = append(o.route, opts...) }
}

// WithGrant passes options to the reducer for slots.
func WithGrant(opts ...grant.Option) Option {
	return func(o *options) { o.grant = append(o.grant, opts...) }
}

// WithOverflow sets what happens to requests for which no slot is free here; the default is [ForwardOnly].
func WithOverflow(p Overflow) Option { return func(o *options) { o.overflow = p } }

// New returns a machine for a process that starts now.
func New(c Config, now time.Time, opts ...Option) *Machine {
	o := options{overflow: ForwardOnly{}}
	for _, opt := range opts {
		opt(&o)
	}
	return &Machine{
		self:     c.Self,
		grants:   grant.New(c.Self.Host, c.Boot, c.Roster, now, o.grant...),
		admits:   admit.New(o.admit...),
		routes:   route.New(c.Self.Zone, c.Random, o.route...),
		claims:   once.New(c.Self.Host, c.Boot),
		overflow: o.overflow,
		peers:    make(map[fleet.EntryHostID]*peer),
		asked:    make(map[uint64]fleet.EntryHostID),
		requests: make(map[uint64]*request),
		backends: newBackends(),
		retries:  newRetryBudget(),
		costs:    make(costs),
		blocked:  make(map[admit.Flow]bool),
		others:   otherHosts(c),
	}
}

// otherHosts lists the entry hosts of the roster except this process's own, in ascending order.
func otherHosts(c Config) []fleet.EntryHostID {
	var others []fleet.EntryHostID
	for _, member := range c.Roster {
		if member.Host != c.Self.Host {
			others = append(others, member.Host)
		}
	}
	slices.Sort(others)
	return others
}

// Step applies an event.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Arrived:
		return m.arrive(now, ev.Request)
	case AttemptEnded:
		return m.attemptEnded(now, ev)
	case StreamStarted:
		return m.streamStarted(ev)
	case ForwardEnded:
		return m.forwardEnded(now, ev)
	case CallerGone:
		return m.callerGone(now, ev.ID)
	case StoreTxnEnded:
		return m.claimed(now, m.claims.Step(now, ev.TxnEnded))
	case StoreLeaseEnded:
		return m.claimed(now, m.claims.Step(now, ev.GrantLeaseEnded))
	case Limited:
		m.admits.Step(now, admit.Limits{Customers: ev.Customers})
	case FleetObserved:
		m.observe(now, ev.Workers)
		return m.dispatch(now)
	case EndpointsObserved:
		m.backends.update(ev.Endpoints)
		m.unblock()
		return m.dispatch(now)
	case Drained:
		m.drained = true
	case Tick:
		return m.tick(now)
	default:
		return m.peerStep(now, ev)
	}
	return nil
}

// Active returns the number of requests that are not answered or still occupy a backend server.
func (m *Machine) Active() int { return len(m.requests) }

// Open reports whether the process may use its own share of slots, which a start delays by the life of a loan.
func (m *Machine) Open(now time.Time) bool { return m.grants.OwnShareOpen(now) }

// Unrecorded returns the number of outcomes that the store does not have yet.
func (m *Machine) Unrecorded() int { return m.claims.UnrecordedOutcomes() }

// Refuses reports whether a request would be rejected now, so that its body need not be read.
func (m *Machine) Refuses(now time.Time, r Request) (Answer, bool) {
	if m.drained {
		return refusal(r.ID, "draining", http.StatusServiceUnavailable, time.Second), true
	}
	rejected, ok := m.admits.Refuses(now, m.item(now, r))
	return rejection(rejected, NotRun), ok
}

func (m *Machine) arrive(now time.Time, in Request) []Effect {
	r := &request{Request: in}
	switch {
	case m.drained:
		return []Effect{refusal(r.ID, "draining", http.StatusServiceUnavailable, time.Second)}
	case r.Forwarded:
		return m.arriveForwarded(now, r)
	}
	if rejected, ok := m.admits.Step(now, admit.Check{Item: m.item(now, in)})[0].(admit.Rejected); ok {
		return []Effect{rejection(rejected, NotRun)}
	}
	m.requests[r.ID] = r
	if !r.NonIdempotent {
		return m.enqueue(now, r)
	}
	r.phase = claiming
	key := once.Key{Customer: r.Customer, Request: r.Key}
	return m.claimed(now, m.claims.Step(now, once.Claim{ID: r.ID, Key: key, Deadline: r.Deadline}))
}

// arriveForwarded runs a peer's request at once or not at all: the peer keeps it in its own queue.
func (m *Machine) arriveForwarded(now time.Time, r *request) []Effect {
	effects, ok := m.try(now, r)
	if !ok {
		return []Effect{refusal(r.ID, "no_slot", http.StatusServiceUnavailable, 0)}
	}
	m.requests[r.ID] = r
	return effects
}

// enqueue puts an admitted request into its queue.
func (m *Machine) enqueue(now time.Time, r *request) []Effect {
	r.phase = queued
	if rejected, ok := m.admits.Step(now, admit.Push{Item: m.item(now, r.Request)})[0].(admit.Rejected); ok {
		return m.finish(now, r, rejection(rejected, NotRun))
	}
	// While its flow is blocked, nothing has changed for the requests that wait.
	var effects []Effect
	flow := m.flow(now, r.Request)
	if !m.blocked[flow] {
		effects = m.dispatch(now)
	}
	if _, wait := m.overflow.(WaitOnly); r.phase == queued && !wait {
		waiting := admit.Waiting{Requests: 1, Class: r.Class, Soonest: r.Deadline}
		effects = append(effects, m.overflowOf(now, flow, waiting)...)
	}
	return effects
}

func (m *Machine) item(now time.Time, r Request) admit.Item {
	return admit.Item{
		ID: r.ID, Class: r.Class, Customer: r.Customer, Flow: m.flow(now, r),
		Deadline: r.Deadline, Cost: m.costs.of(r.Service),
	}
}

func refusal(id uint64, reason string, status int, retryAfter time.Duration) Answer {
	return Answer{ID: id, Outcome: NotRun, Reason: reason, Status: status, RetryAfter: retryAfter}
}

// rejection translates a decision of the admission control: 429 for the caller's own excess, 503 for a lack of slots.
func rejection(r admit.Rejected, outcome Outcome) Answer {
	status := http.StatusServiceUnavailable
	if r.Reason == admit.ReasonRate || r.Reason == admit.ReasonQueue {
		status = http.StatusTooManyRequests
	}
	if outcome == Unknown {
		status = http.StatusGatewayTimeout
	}
	return Answer{ID: r.ID, Outcome: outcome, Reason: string(r.Reason), Status: status, RetryAfter: r.RetryAfter}
}

// untouched returns the outcome of a request that ends without an answer from a backend server.
func (r *request) untouched() Outcome {
	if r.touched {
		return Unknown
	}
	return NotRun
}

func (m *Machine) observe(now time.Time, workers []fleet.Worker) {
	m.backends.observe(workers)
	m.grants.Step(now, grant.WorkersObserved{Workers: workers})
	m.routes.Step(now, route.Observed{Workers: workers})
	m.unblock()
}

func (m *Machine) tick(now time.Time) []Effect {
	effects := m.loanEffects(m.grants.Step(now, grant.Tick{}))
	effects = append(effects, m.claimed(now, m.claims.Step(now, once.Tick{}))...)
	m.costs.decay(now)
	for _, e := range m.admits.Step(now, admit.Tick{}) {
		rejected := e.(admit.Rejected)
		r := m.requests[rejected.ID]
		effects = append(effects, m.finish(now, r, rejection(rejected, r.untouched()))...)
	}
	m.unblock()
	effects = append(effects, m.dispatch(now)...)
	effects = append(effects, m.overflowAll(now)...)
	return append(effects, m.shareLoad(now)...)
}

// finish answers the caller, records the outcome of a claimed request and forgets it.
func (m *Machine) finish(now time.Time, r *request, answer Answer) []Effect {
	delete(m.requests, r.ID)
	if r.claimed || r.phase == claiming {
		m.claims.Step(now, once.Finished{
			ID: r.ID, NotRun: answer.Outcome == NotRun, RecordOutcome: answer.Outcome == Ran, Status: answer.Status,
		})
	}
	if r.answered {
		return nil
	}
	r.answered = true
	return []Effect{answer}
}

// claimed turns the effects of the claims into those of requests.
func (m *Machine) claimed(now time.Time, in []once.Effect) []Effect {
	var effects []Effect
	for _, e := range in {
		switch e := e.(type) {
		case once.RunTxn:
			effects = append(effects, StoreTxn{e})
		case once.GrantLease:
			effects = append(effects, StoreLease{e})
		case once.ClaimGranted:
			if r := m.requests[e.ID]; r != nil {
				r.claimed = true
				effects = append(effects, m.enqueue(now, r)...)
			}
		case once.ClaimExists:
			effects = append(effects, m.unclaimed(e.ID, duplicate(e))...)
		case once.ClaimUnavailable:
			answer := refusal(e.ID, "store_unavailable", http.StatusServiceUnavailable, time.Second)
			effects = append(effects, m.unclaimed(e.ID, answer)...)
		}
	}
	return effects
}

// unclaimed ends a request that holds no claim.
func (m *Machine) unclaimed(id uint64, answer Answer) []Effect {
	if m.requests[id] == nil {
		return nil
	}
	delete(m.requests, id)
	return []Effect{answer}
}

func duplicate(e once.ClaimExists) Answer {
	outcome := Unknown
	if e.Record.Outcome == string(Ran) {
		outcome = Ran
	}
	return Answer{ID: e.ID, Outcome: outcome, Reason: "duplicate_request", Status: http.StatusConflict}
}
