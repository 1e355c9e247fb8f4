package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovagefork.example/platform/conf"
	"lovagefork.example/platform/kvfake"
)

const (
	storeLatency  = 4 * time.Millisecond
	storePort     = 24000
	lockPort      = 21000
	frontPort     = 21001
	readyPort     = 21002
	peerPort      = 21003
	agentPort     = 22000
	callerTimeout = 3 * time.Second
	queueHost     = "queue.example"
	serviceName   = "desk"
	// restartDelay is the pause after which the platform restarts a process that has ended.
	restartDelay = time.Second
)

// route is a queue of the operator's configuration.
type route struct {
	Name          string  `json:"name"`
	Host          string  `json:"host"`
	Prefix        string  `json:"prefix"`
	Timeout       int     `json:"timeout_ms"`
	TargetLatency int     `json:"target_latency_ms"`
	Priority      int     `json:"priority"`
	Service       string  `json:"service"`
	MaxAttempts   int     `json:"max_attempts"`
	StretchFactor float64 `json:"stretch_factor"`
}

func newRoute(name string) route {
	return route{
		Name: name, Host: queueHost, Prefix: "/" + name + "/", Timeout: 3000, TargetLatency: 1000, Service: serviceName, MaxAttempts: 4,
		StretchFactor: 2,
	}
}

// step and job are a job in the format of the pages.
type step struct {
	Count    int     `json:"count"`
	CPU      int     `json:"cpu,omitempty"`
	Mem      int     `json:"mem_mb,omitempty"`
	Estimate float64 `json:"estimated_ms,omitempty"`
	After    []int   `json:"after,omitempty"`
	Gang     bool    `json:"gang,omitempty"`
	SameRack bool    `json:"same_rack,omitempty"`
}

type job struct {
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	Repeat   int64  `json:"repeat_count,omitempty"`
	Start    int64  `json:"start_at_ms,omitempty"`
	Interval int64  `json:"interval_ms,omitempty"`
}

// world is the platform of one case with its entry hosts.
type world struct {
	root, dir string
	trouble   bool
	began     time.Time
	a, b      int
	lock      net.Listener
	store     *kvfake.Store
	client    *http.Client

	mu       sync.Mutex
	record   *os.File
	hosts    []*host
	machines []*machine
	servers  []*http.Server
	version  int
	// observers are called with what workers see.
	observers []func(event)
}

// event is something that a worker has seen.
type event struct {
	// kind is "start", "end", "noted" or "gone".
	kind   string
	worker string
	task   string
	run    int64
	how    string
}

func newWorld(root, dir string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		root: root, dir: tmp, trouble: trouble, began: time.Now(), record: record, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		store: kvfake.New(kvfake.WithLatency(storeLatency)),
	}
	for i := range 5000 {
		n := (os.Getpid() + i) % 5000
		w.a, w.b = 120+n/250, 1+n%250
		if w.lock, err = net.Listen("tcp", w.address(253, lockPort)); err == nil {
			return w, nil
		}
	}
	return nil, err
}

func (w *world) ip(n int) string            { return fmt.Sprintf("127.%d.%d.%d", w.a, w.b, n) }
func (w *world) address(n, port int) string { return fmt.Sprintf("%s:%d", w.ip(n), port) }
func (w *world) sleep(d time.Duration)      { time.Sleep(d) }
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) observe(ev event) {
	w.note("worker %s: %s %s run %d %s", ev.worker, ev.kind, ev.task, ev.run, ev.how)
	w.mu.Lock()
	observers := w.observers
	w.mu.Unlock()
	for _, f := range observers {
		f(ev)
	}
}

func (w *world) onEvent(f func(event)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observers = append(w.observers, f)
}

// serve serves a handler at an address until the end of the case.
func (w *world) serve(address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h}
	w.mu.Lock()
	w.servers = append(w.servers, server)
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// configure writes the next version of the operator's configuration.
func (w *world) configure(routes ...route) {
	w.version++
	data, err := json.Marshal(map[string]any{
		"version": w.version, "routes": routes, "services": []map[string]any{{"name": serviceName, "enforces_capacity": false}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	w.store.Put("op/config", data)
	names := []string{}
	for _, r := range routes {
		names = append(names, r.Name)
	}
	w.note("operator: configuration %d with the routes %s", w.version, strings.Join(names, ", "))
}

// startHosts starts entry hosts and waits until they are ready.
func (w *world) startHosts(count int) error {
	for i := range count {
		if err := w.serve(w.address(252, storePort+i), w.store.Handler(fmt.Sprintf("edge-%d", i))); err != nil {
			return err
		}
		h := &host{world: w}
		h.Host = conf.Host{
			Name: fmt.Sprintf("edge-%d", i), IP: w.ip(1 + i), Zone: fmt.Sprintf("z%d", i%3), StoreAddr: w.address(252, storePort+i),
			FrontPort: frontPort, ReadyPort: readyPort, PeerPort: peerPort,
		}
		h.file = filepath.Join(w.dir, h.Name+".conf")
		text := conf.Settings(h.Host)
		if err := os.WriteFile(h.file, []byte(text), 0o600); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if !w.await(20*time.Second, h.isReady) {
			return fmt.Errorf("%s is not ready", h.Name)
		}
	}
	w.sleep(3 * time.Second)
	return nil
}

// await waits until a condition is true.
func (w *world) await(limit time.Duration, f func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

func (w *world) close() {
	for _, h := range w.hosts {
		h.close()
	}
	for _, m := range w.machines {
		m.shut()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.store.Close()
	_ = w.lock.Close()
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// host is an entry host with its process.
type host struct {
	conf.Host
	world *world
	file  string

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	isClosed bool
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isClosed {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(h.world.dir, h.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/entryd", "hosted")
	cmd.Dir = h.world.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGEFORK_NODE_FILE=" + h.file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	h.cmd, h.ended = cmd, make(chan struct{})
	h.world.note("platform: %s started", h.Name)
	go h.await(cmd, log, h.ended)
	return nil
}

// await restarts the process once it has ended, as the platform does.
func (h *host) await(cmd *exec.Cmd, log *os.File, ended chan struct{}) {
	err := cmd.Wait()
	_ = log.Close()
	close(ended)
	h.mu.Lock()
	isClosed := h.isClosed
	h.mu.Unlock()
	if isClosed {
		return
	}
	h.world.note("platform: %s has ended: %v", h.Name, err)
	time.AfterFunc(restartDelay, func() { _ = h.start() })
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.world.note("platform: signal %v to %s", s, h.Name)
	_ = h.cmd.Process.Signal(s)
}

func (h *host) close() {
	h.mu.Lock()
	h.isClosed = true
	ended := h.ended
	if h.cmd != nil {
		_ = h.cmd.Process.Kill()
	}
	h.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (h *host) isReady() bool {
	resp, err := h.world.client.Get("http://" + h.ReadyAddr() + "/-/ready")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// answer is the answer of an entry process; status is 0 if there was none.
type answer struct {
	status  int
	State   string `json:"state"`
	Pending int    `json:"pending"`
}

func (w *world) call(h *host, method, path string, body any) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.FrontAddr()+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Host, req.GetBody = queueHost, nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Timeout-Ms", "3000")
	resp, err := w.client.Do(req)
	if err != nil {
		w.note("caller: %s %s at %s: %v", method, path, h.Name, err)
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		w.note("caller: %s %s at %s: %v", method, path, h.Name, err)
		return answer{}
	}
	a := answer{status: resp.StatusCode}
	_ = json.Unmarshal(text, &a)
	w.note("caller: %s %s at %s -> %d %s", method, path, h.Name, resp.StatusCode, bytes.TrimSpace(text))
	return a
}

// submit hands a job in, at one host after another, until it is accepted.
func (w *world) submit(r route, id string, j job) error {
	for i := range 8 {
		if a := w.call(w.hosts[i%len(w.hosts)], http.MethodPost, r.Prefix+id, j); a.status == http.StatusOK {
			return nil
		}
		w.sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s is not accepted", id)
}

// state returns the state of a job that the first host which knows it shows.
func (w *world) state(r route, id string) answer {
	var a answer
	for _, h := range w.hosts {
		if a = w.call(h, http.MethodGet, r.Prefix+id, nil); a.status == http.StatusOK {
			return a
		}
	}
	return a
}

// leader returns the host that leads according to the store, or nil.
func (w *world) leader() *host {
	resp, err := w.client.Get("http://" + w.address(252, storePort) + "/-/kv-key?key=lovagefork/group/leader")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var item struct {
		Value []byte `json:"value"`
	}
	if json.NewDecoder(resp.Body).Decode(&item) != nil {
		return nil
	}
	for _, h := range w.hosts {
		if bytes.Contains(item.Value, []byte(h.Name)) {
			return h
		}
	}
	return nil
}
