package procs_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitTimeout is the time limit of every wait. It is far longer than any wait should take, so that the results do not
// depend on the speed of the machine.
const waitTimeout = 90 * time.Second

// binDir is the directory of the built programs.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "procs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	for _, program := range []string{"entryd", "fakekv", "fakewk", "fakebe", "lovload"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, program), "lovagefork.example/"+program)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", program, err, out)
			return 1
		}
	}
	return m.Run()
}

// process is a started program. done is closed when it has exited.
type process struct {
	cmd     *exec.Cmd
	logFile string
	done    chan struct{}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	assert.NilError(t, p.cmd.Process.Signal(s))
}

// cluster is a local cluster with one entry process in each of three availability zones.
type cluster struct {
	t       *testing.T
	dir     string
	ip      string
	entries [3]*process
}

// Ports of a cluster. Each cluster has a loopback IP address of its own, so that the ports of parallel tests do not
// collide.
const (
	portStore = 21000 + iota
	portStoreControl
	portWorkers
	portWorkersControl
	portBackendsControl
	portCallers
	portPeers
	portBackends
)

var zones = [3]string{"a", "b", "c"}

// sessionTTL is the time after which the session of an unresponsive entry process has expired.
const sessionTTL = 10 * time.Second

// startCluster starts a cluster that runs until the test ends.
func startCluster(t *testing.T) *cluster {
	t.Parallel()
	c := &cluster{t: t, dir: t.TempDir(), ip: freeLoopbackIP(t)}
	c.startProgram("fakekv", "--listen", c.address(portStore, 0), "--control", c.address(portStoreControl, 0))
	c.startProgram("fakebe", "--host", c.ip, "--base-port", strconv.Itoa(portBackends), "--control", c.address(portBackendsControl, 0))
	c.startProgram("fakewk", "--listen", c.address(portWorkers, 0), "--control", c.address(portWorkersControl, 0),
		"--backend-base-port", strconv.Itoa(portBackends), "--backend-url", "http://"+c.ip+":{port}", "--list-lag", "500ms")
	for _, port := range []int{portStoreControl, portBackendsControl, portWorkersControl} {
		c.await("the control endpoint", func() bool { return c.get("http://"+c.address(port, 0)+"/control", nil) == nil })
	}
	for i := range c.entries {
		c.startEntry(i)
	}
	for i := range c.entries {
		c.awaitReady(i)
	}
	c.configureCustomer()
	// The latency ensures that requests are in flight when a failure is injected.
	c.postControl(portBackendsControl, `{"servers": {"*": {"latency_ms": 100}}}`)
	return c
}

// lastIP is the last octet of the IP address that was last tried by this test process.
var lastIP atomic.Int32

// freeLoopbackIP returns a loopback IP address on which the port of the store is free.
func freeLoopbackIP(t *testing.T) string {
	for i := lastIP.Add(1); i < 250; i = lastIP.Add(1) {
		ip := fmt.Sprintf("127.0.%d.%d", os.Getpid()%200+1, i)
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(portStore)))
		if err == nil {
			assert.NilError(t, l.Close())
			return ip
		}
	}
	t.Fatal("no loopback IP address has a free port")
	return ""
}

func (c *cluster) address(port, offset int) string {
	if port == portCallers || port == portPeers {
		port += 1000 * (offset + 1)
	}
	return net.JoinHostPort(c.ip, strconv.Itoa(port))
}

func (c *cluster) url(i int) string { return "http://" + c.address(portCallers, i) }

func (c *cluster) startProgram(name string, args ...string) *process {
	logFile := filepath.Join(c.dir, fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano()))
	out, err := os.Create(logFile)
	assert.NilError(c.t, err)
	p := &process{cmd: exec.Command(filepath.Join(binDir, name), args...), logFile: logFile, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	assert.NilError(c.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	c.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if c.t.Failed() {
			data, _ := os.ReadFile(logFile)
			c.t.Logf("%s %v: last log lines:\n%s", name, args[:2], data[max(0, len(data)-3000):])
		}
	})
	return p
}

func (c *cluster) startEntry(i int) {
	args := []string{
		"--entry-host", "e" + strconv.Itoa(i), "--availability-zone", zones[i], "--listen", c.address(portCallers, i),
		"--peer-listen", c.address(portPeers, i), "--store", "http://" + c.address(portStore, 0),
		"--hosts-url", "http://" + c.address(portWorkers, 0), "--zones", "a,b,c", "--partitions-per-zone", "1",
		"--outage-horizon", "30s", "--drain-notice", "1s", "--drain-timeout", "30s",
	}
	for j := range c.entries {
		args = append(args, "--roster", fmt.Sprintf("e%d=%s=%s", j, zones[j], c.address(portPeers, j)))
	}
	c.entries[i] = c.startProgram("entryd", args...)
}

func (c *cluster) await(description string, cond func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !cond(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("waiting for %s: timed out after %v", description, waitTimeout)
		}
	}
}

func (c *cluster) awaitReady(i int) {
	c.t.Helper()
	c.await(fmt.Sprintf("e%d to be ready", i), func() bool {
		select {
		case <-c.entries[i].done:
			c.t.Fatalf("e%d exited: %v", i, c.entries[i].cmd.ProcessState)
		default:
		}
		return c.get(c.url(i)+"/readyz", nil) == nil
	})
}

var client = &http.Client{Timeout: 10 * time.Second}

func (c *cluster) get(url string, out any) error {
	return doRequest(http.MethodGet, url, nil, out)
}

func doRequest(method, url string, body []byte, out any) error {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= 300 {
		return errors.New(resp.Status)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// postControl sets the simulated faults of the fake store, worker agents or backend servers.
func (c *cluster) postControl(port int, body string) {
	c.t.Helper()
	assert.NilError(c.t, doRequest(http.MethodPost, "http://"+c.address(port, 0)+"/control", []byte(body), nil))
}

// configureCustomer configures one idempotent and one non-idempotent service and one kind of batch jobs, and waits
// until every entry process serves both services.
func (c *cluster) configureCustomer() {
	size := `"size": {"milli_cpu": 500, "memory_mib": 256}`
	body := fmt.Sprintf(`{"base_revision": 0, "change_id": "procs", "answers": {"customer": "acme",
		"urgent": ["bookings", "invoices"], "may_wait": ["reconciliation"], "never_twice": ["invoices"],
		"services": [{"name": "bookings", "replicas": 6, "deadline_ms": 5000, %[1]s}, {"name": "invoices", "replicas": 6, "deadline_ms": 5000, %[1]s}],
		"batch": [{"name": "reconciliation", "max_attempts": 10, %[1]s}]}}`, size)
	c.await("the configuration to be accepted", func() bool {
		return doRequest(http.MethodPut, c.url(0)+"/v1/config/acme", []byte(body), nil) == nil
	})
	for i := range c.entries {
		c.await("a successful request to each service", func() bool {
			for _, service := range []string{"bookings", "invoices"} {
				req, _ := http.NewRequest(http.MethodPost, c.url(i)+"/v1/services/acme/"+service+"/requests/x", strings.NewReader("x"))
				req.Header.Set("Idempotency-Key", fmt.Sprintf("first-%d-%d", i, time.Now().UnixNano()))
				resp, err := client.Do(req)
				if err != nil {
					return false
				}
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					return false
				}
			}
			return true
		})
	}
}
