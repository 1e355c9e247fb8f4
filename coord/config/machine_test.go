package config_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
)

// Guards against a peer that counts as reachable forever because one of its messages arrived after its link was lost.
// Requests for newer documents would then go to it in place of peers that can respond.
func TestLateMessageDoesNotKeepPeerReachable(t *testing.T) {
	m := config.New()
	now := time.Now()
	m.Step(now, config.PeerUp{Peer: "linked"})
	m.Step(now, config.PeerUp{Peer: "lost"})
	m.Step(now, config.PeerDown{Peer: "lost"})
	m.Step(now, config.StateReceived{From: "lost", State: config.State{Checksum: 1}})
	requests := make(map[fleet.EntryHostID]int)
	for i := range 40 {
		now = now.Add(config.TickInterval)
		effects := m.Step(now, config.Tick{})
		if i%4 == 0 {
			effects = append(effects, m.Step(now, config.StateReceived{From: "linked", State: config.State{Checksum: 2}})...)
		}
		for _, e := range effects {
			if s, ok := e.(config.SendState); ok && s.State.RequestNewer && i >= 12 {
				requests[s.To]++
			}
		}
	}
	assert.DeepEqual(t, requests, map[fleet.EntryHostID]int{"linked": 14})
}
