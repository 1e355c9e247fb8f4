package flow

import (
	"time"

	"lovagefork.example/coord/infra"
)

const (
	// linkWindow is how long the starts on their way may occupy a link. Stops and renewals wait behind them.
	linkWindow = 100 * time.Millisecond
	// startOverhead is the size of the names, headers and packets of a start, in bytes.
	startOverhead = 1200
	// maxStartBytes is the size of a large start, in bytes.
	maxStartBytes = 4 << 10
)

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

// lane is a link that carries starts.
type lane struct {
	// window limits the bytes on their way; 0 if the bandwidth is unknown.
	window int64
	bytes  int64
	onWay  map[startID]int64
	// sent lists the starts in the order of their ends, with those that were answered.
	sent []sentStart
}

func newLane(bitsPerSecond int64) *lane {
	return &lane{window: int64(linkWindow.Seconds() * float64(bitsPerSecond) / 8), onWay: make(map[startID]int64)}
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

// remove ends the way of a start, and reports whether it was on its way.
func (l *lane) remove(id startID) bool {
	size, found := l.onWay[id]
	l.bytes -= size
	delete(l.onWay, id)
	return found
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

// mayStartAnother reports whether another start may be sent now. If not, its task waits, and those that are ranked below it do
// too, so that large starts are not passed over.
func (m *Machine) mayStartAnother(size int64) bool {
	m.linkFull = !m.link.hasRoom(size)
	return !m.linkFull
}

// LinkUse describes how starts use this host's link.
type LinkUse struct {
	// OnWay is the estimated size of the starts on their way, and Window its limit, in bytes; 0 if there is none.
	OnWay  int64 `json:"bytes"`
	Window int64 `json:"window_bytes"`
	// HeldBack counts the tasks that wait while the link is full.
	HeldBack int `json:"held_back"`
}

// LinkUse returns how starts use this host's link.
func (m *Machine) LinkUse() LinkUse {
	use := LinkUse{OnWay: m.link.bytes, Window: m.link.window}
	if m.linkFull {
		for _, r := range m.rankedSteps {
			if !r.removed {
				use.HeldBack += r.step.waiting
			}
		}
	}
	return use
}
