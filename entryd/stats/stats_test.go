package stats_test

import (
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/entryd/stats"
)

// Guards against metric names or lines that the monitoring system cannot parse: alerts on these metrics would never
// fire.
func TestWrite(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("front.requests.urgent", r).Inc(3)
	metrics.GetOrRegisterGauge("jobs.waiting", r).Update(7)
	h := metrics.GetOrRegisterHistogram("route.wait-us", r, metrics.NewUniformSample(16))
	h.Update(10)
	var out strings.Builder
	stats.Write(&out, r)
	assert.Equal(t, out.String(), `# TYPE lovagefork_front_requests_urgent counter
lovagefork_front_requests_urgent 3
# TYPE lovagefork_jobs_waiting gauge
lovagefork_jobs_waiting 7
# TYPE lovagefork_route_wait_us summary
lovagefork_route_wait_us{quantile="0.5"} 10
lovagefork_route_wait_us{quantile="0.9"} 10
lovagefork_route_wait_us{quantile="0.99"} 10
lovagefork_route_wait_us{quantile="0.999"} 10
lovagefork_route_wait_us_sum 10
lovagefork_route_wait_us_count 1
`)
}
