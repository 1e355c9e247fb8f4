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

// Timing and sizes of the peer messages. A document that the accepting process could not send reaches a linked process
// within one sum interval and two messages; each further process on the path adds as much.
const (
	sumInterval = time.Second
	// askGap keeps a process that has just started, and whose sum differs from that of every peer, from fetching all
	// documents from all of them. Peers are asked in turn, so that one whose messages are lost does not hold up the rest.
	askGap = 500 * time.Millisecond
	// silentAfter is when a peer that sent no sum is taken to be unreachable. Reports of links alone do not suffice: a late
	// message can arrive after the link broke, and reports of two successive links can arrive in the wrong order.
	silentAfter = 3 * sumInterval
	// docsPerMessage keeps a message of documents of 10 KB under 1 MB.
	docsPerMessage = 100
)

// State summarises the documents in effect in a process; Sum is equal in processes that hold the same revisions.
type State struct {
	Checksum uint64
	// Full is set if Revisions lists all customers; otherwise it is empty.
	Full      bool
	Revisions map[fleet.CustomerID]store.Revision
	// Reply asks for the documents that the receiver holds at a higher revision.
	RequestNewer bool
}

type peer struct {
	// sum is the last one heard since the link changed, if heardAt is set.
	sum       uint64
	heardAt   time.Time
	askedAt   time.Time
	revisions map[fleet.CustomerID]store.Revision
}

type spreadTimes struct {
	sumAt   time.Time
	askedAt time.Time
}

// hashRevision is one customer's part of the sum; the parts are combined by exclusive or, so that one can be replaced.
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
	return []Effect{SendState{To: id, State: State{Checksum: m.sum}}}
}

func (m *Machine) peerDown(id fleet.EntryHostID) []Effect {
	m.peer(id).heardAt = time.Time{}
	return nil
}

func (p *peer) heardFrom(now time.Time) bool {
	return !p.heardAt.IsZero() && now.Sub(p.heardAt) < silentAfter
}

func (m *Machine) spreadSums(now time.Time) []Effect {
	if now.Sub(m.spread.sumAt) < sumInterval {
		return nil
	}
	m.spread.sumAt = now
	var effects []Effect
	for _, id := range m.peerIDs() {
		effects = append(effects, SendState{To: id, State: State{Checksum: m.sum}})
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
	p.heardAt = now
	p.sum = ev.State.Checksum
	if p.sum == m.sum {
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
	return append(effects, m.ask(now)...)
}

// ask sends the full state to the peer with other documents that has waited longest for it.
func (m *Machine) ask(now time.Time) []Effect {
	if now.Sub(m.spread.askedAt) < askGap {
		return nil
	}
	var next *peer
	var to fleet.EntryHostID
	for _, id := range m.peerIDs() {
		p := m.peers[id]
		differs := p.heardFrom(now) && p.sum != m.sum
		if differs && (next == nil || p.askedAt.Before(next.askedAt)) {
			next, to = p, id
		}
	}
	if next == nil {
		return nil
	}
	next.askedAt, m.spread.askedAt = now, now
	return []Effect{SendState{To: to, State: State{Checksum: m.sum, Full: true, Revisions: m.revisions, RequestNewer: true}}}
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

// peerIDs lists the peers that were ever linked: a message to one that has no link now is dropped by the link layer.
func (m *Machine) peerIDs() []fleet.EntryHostID {
	return slices.Sorted(maps.Keys(m.peers))
}

// PeerView is what this process knows of a peer; Revisions must not be changed and may lag.
type PeerView struct {
	Peer      fleet.EntryHostID
	Reachable        bool
	StateReceivedAt   time.Time
	Revisions map[fleet.CustomerID]store.Revision
}

// Peers lists the peers that were ever linked, in ascending order; Up is set for those heard from lately.
func (m *Machine) Peers(now time.Time) []PeerView {
	views := make([]PeerView, 0, len(m.peers))
	for _, id := range m.peerIDs() {
		p := m.peers[id]
		views = append(views, PeerView{Peer: id, Reachable: p.heardFrom(now), StateReceivedAt: p.heardAt, Revisions: p.revisions})
	}
	return views
}
