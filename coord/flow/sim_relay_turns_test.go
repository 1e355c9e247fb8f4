package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Schedulers in turn on slow links, some of which end within a second or before they have read the jobs, send starts through
// relays that die, are paused and answer late, beside restarted workers, drains and slow stores: no task may run twice (TWICE).
func TestInvariantsOfSchedulersInTurnWithRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 9).Draw(t, "workers"))
		c.linkBitsPerSecond = rapid.SampledFrom([]int64{100_000, 200_000, 400_000}).Draw(t, "link")
		c.relayFaultShare = rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "relay_faults")
		c.setRelays(rapid.IntRange(0, 9).Draw(t, "relays"))
		c.storeDelay = time.Duration(rapid.SampledFrom([]int{0, 100, 500}).Draw(t, "store_delay")) * time.Millisecond
		c.inputLag = time.Duration(rapid.SampledFrom([]int{0, 2000}).Draw(t, "input_lag")) * time.Millisecond
		c.listingDelay = time.Duration(rapid.SampledFrom([]int{0, 3000}).Draw(t, "listing_delay")) * time.Millisecond
		c.lostShare = rapid.SampledFrom([]float64{0, 0, 0.05, 0.2}).Draw(t, "lost_share")
		c.maxListedEnds = rapid.SampledFrom([]int{1, 4, 500}).Draw(t, "page")
		c.readTime = drawReadTime(t)
		c.elect(false)
		c.run(2*time.Second + c.readTime)
		for n := range rapid.IntRange(1, 3).Draw(t, "lasting_jobs") {
			c.submit(drawLastingJob(t, n))
		}
		for n := range rapid.IntRange(0, 20).Draw(t, "jobs") {
			j, failing := drawJob(t, n)
			c.after(time.Duration(rapid.IntRange(0, 15000).Draw(t, "at"))*time.Millisecond, func() { c.submit(j, failing...) })
			if rapid.IntRange(0, 4).Draw(t, "cancelled") == 0 {
				c.after(time.Duration(rapid.IntRange(15000, 20000).Draw(t, "cancel_at"))*time.Millisecond, func() { c.cancel(j.ID) })
			}
		}
		for range rapid.IntRange(0, 5).Draw(t, "faults") {
			f := drawFault(t, []faultKind{refusingCrash, silentCrash, replacement, cut}, len(c.workerIDs))
			c.after(f.at, func() {
				id := c.workerIDs[f.worker]
				switch f.kind {
				case replacement:
					c.replace(id)
				case cut:
					c.partition(id, f.span)
				default:
					c.crash(id, f.span, f.kind == silentCrash)
				}
			})
		}
		if rapid.Bool().Draw(t, "outage") {
			at := time.Duration(rapid.IntRange(1000, 15000).Draw(t, "outage_at")) * time.Millisecond
			span := time.Duration(rapid.IntRange(500, 9000).Draw(t, "outage_span")) * time.Millisecond
			c.after(at, func() { c.storeOutage(span) })
		}
		at := time.Duration(0)
		for range rapid.IntRange(1, 9).Draw(t, "elections") {
			at += time.Duration(rapid.SampledFrom([]int{30, 300, 900, 2500, 5000}).Draw(t, "election_after")) * time.Millisecond
			cutOff := rapid.IntRange(0, 3).Draw(t, "cut_off") > 0
			n := rapid.IntRange(0, 9).Draw(t, "relays")
			c.after(at, func() {
				if !c.storeDown {
					c.elect(cutOff)
					c.setRelays(n)
				}
			})
		}
		c.run(45 * time.Second)
		assert.Assert(t, len(c.violations) == 0, "%q", c.violations)
	})
}
