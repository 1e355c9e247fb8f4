package batch_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/plat"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/batch"
)

// withCluster runs a test in virtual time and checks at its end that the fake workers recorded no violation.
func withCluster(t *testing.T, workersPerZone int, run func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(workersPerZone)
		defer c.stop()
		run(t, c)
		c.workers.mu.Lock()
		defer c.workers.mu.Unlock()
		assert.Equal(t, len(c.workers.violations), 0, "%v\n%s", c.workers.violations, c.logs)
	})
}

// running returns the number of running attempts that match.
func (f *fakeWorkers) running(match func(plat.StartRequest) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, fw := range f.byID {
		f.updateAttempts(fw)
		for _, r := range fw.attempts {
			if r.state == plat.TaskRunning && match(r.start) {
				n++
			}
		}
	}
	return n
}

func isJob(id string) func(plat.StartRequest) bool {
	return func(s plat.StartRequest) bool { return strings.HasPrefix(string(s.Task), id+"/") }
}

// Guards against error responses that do not name the cause, or do not state that nothing was run: a caller could then
// not tell whether to repeat the call.
func TestRefusedCalls(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster) {
		p := c.start("e1", "a")
		time.Sleep(5 * time.Second)
		valid := jobBody("j", "standard", 1, 10)
		for _, c := range []struct {
			method, path, body string
			status             int
			text               string
		}{
			{"POST", "/v1/jobs", `{"job_id":"j","colour":1}`, 400, `unknown field \"colour\"`},
			{"POST", "/v1/jobs", `{"job_id":"` + strings.Repeat("x", 70<<10) + `"}`, 413, "larger than 65536 bytes"},
			{"POST", "/v1/jobs", strings.Replace(valid, `"tasks":1`, `"tasks":0`, 1), 400, `"field":"tasks"`},
			{"POST", "/v1/jobs", strings.Replace(valid, `1000}`, `99000}`, 1), 422, "no worker can ever hold"},
			{"GET", "/v1/jobs/none", "", 404, "no such job"},
			{"DELETE", "/v1/jobs/none", "", 404, "no such job"},
			{"GET", "/v1/jobs/none/explain", "", 404, "no such job"},
			{"POST", "/v1/jobs/none/evict", "", 404, "no such job"},
			{"GET", "/v1/jobs?colour=red", "", 400, "unknown filter colour"},
			{"POST", "/v1/jobs", valid, 201, `"state":"waiting"`},
			{"POST", "/v1/jobs", jobBody("j", "standard", 2, 10), 409, "a different job"},
			{"GET", "/v1/jobs?customer=c", "", 200, `"job_id":"j"`},
			{"GET", "/v1/jobs?customer=d", "", 200, `"jobs":[]`},
			{"GET", "/v1/jobs?limit=0", "", 400, "limit: want 1 to 10000"},
			{"POST", "/v1/jobs", jobBody("k", "standard", 1, 10), 201, `"job_id":"k"`},
			{"GET", "/v1/jobs?limit=1", "", 200, `"more":true`},
			{"GET", "/v1/jobs?limit=1&after=j", "", 200, `{"jobs":[{"job_id":"k"`},
		} {
			status, text := p.request(c.method, c.path, c.body)
			assert.Equal(t, status, c.status, "%s %s: %s", c.method, c.path, text)
			assert.Assert(t, strings.Contains(text, c.text), "%s %s: %s", c.method, c.path, text)
			assert.Assert(t, status < 400 || strings.Contains(text, `"outcome":"not_run"`), text)
		}
	})
}

// Guards against urgent tasks that wait because deferrable tasks fill every worker. They must start within two seconds,
// and the evicted tasks must resume later.
func TestUrgentWorkEvictsDeferrable(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster) {
		p := c.start("e1", "a")
		time.Sleep(5 * time.Second)
		for i := range 4 {
			status, _ := p.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("low%d", i), "deferrable", 4, 600_000))
			assert.Equal(t, status, http.StatusCreated)
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, c.workers.running(func(plat.StartRequest) bool { return true }), 8)
		p.requestJob(http.MethodPost, "/v1/jobs", jobBody("now", "urgent", 2, 30_000))
		time.Sleep(2 * time.Second)
		assert.Equal(t, c.workers.running(isJob("now")), 2, "%s", c.logs)
		time.Sleep(time.Hour)
		for i := range 4 {
			_, v := p.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/low%d/explain", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v\n%s", v, c.logs)
		}
	})
}

// Guards against a customer that exceeds its quota because its jobs are spread over several partitions.
func TestQuotaHoldsOverAllPartitions(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *cluster) {
		p, q := c.start("e1", "a"), c.start("e2", "b")
		doc := config.VersionedDocument{Revision: 5, Document: config.Document{Customer: "c", Quota: config.Quota{RunningTasks: 3}}}
		p.runtime.ObserveConfig(doc)
		q.runtime.ObserveConfig(doc)
		time.Sleep(5 * time.Second)
		for i := range 6 {
			p.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("j%d", i), "standard", 2, 20_000))
		}
		most := 0
		for range 1200 {
			time.Sleep(100 * time.Millisecond)
			most = max(most, c.workers.running(func(plat.StartRequest) bool { return true }))
		}
		assert.Equal(t, most, 3)
		_, list := p.request(http.MethodGet, "/v1/jobs?state=succeeded", "")
		assert.Equal(t, strings.Count(list, `"job_id"`), 6, list)
	})
}

// Guards against a job that stays waiting because only the workers of another partition have the resources. It must
// move there, remain visible under its ID, and leave no inbox entry behind.
func TestJobMovesToWhereItFits(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster) {
		for id, fw := range c.workers.byID {
			if fw.info.Zone == "b" {
				c.workers.byID[id].info.Capacity.Accelerators = 2
			}
		}
		p := c.start("e1", "a")
		c.start("e2", "b")
		time.Sleep(5 * time.Second)
		for i := range 6 {
			body := strings.Replace(jobBody(fmt.Sprintf("j%d", i), "standard", 1, 1000), `1000}`, `1000,"accelerators":1}`, 1)
			status, text := p.request(http.MethodPost, "/v1/jobs", body)
			assert.Equal(t, status, http.StatusCreated, text)
		}
		time.Sleep(15 * time.Second)
		for i := range 6 {
			_, v := p.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/j%d", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v", v)
			assert.Equal(t, v.Partition, fleet.PartitionID("b/0"))
		}
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		for key := range c.store.entries {
			assert.Assert(t, !strings.HasPrefix(key, "inbox/"), key)
		}
	})
}

// Guards against service replicas that all run in one zone, do not restart after a failure or the loss of a
// worker, or whose new endpoints are not published.
func TestServiceReplicas(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *cluster) {
		endpoints := map[fleet.PartitionID]wire.Endpoints{}
		observe := batch.WithOnEndpoints(func(e wire.Endpoints) { endpoints[e.Partition] = e })
		p := c.start("e1", "a", observe)
		service := config.Service{Name: "s", Replicas: 4, Resources: fleet.Resources{MilliCPU: 1000}}
		doc := config.VersionedDocument{Revision: 5, Document: config.Document{Customer: "c", Services: []config.Service{service}}}
		p.runtime.ObserveConfig(doc)
		time.Sleep(10 * time.Second)
		replicas := func() (all []fleet.WorkerID) {
			for _, e := range endpoints {
				all = append(all, e.Services["c/s"]...)
			}
			slices.Sort(all)
			return all
		}
		assert.Equal(t, c.workers.running(isJob("svc/c/s")), 4, "%s", c.logs)
		assert.Equal(t, len(replicas()), 4)
		assert.Equal(t, len(endpoints["a/0"].Services["c/s"]), 2)
		c.workers.reboot(endpoints["a/0"].Services["c/s"][0])
		time.Sleep(10 * time.Second)
		assert.Equal(t, c.workers.running(isJob("svc/c/s")), 4, "%s", c.logs)
		assert.Equal(t, len(replicas()), 4)
		doc.Revision, doc.Document.Services[0].Replicas = 6, 1
		p.runtime.ObserveConfig(doc)
		time.Sleep(10 * time.Second)
		assert.Equal(t, c.workers.running(isJob("svc/c/s")), 1, "%s", c.logs)
		assert.Equal(t, len(replicas()), 1)
	})
}

// Guards against running tasks that are lost or repeated because the store is down for an hour. They must finish during
// the outage and be recorded after it. Until then, new jobs are rejected.
func TestStoreDownForAnHour(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, c *cluster) {
		long := batch.WithOutageHorizon(75 * time.Minute)
		p, q := c.start("e1", "a", long), c.start("e2", "b", long)
		time.Sleep(5 * time.Second)
		for i := range 4 {
			p.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("j%d", i), "standard", 2, 1_800_000))
		}
		time.Sleep(5 * time.Second)
		c.store.setDown(true, true)
		time.Sleep(15 * time.Second)
		status, text := q.request(http.MethodPost, "/v1/jobs", jobBody("late", "standard", 1, 10))
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(text, "not_run"), text)
		time.Sleep(time.Hour)
		c.store.setDown(false, true)
		time.Sleep(30 * time.Second)
		for i := range 4 {
			_, v := q.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/j%d", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v\n%s", v, c.logs)
			assert.Equal(t, v.Tasks[0].Attempt, fleet.Attempt(1))
		}
	})
}

// Guards against tasks that are lost with their availability zone. They must resume in another zone from their last
// checkpoint.
func TestJobsOfALostZoneResumeElsewhere(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *cluster) {
		p := c.start("e1", "a")
		time.Sleep(5 * time.Second)
		for i := range 4 {
			p.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("j%d", i), "standard", 3, 200_000))
		}
		time.Sleep(5 * time.Second)
		c.workers.setCut("b0", true)
		c.workers.setCut("b1", true)
		var left []fleet.Worker
		for _, fw := range c.workers.byID {
			if fw.info.Zone == "a" {
				left = append(left, fw.info)
			}
		}
		time.Sleep(5 * time.Second)
		p.runtime.ObserveFleet(left)
		time.Sleep(15 * time.Minute)
		for i := range 4 {
			_, v := p.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/j%d/explain", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v\n%s", v, c.logs)
			assert.Equal(t, v.Partition, fleet.PartitionID("a/0"))
		}
	})
}

// Guards against partitions that stay without an owner after their process has been drained, and against tasks that
// stay on a leaving worker or are lost with it.
func TestDrainAndLeavingWorker(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *cluster) {
		p, q := c.start("e1", "a"), c.start("e2", "b")
		time.Sleep(5 * time.Second)
		for i := range 4 {
			q.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("j%d", i), "standard", 2, 60_000))
		}
		time.Sleep(5 * time.Second)
		assert.NilError(t, p.runtime.Drain(t.Context()))
		time.Sleep(4 * time.Second)
		for i := range 4 {
			status, _ := q.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/j%d", i), "")
			assert.Equal(t, status, http.StatusOK)
		}
		var list []fleet.Worker
		for _, fw := range c.workers.byID {
			list = append(list, fw.info)
			if fw.info.ID == "a0" || fw.info.ID == "b0" {
				list[len(list)-1] = fw.info.WithState(fleet.HostLeaving)
			}
		}
		q.runtime.ObserveFleet(list)
		time.Sleep(5 * time.Second)
		for _, id := range []fleet.WorkerID{"a0", "b0"} {
			assert.Equal(t, c.workers.running(func(s plat.StartRequest) bool { return c.workers.byID[id].attempts[s.TaskRef] != nil }), 0)
		}
		time.Sleep(5 * time.Minute)
		for i := range 4 {
			_, v := q.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/j%d/explain", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v\n%s", v, c.logs)
		}
	})
}

// Guards against store calls that grow with the number of task starts: 750 starts a second would then exceed the limits
// of the store. Their number may only grow with time.
func TestStoreCallsDoNotGrowWithStarts(t *testing.T) {
	withCluster(t, 40, func(t *testing.T, c *cluster) {
		p := c.start("e1", "a")
		time.Sleep(5 * time.Second)
		c.store.mu.Lock()
		before := c.store.txns
		c.store.mu.Unlock()
		for i := range 100 {
			go p.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("j%d", i), "standard", 30, 500))
		}
		time.Sleep(30 * time.Second)
		c.store.mu.Lock()
		calls := c.store.txns - before
		c.store.mu.Unlock()
		t.Logf("%d starts, %d store transactions", c.workers.starts, calls)
		assert.Equal(t, c.workers.starts, 3000)
		assert.Assert(t, calls < 30*20+30, calls)
	})
}

// Guards against tasks that run twice after their owner is cut off from the store: it still reaches the workers and
// renews the task leases. The next owner, which cannot reach the workers, must wait for the end of the outage horizon
// before it starts the tasks in another zone.
func TestUnreachableTaskOfAnIsolatedOwner(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *cluster) {
		horizon := batch.WithOutageHorizon(5 * time.Minute)
		q, p := c.start("e1", "a", horizon), c.start("e2", "b", horizon)
		time.Sleep(20 * time.Second)
		for i := range 4 {
			q.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("j%d", i), "standard", 2, 250_000))
		}
		time.Sleep(5 * time.Second)
		inZone := func(s plat.StartRequest) bool {
			return c.workers.byID["a0"].attempts[s.TaskRef] != nil || c.workers.byID["a1"].attempts[s.TaskRef] != nil
		}
		busy := c.workers.running(inZone)
		assert.Assert(t, busy > 0)
		// The workers of zone a belong to the process in zone b.
		p.set(func(p *process) { p.storeCut = true })
		q.set(func(p *process) { p.cutWorkers = "a" })
		time.Sleep(3 * time.Minute)
		assert.Equal(t, c.workers.running(inZone), busy)
		var left []fleet.Worker
		for _, fw := range c.workers.byID {
			if fw.info.Zone == "b" {
				left = append(left, fw.info)
			}
		}
		q.runtime.ObserveFleet(left)
		time.Sleep(17 * time.Minute)
		for i := range 4 {
			_, v := q.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/j%d/explain", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v\n%s", v, c.logs)
		}
	})
}
