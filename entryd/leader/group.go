package leader

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
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
	// leaderTTL is the lease of the scheduler: six renewals, so that two lost answers do not cost the lease.
	leaderTTL = 1800 * time.Millisecond
	renewInterval = 300 * time.Millisecond
	// horizon is how long a scheduler goes on while the store is silent; outages of the store last 4 to 9 s.
	outageTolerance = 5 * time.Second
	// hostTTL is the lease of the entry that names a running entry process.
	hostTTL       = 6 * time.Second
	hostRenewInterval = 2 * time.Second
	// retryFirst and retryLimit bound the pause after a failed call of the store.
	retryMinDelay = 50 * time.Millisecond
	retryMaxDelay = 500 * time.Millisecond
	// campaignSpread is the random pause before an entry process tries to become the scheduler.
	campaignJitter = 60 * time.Millisecond
)

// Seat is who the scheduler is.
type Leader struct {
	EntryHost fleet.EntryHostID `cbor:"entry_host"`
	Token     infra.Token       `cbor:"-"`
	Term      int64             `cbor:"term"`
	// Former is the entry host of the scheduler before this one; empty for the first.
	Predecessor fleet.EntryHostID `cbor:"-"`
}

// termEntry is what the store keeps of the last scheduler.
type termRecord struct {
	Term      int64             `cbor:"term"`
	EntryHost fleet.EntryHostID `cbor:"entry_host"`
}

// hostEntry is where an entry process accepts links, and the processor time of its entry host.
type hostRecord struct {
	Address  string `cbor:"address"`
	MilliCPU int64  `cbor:"milli_cpu,omitempty"`
}

// Group follows who the scheduler is and which entry processes run, and campaigns while there is no scheduler.
type Group struct {
	self    fleet.EntryHostID
	address string
	store   store.Client
	log     *slog.Logger
	hosts   *hostRegistry
	// reign runs the scheduler until ctx ends.
	onElected func(ctx context.Context, r *Leadership)
	// onHost is told of entry processes that come and go; the address is empty for one that has gone.
	onHost func(host fleet.EntryHostID, address string)
	onLeader func(Leader)

	mu       sync.Mutex
	leader     Leader
	vacant chan struct{}
	resigned   bool
	current *Leadership
}

// NewGroup returns the group as seen by the process self, which listens at address.
func NewGroup(
	self fleet.EntryHostID, address string, client store.Client, log *slog.Logger,
	reign func(ctx context.Context, r *Leadership), onHost func(fleet.EntryHostID, string), onSeat func(Leader), opts ...Option,
) *Group {
	g := &Group{
		hosts: &hostRegistry{byID: make(map[fleet.EntryHostID]registration)},
		self:  self, address: address, store: client, log: log, onElected: reign, onHost: onHost, onLeader: onSeat,
		vacant: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Option changes a [Group] under construction.
type Option func(*Group)

// WithProcessor sets the processor time of this process's entry host in thousandths of a core, so that the largest entry
// hosts are preferred for the scheduler.
func WithMilliCPU(milliCPU int64) Option { return func(g *Group) { g.hosts.ownMilliCPU = milliCPU } }

// Seat returns who the scheduler is, as far as this process knows.
func (g *Group) Leader() (Leader, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader, g.leader.EntryHost != ""
}

// Observe takes note of a scheduler of which a peer has told; an older one changes nothing.
func (g *Group) Observe(s Leader) {
	g.mu.Lock()
	newer := s.Token > g.leader.Token
	if newer {
		g.leader = s
	}
	reigning := g.current
	g.mu.Unlock()
	if reigning != nil && s.Token > reigning.leader.Token {
		reigning.end("a peer knows a newer scheduler")
	}
	if newer {
		g.log.Info("group: scheduler", "entry_host", s.EntryHost, "token", s.Token)
		g.onLeader(s)
	}
}

// Over reports whether no reign of this process with a lower token goes on, and ends one that does.
func (g *Group) Supersede(token infra.Token) bool {
	g.mu.Lock()
	r := g.current
	g.mu.Unlock()
	if r == nil || r.leader.Token >= token {
		return true
	}
	r.end("a peer has been elected")
	select {
	case <-r.released:
		return true
	default:
		return false
	}
}

// Run takes part in the group until ctx ends.
func (g *Group) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { g.keepRegistered(ctx) })
	wg.Go(func() { g.watch(ctx) })
	wg.Go(func() { g.campaignLoop(ctx) })
	wg.Wait()
}

// Resign ends this process's reign, if it has one, and keeps it from campaigning again.
func (g *Group) Resign() {
	g.mu.Lock()
	g.resigned = true
	r := g.current
	g.mu.Unlock()
	if r != nil {
		r.end("resigned")
		<-r.released
	}
}

// announce keeps the entry of this process in the store.
func (g *Group) keepRegistered(ctx context.Context) {
	var lease store.LeaseID
	for ctx.Err() == nil {
		var err error
		if lease == 0 {
			lease, err = g.register(ctx)
		} else {
			lease, err = g.renewRegistration(ctx, lease)
		}
		wait := hostRenewInterval
		if err != nil {
			g.log.Warn("group: entry of this process not renewed", "error", err)
			wait = retryMaxDelay
		} else if lease == 0 {
			continue
		}
		sleep(ctx, wait)
	}
}

func (g *Group) register(ctx context.Context) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	lease, err := g.store.Grant(ctx, hostTTL)
	if err != nil {
		return 0, err
	}
	value, err := cbor.Marshal(hostRecord{Address: g.address, MilliCPU: g.hosts.ownMilliCPU})
	if err != nil {
		return 0, err
	}
	_, err = g.store.Txn(ctx, store.Txn{Then: []store.Op{store.Put{Key: hostPrefix + string(g.self), Value: value, Lease: lease}}})
	if err != nil {
		return 0, err
	}
	return lease, nil
}

func (g *Group) renewRegistration(ctx context.Context, lease store.LeaseID) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	left, err := g.store.KeepAlive(ctx, lease)
	if err != nil {
		return lease, err
	}
	if left == 0 {
		return 0, nil
	}
	return lease, nil
}

// follow watches the keys of the group.
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
		var seat Leader
		if err := cbor.Unmarshal(c.Entry.Value, &seat); err != nil {
			g.log.Error("group: unreadable entry", "key", key, "error", err)
			return
		}
		seat.Token = infra.Token(c.Entry.ModRevision)
		g.Observe(seat)
	case strings.HasPrefix(key, hostPrefix):
		g.applyHost(fleet.EntryHostID(strings.TrimPrefix(key, hostPrefix)), c)
	}
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
	var entry hostRecord
	if err := cbor.Unmarshal(c.Entry.Value, &entry); err != nil {
		g.log.Error("group: unreadable entry", "key", c.Entry.Key, "error", err)
		return
	}
	g.hosts.add(host, entry.MilliCPU)
	g.onHost(host, entry.Address)
}

// vacate starts a campaign, because there is no scheduler.
func (g *Group) signalVacant() {
	select {
	case g.vacant <- struct{}{}:
	default:
	}
}

// stand campaigns whenever the seat is vacant, and reigns when a campaign is won.
func (g *Group) campaignLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.vacant:
		}
		sleep(ctx, rand.N(campaignJitter))
		if g.hosts.hasLarger(0) {
			sleep(ctx, largerHostHeadStart)
		}
		r, err := g.campaign(ctx)
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
		case r != nil:
			g.lead(ctx, r)
		}
	}
}

// run campaigns once; it returns nil without an error if another process is the scheduler.
func (g *Group) campaign(ctx context.Context) (*Leadership, error) {
	g.mu.Lock()
	barred := g.resigned
	g.mu.Unlock()
	if barred {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	entries, _, err := readAll(ctx, g.store, groupPrefix)
	if err != nil {
		return nil, err
	}
	seat := Leader{EntryHost: g.self}
	var termAt store.Compare = store.Absent{Key: termKey}
	for _, e := range entries {
		switch e.Key {
		case leaderKey:
			g.applyChange(store.Change{Entry: e})
			return nil, nil
		case termKey:
			var last termRecord
			if err := cbor.Unmarshal(e.Value, &last); err != nil {
				return nil, err
			}
			seat.Term, seat.Predecessor = last.Term+1, last.EntryHost
			termAt = store.Unchanged{Key: termKey, ModRevision: e.ModRevision}
		}
	}
	return g.acquire(ctx, seat, termAt)
}

func (g *Group) acquire(ctx context.Context, seat Leader, termAt store.Compare) (*Leadership, error) {
	sent := Now()
	lease, err := g.store.Grant(ctx, leaderTTL)
	if err != nil {
		return nil, err
	}
	value, err := cbor.Marshal(seat)
	if err != nil {
		return nil, err
	}
	term, err := cbor.Marshal(termRecord{Term: seat.Term, EntryHost: seat.EntryHost})
	if err != nil {
		return nil, err
	}
	result, err := g.store.Txn(ctx, store.Txn{
		If:   []store.Compare{store.Absent{Key: leaderKey}, termAt},
		Then: []store.Op{store.Put{Key: leaderKey, Value: value, Lease: lease}, store.Put{Key: termKey, Value: term}},
	})
	if err != nil {
		// The seat may be taken under this lease; it is not used and lapses, unless the store can end it now.
		g.revoke(lease)
		return nil, err
	}
	if !result.Committed {
		g.revoke(lease)
		return nil, nil
	}
	seat.Token = infra.Token(result.Revision)
	return newLeadership(g.store, lease, seat, sent), nil
}

func (g *Group) revoke(lease store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := g.store.Revoke(ctx, lease); err != nil {
		g.log.Warn("group: lease not ended", "error", err)
	}
}

// serve reigns until the lease is lost.
func (g *Group) lead(ctx context.Context, r *Leadership) {
	g.mu.Lock()
	g.current = r
	barred := g.resigned
	g.mu.Unlock()
	g.log.Info("group: elected", "token", r.leader.Token, "term", r.leader.Term)
	if barred {
		r.end("resigned")
	}
	g.Observe(r.leader)
	reignCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { r.renew(reignCtx, g.log) })
	wg.Go(func() { g.hosts.handOver(reignCtx, r) })
	wg.Go(func() {
		select {
		case <-r.ended:
		case <-reignCtx.Done():
		}
		cancel()
	})
	g.onElected(reignCtx, r)
	r.end("scheduler stopped")
	wg.Wait()
	g.revoke(r.lease)
	close(r.released)
	g.log.Info("group: reign over", "token", r.leader.Token, "reason", r.Reason())
	g.mu.Lock()
	g.current = nil
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

// readAll reads all entries with a prefix; the revision is that of the first page, so that a watch from there misses
// nothing.
func readAll(ctx context.Context, client store.Client, prefix string) ([]store.Entry, store.Revision, error) {
	var all []store.Entry
	var revision store.Revision
	after := ""
	for {
		pageCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
		page, err := client.Range(pageCtx, store.Get{Key: prefix, Prefix: true, After: after})
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			revision = page.Revision
		}
		all = append(all, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return all, revision, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}
