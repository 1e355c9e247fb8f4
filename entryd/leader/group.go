package leader

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
)

const (
	// callTimeout bounds a call of the store, which takes 4 ms and up to 300 ms when it is slow.
	callTimeout = 700 * time.Millisecond
	// leaderTTL is the lease time of the leader. It covers six renewals, so that two lost answers do not lose the
	// lease.
	leaderTTL     = 1800 * time.Millisecond
	renewInterval = 300 * time.Millisecond
	// outageTolerance is how long a leader continues after its lease may have expired while the store is unreachable and most
	// workers know no newer leader. Outages of the store last 4 to 9 s.
	outageTolerance = 5 * time.Second
	// leadershipTimeout is how long a leader may act after the store last confirmed its leadership.
	leadershipTimeout = leaderTTL + outageTolerance
	// maxTaskLease bounds the lease of tasks. A successor waits for it before it restarts the tasks of workers that do not answer,
	// and a long-running task must run again 9 s after its worker was lost, including the election.
	maxTaskLease = 5 * time.Second
	// hostTTL is the lease time of the entry that registers a running entry process.
	hostTTL           = 6 * time.Second
	hostRenewInterval = 2 * time.Second
	// retryMinDelay and retryMaxDelay bound the pause after a failed call of the store.
	retryMinDelay = 50 * time.Millisecond
	retryMaxDelay = 500 * time.Millisecond
	// campaignJitter bounds the random pause before a campaign, so that entry processes do not all campaign at once.
	campaignJitter = 60 * time.Millisecond
)

// Leader identifies an elected scheduler. Token is its fencing token, the revision of its entry in the store.
type Leader struct {
	EntryHost fleet.EntryHostID `cbor:"entry_host"`
	Token     infra.Token       `cbor:"-"`
	Term      int64             `cbor:"term"`
	// Predecessors are the entry hosts of the previous leader and of those before it that may have acted shortly before
	// this election, the latest first.
	Predecessors []fleet.EntryHostID `cbor:"-"`
	// HasForgotten is set if others are not among them, because they had stopped by the time of the campaign.
	HasForgotten bool `cbor:"-"`
}

// Group tracks the elected leader and the registered entry processes, and campaigns while there is no leader.
type Group struct {
	self    fleet.EntryHostID
	address string
	store   store.Client
	log     *slog.Logger
	hosts   *hostRegistry
	// onElected runs the scheduler until ctx ends.
	onElected func(ctx context.Context, l *Leadership)
	// onHost is called when an entry process is registered, or removed, in which case address is empty.
	onHost func(host fleet.EntryHostID, address string)
	// onLeader is called with each newer leader, this process included.
	onLeader func(Leader)

	// askEligible is nil if leaderships are not handed over.
	askEligible AskEligible

	history *takeoverHistory

	mu     sync.Mutex
	leader Leader
	// expected is the capacity of the entry host that won the last election, or of the one to which it hands over.
	expected Capacity
	// vacant receives a value when there is no leader.
	vacant   chan struct{}
	resigned bool
	// current is the leadership of this process; nil if it is not the leader, which it has not been since idleSince.
	current   *Leadership
	idleSince time.Time
	// registration is the lease of the entry that registers this process; 0 if there is none.
	registration store.LeaseID
	// lostAt is when a leadership of this process ended because it could not be kept; zero if none did.
	lostAt time.Time
	// superseded is the highest token to which this process has confirmed that it leads with no lower one.
	superseded infra.Token
}

// NewGroup returns the group of the entry process self, which accepts peer links at address. Each time this process is
// elected, onElected is called and must run the scheduler until its context ends. onHost is called when another entry
// process is registered, or removed, in which case its address is empty. onLeader is called with each newer leader.
func NewGroup(
	self fleet.EntryHostID, address string, client store.Client, log *slog.Logger,
	onElected func(ctx context.Context, l *Leadership), onHost func(fleet.EntryHostID, string), onLeader func(Leader), opts ...Option,
) *Group {
	g := &Group{
		hosts: &hostRegistry{byID: make(map[fleet.EntryHostID]Capacity)},
		self:  self, address: address, store: client, log: log, onElected: onElected, onHost: onHost, onLeader: onLeader,
		vacant: make(chan struct{}, 1), idleSince: Now(), history: newTakeoverHistory(),
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Option configures a [Group].
type Option func(*Group)

// WithCapacity sets the capacity of this process's entry host. Much larger entry hosts are preferred as leader.
func WithCapacity(c Capacity) Option { return func(g *Group) { g.hosts.own = c } }

// Leader returns the newest leader known to this process, and false if none is known.
func (g *Group) Leader() (Leader, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader, g.leader.EntryHost != ""
}

// Hosts returns the other registered entry processes in the order of their IDs.
func (g *Group) Hosts() []Host { return g.hosts.hosts() }

// Observe records a leader reported by the store or by a peer, and ends a leadership of this process with a lower
// token. A leader that is not newer than the known one is ignored.
func (g *Group) Observe(l Leader) {
	g.mu.Lock()
	newer := l.Token > g.leader.Token
	if newer {
		g.leader = l
	}
	current := g.current
	g.mu.Unlock()
	if current != nil && l.Token > current.leader.Token {
		current.end("a newer scheduler was elected")
	}
	if newer {
		g.log.Info("group: new leader", "leader", l.EntryHost, "token", l.Token, "term", l.Term)
		g.onLeader(l)
	}
}

// reasonSuperseded is the reason of a leadership that ended because of [Group.Supersede].
const reasonSuperseded = "superseded by a newly elected peer"

// Supersede ends a leadership of this process whose token is lower than token. It returns true if none is running any more,
// and for how long; an earlier process on this entry host ended before that. An election with a lower token that this
// process has won without knowing it yet is not used.
func (g *Group) Supersede(token infra.Token) (time.Duration, bool) {
	g.mu.Lock()
	l, idleSince := g.current, g.idleSince
	g.superseded = max(g.superseded, token)
	g.mu.Unlock()
	switch {
	case l == nil:
		return Now().Sub(idleSince), true
	case l.leader.Token >= token:
		return 0, true
	}
	l.end(reasonSuperseded)
	select {
	case <-l.released:
		return 0, true
	default:
		return 0, false
	}
}

// Run registers this process, tracks the group and takes part in elections until ctx ends.
func (g *Group) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { g.keepRegistered(ctx) })
	wg.Go(func() { g.watch(ctx) })
	wg.Go(func() { g.campaignLoop(ctx) })
	wg.Wait()
}

// Resign ends this process's leadership, if it holds it, waits until the scheduler has stopped, and prevents further
// campaigns.
func (g *Group) Resign() {
	g.mu.Lock()
	g.resigned = true
	l := g.current
	g.mu.Unlock()
	if l != nil {
		l.end("resigned")
		<-l.released
	}
}

// watch applies the stored state of the group and its changes until ctx ends.
func (g *Group) watch(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := g.refresh(ctx)
		if err == nil {
			err = g.store.Watch(ctx, groupPrefix, after, g.applyChanges)
		}
		if ctx.Err() != nil || isCompacted(err) {
			continue
		}
		g.log.Warn("group: watch ended", "error", err)
		sleep(ctx, retryMinDelay+rand.N(retryMinDelay))
	}
}

// refresh reads and applies the state of the group, and returns its revision.
func (g *Group) refresh(ctx context.Context) (store.Revision, error) {
	entries, revision, err := readAll(ctx, g.store, groupPrefix)
	if err != nil {
		return 0, err
	}
	vacant := true
	for _, e := range entries {
		vacant = vacant && e.Key != leaderKey
		g.applyChange(store.Change{Entry: e})
	}
	if vacant {
		g.signalVacant()
	}
	return revision, nil
}

func (g *Group) applyChanges(_ store.Revision, changes []store.Change) {
	for _, c := range changes {
		g.applyChange(c)
	}
}

func (g *Group) applyChange(c store.Change) {
	key := c.Entry.Key
	switch {
	case key == leaderKey && c.Deleted:
		g.signalVacant()
	case key == leaderKey:
		var elected Leader
		if err := cbor.Unmarshal(c.Entry.Value, &elected); err != nil {
			g.log.Error("group: cannot decode entry", "key", key, "error", err)
			return
		}
		elected.Token = infra.Token(c.Entry.ModRevision)
		g.history.observe(elected.Term, false)
		g.Observe(elected)
	case key == termKey && !c.Deleted:
		var record termRecord
		if err := cbor.Unmarshal(c.Entry.Value, &record); err != nil {
			g.log.Error("group: cannot decode entry", "key", key, "error", err)
			return
		}
		g.observeRecord(record)
	case strings.HasPrefix(key, hostPrefix):
		g.applyHost(fleet.EntryHostID(strings.TrimPrefix(key, hostPrefix)), c)
	}
}

// observeRecord notes the record of the last election.
func (g *Group) observeRecord(record termRecord) {
	g.history.observe(record.Term, record.Fenced)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expected = record.Capacity
	if record.Expected != (Capacity{}) {
		g.expected = record.Expected
	}
}

// expectsLarger reports whether a larger entry host is registered or, because registrations end with their leases, has won the
// last election or is to take over.
func (g *Group) expectsLarger() bool {
	g.mu.Lock()
	expected := g.expected
	g.mu.Unlock()
	return expected.Exceeds(g.hosts.own) || len(g.hosts.larger()) > 0
}

func (g *Group) applyHost(host fleet.EntryHostID, c store.Change) {
	if host == g.self {
		return
	}
	if c.Deleted {
		g.hosts.remove(host)
		g.onHost(host, "")
		return
	}
	entry, err := decodeHost(c.Entry.Value)
	if err != nil {
		g.log.Error("group: cannot decode entry", "key", c.Entry.Key, "error", err)
		return
	}
	g.hosts.add(host, entry.Capacity)
	g.onHost(host, entry.Address)
}

// signalVacant starts a campaign, because there is no leader.
func (g *Group) signalVacant() {
	select {
	case g.vacant <- struct{}{}:
	default:
	}
}

// campaignLoop campaigns whenever there is no leader, and leads after a won campaign, until ctx ends.
func (g *Group) campaignLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.vacant:
		}
		sleep(ctx, rand.N(campaignJitter))
		if g.expectsLarger() {
			sleep(ctx, largerHostHeadStart)
		}
		l, err := g.campaign(ctx)
		var rejected *store.RejectedError
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && !errors.As(err, &rejected):
			g.log.Warn("group: campaign failed", "error", err)
			sleep(ctx, retryMinDelay)
			g.signalVacant()
		case err != nil:
			sleep(ctx, retryMinDelay)
			g.signalVacant()
		case l != nil:
			g.lead(ctx, l)
		}
	}
}

// campaign tries once to become the leader; it returns nil without an error if another process is the leader or if this
// process has resigned.
func (g *Group) campaign(ctx context.Context) (*Leadership, error) {
	g.mu.Lock()
	resigned := g.resigned
	g.mu.Unlock()
	if resigned {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	entries, _, err := readAll(ctx, g.store, groupPrefix)
	if err != nil {
		return nil, err
	}
	elected := Leader{EntryHost: g.self}
	var last termRecord
	var termCondition store.Compare = store.KeyAbsent{Key: termKey}
	for _, e := range entries {
		switch e.Key {
		case leaderKey:
			g.applyChange(store.Change{Entry: e})
			return nil, nil
		case termKey:
			if err := cbor.Unmarshal(e.Value, &last); err != nil {
				return nil, err
			}
			g.observeRecord(last)
			elected.Term = last.Term + 1
			elected.Predecessors, elected.HasForgotten = last.predecessors(g.history)
			termCondition = store.KeyUnchanged{Key: termKey, ModRevision: e.ModRevision}
		}
	}
	return g.acquire(ctx, elected, last.next(elected, g.hosts.own), termCondition)
}

// errElectionChanged reports a campaign that no process has won: only the record of the last election has changed since it was
// read.
var errElectionChanged = errors.New("the record of the last election has changed")

// acquire writes the leader's entry under a new lease if there is no leader and termKey is unchanged since it was read;
// it returns nil without an error if another process was faster.
func (g *Group) acquire(ctx context.Context, elected Leader, record termRecord, termCondition store.Compare) (*Leadership, error) {
	sent := Now()
	lease, err := g.store.Grant(ctx, leaderTTL)
	if err != nil {
		return nil, err
	}
	value, err := cbor.Marshal(elected)
	if err != nil {
		return nil, err
	}
	term, err := cbor.Marshal(record)
	if err != nil {
		return nil, err
	}
	result, err := g.store.Txn(ctx, store.Txn{
		If:   []store.Compare{store.KeyAbsent{Key: leaderKey}, termCondition},
		Then: []store.Op{store.Put{Key: leaderKey, Value: value, Lease: lease}, store.Put{Key: termKey, Value: term}},
	})
	if err != nil {
		// The write may have taken effect. The leadership is not used: the lease is revoked now, or else expires.
		g.revoke(lease)
		return nil, err
	}
	if !result.Committed {
		g.revoke(lease)
		if !hasLeader(result) {
			return nil, errElectionChanged
		}
		return nil, nil
	}
	elected.Token = infra.Token(result.Revision)
	return newLeadership(g.store, lease, elected, record, sent, g.history), nil
}

// hasLeader reports whether a failed transaction found a leader. If it did not, no removal of a leader follows that would start
// another campaign.
func hasLeader(result store.TxnResult) bool {
	for _, read := range result.Reads {
		if slices.ContainsFunc(read, func(e store.Entry) bool { return e.Key == leaderKey }) {
			return true
		}
	}
	return false
}

func (g *Group) revoke(lease store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := g.store.Revoke(ctx, lease); err != nil {
		g.log.Warn("group: revoking the lease failed", "error", err)
	}
}

// lead runs the scheduler until the leadership ends, and then revokes the lease.
func (g *Group) lead(ctx context.Context, l *Leadership) {
	g.mu.Lock()
	g.current = l
	resigned, isSuperseded := g.resigned, l.leader.Token < g.superseded
	g.mu.Unlock()
	g.log.Info("group: elected", "token", l.leader.Token, "term", l.leader.Term, "predecessors", l.leader.Predecessors)
	switch {
	case resigned:
		l.end("resigned")
	case isSuperseded:
		l.end(reasonSuperseded)
	}
	g.Observe(l.leader)
	leadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { l.renew(leadCtx, g.log) })
	wg.Go(func() { g.handOver(leadCtx, l) })
	wg.Go(func() { l.keepRecord(leadCtx, g.log) })
	wg.Go(func() {
		select {
		case <-l.ended:
		case <-leadCtx.Done():
		}
		cancel()
	})
	g.onElected(leadCtx, l)
	l.end("scheduler stopped")
	wg.Wait()
	g.revoke(l.lease)
	close(l.released)
	g.log.Info("group: leadership ended", "token", l.leader.Token, "reason", l.Reason())
	g.mu.Lock()
	g.current, g.idleSince = nil, Now()
	if l.Reason() != reasonHandedOver {
		g.lostAt = Now()
	}
	g.mu.Unlock()
	g.signalVacant()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
