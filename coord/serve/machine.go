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

// Machine is the state machine for the requests of one entry process. It performs no I/O: [Machine.Step] takes an event
// and returns the effects to carry out.
type Machine struct {
	self         grant.Member
	grants       *grant.Machine
	admission    *admit.Machine
	router       *route.Machine
	claims       *once.Machine
	overflow     Overflow
	peers        map[fleet.EntryHostID]*peer
	borrowCalls  map[uint64]fleet.EntryHostID
	loadSentAt   time.Time
	otherHosts   []fleet.EntryHostID
	requests     map[uint64]*request
	backends     backends
	retryBudget  retryBudget
	costs        costs
	blockedFlows map[admit.Flow]bool
	crashes      crashes
	draining     bool
}

// request is the state of one request. attempt is the number of the latest attempt, sends counts the attempts except
// those that a peer refused, and mayHaveRun is set once a byte may have reached a backend server. callerDone is set
// once the caller has its response or has disconnected. tests is set for the one request that may be sent after a pause.
type request struct {
	Request
	phase      phase
	attempt    int
	sends      int
	worker     fleet.WorkerID
	peer       fleet.EntryHostID
	mayHaveRun bool
	claimed    bool
	callerDone bool
	tests      bool
}

type phase int

const (
	queued phase = iota
	claiming
	sending
	forwarding
)

// Config describes the process of a [Machine]; Random is the source of all its random choices.
type Config struct {
	Self   grant.Member
	Boot   fleet.BootID
	Roster []grant.Member
	Random *rand.Rand
}

// Option configures a [Machine].
type Option func(*options)

type options struct {
	admit []admit.Option
	route []route.Option
	grant []grant.Option

	overflow Overflow
}

// WithAdmit passes options to the admission controller.
func WithAdmit(opts ...admit.Option) Option {
	return func(o *options) { o.admit = append(o.admit, opts...) }
}

// WithRoute passes options to the state machine that selects backend servers.
func WithRoute(opts ...route.Option) Option {
	return func(o *options) { o.route = append(o.route, opts...) }
}

// WithGrant passes options to the state machine that manages slots.
func WithGrant(opts ...grant.Option) Option {
	return func(o *options) { o.grant = append(o.grant, opts...) }
}

// WithOverflow sets the policy for requests without a free slot in this process; the default is [ForwardOnly].
func WithOverflow(p Overflow) Option { return func(o *options) { o.overflow = p } }

// New returns a machine for a process that starts at now.
func New(c Config, now time.Time, opts ...Option) *Machine {
	o := options{overflow: ForwardOnly{}}
	for _, opt := range opts {
		opt(&o)
	}
	return &Machine{
		self:         c.Self,
		grants:       grant.New(c.Self.Host, c.Boot, c.Roster, now, o.grant...),
		admission:    admit.New(o.admit...),
		router:       route.New(c.Self.Zone, c.Random, o.route...),
		claims:       once.New(c.Self.Host, c.Boot),
		overflow:     o.overflow,
		peers:        make(map[fleet.EntryHostID]*peer),
		borrowCalls:  make(map[uint64]fleet.EntryHostID),
		requests:     make(map[uint64]*request),
		backends:     newBackends(),
		retryBudget:  newRetryBudget(),
		costs:        make(costs),
		blockedFlows: make(map[admit.Flow]bool),
		crashes:      crashes{suspects: make(map[content]*suspicion)},
		otherHosts:   otherHosts(c),
	}
}

// otherHosts returns the entry hosts of the roster except this process's own, in ascending order.
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

// Step applies an event and returns the effects to carry out.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Arrived:
		return m.requestArrived(now, ev.Request)
	case AttemptEnded:
		return m.attemptEnded(now, ev)
	case StreamStarted:
		return m.streamStarted(ev)
	case ForwardEnded:
		return m.forwardEnded(now, ev)
	case CallerDisconnected:
		return m.callerDisconnected(now, ev.ID)
	case StoreTxnEnded:
		return m.applyClaims(now, m.claims.Step(now, ev.TxnEnded))
	case StoreLeaseEnded:
		return m.applyClaims(now, m.claims.Step(now, ev.GrantLeaseEnded))
	case LimitsReplaced:
		m.admission.Step(now, admit.Limits{Customers: ev.Customers})
	case FleetObserved:
		m.observeWorkers(now, ev.Workers)
		return m.dispatch(now)
	case EndpointsObserved:
		m.backends.updateEndpoints(ev.Endpoints)
		m.unblock()
		return m.dispatch(now)
	case DrainStarted:
		m.draining = true
	case Tick:
		return m.tick(now)
	default:
		return m.stepPeer(now, ev)
	}
	return nil
}

// ActiveRequests returns the number of requests that are unanswered or still occupy a backend server.
func (m *Machine) ActiveRequests() int { return len(m.requests) }

// OwnShareOpen reports whether the process may use its own share of slots. After a start it may not for the lifetime of
// a loan, because the previous process on this host may have lent slots of the share.
func (m *Machine) OwnShareOpen(now time.Time) bool { return m.grants.OwnShareOpen(now) }

// UnrecordedOutcomes returns the number of outcomes that are not in the store yet.
func (m *Machine) UnrecordedOutcomes() int { return m.claims.UnrecordedOutcomes() }

// WouldReject reports whether a request would be rejected now, and the response in that case. It allows rejecting a
// request before its body is read.
func (m *Machine) WouldReject(now time.Time, r Request) (Response, bool) {
	if m.draining {
		return notRunResponse(r.ID, "draining", http.StatusServiceUnavailable, time.Second), true
	}
	rejected, ok := m.admission.WouldReject(now, m.item(now, r))
	return rejectionResponse(rejected, OutcomeNotRun), ok
}

func (m *Machine) requestArrived(now time.Time, in Request) []Effect {
	r := &request{Request: in}
	if m.draining {
		return []Effect{notRunResponse(r.ID, "draining", http.StatusServiceUnavailable, time.Second)}
	}
	r.tests = m.crashes.test(now, in)
	if effects, paused := m.rejectPaused(now, r); paused {
		return effects
	}
	if r.Forwarded {
		return m.forwardedArrived(now, r)
	}
	if rejected, ok := m.admission.Step(now, admit.Check{Item: m.item(now, in)})[0].(admit.Rejected); ok {
		return []Effect{rejectionResponse(rejected, OutcomeNotRun)}
	}
	m.requests[r.ID] = r
	if !r.NonIdempotent {
		return m.enqueue(now, r)
	}
	r.phase = claiming
	key := once.Key{Customer: r.Customer, Request: r.Key}
	return m.applyClaims(now, m.claims.Step(now, once.Claim{ID: r.ID, Key: key, Deadline: r.Deadline}))
}

// forwardedArrived sends a peer's request immediately or refuses it. It is not queued here because the peer keeps it in
// its own queue.
func (m *Machine) forwardedArrived(now time.Time, r *request) []Effect {
	effects, ok := m.trySend(now, r)
	if !ok {
		return []Effect{notRunResponse(r.ID, "no_slot", http.StatusServiceUnavailable, 0)}
	}
	m.requests[r.ID] = r
	return effects
}

// enqueue puts an admitted request into its queue.
func (m *Machine) enqueue(now time.Time, r *request) []Effect {
	r.phase = queued
	if rejected, ok := m.admission.Step(now, admit.Push{Item: m.item(now, r.Request)})[0].(admit.Rejected); ok {
		return m.finish(now, r, rejectionResponse(rejected, OutcomeNotRun))
	}
	// A blocked flow has no free slot, and the arrival frees none for the requests already queued.
	var effects []Effect
	flow := m.flowOf(now, r.Request)
	if !m.blockedFlows[flow] {
		effects = m.dispatch(now)
	}
	if _, waitOnly := m.overflow.(WaitOnly); r.phase == queued && !waitOnly {
		backlog := admit.Backlog{Requests: 1, Class: r.Class, EarliestDeadline: r.Deadline}
		effects = append(effects, m.applyFlowOverflow(now, flow, backlog)...)
	}
	return effects
}

func (m *Machine) item(now time.Time, r Request) admit.Item {
	return admit.Item{
		ID: r.ID, Class: r.Class, Customer: r.Customer, Flow: m.flowOf(now, r),
		Deadline: r.Deadline, Cost: m.costs.estimate(r.Service),
	}
}

func notRunResponse(id uint64, reason string, status int, retryAfter time.Duration) Response {
	return Response{ID: id, Outcome: OutcomeNotRun, Reason: reason, Status: status, RetryAfter: retryAfter}
}

// rejectionResponse maps a rejection by the admission controller to a response: status 429 for an exceeded rate
// limit or a full queue, 503 for a deadline that cannot be met, and 504 if the request may have run.
func rejectionResponse(r admit.Rejected, outcome Outcome) Response {
	status := http.StatusServiceUnavailable
	if r.Reason == admit.ReasonRate || r.Reason == admit.ReasonQueue {
		status = http.StatusTooManyRequests
	}
	if outcome == OutcomeUnknown {
		status = http.StatusGatewayTimeout
	}
	return Response{ID: r.ID, Outcome: outcome, Reason: string(r.Reason), Status: status, RetryAfter: r.RetryAfter}
}

// unansweredOutcome returns the outcome of a request that ends without a response from a backend server.
func (r *request) unansweredOutcome() Outcome {
	if r.mayHaveRun {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

func (m *Machine) observeWorkers(now time.Time, workers []fleet.Worker) {
	m.backends.observe(workers)
	m.grants.Step(now, grant.WorkersObserved{Workers: workers})
	m.router.Step(now, route.Observed{Workers: workers})
	m.unblock()
}

func (m *Machine) tick(now time.Time) []Effect {
	effects := m.loanEffects(m.grants.Step(now, grant.Tick{}))
	effects = append(effects, m.applyClaims(now, m.claims.Step(now, once.Tick{}))...)
	m.costs.decay(now)
	for _, e := range m.admission.Step(now, admit.Tick{}) {
		rejected := e.(admit.Rejected)
		r := m.requests[rejected.ID]
		effects = append(effects, m.finish(now, r, rejectionResponse(rejected, r.unansweredOutcome()))...)
	}
	m.unblock()
	effects = append(effects, m.dispatch(now)...)
	effects = append(effects, m.applyOverflow(now)...)
	return append(effects, m.shareLoad(now)...)
}

// finish responds to the caller, records the outcome of a claimed request, and removes the request.
func (m *Machine) finish(now time.Time, r *request, response Response) []Effect {
	delete(m.requests, r.ID)
	if r.claimed || r.phase == claiming {
		m.claims.Step(now, once.Finished{
			ID: r.ID, NotRun: response.Outcome == OutcomeNotRun, RecordOutcome: response.Outcome == OutcomeRan,
			Status: response.Status,
		})
	}
	if r.callerDone {
		return nil
	}
	r.callerDone = true
	return []Effect{response}
}

// applyClaims applies the decisions of the claims to their requests and converts the remaining effects.
func (m *Machine) applyClaims(now time.Time, in []once.Effect) []Effect {
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
			effects = append(effects, m.rejectUnclaimed(e.ID, duplicateResponse(e))...)
		case once.ClaimUnavailable:
			response := notRunResponse(e.ID, "store_unavailable", http.StatusServiceUnavailable, time.Second)
			effects = append(effects, m.rejectUnclaimed(e.ID, response)...)
		}
	}
	return effects
}

// rejectUnclaimed ends a request whose claim was not granted.
func (m *Machine) rejectUnclaimed(id uint64, response Response) []Effect {
	if m.requests[id] == nil {
		return nil
	}
	delete(m.requests, id)
	return []Effect{response}
}

func duplicateResponse(e once.ClaimExists) Response {
	outcome := OutcomeUnknown
	if e.Record.Outcome == string(OutcomeRan) {
		outcome = OutcomeRan
	}
	return Response{ID: e.ID, Outcome: outcome, Reason: "duplicate_request", Status: http.StatusConflict}
}
