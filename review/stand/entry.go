package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const service = "desk"

// entry is an entry process with its settings, and the address at which it reaches the store.
type entry struct {
	index    int
	name     string
	frontend string
	ready    string
	settings string
	log      string
	record   *recorder

	mu  sync.Mutex
	cmd *exec.Cmd
	// closed is set once the process may not be started any more.
	closed bool
	// ended is closed when the process has ended.
	ended chan struct{}
}

func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// settingsText is the settings file of DEPLOY.md with the addresses of this machine.
const settingsText = `node_name=%[1]s
role=entry
machine_class=edge
serves=edge
ip=%[2]s
zone=z0
region=r0
zones.z0=r0
listen_addrs.frontend=%[2]s:%[3]d
listen_addrs.readiness=%[2]s:%[4]d
internal_ports=%[5]d,%[5]d
bootstrap=true
loss_counts=false
limits.cpu_quota=0.4
limits.cpu_cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entrypoint=vip
heartbeat_interval_ms=1100
policies=base,drain,config,cost,recover,sched,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.contact_timeout_ms=3000
bounds.ack_timeout_ms=4000
bounds.catch_up_s=4
bounds.drain_timeout_ms=2000
bounds.grace_period_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=5000
bounds.recovery_s=12
bounds.max_hold_ms=6000
bounds.stop_timeout_ms=200
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=3
bounds.checkpoint_interval_s=0.5
bounds.restore_ms=600
bounds.lease_ttl_ms=3000
bounds.thaw_slack_ms=300
bounds.pace_ms=100
bounds.harm_ms=4000
control_mode=push
platform.address=%[6]s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_retention_s=20
platform.value_bytes=1048576
platform.min_ttl_ms=1000
`

// newEntry prepares the settings of an entry process on its own loopback address.
func newEntry(index int, dir string, s *store, r *recorder) (*entry, error) {
	// Trials that run at the same time have addresses of their own.
	ip := fmt.Sprintf("127.1.%d.%d", os.Getpid()%250, index+1)
	var ports [3]int
	for n := range ports {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[n] = port
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, s.handler(index)) }()
	e := &entry{
		index: index, name: fmt.Sprintf("edge-%d", index), frontend: fmt.Sprintf("%s:%d", ip, ports[0]),
		ready: fmt.Sprintf("%s:%d", ip, ports[1]), settings: filepath.Join(dir, fmt.Sprintf("edge-%d.conf", index)),
		log: filepath.Join(dir, fmt.Sprintf("edge-%d.log", index)), record: r,
	}
	text := fmt.Sprintf(settingsText, e.name, ip, ports[0], ports[1], ports[2], listener.Addr())
	return e, os.WriteFile(e.settings, []byte(text), 0o600)
}

// start runs the command of the deploy file.
func (e *entry) start(command []string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return errors.New(e.name + " may not be started any more")
	}
	log, err := os.OpenFile(e.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGEFORK_NODE_FILE=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	e.cmd, e.ended = cmd, ended
	e.record.add("%s: started", e.name)
	return nil
}

func (e *entry) signal(sig syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(sig)
	}
}

// kill ends the process and waits for its end.
func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	e.mu.Lock()
	ended := e.ended
	e.mu.Unlock()
	if ended != nil {
		<-ended
	}
	e.record.add("%s: killed", e.name)
}

// close ends the process for good.
func (e *entry) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.kill()
}

func (e *entry) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + e.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// deployCommand returns the words of the role's run line in the deploy file.
func deployCommand(path string) ([]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if name, value, found := strings.Cut(line, "="); found && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s has no run line", path)
}
