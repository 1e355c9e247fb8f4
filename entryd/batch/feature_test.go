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

// inWorld runs a test in virtual time and checks at its end that no worker saw a fault.
func withCluster(t *testing.T, perZone int, run func(t *testing.T, w *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(perZone)
		defer w.stop()
		run(t, w)
		w.workers.mu.Lock()
		defer w.workers.mu.Unlock()
		assert.Equal(t, len(w.workers.violations), 0, "%v\n%s", w.workers.violations, w.logs)
	})
}

func (m *fakeWorkers) running(match func(plat.StartRequest) bool) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, b := range m.workers {
		m.updateRuns(b)
		for _, r := range b.runs {
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

// A caller must learn from the answer what is wrong and that nothing was run.
func TestRefusedCalls(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		p := w.start("e1", "a")
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

// Urgent work must start within two seconds although deferrable work fills every worker, which must then resume.
func TestUrgentWorkEvictsDeferrable(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		p := w.start("e1", "a")
		time.Sleep(5 * time.Second)
		for i := range 4 {
			status, _ := p.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("low%d", i), "deferrable", 4, 600_000))
			assert.Equal(t, status, http.StatusCreated)
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, w.workers.running(func(plat.StartRequest) bool { return true }), 8)
		p.requestJob(http.MethodPost, "/v1/jobs", jobBody("now", "urgent", 2, 30_000))
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.workers.running(isJob("now")), 2, "%s", w.logs)
		time.Sleep(time.Hour)
		for i := range 4 {
			_, v := p.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/low%d/explain", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v\n%s", v, w.logs)
		}
	})
}

// A customer must not hold more than its quota, however its jobs are spread over partitions.
func TestQuotaHoldsOverAllPartitions(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		p, q := w.start("e1", "a"), w.start("e2", "b")
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
			most = max(most, w.workers.running(func(plat.StartRequest) bool { return true }))
		}
		assert.Equal(t, most, 3)
		_, list := p.request(http.MethodGet, "/v1/jobs?state=succeeded", "")
		assert.Equal(t, strings.Count(list, `"job_id"`), 6, list)
	})
}

// A job that only the workers of another partition can hold must get there, and stay visible under its id.
func TestJobMovesToWhereItFits(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		for id, b := range w.workers.workers {
			if b.info.Zone == "b" {
				w.workers.workers[id].info.Capacity.Accelerators = 2
			}
		}
		p := w.start("e1", "a")
		w.start("e2", "b")
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
		w.kv.mu.Lock()
		defer w.kv.mu.Unlock()
		for key := range w.kv.entries {
			assert.Assert(t, !strings.HasPrefix(key, "inbox/"), key)
		}
	})
}

// Replicas must run in both zones, restart after a failure and a worker's loss, and be published when they move.
func TestServiceReplicas(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		endpoints := map[fleet.PartitionID]wire.Endpoints{}
		take := batch.WithOnEndpoints(func(e wire.Endpoints) { endpoints[e.Partition] = e })
		p := w.start("e1", "a", take)
		service := config.Service{Name: "s", Replicas: 4, Resources: fleet.Resources{MilliCPU: 1000}}
		doc := config.VersionedDocument{Revision: 5, Document: config.Document{Customer: "c", Services: []config.Service{service}}}
		p.runtime.ObserveConfig(doc)
		time.Sleep(10 * time.Second)
		run := func() (all []fleet.WorkerID) {
			for _, e := range endpoints {
				all = append(all, e.Services["c/s"]...)
			}
			slices.Sort(all)
			return all
		}
		assert.Equal(t, w.workers.running(isJob("svc/c/s")), 4, "%s", w.logs)
		assert.Equal(t, len(run()), 4)
		assert.Equal(t, len(endpoints["a/0"].Services["c/s"]), 2)
		w.workers.reboot(endpoints["a/0"].Services["c/s"][0])
		time.Sleep(10 * time.Second)
		assert.Equal(t, w.workers.running(isJob("svc/c/s")), 4, "%s", w.logs)
		assert.Equal(t, len(run()), 4)
		doc.Revision, doc.Document.Services[0].Replicas = 6, 1
		p.runtime.ObserveConfig(doc)
		time.Sleep(10 * time.Second)
		assert.Equal(t, w.workers.running(isJob("svc/c/s")), 1, "%s", w.logs)
		assert.Equal(t, len(run()), 1)
	})
}

// Tasks that run when the store goes down for an hour must finish meanwhile and count once it is back; until then
// nothing new is accepted.
func TestStoreDownForAnHour(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		long := batch.WithOutageHorizon(75 * time.Minute)
		p, q := w.start("e1", "a", long), w.start("e2", "b", long)
		time.Sleep(5 * time.Second)
		for i := range 4 {
			p.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("j%d", i), "standard", 2, 1_800_000))
		}
		time.Sleep(5 * time.Second)
		w.kv.setDown(true, true)
		time.Sleep(15 * time.Second)
		status, text := q.request(http.MethodPost, "/v1/jobs", jobBody("late", "standard", 1, 10))
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(text, "not_run"), text)
		time.Sleep(time.Hour)
		w.kv.setDown(false, true)
		time.Sleep(30 * time.Second)
		for i := range 4 {
			_, v := q.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/j%d", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v\n%s", v, w.logs)
			assert.Equal(t, v.Tasks[0].Attempt, fleet.Attempt(1))
		}
	})
}

// After the loss of an availability zone its tasks must resume in another one, from what they had checkpointed.
func TestJobsOfALostZoneResumeElsewhere(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		p := w.start("e1", "a")
		time.Sleep(5 * time.Second)
		for i := range 4 {
			p.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("j%d", i), "standard", 3, 200_000))
		}
		time.Sleep(5 * time.Second)
		w.workers.setCut("b0", true)
		w.workers.setCut("b1", true)
		var left []fleet.Worker
		for _, b := range w.workers.workers {
			if b.info.Zone == "a" {
				left = append(left, b.info)
			}
		}
		time.Sleep(5 * time.Second)
		p.runtime.ObserveFleet(left)
		time.Sleep(15 * time.Minute)
		for i := range 4 {
			_, v := p.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/j%d/explain", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v\n%s", v, w.logs)
			assert.Equal(t, v.Partition, fleet.PartitionID("a/0"))
		}
	})
}

// A drained process must hand its partitions over at once, and a leaving worker its tasks, without lost work.
func TestDrainAndLeavingWorker(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		p, q := w.start("e1", "a"), w.start("e2", "b")
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
		for _, b := range w.workers.workers {
			list = append(list, b.info)
			if b.info.ID == "a0" || b.info.ID == "b0" {
				list[len(list)-1] = b.info.WithState(fleet.HostLeaving)
			}
		}
		q.runtime.ObserveFleet(list)
		time.Sleep(5 * time.Second)
		for _, id := range []fleet.WorkerID{"a0", "b0"} {
			assert.Equal(t, w.workers.running(func(s plat.StartRequest) bool { return w.workers.workers[id].runs[s.TaskRef] != nil }), 0)
		}
		time.Sleep(5 * time.Minute)
		for i := range 4 {
			_, v := q.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/j%d/explain", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v\n%s", v, w.logs)
		}
	})
}

// The number of store calls must follow the time and not the number of starts, or 750 starts a second exceed the store.
func TestStoreCallsDoNotGrowWithStarts(t *testing.T) {
	withCluster(t, 40, func(t *testing.T, w *cluster) {
		p := w.start("e1", "a")
		time.Sleep(5 * time.Second)
		w.kv.mu.Lock()
		before := w.kv.txns
		w.kv.mu.Unlock()
		for i := range 100 {
			go p.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("j%d", i), "standard", 30, 500))
		}
		time.Sleep(30 * time.Second)
		w.kv.mu.Lock()
		calls := w.kv.txns - before
		w.kv.mu.Unlock()
		t.Logf("%d starts, %d store transactions", w.workers.starts, calls)
		assert.Equal(t, w.workers.starts, 3000)
		assert.Assert(t, calls < 30*20+30, calls)
	})
}

// An owner that is cut off together with the workers of its partition keeps their tasks alive. The next owner must wait
// for the end of the outage horizon before it starts them in another zone.
func TestUnreachableTaskOfAnIsolatedOwner(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		horizon := batch.WithOutageHorizon(5 * time.Minute)
		q, p := w.start("e1", "a", horizon), w.start("e2", "b", horizon)
		time.Sleep(20 * time.Second)
		for i := range 4 {
			q.requestJob(http.MethodPost, "/v1/jobs", jobBody(fmt.Sprintf("j%d", i), "standard", 2, 250_000))
		}
		time.Sleep(5 * time.Second)
		inZone := func(s plat.StartRequest) bool {
			return w.workers.workers["a0"].runs[s.TaskRef] != nil || w.workers.workers["a1"].runs[s.TaskRef] != nil
		}
		busy := w.workers.running(inZone)
		assert.Assert(t, busy > 0)
		// The workers of zone a belong to the process in zone b.
		p.set(func(p *proc) { p.storeCut = true })
		q.set(func(p *proc) { p.cutWorkers = "a" })
		time.Sleep(3 * time.Minute)
		assert.Equal(t, w.workers.running(inZone), busy)
		var left []fleet.Worker
		for _, b := range w.workers.workers {
			if b.info.Zone == "b" {
				left = append(left, b.info)
			}
		}
		q.runtime.ObserveFleet(left)
		time.Sleep(17 * time.Minute)
		for i := range 4 {
			_, v := q.requestJob(http.MethodGet, fmt.Sprintf("/v1/jobs/j%d/explain", i), "")
			assert.Equal(t, v.State, jobs.StateSucceeded, "%+v\n%s", v, w.logs)
		}
	})
}
