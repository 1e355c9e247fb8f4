package jobs_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/place"
	"lovagefork.example/coord/plat"
)

// driver handles the effects of a machine at once, like a store and workers without latency.
type driver struct {
	m       *jobs.Machine
	now     time.Time
	tasks   map[fleet.WorkerID]map[plat.TaskRef]plat.TaskStatus
	records int
	starts  int
	ended   int
}

func newDriver(workers int) *driver {
	d := &driver{now: time.Now(), tasks: make(map[fleet.WorkerID]map[plat.TaskRef]plat.TaskStatus)}
	d.m = jobs.New("a/0", 1, place.New(place.Spread{}))
	d.m.SetPermit(jobs.Permit{Write: true, Renew: true})
	for i := range workers {
		id := fleet.WorkerID(fmt.Sprintf("w%04d", i))
		d.tasks[id] = make(map[plat.TaskRef]plat.TaskStatus)
		d.step(jobs.WorkerListed{Worker: fleet.Worker{
			ID: id, Zone: "a", State: fleet.HostLive, AgentURL: "http://w",
			Capacity: fleet.Resources{MilliCPU: 64_000, MemoryBytes: 250 << 30, Accelerators: 2},
		}})
	}
	d.tick()
	return d
}

func (d *driver) tick() {
	d.now = d.now.Add(ledger.TickInterval)
	d.step(jobs.Tick{})
}

func (d *driver) step(ev jobs.Event) {
	for _, e := range d.m.Step(d.now, ev) {
		switch e := e.(type) {
		case jobs.Append:
			d.records += len(e.Records)
			d.step(jobs.Committed{Records: e.Records})
		case jobs.Start:
			d.starts++
			d.tasks[e.Worker.ID][e.Start.TaskRef] = plat.TaskStatus{TaskRef: e.Start.TaskRef, State: plat.TaskRunning}
			d.step(jobs.StartDone{Ref: e.Start.TaskRef, Worker: e.Worker.ID, Epoch: e.Start.Epoch})
		case jobs.ReadStatus:
			var s plat.WorkerStatus
			for _, t := range d.tasks[e.Worker.ID] {
				s.Tasks = append(s.Tasks, t)
			}
			d.step(jobs.StatusDone{Worker: e.Worker.ID, Epoch: e.Epoch, SentAt: d.now, Status: s})
		case jobs.Renew:
			d.step(jobs.RenewDone{Worker: e.Worker.ID, Epoch: e.Epoch, Tasks: e.Tasks})
		case jobs.Ack:
			for _, ref := range e.Tasks {
				delete(d.tasks[e.Worker.ID], ref)
				d.ended++
			}
		}
	}
}

func (d *driver) submit(i, tasks int) {
	d.step(jobs.Submit{Spec: ledger.Spec{
		Job: fleet.JobID(fmt.Sprintf("job%d", i)), Customer: fleet.CustomerID(fmt.Sprintf("team%d", i%360)), Class: fleet.Deferrable,
		Kind: fmt.Sprint("kind", i%20), Tasks: tasks, Resources: fleet.Resources{MilliCPU: 2500, MemoryBytes: 8 << 30}, MaxAttempts: 5,
	}})
}

// The target size of one partition: 55 workers and 1,300 running tasks.
const (
	partitionWorkers = 55
	partitionTasks   = 1300
)

// Measures the cost of a task from its start to its end. It must be low enough that a few processes can handle 750
// starts per second, with about two records each.
func BenchmarkStartToEnd(b *testing.B) {
	d := newDriver(partitionWorkers)
	i := 0
	for b.Loop() {
		for range 12 { // 750 starts per second, divided by 64 partitions
			d.submit(i, 1)
			i++
		}
		for range 20 {
			d.tick()
		}
		for _, tasks := range d.tasks {
			for ref, s := range tasks {
				s.State = plat.TaskSucceeded
				tasks[ref] = s
			}
		}
	}
	b.ReportMetric(float64(d.records)/float64(max(d.starts, 1)), "records/start")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(max(d.starts, 1)), "us/start")
}

// Measures a tick of a full partition, which every owner runs 20 times per second.
func BenchmarkTickOfFullPartition(b *testing.B) {
	d := newDriver(partitionWorkers)
	for i := range partitionTasks / 10 {
		d.submit(i, 10)
	}
	for range 100 {
		d.tick()
	}
	for b.Loop() {
		d.tick()
	}
	b.ReportMetric(float64(d.starts), "running")
}

// Measures the memory of all tasks at the target size, which must fit into a few small processes.
func BenchmarkMemoryOfAllTasks(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		var all []*driver
		tasks := 0
		for range 64 {
			d := newDriver(partitionWorkers)
			for i := range partitionTasks / 10 {
				d.submit(i, 10)
			}
			for range 60 {
				d.tick()
			}
			d.tasks = nil
			tasks += d.starts
			all = append(all, d)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tasks), "B/task")
		b.ReportMetric(float64(tasks), "tasks")
		runtime.KeepAlive(all)
	}
}
