package stand

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"lovagefork.example/platform"
	"lovagefork.example/platform/conf"
	"lovagefork.example/soak/check"
	"lovagefork.example/soak/links"
	"lovagefork.example/soak/plan"
)

// restartDelay is the pause after which the platform restarts a process that has ended.
const restartDelay = time.Second

// host is an entry host with its process.
type host struct {
	conf.Host
	// group is the number of the host's group in the plan.
	group    int
	program  string
	settings string
	logFile  string
	// onEnd is called when the process has ended; isExpected is set if it was told to.
	onEnd func(h *host, isExpected bool, err error)
	// onStart is called when a process is started.
	onStart func(h *host)

	mu  sync.Mutex
	cmd *exec.Cmd
	// life counts the processes that were started.
	life int
	// isStopping is set once the running process was told to end, isKilled once it was killed or has ended, and isClosed once
	// no other may be started.
	isStopping bool
	isKilled   bool
	isClosed   bool
	// downTime is the pause after which another process is started.
	downTime time.Duration
	ended    chan struct{}
}

func hostName(index int) string { return fmt.Sprintf("edge-%d", index) }

// newHost prepares the settings of an entry host.
func newHost(index, group int, g plan.HostGroup, n *network, program, dir, storeAddr string) (*host, error) {
	h := &host{program: program, group: group}
	h.Host = conf.Host{
		Name: hostName(index), IP: n.ip(firstHost + index), Zone: fmt.Sprintf("z%d", index%3), StoreAddr: storeAddr,
		FrontPort: frontPort, ReadyPort: readyPort, PeerPort: peerPort, Cores: float64(g.MilliCPU) / 1000, LinkMbps: g.LinkMbps,
	}
	h.settings, h.logFile = filepath.Join(dir, h.Name+".conf"), filepath.Join(dir, h.Name+".log")
	return h, os.WriteFile(h.settings, []byte(conf.Settings(h.Host)), 0o600)
}

// start starts the process; it does nothing if the host is closed.
func (h *host) start() error {
	isStarted, err := h.launch()
	if isStarted {
		h.onStart(h)
	}
	return err
}

// launch starts the process and reports whether it did.
func (h *host) launch() (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isClosed {
		return false, nil
	}
	log, err := os.OpenFile(h.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return false, err
	}
	cmd := exec.Command(h.program, "hosted")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with the soak, also if that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return false, errors.Join(err, log.Close())
	}
	ended := make(chan struct{})
	h.cmd, h.ended, h.isStopping, h.isKilled, h.downTime = cmd, ended, false, false, restartDelay
	h.life++
	go h.await(cmd, log, ended)
	return true, nil
}

// await waits for the end of the process, and starts another one as the platform does.
func (h *host) await(cmd *exec.Cmd, log *os.File, ended chan struct{}) {
	err := errors.Join(cmd.Wait(), log.Close())
	h.mu.Lock()
	isExpected, isClosed, downTime := h.isStopping, h.isClosed, h.downTime
	h.isKilled = true
	h.mu.Unlock()
	close(ended)
	if isClosed {
		return
	}
	h.onEnd(h, isExpected, err)
	time.AfterFunc(downTime, func() {
		if err := h.start(); err != nil {
			panic(err)
		}
	})
}

// signal sends a signal to the process, and reports whether one ran that was not killed before, nor told to end by the same
// signal.
func (h *host) signal(s syscall.Signal) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil || h.isKilled {
		return false
	}
	isRepeated := s == syscall.SIGTERM && h.isStopping
	h.isStopping = h.isStopping || s == syscall.SIGKILL || s == syscall.SIGTERM
	h.isKilled = s == syscall.SIGKILL
	return h.cmd.Process.Signal(s) == nil && !isRepeated
}

// kill ends the process, and reports whether one ran that was not killed before. The next one starts after a time, or after
// restartDelay if that is 0.
func (h *host) kill(downTime time.Duration) bool {
	h.mu.Lock()
	if h.cmd != nil && !h.isKilled {
		h.downTime = cmp.Or(downTime, restartDelay)
	}
	h.mu.Unlock()
	return h.signal(syscall.SIGKILL)
}

// currentLife returns the number of the process that was started last.
func (h *host) currentLife() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}

// isRunning reports whether a process runs and was not killed.
func (h *host) isRunning(life int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life == life && h.cmd != nil && !h.isKilled
}

// currentEnd returns a channel that is closed when the present process has ended.
func (h *host) currentEnd() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// close ends the process for good, and reports whether it ran.
func (h *host) close() bool {
	h.mu.Lock()
	h.isClosed = true
	ended := h.ended
	h.mu.Unlock()
	if ended == nil {
		return false
	}
	isStruck := h.signal(syscall.SIGKILL)
	<-ended
	return isStruck
}

// addHost starts an entry process on a new host of a group, which has a name, an address, a link and a view of the store of its own.
func (s *soak) addHost(group int) error {
	s.mu.Lock()
	index := s.bornHosts
	s.bornHosts++
	s.mu.Unlock()
	g := s.plan.Group(group)
	var link *links.Link
	if g.LinkMbps > 0 {
		link = links.NewLink(g.LinkMbps*1e6, links.WithDelay(time.Duration(g.DelayMS)*time.Millisecond))
		s.links.add(s.network.ip(firstHost+index), link)
	}
	storeAddr, err := s.serveStore(index, link)
	if err != nil {
		return err
	}
	h, err := newHost(index, group, g, s.network, s.program, s.dir, storeAddr)
	if err != nil {
		return err
	}
	h.onEnd = s.processEnded
	h.onStart = func(h *host) { s.observe(check.HostStarted{Host: h.Name}) }
	s.mu.Lock()
	s.hosts = append(s.hosts, h)
	s.mu.Unlock()
	return h.start()
}

// presentHosts returns the hosts that are not lost.
func (s *soak) presentHosts() []*host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.hosts)
}

// loseHost ends a host for good, and reports whether its process ran. An empty one takes its place after a delay, unless that
// is 0. The last host stays, and one that is lost is not replaced again.
func (s *soak) loseHost(h *host, delay time.Duration) bool {
	s.mu.Lock()
	i := slices.Index(s.hosts, h)
	if i < 0 || len(s.hosts) == 1 {
		s.mu.Unlock()
		return false
	}
	s.hosts = slices.Delete(s.hosts, i, i+1)
	s.mu.Unlock()
	isStruck := h.close()
	if delay > 0 {
		s.faults.Go(func() {
			if s.sleep(delay) {
				s.abortOn(s.addHost(h.group))
			}
		})
	}
	return isStruck
}

// isReady reports whether the process takes callers' connections.
func (h *host) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + h.ReadyAddr() + "/-/ready")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}
