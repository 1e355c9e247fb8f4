package front_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkRequests measures requests over loopback; the caller, the front and the backend server share one process.
func BenchmarkRequests(b *testing.B) {
	_, server := startFront(b, serveBackend(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) }))
	time.Sleep(50 * time.Millisecond) // until the process's own share of slots is open
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			response, err := client.Get(server.URL + "/v1/services/globex/quotes/requests/x")
			assert.NilError(b, err)
			assert.Equal(b, response.Header.Get("Lovagefork-Outcome"), "ran")
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
