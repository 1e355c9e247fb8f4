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
	renewEach = 300 * time.Millisecond
	// horizon is how long a scheduler goes on while the store is silent; outages of the store last 4 to 9 s.
	horizon = 5 * time.Second
	// hostTTL is the lease of the entry that names a running entry process.
	hostTTL       = 6 * time.Second
	hostRenewEach = 2 * time.Second
	// retryFirst and retryLimit bound the pause after a failed call of the store.
	retryFirst = 50 * time.Millisecond
	retryLimit = 500 * time.Millisecond
	// campaignSpread is the random pause before an entry process tries to become the scheduler.
	campaignSpread = 60 * time.Millisecond
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
type termEntry struct {
	Term      int64             `cbor:"term"`
	EntryHost fleet.EntryHostID `cbor:"entry_host"`
}

// hostEntry is where an entry process accepts links, and the processor time of its entry host.
type hostEntry struct {
	Address  string `cbor:"address"`
	MilliCPU int64  `cbor:"milli_cpu,omitempty"`
}

// Group follows who the scheduler is and which entry processes run, and campaigns while there is no scheduler.
type Group struct {
	self    fleet.EntryHostID
	address string
	store   store.Client
	log     *slog.Logger
	hosts   *hosts
	// reign runs the scheduler until ctx ends.
	reign func(ctx context.Context, r *Leadership)
	// onHost is told of entry processes that come and go; the address is empty for one that has gone.
	onHost func(host fleet.EntryHostID, address string)
	onSeat func(Leader)

	mu       sync.Mutex
	seat     Leader
	campaign chan struct{}
	barred   bool
	reigning *Leadership
}

// NewGroup returns the group as seen by the process self, which listens at address.
func NewGroup(
	self fleet.EntryHostID, address string, client store.Client, log *slog.Logger,
	reign func(ctx context.Context, r *Leadership), onHost func(fleet.EntryHostID, string), onSeat func(Leader), opts ...Option,
) *Group {
	g := &Group{
		hosts: &hosts{known: make(map[fleet.EntryHostID]registered)},
		self:  self, address: address, store: client, log: log, reign: reign, onHost: onHost, onSeat: onSeat,
		campaign: make(chan struct{}, 1),
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
func WithMilliCPU(milliCPU int64) Option { return func(g *Group) { g.hosts.own = milliCPU } }

// Seat returns who the scheduler is, as far as this process knows.
func (g *Group) Leader() (Leader, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seat, g.seat.EntryHost != ""
}

// Observe takes note of a scheduler of which a peer has told; an older one changes nothing.
func (g *Group) Observe(s Leader) {
	g.mu.Lock()
	newer := s.Token > g.seat.Token
	if newer {
		g.seat = s
	}
	reigning := g.reigning
	g.mu.Unlock()
	if reigning != nil && s.Token > reigning.seat.Token {
		reigning.end("a peer knows a newer scheduler")
	}
	if newer {
		g.log.Info("group: scheduler", "entry_host", s.EntryHost, "token", s.Token)
		g.onSeat(s)
	}
}

// Over reports whether no reign of this process with a lower token goes on, and ends one that does.
func (g *Group) Supersede(token infra.Token) bool {
	g.mu.Lock()
	r := g.reigning
	g.mu.Unlock()
	if r == nil || r.seat.Token >= token {
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
	wg.Go(func() { g.announce(ctx) })
	wg.Go(func() { g.follow(ctx) })
	wg.Go(func() { g.stand(ctx) })
	wg.Wait()
}

// Resign ends this process's reign, if it has one, and keeps it from campaigning again.
func (g *Group) Resign() {
	g.mu.Lock()
	g.barred = true
	r := g.reigning
	g.mu.Unlock()
	if r != nil {
		r.end("resigned")
		<-r.released
	}
}

// announce keeps the entry of this process in the store.
func (g *Group) announce(ctx context.Context) {
	var lease store.LeaseID
	for ctx.Err() == nil {
		var err error
		if lease == 0 {
			lease, err = g.register(ctx)
		} else {
			lease, err = g.renewHost(ctx, lease)
		}
		wait := hostRenewEach
		if err != nil {
			g.log.Warn("group: entry of this process not renewed", "error", err)
			wait = retryLimit
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
	value, err := cbor.Marshal(hostEntry{Address: g.address, MilliCPU: g.hosts.own})
	if err != nil {
		return 0, err
	}
	_, err = g.store.Txn(ctx, store.Txn{Then: []store.Op{store.Put{Key: hostPrefix + string(g.self), Value: value, Lease: lease}}})
	if err != nil {
		return 0, err
	}
	return lease, nil
}

func (g *Group) renewHost(ctx context.Context, lease store.LeaseID) (store.LeaseID, error) {
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
func (g *Group) follow(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := g.read(ctx)
		if err == nil {
			err = g.store.Watch(ctx, groupPrefix, after, g.apply)
		}
		if ctx.Err() != nil || historyGone(err) {
			continue
		}
		g.log.Warn("group: watch ended", "error", err)
		sleep(ctx, retryFirst+rand.N(retryFirst))
	}
}

func (g *Group) read(ctx context.Context) (store.Revision, error) {
	entries, revision, err := readAll(ctx, g.store, groupPrefix)
	if err != nil {
		return 0, err
	}
	vacant := true
	for _, e := range entries {
		vacant = vacant && e.Key != leaderKey
		g.applyOne(store.Change{Entry: e})
	}
	if vacant {
		g.vacate()
	}
	return revision, nil
}

func (g *Group) apply(_ store.Revision, changes []store.Change) {
	for _, c := range changes {
		g.applyOne(c)
	}
}

func (g *Group) applyOne(c store.Change) {
	key := c.Entry.Key
	switch {
	case key == leaderKey && c.Deleted:
		g.vacate()
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
		g.hosts.leave(host)
		g.onHost(host, "")
		return
	}
	var entry hostEntry
	if err := cbor.Unmarshal(c.Entry.Value, &entry); err != nil {
		g.log.Error("group: unreadable entry", "key", c.Entry.Key, "error", err)
		return
	}
	g.hosts.join(host, entry.MilliCPU)
	g.onHost(host, entry.Address)
}

// vacate starts a campaign, because there is no scheduler.
func (g *Group) vacate() {
	select {
	case g.campaign <- struct{}{}:
	default:
	}
}

// stand campaigns whenever the seat is vacant, and reigns when a campaign is won.
func (g *Group) stand(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.campaign:
		}
		sleep(ctx, rand.N(campaignSpread))
		if g.hosts.larger(0) {
			sleep(ctx, deferTime)
		}
		r, err := g.run(ctx)
		var rejected *store.RejectedError
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && !errors.As(err, &rejected):
			g.log.Warn("group: campaign failed", "error", err)
			sleep(ctx, retryFirst)
			g.vacate()
		case err != nil:
			sleep(ctx, retryFirst)
			g.vacate()
		case r != nil:
			g.serve(ctx, r)
		}
	}
}

// run campaigns once; it returns nil without an error if another process is the scheduler.
func (g *Group) run(ctx context.Context) (*Leadership, error) {
	g.mu.Lock()
	barred := g.barred
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
	var termAt store.Compare = store.KeyAbsent{Key: termKey}
	for _, e := range entries {
		switch e.Key {
		case leaderKey:
			g.applyOne(store.Change{Entry: e})
			return nil, nil
		case termKey:
			var last termEntry
			if err := cbor.Unmarshal(e.Value, &last); err != nil {
				return nil, err
			}
			seat.Term, seat.Predecessor = last.Term+1, last.EntryHost
			termAt = store.KeyUnchanged{Key: termKey, ModRevision: e.ModRevision}
		}
	}
	return g.take(ctx, seat, termAt)
}

func (g *Group) take(ctx context.Context, seat Leader, termAt store.Compare) (*Leadership, error) {
	sent := Now()
	lease, err := g.store.Grant(ctx, leaderTTL)
	if err != nil {
		return nil, err
	}
	value, err := cbor.Marshal(seat)
	if err != nil {
		return nil, err
	}
	term, err := cbor.Marshal(termEntry{Term: seat.Term, EntryHost: seat.EntryHost})
	if err != nil {
		return nil, err
	}
	result, err := g.store.Txn(ctx, store.Txn{
		If:   []store.Compare{store.KeyAbsent{Key: leaderKey}, termAt},
		Then: []store.Op{store.Put{Key: leaderKey, Value: value, Lease: lease}, store.Put{Key: termKey, Value: term}},
	})
	if err != nil {
		// The seat may be taken under this lease; it is not used and lapses, unless the store can end it now.
		g.release(lease)
		return nil, err
	}
	if !result.Committed {
		g.release(lease)
		return nil, nil
	}
	seat.Token = infra.Token(result.Revision)
	return newReign(g.store, lease, seat, sent), nil
}

func (g *Group) release(lease store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := g.store.Revoke(ctx, lease); err != nil {
		g.log.Warn("group: lease not ended", "error", err)
	}
}

// serve reigns until the lease is lost.
func (g *Group) serve(ctx context.Context, r *Leadership) {
	g.mu.Lock()
	g.reigning = r
	barred := g.barred
	g.mu.Unlock()
	g.log.Info("group: elected", "token", r.seat.Token, "term", r.seat.Term)
	if barred {
		r.end("resigned")
	}
	g.Observe(r.seat)
	reignCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { r.renew(reignCtx, g.log) })
	wg.Go(func() { g.hosts.yield(reignCtx, r) })
	wg.Go(func() {
		select {
		case <-r.ended:
		case <-reignCtx.Done():
		}
		cancel()
	})
	g.reign(reignCtx, r)
	r.end("scheduler stopped")
	wg.Wait()
	g.release(r.lease)
	close(r.released)
	g.log.Info("group: reign over", "token", r.seat.Token, "reason", r.Reason())
	g.mu.Lock()
	g.reigning = nil
	g.mu.Unlock()
	g.vacate()
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
