package flow

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

const (
	// maxUnansweredStarts limits the starts of this host without an answer. At 750 starts per second it allows an answer to take
	// 170 ms, so that an overloaded process sends fewer starts rather than starts that arrive too late.
	maxUnansweredStarts = 128
	// maxUnansweredRelayed limits those that relays send.
	maxUnansweredRelayed = 128
	// maxUnansweredOfWorker limits the starts of one worker without an answer. They share a few connections, where each waits for
	// the answers to those before it.
	maxUnansweredOfWorker = 32
	// maxUnansweredOnThinLink replaces it where each start also waits for the link, so that the last one is answered in time.
	maxUnansweredOnThinLink = 16
	// startOverhead is the size of the names, headers and packets of a start, in bytes.
	startOverhead = 1200
	// directShare divides the window for the starts that this host sends itself while there are relays. Relayed ones take a ninth of
	// their room.
	directShare = 4
	// relayedStartBytes is the size of a start without its checkpoint on its way to a relay.
	relayedStartBytes = 400
	// maxStartBytes is the size of a large start, in bytes.
	maxStartBytes = 4 << 10
	// MaxRelays limits the entry hosts through which starts are sent, because each has connections of its own to the workers.
	MaxRelays = 8
	// relayPause is how long a relay that has not answered takes no starts, and relayDoubtPause how long one takes none that
	// has not sent a start or got no answer.
	relayPause      = 2 * time.Second
	relayDoubtPause = 500 * time.Millisecond
	// maxRests limits the growth of these times.
	maxRests = 4
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

// LimitsStarts reports whether a link of a known bandwidth carries fewer starts than a scheduler sends at once.
func LimitsStarts(bitsPerSecond int64) bool {
	return bitsPerSecond > 0 && MaxLinkDelay(bitsPerSecond) == 2*linkWindow
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

// lane is a link that carries starts: that of this host or of a relay.
type lane struct {
	// relay is empty for the link of this host.
	relay fleet.EntryHostID
	window[startID]
	// restsUntil is the end of the time for which a relay takes no starts, and rests the number of such times since it last got an
	// answer of a worker.
	restsUntil time.Time
	rests      int
}

func newLane(relay fleet.EntryHostID, bitsPerSecond int64) *lane {
	return &lane{relay: relay, window: newWindow[startID](bitsPerSecond)}
}

// startBytes estimates the size of a start of a task.
func startBytes(j *job, t *task) int64 {
	return int64(len(j.spec.Spec)+len(t.checkpoint)) + startOverhead
}

// setRelays replaces the relays. Those with the fastest links are used; one that was used before keeps its state. A link that
// carries all starts that may be on their way needs none.
func (m *Machine) setRelays(all []Relay) {
	if !LimitsStarts(m.opts.linkBitsPerSecond) {
		return
	}
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Relay) int {
		return cmp.Or(cmp.Compare(b.LinkBitsPerSecond, a.LinkBitsPerSecond), cmp.Compare(a.EntryHost, b.EntryHost))
	})
	old := m.relays
	m.relays = nil
	for _, r := range all[:min(MaxRelays, len(all))] {
		if r.LinkBitsPerSecond <= 0 {
			r.LinkBitsPerSecond = m.opts.linkBitsPerSecond
		}
		l := newLane(r.EntryHost, r.LinkBitsPerSecond)
		if at := slices.IndexFunc(old, func(l *lane) bool { return l.relay == r.EntryHost }); at >= 0 {
			old[at].limit = l.limit
			l = old[at]
		}
		m.relays = append(m.relays, l)
	}
	m.placementDue = m.placementDue || m.linkFull
}

// affinity orders the relays for a job, so that all of its tasks go through the same one while that has room.
func (l *lane) affinity(id fleet.JobID) uint64 {
	return xxhash.Sum64String(string(l.relay) + "/" + string(id))
}

// chooseLane returns the link on which starts of tasks may be sent now, or nil if all are full. Then their tasks wait, and those
// that are ranked below them do too, so that large starts are not passed over. While there are relays, starts that this host
// sends itself leave most of its link to those that relays send.
func (m *Machine) chooseLane(j *job, tasks ...*task) *lane {
	size, relayed := int64(0), int64(0)
	for _, t := range tasks {
		size += startBytes(j, t)
		relayed += relayedBytes(t)
	}
	var best *lane
	bestAffinity := uint64(0)
	for _, l := range m.relays {
		if m.now.Before(l.restsUntil) || !l.hasRoom(size) {
			continue
		}
		if a := l.affinity(j.spec.ID); best == nil || a > bestAffinity {
			best, bestAffinity = l, a
		}
	}
	reserved := int64(0)
	if best != nil {
		reserved = m.link.limit - m.link.limit/directShare
	}
	switch {
	case m.unansweredStarts-m.unansweredRelayed < maxUnansweredStarts && m.link.hasRoom(size+reserved):
		return m.link
	case best != nil && m.unansweredRelayed < maxUnansweredRelayed && m.link.hasRoom(relayed):
		return best
	}
	m.linkFull = true
	return nil
}

// maxUnansweredOf returns the limit of the starts of one worker without an answer. Relays have connections of their own to the worker.
func (m *Machine) maxUnansweredOf() int {
	if LimitsStarts(m.opts.linkBitsPerSecond) && len(m.relays) == 0 {
		return maxUnansweredOnThinLink
	}
	return maxUnansweredOfWorker
}

// tooManyUnanswered reports whether no start may be sent before another one is answered.
func (m *Machine) tooManyUnanswered() bool {
	return m.unansweredStarts-m.unansweredRelayed >= maxUnansweredStarts &&
		(len(m.relays) == 0 || m.unansweredRelayed >= maxUnansweredRelayed)
}

// settle ends the way of a start on all links.
func (m *Machine) settle(id startID, isAnswered bool) {
	m.link.settle(id, isAnswered)
	for _, l := range m.relays {
		l.settle(id, isAnswered)
	}
}

// rest gives a relay no starts for a while, which doubles with each further time.
func (m *Machine) rest(relay fleet.EntryHostID, pause time.Duration) {
	for _, l := range m.relays {
		if l.relay == relay && !m.now.Before(l.restsUntil) {
			l.restsUntil = m.now.Add(pause << min(l.rests, maxRests))
			l.rests++
		}
	}
}

// isTrusted reports whether the word of a relay on a worker counts, because another worker has answered it last. That of this host
// always does.
func (m *Machine) isTrusted(relay fleet.EntryHostID) bool {
	return !slices.ContainsFunc(m.relays, func(l *lane) bool { return l.relay == relay && l.rests > 0 })
}

// relayWorks notes that a relay has got an answer of a worker.
func (m *Machine) relayWorks(relay fleet.EntryHostID) {
	for _, l := range m.relays {
		if l.relay == relay {
			l.rests = 0
		}
	}
}

// relayedBytes estimates the size of a start of a task on its way to a relay.
func relayedBytes(t *task) int64 { return int64(len(t.checkpoint)) + relayedStartBytes }

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
	// Starts, Relayed and RelayFailures are those of [Counts].
	Starts        int64 `json:"starts"`
	Relayed       int64 `json:"relayed"`
	RelayFailures int64 `json:"relay_failures"`
}

// LinkUse returns how starts use this host's link.
func (m *Machine) LinkUse() LinkUse {
	use := LinkUse{
		OnWay: m.link.bytes, Window: m.link.limit, Relays: len(m.relays),
		Starts: m.counts.Starts, Relayed: m.counts.Relayed, RelayFailures: m.counts.RelayFailures,
	}
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
