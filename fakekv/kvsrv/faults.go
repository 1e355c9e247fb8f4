package kvsrv

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Settings configures the injected faults. A POST to the control page changes only the fields present in its body.
type Settings struct {
	// Outage is "" for none, "refuse" to reject calls with status 503, "break" to close connections without a response,
	// or "hang" to block calls until the client disconnects. The calls have no effect during an outage.
	Outage string `json:"outage"`
	// SlowMS is the mean delay of a call in milliseconds; delays are uniform from 0 to twice this value.
	SlowMS int `json:"slow_ms"`
	// LoseResponsePermille is the share of writes, in thousandths, whose response is lost after they took effect.
	LoseResponsePermille int `json:"lose_permille"`
	// WritesPerSecond and ReadsPerSecond are rate limits; zero means no limit. Excess calls get status 429.
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
	// StaleMS is the maximum age in milliseconds of the data that reads outside transactions return.
	StaleMS int `json:"stale_ms"`
}

// Counters holds the number of calls by kind and of calls affected by a fault or limit.
type Counters struct {
	Calls         map[string]int64 `json:"calls"`
	Writes        int64            `json:"writes"`
	Reads         int64            `json:"reads"`
	Refused       int64            `json:"refused"`
	RateLimited   int64            `json:"rate_limited"`
	LostResponses int64            `json:"lost_answers"`
	// MaxWrites and MaxReads are the largest numbers of calls in one second of Unix time.
	MaxWrites int64 `json:"max_writes_per_second"`
	MaxReads  int64 `json:"max_reads_per_second"`
}

type faults struct {
	mu       sync.Mutex
	settings Settings
	counters Counters
	writes   *rate.Limiter
	reads    *rate.Limiter
	// outageStarted is closed and replaced when an outage begins.
	outageStarted chan struct{}
	currentSecond int64
	// callsInSecond counts the writes and the reads in currentSecond.
	callsInSecond [2]int64
	staleCache    map[string]staleEntry
}

type staleEntry struct {
	readAt time.Time
	resp   *rangeResponse
}

func newFaults() *faults {
	return &faults{
		counters:      Counters{Calls: make(map[string]int64)},
		writes:        rate.NewLimiter(rate.Inf, 1),
		reads:         rate.NewLimiter(rate.Inf, 1),
		outageStarted: make(chan struct{}),
	}
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// inject counts a call and applies the configured faults. It reports whether the call may proceed; otherwise it has
// been rejected or its client has disconnected.
func (f *faults) inject(w http.ResponseWriter, r *http.Request, c call) bool {
	settings, allowed := f.admit(c)
	if settings.SlowMS > 0 {
		delay := time.Duration(rand.Int64N(2*int64(settings.SlowMS)+1)) * time.Millisecond
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return false
		}
	}
	switch {
	case settings.Outage == "refuse":
		writeError(w, &apiError{http.StatusServiceUnavailable, 14, "etcdserver: no leader"})
		return false
	case settings.Outage == "break":
		breakConnection(w)
	case settings.Outage == "hang":
		<-r.Context().Done()
		return false
	case !allowed:
		writeError(w, &apiError{http.StatusTooManyRequests, 8, "etcdserver: too many requests"})
		return false
	}
	return true
}

// admit counts a call and returns the current settings and whether outage and rate limits allow it.
func (f *faults) admit(c call) (Settings, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counters.Calls[c.kind]++
	if now := time.Now().Unix(); now != f.currentSecond {
		f.currentSecond, f.callsInSecond = now, [2]int64{}
	}
	limit := f.reads
	if c.isWrite {
		limit = f.writes
		f.counters.Writes++
		f.callsInSecond[0]++
		f.counters.MaxWrites = max(f.counters.MaxWrites, f.callsInSecond[0])
	} else {
		f.counters.Reads++
		f.callsInSecond[1]++
		f.counters.MaxReads = max(f.counters.MaxReads, f.callsInSecond[1])
	}
	if f.settings.Outage != "" {
		f.counters.Refused++
		return f.settings, false
	}
	allowed := limit.Allow()
	if !allowed {
		f.counters.RateLimited++
	}
	return f.settings, allowed
}

// loseResponse decides at random whether the response to a write is lost.
func (f *faults) loseResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := rand.IntN(1000) < f.settings.LoseResponsePermille
	if lost {
		f.counters.LostResponses++
	}
	return lost
}

// outageSignal returns a channel that is closed when the next outage begins.
func (f *faults) outageSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outageStarted
}

// staleRange emulates a read from a lagging replica: it returns the response that the same request got up to StaleMS
// milliseconds ago.
func (f *faults) staleRange(req rangeRequest, now time.Time, read func() *rangeResponse) *rangeResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settings.StaleMS <= 0 {
		f.staleCache = nil
		return read()
	}
	cacheKey := fmt.Sprintf("%q %q %d", req.Key, req.RangeEnd, req.Limit)
	if old, ok := f.staleCache[cacheKey]; ok && now.Sub(old.readAt) < time.Duration(f.settings.StaleMS)*time.Millisecond {
		return old.resp
	}
	if f.staleCache == nil {
		f.staleCache = make(map[string]staleEntry)
	}
	resp := read()
	f.staleCache[cacheKey] = staleEntry{readAt: now, resp: resp}
	return resp
}

// Control returns the handler of the control page: GET returns settings and counters, POST changes settings.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) { s.faults.writeReport(w) })
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		if err := s.faults.updateSettings(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.faults.writeReport(w)
	})
	return mux
}

func (f *faults) writeReport(w http.ResponseWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := f.counters
	count.Calls = maps.Clone(count.Calls)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Settings Settings `json:"settings"`
		Counters Counters `json:"counters"`
	}{f.settings, count})
}

func (f *faults) updateSettings(r *http.Request) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	set := f.settings
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&set); err != nil {
		return err
	}
	if set.WritesPerSecond != f.settings.WritesPerSecond {
		f.writes = newLimiter(set.WritesPerSecond)
	}
	if set.ReadsPerSecond != f.settings.ReadsPerSecond {
		f.reads = newLimiter(set.ReadsPerSecond)
	}
	if set.Outage != "" && f.settings.Outage == "" {
		close(f.outageStarted)
		f.outageStarted = make(chan struct{})
	}
	f.settings = set
	return nil
}
