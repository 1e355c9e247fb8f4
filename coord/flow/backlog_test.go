package flow_test

import (
	"fmt"
	"math/bits"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// backlogPool is a scheduler with workers that carry out starts at once, and on which each run lasts until the next call of finish.
type backlogPool struct {
	*harness
	running map[fleet.WorkerID][]infra.StartOrder
	ended   map[fleet.WorkerID][]infra.EndedRun
	number  map[fleet.WorkerID]int64
	// starts counts those of each task.
	starts map[infra.TaskID]int
	// record and parts are the stored progress of the job, and largest is the size of the largest batch.
	record  *flow.Record
	parts   map[flow.PartKey]flow.Part
	largest int
	// checkpoint is reported for each run; empty if there is none.
	checkpoint string
}

// store applies the batches of the scheduler.
func (p *backlogPool) store() {
	for _, e := range p.effects {
		s, isSave := e.(flow.Save)
		if !isSave {
			continue
		}
		size := 0
		for _, j := range s.Jobs {
			p.record = &j.Record
			size += encodedSize(p.t, j.Record)
		}
		for _, part := range s.Parts {
			p.parts[part.Key] = part.Part
			size += encodedSize(p.t, part.Part)
		}
		for _, key := range s.DeleteParts {
			delete(p.parts, key)
		}
		p.largest = max(p.largest, size)
	}
}

func encodedSize(t *testing.T, v any) int {
	data, err := cbor.Marshal(v)
	assert.NilError(t, err)
	return len(data)
}

// stored returns the job as a successor reads it.
func (p *backlogPool) stored(j infra.Job) flow.StoredJob {
	s := flow.StoredJob{Job: j, Record: p.record}
	for key, part := range p.parts {
		s.Parts = append(s.Parts, flow.PartRecord{Key: key, Part: part})
	}
	return s
}

// poolIDs returns the IDs of n workers of ten cores.
func poolIDs(n int) (ids []fleet.WorkerID, workers []infra.Worker, roster []flow.RosterEntry) {
	for i := range n {
		w := newPoolWorker(fmt.Sprintf("w%02d", i))
		ids, workers, roster = append(ids, w.ID), append(workers, w), append(roster, flow.RosterEntry{Worker: w.ID, Address: w.Address})
	}
	return ids, workers, roster
}

func (p *backlogPool) run(ids []fleet.WorkerID, d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.advance(25 * time.Millisecond)
		for _, e := range p.effects {
			if s, isStart := e.(flow.Start); isStart {
				p.starts[s.Order.Task]++
				p.running[s.To.Worker] = append(p.running[s.To.Worker], s.Order)
				p.step(flow.StartAnswered{Worker: s.To.Worker, Order: s.Order, Clock: p.now.UnixMilli()})
			}
		}
		p.store()
		p.effects = nil
		for _, id := range ids {
			p.reportRuns(id)
		}
	}
}

func (p *backlogPool) reportRuns(id fleet.WorkerID) {
	p.ended[id] = slices.DeleteFunc(p.ended[id], func(e infra.EndedRun) bool { return e.Number <= p.acked[id] })
	r := infra.Report{Ended: p.ended[id]}
	for _, o := range p.running[id] {
		r.Running = append(r.Running, infra.ActiveRun{Task: o.Task, Run: o.Run, Progress: 1, Checkpoint: p.checkpoint})
	}
	p.report(id, r)
}

// finish ends all runs.
func (p *backlogPool) finish() {
	for id, orders := range p.running {
		for _, o := range orders {
			p.number[id]++
			p.ended[id] = append(p.ended[id], infra.EndedRun{Number: p.number[id], Task: o.Task, Run: o.Run, Outcome: infra.OutcomeDone})
		}
		p.running[id] = nil
	}
}

// takeOver elects a scheduler that has what the last one stored.
func (p *backlogPool) takeOver(t *testing.T, term int64, stored flow.StoredJob, workers []infra.Worker, roster []flow.RosterEntry) {
	now := time.Unix(1000, 0)
	if p.harness != nil {
		now = p.now
	}
	restored := flow.Restored{Term: term, Jobs: []flow.StoredJob{stored}}
	if term > 0 {
		restored.Roster = roster
	}
	h := &harness{t: t, m: flow.New(infra.Token(7 + 100*term)), now: now, seq: make(map[fleet.WorkerID]int64), acked: make(map[fleet.WorkerID]int64), revision: 100}
	h.step(flow.Tick{Wall: now})
	h.step(restored)
	h.step(flow.Configured{Catalog: testCatalog()})
	for _, w := range workers {
		h.step(flow.WorkerListed{Worker: w})
	}
	h.advance(50 * time.Millisecond)
	p.harness = h
}

// Guards against a job that takes the memory of a host (LOST): all due occurrences were created at once. Those that are created
// must be enough to fill the workers, because occurrences may overlap.
func TestDueOccurrencesAreCreatedAsTheyStart(t *testing.T) {
	const due = 525_600
	ids, workers, _ := poolIDs(40)
	j := singleStepJob("j", smallStep(1))
	j.Schedule = infra.Schedule{Count: due, Start: time.Unix(1000, 0).Add(-due * time.Minute).UnixMilli(), Interval: time.Minute}
	p := newBacklogPool()
	p.takeOver(t, 0, flow.StoredJob{Job: j}, workers, nil)
	for _, id := range ids {
		p.report(id, infra.Report{})
	}
	open := func() int {
		v, found := p.m.Job("j")
		assert.Assert(t, found)
		return len(v.Steps) + v.OmittedSteps
	}
	assert.Assert(t, open() <= 200, "%d", open())
	p.run(ids, 500*time.Millisecond)
	assert.Equal(t, len(p.starts), 400, "the workers have room for 400 tasks")
	assert.Assert(t, open() <= 600, "%d", open())
	for range 4 {
		p.finish()
		p.run(ids, 500*time.Millisecond)
	}
	assert.Equal(t, len(p.starts), 2000)
	for n := range int64(2000) {
		assert.Equal(t, p.starts[infra.TaskID{Job: "j", Occurrence: n}], 1, "occurrence %d", n)
	}
	assert.Assert(t, open() <= 600, "%d", open())
}

func newBacklogPool() *backlogPool {
	return &backlogPool{
		running: make(map[fleet.WorkerID][]infra.StartOrder), ended: make(map[fleet.WorkerID][]infra.EndedRun),
		number: make(map[fleet.WorkerID]int64), starts: make(map[infra.TaskID]int), parts: make(map[flow.PartKey]flow.Part),
	}
}

// maxBatch is the size that a batch of a slow link may have in bytes. The store accepts values of 1 MiB.
const maxBatch = 256 << 10

// Guards against a task that runs again, or never, after a change of the scheduler beside a large backlog (TWICE, LOST), and against
// writes that grow with it.
func TestBacklogSurvivesTakeovers(t *testing.T) {
	ids, workers, roster := poolIDs(40)
	j := singleStepJob("j", smallStep(50))
	j.Steps = append(j.Steps, infra.Step{Count: 1, Size: j.Steps[0].Size, Estimate: time.Second, After: []int{0}})
	j.Schedule = infra.Schedule{Count: 100, Start: time.Unix(1000, 0).Add(-24 * time.Hour).UnixMilli(), Interval: time.Minute}
	p := newBacklogPool()
	p.takeOver(t, 0, flow.StoredJob{Job: j}, workers, roster)
	state := func() infra.State {
		s, _ := p.m.State("j")
		return s
	}
	rounds := 0
	for term := int64(1); state() != infra.StateCompleted && rounds < 60; rounds++ {
		if rounds%5 == 4 {
			p.takeOver(t, term, p.stored(j), workers, roster)
			term++
		}
		for range 2 {
			for _, id := range ids {
				p.reportRuns(id)
			}
		}
		p.run(ids, 500*time.Millisecond)
		p.finish()
	}
	assert.Equal(t, state(), infra.StateCompleted)
	assert.Assert(t, rounds < 25, "5,100 tasks on workers with room for 400 took %d rounds", rounds)
	assert.Equal(t, len(p.starts), 5100)
	for id, n := range p.starts {
		assert.Equal(t, n, 1, "%+v", id)
	}
	assert.Assert(t, p.largest < maxBatch, "%d bytes", p.largest)
	p.run(ids, 2*time.Second)
	assert.Equal(t, len(p.parts), 0, "a job that is done has no parts")
}

// Guards against a record of one large sound job that the store does not accept (LOST): checkpoints of 20,000 tasks take 2 MB.
func TestCheckpointsOfLargeJobFitTheStore(t *testing.T) {
	ids, workers, roster := poolIDs(20)
	for i := range workers {
		workers[i].Capacity = fleet.Resources{MilliCPU: 1000 * infra.MaxTasks, MemoryBytes: 1 << 50}
	}
	step := smallStep(infra.MaxTasks)
	step.Checkpoints = true
	j := singleStepJob("j", step)
	p := newBacklogPool()
	p.checkpoint = "00000bb87a21d94b"
	p.takeOver(t, 0, flow.StoredJob{Job: j}, workers, roster)
	for _, id := range ids {
		p.report(id, infra.Report{})
	}
	for len(p.starts) < infra.MaxTasks {
		p.run(ids, 100*time.Millisecond)
	}
	// Each worker ends a hundred runs, and the others lapse unseen.
	for _, id := range ids {
		for n, o := range p.running[id] {
			outcome := infra.OutcomeDone
			if n >= 100 {
				outcome = infra.OutcomeFailed
			}
			p.number[id]++
			p.ended[id] = append(p.ended[id], infra.EndedRun{Number: p.number[id], Task: o.Task, Run: o.Run, Outcome: outcome, Checkpoint: p.checkpoint})
		}
		p.running[id] = nil
	}
	p.run(ids, 2*time.Second)
	assert.Assert(t, p.largest < maxBatch, "%d bytes", p.largest)
	done := 0
	for _, part := range p.parts {
		for _, b := range part.Done {
			done += bits.OnesCount8(b)
		}
	}
	assert.Equal(t, done, 100*len(ids))
	p.running = make(map[fleet.WorkerID][]infra.StartOrder)
	p.takeOver(t, 1, p.stored(j), workers, roster)
	for range 2 {
		for _, id := range ids {
			p.reportRuns(id)
		}
	}
	p.advance(100 * time.Millisecond)
	starts := p.harness.starts()
	assert.Assert(t, len(starts) > 0)
	for _, s := range starts {
		assert.Equal(t, s.Order.Checkpoint, p.checkpoint)
	}
}
