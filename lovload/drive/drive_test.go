package drive_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/lovload/chart"
	"lovagefork.example/lovload/drive"
	"lovagefork.example/lovload/plan"
	"lovagefork.example/lovload/tally"
)

func parse(t *testing.T, format string, args ...any) plan.Plan {
	p, err := plan.Parse(fmt.Appendf(nil, format, args...))
	assert.NilError(t, err)
	return p
}

// Equal plans with the same seed must give the same arrivals, or a run cannot confirm a fix. The number of arrivals
// must match the rate, or the results of runs cannot be compared.
func TestArrivalsReproducible(t *testing.T) {
	text := `{"duration_ms":60000,"seed":%d,"entries":["http://127.0.0.1:1"],"streams":[
		{"name":"a","customer":"c","service":"s","rate":200},{"name":"b","customer":"c","service":"s","rate":100,"start_ms":30000}]}`
	first := parse(t, text, 7).Arrivals()
	assert.DeepEqual(t, first, parse(t, text, 7).Arrivals())
	count := [2]int{}
	for i, a := range first {
		assert.Assert(t, i == 0 || a.At >= first[i-1].At)
		count[a.Index]++
	}
	assert.Assert(t, count[0] > 11_500 && count[0] < 12_500 && count[1] > 2_750 && count[1] < 3_250, "%v", count)
}

// Plans for other hosts than loopback addresses, or with too long a duration or too many arrivals, must be rejected.
// They could overload machines that are not under test.
func TestPlanBounds(t *testing.T) {
	for _, text := range []string{
		`{"duration_ms":1000,"entries":["http://192.0.2.1:1"]}`,
		`{"duration_ms":1000,"entries":["http://localhost:1"]}`,
		`{"duration_ms":1000,"entries":["http://127.0.0.1:1"],"faults":[{"url":"http://192.0.2.1/"}]}`,
		`{"duration_ms":36000000,"entries":["http://127.0.0.1:1"]}`,
		`{"duration_ms":3600000,"entries":["http://127.0.0.1:1"],"streams":[{"customer":"c","service":"s","rate":100000}]}`,
	} {
		_, err := plan.Parse([]byte(text))
		var planErr *plan.Error
		assert.ErrorType(t, err, planErr)
	}
}

// A plan with relative ports must be rejected without a base port. A default port could inject faults into the
// processes of another developer.
func TestBasePortRequired(t *testing.T) {
	file := filepath.Join("..", "plans", "workers.json")
	_, err := plan.Load(file, 0)
	var planErr *plan.Error
	assert.ErrorType(t, err, planErr)
	p, err := plan.Load(file, 18000)
	assert.NilError(t, err)
	assert.Equal(t, p.Entries[1], "http://127.0.0.1:18011")
}

// Responses that claim not_run for a request that ran, that belong to another request, or whose connection breaks must
// be counted as what they are. Otherwise a request that failed for its caller would be reported as successful.
func TestOutcomeClassification(t *testing.T) {
	var mu sync.Mutex
	runs := make(map[string]int64)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"counters":{"a-w0":{"max_slots":9},"a-w1":{"max_slots":8,"max_connections":64}}}`))
	})
	mux.HandleFunc("POST /control/runs", func(w http.ResponseWriter, r *http.Request) {
		var req struct{ Keys []string }
		_ = json.NewDecoder(r.Body).Decode(&req)
		var out []int64
		mu.Lock()
		defer mu.Unlock()
		for _, k := range req.Keys {
			out = append(out, runs[k])
		}
		_ = json.NewEncoder(w).Encode(map[string][]int64{"runs": out})
	})
	mux.HandleFunc("/v1/services/c/{service}/requests/load", func(w http.ResponseWriter, r *http.Request) {
		key := r.Header.Get("Idempotency-Key")
		mu.Lock()
		runs[key]++
		mu.Unlock()
		switch r.PathValue("service") {
		case "false_not_run":
			w.Header().Set("Lovagefork-Outcome", "not_run")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "other_key":
			w.Header().Set("Lovagefork-Outcome", "ran")
			_, _ = w.Write([]byte(`{"idempotency_key":"other"}`))
		case "abort":
			panic(http.ErrAbortHandler)
		}
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	p := parse(t, `{"duration_ms":300,"seed":1,"settle_ms":20000,"interval_ms":100,"entries":["http://127.0.0.1:1",%q],
		"backend_control":"%s/control","streams":[
		{"name":"false_not_run","customer":"c","service":"false_not_run","rate":50},
		{"name":"other_key","customer":"c","service":"other_key","rate":50},
		{"name":"abort","customer":"c","service":"abort","rate":50,"non_idempotent":true}]}`, server.URL, server.URL)
	d := drive.New(p, "run", slog.New(slog.DiscardHandler))
	d.Run(t.Context())
	want := map[string]tally.Outcome{"false_not_run": tally.OutcomeNotRun, "other_key": tally.OutcomeWrongAnswer, "abort": tally.OutcomeConnectionLost}
	falseNotRun := 0
	for _, s := range d.Tally.Summaries() {
		assert.Equal(t, s.Outcomes[want[s.Stream]], s.Count, s.Stream)
		if s.Stream == "false_not_run" {
			falseNotRun = s.Count
		}
	}
	v, err := d.Verify(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, falseNotRun > 0)
	assert.Equal(t, v.Violations, falseNotRun+1, "%v", v.Examples)
	var csv bytes.Buffer
	points := d.Tally.Timeline(100 * time.Millisecond)
	assert.NilError(t, tally.WriteCSV(&csv, points))
	assert.Assert(t, strings.HasPrefix(csv.String(), "stream,at_ms,good,late,"))
	assert.NilError(t, chart.Write(filepath.Join(t.TempDir(), "x.svg"), "t", points, time.Second, []time.Duration{0}))
}

// Requests that arrive while a stalled server occupies the whole in-flight limit must be counted, although they are not
// sent. If they were left out, the stall would not show in the results.
func TestArrivalsDuringStallCounted(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		w.Header().Set("Lovagefork-Outcome", "not_run")
	}))
	defer server.Close()
	p := parse(t, `{"duration_ms":400,"seed":1,"in_flight":1,"entries":[%q],"streams":[{"name":"s","customer":"c","service":"s","rate":100}]}`, server.URL)
	d := drive.New(p, "run", slog.New(slog.DiscardHandler))
	time.AfterFunc(600*time.Millisecond, func() { close(release) })
	d.Run(t.Context())
	s := d.Tally.Summaries()[0]
	assert.Equal(t, s.Outcomes[tally.OutcomeNotRun], 1)
	assert.Equal(t, s.Outcomes[tally.OutcomeClientFull], s.Count-1)
	assert.Equal(t, s.Count, len(p.Arrivals()))
}
