package stats_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/entryd/stats"
)

// Guards against a full link whose cause neither the metrics nor the logs show.
func TestTrafficByCall(t *testing.T) {
	traffic, registry := stats.NewTraffic(), metrics.NewRegistry()
	traffic.Add("renew", 60, 200)
	traffic.Register(registry)
	traffic.Add("start", 2600, 20)
	before := traffic.Totals()
	traffic.Add("start", 2400, 20)
	assert.Equal(t, traffic.Totals()["start"].Sub(before["start"]), stats.Transfer{Calls: 1, Sent: 2400, Received: 20})
	var out bytes.Buffer
	stats.Write(&out, registry)
	for _, line := range []string{
		"traffic_start_calls_total 2", "traffic_start_sent_bytes_total 5000", "traffic_start_received_bytes_total 40", "traffic_renew_sent_bytes_total 60",
	} {
		assert.Assert(t, strings.Contains(out.String(), stats.Prefix+line+"\n"), out.String())
	}
}
