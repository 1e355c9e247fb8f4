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

type rig struct {
	t       *testing.T
	agent   *plat.HTTP
	workers []fleet.Worker
	pool    *agent.Pool
}

func start(t *testing.T) *rig {
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
	r := &rig{t: t, agent: plat.NewHTTP(hs.URL), pool: pool}
	list, err := r.agent.List(t.Context())
	assert.NilError(t, err)
	r.workers = list.Hosts
	return r
}

func (r *rig) control(body string) string {
	rec := httptest.NewRecorder()
	r.pool.Control().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/control", strings.NewReader(body)))
	assert.Equal(r.t, rec.Code, http.StatusOK, rec.Body.String())
	return rec.Body.String()
}

func (r *rig) begin(w int, task string, attempt fleet.Attempt, s plat.StartRequest) error {
	s.TaskRef = plat.TaskRef{Task: fleet.TaskID(task), Attempt: attempt}
	if s.LeaseMS == 0 {
		s.LeaseMS = 60_000
	}
	return r.agent.Start(r.t.Context(), r.workers[w], s)
}

// await waits for a terminal report; the test's own timeout ends it.
func (r *rig) await(w int, epoch fleet.Epoch) plat.TaskStatus {
	for {
		s, err := r.agent.Status(r.t.Context(), r.workers[w], epoch)
		assert.NilError(r.t, err)
		for _, task := range s.Tasks {
			if task.State.Terminal() {
				return task
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func reason(t *testing.T, err error) string {
	var refused *plat.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	return refused.Reason
}

// An agent that obeys a former owner lets a task run in two places.
func TestWorkerRefusesLowerEpoch(t *testing.T) {
	r := start(t)
	assert.NilError(t, r.begin(0, "j/0", 1, plat.StartRequest{Epoch: 3}))
	_, err := r.agent.Status(t.Context(), r.workers[0], 5)
	assert.NilError(t, err)
	assert.Equal(t, reason(t, r.begin(0, "j/1", 1, plat.StartRequest{Epoch: 4})), plat.ReasonStaleEpoch)
	ref := plat.TaskRef{Task: "j/0", Attempt: 1}
	_, err = r.agent.Renew(t.Context(), r.workers[0], 4, time.Minute, []plat.TaskRef{ref})
	assert.Equal(t, reason(t, err), plat.ReasonStaleEpoch)
	_, err = r.agent.Stop(t.Context(), r.workers[0], 4, ref, true)
	assert.Equal(t, reason(t, err), plat.ReasonStaleEpoch)
	unknown, err := r.agent.Renew(t.Context(), r.workers[0], 5, time.Minute, []plat.TaskRef{ref, {Task: "j/1", Attempt: 1}})
	assert.NilError(t, err)
	assert.DeepEqual(t, unknown, []plat.TaskRef{{Task: "j/1", Attempt: 1}})
}

// A repeated start that runs again, or a report dropped before its acknowledgement, breaks exactly-once completion.
func TestAttemptRunsOnceAndKeepsItsReport(t *testing.T) {
	r := start(t)
	for range 2 {
		assert.NilError(t, r.begin(0, "j/0", 1, plat.StartRequest{RunMS: 30}))
	}
	done := r.await(0, 0)
	assert.Equal(t, done.State, plat.TaskSucceeded)
	assert.NilError(t, r.begin(0, "j/0", 1, plat.StartRequest{RunMS: 30}))
	assert.Equal(t, r.await(0, 0).State, plat.TaskSucceeded)
	assert.NilError(t, r.agent.Ack(t.Context(), r.workers[0], 0, []plat.TaskRef{done.TaskRef}))
	s, err := r.agent.Status(t.Context(), r.workers[0], 0)
	assert.NilError(t, err)
	assert.Equal(t, len(s.Tasks), 0)
	assert.Assert(t, strings.Contains(r.control(`{}`), `"starts":1`))
}

// Capacity that the agent does not enforce would hide an overcommitting scheduler from every test.
func TestWorkerRefusesMoreThanItsCapacity(t *testing.T) {
	r := start(t)
	half := fleet.Resources{MilliCPU: 2500}
	assert.NilError(t, r.begin(0, "j/0", 1, plat.StartRequest{Resources: half}))
	assert.Equal(t, reason(t, r.begin(0, "j/1", 1, plat.StartRequest{Resources: half})), plat.ReasonInsufficientResources)
}

// A resumed attempt that starts from zero loses the work before the eviction.
func TestCheckpointCarriesProgress(t *testing.T) {
	r := start(t)
	assert.NilError(t, r.begin(0, "j/0", 1, plat.StartRequest{RunMS: 3_600_000}))
	time.Sleep(20 * time.Millisecond)
	stopped, err := r.agent.Stop(t.Context(), r.workers[0], 0, plat.TaskRef{Task: "j/0", Attempt: 1}, true)
	assert.NilError(t, err)
	assert.Equal(t, stopped.State, plat.TaskStopped)
	assert.NilError(t, r.begin(1, "j/0", 2, plat.StartRequest{RunMS: 10, Checkpoint: stopped.Checkpoint}))
	assert.Equal(t, r.await(1, 0).State, plat.TaskSucceeded)
}

// A paused worker that continues a task after its lease lapsed would run it beside the next attempt.
func TestLeaseLapsesDuringPause(t *testing.T) {
	r := start(t)
	assert.NilError(t, r.begin(0, "j/0", 1, plat.StartRequest{RunMS: 200, LeaseMS: 50}))
	r.control(`{"workers":{"a-w0":{"paused":true}}}`)
	time.Sleep(80 * time.Millisecond)
	r.control(`{"workers":{"a-w0":{}}}`)
	assert.Equal(t, r.await(0, 0).State, plat.TaskExpired)
}

// Faults that have no effect would make every failure test pass.
func TestWorkerFaults(t *testing.T) {
	r := start(t)
	r.control(`{"workers":{"a-w0":{"fail_all":true}, "a-w1":{"dead":true}, "b-w0":{"list_state":"leaving"}, "b-w1":{"list_state":"gone"}}}`)
	assert.NilError(t, r.begin(0, "j/0", 1, plat.StartRequest{RunMS: 1000}))
	assert.Equal(t, r.await(0, 0).State, plat.TaskFailed)
	var unclear *plat.OutcomeUnknownError
	assert.Assert(t, errors.As(r.begin(1, "j/1", 1, plat.StartRequest{}), &unclear))
	for {
		list, err := r.agent.List(t.Context())
		assert.NilError(t, err)
		if len(list.Hosts) == 3 {
			assert.Equal(t, list.Hosts[2].State, fleet.HostLeaving)
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Interference that does not slow a task would give the placement model nothing to learn.
func TestPairedKindsSlowEachOther(t *testing.T) {
	r := start(t)
	r.control(`{"pairs":{"slowdowns":[{"kind":"x","by":"y","extra_permille":1000}]}}`)
	assert.NilError(t, r.begin(0, "j/0", 1, plat.StartRequest{Kind: "x", RunMS: 60_000}))
	assert.NilError(t, r.begin(0, "j/1", 1, plat.StartRequest{Kind: "y", RunMS: 60_000}))
	slow := func() [2]int {
		s, err := r.agent.Status(t.Context(), r.workers[0], 0)
		assert.NilError(t, err)
		return [2]int{s.Tasks[0].SlowdownPermille, s.Tasks[1].SlowdownPermille}
	}
	assert.Equal(t, slow(), [2]int{2000, 1000})
	assert.NilError(t, r.agent.Throttle(t.Context(), r.workers[0], 0, plat.TaskRef{Task: "j/1", Attempt: 1}, 500))
	assert.Equal(t, slow(), [2]int{1500, 1000})
}
