package daemon_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/entryd/daemon"
	"lovagefork.example/entryd/stats"
)

// Guards against metric names that contain the path or the customer: the registry would then grow without bound.
func TestMeasureNamesAreBounded(t *testing.T) {
	registry := metrics.NewRegistry()
	router := mux.NewRouter()
	router.Use(daemon.Measure(registry))
	router.PathPrefix("/v1/services/").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Lovagefork-Outcome", "ran")
	})
	router.PathPrefix("/").HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
	})
	for _, path := range []string{"/v1/services/a/s/requests/1", "/v1/services/b/s/requests/2", "/v1/jobs/1", "/v1/jobs/2"} {
		router.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil))
	}
	var out strings.Builder
	stats.Write(&out, registry)
	assert.Assert(t, strings.Contains(out.String(), "lovagefork_front_requests_ran_total 2\n"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "lovagefork_http_jobs_4xx_total 2\n"), out.String())
	assert.Equal(t, strings.Count(out.String(), "# TYPE"), 4)
}
