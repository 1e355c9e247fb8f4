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

// patience bounds every wait. It is far longer than any wait takes, so that the verdict does not depend on the machine.
const waitTimeout = 90 * time.Second

// bin is the directory of the built programs.
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

// process is one started program; done is closed when it has ended.
type process struct {
	cmd  *exec.Cmd
	logFile  string
	done chan struct{}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	assert.NilError(t, p.cmd.Process.Signal(s))
}

// set is the local set of programs, with three entry processes in three availability zones.
type cluster struct {
	t       *testing.T
	dir     string
	ip    string
	entries [3]*process
}

// The ports of the set. Each set has a loopback IP number of its own, so that they do not meet other sets.
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

// sessionTTL is the time after which a silent entry process has surely lost its session.
const sessionTTL = 10 * time.Second

// start runs the set until the test ends.
func startCluster(t *testing.T) *cluster {
	t.Parallel()
	s := &cluster{t: t, dir: t.TempDir(), ip: freeLoopbackIP(t)}
	s.startProgram("fakekv", "--listen", s.address(portStore, 0), "--control", s.address(portStoreControl, 0))
	s.startProgram("fakebe", "--host", s.ip, "--base-port", strconv.Itoa(portBackends), "--control", s.address(portBackendsControl, 0))
	s.startProgram("fakewk", "--listen", s.address(portWorkers, 0), "--control", s.address(portWorkersControl, 0),
		"--backend-base-port", strconv.Itoa(portBackends), "--backend-url", "http://"+s.ip+":{port}", "--list-lag", "500ms")
	for _, port := range []int{portStoreControl, portBackendsControl, portWorkersControl} {
		s.await("control page", func() bool { return s.get("http://"+s.address(port, 0)+"/control", nil) == nil })
	}
	for i := range s.entries {
		s.startEntry(i)
	}
	for i := range s.entries {
		s.awaitReady(i)
	}
	s.configureCustomer()
	// Requests take long enough to be in flight when a failure comes.
	s.postControl(portBackendsControl, `{"servers": {"*": {"latency_ms": 100}}}`)
	return s
}

// lastHost numbers the sets of this process.
var lastIP atomic.Int32

// freeHost returns a loopback IP number on which the set's first port is free.
func freeLoopbackIP(t *testing.T) string {
	for i := lastIP.Add(1); i < 250; i = lastIP.Add(1) {
		host := fmt.Sprintf("127.0.%d.%d", os.Getpid()%200+1, i)
		l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(portStore)))
		if err == nil {
			assert.NilError(t, l.Close())
			return host
		}
	}
	t.Fatal("no loopback address is free")
	return ""
}

func (s *cluster) address(port, offset int) string {
	if port == portCallers || port == portPeers {
		port += 1000 * (offset + 1)
	}
	return net.JoinHostPort(s.ip, strconv.Itoa(port))
}

func (s *cluster) url(i int) string { return "http://" + s.address(portCallers, i) }

func (s *cluster) startProgram(name string, args ...string) *process {
	log := filepath.Join(s.dir, fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano()))
	out, err := os.Create(log)
	assert.NilError(s.t, err)
	p := &process{cmd: exec.Command(filepath.Join(binDir, name), args...), logFile: log, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	assert.NilError(s.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if s.t.Failed() {
			data, _ := os.ReadFile(log)
			s.t.Logf("%s %v: last log lines:\n%s", name, args[:2], data[max(0, len(data)-3000):])
		}
	})
	return p
}

func (s *cluster) startEntry(i int) {
	args := []string{
		"--entry-host", "e" + strconv.Itoa(i), "--availability-zone", zones[i], "--listen", s.address(portCallers, i),
		"--peer-listen", s.address(portPeers, i), "--store", "http://" + s.address(portStore, 0),
		"--hosts-url", "http://" + s.address(portWorkers, 0), "--zones", "a,b,c", "--partitions-per-zone", "1",
		"--outage-horizon", "30s", "--drain-notice", "1s", "--drain-timeout", "30s",
	}
	for j := range s.entries {
		args = append(args, "--roster", fmt.Sprintf("e%d=%s=%s", j, zones[j], s.address(portPeers, j)))
	}
	s.entries[i] = s.startProgram("entryd", args...)
}

func (s *cluster) await(what string, holds func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("%s: not seen in %v", what, waitTimeout)
		}
	}
}

func (s *cluster) awaitReady(i int) {
	s.t.Helper()
	s.await(fmt.Sprintf("readiness of e%d", i), func() bool {
		select {
		case <-s.entries[i].done:
			s.t.Fatalf("e%d ended: %v", i, s.entries[i].cmd.ProcessState)
		default:
		}
		return s.get(s.url(i)+"/readyz", nil) == nil
	})
}

var client = &http.Client{Timeout: 10 * time.Second}

func (s *cluster) get(url string, into any) error {
	return doRequest(http.MethodGet, url, nil, into)
}

func doRequest(method, url string, body []byte, into any) error {
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
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// control changes the faults of a stand-in.
func (s *cluster) postControl(port int, body string) {
	s.t.Helper()
	assert.NilError(s.t, doRequest(http.MethodPost, "http://"+s.address(port, 0)+"/control", []byte(body), nil))
}

// configure gives the customer one idempotent and one non-idempotent service and a kind of batch work.
func (s *cluster) configureCustomer() {
	size := `"size": {"milli_cpu": 500, "memory_mib": 256}`
	body := fmt.Sprintf(`{"base_revision": 0, "change_id": "procs", "answers": {"customer": "acme",
		"urgent": ["bookings", "invoices"], "may_wait": ["reconciliation"], "never_twice": ["invoices"],
		"services": [{"name": "bookings", "replicas": 6, "deadline_ms": 5000, %[1]s}, {"name": "invoices", "replicas": 6, "deadline_ms": 5000, %[1]s}],
		"batch": [{"name": "reconciliation", "max_attempts": 10, %[1]s}]}}`, size)
	s.await("acceptance of the configuration", func() bool {
		return doRequest(http.MethodPut, s.url(0)+"/v1/config/acme", []byte(body), nil) == nil
	})
	for i := range s.entries {
		s.await("a request of each service", func() bool {
			for _, service := range []string{"bookings", "invoices"} {
				req, _ := http.NewRequest(http.MethodPost, s.url(i)+"/v1/services/acme/"+service+"/requests/x", strings.NewReader("x"))
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
