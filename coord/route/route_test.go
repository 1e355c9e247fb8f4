package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/route"
)

// Choose must not return a server that is leaving, unlisted, or without a free slot, and no server of another zone
// while the own zone has an eligible one.
func TestChooseRespectsEligibilityAndZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policies := []route.Policy{
			route.TwoChoices{}, route.Random{}, route.RoundRobin{}, route.FixedSplit{Part: 1, Parts: 3},
		}
		policy := rapid.SampledFrom(policies).Draw(t, "policy")
		m := route.New("a", rand.New(rand.NewPCG(1, 1)), route.WithPolicy(policy))
		now := time.Unix(0, 0)
		workers := make(map[fleet.WorkerID]fleet.Worker)
		var listed []fleet.Worker
		var candidates []route.Candidate
		for i := range rapid.IntRange(1, 8).Draw(t, "workers") {
			w := fleet.Worker{
				ID:    fleet.WorkerID(fmt.Sprint("w", i)),
				Zone:  rapid.SampledFrom([]fleet.AvailabilityZone{"a", "b"}).Draw(t, "zone"),
				State: rapid.SampledFrom([]fleet.HostState{fleet.HostLive, fleet.HostLeaving}).Draw(t, "state"),
			}
			workers[w.ID] = w
			if rapid.Bool().Draw(t, "known") {
				listed = append(listed, w)
			}
			candidates = append(candidates, route.Candidate{Worker: w.ID, FreeSlots: rapid.IntRange(0, 2).Draw(t, "free")})
		}
		m.Step(now, route.Observed{Workers: listed})
		ownZoneEligible := false
		for _, c := range candidates {
			ownZoneEligible = ownZoneEligible || (c.FreeSlots > 0 && workers[c.Worker].Zone == "a" && m.Eligible(now, c.Worker))
		}
		choice, ok := m.Choose(now, candidates)
		if !ok {
			for _, c := range candidates {
				assert.Assert(t, c.FreeSlots == 0 || !m.Eligible(now, c.Worker))
			}
			return
		}
		w := workers[choice.Worker]
		assert.Assert(t, w.State == fleet.HostLive && m.Eligible(now, w.ID))
		assert.Assert(t, !ownZoneEligible || w.Zone == "a", "chose %s in zone %s", w.ID, w.Zone)
	})
}

// A failing or slow server must be ejected, get only single test requests, and be restored once it responds in time.
func TestOutlierIsEjectedAndRestored(t *testing.T) {
	for _, slow := range []bool{false, true} {
		random := rand.New(rand.NewPCG(1, 1))
		m := route.New("a", random)
		now := time.Unix(0, 0)
		var workers []fleet.Worker
		var candidates []route.Candidate
		for i := range 5 {
			id := fleet.WorkerID(fmt.Sprint("w", i))
			workers = append(workers, fleet.Worker{ID: id, Zone: "a", State: fleet.HostLive})
			candidates = append(candidates, route.Candidate{Worker: id, FreeSlots: 8})
		}
		m.Step(now, route.Observed{Workers: workers})
		faulty := true
		sendRequests := func(n int) (toFaulty int) {
			for range n {
				now = now.Add(10 * time.Millisecond)
				choice, ok := m.Choose(now, candidates)
				assert.Assert(t, ok)
				ended := route.Ended{Worker: choice.Worker, Latency: time.Duration(5+random.IntN(10)) * time.Millisecond}
				if choice.Worker == "w0" {
					toFaulty++
					ended.Failed = faulty && !slow
					if faulty && slow {
						ended.Latency = 5 * time.Second
					}
				}
				m.Step(now, route.Started{Worker: choice.Worker})
				m.Step(now, ended)
			}
			return toFaulty
		}
		sendRequests(100)
		assert.Assert(t, sendRequests(1000) < 10, "faulty server still gets requests")
		faulty = false
		now = now.Add(time.Minute)
		assert.Assert(t, sendRequests(4000) > 200, "recovered server stays ejected")
	}
}
