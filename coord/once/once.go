package once

import (
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Timing and limits of claims.
const (
	// Prefix is the store prefix of all claims.
	Prefix = "once/"
	// leaseUseTime is how long new claims are attached to a lease, and leaseTTL is the time to live of the lease. The
	// difference is the minimum lifetime of a claim, 24 h.
	leaseUseTime = time.Hour
	leaseTTL     = 25 * time.Hour
	// leaseRenewLead is how long before the end of its use time a lease is replaced, so that no claim waits for the new
	// one.
	leaseRenewLead = 5 * time.Minute
	// batchDelay is how long claims and outcomes are collected for one transaction.
	batchDelay = 5 * time.Millisecond
	// maxBatch is the number of claims or outcomes in one transaction. It is below etcd's limit of 128 operations.
	maxBatch = 64
	// minBackoff is the delay between the attempts of a failed transaction. For outcomes it doubles up to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
	// outageThreshold is the number of consecutive failed transactions after which the store is probed by one
	// transaction per probeInterval. Independent attempts of all claims would use up the store budget of the process in
	// an outage.
	outageThreshold = 3
	probeInterval   = 500 * time.Millisecond
	// maxRejections bounds the attempts to write an outcome that the store rejects, for example because its lease has
	// expired.
	maxRejections = 20
	// claimTimeout is how long a claim is attempted before its request is rejected.
	claimTimeout = time.Second
	// maxClaims bounds the claims that wait for the store, and maxOutcomes the outcomes. Outcomes beyond that limit are
	// dropped and stay unknown.
	maxClaims   = 4096
	maxOutcomes = 16384
)

// Key identifies a request of a customer for 24 h.
type Key struct {
	Customer fleet.CustomerID
	Request  fleet.RequestID
}

// String returns the store key.
func (k Key) String() string { return Prefix + string(k.Customer) + "/" + string(k.Request) }

// Event is an input of a [Machine].
type Event interface{ event() }

// Claim requests the exclusive right to run a request.
type Claim struct {
	ID       uint64
	Key      Key
	Deadline time.Time
}

// Finished ends a claim. NotRun releases the key, so that the request can be claimed again; RecordOutcome stores the
// outcome for repeated requests. If neither is set, the outcome stays unknown.
type Finished struct {
	ID            uint64
	NotRun        bool
	RecordOutcome bool
	Status        int
}

// TxnEnded is the result of [RunTxn].
type TxnEnded struct {
	Txn    uint64
	Result store.TxnResult
	Err    error
}

// GrantLeaseEnded is the result of [GrantLease].
type GrantLeaseEnded struct {
	Lease store.LeaseID
	Err   error
}

// Tick sends the transactions that are due. The caller should send it at least every 10 ms.
type Tick struct{}

func (Claim) event()           {}
func (Finished) event()        {}
func (TxnEnded) event()        {}
func (GrantLeaseEnded) event() {}
func (Tick) event()            {}

// Effect is an output of a [Machine].
type Effect interface{ effect() }

// RunTxn requests a store transaction.
type RunTxn struct {
	ID  uint64
	Txn store.Txn
}

// GrantLease requests a store lease.
type GrantLease struct{ TTL time.Duration }

// ClaimGranted reports that the claim succeeded and the request may run once.
type ClaimGranted struct{ ID uint64 }

// ClaimExists reports that another request holds the key. Record contains its outcome, if known.
type ClaimExists struct {
	ID     uint64
	Record Record
}

// ClaimUnavailable reports that the claim could not be stored; the request must not run.
type ClaimUnavailable struct{ ID uint64 }

func (RunTxn) effect()           {}
func (GrantLease) effect()       {}
func (ClaimGranted) effect()     {}
func (ClaimExists) effect()      {}
func (ClaimUnavailable) effect() {}

// Machine is the state machine for the claims of one process. It is not safe for concurrent use.
type Machine struct {
	self fleet.EntryHostID
	boot fleet.BootID

	claims    map[uint64]*claim
	keys      map[Key]*claim
	pending   []*claim
	releasing map[string]bool // store keys whose deletion is not confirmed yet
	outcomes  []*outcomeWrite
	txns      map[uint64]pendingTxn
	nextTxn   uint64
	serial    uint64 // serial number of the last claim

	lease            store.LeaseID
	leaseRequestedAt time.Time
	leaseUntil       time.Time
	leaseRequested   bool
	leaseRetryAt     time.Time

	failures  int // consecutive failed transactions
	nextProbe time.Time
}

// claim is the state of a claim until its outcome is queued. outcomeUnknown is set once a write of the claim may have
// taken effect, and abandoned once its request is rejected or finished without a granted claim.
type claim struct {
	Claim
	record         Record
	value          []byte
	lease          store.LeaseID
	requestedAt    time.Time
	nextAttempt    time.Time
	inFlight       bool
	outcomeUnknown bool
	granted        bool
	abandoned      bool
}

// outcomeWrite replaces the stored record of a claim, or deletes it if value is nil.
type outcomeWrite struct {
	key         string
	claimValue  []byte
	value       []byte
	lease       store.LeaseID
	nextAttempt time.Time
	backoff     time.Duration
	rejections  int
}

// pendingTxn lists the claims or the outcomes that a transaction in flight writes.
type pendingTxn struct {
	claims   []*claim
	outcomes []*outcomeWrite
}

// New returns a machine without claims.
func New(self fleet.EntryHostID, boot fleet.BootID) *Machine {
	return &Machine{
		self: self, boot: boot,
		claims: make(map[uint64]*claim), keys: make(map[Key]*claim),
		releasing: make(map[string]bool), txns: make(map[uint64]pendingTxn),
	}
}

// Step applies an event and returns the effects that the caller must carry out.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Claim:
		return m.claim(now, ev)
	case Finished:
		m.finish(now, ev)
	case TxnEnded:
		return m.txnEnded(now, ev)
	case GrantLeaseEnded:
		m.grantLeaseEnded(now, ev)
	case Tick:
		return m.tick(now)
	}
	return nil
}

// UnrecordedOutcomes returns the number of outcomes that are not yet known to be stored.
func (m *Machine) UnrecordedOutcomes() int {
	n := len(m.outcomes)
	for _, t := range m.txns {
		n += len(t.outcomes)
	}
	return n
}

func (m *Machine) claim(now time.Time, ev Claim) []Effect {
	switch other := m.keys[ev.Key]; {
	case other != nil && !other.abandoned:
		return []Effect{ClaimExists{ID: ev.ID}}
	case other != nil || len(m.pending) >= maxClaims:
		return []Effect{ClaimUnavailable{ID: ev.ID}}
	}
	m.serial++
	c := &claim{Claim: ev, requestedAt: now, nextAttempt: now.Add(batchDelay)}
	c.record = Record{Owner: m.self, Boot: m.boot, Serial: m.serial}
	c.value = c.record.encode()
	m.claims[ev.ID], m.keys[ev.Key] = c, c
	m.pending = append(m.pending, c)
	return nil
}

func (m *Machine) finish(now time.Time, ev Finished) {
	c := m.claims[ev.ID]
	if c == nil {
		return
	}
	if !c.granted {
		// The store's response shows whether there is a claim to delete.
		c.abandoned = true
		return
	}
	m.removeClaim(c)
	switch {
	case ev.NotRun:
		m.addOutcome(now, c, nil)
	case ev.RecordOutcome:
		done := c.record
		done.Outcome, done.Status = "ran", ev.Status
		m.addOutcome(now, c, done.encode())
	}
}

func (m *Machine) removeClaim(c *claim) {
	delete(m.claims, c.ID)
	delete(m.keys, c.Key)
	if !c.granted {
		m.pending = slices.DeleteFunc(m.pending, func(o *claim) bool { return o == c })
	}
}

func (m *Machine) addOutcome(now time.Time, c *claim, value []byte) {
	if len(m.outcomes) >= maxOutcomes {
		return
	}
	key := c.Key.String()
	if value == nil {
		m.releasing[key] = true
	}
	m.outcomes = append(m.outcomes, &outcomeWrite{
		key: key, claimValue: c.value, value: value, lease: c.lease, nextAttempt: now.Add(batchDelay), backoff: minBackoff,
	})
}

func (m *Machine) tick(now time.Time) []Effect {
	effects := m.abandonOverdue(now)
	effects = append(effects, m.requestLease(now)...)
	limit := m.txnLimit(now)
	var sent []Effect
	if m.lease != 0 && now.Before(m.leaseUntil) {
		sent = m.sendClaims(now, limit)
	}
	sent = append(sent, m.sendOutcomes(now, limit-len(sent))...)
	if m.inOutage() && len(sent) > 0 {
		m.nextProbe = now.Add(probeInterval)
	}
	return append(effects, sent...)
}

func (m *Machine) inOutage() bool { return m.failures >= outageThreshold }

// txnLimit returns how many transactions may be sent now.
func (m *Machine) txnLimit(now time.Time) int {
	switch {
	case !m.inOutage():
		return maxOutcomes
	case now.Before(m.nextProbe):
		return 0
	}
	return 1
}

// abandonOverdue rejects the claims whose outcome is still unknown after claimTimeout or at their deadline. A claim
// that may have taken effect is deleted, so that the caller can repeat its request.
func (m *Machine) abandonOverdue(now time.Time) []Effect {
	var effects []Effect
	for _, c := range slices.Clone(m.pending) {
		if !c.abandoned && now.Before(c.requestedAt.Add(claimTimeout)) && now.Before(c.Deadline) {
			continue
		}
		if !c.abandoned {
			effects = append(effects, ClaimUnavailable{ID: c.ID})
		}
		c.abandoned = true
		if c.inFlight {
			continue
		}
		m.removeClaim(c)
		if c.outcomeUnknown {
			m.addOutcome(now, c, nil)
		}
	}
	return effects
}

func (m *Machine) requestLease(now time.Time) []Effect {
	usable := m.lease != 0 && now.Before(m.leaseUntil.Add(-leaseRenewLead))
	needed := len(m.pending) > 0 || m.lease != 0
	if usable || !needed || m.leaseRequested || now.Before(m.leaseRetryAt) {
		return nil
	}
	m.leaseRequested, m.leaseRequestedAt = true, now
	return []Effect{GrantLease{TTL: leaseTTL}}
}

func (m *Machine) grantLeaseEnded(now time.Time, ev GrantLeaseEnded) {
	m.leaseRequested = false
	if ev.Err != nil {
		m.leaseRetryAt = now.Add(minBackoff)
		return
	}
	m.lease, m.leaseUntil = ev.Lease, m.leaseRequestedAt.Add(leaseUseTime)
}
