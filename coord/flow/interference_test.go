package flow_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/store"
)

// colocationSim is a fleet that runs serving tasks and fillers of many images side by side. Tail latencies follow the
// model that the scheduler assumes, with known weights.
type colocationSim struct {
	m     *flow.Machine
	rng   *rand.Rand
	now   time.Time
	seq   map[fleet.WorkerID]int64
	ends  map[fleet.WorkerID]int64
	runs  map[fleet.WorkerID][]simRun
	steps map[fleet.JobID]infra.Step
	jobs  int
	saved []flow.InterferenceRecord
	// weight is the headroom that a filler image takes from a serving image at a share of 1.
	weight map[[2]string]float64
}

type simRun struct {
	task         infra.TaskID
	run          infra.Run
	startedAt    time.Time
	endsAt       time.Time
	speedPercent int
}

const (
	servingImages = 4
	fillerImages  = 18
	simWorkers    = 24
)

func (x *colocationSim) step(ev flow.Event) {
	for _, e := range x.m.Step(x.now, ev) {
		switch e := e.(type) {
		case flow.Renew:
			x.seq[e.To.Worker] = e.Sequence
		case flow.Save:
			if e.Interference != nil {
				x.saved = e.Interference
			}
			x.step(flow.Saved{Batch: e.Batch})
		case flow.Start:
			id := e.To.Worker
			length := time.Duration(500+x.rng.IntN(2500)) * time.Millisecond
			if x.steps[e.Order.Task.Job].LongRunning {
				length = time.Hour
			}
			x.runs[id] = append(x.runs[id], simRun{e.Order.Task, e.Order.Run, x.now, x.now.Add(length), 100})
			x.step(flow.StartAnswered{Worker: id, Order: e.Order, Clock: x.now.UnixMilli()})
		case flow.Stop:
			x.end(e.To.Worker, func(r simRun) bool { return r.task == e.Order.Task }, infra.OutcomeStopped)
		case flow.Throttle:
			for i, r := range x.runs[e.To.Worker] {
				if r.task == e.Order.Task {
					x.runs[e.To.Worker][i].speedPercent = e.Order.SpeedPercent
				}
			}
		default:
		}
	}
}

// end removes the matching runs and returns their ends.
func (x *colocationSim) end(id fleet.WorkerID, match func(simRun) bool, outcome infra.Outcome) []infra.EndedRun {
	var ended []infra.EndedRun
	kept := x.runs[id][:0:0]
	for _, r := range x.runs[id] {
		if !match(r) {
			kept = append(kept, r)
			continue
		}
		x.ends[id]++
		ended = append(ended, infra.EndedRun{Number: x.ends[id], Task: r.task, Run: r.run, Outcome: outcome})
	}
	x.runs[id] = kept
	return ended
}

func (x *colocationSim) submit(s infra.Step) {
	x.jobs++
	j := singleStepJob(fmt.Sprintf("%016x", x.jobs), s)
	x.steps[j.ID] = s
	x.step(flow.Submitted{Job: j})
}

// tail returns the tail latency of a serving run in milliseconds.
func (x *colocationSim) tail(id fleet.WorkerID, r simRun) float64 {
	s := x.steps[r.task.Job]
	phase := float64(len(r.task.Job)) + 2*math.Pi*x.now.Sub(time.Unix(1000, 0)).Seconds()/14
	headroom := 2.5 + math.Sin(phase)
	for _, o := range x.runs[id] {
		if f := x.steps[o.task.Job]; f.Filler {
			// A report covers the last half second.
			seen := min(1, x.now.Sub(o.startedAt).Seconds()/0.5)
			headroom -= x.weight[[2]string{s.Image, f.Image}] * float64(f.Size.MilliCPU) / 64000 * float64(o.speedPercent) / 100 * seen
		}
	}
	headroom = max(0.1, headroom*(1+0.1*x.rng.NormFloat64()))
	return 50 / headroom
}

func (x *colocationSim) report(id fleet.WorkerID) {
	r := infra.Report{Clock: x.now.UnixMilli()}
	r.Ended = x.end(id, func(r simRun) bool { return !x.now.Before(r.endsAt) }, infra.OutcomeDone)
	for _, run := range x.runs[id] {
		row := infra.ActiveRun{Task: run.task, Run: run.run, Progress: 100, Measurement: 7000}
		if s := x.steps[run.task.Job]; s.TailTarget > 0 {
			row.Measurement = x.tail(id, run)
		} else {
			row.Progress = int(100 * x.now.Sub(run.startedAt) / run.endsAt.Sub(run.startedAt))
		}
		r.Running = append(r.Running, row)
	}
	x.step(flow.RenewAnswered{Worker: id, Sequence: x.seq[id], Report: r})
}

// The learned weights of image pairs must stay within a plausible range regardless of the number of reports. With 2,700
// serving tasks they grew without bound, and every filler was stopped each half second (20,500 of 49,500 runs).
func TestLearntWeightsStayBounded(t *testing.T) {
	x := &colocationSim{
		m: flow.New(7), rng: rand.New(rand.NewPCG(3, 5)), now: time.Unix(1000, 0), seq: make(map[fleet.WorkerID]int64),
		ends: make(map[fleet.WorkerID]int64), runs: make(map[fleet.WorkerID][]simRun), steps: make(map[fleet.JobID]infra.Step),
		weight: make(map[[2]string]float64),
	}
	for s := range servingImages {
		for f := range fillerImages {
			w := 0.5
			if x.rng.Float64() < 0.6 {
				w = 4.5
			}
			x.weight[[2]string{fmt.Sprint("s", s), fmt.Sprint("f", f)}] = w
		}
	}
	x.step(flow.Tick{Wall: x.now})
	x.step(flow.Restored{})
	x.step(flow.Configured{Catalog: &infra.Catalog{
		Version: 1, Services: []infra.Service{{Name: "pool"}},
		Queues: []infra.Queue{{Name: "batch", Service: "pool", MaxAttempts: 3, StretchFactor: 2, TargetLatency: time.Second}},
	}})
	var ids []fleet.WorkerID
	for i := range simWorkers {
		w := newPoolWorker(fmt.Sprintf("w%02d", i))
		w.Capacity = fleet.Resources{MilliCPU: 64000, MemoryBytes: 250 << 30}
		ids = append(ids, w.ID)
		x.step(flow.WorkerListed{Worker: w})
	}
	x.now = x.now.Add(50 * time.Millisecond)
	x.step(flow.Tick{Wall: x.now})
	for _, id := range ids {
		x.report(id)
	}
	for n := range 16 {
		x.submit(infra.Step{
			Count: 6, Size: fleet.Resources{MilliCPU: 13000, MemoryBytes: 1 << 30}, LongRunning: true, Image: fmt.Sprint("s", n%servingImages),
			TailTarget: 50 * time.Millisecond, Estimate: time.Second,
		})
	}
	for tick := range 8000 {
		x.now = x.now.Add(25 * time.Millisecond)
		if tick%3 == 0 {
			x.submit(infra.Step{
				Count: 6, Size: fleet.Resources{MilliCPU: 7000, MemoryBytes: 1 << 30}, Filler: true, Estimate: time.Second,
				Image: fmt.Sprint("f", x.rng.IntN(fillerImages)),
			})
		}
		x.step(flow.Tick{Wall: x.now})
		x.report(ids[tick%simWorkers])
	}
	assert.Equal(t, len(x.saved), servingImages)
	wrong := 0
	for _, image := range x.saved {
		for _, p := range image.Pairs {
			assert.Assert(t, p.Variance >= 0 && p.Weight > -2 && p.Weight < 12, "%s beside %s: weight %v, variance %v", image.Image, p.Image, p.Weight, p.Variance)
			if truth := x.weight[[2]string{image.Image, p.Image}]; (p.Weight > 2.5) != (truth > 2.5) {
				wrong++
			}
		}
	}
	assert.Assert(t, wrong <= servingImages*fillerImages/5, "%d weights are on the wrong side of the prior", wrong)
}

// Tasks of one step have the same load. When it rises faster than the model of the load predicts, the fillers beside
// the tasks must not be blamed for it.
func TestRisingLoadIsNotAttributedToFillers(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("b"))
	h.report("a", infra.Report{})
	h.report("b", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("serving", infra.Step{
		Count: 2, Size: fleet.Resources{MilliCPU: 6000, MemoryBytes: 1 << 30}, LongRunning: true, Image: "serving", TailTarget: tailTarget,
		Estimate: time.Second,
	})})
	h.step(flow.Submitted{Job: singleStepJob("filler", infra.Step{
		Count: 2, Size: fleet.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Filler: true, Image: "filler", Estimate: time.Hour,
	})})
	h.advance(50 * time.Millisecond)
	running := make(map[fleet.WorkerID][]infra.ActiveRun)
	for _, s := range h.starts() {
		h.step(flow.StartAnswered{Worker: s.To.Worker, Order: s.Order, Clock: h.now.UnixMilli()})
		running[s.To.Worker] = append(running[s.To.Worker], infra.ActiveRun{Task: s.Order.Task, Run: s.Order.Run})
	}
	assert.Equal(t, len(running), 2)
	for n := range 10 {
		h.advance(500 * time.Millisecond)
		tail := 12 * math.Pow(1.14, float64(n))
		for id, runs := range running {
			for i := range runs {
				runs[i].Progress++
				if runs[i].Task.Job == "serving" {
					runs[i].Measurement = tail
				}
			}
			h.report(id, infra.Report{Running: runs})
		}
	}
	saved := false
	for _, e := range h.effects {
		s, ok := e.(flow.Save)
		if !ok {
			continue
		}
		for _, image := range s.Interference {
			for _, p := range image.Pairs {
				saved = true
				assert.Assert(t, p.Weight < 2.6, "weight %v", p.Weight)
			}
		}
	}
	assert.Assert(t, saved)
}

// The weights of interference are one value of the store. With hundreds of images it exceeded the largest value that the
// store takes, and since it was refused together with the progress of jobs, nothing was stored any more.
func TestStoredWeightsAreBounded(t *testing.T) {
	restored := flow.Restored{Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1}
	for i := range 900 {
		r := flow.InterferenceRecord{Image: fmt.Sprintf("serving-image-%d", i)}
		for k := range 48 {
			r.Pairs = append(r.Pairs, flow.PairWeightRecord{Image: fmt.Sprintf("filler-image-%d", k), Weight: 1 / float64(k+3), Variance: 0.3})
		}
		restored.Interference = append(restored.Interference, r)
	}
	restored.Interference = append(restored.Interference, flow.InterferenceRecord{
		Image: strings.Repeat("a", 1<<20), Pairs: []flow.PairWeightRecord{{Image: "filler-image-0", Weight: 1}},
	})
	h := newHarness(t, restored, newPoolWorker("a"))
	h.advance(4 * time.Second)
	var saved []flow.InterferenceRecord
	for _, e := range h.effects {
		if s, ok := e.(flow.Save); ok && s.Interference != nil {
			saved = s.Interference
		}
	}
	value, err := cbor.Marshal(saved)
	assert.NilError(t, err)
	assert.Assert(t, len(saved) > 50, "%d models", len(saved))
	assert.Assert(t, len(value) <= store.MaxValueBytes/2, "%d bytes", len(value))
}
