package flow_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
)

const (
	// relayBudget is how long after its dispatch a relay may send a start, and relayTimeout how long a scheduler waits for it.
	relayBudget  = 800 * time.Millisecond
	relayTimeout = time.Second
)

// relay sends a start through a relay that may fail: it answers that it has not sent the start, is dead or paused, sends the
// start and is not heard, or is paused between its last check and the sending.
func (sim *simulation) relay(sched *simScheduler, e flow.Start) {
	fail := func(notSent bool) func() {
		return func() {
			sim.step(sched, flow.StartAnswered{
				Worker: e.To.Worker, Via: e.Via, Order: e.Order, Err: &flow.RelayError{Relay: e.Via, NotSent: notSent},
			})
		}
	}
	if sim.rng.Float64() >= sim.relayFaultShare {
		sim.after(sim.delay(), func() { sim.sendStart(sched, e) })
		return
	}
	f := sim.workers[e.To.Worker]
	startedAt, sentAt := f.startedAt, sim.now
	unheard := func() {
		switch {
		case !f.up:
		case sim.callsReachNextLife:
			sim.carryOutLate(f, formerCall{life: startedAt, sentAt: sentAt}, func(sched *simScheduler, f *fakeWorker) { f.start(sched, e) })
		case f.startedAt == startedAt:
			f.start(&simScheduler{}, e)
		}
	}
	switch sim.rng.IntN(4) {
	case 0:
		sim.after(sim.delay(), fail(true))
		return
	case 1:
	case 2:
		sim.after(time.Duration(sim.rng.Int64N(int64(relayBudget))), unheard)
	case 3:
		sim.after(relayBudget+time.Duration(sim.rng.Int64N(int64(11*time.Second))), unheard)
	}
	sim.after(relayTimeout, fail(false))
}

// setRelays changes the relays of the present scheduler and of those after it.
func (sim *simulation) setRelays(n int) {
	sim.relays = nil
	for i := range n {
		sim.relays = append(sim.relays, flow.Relay{EntryHost: fleet.EntryHostID(fmt.Sprintf("e%d", i)), LinkBitsPerSecond: sim.linkBitsPerSecond})
	}
	if sim.leader != nil {
		sim.step(sim.leader, flow.Relays{Relays: sim.relays})
	}
}

// The same holds on links that carry few starts, beside relays that die, are paused, lose answers, and come and go, while
// schedulers follow one another (TWICE, BUDGET): a start that a relay sends late must be as harmless as one that the network
// delivers late.
func TestInvariantsWithRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "workers"))
		sim.linkBitsPerSecond = rapid.SampledFrom([]int64{100_000, 200_000, 400_000}).Draw(t, "link")
		sim.relayFaultShare = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "relay_faults")
		sim.setRelays(rapid.IntRange(1, 4).Draw(t, "relays"))
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			n := rapid.IntRange(0, 9).Draw(t, "relays")
			sim.after(time.Duration(rapid.IntRange(0, 12000).Draw(t, "change_at"))*time.Millisecond, func() { sim.setRelays(n) })
		}
		sim.checkInvariants(t)
		assert.Equal(t, sim.leader.m.LinkUse().OnWay, int64(0))
	})
}
