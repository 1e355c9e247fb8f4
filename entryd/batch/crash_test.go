package batch_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
)

// maxCrashes is the number of workers that one task may crash before it is given up.
const maxCrashes = 3

// maxSharedCrashes is the same number if many workers crash at the same time.
const maxSharedCrashes = 10

// A task that crashes each worker on which it starts must not be retried for ever: an attempt that was lost with its
// worker counted as no failure. It must be given up after three crashes, also if its owner changes in between, and the
// tasks that were lost with it must complete.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	t.Run("while it runs", func(t *testing.T) { testCrashingTask(t, time.Second) })
	t.Run("as it starts", func(t *testing.T) { testCrashingTask(t, 0) })
}

func testCrashingTask(t *testing.T, after time.Duration) {
	withCluster(t, 4, func(t *testing.T, c *cluster) {
		c.workers.crashingKinds["crashing"] = after
		p := c.start("e1", "a")
		other := c.start("e2", "b")
		time.Sleep(5 * time.Second)
		crashing := `{"kind":"crashing","max_attempts":5,` + jobBody("crashing", "standard", 2, 10_000)[1:]
		p.requestJob(http.MethodPost, "/v1/jobs", crashing)
		for i := range 4 {
			p.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("j%d", i), "standard", 5, 60_000))
		}
		time.Sleep(6 * time.Second)
		c.kill("e1")
		time.Sleep(20 * time.Minute)
		_, v := other.requestJob(http.MethodGet, "/v1/jobs/crashing/explain", "")
		assert.Equal(t, v.State, jobs.StateFailed, "%+v\n%s", v, c.logs)
		for _, task := range v.Tasks {
			assert.Assert(t, strings.Contains(task.Reason, "workers crashed"), "%+v", task)
			// One attempt more may be lost while no owner watches it.
			assert.Assert(t, c.workers.startsByTask[task.Task] <= maxCrashes+1, "%d starts of %s", c.workers.startsByTask[task.Task], task.Task)
		}
		for i := range 4 {
			_, v := other.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/j%d/explain", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v\n%s", v, c.logs)
		}
	})
}

// Tasks of several jobs that crash their workers at the same time look like a power failure. Each of them must be given
// up all the same, after ten crashes at the latest.
func TestManyTasksThatCrashWorkersAreGivenUp(t *testing.T) {
	withCluster(t, 8, func(t *testing.T, c *cluster) {
		c.workers.crashingKinds["crashing"] = time.Second
		p := c.start("e1", "a")
		time.Sleep(5 * time.Second)
		const n = 12
		for i := range n {
			p.requestJob(http.MethodPost, "/v1/jobs", `{"kind":"crashing",`+jobBody(fmt.Sprintf("crashing%d", i), "standard", 1, 10_000)[1:])
			p.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("j%d", i), "standard", 2, 20_000))
		}
		time.Sleep(20 * time.Minute)
		for i := range n {
			_, v := p.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/crashing%d/explain", i), "")
			assert.Equal(t, v.State, jobs.StateFailed, "%+v", v)
			starts := c.workers.startsByTask[v.Tasks[0].Task]
			assert.Assert(t, starts <= maxSharedCrashes, "%d starts of %s", starts, v.Tasks[0].Task)
			_, v = p.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/j%d/explain", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v", v)
		}
	})
}

// Workers that crash at the same time have another cause than the tasks on them. Tasks must survive such crashes.
func TestSimultaneousCrashesAreNoEvidence(t *testing.T) {
	withCluster(t, 8, func(t *testing.T, c *cluster) {
		p := c.start("e1", "a")
		time.Sleep(5 * time.Second)
		const n = 24
		for i := range n {
			p.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("j%d", i), "standard", 2, 90_000))
		}
		for range maxSharedCrashes - 1 {
			time.Sleep(40 * time.Second)
			var ids []fleet.WorkerID
			for id := range c.workers.byID {
				ids = append(ids, id)
			}
			for _, id := range ids {
				c.workers.reboot(id)
			}
		}
		time.Sleep(20 * time.Minute)
		for i := range n {
			_, v := p.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/j%d/explain", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v", v)
		}
	})
}
