package lease

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Machine is the session and the ownership of one process; it is not safe for concurrent use.
type Machine struct {
	self       Member
	partitions []fleet.PartitionID
	horizon    time.Duration

	lease      store.LeaseID
	validUntil time.Time
	lastProven time.Time
	granting   bool
	renewing   bool
	registered bool
	nextTry    time.Time
	nextRenew  time.Time
	claimFrom  time.Time

	refreshing  bool
	nextRefresh time.Time
	members     []Member
	owners      map[fleet.PartitionID]Owner
	tenures     map[fleet.PartitionID]store.Entry
	freeSince   map[fleet.PartitionID]time.Time
	misplaced   map[fleet.PartitionID]time.Time

	held      map[fleet.PartitionID]tenancy
	claiming  map[fleet.PartitionID]bool
	attempted map[fleet.PartitionID]claim
	releasing map[fleet.PartitionID]EpochRecord

	draining     bool
	nextStepDown time.Time
}

// claim is the last claim of a partition, whose outcome a snapshot may show later than the answer.
type claim struct {
	owner    Owner
	value    []byte
	handover Handover
}

// tenancy is a held partition; proven is the last proof of the session that it was claimed under, once that has lapsed.
type tenancy struct {
	epoch  fleet.Epoch
	lease  store.LeaseID
	proven time.Time
}

// Option changes a [Machine] under construction.
type Option func(*Machine)

// WithOutageHorizon replaces [OutageHorizon].
func WithOutageHorizon(d time.Duration) Option {
	return func(m *Machine) { m.horizon = d }
}

// New returns a machine without a session for the process self and all partitions of the system.
func New(self Member, partitions []fleet.PartitionID, opts ...Option) *Machine {
	m := &Machine{
		self:       self,
		partitions: partitions,
		horizon:    OutageHorizon,
		owners:     make(map[fleet.PartitionID]Owner),
		tenures:    make(map[fleet.PartitionID]store.Entry),
		freeSince:  make(map[fleet.PartitionID]time.Time),
		misplaced:  make(map[fleet.PartitionID]time.Time),
		held:       make(map[fleet.PartitionID]tenancy),
		claiming:   make(map[fleet.PartitionID]bool),
		attempted:  make(map[fleet.PartitionID]claim),
		releasing:  make(map[fleet.PartitionID]EpochRecord),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Valid reports whether the session is proven to last at now.
func (m *Machine) Valid(now time.Time) bool {
	return m.lease != 0 && now.Before(m.validUntil)
}

// ValidUntil returns the time until which the session is proven, or the zero time without a session.
func (m *Machine) ValidUntil() time.Time {
	if m.lease == 0 {
		return time.Time{}
	}
	return m.validUntil
}

// Holds reports whether the process may claim tasks in the partition under the epoch at now.
func (m *Machine) MayClaimTasks(now time.Time, p fleet.PartitionID, epoch fleet.Epoch) bool {
	h, held := m.held[p]
	return held && h.epoch == epoch && h.lease == m.lease && m.Valid(now)
}

// MayRenew reports whether the process may renew leases of running tasks, which an outage of the store does not end.
func (m *Machine) MayRenewTasks(now time.Time, p fleet.PartitionID, epoch fleet.Epoch) bool {
	h, held := m.held[p]
	if !held || h.epoch != epoch {
		return false
	}
	proven := h.proven
	if h.lease == m.lease {
		proven = m.lastProven
	}
	return now.Before(proven.Add(m.horizon))
}

// Owner returns the last known owner of a partition, and false if it has none.
func (m *Machine) Owner(p fleet.PartitionID) (Owner, bool) {
	o, ok := m.owners[p]
	return o, ok
}

// Members returns the last known live processes in ascending order.
func (m *Machine) Members() []Member { return m.members }

// Step applies one event and returns what must be done, in order.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Tick:
		return m.tick(now)
	case Granted:
		return m.granted(now, ev)
	case KeptAlive:
		return m.keptAlive(now, ev)
	case Registered:
		return m.registerDone(now, ev)
	case Snapshot:
		return m.snapshot(now, ev)
	case ClaimDone:
		return m.claimDone(now, ev)
	case ReleaseDone:
		return m.releaseDone(now, ev)
	case OwnersChanged:
		m.nextRefresh = now
		return m.refresh(now)
	case EpochSuperseded:
		return m.stale(ev)
	case Drain:
		m.draining = true
		return m.stepDownAll("drain")
	}
	return nil
}

func (m *Machine) tick(now time.Time) []Effect {
	effects := m.renewSession(now)
	effects = append(effects, m.refresh(now)...)
	if m.draining {
		// A claim that was under way when the drain began may have been won since.
		return append(effects, m.stepDownAll("drain")...)
	}
	effects = append(effects, m.claimFree(now)...)
	return append(effects, m.rebalance(now)...)
}

func (m *Machine) renewSession(now time.Time) []Effect {
	if m.lease == 0 {
		if m.granting || m.draining || now.Before(m.nextTry) {
			return nil
		}
		m.granting = true
		return []Effect{Grant{}}
	}
	if m.renewing || now.Before(m.nextRenew) {
		return nil
	}
	m.renewing = true
	return []Effect{KeepAlive{ID: m.lease}}
}

func (m *Machine) granted(now time.Time, ev Granted) []Effect {
	m.granting = false
	if ev.ID == 0 {
		m.nextTry = now.Add(retryEvery)
		return nil
	}
	m.lease = ev.ID
	m.prove(ev.SentAt)
	m.nextRenew = ev.SentAt.Add(RenewInterval)
	m.registered = false
	return m.register()
}

// prove counts the session from before the request was sent, because the store may have counted it from then.
func (m *Machine) prove(sentAt time.Time) {
	m.validUntil = sentAt.Add(TTL - DriftMargin)
	m.lastProven = sentAt
}

func (m *Machine) register() []Effect {
	put := store.Put{Key: MembersPrefix + string(m.self.EntryHost), Value: encode(m.self), Lease: m.lease}
	return []Effect{Register{ID: m.lease, Txn: store.Txn{Then: []store.Op{put}}}}
}

func (m *Machine) keptAlive(now time.Time, ev KeptAlive) []Effect {
	m.renewing = false
	if ev.ID != m.lease {
		return nil
	}
	switch {
	case !ev.OK:
		m.nextRenew = now.Add(retryEvery)
		return nil
	case ev.TTL <= 0:
		for p, h := range m.held {
			if h.lease == m.lease {
				h.proven = m.lastProven
				m.held[p] = h
			}
		}
		m.lease = 0
		m.registered = false
		m.nextTry = now
		return m.renewSession(now)
	}
	m.prove(ev.SentAt)
	m.nextRenew = ev.SentAt.Add(RenewInterval)
	if !m.registered {
		return m.register()
	}
	return nil
}

func (m *Machine) registerDone(now time.Time, ev Registered) []Effect {
	if ev.ID != m.lease || !ev.OK {
		return nil
	}
	m.registered = true
	m.claimFrom = now.Add(settleTime)
	m.nextRefresh = now
	return m.refresh(now)
}

func (m *Machine) refresh(now time.Time) []Effect {
	if m.refreshing || now.Before(m.nextRefresh) {
		return nil
	}
	m.refreshing = true
	m.nextRefresh = now.Add(RefreshInterval)
	return []Effect{Refresh{}}
}

func (m *Machine) snapshot(now time.Time, ev Snapshot) []Effect {
	m.refreshing = false
	if !ev.OK {
		m.nextRefresh = now.Add(retryEvery)
		return nil
	}
	m.read(ev.Entries)
	var effects []Effect
	for _, p := range m.partitions {
		effects = append(effects, m.reconcile(p)...)
		if _, owned := m.owners[p]; owned {
			delete(m.freeSince, p)
		} else if _, known := m.freeSince[p]; !known {
			m.freeSince[p] = now
		}
	}
	return append(effects, m.claimFree(now)...)
}

func (m *Machine) read(entries []store.Entry) {
	m.members = m.members[:0:0]
	clear(m.owners)
	clear(m.tenures)
	for _, e := range entries {
		if p, ok := partitionOf(e.Key, tenureSuffix); ok {
			m.tenures[p] = e
			continue
		}
		if p, ok := partitionOf(e.Key, ownerSuffix); ok {
			if o, err := decode[Owner](e.Value); err == nil {
				m.owners[p] = o
			}
			continue
		}
		if member, err := decode[Member](e.Value); err == nil {
			m.members = append(m.members, member)
		}
	}
	slices.SortFunc(m.members, func(a, b Member) int { return compareHosts(a, b) })
}

// reconcile compares what the process believes about a partition with what the store shows.
//
// A missing owner key alone does not end the renewal of running tasks, because it is also missing after an outage in
// which nobody else claimed the partition.
func (m *Machine) reconcile(p fleet.PartitionID) []Effect {
	owner, owned := m.owners[p]
	h, held := m.held[p]
	c, attempted := m.attempted[p]
	if last, releasing := m.releasing[p]; owned && releasing && last.Owner == owner {
		return []Effect{m.release(p)}
	}
	if owned && attempted && owner == c.owner && !m.claiming[p] && h.epoch < c.owner.Epoch {
		return []Effect{m.gain(p, c)}
	}
	delete(m.releasing, p)
	tenure, err := decode[EpochRecord](m.tenures[p].Value)
	switch {
	case !held || err != nil:
		return nil
	case tenure.Epoch == h.epoch && tenure.Offered:
		return m.lose(p, "released")
	case tenure.Epoch <= h.epoch || (attempted && c.owner == tenure.Owner):
		return nil
	}
	return m.lose(p, "another owner has a higher epoch")
}

func (m *Machine) stale(ev EpochSuperseded) []Effect {
	if h, held := m.held[ev.Partition]; !held || h.epoch != ev.Epoch {
		return nil
	}
	return m.lose(ev.Partition, "a higher epoch was seen")
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the types of this package always encode
	}
	return data
}

func decode[T any](data []byte) (T, error) {
	var v T
	err := cbor.Unmarshal(data, &v)
	return v, err
}
