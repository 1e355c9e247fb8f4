package flow

import "time"

// linkWindow is how long what a scheduler has asked for may occupy a link. Other calls wait behind it.
const linkWindow = 100 * time.Millisecond

// maxTransferTime exceeds the time-outs of all calls that are bounded by a window, which free their room if nothing else does.
const maxTransferTime = 4 * time.Second

// window bounds the bytes that are on their way over a link. What has no answer after two windows does not count any more once
// something that was sent later has one, so that silent workers do not keep a link from others. While nothing is answered, it may
// all wait for the link.
type window[K comparable] struct {
	// limit is in bytes; 0 if the bandwidth of the link is unknown.
	limit int64
	bytes int64
	onWay map[K]transfer
	// sent lists the transfers in their order, with those that were answered.
	sent []sentTransfer[K]
	// count numbers the transfers, and answered is the highest number of one that was answered.
	count, answered int64
}

// transfer is something on its way.
type transfer struct {
	number int64
	size   int64
}

// sentTransfer is a transfer with the end of the time for which it counts in any case.
type sentTransfer[K comparable] struct {
	key    K
	number int64
	until  time.Time
}

func newWindow[K comparable](bitsPerSecond int64) window[K] {
	return window[K]{limit: int64(linkWindow.Seconds() * float64(bitsPerSecond) / 8), onWay: make(map[K]transfer)}
}

// hasRoom reports whether something of a size may be sent. What is larger than the limit goes alone.
func (w *window[K]) hasRoom(size int64) bool {
	return w.limit <= 0 || w.bytes == 0 || w.bytes+size <= w.limit
}

func (w *window[K]) add(now time.Time, key K, size int64) {
	w.remove(key)
	w.count++
	w.bytes += size
	w.onWay[key] = transfer{number: w.count, size: size}
	w.sent = append(w.sent, sentTransfer[K]{key: key, number: w.count, until: now.Add(2 * linkWindow)})
}

// settle ends the way of something. If it was answered, what was sent before it has left the link.
func (w *window[K]) settle(key K, isAnswered bool) {
	if isAnswered {
		w.answered = max(w.answered, w.onWay[key].number)
	}
	w.remove(key)
}

func (w *window[K]) remove(key K) {
	w.bytes -= w.onWay[key].size
	delete(w.onWay, key)
}

// expire removes what has been on its way for too long to count.
func (w *window[K]) expire(now time.Time) {
	n := 0
	for ; n < len(w.sent); n++ {
		s := w.sent[n]
		isOvertaken := s.number <= w.answered && !now.Before(s.until)
		if !isOvertaken && now.Before(s.until.Add(maxTransferTime)) {
			break
		}
		if w.onWay[s.key].number == s.number {
			w.remove(s.key)
		}
	}
	w.sent = append(w.sent[:0], w.sent[n:]...)
}
