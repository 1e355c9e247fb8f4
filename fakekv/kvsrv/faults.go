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

// Settings are the faults of the store; the control page changes only the fields that a request names.
type Settings struct {
	// Outage is "" for none, "refuse" for 503 answers without effect, "break" for broken connections without effect, or
	// "hang" for calls that wait until their caller gives up.
	Outage string `json:"outage"`
	// SlowMS delays every call by up to twice this many milliseconds.
	SlowMS int `json:"slow_ms"`
	// LosePermille is the share of writes whose answer is lost after they took effect.
	LoseResponsePermille int `json:"lose_permille"`
	// WritesPerSecond and ReadsPerSecond limit the calls; zero means no limit. An excess call is refused with 429.
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
	// StaleMS makes reads outside transactions return the content of up to this many milliseconds ago.
	StaleMS int `json:"stale_ms"`
}

// Counters count the calls by kind, and the calls that a fault or limit affected.
type Counters struct {
	Calls       map[string]int64 `json:"calls"`
	Writes      int64            `json:"writes"`
	Reads       int64            `json:"reads"`
	Refused     int64            `json:"refused"`
	RateLimited int64            `json:"rate_limited"`
	LostResponses int64            `json:"lost_answers"`
	// MaxWrites and MaxReads are the largest numbers of calls within one second of the clock.
	MaxWrites int64 `json:"max_writes_per_second"`
	MaxReads  int64 `json:"max_reads_per_second"`
}

type faults struct {
	mu       sync.Mutex
	set      Settings
	count    Counters
	writes   *rate.Limiter
	reads    *rate.Limiter
	broken   chan struct{}
	second   int64
	inSecond [2]int64
	cache    map[string]staleAnswer
}

type staleAnswer struct {
	at   time.Time
	resp *rangeResponse
}

func newFaults() *faults {
	return &faults{
		count:  Counters{Calls: make(map[string]int64)},
		writes: rate.NewLimiter(rate.Inf, 1),
		reads:  rate.NewLimiter(rate.Inf, 1),
		broken: make(chan struct{}),
	}
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// before counts a call and reports whether it may go on; otherwise it has been answered.
func (f *faults) before(w http.ResponseWriter, r *http.Request, c call) bool {
	set, allowed := f.admit(c)
	if set.SlowMS > 0 {
		delay := time.Duration(rand.Int64N(2*int64(set.SlowMS)+1)) * time.Millisecond
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return false
		}
	}
	switch {
	case set.Outage == "refuse":
		writeError(w, &apiError{http.StatusServiceUnavailable, 14, "etcdserver: no leader"})
		return false
	case set.Outage == "break":
		breakConnection(w)
	case set.Outage == "hang":
		<-r.Context().Done()
		return false
	case !allowed:
		writeError(w, &apiError{http.StatusTooManyRequests, 8, "etcdserver: too many requests"})
		return false
	}
	return true
}

func (f *faults) admit(c call) (Settings, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count.Calls[c.kind]++
	if now := time.Now().Unix(); now != f.second {
		f.second, f.inSecond = now, [2]int64{}
	}
	l := f.reads
	if c.writes {
		l = f.writes
		f.count.Writes++
		f.inSecond[0]++
		f.count.MaxWrites = max(f.count.MaxWrites, f.inSecond[0])
	} else {
		f.count.Reads++
		f.inSecond[1]++
		f.count.MaxReads = max(f.count.MaxReads, f.inSecond[1])
	}
	if f.set.Outage != "" {
		f.count.Refused++
		return f.set, false
	}
	allowed := l.Allow()
	if !allowed {
		f.count.RateLimited++
	}
	return f.set, allowed
}

func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := rand.IntN(1000) < f.set.LoseResponsePermille
	if lost {
		f.count.LostResponses++
	}
	return lost
}

func (f *faults) watchBroken() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.broken
}

// stale answers a read as a lagging replica would: with the answer that the same read had up to StaleMS ago.
func (f *faults) stale(req rangeRequest, now time.Time, read func() *rangeResponse) *rangeResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.set.StaleMS <= 0 {
		f.cache = nil
		return read()
	}
	id := fmt.Sprintf("%q %q %d", req.Key, req.RangeEnd, req.Limit)
	if old, ok := f.cache[id]; ok && now.Sub(old.at) < time.Duration(f.set.StaleMS)*time.Millisecond {
		return old.resp
	}
	if f.cache == nil {
		f.cache = make(map[string]staleAnswer)
	}
	resp := read()
	f.cache[id] = staleAnswer{at: now, resp: resp}
	return resp
}

// Control serves the control page: GET returns settings and counters, POST changes settings.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) { s.faults.report(w) })
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		if err := s.faults.change(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.faults.report(w)
	})
	return mux
}

func (f *faults) report(w http.ResponseWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := f.count
	count.Calls = maps.Clone(count.Calls)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Settings Settings `json:"settings"`
		Counters Counters `json:"counters"`
	}{f.set, count})
}

func (f *faults) change(r *http.Request) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	set := f.set
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&set); err != nil {
		return err
	}
	if set.WritesPerSecond != f.set.WritesPerSecond {
		f.writes = limiter(set.WritesPerSecond)
	}
	if set.ReadsPerSecond != f.set.ReadsPerSecond {
		f.reads = limiter(set.ReadsPerSecond)
	}
	if set.Outage != "" && f.set.Outage == "" {
		close(f.broken)
		f.broken = make(chan struct{})
	}
	f.set = set
	return nil
}
