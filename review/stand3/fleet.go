package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lovagefork.example/platform/kvfake"
)

// Bounds of the settings file that the workers follow.
const (
	maxHold       = 6 * time.Second
	stopTime      = 100 * time.Millisecond
	gangTimeout   = 3 * time.Second
	saveInterval  = 500 * time.Millisecond
	restoreTime   = 600 * time.Millisecond
	startupTime   = 300 * time.Millisecond
	beatInterval  = 1100 * time.Millisecond
	maxListedEnds = 500
)

// stepWork is what the tasks of a step do. Work of 0 lasts.
type stepWork struct {
	WorkMS int64 `json:"work_ms"`
	Gang   int   `json:"gang,omitempty"`
	Saves  bool  `json:"saves,omitempty"`
}

// taskID is a task's name in its parts.
type taskID struct {
	job         string
	occurrence  int64
	step, index int
}

func (t taskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.job, t.occurrence, t.step, t.index)
}

func parseTask(name string) (taskID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskID{}, false
	}
	k, err1 := strconv.ParseInt(parts[1], 10, 64)
	s, err2 := strconv.Atoi(parts[2])
	i, err3 := strconv.Atoi(parts[3])
	return taskID{parts[0], k, s, i}, errors.Join(err1, err2, err3) == nil
}

// run is a run on a worker.
type run struct {
	id      taskID
	number  int64
	work    stepWork
	began   time.Time
	worked  time.Duration // before the last change of pace or presence
	since   time.Time     // zero while the run does no work
	percent int
	stopAt  time.Time
	gang    *gang
}

// gang holds the present members of one run of a gang.
type gang struct {
	members map[int]*run
	workers map[int]*worker
	need    int
	// working is set once all members are present.
	working bool
}

// ticket permits one life of a worker to run a step until a time.
type ticket struct {
	step, worker string
	born, until  time.Time
}

type end struct {
	number int64
	run    *run
	how    string
	saved  string
	lapsed bool
}

// worker is a machine that runs tasks, in its present life.
type worker struct {
	fleet    *fleet
	id       string
	address  string
	labels   []string
	cpu, mem int64

	up       bool
	born     time.Time
	token    int64
	leaseEnd int64
	runs     map[string]*run
	highest  map[string]int64
	ended    []*end
	ends     int64
	sequence int64
	server   *http.Server
	// losesStart is set while the next start gets no answer and is kept in lost, to be carried out late.
	losesStart bool
	lost       *order
}

// fleet is the workers' side of the platform. One lock covers all of its state.
type fleet struct {
	mu      sync.Mutex
	store   *kvfake.Store
	check   *checker
	workers []*worker
	gangs   map[string]*gang
	changed chan struct{}
	service string
	// tickets holds those of the policy service by their value; nil if the queue has no policy.
	tickets map[string]ticket
}

func newFleet(store *kvfake.Store, c *checker, service string) *fleet {
	f := &fleet{store: store, check: c, gangs: make(map[string]*gang), changed: make(chan struct{}), service: service}
	go f.loop()
	return f
}

func (f *fleet) add(id, address string, labels []string, cpu, mem int64) (*worker, error) {
	w := &worker{fleet: f, id: id, address: address, labels: labels, cpu: cpu, mem: mem}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	return w, w.start()
}

// start begins a life of the worker.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.address = listener.Addr().String()
	w.up, w.born, w.token, w.leaseEnd, w.ends, w.sequence, w.ended = true, time.Now(), 0, 0, 0, 0, nil
	w.runs, w.highest = make(map[string]*run), make(map[string]int64)
	born := w.born
	w.server = &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) { w.serve(out, r, born) })}
	server := w.server
	go func() { _ = server.Serve(listener) }()
	go w.beat(born)
	return nil
}

// crash ends the worker and all that runs on it.
func (w *worker) crash() {
	f := w.fleet
	f.mu.Lock()
	if !w.up {
		f.mu.Unlock()
		return
	}
	w.up = false
	for _, r := range w.runs {
		f.check.gone(w, r)
		f.leaveGang(w, r, false)
	}
	w.runs = nil
	server := w.server
	f.wake()
	f.mu.Unlock()
	_ = server.Close()
}

// entry returns the value of the worker's entry in the store.
func (w *worker) entry() []byte {
	w.sequence++
	data, err := json.Marshal(map[string]any{
		"service": w.fleet.service, "address": w.address, "zone": "z0", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born.UnixMilli(), "labels": w.labels,
		"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "clock_ms": w.clock(),
	})
	if err != nil {
		panic(err)
	}
	return data
}

// beat registers the worker while this life lasts.
func (w *worker) beat(born time.Time) {
	for {
		w.fleet.mu.Lock()
		if !w.up || !w.born.Equal(born) {
			w.fleet.mu.Unlock()
			return
		}
		data := w.entry()
		w.fleet.mu.Unlock()
		w.fleet.store.Put("servers/"+w.id, data)
		time.Sleep(beatInterval)
	}
}

func (w *worker) clock() int64 {
	return time.Since(w.born).Milliseconds() + 1
}

func (f *fleet) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Deadline   int64  `json:"deadline_at_ms"`
	Token      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request, born time.Time) {
	if r.URL.Path == "/health" {
		out.Header().Set("X-Instance-Id", w.id)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	f := w.fleet
	f.mu.Lock()
	if !w.up || !w.born.Equal(born) {
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if target := r.Header.Get("X-Target-Instance"); target != w.id {
		f.mu.Unlock()
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.losesStart && r.URL.Path == "/-/run-start" {
		w.losesStart, w.lost = false, &o
		f.check.trouble("start of %s run %d on %s gets no answer", o.Task, o.Run, w.id)
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, body := w.carryOut(r.URL.Path, o)
	if status == http.StatusOK && r.URL.Path == "/-/hold" {
		limit := time.Now().Add(min(time.Duration(o.WaitMS)*time.Millisecond, 2*time.Second))
		for w.up && w.born.Equal(born) && len(w.ended) == 0 && time.Now().Before(limit) {
			changed := f.changed
			f.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Until(limit)):
			}
			f.mu.Lock()
		}
		if w.up {
			w.report(body)
		}
	}
	isUp := w.up && w.born.Equal(born)
	if isUp {
		body["clock_ms"], body["born"] = w.clock(), w.born.UnixMilli()
	}
	f.mu.Unlock()
	if !isUp {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

func (w *worker) carryOut(path string, o order) (int, map[string]any) {
	if o.Token < w.token {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	w.token = o.Token
	switch path {
	case "/-/run-start":
		return w.startRun(o)
	case "/-/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
		return http.StatusOK, map[string]any{}
	case "/-/hold":
		w.extend(o.Deadline)
		for len(w.ended) > 0 && w.ended[0].number <= o.LastSeen {
			if e := w.ended[0]; !e.lapsed {
				w.fleet.check.noted(w, e)
			}
			w.ended = w.ended[1:]
		}
		return http.StatusOK, map[string]any{}
	case "/-/pace":
		return http.StatusOK, map[string]any{}
	}
	return http.StatusNotFound, map[string]any{}
}

func (w *worker) report(body map[string]any) {
	running, ended := [][]any{}, [][]any{}
	for name, r := range w.runs {
		running = append(running, []any{name, r.number, r.saved(), r.progress(), 0})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.run.id.String(), e.run.number, e.how, e.saved})
	}
	body["running"], body["ended"] = running, ended
}

// extend prolongs the lease. It never shortens it.
func (w *worker) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) startRun(o order) (int, map[string]any) {
	id, valid := parseTask(o.Task)
	if !valid {
		return http.StatusBadRequest, map[string]any{}
	}
	present := w.runs[o.Task]
	switch {
	case present != nil && present.number == o.Run:
		w.extend(o.Deadline)
		return http.StatusOK, map[string]any{}
	case present != nil || o.Run <= w.highest[o.Task]:
		w.extend(o.Deadline)
		return http.StatusConflict, map[string]any{"reason": "old"}
	case o.Deadline <= w.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	w.extend(o.Deadline)
	if w.fleet.tickets != nil && !w.isAdvised(o) {
		w.fleet.check.rejected(w, o)
		return http.StatusConflict, map[string]any{"reason": "ticket"}
	}
	var works []stepWork
	if err := json.Unmarshal([]byte(o.Spec[strings.Index(o.Spec, "["):]), &works); err != nil || id.step >= len(works) {
		return http.StatusBadRequest, map[string]any{}
	}
	r := &run{id: id, number: o.Run, work: works[id.step], began: time.Now(), since: time.Now()}
	if o.Checkpoint != "" {
		_, ms, _ := strings.Cut(o.Checkpoint, "@")
		n, _ := strconv.ParseInt(ms, 10, 64)
		r.worked = time.Duration(n) * time.Millisecond
		r.since = r.since.Add(restoreTime)
	}
	w.fleet.check.started(w, r, o)
	w.runs[o.Task] = r
	w.fleet.joinGang(w, r)
	return http.StatusOK, map[string]any{}
}

func (f *fleet) joinGang(w *worker, r *run) {
	if r.work.Gang == 0 {
		return
	}
	key := fmt.Sprintf("%s.%d.%d/%d", r.id.job, r.id.occurrence, r.id.step, r.number)
	g := f.gangs[key]
	if g == nil {
		g = &gang{members: make(map[int]*run), workers: make(map[int]*worker), need: r.work.Gang}
		f.gangs[key] = g
	}
	g.members[r.id.index], g.workers[r.id.index], r.gang = r, w, g
	since := r.since
	r.since = time.Time{}
	if len(g.members) == g.need {
		g.working = true
		for _, m := range g.members {
			m.since = later(since, time.Now())
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// leaveGang removes a member, and ends the others unless all end as done.
func (f *fleet) leaveGang(w *worker, r *run, isDone bool) {
	g := r.gang
	if g == nil || g.members[r.id.index] != r {
		return
	}
	delete(g.members, r.id.index)
	delete(g.workers, r.id.index)
	if isDone {
		return
	}
	for i, m := range g.members {
		delete(g.members, i)
		if other := g.workers[i]; other.up {
			m.gang = nil
			other.end(m, "broken")
		}
	}
}

// done returns how long the run has worked.
func (r *run) done() time.Duration {
	if r.since.IsZero() || time.Now().Before(r.since) {
		return r.worked
	}
	return r.worked + time.Since(r.since)
}

func (r *run) saved() string {
	if !r.work.Saves || r.done() < saveInterval {
		return ""
	}
	owner := r.id.String()
	if r.work.Gang > 0 {
		owner = owner[:strings.LastIndex(owner, ".")]
	}
	return fmt.Sprintf("%s@%d", owner, r.done().Truncate(saveInterval).Milliseconds())
}

func (r *run) progress() int {
	if r.work.WorkMS == 0 {
		if time.Since(r.began) < startupTime {
			return 0
		}
		return 100
	}
	return int(min(99, 100*r.done().Milliseconds()/r.work.WorkMS))
}

// end ends a run on a worker that is up.
func (w *worker) end(r *run, how string) {
	name := r.id.String()
	delete(w.runs, name)
	w.highest[name] = max(w.highest[name], r.number)
	w.ends++
	e := &end{number: w.ends, run: r, how: how, saved: r.saved()}
	w.ended = append(w.ended, e)
	w.fleet.check.ended(w, e)
	w.fleet.leaveGang(w, r, how == "done")
	w.fleet.wake()
}

// loop ends what has done its work, was stopped, has lapsed or has waited for too long.
func (f *fleet) loop() {
	for range time.Tick(5 * time.Millisecond) {
		f.mu.Lock()
		for _, w := range f.workers {
			if w.up {
				w.tick()
			}
		}
		f.mu.Unlock()
	}
}

func (w *worker) tick() {
	lapsed := w.clock() > w.leaseEnd
	if lapsed {
		for _, e := range w.ended {
			e.lapsed = true
		}
	}
	for _, r := range w.runs {
		if w.runs[r.id.String()] != r {
			continue
		}
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case !r.stopAt.IsZero():
			if time.Now().After(r.stopAt) {
				w.end(r, "stopped")
			}
		case r.gang != nil && !r.gang.working && time.Since(r.began) > gangTimeout:
			w.end(r, "alone")
		case r.work.WorkMS > 0 && r.done().Milliseconds() >= r.work.WorkMS:
			w.finish(r)
		}
	}
}

// finish ends a run, or a gang as a whole, as done.
func (w *worker) finish(r *run) {
	if r.gang == nil {
		w.end(r, w.fleet.check.outcome(r))
		return
	}
	g := r.gang
	for i, m := range g.members {
		other := g.workers[i]
		delete(g.members, i)
		other.end(m, "done")
	}
}

// carryOutLate carries out the start that got no answer, in the present life of the worker.
func (w *worker) carryOutLate() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.lost == nil {
		return
	}
	status, body := w.carryOut("/-/run-start", *w.lost)
	w.fleet.check.log("late start of %s run %d on %s: %d %v", w.lost.Task, w.lost.Run, w.id, status, body["reason"])
	w.lost = nil
}

// ticketTime is how long a ticket is valid.
const ticketTime = 3 * time.Second

func (w *worker) isAdvised(o order) bool {
	t, found := w.fleet.tickets[o.Ticket]
	step := o.Task[:strings.LastIndex(o.Task, ".")]
	return found && t.step == step && t.worker == w.id && t.born.Equal(w.born) && time.Now().Before(t.until)
}

// advise is the policy service. It approves of all workers, 30 ms and 3 ms for each worker after the call.
func (f *fleet) advise(out http.ResponseWriter, r *http.Request) {
	var o struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration(30+3*len(o.Workers)) * time.Millisecond)
	f.mu.Lock()
	rows := [][]any{}
	for _, w := range f.workers {
		if w.up && slices.Contains(o.Workers, w.id) {
			value := fmt.Sprintf("ticket-%d", len(f.tickets))
			f.tickets[value] = ticket{step: o.Step, worker: w.id, born: w.born, until: time.Now().Add(ticketTime)}
			rows = append(rows, []any{w.id, value})
		}
	}
	f.check.log("advise %s: %d of %d workers", o.Step, len(rows), len(o.Workers))
	f.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"approved": rows, "valid_ms": ticketTime.Milliseconds()})
}
