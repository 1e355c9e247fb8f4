package flow_test

import (
	"fmt"
	"testing"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// BenchmarkOverload measures the processor time of one second of scheduling with a backlog of twice the workers'
// capacity: serving tasks, fillers beside them, and a steady stream of urgent tasks.
func BenchmarkOverload(b *testing.B) {
	for _, size := range []int{66, 490} {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) { benchOverload(b, size) })
	}
}

// overloadSim is a scheduler with busy workers on which serving tasks run all the time, and any other run takes runTime.
type overloadSim struct {
	m         *flow.Machine
	now       time.Time
	seq       map[fleet.WorkerID]int64
	ends      map[fleet.WorkerID]int64
	runs      map[fleet.WorkerID][]busyRun
	workerIDs []fleet.WorkerID
	jobs      int
	started   []flow.Start
	// arrivals is the number of quick jobs, and of batch jobs, that arrive in a second.
	arrivals int
	// serving holds the jobs whose tasks do not end.
	serving map[fleet.JobID]bool
}

type busyRun struct {
	task      infra.TaskID
	run       infra.Run
	startedAt time.Time
}

// runTime is the duration of each run of an [overloadSim] that ends, and reportInterval the interval between two reports of a
// worker.
const (
	runTime        = 2 * time.Second
	reportInterval = 500 * time.Millisecond
)

func (o *overloadSim) step(ev flow.Event) {
	for _, e := range o.m.Step(o.now, ev) {
		switch e := e.(type) {
		case flow.Renew:
			o.seq[e.To.Worker] = e.Sequence
		case flow.Start:
			o.started = append(o.started, e)
		case flow.Save:
			o.step(flow.Saved{Batch: e.Batch})
		default:
		}
	}
}

func (o *overloadSim) submit(queue string, steps ...infra.Step) {
	o.jobs++
	if steps[0].LongRunning {
		o.serving[fleet.JobID(fmt.Sprintf("%016x", o.jobs))] = true
	}
	o.step(flow.Submitted{Job: infra.Job{ID: fleet.JobID(fmt.Sprintf("%016x", o.jobs)), Queue: queue, Spec: "s", Steps: steps}})
}

func (o *overloadSim) submitServing(size int) {
	for n := range size / 4 {
		o.submit("urgent", infra.Step{
			Count: 14, Size: fleet.Resources{MilliCPU: 9000, MemoryBytes: 1 << 30}, LongRunning: true, Image: fmt.Sprintf("s%d", n%10),
			TailTarget: 50 * time.Millisecond, Estimate: time.Hour,
		})
	}
}

func (o *overloadSim) submitBacklog(size int) {
	for n := range 4 * size {
		o.submit("batch", infra.Step{
			Count: 20, Size: fleet.Resources{MilliCPU: 7000 + int64(n%9)*100, MemoryBytes: 1 << 30}, Filler: true, Image: fmt.Sprintf("f%d", n%18),
			Estimate: runTime,
		})
	}
}

// submitArrivals submits the jobs that arrive in one tick of a second.
func (o *overloadSim) submitArrivals(tick int) {
	if o.arrivals == 0 || tick%max(1, 100/o.arrivals) != 0 {
		return
	}
	o.submit("urgent", infra.Step{Count: 10, Size: fleet.Resources{MilliCPU: 11000, MemoryBytes: 1 << 30}, Estimate: time.Second})
	filler := infra.Step{
		Count: 20, Size: fleet.Resources{MilliCPU: 7000, MemoryBytes: 1 << 30}, Filler: true, Image: fmt.Sprintf("f%d", o.jobs%18), Estimate: runTime,
	}
	second := filler
	second.After = []int{0}
	o.submit("batch", filler, second)
}

// runSecond simulates one second of ticks, starts, reports and urgent jobs.
func (o *overloadSim) runSecond() {
	const tick = 10 * time.Millisecond
	for n := range int(time.Second / tick) {
		o.now = o.now.Add(tick)
		if n%5 == 0 {
			o.submit("urgent", infra.Step{Count: 6, Size: fleet.Resources{MilliCPU: 6300, MemoryBytes: 1 << 30}, Estimate: time.Second})
		}
		o.submitArrivals(n)
		o.step(flow.Tick{Wall: o.now})
		for _, s := range o.started {
			id := s.To.Worker
			o.runs[id] = append(o.runs[id], busyRun{task: s.Order.Task, run: s.Order.Run, startedAt: o.now})
			o.step(flow.StartAnswered{Worker: id, Order: s.Order, Clock: o.now.UnixMilli()})
		}
		o.started = o.started[:0]
		turns := int(reportInterval / tick)
		for i, id := range o.workerIDs {
			if i%turns == n%turns {
				o.report(id)
			}
		}
	}
}

func (o *overloadSim) report(id fleet.WorkerID) {
	r := infra.Report{Clock: o.now.UnixMilli()}
	kept := o.runs[id][:0]
	for _, b := range o.runs[id] {
		if age := o.now.Sub(b.startedAt); age < runTime || o.serving[b.task.Job] {
			r.Running = append(r.Running, infra.ActiveRun{
				Task: b.task, Run: b.run, Progress: int(min(100, 100*age/runTime)), Measurement: 25 + float64((b.task.Index*7+o.jobs)%20),
			})
			kept = append(kept, b)
			continue
		}
		o.ends[id]++
		r.Ended = append(r.Ended, infra.EndedRun{Number: o.ends[id], Task: b.task, Run: b.run, Outcome: infra.OutcomeDone})
	}
	o.runs[id] = kept
	o.step(flow.RenewAnswered{Worker: id, Sequence: o.seq[id], Report: r})
}

// BenchmarkSteadyLoad measures the processor time of one second of scheduling without a backlog: serving tasks, fillers
// beside them, and new jobs that keep most of the workers busy.
func BenchmarkSteadyLoad(b *testing.B) {
	for _, size := range []int{66, 490} {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) {
			o := newOverloadSim(size)
			o.submitServing(size)
			o.arrivals = size / 25
			o.measure(b)
		})
	}
}

func benchOverload(b *testing.B, size int) {
	o := newOverloadSim(size)
	o.submitServing(size)
	o.submitBacklog(size)
	o.measure(b)
}

// newOverloadSim returns a scheduler with a number of workers that have reported.
func newOverloadSim(size int) *overloadSim {
	o := &overloadSim{
		m: flow.New(7), now: time.Unix(1000, 0), seq: make(map[fleet.WorkerID]int64), ends: make(map[fleet.WorkerID]int64),
		runs: make(map[fleet.WorkerID][]busyRun), serving: make(map[fleet.JobID]bool),
	}
	o.step(flow.Tick{Wall: o.now})
	o.step(flow.Restored{})
	o.step(flow.Configured{Catalog: &infra.Catalog{
		Version: 1, Services: []infra.Service{{Name: "pool"}},
		Queues: []infra.Queue{
			{Name: "urgent", Service: "pool", Priority: 0, MaxAttempts: 3, StretchFactor: 2, TargetLatency: time.Second},
			{Name: "batch", Service: "pool", Priority: 2, MaxAttempts: 3, StretchFactor: 2, TargetLatency: time.Second},
		},
	}})
	for i := range size {
		w := newPoolWorker(fmt.Sprintf("w%04d", i))
		w.Capacity = fleet.Resources{MilliCPU: 64000, MemoryBytes: 250 << 30}
		o.workerIDs = append(o.workerIDs, w.ID)
		o.step(flow.WorkerListed{Worker: w})
	}
	o.now = o.now.Add(50 * time.Millisecond)
	o.step(flow.Tick{Wall: o.now})
	for _, id := range o.workerIDs {
		o.step(flow.RenewAnswered{Worker: id, Sequence: o.seq[id], Report: infra.Report{Clock: o.now.UnixMilli()}})
	}
	return o
}

// measure measures seconds of the simulation, after some that warm it up.
func (o *overloadSim) measure(b *testing.B) {
	for range 3 {
		o.runSecond()
	}
	b.ResetTimer()
	before := o.m.Counts().Starts
	for range b.N {
		o.runSecond()
	}
	b.ReportMetric(float64(o.m.Counts().Starts-before)/float64(b.N), "starts/op")
}
