package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxHold, endsPerReport and stopTime follow PROTOCOL.md and the bounds of the settings.
	maxHold       = 6 * time.Second
	endsPerReport = 500
	stopTime      = 100 * time.Millisecond
	heartbeat     = 1100 * time.Millisecond

	ready    = "ready"
	draining = "draining"
)

// behaviour is what a task does. The client writes it into the spec of the job.
type behaviour struct {
	// MS is how long a run works before it ends done; 0 means that it never does.
	MS int64 `json:"ms"`
	// Tail is the tail latency in milliseconds that a serving task reports.
	Tail int64 `json:"tail"`
}

type activeRun struct {
	number  int64
	began   time.Time
	work    behaviour
	stopped bool
}

type endedRun struct {
	n    int64
	task string
	run  int64
	how  string
}

// startSeen is a start that the worker has carried out.
type startSeen struct {
	worker string
	task   string
	run    int64
	at     time.Time
}

// endSeen is an end that the worker lists. noted is set once last_seen has reached it, unless the worker's lease lapsed
// between the two.
type endSeen struct {
	worker string
	task   string
	run    int64
	how    string
	at     time.Time
	noted  bool
	lapsed bool
	// listed is when a report first contained the end.
	listed time.Time
}

// history collects what all workers have seen.
type history struct {
	mu     sync.Mutex
	starts []startSeen
	ends   []*endSeen
}

// worker is a stand-in for a worker with its agent. It does not guard its capacity.
type worker struct {
	id      string
	address string
	store   *store
	record  *recorder
	history *history
	server  *http.Server

	mu       sync.Mutex
	born     time.Time
	token    int64
	deadline int64
	runs     map[string]*activeRun
	highest  map[string]int64
	ended    []endedRun
	seen     map[int64]*endSeen
	count    int64
	ending   chan struct{}
	sequence int64
	state    string
	// changed makes the worker report at once.
	changed chan struct{}
	// remaining is the least time that is left while the worker drains.
	remaining time.Duration
	// silent is set while the worker is cut off: nothing reaches it, and nothing that it sends arrives.
	silent   bool
	reported time.Time
}

func newWorker(id, address string, s *store, r *recorder, h *history) (*worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, address: listener.Addr().String(), store: s, record: r, history: h, born: time.Now(),
		runs: make(map[string]*activeRun), highest: make(map[string]int64), seen: make(map[int64]*endSeen),
		ending: make(chan struct{}), state: ready, changed: make(chan struct{}, 1),
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go w.work()
	go w.report()
	return w, nil
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// report writes the worker's registration at intervals.
func (w *worker) report() {
	for {
		w.mu.Lock()
		w.sequence++
		entry := map[string]any{
			"service": service, "address": w.address, "zone": "z0", "version": "1", "slots": 8, "state": w.state,
			"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born.UnixMilli(), "labels": []string{"a", "r1-1"},
			"capacity": map[string]any{"cpu": 64000, "mem_mb": 256000, "gpu": 0},
		}
		if w.state == draining {
			entry["remaining_ms"] = w.remaining.Milliseconds()
		}
		silent := w.silent
		if !silent {
			w.reported = time.Now()
		}
		lapsed := time.Since(w.reported) >= 3*heartbeat
		w.mu.Unlock()
		switch {
		case !silent:
			w.store.put("servers/"+w.id, entry)
		case lapsed:
			w.store.remove("servers/" + w.id)
		}
		select {
		case <-w.changed:
		case <-time.After(heartbeat):
		}
	}
}

// work ends the runs that have done their work and kills all when the lease has expired.
func (w *worker) work() {
	for range time.Tick(2 * time.Millisecond) {
		w.mu.Lock()
		lapsed := w.clock() > w.deadline
		if lapsed {
			for _, e := range w.ended {
				w.seen[e.n].lapsed = true
			}
		}
		for task, r := range w.runs {
			age := time.Since(r.began)
			switch {
			case lapsed:
				w.end(task, r, "lapsed")
			case !r.stopped && r.work.MS > 0 && age >= time.Duration(r.work.MS)*time.Millisecond:
				w.end(task, r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) end(task string, r *activeRun, how string) {
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.count++
	w.ended = append(w.ended, endedRun{n: w.count, task: task, run: r.number, how: how})
	w.record.add("%s: end %d of %s run %d: %s", w.id, w.count, task, r.number, how)
	w.history.mu.Lock()
	e := &endSeen{worker: w.id, task: task, run: r.number, how: how, at: time.Now()}
	w.history.ends = append(w.history.ends, e)
	w.history.mu.Unlock()
	w.seen[w.count] = e
	close(w.ending)
	w.ending = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_at_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// ServeHTTP implements [http.Handler].
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Target-Instance") != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		return
	}
	if o.Token < w.token {
		w.answer(out, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/-/run-start":
		w.start(out, o)
	case "/-/run-stop":
		w.stop(out, o)
	case "/-/hold":
		w.hold(out, o)
	case "/-/pace":
		w.answer(out, http.StatusOK, map[string]any{})
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(out http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = w.clock()
	body["born"] = w.born.UnixMilli()
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) start(out http.ResponseWriter, o order) {
	r := w.runs[o.Task]
	switch {
	case r != nil && r.number == o.Run:
		w.extend(o.Deadline)
		w.answer(out, http.StatusOK, map[string]any{})
		return
	case r != nil || o.Run <= w.highest[o.Task]:
		w.extend(o.Deadline)
		w.answer(out, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case o.Deadline <= w.clock():
		w.answer(out, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	w.extend(o.Deadline)
	var work behaviour
	_ = json.Unmarshal([]byte(o.Spec), &work)
	w.runs[o.Task] = &activeRun{number: o.Run, began: time.Now(), work: work}
	w.record.add("%s: start of %s run %d, token %d", w.id, o.Task, o.Run, o.Token)
	w.history.mu.Lock()
	w.history.starts = append(w.history.starts, startSeen{worker: w.id, task: o.Task, run: o.Run, at: time.Now()})
	w.history.mu.Unlock()
	w.answer(out, http.StatusOK, map[string]any{})
}

func (w *worker) stop(out http.ResponseWriter, o order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run && !r.stopped {
		r.stopped = true
		w.record.add("%s: stop of %s run %d", w.id, o.Task, o.Run)
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[o.Task] == r {
				w.end(o.Task, r, "stopped")
			}
		})
	}
	w.answer(out, http.StatusOK, map[string]any{})
}

func (w *worker) hold(out http.ResponseWriter, o order) {
	w.extend(o.Deadline)
	for len(w.ended) > 0 && w.ended[0].n <= o.LastSeen {
		e := w.seen[w.ended[0].n]
		e.noted = !e.lapsed
		w.ended = w.ended[1:]
	}
	timeout := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && len(w.ended) == 0; {
		ending := w.ending
		w.mu.Unlock()
		select {
		case <-ending:
		case <-timeout:
			waiting = false
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.runs {
		percent := int64(100)
		if r.work.MS > 0 {
			percent = min(99, 100*time.Since(r.began).Milliseconds()/r.work.MS)
		}
		running = append(running, []any{task, r.number, "", percent, r.work.Tail})
	}
	for _, e := range w.ended[:min(endsPerReport, len(w.ended))] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
		if seen := w.seen[e.n]; seen.listed.IsZero() {
			seen.listed = time.Now()
		}
	}
	w.answer(out, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// drain announces that the worker will leave, but not before a time has passed.
func (w *worker) drain(remaining time.Duration) {
	w.mu.Lock()
	w.state, w.remaining = draining, remaining
	w.mu.Unlock()
	w.record.add("%s: drains, leaves in %d ms at the earliest", w.id, remaining.Milliseconds())
	w.changed <- struct{}{}
}

// cut separates the worker from the system and from the store, or connects it again. Its runs go on.
func (w *worker) cut(silent bool) {
	w.mu.Lock()
	w.silent = silent
	w.mu.Unlock()
	w.record.add("%s: cut off: %t", w.id, silent)
}

func (w *worker) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}
