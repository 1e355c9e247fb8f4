package config

import (
	"maps"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// TickInterval is the time between two [Tick] events.
const TickInterval = 250 * time.Millisecond

// Machine accepts changes and keeps the documents in effect in one process; it is not safe for concurrent use.
type Machine struct {
	docs map[fleet.CustomerID]VersionedDocument
	// revisions is replaced, never changed, because peers with the same documents share it.
	revisions map[fleet.CustomerID]store.Revision
	sum       uint64
	proposals map[uint64]*proposal
	store     storeSync
	peers     map[fleet.EntryHostID]*peer
	spread    spreadTimes
}

// New returns a machine that holds no documents.
func New() *Machine {
	return &Machine{
		docs:      make(map[fleet.CustomerID]VersionedDocument),
		revisions: make(map[fleet.CustomerID]store.Revision),
		proposals: make(map[uint64]*proposal),
		peers:     make(map[fleet.EntryHostID]*peer),
	}
}

// Step takes one event and returns its effects in the order in which they are to be carried out.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Propose:
		return m.propose(now, ev)
	case TxnDone:
		return m.txnDone(now, ev)
	case HeadRead:
		return m.headRead(now, ev)
	case PageRead:
		return m.pageRead(now, ev)
	case WatchChanged:
		return m.watchChanged(ev)
	case WatchEnded:
		return m.watchEnded(now, ev)
	case PeerUp:
		return m.peerUp(ev.Peer)
	case PeerDown:
		return m.peerDown(ev.Peer)
	case DocsReceived:
		return m.applyAll(ev.Documents, SourcePeer)
	case StateReceived:
		return m.stateReceived(now, ev)
	case Tick:
		return m.tick(now)
	}
	return nil
}

func (m *Machine) tick(now time.Time) []Effect {
	effects := m.retryProposals(now)
	effects = append(effects, m.pollStore(now)...)
	effects = append(effects, m.spreadSums(now)...)
	return append(effects, m.ask(now)...)
}

// apply brings a document into effect unless one with the same or a higher revision is.
func (m *Machine) apply(v VersionedDocument, source Source) []Effect {
	id := v.Document.Customer
	held, exists := m.docs[id]
	if v.Revision <= held.Revision {
		return nil
	}
	if exists {
		m.sum ^= hashRevision(id, held.Revision)
	}
	m.sum ^= hashRevision(id, v.Revision)
	m.docs[id] = v
	return []Effect{DocApplied{Versioned: v, Source: source}}
}

func (m *Machine) applyAll(documents []VersionedDocument, source Source) []Effect {
	var effects []Effect
	for _, v := range documents {
		effects = append(effects, m.apply(v, source)...)
	}
	m.publishRevisions(effects)
	return effects
}

func (m *Machine) applyEntries(entries []store.Entry, source Source) []Effect {
	var effects []Effect
	for _, e := range entries {
		v, err := ParseEntry(e)
		if err != nil {
			effects = append(effects, DecodeFailed{Err: err})
			continue
		}
		effects = append(effects, m.apply(v, source)...)
	}
	m.publishRevisions(effects)
	return effects
}

func (m *Machine) publishRevisions(effects []Effect) {
	var fresh map[fleet.CustomerID]store.Revision
	for _, e := range effects {
		applied, ok := e.(DocApplied)
		if !ok {
			continue
		}
		if fresh == nil {
			fresh = maps.Clone(m.revisions)
		}
		fresh[applied.Versioned.Document.Customer] = applied.Versioned.Revision
	}
	if fresh != nil {
		m.revisions = fresh
	}
}

// Customer returns the document in effect of a customer, and false if it has none.
func (m *Machine) Customer(id fleet.CustomerID) (VersionedDocument, bool) {
	v, ok := m.docs[id]
	return v, ok
}

// Customers lists the customers that have a document, in ascending order.
func (m *Machine) Customers() []fleet.CustomerID {
	return slices.Sorted(maps.Keys(m.docs))
}

// Revisions returns the revision in effect of each customer; the map must not be changed.
func (m *Machine) Revisions() map[fleet.CustomerID]store.Revision {
	return m.revisions
}
