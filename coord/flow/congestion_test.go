package flow_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// linkModel answers the starts of a scheduler whose link carries bits/s for them, one after the other, and those through relays
// after a round trip.
type linkModel struct {
	h             *harness
	bitsPerSecond int64
	timeout       time.Duration
	// cut holds the relays that do not reach the workers, and cutOff counts the starts through them.
	cut    map[fleet.EntryHostID]bool
	cutOff int

	freeAt  time.Time
	pending []modelAnswer
	sent    int
	// unanswered counts the starts of this host without an answer in time.
	unanswered int
}

type modelAnswer struct {
	at time.Time
	ev flow.StartAnswered
}

// send puts the new starts on the link. One that the link would deliver only after its time-out is given up and occupies it no
// further.
func (l *linkModel) send() int {
	starts := l.h.starts()
	for _, s := range starts {
		l.sent++
		ev := flow.StartAnswered{Worker: s.To.Worker, Via: s.Via, Order: s.Order}
		size := int64(len(s.Order.Spec)) + 1200
		if s.Via != "" {
			size = 400
		}
		if l.freeAt.Before(l.h.now) {
			l.freeAt = l.h.now
		}
		arrival := l.freeAt.Add(time.Duration(float64(size*8) / float64(l.bitsPerSecond) * float64(time.Second)))
		switch {
		case s.Via != "" && l.cut[s.Via]:
			l.freeAt = arrival
			l.cutOff++
			ev.Err = &infra.NoAnswerError{Worker: s.To.Worker, Cause: errNoLink}
			l.pending = append(l.pending, modelAnswer{l.h.now.Add(cutRelayTimeout), ev})
		case s.Via == "" && arrival.Sub(l.h.now) > l.timeout:
			l.unanswered++
			ev.Err = &infra.NoAnswerError{Worker: s.To.Worker, Cause: errNoLink}
			l.pending = append(l.pending, modelAnswer{l.h.now.Add(l.timeout), ev})
		default:
			l.freeAt = arrival
			l.pending = append(l.pending, modelAnswer{arrival.Add(20 * time.Millisecond), ev})
		}
	}
	return len(starts)
}

// step advances the time by 25 ms, and delivers the answers that have arrived.
func (l *linkModel) step() int {
	l.h.advance(25 * time.Millisecond)
	var rest []modelAnswer
	for _, a := range l.pending {
		if a.at.After(l.h.now) {
			rest = append(rest, a)
			continue
		}
		a.ev.Clock = l.h.now.UnixMilli()
		l.h.step(a.ev)
	}
	l.pending = rest
	return l.send()
}

func newLinkModel(t *testing.T, bitsPerSecond, available int64) *linkModel {
	var workers []infra.Worker
	for n := range 490 {
		w := newPoolWorker(fmt.Sprintf("w%03d", n))
		w.Capacity = fleet.Resources{MilliCPU: 1000_000, MemoryBytes: 2000 << 30}
		workers = append(workers, w)
	}
	h := newHarnessOf(t, flow.New(7, flow.WithLink(bitsPerSecond)), flow.Restored{}, workers...)
	for _, w := range workers {
		h.report(w.ID, infra.Report{})
	}
	h.effects = nil
	return &linkModel{h: h, bitsPerSecond: available, timeout: 400*time.Millisecond + flow.MaxLinkDelay(bitsPerSecond)}
}

// The batches of a scheduler of 490 workers and its other calls take 4 to 11 Mbit/s. Starts that the remainder of the link carries
// slowly stop counting after 0.2 s, so that the next ones queue behind them until none is answered in time.
func TestStartsAreAnsweredBesideOtherTraffic(t *testing.T) {
	for _, relays := range []int{0, 8} {
		for _, available := range []int64{5_000_000, 4_000_000, 3_000_000, 2_000_000} {
			t.Run(fmt.Sprintf("relays=%d,available=%d", relays, available), func(t *testing.T) {
				l := newLinkModel(t, 10_000_000, available)
				var ids []fleet.EntryHostID
				for n := range relays {
					ids = append(ids, fleet.EntryHostID(fmt.Sprintf("e%d", n)))
				}
				l.h.step(smallRelays(ids...))
				for n := range 100 {
					l.h.step(flow.Submitted{Job: specJob(fmt.Sprintf("j%03d", n), smallStep(40))})
				}
				for range 5 * 40 {
					l.step()
				}
				t.Logf("%d starts in 5 s, %d without an answer", l.sent, l.unanswered)
				assert.Equal(t, l.unanswered, 0)
			})
		}
	}
}

// cutRelayTimeout is the time-out of an order of a relay.
const cutRelayTimeout = 600 * time.Millisecond

// A relay that is cut off from the workers reports each of them as silent. One that has answered another entry host meanwhile must
// not be paused on its word.
func TestRelayWithoutWorkersPausesFew(t *testing.T) {
	l := newLinkModel(t, 10_000_000, 10_000_000)
	l.cut = map[fleet.EntryHostID]bool{"edge-maardu-1": true}
	var ids []fleet.EntryHostID
	for n := range 8 {
		ids = append(ids, fleet.EntryHostID(fmt.Sprintf("edge-maardu-%d", n+1)))
	}
	l.h.step(smallRelays(ids...))
	for n := range 400 {
		l.h.step(flow.Submitted{Job: specJob(fmt.Sprintf("%016x", uint64(n+1)*0x9e3779b97f4a7c15), smallStep(40))})
	}
	most, failed := 0, 0
	for range 5 * 40 {
		l.step()
		paused := 0
		for _, w := range l.h.m.Workers() {
			if w.UnusableReason != "" {
				paused++
			}
		}
		most = max(most, paused)
	}
	failed = l.cutOff
	t.Logf("%d starts in 5 s, %d of them without an answer through the relay; %d of 490 workers paused at once", l.sent, failed, most)
	assert.Assert(t, most <= 27, "%d workers are paused", most)
}
