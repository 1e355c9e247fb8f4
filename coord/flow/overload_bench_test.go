package flow_test

import (
	"fmt"
	"testing"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// BenchmarkOverload measures the processor time of a second of scheduling while twice as much work waits as the workers
// can run: serving tasks, fillers beside them, and urgent tasks that come all the time.
func BenchmarkOverload(b *testing.B) {
	for _, size := range []int{66, 490} {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) { benchOverload(b, size) })
	}
}

// overload is a scheduler with busy workers, in which each run takes two seconds.
type overload struct {
	m     *flow.Machine
	now   time.Time
	seq   map[fleet.WorkerID]int64
	ends  map[fleet.WorkerID]int64
	runs  map[fleet.WorkerID][]busyRun
	ids   []fleet.WorkerID
	jobs  int
	start []flow.Start
}

type busyRun struct {
	task  infra.TaskID
	run   infra.Run
	since time.Time
}

// runTime is how long the runs of an [overload] take, and reportEach the time between two reports of a worker.
const (
	runTime    = 2 * time.Second
	reportEach = 500 * time.Millisecond
)

func (o *overload) step(ev flow.Event) {
	for _, e := range o.m.Step(o.now, ev) {
		switch e := e.(type) {
		case flow.Hold:
			o.seq[e.To.Worker] = e.Sequence
		case flow.Start:
			o.start = append(o.start, e)
		case flow.Save:
			o.step(flow.Saved{Batch: e.Batch})
		default:
		}
	}
}

func (o *overload) submit(queue string, steps ...infra.Step) {
	o.jobs++
	o.step(flow.Submitted{Job: infra.Job{ID: fleet.JobID(fmt.Sprintf("%016x", o.jobs)), Queue: queue, Spec: "s", Steps: steps}})
}

func (o *overload) load(size int) {
	for n := range size / 6 {
		o.submit("urgent", infra.Step{
			Count: 6, Size: fleet.Resources{MilliCPU: 13000, MemoryBytes: 1 << 30}, LongRunning: true, Image: fmt.Sprintf("s%d", n%5),
			TailTarget: 50 * time.Millisecond, Estimate: time.Hour,
		})
	}
	for n := range 4 * size {
		o.submit("batch", infra.Step{
			Count: 20, Size: fleet.Resources{MilliCPU: 7000 + int64(n%9)*100, MemoryBytes: 1 << 30}, Filler: true, Image: fmt.Sprintf("f%d", n%9),
			Estimate: runTime,
		})
	}
}

// second plays a second of ticks, starts, reports and urgent jobs.
func (o *overload) second() {
	const tick = 10 * time.Millisecond
	for n := range int(time.Second / tick) {
		o.now = o.now.Add(tick)
		if n%5 == 0 {
			o.submit("urgent", infra.Step{Count: 6, Size: fleet.Resources{MilliCPU: 6300, MemoryBytes: 1 << 30}, Estimate: time.Second})
		}
		o.step(flow.Tick{Wall: o.now})
		for _, s := range o.start {
			id := s.To.Worker
			o.runs[id] = append(o.runs[id], busyRun{task: s.Order.Task, run: s.Order.Run, since: o.now})
			o.step(flow.StartAnswered{Worker: id, Order: s.Order, Clock: o.now.UnixMilli()})
		}
		o.start = o.start[:0]
		turns := int(reportEach / tick)
		for i, id := range o.ids {
			if i%turns == n%turns {
				o.report(id)
			}
		}
	}
}

func (o *overload) report(id fleet.WorkerID) {
	r := infra.Report{Clock: o.now.UnixMilli()}
	kept := o.runs[id][:0]
	for _, b := range o.runs[id] {
		if age := o.now.Sub(b.since); age < runTime {
			r.Running = append(r.Running, infra.ActiveRun{Task: b.task, Run: b.run, Progress: int(100 * age / runTime), Measurement: 30})
			kept = append(kept, b)
			continue
		}
		o.ends[id]++
		r.Ended = append(r.Ended, infra.EndedRun{Number: o.ends[id], Task: b.task, Run: b.run, Outcome: infra.OutcomeDone})
	}
	o.runs[id] = kept
	o.step(flow.HoldAnswered{Worker: id, Sequence: o.seq[id], Report: r})
}

func benchOverload(b *testing.B, size int) {
	o := &overload{
		m: flow.New(7), now: time.Unix(1000, 0), seq: make(map[fleet.WorkerID]int64), ends: make(map[fleet.WorkerID]int64),
		runs: make(map[fleet.WorkerID][]busyRun),
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
		w := poolWorker(fmt.Sprintf("w%04d", i))
		w.Capacity = fleet.Resources{MilliCPU: 64000, MemoryBytes: 250 << 30}
		o.ids = append(o.ids, w.ID)
		o.step(flow.WorkerListed{Worker: w})
	}
	o.now = o.now.Add(50 * time.Millisecond)
	o.step(flow.Tick{Wall: o.now})
	for _, id := range o.ids {
		o.step(flow.HoldAnswered{Worker: id, Sequence: o.seq[id], Report: infra.Report{Clock: o.now.UnixMilli()}})
	}
	o.load(size)
	for range 3 {
		o.second()
	}
	b.ResetTimer()
	before := o.m.Counts().Starts
	for range b.N {
		o.second()
	}
	b.ReportMetric(float64(o.m.Counts().Starts-before)/float64(b.N), "starts/op")
}
