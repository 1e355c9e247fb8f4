package leader

import (
	"github.com/rcrowley/go-metrics"

	"lovagefork.example/coord/flow"
)

// linkGauges show how starts use the host's link, as of the last report of the load.
type linkGauges struct {
	bytes, window, heldBack, relays, resting metrics.Gauge
	starts, relayed, relayFailures           metrics.Counter
}

func newLinkGauges(r metrics.Registry) linkGauges {
	return linkGauges{
		bytes:         metrics.GetOrRegisterGauge("scheduler.link_start_bytes", r),
		window:        metrics.GetOrRegisterGauge("scheduler.link_window_bytes", r),
		heldBack:      metrics.GetOrRegisterGauge("scheduler.link_held_back_tasks", r),
		relays:        metrics.GetOrRegisterGauge("scheduler.relays", r),
		resting:       metrics.GetOrRegisterGauge("scheduler.resting_relays", r),
		starts:        metrics.GetOrRegisterCounter("scheduler.starts_direct.total", r),
		relayed:       metrics.GetOrRegisterCounter("scheduler.starts_relayed.total", r),
		relayFailures: metrics.GetOrRegisterCounter("scheduler.relay_failures.total", r),
	}
}

// update sets the gauges, and adds what was started since the use last.
func (g linkGauges) update(use, last flow.LinkUse) {
	g.bytes.Update(use.OnWay)
	g.window.Update(use.Window)
	g.heldBack.Update(int64(use.HeldBack))
	g.relays.Update(int64(use.Relays))
	g.resting.Update(int64(use.Resting))
	g.starts.Inc(use.Starts - use.Relayed - last.Starts + last.Relayed)
	g.relayed.Inc(use.Relayed - last.Relayed)
	g.relayFailures.Inc(use.RelayFailures - last.RelayFailures)
}
