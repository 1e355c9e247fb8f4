package flow_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

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
		p.effects = slices.DeleteFunc(p.effects, func(e flow.Effect) bool { _, isSave := e.(flow.Save); return !isSave })
		for _, id := range ids {
			p.reportRuns(id)
		}
	}
}

func (p *backlogPool) reportRuns(id fleet.WorkerID) {
	p.ended[id] = slices.DeleteFunc(p.ended[id], func(e infra.EndedRun) bool { return e.Number <= p.acked[id] })
	r := infra.Report{Ended: p.ended[id]}
	for _, o := range p.running[id] {
		r.Running = append(r.Running, infra.ActiveRun{Task: o.Task, Run: o.Run, Progress: 1})
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
		return len(v.Steps)
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
		number: make(map[fleet.WorkerID]int64), starts: make(map[infra.TaskID]int),
	}
}
