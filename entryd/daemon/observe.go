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

// Sizes of the latency sample: a forward-decaying reservoir that prefers the last five minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

const headerOutcome = "Lovagefork-Outcome"

// statusWriter records the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status of the final answer.
func (w *statusWriter) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets [http.ResponseController] reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Measure returns a middleware that counts answers and records their latency in microseconds, for requests by outcome and for the rest by status.
func Measure(r metrics.Registry) mux.MiddlewareFunc {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			started := time.Now()
			observed := &statusWriter{ResponseWriter: w}
			defer func() {
				name := metricName(req, observed)
				metrics.GetOrRegisterCounter(name+".total", r).Inc(1)
				sample := func() metrics.Histogram {
					return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
				}
				h := r.GetOrRegister(name+".latency_us", sample).(metrics.Histogram)
				h.Update(time.Since(started).Microseconds())
			}()
			next.ServeHTTP(observed, req)
		})
	}
}

// metricName has a bounded number of values: customers, services and paths are no part of it.
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

// registerGauges adds the state of the parts that is read when the metrics are.
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
