package daemon

import (
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"lovagefork.example/coord/budget"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/entryd/hosts"
	"lovagefork.example/entryd/peers"
)

// Parameters of the latency samples: forward-decaying reservoirs that are biased towards the last five minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

const headerOutcome = "Lovagefork-Outcome"

// statusWriter records the status code of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status code of the final response; 1xx responses are passed on unrecorded.
func (w *statusWriter) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer, for [http.ResponseController].
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Measure returns a middleware that counts responses and records their latency in microseconds: for requests to
// services by outcome, for all others by path prefix and status class.
func Measure(r metrics.Registry) mux.MiddlewareFunc {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			start := time.Now()
			recorder := &statusWriter{ResponseWriter: w}
			defer func() {
				name := metricName(req, recorder)
				metrics.GetOrRegisterCounter(name+".total", r).Inc(1)
				sample := func() metrics.Histogram {
					return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
				}
				h := r.GetOrRegister(name+".latency_us", sample).(metrics.Histogram)
				h.Update(time.Since(start).Microseconds())
			}()
			next.ServeHTTP(recorder, req)
		})
	}
}

// metricName returns the metric name of a request. It omits customers, services and full paths, so that the number of
// metrics is bounded.
func metricName(req *http.Request, w *statusWriter) string {
	if strings.HasPrefix(req.URL.Path, "/v1/services/") {
		outcome := w.Header().Get(headerOutcome)
		if outcome == "" {
			outcome = "aborted"
		}
		return "front.requests." + outcome
	}
	kind := "other"
	for _, prefix := range []string{"jobs", "config"} {
		if strings.HasPrefix(req.URL.Path, "/v1/"+prefix) {
			kind = prefix
		}
	}
	class := "aborted"
	if w.status > 0 {
		class = string(rune('0'+w.status/100)) + "xx"
	}
	return "http." + kind + "." + class
}

// registerGauges adds gauges that read the state of the components on each scrape.
func registerGauges(r metrics.Registry, mesh *peers.Mesh, h *hosts.Watcher, c *budget.Client, health *Health) {
	gauge := func(name string, value func() int64) {
		_ = r.Register(name, metrics.NewFunctionalGauge(value))
	}
	gauge("peers.links_up", func() int64 { return int64(len(mesh.LinkedPeers())) })
	for _, state := range []fleet.HostState{fleet.HostLive, fleet.HostLeaving} {
		gauge("hosts.workers_"+string(state), func() int64 {
			count := int64(0)
			for _, w := range h.Workers() {
				if w.State == state {
					count++
				}
			}
			return count
		})
	}
	gauge("budget.writes_per_second", func() int64 { return int64(c.Share().Writes) })
	gauge("budget.reads_per_second", func() int64 { return int64(c.Share().Reads) })
	gauge("daemon.ready", func() int64 {
		if ready, _ := health.Ready(); ready {
			return 1
		}
		return 0
	})
}
