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
	perZone = 1
	// testHorizon is shorter than the real one, because every virtual second costs ticks.
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

// world is a few entry processes with one store and one fleet.
type world struct {
	kv    *kv
	fleet *machines
	log   *slog.Logger
	logs  *bytes.Buffer

	mu    sync.Mutex
	procs map[fleet.EntryHostID]*proc
	boots int
}

// proc is one entry process; its calls wait while it is paused.
type proc struct {
	world   *world
	host    fleet.EntryHostID
	runtime *batch.Runtime
	router  *mux.Router
	ctx     context.Context
	cancel  context.CancelFunc
	ended   chan struct{}
	inbox   chan func()

	mu     sync.Mutex
	paused chan struct{}
	// alone cuts the process off from the store, and apart from the workers whose names begin so.
	alone bool
	apart string
}

func newWorld(perZone int) *world {
	var logs bytes.Buffer
	return &world{
		logs: &logs,
		kv:   newKV(), fleet: newMachines(workers(perZone)), procs: map[fleet.EntryHostID]*proc{},
		log: slog.New(slog.NewTextHandler(&logs, nil)),
	}
}

func (w *world) start(host fleet.EntryHostID, zone fleet.AvailabilityZone, opts ...batch.Option) *proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boots++
	p := &proc{world: w, host: host, router: mux.NewRouter(), ended: make(chan struct{}), inbox: make(chan func(), 4096)}
	self := wire.Hello{EntryHost: host, Zone: zone, Boot: fleet.BootID(fmt.Sprint(w.boots))}
	p.runtime = batch.New(batch.Deps{
		Self: self, Partitions: fleet.Partitions(zones, perZone), PartitionsPerZone: perZone,
		Store: gatedStore{w.kv, p}, Agent: gatedAgent{w.fleet, p}, Peers: p, Log: w.log.With("at", host),
	}, append([]batch.Option{batch.WithOutageHorizon(testHorizon)}, opts...)...)
	p.runtime.Register(p.router)
	var list []fleet.Worker
	for _, b := range w.fleet.boxes {
		list = append(list, b.info)
	}
	p.runtime.ObserveFleet(list)
	ctx, cancel := context.WithCancel(context.Background())
	p.ctx, p.cancel = ctx, cancel
	go p.deliver(ctx)
	go func() {
		_ = p.runtime.Run(ctx)
		close(p.ended)
	}()
	w.procs[host] = p
	return p
}

// kill ends a process without any farewell to the store.
func (w *world) kill(host fleet.EntryHostID) {
	w.mu.Lock()
	p := w.procs[host]
	delete(w.procs, host)
	w.mu.Unlock()
	if p != nil {
		p.resume()
		p.cancel()
		<-p.ended
	}
}

func (w *world) stop() {
	for _, host := range []fleet.EntryHostID{"e1", "e2", "e3"} {
		w.kill(host)
	}
}

func (p *proc) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil {
		p.paused = make(chan struct{})
	}
}

func (p *proc) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// gate holds a call back while the process is paused.
func (p *proc) gate() {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (p *proc) Call(ctx context.Context, to fleet.EntryHostID, m wire.Message) (wire.Message, error) {
	p.world.mu.Lock()
	other := p.world.procs[to]
	p.world.mu.Unlock()
	if other == nil {
		return nil, &peers.LinkError{Peer: to, NotSent: true, Cause: errFake}
	}
	return other.runtime.HandlePeer(ctx, p.host, m), nil
}

func (p *proc) Send(to fleet.EntryHostID, m wire.Message) error {
	p.world.mu.Lock()
	other := p.world.procs[to]
	p.world.mu.Unlock()
	if other == nil {
		return &peers.LinkError{Peer: to, NotSent: true, Cause: errFake}
	}
	other.inbox <- func() { other.runtime.HandlePeer(context.Background(), p.host, m) }
	return nil
}

// deliver takes one-way messages in the order in which they were sent, as a link does.
func (p *proc) deliver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case take := <-p.inbox:
			take()
		}
	}
}

func (p *proc) Broadcast(m wire.Message) {
	for _, other := range p.world.others(p) {
		go other.runtime.HandlePeer(context.Background(), p.host, m)
	}
}

func (w *world) others(p *proc) []*proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*proc
	for _, o := range w.procs {
		if o != p {
			all = append(all, o)
		}
	}
	return all
}

type gatedStore struct {
	*kv
	proc *proc
}

func (p *proc) set(change func(*proc)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *proc) store() error {
	p.gate()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.alone {
		return &store.NotSentError{Op: "any", Cause: errFake}
	}
	return nil
}

func (p *proc) worker(w fleet.Worker) error {
	p.gate()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.apart != "" && strings.HasPrefix(string(w.ID), p.apart) {
		return &plat.UnreachableError{Worker: w.ID, Op: "any", Cause: errFake}
	}
	return nil
}

func (s gatedStore) Txn(ctx context.Context, t store.Txn) (store.TxnResult, error) {
	if err := s.proc.store(); err != nil {
		return store.TxnResult{}, err
	}
	r, err := s.kv.Txn(ctx, t)
	s.proc.gate()
	return r, err
}

func (s gatedStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.proc.store(); err != nil {
		return 0, err
	}
	return s.kv.Grant(ctx, ttl)
}

func (s gatedStore) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if err := s.proc.store(); err != nil {
		return 0, err
	}
	left, err := s.kv.KeepAlive(ctx, id)
	s.proc.gate()
	return left, err
}

type gatedAgent struct {
	*machines
	proc *proc
}

func (a gatedAgent) Start(ctx context.Context, w fleet.Worker, s plat.StartRequest) error {
	if err := a.proc.worker(w); err != nil {
		return err
	}
	return a.machines.Start(ctx, w, s)
}

func (a gatedAgent) Renew(ctx context.Context, w fleet.Worker, e fleet.Epoch, l time.Duration, t []plat.TaskRef) ([]plat.TaskRef, error) {
	if err := a.proc.worker(w); err != nil {
		return nil, err
	}
	return a.machines.Renew(ctx, w, e, l, t)
}

func (a gatedAgent) Status(ctx context.Context, w fleet.Worker, e fleet.Epoch) (plat.WorkerStatus, error) {
	if err := a.proc.worker(w); err != nil {
		return plat.WorkerStatus{}, err
	}
	return a.machines.Status(ctx, w, e)
}

func (a gatedAgent) Stop(ctx context.Context, w fleet.Worker, e fleet.Epoch, t plat.TaskRef, c bool) (plat.TaskStatus, error) {
	if err := a.proc.worker(w); err != nil {
		return plat.TaskStatus{}, err
	}
	return a.machines.Stop(ctx, w, e, t, c)
}

// raw sends a request to a process.
func (p *proc) raw(method, path, body string) (int, string) {
	w := httptest.NewRecorder()
	p.router.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

// do sends a request to a process and decodes the job in its answer.
func (p *proc) do(method, path, body string) (int, jobs.View) {
	status, text := p.raw(method, path, body)
	var v jobs.View
	_ = json.Unmarshal([]byte(text), &v)
	return status, v
}

func jobBody(id, class string, tasks int, runMS int64) string {
	return fmt.Sprintf(`{"job_id":%q,"customer":"c","class":%q,"tasks":%d,"resources":{"milli_cpu":1000},"estimated_run_ms":%d}`,
		id, class, tasks, runMS)
}

// A job that is accepted must start, finish and be reported at every entry process.
func TestJobRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		defer w.stop()
		p, other := w.start("e1", "a"), w.start("e2", "b")
		time.Sleep(5 * time.Second)
		code, _ := p.do(http.MethodPost, "/v1/jobs", jobBody("j1", "standard", 12, 3000))
		assert.Equal(t, code, http.StatusCreated)
		code, _ = other.do(http.MethodPost, "/v1/jobs", jobBody("j1", "standard", 12, 3000))
		assert.Equal(t, code, http.StatusOK)
		time.Sleep(20 * time.Second)
		code, v := other.do(http.MethodGet, "/v1/jobs/j1", "")
		assert.Equal(t, code, http.StatusOK)
		assert.Equal(t, v.State, jobs.StateSucceeded, "%+v", v)
		assert.Equal(t, w.fleet.starts, 12)
		assert.Equal(t, len(w.fleet.faults), 0, "%v", w.fleet.faults)
	})
}
