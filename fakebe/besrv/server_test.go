package besrv_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"lovagefork.example/fakebe/besrv"
)

func startServer(t *testing.T) (url string, control func(body string) besrv.Report) {
	pool := besrv.New([]string{"a-w0"}, 1)
	hs := httptest.NewUnstartedServer(nil)
	hs.Config = pool.Server("a-w0")
	hs.Start()
	t.Cleanup(hs.Close)
	return hs.URL, func(body string) besrv.Report {
		rec := httptest.NewRecorder()
		pool.Control().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/control", strings.NewReader(body)))
		assert.Equal(t, rec.Code, http.StatusOK, rec.Body.String())
		var report besrv.Report
		assert.NilError(t, json.Unmarshal(rec.Body.Bytes(), &report))
		return report
	}
}

func request(t *testing.T, url, key string) ([]byte, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/x?y=1", strings.NewReader("body"))
	assert.NilError(t, err)
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.ReadAll(resp.Body)
}

// Tests of entry hosts use these counts to detect a request that runs twice and a server that gets more concurrent
// requests than it has slots; a missed count would hide both.
func TestRunsAndSlotsAreCounted(t *testing.T) {
	url, control := startServer(t)
	control(`{"servers":{"*":{"latency_ms":100}}}`)
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			data, err := request(t, url, []string{"k", "k", "l"}[i])
			assert.Check(t, err)
			assert.Check(t, bytes.Contains(data, []byte(`"path":"/x?y=1"`)))
		})
	}
	wg.Wait()
	report := control(`{}`)
	assert.Equal(t, report.Keys, 2)
	assert.Equal(t, report.Repeated, int64(1))
	assert.Equal(t, report.MaxRuns, int64(2))
	assert.Equal(t, report.Counters["a-w0"].Requests, int64(3))
	assert.Assert(t, report.Counters["a-w0"].MaxSlots <= 3)
	assert.Equal(t, report.Counters["a-w0"].Slots, 0)
}

// A truncated response must fail at the client, and requests that are refused or reach a server that is down must not
// count as run; otherwise tests of these faults would check nothing.
func TestFaults(t *testing.T) {
	url, control := startServer(t)
	control(`{"servers":{"a-w0":{"cut_permille":1000}}}`)
	data, err := request(t, url, "k")
	assert.Assert(t, err != nil)
	assert.Assert(t, len(data) > 0)
	control(`{"servers":{"a-w0":{"refuse_permille":1000}}}`)
	_, err = request(t, url, "refused")
	assert.NilError(t, err)
	report := control(`{"servers":{"a-w0":{"down":true}}}`)
	assert.Equal(t, report.Keys, 1)
	_, err = request(t, url, "down")
	assert.Assert(t, err != nil)
	assert.Equal(t, control(`{}`).Keys, 1)
}
