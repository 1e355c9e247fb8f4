package stats

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"runtime"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Prefix is the prefix of all metric names.
const Prefix = "lovagefork_"

const contentType = "text/plain; version=0.0.4; charset=utf-8"

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Handler returns a handler that responds with the metrics of the registry and of the Go runtime.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var text bytes.Buffer
		Write(&text, r)
		writeRuntime(&text)
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(text.Bytes())
	})
}

// Write writes all metrics of the registry, sorted by name. Values keep the unit in which they were recorded.
func Write(w io.Writer, r metrics.Registry) {
	all := make(map[string]any)
	r.Each(func(name string, metric any) { all[name] = metric })
	for _, name := range slices.Sorted(maps.Keys(all)) {
		writeMetric(w, metricName(name), all[name])
	}
}

// metricName adds [Prefix] and replaces the characters that the text format does not allow, such as dots, by
// underscores.
func metricName(name string) string {
	return Prefix + strings.Map(func(c rune) rune {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '_':
			return c
		default:
			return '_'
		}
	}, name)
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeSample(w, name, "counter", float64(m.Count()))
	case metrics.Gauge:
		writeSample(w, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		writeSample(w, name, "gauge", m.Value())
	case metrics.Meter:
		writeSample(w, name, "counter", float64(m.Snapshot().Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), s.Sum(), s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), s.Sum(), s.Count())
	}
}

func writeSample(w io.Writer, name, kind string, value float64) {
	fmt.Fprintf(w, "# TYPE %s %s\n%s %g\n", name, kind, name, value)
}

func writeSummary(w io.Writer, name string, values []float64, sum, count int64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, sum, name, count)
}

func writeRuntime(w io.Writer) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	writeSample(w, Prefix+"process_heap_bytes", "gauge", float64(memory.HeapAlloc))
	writeSample(w, Prefix+"process_sys_bytes", "gauge", float64(memory.Sys))
	writeSample(w, Prefix+"process_goroutines", "gauge", float64(runtime.NumGoroutine()))
}
