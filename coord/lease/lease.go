package lease

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Machine is the state machine for the session and the owned partitions of one process. It is not safe for concurrent
// use.
type Machine struct {
	self          Member
	partitions    []fleet.PartitionID
	outageHorizon time.Duration

	lease          store.LeaseID
	validUntil     time.Time
	lastConfirmed  time.Time // send time of the last successful grant or keepalive
	granting       bool
	renewing       bool
	registered     bool
	nextGrant      time.Time
	nextRenew      time.Time
	claimNotBefore time.Time // set at registration, see firstClaimDelay

	refreshing     bool
	nextRefresh    time.Time
	members        []Member
	owners         map[fleet.PartitionID]Owner
	epochRecords   map[fleet.PartitionID]store.Entry
	freeSince      map[fleet.PartitionID]time.Time
	misplacedSince map[fleet.PartitionID]time.Time
	// unansweredSince is freeSince of the partitions whose last claim got no answer, until the next snapshot.
	unansweredSince map[fleet.PartitionID]time.Time

	owned      map[fleet.PartitionID]ownership
	claiming   map[fleet.PartitionID]bool
	lastClaims map[fleet.PartitionID]claimAttempt
	releasing  map[fleet.PartitionID]EpochRecord

	draining     bool
	nextStepDown time.Time
}

// claimAttempt is the last claim of a partition. If the claim's outcome is unknown, a later snapshot can still show
// that it succeeded.
type claimAttempt struct {
	owner    Owner
	value    []byte
	handover Handover
}

// ownership is the state of an owned partition. confirmedAt is set when the session of the claim has expired, to the
// time at which that session was last confirmed.
type ownership struct {
	epoch       fleet.Epoch
	lease       store.LeaseID
	confirmedAt time.Time
}

// Option configures a [Machine] in [New].
type Option func(*Machine)

// WithOutageHorizon replaces [OutageHorizon].
func WithOutageHorizon(d time.Duration) Option {
	return func(m *Machine) { m.outageHorizon = d }
}

// New returns a machine without a session for the process self; partitions lists all partitions of the system.
func New(self Member, partitions []fleet.PartitionID, opts ...Option) *Machine {
	m := &Machine{
		self:            self,
		partitions:      partitions,
		outageHorizon:   OutageHorizon,
		owners:          make(map[fleet.PartitionID]Owner),
		epochRecords:    make(map[fleet.PartitionID]store.Entry),
		freeSince:       make(map[fleet.PartitionID]time.Time),
		misplacedSince:  make(map[fleet.PartitionID]time.Time),
		unansweredSince: make(map[fleet.PartitionID]time.Time),
		owned:           make(map[fleet.PartitionID]ownership),
		claiming:        make(map[fleet.PartitionID]bool),
		lastClaims:      make(map[fleet.PartitionID]claimAttempt),
		releasing:       make(map[fleet.PartitionID]EpochRecord),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Valid reports whether the session is certain to be valid at now.
func (m *Machine) Valid(now time.Time) bool {
	return m.lease != 0 && now.Before(m.validUntil)
}

// ValidUntil returns the time until which the session is certain to be valid, or the zero time without a session.
func (m *Machine) ValidUntil() time.Time {
	if m.lease == 0 {
		return time.Time{}
	}
	return m.validUntil
}

// MayClaimTasks reports whether the process may claim tasks in the partition under the epoch at now.
func (m *Machine) MayClaimTasks(now time.Time, p fleet.PartitionID, epoch fleet.Epoch) bool {
	o, owned := m.owned[p]
	return owned && o.epoch == epoch && o.lease == m.lease && m.Valid(now)
}

// MayRenewTasks reports whether the process may renew the leases of running tasks. It may do so after its session has
// expired, up to the outage horizon, so that a store outage does not end running tasks.
func (m *Machine) MayRenewTasks(now time.Time, p fleet.PartitionID, epoch fleet.Epoch) bool {
	o, owned := m.owned[p]
	if !owned || o.epoch != epoch {
		return false
	}
	confirmedAt := o.confirmedAt
	if o.lease == m.lease {
		confirmedAt = m.lastConfirmed
	}
	return now.Before(confirmedAt.Add(m.outageHorizon))
}

// Owner returns the last known owner of a partition, and false if it has none.
func (m *Machine) Owner(p fleet.PartitionID) (Owner, bool) {
	o, ok := m.owners[p]
	return o, ok
}

// Members returns the last known live processes in ascending order.
func (m *Machine) Members() []Member { return m.members }

// Step applies one event and returns the effects that the caller must carry out, in order.
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
		return m.epochSuperseded(ev)
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
		// A claim that was in flight when the drain began may have succeeded since.
		return append(effects, m.stepDownAll("drain")...)
	}
	effects = append(effects, m.claimFree(now)...)
	return append(effects, m.rebalance(now)...)
}

func (m *Machine) renewSession(now time.Time) []Effect {
	if m.lease == 0 {
		if m.granting || m.draining || now.Before(m.nextGrant) {
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
		m.nextGrant = now.Add(retryInterval)
		return nil
	}
	m.lease = ev.ID
	m.confirmSession(ev.SentAt)
	m.nextRenew = ev.SentAt.Add(RenewInterval)
	m.registered = false
	return m.register()
}

// confirmSession extends the session from the time at which the request was sent, because the store may have received
// the request, and started its lease, as early as that.
func (m *Machine) confirmSession(sentAt time.Time) {
	m.validUntil = sentAt.Add(TTL - DriftMargin)
	m.lastConfirmed = sentAt
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
		m.nextRenew = now.Add(retryInterval)
		return nil
	case ev.TTL <= 0:
		for p, o := range m.owned {
			if o.lease == m.lease {
				o.confirmedAt = m.lastConfirmed
				m.owned[p] = o
			}
		}
		m.lease = 0
		m.registered = false
		m.nextGrant = now
		return m.renewSession(now)
	}
	m.confirmSession(ev.SentAt)
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
	m.claimNotBefore = now.Add(firstClaimDelay)
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
		m.nextRefresh = now.Add(retryInterval)
		return nil
	}
	m.readEntries(ev.Entries)
	var effects []Effect
	for _, p := range m.partitions {
		effects = append(effects, m.reconcile(p)...)
		if _, hasOwner := m.owners[p]; hasOwner {
			delete(m.freeSince, p)
		} else if _, known := m.freeSince[p]; !known {
			m.freeSince[p] = now
			if since, unanswered := m.unansweredSince[p]; unanswered {
				m.freeSince[p] = since
			}
		}
	}
	clear(m.unansweredSince)
	return append(effects, m.claimFree(now)...)
}

func (m *Machine) readEntries(entries []store.Entry) {
	m.members = m.members[:0:0]
	clear(m.owners)
	clear(m.epochRecords)
	for _, e := range entries {
		if p, ok := partitionOf(e.Key, epochSuffix); ok {
			m.epochRecords[p] = e
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

// reconcile compares the local ownership state of a partition with the last snapshot of the store.
//
// A missing owner key alone does not end the renewal of running tasks: the key also expires in a store outage after
// which no other process has claimed the partition.
func (m *Machine) reconcile(p fleet.PartitionID) []Effect {
	owner, hasOwner := m.owners[p]
	o, owned := m.owned[p]
	c, attempted := m.lastClaims[p]
	if last, releasing := m.releasing[p]; hasOwner && releasing && last.Owner == owner {
		return []Effect{m.release(p)}
	}
	if hasOwner && attempted && owner == c.owner && !m.claiming[p] && o.epoch < c.owner.Epoch {
		return []Effect{m.becomeOwner(p, c)}
	}
	delete(m.releasing, p)
	record, err := decode[EpochRecord](m.epochRecords[p].Value)
	switch {
	case !owned || err != nil:
		return nil
	case record.Epoch == o.epoch && record.Offered:
		return m.dropOwnership(p, "released")
	case record.Epoch <= o.epoch || (attempted && c.owner == record.Owner):
		return nil
	}
	return m.dropOwnership(p, "another owner has a higher epoch")
}

func (m *Machine) epochSuperseded(ev EpochSuperseded) []Effect {
	if o, owned := m.owned[ev.Partition]; !owned || o.epoch != ev.Epoch {
		return nil
	}
	return m.dropOwnership(ev.Partition, "a worker or the store reported a higher epoch")
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the types of this package can always be encoded
	}
	return data
}

func decode[T any](data []byte) (T, error) {
	var v T
	err := cbor.Unmarshal(data, &v)
	return v, err
}
