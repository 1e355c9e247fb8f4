package config

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
)

// Timing and sizes of the peer messages. A document that the accepting process could not send directly reaches a linked
// process within one checksum interval plus two messages; each further hop adds the same delay.
const (
	checksumInterval = time.Second
	// minRequestInterval is the minimum time between two requests for newer documents. Without it, a process that has just
	// started, and whose checksum differs from every peer's, would fetch all documents from all peers. The peers take
	// turns, so that one whose messages are lost does not delay the requests to the others.
	minRequestInterval = 500 * time.Millisecond
	// peerTimeout is the time without a state from a peer after which it counts as unreachable. Link events alone do not
	// suffice: a late message can arrive after the link was lost, and events of two successive links can arrive out of
	// order.
	peerTimeout = 3 * checksumInterval
	// docsPerMessage keeps messages under 1 MB if documents have 10 KB each.
	docsPerMessage = 100
)

// State summarises the documents in effect in a process. Processes with the same revisions have equal checksums.
type State struct {
	Checksum uint64
	// Full is set if Revisions lists all customers; otherwise it is empty.
	Full      bool
	Revisions map[fleet.CustomerID]store.Revision
	// RequestNewer requests the documents of which the receiver has a higher revision; it takes effect only with Full.
	RequestNewer bool
}

type peer struct {
	// checksum is the last one received since the link last went up or down; it is valid only if stateReceivedAt is set.
	checksum        uint64
	stateReceivedAt time.Time
	requestedAt     time.Time
	revisions       map[fleet.CustomerID]store.Revision
}

type peerSyncTimes struct {
	checksumSentAt time.Time
	requestedAt    time.Time
}

// hashRevision returns one customer's part of the checksum. The parts are combined by exclusive or, so that one can be
// replaced without computing the others again.
func hashRevision(id fleet.CustomerID, revision store.Revision) uint64 {
	return xxhash.Sum64String(string(id) + "/" + strconv.FormatInt(int64(revision), 10))
}

func (m *Machine) peer(id fleet.EntryHostID) *peer {
	p := m.peers[id]
	if p == nil {
		p = &peer{}
		m.peers[id] = p
	}
	return p
}

func (m *Machine) peerUp(id fleet.EntryHostID) []Effect {
	m.peers[id] = &peer{}
	return []Effect{SendState{To: id, State: State{Checksum: m.checksum}}}
}

func (m *Machine) peerDown(id fleet.EntryHostID) []Effect {
	m.peer(id).stateReceivedAt = time.Time{}
	return nil
}

func (p *peer) reachable(now time.Time) bool {
	return !p.stateReceivedAt.IsZero() && now.Sub(p.stateReceivedAt) < peerTimeout
}

func (m *Machine) sendChecksums(now time.Time) []Effect {
	if now.Sub(m.peerSync.checksumSentAt) < checksumInterval {
		return nil
	}
	m.peerSync.checksumSentAt = now
	var effects []Effect
	for _, id := range m.peerIDs() {
		effects = append(effects, SendState{To: id, State: State{Checksum: m.checksum}})
	}
	return effects
}

func (m *Machine) sendToAll(v VersionedDocument) []Effect {
	var effects []Effect
	for _, id := range m.peerIDs() {
		effects = append(effects, SendDocs{To: id, Documents: []VersionedDocument{v}})
	}
	return effects
}

func (m *Machine) stateReceived(now time.Time, ev StateReceived) []Effect {
	p := m.peer(ev.From)
	p.stateReceivedAt = now
	p.checksum = ev.State.Checksum
	if p.checksum == m.checksum {
		p.revisions = m.revisions
		return nil
	}
	var effects []Effect
	if ev.State.Full {
		p.revisions = ev.State.Revisions
	}
	if ev.State.Full && ev.State.RequestNewer {
		effects = m.newerDocs(ev.From, ev.State.Revisions)
	}
	return append(effects, m.requestNewerDocs(now)...)
}

// requestNewerDocs requests newer documents from one reachable peer whose checksum differs: the one whose last request
// is the oldest. It does nothing within minRequestInterval of the previous request.
func (m *Machine) requestNewerDocs(now time.Time) []Effect {
	if now.Sub(m.peerSync.requestedAt) < minRequestInterval {
		return nil
	}
	var next *peer
	var to fleet.EntryHostID
	for _, id := range m.peerIDs() {
		p := m.peers[id]
		differs := p.reachable(now) && p.checksum != m.checksum
		if differs && (next == nil || p.requestedAt.Before(next.requestedAt)) {
			next, to = p, id
		}
	}
	if next == nil {
		return nil
	}
	next.requestedAt, m.peerSync.requestedAt = now, now
	return []Effect{SendState{To: to, State: State{Checksum: m.checksum, Full: true, Revisions: m.revisions, RequestNewer: true}}}
}

func (m *Machine) newerDocs(to fleet.EntryHostID, revisions map[fleet.CustomerID]store.Revision) []Effect {
	var effects []Effect
	var batch []VersionedDocument
	for _, id := range m.Customers() {
		if v := m.docs[id]; v.Revision > revisions[id] {
			batch = append(batch, v)
		}
		if len(batch) == docsPerMessage {
			effects = append(effects, SendDocs{To: to, Documents: batch})
			batch = nil
		}
	}
	if len(batch) > 0 {
		effects = append(effects, SendDocs{To: to, Documents: batch})
	}
	return effects
}

// peerIDs returns all peers that have ever been linked. The link layer drops messages to those without a link.
func (m *Machine) peerIDs() []fleet.EntryHostID {
	return slices.Sorted(maps.Keys(m.peers))
}

// PeerView is the last known state of a peer. StateReceivedAt is zero if the peer has sent no state since its link last
// went up or down. Revisions may be out of date, and the caller must not modify it.
type PeerView struct {
	Peer            fleet.EntryHostID
	Reachable       bool
	StateReceivedAt time.Time
	Revisions       map[fleet.CustomerID]store.Revision
}

// Peers returns the peers that have ever been linked, in ascending order. Reachable is set for those that sent a state
// within the last 3 s.
func (m *Machine) Peers(now time.Time) []PeerView {
	views := make([]PeerView, 0, len(m.peers))
	for _, id := range m.peerIDs() {
		p := m.peers[id]
		views = append(views, PeerView{Peer: id, Reachable: p.reachable(now), StateReceivedAt: p.stateReceivedAt, Revisions: p.revisions})
	}
	return views
}
