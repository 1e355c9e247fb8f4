package flow

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

const (
	// linkWindow is how long the starts on their way may occupy a link. Stops and renewals wait behind them.
	linkWindow = 100 * time.Millisecond
	// startOverhead is the size of the names, headers and packets of a start, in bytes.
	startOverhead = 1200
	// relayedStartBytes is the size of a start on its way to a relay, without its checkpoint.
	relayedStartBytes = 400
	// maxStartBytes is the size of a large start, in bytes.
	maxStartBytes = 4 << 10
	// maxRelays limits the entry hosts through which starts are sent, because each has connections of its own to the workers.
	maxRelays = 8
	// relayPause is how long a relay that has not answered takes no starts, and relayDoubtPause how long one takes none that
	// has not sent a start or got no answer.
	relayPause      = 2 * time.Second
	relayDoubtPause = 500 * time.Millisecond
)

// Relay is an entry host that can send starts for the scheduler. It reads the spec of a job once, so that the link of the
// scheduler's host need not carry it with each start.
type Relay struct {
	EntryHost fleet.EntryHostID
	// LinkBitsPerSecond is the bandwidth of its link; 0 if it is unknown.
	LinkBitsPerSecond int64
}

// RelayError reports a start that a relay has not answered for. If NotSent is set, the worker has not received the start and
// will not; otherwise it may have been carried out.
type RelayError struct {
	Relay   fleet.EntryHostID
	NotSent bool
	Cause   error
}

// Error returns the relay and the cause.
func (e *RelayError) Error() string {
	if e.NotSent {
		return fmt.Sprintf("relay %s: not sent: %v", e.Relay, e.Cause)
	}
	return fmt.Sprintf("relay %s: outcome unknown: %v", e.Relay, e.Cause)
}

// Unwrap returns the cause.
func (e *RelayError) Unwrap() error { return e.Cause }

// WithLink sets the bandwidth of this host's link, which bounds the starts on their way; 0 if it is unknown.
func WithLink(bitsPerSecond int64) Option {
	return func(o *options) { o.linkBitsPerSecond = bitsPerSecond }
}

// MaxLinkDelay returns how long an order may wait for a link of a known bandwidth behind the starts of a scheduler, and 0 if
// the bandwidth is unknown. The link may carry as much other traffic.
func MaxLinkDelay(bitsPerSecond int64) time.Duration {
	if bitsPerSecond <= 0 {
		return 0
	}
	all := time.Duration(maxUnansweredStarts * maxStartBytes * 8 * float64(time.Second) / float64(bitsPerSecond))
	return 2 * min(linkWindow, all)
}

// startID identifies a start.
type startID struct {
	task infra.TaskID
	run  infra.Run
}

// sentStart is a start on its way. It counts until its answer, but not after until, so that silent workers do not keep a
// link from others.
type sentStart struct {
	id    startID
	until time.Time
}

// lane is a link that carries starts: that of this host or of a relay.
type lane struct {
	// relay is empty for the link of this host.
	relay fleet.EntryHostID
	// window limits the bytes on their way; 0 if the bandwidth is unknown.
	window int64
	bytes  int64
	onWay  map[startID]int64
	// sent lists the starts in the order of their ends, with those that were answered.
	sent []sentStart
	// restsUntil is the end of the time for which a relay takes no starts.
	restsUntil time.Time
}

func newLane(relay fleet.EntryHostID, bitsPerSecond int64) *lane {
	return &lane{relay: relay, window: int64(linkWindow.Seconds() * float64(bitsPerSecond) / 8), onWay: make(map[startID]int64)}
}

// hasRoom reports whether starts of a size may be sent. Larger ones than the window go alone.
func (l *lane) hasRoom(size int64) bool {
	return l.window <= 0 || l.bytes == 0 || l.bytes+size <= l.window
}

func (l *lane) add(now time.Time, id startID, size int64) {
	l.bytes += size
	l.onWay[id] = size
	l.sent = append(l.sent, sentStart{id: id, until: now.Add(2 * linkWindow)})
}

// remove ends the way of a start.
func (l *lane) remove(id startID) {
	l.bytes -= l.onWay[id]
	delete(l.onWay, id)
}

// expire removes the starts that have been on their way for too long to count.
func (l *lane) expire(now time.Time) {
	n := 0
	for ; n < len(l.sent) && !now.Before(l.sent[n].until); n++ {
		l.remove(l.sent[n].id)
	}
	l.sent = append(l.sent[:0], l.sent[n:]...)
}

// startBytes estimates the size of a start of a task.
func startBytes(j *job, t *task) int64 {
	return int64(len(j.spec.Spec)+len(t.checkpoint)) + startOverhead
}

// setRelays replaces the relays. Those with the fastest links are used; one that was used before keeps its state.
func (m *Machine) setRelays(all []Relay) {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Relay) int {
		return cmp.Or(cmp.Compare(b.LinkBitsPerSecond, a.LinkBitsPerSecond), cmp.Compare(a.EntryHost, b.EntryHost))
	})
	old := m.relays
	m.relays = nil
	for _, r := range all[:min(maxRelays, len(all))] {
		if r.LinkBitsPerSecond <= 0 {
			r.LinkBitsPerSecond = m.opts.linkBitsPerSecond
		}
		l := newLane(r.EntryHost, r.LinkBitsPerSecond)
		if at := slices.IndexFunc(old, func(l *lane) bool { return l.relay == r.EntryHost }); at >= 0 {
			old[at].window = l.window
			l = old[at]
		}
		m.relays = append(m.relays, l)
	}
	m.placementDue = m.placementDue || m.linkFull
}

// affinity orders the relays for a job, so that all of its tasks go through the same one while that has room.
func (l *lane) affinity(id fleet.JobID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(l.relay))
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// chooseLane returns the link on which starts of a job may be sent now, or nil if all are full. Then their tasks wait, and those
// that are ranked below them do too, so that large starts are not passed over. While there are relays, starts that this host
// sends itself leave half of its link to those that relays send.
func (m *Machine) chooseLane(id fleet.JobID, starts int, size int64) *lane {
	var best *lane
	bestAffinity := uint64(0)
	for _, l := range m.relays {
		if m.now.Before(l.restsUntil) || !l.hasRoom(size) {
			continue
		}
		if a := l.affinity(id); best == nil || a > bestAffinity {
			best, bestAffinity = l, a
		}
	}
	switch {
	case best == nil && m.link.hasRoom(size), best != nil && m.link.hasRoom(size+m.link.window/2):
		return m.link
	case best != nil && m.link.hasRoom(int64(starts)*relayedStartBytes):
		return best
	}
	m.linkFull = true
	return nil
}

// settle ends the way of a start on all links.
func (m *Machine) settle(id startID) {
	m.link.remove(id)
	for _, l := range m.relays {
		l.remove(id)
	}
}

// rest gives a relay no starts for a while.
func (m *Machine) rest(relay fleet.EntryHostID, pause time.Duration) {
	for _, l := range m.relays {
		if until := m.now.Add(pause); l.relay == relay && until.After(l.restsUntil) {
			l.restsUntil = until
		}
	}
}

// LinkUse describes how starts use this host's link.
type LinkUse struct {
	// OnWay is the estimated size of the starts on their way, and Window its limit, in bytes; 0 if there is none.
	OnWay  int64 `json:"bytes"`
	Window int64 `json:"window_bytes"`
	// Relays counts the relays in use, and Resting those of them that take no starts at the moment.
	Relays  int `json:"relays"`
	Resting int `json:"resting_relays"`
	// HeldBack counts the tasks that wait while the link is full.
	HeldBack int `json:"held_back"`
}

// LinkUse returns how starts use this host's link.
func (m *Machine) LinkUse() LinkUse {
	use := LinkUse{OnWay: m.link.bytes, Window: m.link.window, Relays: len(m.relays)}
	for _, l := range m.relays {
		if m.now.Before(l.restsUntil) {
			use.Resting++
		}
	}
	if m.linkFull {
		for _, r := range m.rankedSteps {
			if !r.removed {
				use.HeldBack += r.step.waiting
			}
		}
	}
	return use
}
