package serve

import (
	"math/rand/v2"
	"net/http"
	"time"

	"lovagefork.example/coord/admit"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/route"
)

// Machine is the reducer for the requests of one entry process.
type Machine struct {
	self     grant.Member
	grants   *grant.Machine
	admits   *admit.Machine
	routes   *route.Machine
	requests map[uint64]*request
	backends backends
	retries  retryBudget
	costs    costs
	blocked  map[fleet.ServiceID]bool
	drained  bool
}

// request is the state of one request; touched is set once a byte may have reached a backend server.
type request struct {
	Request
	phase    phase
	attempt  int
	worker   fleet.WorkerID
	touched  bool
	answered bool
}

type phase int

const (
	queued phase = iota
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

// New returns a machine for a process that starts now.
func New(c Config, now time.Time, opts ...Option) *Machine {
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	return &Machine{
		self:     c.Self,
		grants:   grant.New(c.Self.Host, c.Boot, c.Roster, now, o.grant...),
		admits:   admit.New(o.admit...),
		routes:   route.New(c.Self.Zone, c.Random, o.route...),
		requests: make(map[uint64]*request),
		backends: newBackends(),
		retries:  newRetryBudget(),
		costs:    make(costs),
		blocked:  make(map[fleet.ServiceID]bool),
	}
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
	case CallerGone:
		return m.callerGone(ev.ID)
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
	}
	return nil
}

// Active returns the number of requests that are not answered or still occupy a backend server.
func (m *Machine) Active() int { return len(m.requests) }

func (m *Machine) arrive(now time.Time, r Request) []Effect {
	if m.drained {
		return []Effect{refusal(r.ID, "draining", http.StatusServiceUnavailable, time.Second)}
	}
	it := m.item(r)
	for _, ev := range []admit.Event{admit.Check{Item: it}, admit.Push{Item: it}} {
		if rejected, ok := m.admits.Step(now, ev)[0].(admit.Rejected); ok {
			return []Effect{rejection(rejected, NotRun)}
		}
	}
	m.requests[r.ID] = &request{Request: r}
	return m.dispatch(now)
}

func (m *Machine) item(r Request) admit.Item {
	return admit.Item{
		ID: r.ID, Class: r.Class, Customer: r.Customer, Service: r.Service,
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
	m.grants.Step(now, grant.Observed{Workers: workers})
	m.routes.Step(now, route.Observed{Workers: workers})
	m.unblock()
}

func (m *Machine) tick(now time.Time) []Effect {
	var effects []Effect
	m.grants.Step(now, grant.Tick{})
	m.costs.decay(now)
	for _, e := range m.admits.Step(now, admit.Tick{}) {
		rejected := e.(admit.Rejected)
		r := m.requests[rejected.ID]
		effects = append(effects, m.finish(r, rejection(rejected, r.untouched()))...)
	}
	m.unblock()
	return append(effects, m.dispatch(now)...)
}

// finish answers the caller and forgets the request.
func (m *Machine) finish(r *request, answer Answer) []Effect {
	delete(m.requests, r.ID)
	if r.answered {
		return nil
	}
	r.answered = true
	return []Effect{answer}
}
