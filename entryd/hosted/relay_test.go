package hosted_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/hosted"
	"lovagefork.example/entryd/leader"
	"lovagefork.example/entryd/peers"
)

// jobStore holds one job. A read waits until release is closed, unless that is nil.
type jobStore struct {
	store.Client
	job     infra.Job
	err     error
	release chan struct{}

	mu    sync.Mutex
	reads int
}

func (s *jobStore) Range(context.Context, store.Get) (store.RangeResult, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	if s.release != nil {
		<-s.release
	}
	data, err := leader.EncodeJob(s.job)
	if err != nil {
		return store.RangeResult{}, err
	}
	return store.RangeResult{Entries: []store.Entry{{Key: leader.JobKey(s.job.ID), Value: data}}}, s.err
}

// startAgents answers starts with err, or with a clock, and records them.
type startAgents struct {
	infra.Agents
	err error

	mu     sync.Mutex
	orders []infra.StartOrder
}

func (a *startAgents) Start(_ context.Context, to infra.AgentAddress, o infra.StartOrder) (int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if to != worker {
		return 0, fmt.Errorf("unexpected worker %v", to)
	}
	a.orders = append(a.orders, o)
	return 42, a.err
}

func (a *startAgents) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.orders)
}

var worker = infra.AgentAddress{Worker: "w", HostPort: "10.0.0.1:80"}

// relayFixture is a relay e2 and a client of it on e1.
type relayFixture struct {
	store  *jobStore
	agents *startAgents
	group  *leader.Group
	client *hosted.RelayClient
	meshes [2]*peers.Mesh
}

// newRelayFixture links the two hosts; intercept handles the messages to e2 before the relay does, unless it is nil.
func newRelayFixture(t *testing.T, intercept peers.Handler) *relayFixture {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	f := &relayFixture{store: &jobStore{job: job()}, agents: &startAgents{}}
	roster := make(map[fleet.EntryHostID]string)
	var servers [2]*httptest.Server
	for i, id := range []fleet.EntryHostID{"e1", "e2"} {
		servers[i] = httptest.NewUnstartedServer(nil)
		roster[id] = servers[i].Listener.Addr().String()
		f.meshes[i] = peers.New(wire.Hello{EntryHost: id}, roster, log)
		servers[i].Config.Handler = f.meshes[i]
	}
	if intercept != nil {
		f.meshes[1].AddHandler(intercept)
	}
	noHost, noLeader := func(fleet.EntryHostID, string) {}, func(leader.Leader) {}
	f.group = leader.NewGroup("e2", "e2:1", f.store, log, func(context.Context, *leader.Leadership) {}, noHost, noLeader)
	intake := hosted.NewIntake("e2", f.store, log, hosted.WithScheduler(f.group, nil))
	f.meshes[1].AddHandler(hosted.NewRelay(intake, f.agents, 0, metrics.NewRegistry(), log).HandleMessage)
	f.meshes[1].AddHandler(intake.HandleMessage)
	hosts := []leader.Host{{ID: "e2", Capacity: leader.Capacity{LinkBitsPerSecond: 10_000_000}}, {ID: "e3"}}
	f.client = hosted.NewRelayClient(f.meshes[0], func() []leader.Host { return hosts }, metrics.NewRegistry())
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range servers {
		servers[i].Start()
		wg.Go(func() { f.meshes[i].Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		for _, s := range servers {
			s.CloseClientConnections()
			s.Close()
		}
	})
	waitUntil(t, "link", func() bool { return len(f.meshes[0].LinkedPeers()) == 1 })
	return f
}

func relayedOrder(index int) infra.StartOrder {
	return infra.StartOrder{
		Task: infra.TaskID{Job: job().ID, Occurrence: 3, Step: 1, Index: index}, Run: 1001, Spec: job().Spec, Checkpoint: "c", Ticket: "t",
		Deadline: 77, Token: 5,
	}
}

func (f *relayFixture) start(t *testing.T) (int64, error) {
	return f.client.Start(t.Context(), "e2", worker, relayedOrder(0))
}

// assertNotSent checks that a start has certainly not been sent.
func (f *relayFixture) assertNotSent(t *testing.T, err error) {
	t.Helper()
	var relayErr *flow.RelayError
	assert.Assert(t, errors.As(err, &relayErr) && relayErr.NotSent, "%v", err)
	assert.Equal(t, f.agents.count(), 0)
}

// The worker must receive what the scheduler has ordered, with the spec, which only the relay reads, and only once for all
// starts of a job.
func TestRelayAddsTheSpec(t *testing.T) {
	f := newRelayFixture(t, nil)
	f.store.release = make(chan struct{})
	assert.DeepEqual(t, f.client.Available(t.Context()), []flow.Relay{{EntryHost: "e2", LinkBitsPerSecond: 10_000_000}})
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			clock, err := f.client.Start(t.Context(), "e2", worker, relayedOrder(i))
			assert.Check(t, err)
			assert.Check(t, clock == 42)
		})
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, f.agents.count(), 0)
	close(f.store.release)
	wg.Wait()
	assert.Equal(t, f.agents.count(), 20)
	assert.Equal(t, f.store.reads, 1)
	for _, o := range f.agents.orders {
		assert.DeepEqual(t, o, relayedOrder(o.Task.Index))
	}
}

// A start that may have reached the worker must never be reported as not sent (TWICE), and one that it refused not as unknown.
func TestRelayReportsTheOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		err   error
		check func(error) bool
	}{
		"refused": {&infra.RefusedError{Worker: "w", Reason: infra.ReasonNoRoom, Clock: 9}, func(err error) bool {
			var e *infra.RefusedError
			return errors.As(err, &e) && e.Reason == infra.ReasonNoRoom && e.Clock == 9
		}},
		"not connected": {&infra.NotSentError{Worker: "w", ConnRefused: true, Cause: errNoWorker}, func(err error) bool {
			// Only the scheduler's own connections tell whether a worker is gone.
			var e *infra.NotSentError
			return errors.As(err, &e) && !e.ConnRefused
		}},
		"no answer": {&infra.NoAnswerError{Worker: "w", Cause: errNoWorker}, func(err error) bool {
			var e *infra.NoAnswerError
			return errors.As(err, &e)
		}},
		"odd error": {errNoWorker, func(err error) bool {
			var e *infra.NoAnswerError
			return errors.As(err, &e)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRelayFixture(t, nil)
			f.client.Available(t.Context())
			f.agents.err = c.err
			_, err := f.start(t)
			assert.Assert(t, c.check(err), "%v", err)
			assert.Equal(t, f.agents.count(), 1)
		})
	}
}

var errNoWorker = errors.New("no answer")

// A relay knows of a newer scheduler, cannot read the spec, or is too late: the worker must not get the start.
func TestRelayDoesNotSend(t *testing.T) {
	for name, hinder := range map[string]func(*relayFixture){
		"newer scheduler":   func(f *relayFixture) { f.group.Observe(leader.Leader{EntryHost: "e3", Token: 6}) },
		"store unreachable": func(f *relayFixture) { f.store.err = &store.NotSentError{Cause: errNoWorker} },
		"other spec":        func(f *relayFixture) { f.store.job.Spec = "another" },
		"slow store": func(f *relayFixture) {
			f.store.release = make(chan struct{})
			time.AfterFunc(time.Second, func() { close(f.store.release) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRelayFixture(t, nil)
			f.client.Available(t.Context())
			hinder(f)
			_, err := f.start(t)
			f.assertNotSent(t, err)
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, f.agents.count(), 0)
		})
	}
}

// A start that waits in a relay that is suspended must not be sent when that resumes: a worker that has restarted meanwhile does
// not know that the start is late (TWICE).
func TestStartThatReachesARelayLateIsNotSent(t *testing.T) {
	resumed := make(chan struct{})
	f := newRelayFixture(t, func(_ context.Context, _ fleet.EntryHostID, m wire.Message) wire.Message {
		if _, ok := m.(wire.RelayedStart); ok {
			<-resumed
		}
		return nil
	})
	f.client.Available(t.Context())
	_, err := f.start(t)
	var relayErr *flow.RelayError
	assert.Assert(t, errors.As(err, &relayErr) && !relayErr.NotSent, "%v", err)
	close(resumed)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, f.agents.count(), 0)
}

// A link that breaks after a start was sent to the relay leaves it unknown whether the worker gets it.
func TestLinkThatBreaksLeavesTheStartUnknown(t *testing.T) {
	var f *relayFixture
	f = newRelayFixture(t, func(_ context.Context, _ fleet.EntryHostID, m wire.Message) wire.Message {
		if _, ok := m.(wire.RelayedStart); ok {
			f.meshes[0].Close()
		}
		return nil
	})
	f.client.Available(t.Context())
	_, err := f.start(t)
	var relayErr *flow.RelayError
	assert.Assert(t, errors.As(err, &relayErr) && !relayErr.NotSent, "%v", err)
}

// Clocks of hosts that were started anew begin anew, so that the time by which a start must be sent means nothing to another
// process.
func TestStartForAFormerProcessIsNotSent(t *testing.T) {
	f := newRelayFixture(t, nil)
	resp, err := f.meshes[0].Call(t.Context(), "e2", wire.RelayedStart{Process: 1, Until: leader.Now().Add(time.Hour).UnixMilli(), Job: job().ID, Token: 9})
	assert.NilError(t, err)
	assert.DeepEqual(t, resp, wire.RelayedStartResponse{Outcome: wire.RelayRestarted})
	assert.Equal(t, f.agents.count(), 0)
}

// An entry process of an earlier version breaks the link when it gets a message of a kind that it does not know.
func TestPeerOfAnEarlierVersionIsNoRelay(t *testing.T) {
	f := newRelayFixture(t, func(_ context.Context, _ fleet.EntryHostID, m wire.Message) wire.Message {
		if _, ok := m.(wire.HostedRequest); ok {
			return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: "unknown question"}
		}
		return nil
	})
	assert.Equal(t, len(f.client.Available(t.Context())), 0)
	_, err := f.start(t)
	f.assertNotSent(t, err)
}
