package once

import (
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Times and sizes of claims.
const (
	// Prefix is the store prefix of all claims.
	Prefix = "once/"
	// leaseUse is how long new claims are attached to a lease, and leaseTTL how long it lives: together at least 24 h.
	leaseUse = time.Hour
	leaseTTL = 25 * time.Hour
	// leaseRenew is how long before the end of its use a lease is replaced, so that no claim waits for the next one.
	leaseRenew = 5 * time.Minute
	// window is how long claims and outcomes are collected for one transaction.
	window = 5 * time.Millisecond
	// maxGroup stays below the limit of 128 operations that etcd sets on a transaction.
	maxGroup = 64
	// backoff separates the tries of a transaction that failed; for outcomes it doubles up to maxBackoff.
	backoff    = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
	// troubleAfter is the number of failed transactions in a row after which the store is probed by one transaction in
	// probeEvery, since claims that each try on their own would spend the store budget of the whole process in an outage.
	troubleAfter = 3
	probeEvery   = 500 * time.Millisecond
	// maxRejections bounds the tries of an outcome that the store refuses, for example because its lease has ended.
	maxRejections = 20
	// patience is how long a claim is tried before its request is rejected.
	patience = time.Second
	// maxClaims bounds the claims that wait for the store, and maxOutcomes the outcomes; an outcome beyond that is
	// dropped and stays unknown.
	maxClaims   = 4096
	maxOutcomes = 16384
)

// Key names a request for 24 h.
type Key struct {
	Customer fleet.CustomerID
	Request  fleet.RequestID
}

// String returns the store key.
func (k Key) String() string { return Prefix + string(k.Customer) + "/" + string(k.Request) }

// Event is an input of a [Machine].
type Event interface{ event() }

// Claim asks for the right to run a request.
type Claim struct {
	ID       uint64
	Key      Key
	Deadline time.Time
}

// Finished ends a claim. NotRun gives the key free again; Recorded keeps the outcome for repeated requests. Without
// both the outcome stays unknown.
type Finished struct {
	ID       uint64
	NotRun   bool
	RecordOutcome bool
	Status   int
}

// TxnEnded is the result of [RunTxn].
type TxnEnded struct {
	Txn    uint64
	Result store.TxnResult
	Err    error
}

// LeaseEnded is the result of [GrantLease].
type GrantLeaseEnded struct {
	Lease store.LeaseID
	Err   error
}

// Tick sends collected and repeated transactions; it should come at least every 10 ms.
type Tick struct{}

func (Claim) event()      {}
func (Finished) event()   {}
func (TxnEnded) event()   {}
func (GrantLeaseEnded) event() {}
func (Tick) event()       {}

// Effect is an output of a [Machine].
type Effect interface{ effect() }

// RunTxn asks for a store transaction.
type RunTxn struct {
	ID  uint64
	Txn store.Txn
}

// GrantLease asks for a store lease.
type GrantLease struct{ TTL time.Duration }

// Granted gives a request the right to run, once.
type ClaimGranted struct{ ID uint64 }

// Existing tells that another request holds the key, with what is known of its outcome.
type ClaimExists struct {
	ID     uint64
	Record Record
}

// Unavailable tells that the store gave no claim; the request must not run.
type ClaimUnavailable struct{ ID uint64 }

func (RunTxn) effect()      {}
func (GrantLease) effect()  {}
func (ClaimGranted) effect()     {}
func (ClaimExists) effect()    {}
func (ClaimUnavailable) effect() {}

// Machine is the reducer for the claims of one process.
type Machine struct {
	self fleet.EntryHostID
	boot fleet.BootID

	claims    map[uint64]*claim
	keys      map[Key]*claim
	open      []*claim
	releasing map[string]bool
	outcomes  []*outcome
	txns      map[uint64]txn
	nextTxn   uint64
	serial    uint64

	lease       store.LeaseID
	leaseAsked  time.Time
	leaseUntil  time.Time
	leaseUnsure bool
	leaseRetry  time.Time

	failures  int
	nextProbe time.Time
}

// claim is a claim from its request to its outcome; unclear is set once a write of it may have taken effect.
type claim struct {
	Claim
	record   Record
	value    []byte
	lease    store.LeaseID
	asked    time.Time
	next     time.Time
	inFlight bool
	unclear  bool
	granted  bool
	dropped  bool
}

// outcome replaces a claim's record, or deletes it if there is no value.
type outcome struct {
	key        string
	old        []byte
	value      []byte
	lease      store.LeaseID
	next       time.Time
	wait       time.Duration
	rejections int
}

// txn holds what a transaction in flight is for.
type txn struct {
	claims   []*claim
	outcomes []*outcome
}

// New returns a machine without claims.
func New(self fleet.EntryHostID, boot fleet.BootID) *Machine {
	return &Machine{
		self: self, boot: boot,
		claims: make(map[uint64]*claim), keys: make(map[Key]*claim),
		releasing: make(map[string]bool), txns: make(map[uint64]txn),
	}
}

// Step applies an event.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Claim:
		return m.claim(now, ev)
	case Finished:
		m.finish(now, ev)
	case TxnEnded:
		return m.txnEnded(now, ev)
	case GrantLeaseEnded:
		m.leaseEnded(now, ev)
	case Tick:
		return m.tick(now)
	}
	return nil
}

// Unrecorded returns the number of outcomes that the store does not have yet.
func (m *Machine) UnrecordedOutcomes() int {
	n := len(m.outcomes)
	for _, t := range m.txns {
		n += len(t.outcomes)
	}
	return n
}

func (m *Machine) claim(now time.Time, ev Claim) []Effect {
	switch other := m.keys[ev.Key]; {
	case other != nil && !other.dropped:
		return []Effect{ClaimExists{ID: ev.ID}}
	case other != nil || len(m.open) >= maxClaims:
		return []Effect{ClaimUnavailable{ID: ev.ID}}
	}
	m.serial++
	c := &claim{Claim: ev, asked: now, next: now.Add(window)}
	c.record = Record{Owner: m.self, Boot: m.boot, Serial: m.serial}
	c.value = c.record.encode()
	m.claims[ev.ID], m.keys[ev.Key] = c, c
	m.open = append(m.open, c)
	return nil
}

func (m *Machine) finish(now time.Time, ev Finished) {
	c := m.claims[ev.ID]
	if c == nil {
		return
	}
	if !c.granted {
		// The answer of the store decides whether there is a claim to delete.
		c.dropped = true
		return
	}
	m.forget(c)
	switch {
	case ev.NotRun:
		m.record(now, c, nil)
	case ev.RecordOutcome:
		done := c.record
		done.Outcome, done.Status = "ran", ev.Status
		m.record(now, c, done.encode())
	}
}

func (m *Machine) forget(c *claim) {
	delete(m.claims, c.ID)
	delete(m.keys, c.Key)
	if !c.granted {
		m.open = slices.DeleteFunc(m.open, func(o *claim) bool { return o == c })
	}
}

func (m *Machine) record(now time.Time, c *claim, value []byte) {
	if len(m.outcomes) >= maxOutcomes {
		return
	}
	key := c.Key.String()
	if value == nil {
		m.releasing[key] = true
	}
	m.outcomes = append(m.outcomes, &outcome{
		key: key, old: c.value, value: value, lease: c.lease, next: now.Add(window), wait: backoff,
	})
}

func (m *Machine) tick(now time.Time) []Effect {
	effects := m.giveUp(now)
	effects = append(effects, m.askLease(now)...)
	room := m.room(now)
	var sent []Effect
	if m.lease != 0 && now.Before(m.leaseUntil) {
		sent = m.sendClaims(now, room)
	}
	sent = append(sent, m.sendOutcomes(now, room-len(sent))...)
	if m.troubled() && len(sent) > 0 {
		m.nextProbe = now.Add(probeEvery)
	}
	return append(effects, sent...)
}

func (m *Machine) troubled() bool { return m.failures >= troubleAfter }

// room returns how many transactions may be sent now.
func (m *Machine) room(now time.Time) int {
	switch {
	case !m.troubled():
		return maxOutcomes
	case now.Before(m.nextProbe):
		return 0
	}
	return 1
}

// giveUp rejects the claims that got no clear answer in time. One that may have taken effect is deleted, so that the
// caller can repeat its request.
func (m *Machine) giveUp(now time.Time) []Effect {
	var effects []Effect
	for _, c := range slices.Clone(m.open) {
		if !c.dropped && now.Before(c.asked.Add(patience)) && now.Before(c.Deadline) {
			continue
		}
		if !c.dropped {
			effects = append(effects, ClaimUnavailable{ID: c.ID})
		}
		c.dropped = true
		if c.inFlight {
			continue
		}
		m.forget(c)
		if c.unclear {
			m.record(now, c, nil)
		}
	}
	return effects
}

func (m *Machine) askLease(now time.Time) []Effect {
	fresh := m.lease != 0 && now.Before(m.leaseUntil.Add(-leaseRenew))
	wanted := len(m.open) > 0 || m.lease != 0
	if fresh || !wanted || m.leaseUnsure || now.Before(m.leaseRetry) {
		return nil
	}
	m.leaseUnsure, m.leaseAsked = true, now
	return []Effect{GrantLease{TTL: leaseTTL}}
}

func (m *Machine) leaseEnded(now time.Time, ev GrantLeaseEnded) {
	m.leaseUnsure = false
	if ev.Err != nil {
		m.leaseRetry = now.Add(backoff)
		return
	}
	m.lease, m.leaseUntil = ev.Lease, m.leaseAsked.Add(leaseUse)
}
