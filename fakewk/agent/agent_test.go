package agent_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
	"lovagefork.example/fakewk/agent"
)

type fixture struct {
	t       *testing.T
	agent   *plat.HTTP
	workers []fleet.Worker
	pool    *agent.Pool
}

func newFixture(t *testing.T) *fixture {
	handler := http.NewServeMux()
	hs := httptest.NewServer(handler)
	t.Cleanup(hs.Close)
	pool := agent.New(agent.Layout{
		Zones: []string{"a", "b"}, PerZone: 2, RackSize: 2, Slots: 8, Connections: 64,
		Capacity: fleet.Resources{MilliCPU: 4000, MemoryBytes: 1 << 30}, AgentURL: hs.URL,
		BackendURL: "http://127.0.0.1:{port}", BackendPort: 7000,
	}, 0)
	handler.Handle("/", pool.Handler())
	go pool.Run(t.Context())
	f := &fixture{t: t, agent: plat.NewHTTP(hs.URL), pool: pool}
	list, err := f.agent.List(t.Context())
	assert.NilError(t, err)
	f.workers = list.Hosts
	return f
}

func (f *fixture) control(body string) string {
	rec := httptest.NewRecorder()
	f.pool.Control().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/control", strings.NewReader(body)))
	assert.Equal(f.t, rec.Code, http.StatusOK, rec.Body.String())
	return rec.Body.String()
}

func (f *fixture) startTask(w int, task string, attempt fleet.Attempt, s plat.StartRequest) error {
	s.TaskRef = plat.TaskRef{Task: fleet.TaskID(task), Attempt: attempt}
	if s.LeaseMS == 0 {
		s.LeaseMS = 60_000
	}
	return f.agent.Start(f.t.Context(), f.workers[w], s)
}

// awaitTerminal polls the status until a task is in a terminal state. It has no limit besides the timeout of the test.
func (f *fixture) awaitTerminal(w int, epoch fleet.Epoch) plat.TaskStatus {
	for {
		s, err := f.agent.Status(f.t.Context(), f.workers[w], epoch)
		assert.NilError(f.t, err)
		for _, task := range s.Tasks {
			if task.State.Terminal() {
				return task
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func refusalReason(t *testing.T, err error) string {
	var refusedErr *plat.RefusedError
	assert.Assert(t, errors.As(err, &refusedErr), "%v", err)
	return refusedErr.Reason
}

// An agent that accepts commands of a former owner allows a task to run in two places.
func TestWorkerRefusesLowerEpoch(t *testing.T) {
	f := newFixture(t)
	assert.NilError(t, f.startTask(0, "j/0", 1, plat.StartRequest{Epoch: 3}))
	_, err := f.agent.Status(t.Context(), f.workers[0], 5)
	assert.NilError(t, err)
	assert.Equal(t, refusalReason(t, f.startTask(0, "j/1", 1, plat.StartRequest{Epoch: 4})), plat.ReasonStaleEpoch)
	ref := plat.TaskRef{Task: "j/0", Attempt: 1}
	_, err = f.agent.Renew(t.Context(), f.workers[0], 4, time.Minute, []plat.TaskRef{ref})
	assert.Equal(t, refusalReason(t, err), plat.ReasonStaleEpoch)
	_, err = f.agent.Stop(t.Context(), f.workers[0], 4, ref, true)
	assert.Equal(t, refusalReason(t, err), plat.ReasonStaleEpoch)
	unknown, err := f.agent.Renew(t.Context(), f.workers[0], 5, time.Minute, []plat.TaskRef{ref, {Task: "j/1", Attempt: 1}})
	assert.NilError(t, err)
	assert.DeepEqual(t, unknown, []plat.TaskRef{{Task: "j/1", Attempt: 1}})
}

// A repeated start that runs the attempt again, or a report discarded before it is acknowledged, breaks exactly-once
// completion.
func TestAttemptRunsOnceAndReportIsKept(t *testing.T) {
	f := newFixture(t)
	for range 2 {
		assert.NilError(t, f.startTask(0, "j/0", 1, plat.StartRequest{RunMS: 30}))
	}
	done := f.awaitTerminal(0, 0)
	assert.Equal(t, done.State, plat.TaskSucceeded)
	assert.NilError(t, f.startTask(0, "j/0", 1, plat.StartRequest{RunMS: 30}))
	assert.Equal(t, f.awaitTerminal(0, 0).State, plat.TaskSucceeded)
	assert.NilError(t, f.agent.Ack(t.Context(), f.workers[0], 0, []plat.TaskRef{done.TaskRef}))
	s, err := f.agent.Status(t.Context(), f.workers[0], 0)
	assert.NilError(t, err)
	assert.Equal(t, len(s.Tasks), 0)
	assert.Assert(t, strings.Contains(f.control(`{}`), `"starts":1`))
}

// Without enforced capacity no test would detect a scheduler that overcommits workers.
func TestWorkerRefusesMoreThanItsCapacity(t *testing.T) {
	f := newFixture(t)
	moreThanHalf := fleet.Resources{MilliCPU: 2500}
	assert.NilError(t, f.startTask(0, "j/0", 1, plat.StartRequest{Resources: moreThanHalf}))
	assert.Equal(t, refusalReason(t, f.startTask(0, "j/1", 1, plat.StartRequest{Resources: moreThanHalf})), plat.ReasonInsufficientResources)
}

// A resumed attempt that ignores the checkpoint loses the progress made before the eviction.
func TestCheckpointKeepsProgress(t *testing.T) {
	f := newFixture(t)
	assert.NilError(t, f.startTask(0, "j/0", 1, plat.StartRequest{RunMS: 3_600_000}))
	time.Sleep(20 * time.Millisecond)
	stopped, err := f.agent.Stop(t.Context(), f.workers[0], 0, plat.TaskRef{Task: "j/0", Attempt: 1}, true)
	assert.NilError(t, err)
	assert.Equal(t, stopped.State, plat.TaskStopped)
	assert.NilError(t, f.startTask(1, "j/0", 2, plat.StartRequest{RunMS: 10, Checkpoint: stopped.Checkpoint}))
	assert.Equal(t, f.awaitTerminal(1, 0).State, plat.TaskSucceeded)
}

// A worker that continues a task after a pause in which the task lease expired runs it concurrently with the next
// attempt.
func TestLeaseExpiresDuringPause(t *testing.T) {
	f := newFixture(t)
	assert.NilError(t, f.startTask(0, "j/0", 1, plat.StartRequest{RunMS: 200, LeaseMS: 50}))
	f.control(`{"workers":{"a-w0":{"paused":true}}}`)
	time.Sleep(80 * time.Millisecond)
	f.control(`{"workers":{"a-w0":{}}}`)
	assert.Equal(t, f.awaitTerminal(0, 0).State, plat.TaskExpired)
}

// Tests of failures would pass without testing anything if the injected faults had no effect.
func TestWorkerFaults(t *testing.T) {
	f := newFixture(t)
	f.control(`{"workers":{"a-w0":{"fail_all":true}, "a-w1":{"dead":true}, "b-w0":{"list_state":"leaving"}, "b-w1":{"list_state":"gone"}}}`)
	assert.NilError(t, f.startTask(0, "j/0", 1, plat.StartRequest{RunMS: 1000}))
	assert.Equal(t, f.awaitTerminal(0, 0).State, plat.TaskFailed)
	var unknownOutcome *plat.OutcomeUnknownError
	assert.Assert(t, errors.As(f.startTask(1, "j/1", 1, plat.StartRequest{}), &unknownOutcome))
	for {
		list, err := f.agent.List(t.Context())
		assert.NilError(t, err)
		if len(list.Hosts) == 3 {
			assert.Equal(t, list.Hosts[2].State, fleet.HostLeaving)
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Without emulated interference the interference model of the placement would be untested.
func TestKindSlowdowns(t *testing.T) {
	f := newFixture(t)
	f.control(`{"pairs":{"slowdowns":[{"kind":"x","by":"y","extra_permille":1000}]}}`)
	assert.NilError(t, f.startTask(0, "j/0", 1, plat.StartRequest{Kind: "x", RunMS: 60_000}))
	assert.NilError(t, f.startTask(0, "j/1", 1, plat.StartRequest{Kind: "y", RunMS: 60_000}))
	slowdowns := func() [2]int {
		s, err := f.agent.Status(t.Context(), f.workers[0], 0)
		assert.NilError(t, err)
		return [2]int{s.Tasks[0].SlowdownPermille, s.Tasks[1].SlowdownPermille}
	}
	assert.Equal(t, slowdowns(), [2]int{2000, 1000})
	assert.NilError(t, f.agent.Throttle(t.Context(), f.workers[0], 0, plat.TaskRef{Task: "j/1", Attempt: 1}, 500))
	assert.Equal(t, slowdowns(), [2]int{1500, 1000})
}
