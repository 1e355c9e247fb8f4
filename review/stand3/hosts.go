package main

import (
	"bytes"
	"context"
	"encoding/json"
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
	queueHost   = "queue.example"
	queuePrefix = "/jobs/"
	serviceName = "crew"
)

// host is an entry host with its process.
type host struct {
	conf.Host
	dir string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	closed  bool
	restart time.Duration
	exits   int
}

// set is a small deployment on loopback.
type set struct {
	dir   string
	check *checker
	store *kvfake.Store
	fleet *fleet
	hosts []*host
	base  string
	next  int
}

// address returns an IP address of the set.
func (s *set) address(n int) string { return fmt.Sprintf("%s.%d", s.base, n) }

func freeBase() (string, error) {
	for i := range 200 {
		base := fmt.Sprintf("127.%d.%d", 40+(os.Getpid()+i)%150, (os.Getpid()/150+i)%250)
		l, err := net.Listen("tcp", base+".250:7070")
		if err != nil {
			continue
		}
		// The listener reserves the addresses of the set for the life of this process.
		_ = l
		return base, nil
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func newSet(c *checker, extra string, entries, workers int, label func(i int) []string) (*set, error) {
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		return nil, err
	}
	base, err := freeBase()
	if err != nil {
		return nil, err
	}
	s := &set{dir: dir, check: c, base: base, store: kvfake.New(kvfake.WithLatency(4 * time.Millisecond))}
	s.fleet = newFleet(s.store, c, serviceName)
	s.configure(1, nil)
	for i := range workers {
		if _, err := s.fleet.add(fmt.Sprintf("w%d", i), s.address(100+i)+":8080", label(i), 16000, 64000); err != nil {
			return nil, err
		}
	}
	for i := range entries {
		if err := s.addHost(i, extra); err != nil {
			return nil, err
		}
	}
	limit := time.Now().Add(15 * time.Second)
	for _, h := range s.hosts {
		for !h.ready() {
			if time.Now().After(limit) {
				return s, fmt.Errorf("%s is not ready", h.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	return s, nil
}

func (s *set) addHost(i int, extra string) error {
	h := &host{dir: s.dir, restart: time.Second}
	listener, err := net.Listen("tcp", s.address(200)+fmt.Sprintf(":%d", 7000+i))
	if err != nil {
		return err
	}
	h.Host = conf.Host{
		Name: fmt.Sprintf("edge-%d", i), IP: s.address(10 + i), Zone: fmt.Sprintf("z%d", i%3), StoreAddr: listener.Addr().String(),
		FrontPort: 8161, ReadyPort: 8167, PeerPort: 7720,
	}
	server := &http.Server{Handler: s.store.Handler(h.Name)}
	go func() { _ = server.Serve(listener) }()
	if err := os.WriteFile(h.settings(), []byte(conf.Settings(h.Host)+extra), 0o600); err != nil {
		return err
	}
	s.hosts = append(s.hosts, h)
	return h.start()
}

func (h *host) settings() string { return filepath.Join(h.dir, h.Name+".conf") }

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(h.dir, h.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(entryProgram, "hosted")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGEFORK_NODE_FILE=" + h.settings()}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.ended = cmd, make(chan struct{})
	ended := h.ended
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
		h.mu.Lock()
		h.exits++
		pause := h.restart
		h.mu.Unlock()
		time.Sleep(pause)
		_ = h.start()
	}()
	return nil
}

func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(sig)
}

func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ReadyAddr() + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *set) close() {
	for _, h := range s.hosts {
		h.mu.Lock()
		h.closed = true
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		ended := h.ended
		h.mu.Unlock()
		<-ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// leader returns the host whose process leads, by the store's entry of its election.
func (s *set) leader() *host {
	resp, err := http.Get("http://" + s.hosts[0].StoreAddr + "/-/kv-key?key=lovagefork/group/leader")
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
	for _, h := range s.hosts {
		if bytes.Contains(item.Value, []byte(h.Name)) {
			return h
		}
	}
	return nil
}

// configure writes a version of the configuration.
func (s *set) configure(version int64, change func(route map[string]any)) {
	route := map[string]any{
		"name": "r-1", "host": queueHost, "prefix": queuePrefix, "kind": "unsafe", "timeout_ms": 3000, "service": serviceName, "target_latency_ms": 1000,
		"priority": 0, "max_attempts": s.check.maxFails, "stretch_factor": 2,
	}
	if change != nil {
		change(route)
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": []any{route}, "services": []any{map[string]any{"name": serviceName, "enforces_capacity": false}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	s.store.Put("op/config", data)
}

// call sends a request to a host and returns the status, 0 if there was no answer, and the state in the body.
func (s *set) call(h *host, method, id string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.FrontAddr()+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.GetBody = nil
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Timeout-Ms", "3000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &answer)
	return resp.StatusCode, answer.State
}

// submit hands a job in, and repeats that at the next host until it is accepted, for 20 s at most.
func (s *set) submit(j *job) bool {
	if j.Spec == "" {
		works, err := json.Marshal(j.works)
		if err != nil {
			panic(err)
		}
		j.Spec = j.ID + " " + string(works)
	}
	s.check.add(j)
	body, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	for n, limit := 0, time.Now().Add(20*time.Second); time.Now().Before(limit); n++ {
		s.next++
		h := s.hosts[(s.next+n)%len(s.hosts)]
		status, _ := s.call(h, http.MethodPost, j.ID, body)
		s.check.log("POST %s at %s: %d", j.ID, h.Name, status)
		if status >= 200 && status < 300 {
			j.accepted = time.Now()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks the hosts in turn for the state of a job.
func (s *set) state(id string) (string, int) {
	last := 0
	for n := range 2 * len(s.hosts) {
		h := s.hosts[n%len(s.hosts)]
		status, state := s.call(h, http.MethodGet, id, nil)
		s.check.log("GET %s at %s: %d %s", id, h.Name, status, state)
		if status == http.StatusOK || status == http.StatusGone {
			return state, status
		}
		last = status
		time.Sleep(100 * time.Millisecond)
	}
	return "", last
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0xabc0000000000000+uint64(n)) }

var entryProgram = strings.TrimSpace(os.Getenv("ENTRYD"))
