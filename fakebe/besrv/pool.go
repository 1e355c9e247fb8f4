package besrv

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
)

// maxKeys is the maximum number of idempotency keys whose runs are counted.
const maxKeys = 5_000_000

// Pool is a set of backend servers, one for each worker.
type Pool struct {
	servers map[string]*server
	names   []string

	mu           sync.Mutex
	rng          *rand.Rand
	runs         map[string]int64
	maxRuns      int64
	repeatedKeys int64
}

// New returns a pool with one server for each worker name. The seed determines the random faults.
func New(workers []string, seed uint64) *Pool {
	p := &Pool{
		servers: make(map[string]*server),
		names:   workers,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		runs:    make(map[string]int64),
	}
	for _, name := range workers {
		p.servers[name] = &server{name: name, pool: p, conns: make(map[net.Conn]struct{})}
	}
	return p
}

// Server returns the HTTP server of a worker, or nil if there is no such worker. The server counts its connections.
func (p *Pool) Server(worker string) *http.Server {
	s := p.servers[worker]
	if s == nil {
		return nil
	}
	return &http.Server{Handler: s, ConnState: s.connState}
}

// chance returns true with a probability given in thousandths.
func (p *Pool) chance(permille int) bool {
	if permille <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.IntN(1000) < permille
}

// countRun counts a run of the request with an idempotency key and returns the number of its runs. It returns 0 without
// counting if the key is empty, or new when maxKeys keys are already counted.
func (p *Pool) countRun(key string) int64 {
	if key == "" {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, seen := p.runs[key]; !seen && len(p.runs) >= maxKeys {
		return 0
	}
	p.runs[key]++
	p.maxRuns = max(p.maxRuns, p.runs[key])
	if p.runs[key] == 2 {
		p.repeatedKeys++
	}
	return p.runs[key]
}

// Report is the body of the control page.
type Report struct {
	Faults   map[string]Fault    `json:"faults"`
	Counters map[string]Counters `json:"counters"`
	// Keys is the number of distinct idempotency keys, Repeated the number of those that ran more than once, and
	// MaxRuns the largest number of runs of one key.
	Keys     int   `json:"keys"`
	Repeated int64 `json:"repeated"`
	MaxRuns  int64 `json:"max_runs"`
}

func (p *Pool) runCounts(keys []string) []int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make([]int64, len(keys))
	for i, key := range keys {
		runs[i] = p.runs[key]
	}
	return runs
}

// Control returns the handler of the control page:
//   - GET /control returns a Report.
//   - POST /control/runs with {"keys": […]} returns the number of runs of each key.
//   - POST /control with {"servers": {"<worker>": {…}}} replaces the fault of each listed server and returns a Report.
//     The name "*" stands for all servers; a fault under the name of a server takes precedence.
func (p *Pool) Control() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.report()) })
	m.HandleFunc("POST /control/runs", func(w http.ResponseWriter, r *http.Request) {
		var req struct {
			Keys []string `json:"keys"`
		}
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, map[string][]int64{"runs": p.runCounts(req.Keys)})
	})
	m.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		if err := p.updateFaults(r); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, p.report())
	})
	return m
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (p *Pool) report() Report {
	r := Report{Faults: make(map[string]Fault), Counters: make(map[string]Counters)}
	for name, s := range p.servers {
		r.Faults[name], r.Counters[name] = s.report()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Keys, r.Repeated, r.MaxRuns = len(p.runs), p.repeatedKeys, p.maxRuns
	return r
}

func (p *Pool) updateFaults(r *http.Request) error {
	var req struct {
		Servers map[string]Fault `json:"servers"`
	}
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		return err
	}
	for name := range req.Servers {
		if name != "*" && p.servers[name] == nil {
			return fmt.Errorf("no server %q", name)
		}
	}
	if all, ok := req.Servers["*"]; ok {
		for _, s := range p.servers {
			s.setFault(all)
		}
	}
	for name, f := range req.Servers {
		if name != "*" {
			p.servers[name].setFault(f)
		}
	}
	return nil
}
