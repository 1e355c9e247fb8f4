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

// A plan that another run does not repeat cannot confirm a fix; a rate that is off makes figures incomparable.
func TestArrivalsRepeatAndKeepTheRate(t *testing.T) {
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

// A tool that can be pointed at other machines, or without bounds, would load what it must not.
func TestPlansAreBounded(t *testing.T) {
	for _, text := range []string{
		`{"duration_ms":1000,"entries":["http://192.0.2.1:1"]}`,
		`{"duration_ms":1000,"entries":["http://localhost:1"]}`,
		`{"duration_ms":1000,"entries":["http://127.0.0.1:1"],"faults":[{"url":"http://192.0.2.1/"}]}`,
		`{"duration_ms":36000000,"entries":["http://127.0.0.1:1"]}`,
		`{"duration_ms":3600000,"entries":["http://127.0.0.1:1"],"streams":[{"customer":"c","service":"s","rate":100000}]}`,
	} {
		_, err := plan.Parse([]byte(text))
		var refused *plan.Error
		assert.ErrorType(t, err, refused)
	}
}

// A plan that falls back to some set's ports would put faults into a set that belongs to somebody else.
func TestPortsAreNeverAssumed(t *testing.T) {
	file := filepath.Join("..", "plans", "workers.json")
	_, err := plan.Load(file, 0)
	var refused *plan.Error
	assert.ErrorType(t, err, refused)
	p, err := plan.Load(file, 18000)
	assert.NilError(t, err)
	assert.Equal(t, p.Entries[1], "http://127.0.0.1:18011")
}

// An outcome that is counted wrongly, or a wait that the client leaves out, would report a harmed caller as served.
func TestOutcomesAsTheCallerSeesThem(t *testing.T) {
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
		case "lies":
			w.Header().Set("Lovagefork-Outcome", "not_run")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "swaps":
			w.Header().Set("Lovagefork-Outcome", "ran")
			_, _ = w.Write([]byte(`{"idempotency_key":"other"}`))
		case "breaks":
			panic(http.ErrAbortHandler)
		}
	})
	hs := httptest.NewServer(mux)
	defer hs.Close()
	p := parse(t, `{"duration_ms":300,"seed":1,"settle_ms":20000,"interval_ms":100,"entries":["http://127.0.0.1:1",%q],
		"backend_control":"%s/control","streams":[
		{"name":"lies","customer":"c","service":"lies","rate":50},{"name":"swaps","customer":"c","service":"swaps","rate":50},
		{"name":"breaks","customer":"c","service":"breaks","rate":50,"non_idempotent":true}]}`, hs.URL, hs.URL)
	d := drive.New(p, "run", slog.New(slog.DiscardHandler))
	d.Run(t.Context())
	want := map[string]tally.Outcome{"lies": tally.OutcomeNotRun, "swaps": tally.OutcomeWrongAnswer, "breaks": tally.OutcomeConnectionLost}
	lies := 0
	for _, s := range d.Tally.Summaries() {
		assert.Equal(t, s.Outcomes[want[s.Stream]], s.Count, s.Stream)
		if s.Stream == "lies" {
			lies = s.Count
		}
	}
	v, err := d.Verify(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, lies > 0)
	assert.Equal(t, v.Violations, lies+1, "%v", v.Examples)
	var csv bytes.Buffer
	points := d.Tally.Timeline(100 * time.Millisecond)
	assert.NilError(t, tally.WriteCSV(&csv, points))
	assert.Assert(t, strings.HasPrefix(csv.String(), "stream,at_ms,good,late,"))
	assert.NilError(t, chart.Write(filepath.Join(t.TempDir(), "x.svg"), "t", points, time.Second, []time.Duration{0}))
}

// A stalled server must show up in the latency of the requests that arrived during the stall.
func TestLatencyCountsFromTheIntendedTime(t *testing.T) {
	hold := make(chan struct{})
	hs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-hold
		w.Header().Set("Lovagefork-Outcome", "not_run")
	}))
	defer hs.Close()
	p := parse(t, `{"duration_ms":400,"seed":1,"in_flight":1,"entries":[%q],"streams":[{"name":"s","customer":"c","service":"s","rate":100}]}`, hs.URL)
	d := drive.New(p, "run", slog.New(slog.DiscardHandler))
	time.AfterFunc(600*time.Millisecond, func() { close(hold) })
	d.Run(t.Context())
	s := d.Tally.Summaries()[0]
	assert.Equal(t, s.Outcomes[tally.OutcomeNotRun], 1)
	assert.Equal(t, s.Outcomes[tally.OutcomeClientFull], s.Count-1)
	assert.Equal(t, s.Count, len(p.Arrivals()))
}
