package batch_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/plat"
	"lovagefork.example/entryd/batch"
)

// Guards against tasks on lost workers that wait without end: an owner whose session lapses and that claims its partition again
// waited anew for the leases of a former owner, and for its own.
func TestWaitForLeasesEndsBesideStoreOutages(t *testing.T) {
	const horizon = 5 * time.Minute
	for _, c := range []struct {
		name  string
		owner fleet.EntryHostID
		wait  time.Duration
	}{
		{"owner and workers are lost together", "e2", horizon + jobs.TaskLeaseTTL},
		{"only the workers are lost", "e1", jobs.TaskLeaseTTL},
	} {
		t.Run(c.name, func(t *testing.T) { testWaitBesideStoreOutages(t, c.owner, horizon, c.wait) })
	}
}

func testWaitBesideStoreOutages(t *testing.T, owner fleet.EntryHostID, horizon, wait time.Duration) {
	withCluster(t, 2, func(t *testing.T, c *cluster) {
		p := c.start("e1", "b", batch.WithOutageHorizon(horizon))
		if owner == "e2" {
			// The workers of zone a belong to a process in another zone, if there is one.
			c.kill("e1")
			p = c.start("e1", "a", batch.WithOutageHorizon(horizon))
			c.start("e2", "b", batch.WithOutageHorizon(horizon))
		}
		time.Sleep(30 * time.Second)
		const count = 4
		for i := range count {
			p.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("j%d", i), "standard", 2, 60_000))
		}
		time.Sleep(5 * time.Second)
		onLost := func(s plat.StartRequest) bool {
			return c.workers.byID["a0"].attempts[s.TaskRef] != nil || c.workers.byID["a1"].attempts[s.TaskRef] != nil
		}
		assert.Assert(t, c.workers.running(onLost) > 0, "no task on the workers that are lost")
		if owner == "e2" {
			c.kill("e2")
		}
		c.workers.setUnreachable("a")
		p.set(func(p *process) { p.cutWorkers = "a" })
		p.runtime.ObserveFleet(slices.DeleteFunc(workers(2), func(w fleet.Worker) bool { return w.Zone == "a" }))
		// Each minute the store is away for longer than a session lasts. The tasks need another minute in the other zone.
		const slack = 4 * time.Minute
		for end := time.Now().Add(wait + slack); time.Now().Before(end); {
			time.Sleep(45 * time.Second)
			c.store.setDown(true, true)
			time.Sleep(15 * time.Second)
			c.store.setDown(false, true)
		}
		time.Sleep(20 * time.Second)
		for i := range count {
			_, v := p.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/j%d/explain", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v\n%s", v, c.logs)
		}
	})
}

// Guards against an end that is given up although its worker answers again: an owner that claimed its partition again ended the
// attempts on silent workers before it had asked them.
func TestSilentWorkerIsAskedAfterStoreOutage(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *cluster) {
		p := c.start("e1", "b", batch.WithOutageHorizon(5*time.Minute))
		time.Sleep(10 * time.Second)
		const count = 4
		for i := range count {
			p.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("j%d", i), "standard", 2, 20_000))
		}
		time.Sleep(5 * time.Second)
		c.store.setDown(true, true)
		p.set(func(p *process) { p.cutWorkers = "a" })
		time.Sleep(2 * time.Minute)
		c.store.setDown(false, true)
		time.Sleep(5 * time.Second)
		p.set(func(p *process) { p.cutWorkers = "" })
		time.Sleep(20 * time.Second)
		for i := range count {
			_, v := p.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/j%d", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v\n%s", v, c.logs)
			for _, task := range v.Tasks {
				assert.Equal(t, task.Attempt, fleet.Attempt(1), "%+v", task)
			}
		}
	})
}
