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
	// askGap and peerAskGap keep a process that has just started, and whose sum differs from that of every peer, from
	// fetching all documents from all of them.
	askGap     = 200 * time.Millisecond
	peerAskGap = 800 * time.Millisecond
	// docsPerMessage keeps a message of documents of 10 KB under 1 MB.
	docsPerMessage = 100
)

// State summarises the documents in effect in a process; Sum is equal in processes that hold the same revisions.
type State struct {
	Sum uint64
	// Full is set if Revisions lists all customers; otherwise it is empty.
	Full      bool
	Revisions map[fleet.CustomerID]store.Revision
	// Reply asks for the documents, and if needed the full state, that the receiver holds at a higher revision.
	Reply bool
}

type peer struct {
	up        bool
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
	m.peers[id] = &peer{up: true}
	return []Effect{SendState{To: id, State: State{Sum: m.sum}}}
}

func (m *Machine) peerDown(id fleet.EntryHostID) []Effect {
	m.peer(id).up = false
	return nil
}

func (m *Machine) spreadSums(now time.Time) []Effect {
	if now.Sub(m.spread.sumAt) < sumInterval {
		return nil
	}
	m.spread.sumAt = now
	var effects []Effect
	for _, id := range m.linked() {
		effects = append(effects, SendState{To: id, State: State{Sum: m.sum}})
	}
	return effects
}

func (m *Machine) sendToAll(v Versioned) []Effect {
	var effects []Effect
	for _, id := range m.linked() {
		effects = append(effects, SendDocs{To: id, Documents: []Versioned{v}})
	}
	return effects
}

func (m *Machine) stateReceived(now time.Time, ev StateReceived) []Effect {
	p := m.peer(ev.From)
	p.up = true
	p.heardAt = now
	if ev.State.Sum == m.sum {
		p.revisions = m.revisions
		return nil
	}
	var effects []Effect
	ahead := true
	if ev.State.Full {
		p.revisions = ev.State.Revisions
		if ev.State.Reply {
			effects = m.newerDocs(ev.From, ev.State.Revisions)
		}
		ahead = m.isBehind(ev.State.Revisions)
	}
	if !ahead || now.Sub(p.askedAt) < peerAskGap || now.Sub(m.spread.askedAt) < askGap {
		return effects
	}
	p.askedAt, m.spread.askedAt = now, now
	return append(effects, SendState{
		To: ev.From, State: State{Sum: m.sum, Full: true, Revisions: m.revisions, Reply: true},
	})
}

func (m *Machine) newerDocs(to fleet.EntryHostID, revisions map[fleet.CustomerID]store.Revision) []Effect {
	var effects []Effect
	var batch []Versioned
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

func (m *Machine) isBehind(revisions map[fleet.CustomerID]store.Revision) bool {
	for id, revision := range revisions {
		if revision > m.docs[id].Revision {
			return true
		}
	}
	return false
}

func (m *Machine) linked() []fleet.EntryHostID {
	var up []fleet.EntryHostID
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		if m.peers[id].up {
			up = append(up, id)
		}
	}
	return up
}

// PeerView is what this process knows of a peer; Revisions must not be changed and may lag.
type PeerView struct {
	Peer      fleet.EntryHostID
	Up        bool
	HeardAt   time.Time
	Revisions map[fleet.CustomerID]store.Revision
}

// Peers lists the peers that were ever linked, in ascending order.
func (m *Machine) Peers() []PeerView {
	views := make([]PeerView, 0, len(m.peers))
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[id]
		views = append(views, PeerView{Peer: id, Up: p.up, HeardAt: p.heardAt, Revisions: p.revisions})
	}
	return views
}
