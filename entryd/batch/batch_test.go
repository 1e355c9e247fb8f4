package batch_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/plat"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/batch"
	"lovagefork.example/entryd/peers"
)

const (
	partitionsPerZone = 1
	// testHorizon is shorter than the default outage horizon to reduce the number of ticks in virtual time.
	testHorizon = 2 * time.Minute
)

var zones = []fleet.AvailabilityZone{"a", "b"}

func workers(perZone int) []fleet.Worker {
	var all []fleet.Worker
	for _, z := range zones {
		for i := range perZone {
			all = append(all, fleet.Worker{
				ID: fleet.WorkerID(fmt.Sprintf("%s%d", z, i)), Rack: "r1", Zone: z, State: fleet.HostLive, AgentURL: "http://fake",
				Capacity: fleet.Resources{MilliCPU: 4000, MemoryBytes: 16 << 30},
			})
		}
	}
	return all
}

// cluster is a set of entry processes that share a fake store and fake workers.
type cluster struct {
	store   *fakeStore
	workers *fakeWorkers
	log     *slog.Logger
	logs    *bytes.Buffer

	mu        sync.Mutex
	processes map[fleet.EntryHostID]*process
	boots     int
}

// process is an entry process. Its calls to the store and the workers block while it is paused.
type process struct {
	cluster *cluster
	host    fleet.EntryHostID
	runtime *batch.Runtime
	router  *mux.Router
	ctx     context.Context
	cancel  context.CancelFunc
	exited  chan struct{}
	inbox   chan func()

	mu     sync.Mutex
	paused chan struct{}
	// storeCut makes calls to the store fail, and cutWorkers calls to workers whose names begin with it.
	storeCut   bool
	cutWorkers string
	// inboxHeld holds the changes of the inbox, and holdInbox sets it after the next one.
	inboxHeld, holdInbox bool
}

func newCluster(workersPerZone int) *cluster {
	var logs bytes.Buffer
	return &cluster{
		logs:  &logs,
		store: newFakeStore(), workers: newFakeWorkers(workers(workersPerZone)), processes: map[fleet.EntryHostID]*process{},
		log: slog.New(slog.NewTextHandler(&logs, nil)),
	}
}

func (c *cluster) start(host fleet.EntryHostID, zone fleet.AvailabilityZone, opts ...batch.Option) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.boots++
	p := &process{cluster: c, host: host, router: mux.NewRouter(), exited: make(chan struct{}), inbox: make(chan func(), 4096)}
	self := wire.Hello{EntryHost: host, Zone: zone, Boot: fleet.BootID(fmt.Sprint(c.boots))}
	p.runtime = batch.New(batch.Deps{
		Self: self, Partitions: fleet.Partitions(zones, partitionsPerZone), PartitionsPerZone: partitionsPerZone,
		Store: gatedStore{c.store, p}, Agent: gatedAgent{c.workers, p}, Peers: p, Log: c.log.With("at", host),
	}, append([]batch.Option{batch.WithOutageHorizon(testHorizon)}, opts...)...)
	p.runtime.Register(p.router)
	var list []fleet.Worker
	for _, fw := range c.workers.byID {
		list = append(list, fw.info)
	}
	p.runtime.ObserveFleet(list)
	ctx, cancel := context.WithCancel(context.Background())
	p.ctx, p.cancel = ctx, cancel
	go p.deliver(ctx)
	go func() {
		_ = p.runtime.Run(ctx)
		close(p.exited)
	}()
	c.processes[host] = p
	return p
}

// kill ends a process without releasing its session or partitions.
func (c *cluster) kill(host fleet.EntryHostID) {
	c.mu.Lock()
	p := c.processes[host]
	delete(c.processes, host)
	c.mu.Unlock()
	if p != nil {
		p.resume()
		p.cancel()
		<-p.exited
	}
}

func (c *cluster) stop() {
	for _, host := range []fleet.EntryHostID{"e1", "e2", "e3"} {
		c.kill(host)
	}
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil {
		p.paused = make(chan struct{})
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// waitWhilePaused blocks while the process is paused.
func (p *process) waitWhilePaused() {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (p *process) Call(ctx context.Context, to fleet.EntryHostID, m wire.Message) (wire.Message, error) {
	p.cluster.mu.Lock()
	other := p.cluster.processes[to]
	p.cluster.mu.Unlock()
	if other == nil {
		return nil, &peers.LinkError{Peer: to, NotSent: true, Cause: errFake}
	}
	return other.runtime.HandlePeer(ctx, p.host, m), nil
}

func (p *process) Send(to fleet.EntryHostID, m wire.Message) error {
	p.cluster.mu.Lock()
	other := p.cluster.processes[to]
	p.cluster.mu.Unlock()
	if other == nil {
		return &peers.LinkError{Peer: to, NotSent: true, Cause: errFake}
	}
	other.inbox <- func() { other.runtime.HandlePeer(context.Background(), p.host, m) }
	return nil
}

// deliver handles one-way messages in the order in which they were sent, as a link between peers does.
func (p *process) deliver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case handle := <-p.inbox:
			handle()
		}
	}
}

func (p *process) Broadcast(m wire.Message) {
	for _, other := range p.cluster.others(p) {
		go other.runtime.HandlePeer(context.Background(), p.host, m)
	}
}

func (c *cluster) others(p *process) []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*process
	for _, o := range c.processes {
		if o != p {
			all = append(all, o)
		}
	}
	return all
}

// gatedStore is the store as seen by one process, with that process's faults.
type gatedStore struct {
	*fakeStore
	process *process
}

func (p *process) set(change func(*process)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *process) checkStore() error {
	p.waitWhilePaused()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.storeCut {
		return &store.NotSentError{Op: "any", Cause: errFake}
	}
	return nil
}

func (p *process) checkWorker(w fleet.Worker) error {
	p.waitWhilePaused()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutWorkers != "" && strings.HasPrefix(string(w.ID), p.cutWorkers) {
		return &plat.UnreachableError{Worker: w.ID, Op: "any", Cause: errFake}
	}
	return nil
}

func (s gatedStore) Txn(ctx context.Context, t store.Txn) (store.TxnResult, error) {
	if err := s.process.checkStore(); err != nil {
		return store.TxnResult{}, err
	}
	r, err := s.fakeStore.Txn(ctx, t)
	s.process.waitWhilePaused()
	return r, err
}

func (s gatedStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.process.checkStore(); err != nil {
		return 0, err
	}
	return s.fakeStore.Grant(ctx, ttl)
}

func (s gatedStore) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if err := s.process.checkStore(); err != nil {
		return 0, err
	}
	left, err := s.fakeStore.KeepAlive(ctx, id)
	s.process.waitWhilePaused()
	return left, err
}

// gatedAgent is the fake workers as seen by one process, with that process's faults.
type gatedAgent struct {
	*fakeWorkers
	process *process
}

func (a gatedAgent) Start(ctx context.Context, w fleet.Worker, s plat.StartRequest) error {
	if err := a.process.checkWorker(w); err != nil {
		return err
	}
	return a.fakeWorkers.Start(ctx, w, s)
}

func (a gatedAgent) Renew(ctx context.Context, w fleet.Worker, e fleet.Epoch, l time.Duration, t []plat.TaskRef) ([]plat.TaskRef, error) {
	if err := a.process.checkWorker(w); err != nil {
		return nil, err
	}
	return a.fakeWorkers.Renew(ctx, w, e, l, t)
}

func (a gatedAgent) Status(ctx context.Context, w fleet.Worker, e fleet.Epoch) (plat.WorkerStatus, error) {
	if err := a.process.checkWorker(w); err != nil {
		return plat.WorkerStatus{}, err
	}
	return a.fakeWorkers.Status(ctx, w, e)
}

func (a gatedAgent) Stop(ctx context.Context, w fleet.Worker, e fleet.Epoch, t plat.TaskRef, c bool) (plat.TaskStatus, error) {
	if err := a.process.checkWorker(w); err != nil {
		return plat.TaskStatus{}, err
	}
	return a.fakeWorkers.Stop(ctx, w, e, t, c)
}

// request sends an HTTP request to a process and returns the status and the body.
func (p *process) request(method, path, body string) (int, string) {
	w := httptest.NewRecorder()
	p.router.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

// requestJob sends an HTTP request to a process and returns the status and the job in the body.
func (p *process) requestJob(method, path, body string) (int, jobs.View) {
	status, text := p.request(method, path, body)
	var v jobs.View
	_ = json.Unmarshal([]byte(text), &v)
	return status, v
}

func jobBody(id, class string, tasks int, runMS int64) string {
	return fmt.Sprintf(`{"job_id":%q,"customer":"c","class":%q,"tasks":%d,"resources":{"milli_cpu":1000},"estimated_run_ms":%d}`,
		id, class, tasks, runMS)
}

// Guards against an accepted job that does not run to completion, or whose state only one of the entry processes can
// report. A repeated submission at another process must not create a second job.
func TestJobRunsToCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		defer c.stop()
		p, other := c.start("e1", "a"), c.start("e2", "b")
		time.Sleep(5 * time.Second)
		code, _ := p.requestJob(http.MethodPost, "/v1/jobs", jobBody("j1", "standard", 12, 3000))
		assert.Equal(t, code, http.StatusCreated)
		code, _ = other.requestJob(http.MethodPost, "/v1/jobs", jobBody("j1", "standard", 12, 3000))
		assert.Equal(t, code, http.StatusOK)
		time.Sleep(20 * time.Second)
		code, v := other.requestJob(http.MethodGet, "/v1/jobs/j1", "")
		assert.Equal(t, code, http.StatusOK)
		assert.Equal(t, v.State, jobs.StateSucceeded, "%+v", v)
		assert.Equal(t, c.workers.starts, 12)
		assert.Equal(t, len(c.workers.violations), 0, "%v", c.workers.violations)
	})
}
