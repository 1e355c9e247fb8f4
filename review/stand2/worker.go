package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"lovagefork.example/soak/links"
)

const (
	startPath   = "/-/run-start"
	maxHold     = 6 * time.Second
	stopTime    = 100 * time.Millisecond
	heartbeat   = 1100 * time.Millisecond
	maxEnds     = 500
	lapseSpans  = 3
	maxWait     = 2 * time.Second
	workTick    = 2 * time.Millisecond
	saveEvery   = 500 * time.Millisecond
	restoreTime = 600 * time.Millisecond
	firstUptime = 10 * time.Minute
)

// order holds the fields of all calls of a worker.
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

// verdict is what a case does to an order.
type verdict struct {
	// status rejects the order without effect.
	status int
	// late leaves the order unanswered, and carries it out after that time.
	late time.Duration
}

// machine is a place for workers, one life after another at one address.
type machine struct {
	world    *world
	index    int
	capacity map[string]int
	labels   []string
	// judge decides about an order; nil carries all out at once.
	judge func(path string, o order) verdict

	mu       sync.Mutex
	listener *links.Listener
	server   *http.Server
	life     *life
	lives    int
	isCut    bool
	seenAt   time.Time
	isShut   bool
}

// life is one worker.
type life struct {
	machine  *machine
	id       string
	born     time.Time
	closed   chan struct{}
	token    int64
	leaseEnd int64
	sequence int64
	ends     int64
	runs     map[string]*run
	highest  map[string]int64
	ended    []ended
	ending   chan struct{}
	draining bool
}

type run struct {
	task      string
	number    int64
	began     time.Time
	resumed   time.Duration
	work      work
	isStopped bool
}

type ended struct {
	number     int64
	task       string
	run        int64
	how        string
	checkpoint string
}

// work is what the spec of a job says: how long a run works, 0 for ever, and whether it fails.
type work struct {
	Milliseconds int64 `json:"ms"`
	Fails        bool  `json:"fails,omitempty"`
}

func (k work) spec() string {
	data, err := json.Marshal(k)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// addMachines boots workers.
func (w *world) addMachines(count, cpu, mem int) error {
	for range count {
		i := len(w.machines)
		m := &machine{
			world: w, index: i, capacity: map[string]int{"cpu": cpu, "mem_mb": mem, "gpu": 0}, labels: []string{"a", fmt.Sprintf("r%d", i/8)},
		}
		w.machines = append(w.machines, m)
		if err := m.listen(); err != nil {
			return err
		}
		m.boot(true)
		go m.register()
	}
	return nil
}

// setJudge sets what decides about the orders of the machine.
func (m *machine) setJudge(f func(path string, o order) verdict) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.judge = f
}

// isIdle reports whether a worker is up and runs nothing.
func (m *machine) isIdle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.life != nil && len(m.life.runs) == 0
}

type lifeKey struct{}

// listen opens the address of the machine. A connection belongs to the life that was up when it was opened.
func (m *machine) listen() error {
	listener, err := links.Listen(m.world.address(251, agentPort+m.index))
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: http.HandlerFunc(m.serve),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			m.mu.Lock()
			defer m.mu.Unlock()
			return context.WithValue(ctx, lifeKey{}, m.life)
		},
	}
	m.listener, m.server = listener, server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// boot starts the next worker, under the id of the last one unless newID is set.
func (m *machine) boot(newID bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if newID {
		m.lives++
	}
	born := time.Now()
	if m.life == nil && m.seenAt.IsZero() {
		// The first workers have been up for some time.
		born = born.Add(-firstUptime)
	}
	l := &life{
		machine: m, id: fmt.Sprintf("w%d-%d", m.index, m.lives), born: born, closed: make(chan struct{}), runs: make(map[string]*run),
		highest: make(map[string]int64), ending: make(chan struct{}),
	}
	m.life = l
	m.world.note("platform: worker %s has started", l.id)
	go l.workLoop()
	if !m.isCut {
		m.put()
	}
}

// crash ends the worker with all that runs there. Its connections are reset, and new ones refused, unless it is dark: then nothing
// answers.
func (m *machine) crash(isDark bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil {
		return
	}
	close(m.life.closed)
	m.world.observe(event{"gone", m.life.id, "", 0, ""})
	m.life = nil
	if isDark {
		_ = m.listener.SetMode(links.Silent{})
		return
	}
	_ = m.listener.SetMode(links.Refused{})
}

// revive boots a worker after a crash.
func (m *machine) revive(newID bool) {
	m.boot(newID)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isCut {
		_ = m.listener.SetMode(links.Open{})
	}
}

// cut separates the machine from all entry hosts and the store, in silence.
func (m *machine) cut() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isCut = true
	m.world.note("network: machine %d is cut off", m.index)
	_ = m.listener.SetMode(links.Silent{})
}

// heal ends the cut. Connections to a life that has ended are reset.
func (m *machine) heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isCut = false
	m.world.note("network: machine %d is reachable", m.index)
	_ = m.listener.SetMode(links.Reset{})
	_ = m.listener.SetMode(links.Open{})
}

func (m *machine) shut() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isShut = true
	if m.life != nil {
		close(m.life.closed)
		m.life = nil
	}
	if m.server != nil {
		_ = m.server.Close()
	}
}

// register renews the entry of the present worker. The platform removes the entry of one that is silent.
func (m *machine) register() {
	for {
		m.mu.Lock()
		if m.isShut {
			m.mu.Unlock()
			return
		}
		switch {
		case m.life != nil && !m.isCut:
			m.put()
		case time.Since(m.seenAt) > lapseSpans*heartbeat:
			m.world.store.Remove(fmt.Sprintf("servers/w%d-%d", m.index, m.lives))
		}
		m.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

// put writes the entry of the present worker.
func (m *machine) put() {
	l := m.life
	l.sequence++
	m.seenAt = time.Now()
	state := "ready"
	if l.draining {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"service": serviceName, "address": m.world.address(251, agentPort+m.index), "zone": "z" + strconv.Itoa(m.index%3), "version": "1", "slots": 8,
		"state": state, "cold_remaining_ms": 0, "sequence": l.sequence, "born": l.born.UnixMilli(), "labels": m.labels, "capacity": m.capacity,
	})
	if err != nil {
		panic(err)
	}
	m.world.store.Put("servers/"+l.id, data)
}

func (m *machine) serve(out http.ResponseWriter, r *http.Request) {
	var o order
	err := json.NewDecoder(r.Body).Decode(&o)
	m.mu.Lock()
	l := m.life
	switch {
	case l == nil || r.Context().Value(lifeKey{}) != l:
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	case r.Header.Get("X-Target-Instance") != l.id:
		m.mu.Unlock()
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	case err != nil:
		m.mu.Unlock()
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if m.judge != nil {
		v := m.judge(r.URL.Path, o)
		if v.status != 0 {
			m.mu.Unlock()
			m.world.note("worker %s: rejects %s %s run %d with %d", l.id, r.URL.Path, o.Task, o.Run, v.status)
			out.WriteHeader(v.status)
			return
		}
		if v.late > 0 {
			m.mu.Unlock()
			m.postpone(l.id, r.URL.Path, o, v.late)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, body := l.carryOut(r.URL.Path, o)
	body["clock_ms"], body["born"] = l.clock(), l.born.UnixMilli()
	isGone := m.life != l
	m.mu.Unlock()
	if isGone {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

// postpone carries an order out later, on the worker that is up under the same id then.
func (m *machine) postpone(id, path string, o order, after time.Duration) {
	m.world.note("worker %s: leaves %s %s run %d unanswered, to be carried out in %v", id, path, o.Task, o.Run, after)
	time.AfterFunc(after, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.life == nil || m.life.id != id {
			return
		}
		m.world.note("worker %s: carries %s %s run %d out now", id, path, o.Task, o.Run)
		o.WaitMS = 0
		m.life.carryOut(path, o)
	})
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() + 1 }

func (l *life) extend(deadline int64) {
	l.leaseEnd = max(l.leaseEnd, min(deadline, l.clock()+maxHold.Milliseconds()))
}

// carryOut handles an order while the machine is locked.
func (l *life) carryOut(path string, o order) (int, map[string]any) {
	body := map[string]any{}
	if o.Token < l.token {
		body["reason"] = "fence"
		return http.StatusConflict, body
	}
	l.token = o.Token
	switch path {
	case startPath:
		return l.start(o, body)
	case "/-/run-stop":
		l.stop(o)
	case "/-/pace":
	case "/-/hold":
		l.hold(o, body)
	default:
		return http.StatusNotFound, body
	}
	return http.StatusOK, body
}

func (l *life) start(o order, body map[string]any) (int, map[string]any) {
	present := l.runs[o.Task]
	switch {
	case present != nil && present.number == o.Run:
		l.extend(o.Deadline)
		return http.StatusOK, body
	case present != nil || o.Run <= l.highest[o.Task]:
		l.extend(o.Deadline)
		body["reason"] = "old"
		return http.StatusConflict, body
	case o.Deadline <= l.clock():
		body["reason"] = "late"
		return http.StatusConflict, body
	}
	l.extend(o.Deadline)
	r := &run{task: o.Task, number: o.Run, began: time.Now()}
	_ = json.Unmarshal([]byte(o.Spec), &r.work)
	if ms, err := strconv.ParseInt(o.Checkpoint, 10, 64); err == nil {
		r.resumed = time.Duration(ms)*time.Millisecond - restoreTime
	}
	l.runs[o.Task] = r
	l.machine.world.observe(event{"start", l.id, o.Task, o.Run, fmt.Sprintf("token %d", o.Token)})
	return http.StatusOK, body
}

func (l *life) stop(o order) {
	l.highest[o.Task] = max(l.highest[o.Task], o.Run)
	r := l.runs[o.Task]
	if r == nil || r.number > o.Run || r.isStopped {
		return
	}
	r.isStopped = true
	time.AfterFunc(stopTime, func() {
		l.machine.mu.Lock()
		defer l.machine.mu.Unlock()
		if l.runs[o.Task] == r && !l.isGone() {
			l.end(r, "stopped")
		}
	})
}

func (l *life) isGone() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// hold extends the lease, forgets the ends that were seen, waits for an end and lists what runs and has ended.
func (l *life) hold(o order, body map[string]any) {
	l.extend(o.Deadline)
	for len(l.ended) > 0 && l.ended[0].number <= o.LastSeen {
		e := l.ended[0]
		l.machine.world.observe(event{"noted", l.id, e.task, e.run, e.how})
		l.ended = l.ended[1:]
	}
	limit := min(time.Duration(o.WaitMS)*time.Millisecond, maxWait)
	for timeout := time.After(limit); len(l.ended) == 0 && limit > 0; {
		ending := l.ending
		l.machine.mu.Unlock()
		select {
		case <-ending:
		case <-l.closed:
			limit = 0
		case <-timeout:
			limit = 0
		}
		l.machine.mu.Lock()
	}
	running, list := [][]any{}, [][]any{}
	for _, e := range l.ended[:min(maxEnds, len(l.ended))] {
		list = append(list, []any{e.number, e.task, e.run, e.how, e.checkpoint})
	}
	for _, r := range l.runs {
		running = append(running, []any{r.task, r.number, r.checkpoint(), r.percent(), 0})
	}
	body["running"], body["ended"] = running, list
}

func (r *run) progress() time.Duration { return max(0, r.resumed+time.Since(r.began)) }

func (r *run) checkpoint() string {
	if p := r.progress().Truncate(saveEvery); p > 0 {
		return strconv.FormatInt(p.Milliseconds(), 10)
	}
	return ""
}

func (r *run) percent() int64 {
	if r.work.Milliseconds == 0 {
		return 100
	}
	return min(99, 100*r.progress().Milliseconds()/r.work.Milliseconds)
}

// workLoop ends the runs that have done their work, and all of them when the lease has expired.
func (l *life) workLoop() {
	for {
		select {
		case <-l.closed:
			return
		case <-time.After(workTick):
		}
		l.machine.mu.Lock()
		isLapsed := l.clock() > l.leaseEnd
		for _, r := range l.sorted() {
			switch {
			case l.isGone():
			case isLapsed:
				l.end(r, "lapsed")
			case r.work.Milliseconds > 0 && r.progress().Milliseconds() >= r.work.Milliseconds && !r.isStopped:
				how := "done"
				if r.work.Fails {
					how = "failed"
				}
				l.end(r, how)
			}
		}
		l.machine.mu.Unlock()
	}
}

func (l *life) sorted() []*run {
	all := make([]*run, 0, len(l.runs))
	for _, r := range l.runs {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *run) int { return a.began.Compare(b.began) })
	return all
}

func (l *life) end(r *run, how string) {
	delete(l.runs, r.task)
	l.highest[r.task] = max(l.highest[r.task], r.number)
	l.ends++
	l.ended = append(l.ended, ended{l.ends, r.task, r.number, how, r.checkpoint()})
	l.machine.world.observe(event{"end", l.id, r.task, r.number, how})
	close(l.ending)
	l.ending = make(chan struct{})
}
