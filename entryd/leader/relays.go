package leader

import (
	"context"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// relayCheckInterval is the interval at which the relays are determined again.
const relayCheckInterval = 500 * time.Millisecond

// Relays sends starts through other entry processes.
type Relays interface {
	// Available returns the entry hosts that can send starts at present.
	Available(ctx context.Context) []flow.Relay
	// Start sends a start through a relay, like [infra.Agents]; its error can also be a [*flow.RelayError].
	Start(ctx context.Context, via fleet.EntryHostID, to infra.AgentAddress, o infra.StartOrder) (int64, error)
}

// watchRelays posts the relays whenever they change.
func (l *loop) watchRelays(ctx context.Context) {
	var last []flow.Relay
	for ctx.Err() == nil {
		if relays := l.relays.Available(ctx); !slices.Equal(relays, last) {
			l.log.Info("scheduler: relays changed", "relays", relays)
			l.post(flow.Relays{Relays: relays})
			last = relays
		}
		sleep(ctx, relayCheckInterval)
	}
}
