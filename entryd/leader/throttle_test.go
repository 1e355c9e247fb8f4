package leader_test

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
	"lovagefork.example/entryd/leader"
)

// stalledClient fails renewals of the lease after failAfter, and after stallAfter answers one only once released is closed. The
// lease holds all the while, as in a store that pauses leases.
type stalledClient struct {
	client
	began    func() time.Time
	released chan struct{}
}

const (
	failAfter  = time.Second
	stallAfter = 6 * time.Second
)

// KeepAlive implements [store.Client].
func (c stalledClient) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	c.m.mu.Lock()
	c.m.leases[id] = time.Now().Add(time.Minute)
	c.m.mu.Unlock()
	switch since := time.Since(c.began()); {
	case since < failAfter:
		return c.client.KeepAlive(ctx, id)
	case since < stallAfter:
		return 0, &store.OutcomeUnknownError{Op: "keep", Cause: errNoAnswer}
	}
	<-c.released
	return c.client.KeepAlive(ctx, id)
}

// throttledAgents are workers without runs, except for z, which answers once reported is closed that it runs a filler.
type throttledAgents struct {
	idleAgents
	filler    infra.TaskID
	reported  chan struct{}
	throttled chan infra.ThrottleOrder
}

func (a throttledAgents) Renew(ctx context.Context, to infra.AgentAddress, o infra.RenewOrder) (infra.Report, error) {
	report, err := a.idleAgents.Renew(ctx, to, o)
	if to.Worker == "z" {
		<-a.reported
		report.Running = []infra.ActiveRun{{Task: a.filler, Run: 1}}
	}
	return report, err
}

func (throttledAgents) Start(context.Context, infra.AgentAddress, infra.StartOrder) (int64, error) {
	return time.Now().UnixMilli(), nil
}

func (throttledAgents) Stop(context.Context, infra.AgentAddress, infra.StopOrder) (int64, error) {
	return time.Now().UnixMilli(), nil
}

func (a throttledAgents) Throttle(_ context.Context, _ infra.AgentAddress, o infra.ThrottleOrder) error {
	a.throttled <- o
	return nil
}

// Guards against a filler that keeps a wrong speed (HARM, LATE): a throttle order was dropped while the leader could not confirm
// its lease, and counted as carried out when the leadership went on.
func TestThrottleThatWasNotSentIsRepeated(t *testing.T) {
	t.Parallel()
	m := newMemStore()
	// Without the answers of most workers, the leadership ends with its lease.
	for _, id := range []string{"a", "b", "z"} {
		put(t, m, "workers/"+id, []byte(id+":1"))
	}
	put(t, m, "lovagefork/roster", encode(t, []flow.RosterEntry{{Worker: "a", Address: "a:1"}, {Worker: "b", Address: "b:1"}, {Worker: "z", Address: "z:1"}}))
	job := poolJob("filler")
	job.Steps[0].Filler, job.Steps[0].Image = true, "image"
	data, err := leader.EncodeJob(job)
	assert.NilError(t, err)
	put(t, m, leader.JobKey("filler"), data)
	c := stalledClient{client: client{m, "a"}, began: sync.OnceValue(time.Now), released: make(chan struct{})}
	agents := throttledAgents{filler: infra.TaskID{Job: "filler"}, reported: make(chan struct{}), throttled: make(chan infra.ThrottleOrder, 100)}
	release := sync.OnceFunc(func() { close(c.released) })
	report := sync.OnceFunc(func() { close(agents.reported) })
	log := &logBuffer{}
	logger := slog.New(slog.NewJSONHandler(log, nil))
	s := leader.NewScheduler(leader.Deps{
		Store: c, Agents: agents, Format: strictFormat{}, Bounds: infra.Bounds{MaxLease: 6 * time.Second, StatusRetention: time.Minute},
		Log: logger, Decisions: logger, Metrics: metrics.NewRegistry(),
		Supersede: func(context.Context, fleet.EntryHostID, infra.Token) (time.Duration, bool) { return 0, false },
	})
	runGroup(t, leader.NewGroup("a", "a:1", c, logger, s.Run, func(fleet.EntryHostID, string) {}, func(leader.Leader) {}))
	t.Cleanup(func() { release(); report() })
	isValid := func() bool { return s.Query(t.Context(), func(*flow.Machine) {}) }
	waitFor(t, "leadership", isValid)
	waitFor(t, "end of the time without the store", func() bool { return !isValid() })
	report()
	waitFor(t, "an order", func() bool {
		log.mu.Lock()
		defer log.mu.Unlock()
		return strings.Contains(log.text.String(), `"msg":"scheduler: throttle"`)
	})
	// The order to pause the adopted filler may be followed by one to resume it.
	time.Sleep(time.Second)
	assert.Equal(t, len(agents.throttled), 0, "an order was sent without a valid leadership")
	release()
	waitFor(t, "confirmed leadership", isValid)
	for speed := 0; speed < 100; {
		speed = receive(t, "repeated order", agents.throttled).SpeedPercent
	}
}
