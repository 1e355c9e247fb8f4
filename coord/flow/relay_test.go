package flow_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

var errNoLink = errors.New("no link")

func smallRelays(ids ...fleet.EntryHostID) flow.Relays {
	var ev flow.Relays
	for _, id := range ids {
		ev.Relays = append(ev.Relays, flow.Relay{EntryHost: id, LinkBitsPerSecond: 10_000_000})
	}
	return ev
}

// lanes counts starts by their relay; that of the scheduler's own link is empty.
func lanes(starts []flow.Start) map[fleet.EntryHostID]int {
	n := make(map[fleet.EntryHostID]int)
	for _, s := range starts {
		n[s.Via]++
	}
	return n
}

// One link of 10 Mbit/s carries 350 starts a second, and a deployment asks for a thousand. The tasks of a job go through one
// relay as long as that has room, so that few relays need its spec.
func TestFullLinkUsesRelays(t *testing.T) {
	h := newLinkHarness(t, 10_000_000)
	h.step(smallRelays("e1", "e2", "e3"))
	h.step(flow.Submitted{Job: specJob("j", smallStep(30))})
	h.advance(25 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 30)
	n := lanes(starts)
	assert.Equal(t, n[""], 6, "most of the link is left for relayed starts")
	assert.Equal(t, len(n), 2, "one relay has room for the job: %v", n)
	h.step(flow.Submitted{Job: specJob("k", smallStep(90))})
	h.advance(25 * time.Millisecond)
	n = lanes(append(starts, h.starts()...))
	assert.Equal(t, n[""], 20, "the rest of the link is used while all relays are full")
	for _, id := range []fleet.EntryHostID{"e1", "e2", "e3"} {
		assert.Assert(t, n[id] <= 27, "%v", n)
	}
	assert.Assert(t, n["e1"]+n["e2"]+n["e3"] > 60, "%v", n)
}

// A relay costs a second call for each start, so that a link with room uses none.
func TestFastLinkUsesNoRelays(t *testing.T) {
	for _, bitsPerSecond := range []int64{200_000_000, 0} {
		h := newLinkHarness(t, bitsPerSecond)
		h.step(smallRelays("e1", "e2"))
		h.step(flow.Submitted{Job: specJob("j", smallStep(200))})
		h.advance(25 * time.Millisecond)
		assert.DeepEqual(t, lanes(h.starts()), map[fleet.EntryHostID]int{"": 128})
	}
}

// Starts that relays send count apart from those of the scheduler's host, and while they reach their limit, others must not take
// the link that they will need.
func TestRelayedStartsHaveALimitOfTheirOwn(t *testing.T) {
	h := newLinkHarness(t, 30_000_000)
	var ev flow.Relays
	for n := range 4 {
		ev.Relays = append(ev.Relays, flow.Relay{EntryHost: fleet.EntryHostID(fmt.Sprintf("e%d", n)), LinkBitsPerSecond: 200_000_000})
	}
	h.step(ev)
	h.step(flow.Submitted{Job: specJob("j", smallStep(600))})
	h.advance(50 * time.Millisecond)
	n := lanes(h.starts())
	assert.Equal(t, n[""], 20, "%v", n)
	assert.Equal(t, n["e0"]+n["e1"]+n["e2"]+n["e3"], 128, "%v", n)
}

// startThroughRelay returns a scheduler whose task was started through the only relay, and that start.
func startThroughRelay(t *testing.T) (*harness, flow.Start) {
	h := newLinkHarness(t, 1_000_000)
	h.step(smallRelays("e1"))
	h.step(flow.Submitted{Job: specJob("j", smallStep(2))})
	h.advance(25 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 2)
	assert.Equal(t, starts[0].Via, fleet.EntryHostID(""))
	assert.Equal(t, starts[1].Via, fleet.EntryHostID("e1"))
	h.answer(starts[:1])
	return h, starts[1]
}

func (h *harness) unusableReason(id fleet.WorkerID) string {
	for _, w := range h.m.Workers() {
		if w.Worker == id {
			return w.UnusableReason
		}
	}
	return "unknown"
}

// A start that a relay has not sent is sent again at once; the worker is not to blame.
func TestStartThatARelayHasNotSent(t *testing.T) {
	h, s := startThroughRelay(t)
	h.step(flow.StartAnswered{Worker: s.To.Worker, Via: s.Via, Order: s.Order, Err: &flow.RelayError{Relay: s.Via, NotSent: true, Cause: errNoLink}})
	assert.Equal(t, h.unusableReason(s.To.Worker), "")
	h.advance(25 * time.Millisecond)
	again := h.starts()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Order.Task, s.Order.Task)
	assert.Equal(t, again[0].To, s.To)
	assert.Assert(t, again[0].Order.Run > s.Order.Run)
	assert.Equal(t, again[0].Via, fleet.EntryHostID(""), "the relay is put aside")
	assert.Equal(t, h.m.LinkUse().Resting, 1)
}

// A start whose relay does not answer may have been carried out or may still be: its task must not start again before the
// worker has reported and accepted a stop (TWICE). That the relay is silent says nothing about the worker.
func TestRelayThatDoesNotAnswer(t *testing.T) {
	h, s := startThroughRelay(t)
	h.advance(200 * time.Millisecond)
	h.step(flow.StartAnswered{Worker: s.To.Worker, Via: s.Via, Order: s.Order, Err: &flow.RelayError{Relay: s.Via, Cause: errNoLink}})
	assert.Equal(t, h.unusableReason(s.To.Worker), "")
	h.advance(500 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	assert.Equal(t, h.m.LinkUse().Resting, 1)
	h.report(s.To.Worker, infra.Report{})
	h.advance(25 * time.Millisecond)
	stops := 0
	for _, e := range h.effects {
		if stop, ok := e.(flow.Stop); ok && stop.Order.Task == s.Order.Task {
			stops++
		}
	}
	assert.Equal(t, stops, 1)
	assert.Equal(t, len(h.starts()), 0)
	h.step(flow.StopAnswered{Worker: s.To.Worker, Order: infra.StopOrder{Task: s.Order.Task, Run: s.Order.Run, Token: s.Order.Token}, Clock: h.now.UnixMilli()})
	for range 3 {
		h.advance(25 * time.Millisecond)
		h.report(s.To.Worker, infra.Report{})
	}
	h.advance(25 * time.Millisecond)
	again := h.starts()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Order.Task, s.Order.Task)
}

// A relay that is cut off from the workers reports each of them as silent. It is put aside, so that it does not pause more of
// them.
func TestWorkerThatDoesNotAnswerItsRelay(t *testing.T) {
	h, s := startThroughRelay(t)
	h.advance(400 * time.Millisecond)
	h.step(flow.StartAnswered{Worker: s.To.Worker, Via: s.Via, Order: s.Order, Err: &infra.NoAnswerError{Worker: s.To.Worker, Cause: errNoLink}})
	assert.Assert(t, h.unusableReason(s.To.Worker) != "")
	assert.Equal(t, h.m.LinkUse().Resting, 1)
	h.advance(600 * time.Millisecond)
	assert.Equal(t, h.m.LinkUse().Resting, 0)
}

// A worker that refuses a start is as good as one that accepts it for the relay.
func TestRefusalThroughARelay(t *testing.T) {
	h, s := startThroughRelay(t)
	h.step(flow.StartAnswered{Worker: s.To.Worker, Via: s.Via, Order: s.Order, Err: &infra.RefusedError{Worker: s.To.Worker, Reason: infra.ReasonNoRoom}})
	assert.Equal(t, h.m.LinkUse().Resting, 0)
	h.advance(25 * time.Millisecond)
	again := h.starts()
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].To.Worker != s.To.Worker)
}

// A relay that leaves while starts are on their way through it must not leave anything counted.
func TestRelayThatLeaves(t *testing.T) {
	h, s := startThroughRelay(t)
	h.step(flow.Relays{})
	h.step(flow.StartAnswered{Worker: s.To.Worker, Via: s.Via, Order: s.Order, Clock: h.now.UnixMilli()})
	assert.DeepEqual(t, h.m.LinkUse(), flow.LinkUse{Window: 12_500, Starts: 2, Relayed: 1})
	h.step(flow.Submitted{Job: specJob("k", smallStep(2))})
	h.advance(25 * time.Millisecond)
	assert.DeepEqual(t, lanes(h.starts()), map[fleet.EntryHostID]int{"": 2})
}
