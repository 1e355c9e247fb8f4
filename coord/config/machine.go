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

// Machine is the state machine of the configuration in one process. It runs changes against the store, and brings
// documents into effect that arrive from the store and from peers. It is not safe for concurrent use.
type Machine struct {
	docs map[fleet.CustomerID]VersionedDocument
	// revisions is replaced rather than modified, because the state of each peer with the same documents refers to it.
	revisions map[fleet.CustomerID]store.Revision
	// checksum is the exclusive or of hashRevision over all documents.
	checksum  uint64
	proposals map[uint64]*proposal
	store     storeSync
	peers     map[fleet.EntryHostID]*peer
	peerSync  peerSyncTimes
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

// Step processes one event and returns its effects in the order in which the caller must carry them out.
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
	effects = append(effects, m.sendChecksums(now)...)
	return append(effects, m.requestNewerDocs(now)...)
}

// apply brings a document into effect unless a document of the customer with the same or a higher revision already is.
func (m *Machine) apply(v VersionedDocument, source Source) []Effect {
	id := v.Document.Customer
	inEffect, exists := m.docs[id]
	if v.Revision <= inEffect.Revision {
		return nil
	}
	if exists {
		m.checksum ^= hashRevision(id, inEffect.Revision)
	}
	m.checksum ^= hashRevision(id, v.Revision)
	m.docs[id] = v
	return []Effect{DocApplied{Doc: v, Source: source}}
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
	var updated map[fleet.CustomerID]store.Revision
	for _, e := range effects {
		applied, ok := e.(DocApplied)
		if !ok {
			continue
		}
		if updated == nil {
			updated = maps.Clone(m.revisions)
		}
		updated[applied.Doc.Document.Customer] = applied.Doc.Revision
	}
	if updated != nil {
		m.revisions = updated
	}
}

// Customer returns the document in effect of a customer, and false if it has none.
func (m *Machine) Customer(id fleet.CustomerID) (VersionedDocument, bool) {
	v, ok := m.docs[id]
	return v, ok
}

// Customers returns the customers that have a document, in ascending order.
func (m *Machine) Customers() []fleet.CustomerID {
	return slices.Sorted(maps.Keys(m.docs))
}

// Revisions returns the revision in effect of each customer. The caller must not modify the map.
func (m *Machine) Revisions() map[fleet.CustomerID]store.Revision {
	return m.revisions
}
