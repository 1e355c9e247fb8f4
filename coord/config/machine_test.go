package config_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
)

// A message that arrives after its link broke must not make the peer count as reachable for good: the requests to it
// would take the place of those to peers that can answer.
func TestLateMessageRevivesNoPeer(t *testing.T) {
	m := config.New()
	now := time.Now()
	m.Step(now, config.PeerUp{Peer: "near"})
	m.Step(now, config.PeerUp{Peer: "gone"})
	m.Step(now, config.PeerDown{Peer: "gone"})
	m.Step(now, config.StateReceived{From: "gone", State: config.State{Checksum: 1}})
	asked := make(map[fleet.EntryHostID]int)
	for i := range 40 {
		now = now.Add(config.TickInterval)
		effects := m.Step(now, config.Tick{})
		if i%4 == 0 {
			effects = append(effects, m.Step(now, config.StateReceived{From: "near", State: config.State{Checksum: 2}})...)
		}
		for _, e := range effects {
			if s, ok := e.(config.SendState); ok && s.State.RequestNewer && i >= 12 {
				asked[s.To]++
			}
		}
	}
	assert.DeepEqual(t, asked, map[fleet.EntryHostID]int{"near": 14})
}
