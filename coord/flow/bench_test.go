package flow_test

import (
	"fmt"
	"testing"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// BenchmarkTask measures the processor time of one task from submission to completion, including its share of ticks
// and reports, at a rate of one start per second for each ten workers.
func BenchmarkTask(b *testing.B) {
	for _, size := range []int{66, 490, 3500} {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) {
			benchTask(b, size)
		})
	}
}

func benchTask(b *testing.B, size int) {
	m := flow.New(7)
	now := time.Unix(1000, 0)
	seq := make(map[fleet.WorkerID]int64)
	ended := make(map[fleet.WorkerID]int64)
	var started []flow.Start
	var step func(ev flow.Event)
	step = func(ev flow.Event) {
		for _, e := range m.Step(now, ev) {
			switch e := e.(type) {
			case flow.Renew:
				seq[e.To.Worker] = e.Sequence
			case flow.Start:
				started = append(started, e)
			case flow.Save:
				step(flow.Saved{Batch: e.Batch})
			default:
			}
		}
	}
	step(flow.Tick{Wall: now})
	step(flow.Restored{})
	step(flow.Configured{Catalog: &infra.Catalog{
		Version: 1, Queues: []infra.Queue{{Name: "batch", Service: "pool", MaxAttempts: 3, StretchFactor: 2, TargetLatency: time.Second}},
		Services: []infra.Service{{Name: "pool"}},
	}})
	ids := make([]fleet.WorkerID, size)
	for i := range ids {
		w := newPoolWorker(fmt.Sprintf("w%04d", i))
		ids[i] = w.ID
		step(flow.WorkerListed{Worker: w})
	}
	now = now.Add(50 * time.Millisecond)
	step(flow.Tick{Wall: now})
	for _, id := range ids {
		step(flow.RenewAnswered{Worker: id, Sequence: seq[id], Report: infra.Report{Clock: now.UnixMilli()}})
	}
	gap := 10 * time.Second / time.Duration(size)
	perTick := max(1, int(10*time.Millisecond/gap))
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += perTick {
		for k := range perTick {
			step(flow.Submitted{Job: singleStepJob(fmt.Sprintf("j%d", n+k), smallStep(1))})
		}
		now = now.Add(max(gap, 10*time.Millisecond))
		step(flow.Tick{Wall: now})
		for _, s := range started {
			id := s.To.Worker
			step(flow.StartAnswered{Worker: id, Order: s.Order, Clock: now.UnixMilli()})
			ended[id]++
			step(flow.RenewAnswered{Worker: id, Sequence: seq[id], Report: infra.Report{
				Clock: now.UnixMilli() + 1,
				Ended: []infra.EndedRun{{Number: ended[id], Task: s.Order.Task, Run: s.Order.Run, Outcome: infra.OutcomeDone}},
			}})
		}
		started = started[:0]
	}
}
