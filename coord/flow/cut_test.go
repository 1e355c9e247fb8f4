package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// cutPlan cuts the worker of a lasting task off again and again, with refused connections and until its lease has expired.
type cutPlan struct {
	h       *harness
	job     infra.Job
	workers []fleet.WorkerID
	ends    map[fleet.WorkerID]int64
	starts  int
}

func newCutPlan(t *testing.T, workers ...fleet.WorkerID) *cutPlan {
	p := &cutPlan{h: newHarness(t, flow.Restored{}), job: singleStepJob("j", lastingStep(1, 1000)), workers: workers, ends: make(map[fleet.WorkerID]int64)}
	for _, id := range workers {
		w := newPoolWorker(string(id))
		w.StartedAt = 1
		p.h.step(flow.WorkerListed{Worker: w})
	}
	p.h.step(flow.Submitted{Job: p.job})
	return p
}

// cut lets the task run for a while and then cuts its worker off. It returns the start, and false if the task does not start.
func (p *cutPlan) cut(runs time.Duration) (flow.Start, bool) {
	for range 60 {
		p.reportIdle()
		p.h.advance(50 * time.Millisecond)
		for _, s := range p.h.answerStarts() {
			p.starts++
			for ran := time.Duration(0); ran < runs; ran += 100 * time.Millisecond {
				p.h.advance(100 * time.Millisecond)
				p.h.report(s.To.Worker, infra.Report{StartedAt: 1, Running: []infra.ActiveRun{{Task: s.Order.Task, Run: s.Order.Run, Progress: 100}}})
			}
			p.h.refuse(s.To.Worker)
			return s, true
		}
	}
	return flow.Start{}, false
}

// reportIdle lets the workers that are not cut off report that they run nothing.
func (p *cutPlan) reportIdle() {
	for _, id := range p.workers {
		p.h.report(id, infra.Report{StartedAt: 1})
	}
}

// heal lets the worker of a run answer in the life in which it was cut off. The run has lapsed.
func (p *cutPlan) heal(s flow.Start) {
	id := s.To.Worker
	p.ends[id]++
	end := infra.EndedRun{Number: p.ends[id], Task: s.Order.Task, Run: s.Order.Run, Outcome: infra.OutcomeLeaseExpired}
	p.h.report(id, infra.Report{StartedAt: 1, Ended: []infra.EndedRun{end}})
	p.h.advance(50 * time.Millisecond)
}

// Guards against jobs that are shown as failed although no worker has crashed (LOST): refused connections counted as crashes, and
// were not taken back when the worker answered in the same life.
func TestCutsThatRefuseConnectionsFailNoJob(t *testing.T) {
	for _, runs := range []time.Duration{0, 2 * time.Second} {
		p := newCutPlan(t, "a", "b")
		for range 8 {
			s, started := p.cut(runs)
			assert.Assert(t, started, "%d starts", p.starts)
			p.heal(s)
		}
		state, _ := p.h.m.State("j")
		assert.Equal(t, state, infra.StateRunning)
		assert.Equal(t, p.h.m.Counts().Crashes, int64(0))
	}
}

// The same beside changes of the scheduler: what one has recorded as lost must be taken back by its successor.
func TestCutsBesideTakeoversFailNoJob(t *testing.T) {
	p := newCutPlan(t, "a", "b")
	for term := int64(2); term < 10; term++ {
		s, started := p.cut(0)
		assert.Assert(t, started, "term %d", term)
		record := p.h.savedRecord("j")
		assert.Assert(t, record != nil)
		roster := []flow.RosterEntry{{Worker: "a", Address: "a:1", StartedAt: 1}, {Worker: "b", Address: "b:1", StartedAt: 1}}
		p.h = newHarness(t, flow.Restored{Jobs: []flow.StoredJob{{Job: p.job, Record: record}}, Roster: roster, Term: term})
		for _, id := range p.workers {
			w := newPoolWorker(string(id))
			w.StartedAt = 1
			p.h.step(flow.WorkerListed{Worker: w})
		}
		p.ends[s.To.Worker] = 0
		p.reportIdle()
		p.heal(s)
		assert.Equal(t, p.h.m.Counts().Crashes, int64(0))
	}
	state, _ := p.h.m.State("j")
	assert.Equal(t, state, infra.StateRunning)
}

// Guards against a task that crashes its workers and is started without end because they do not return (BUDGET): the workers that
// have not answered since count against further starts, until they do.
func TestTaskWaitsForLostWorkers(t *testing.T) {
	for _, runs := range []time.Duration{0, 2 * time.Second} {
		p := newCutPlan(t, "a", "b", "c", "d", "e", "f", "g", "h")
		var last flow.Start
		for {
			s, started := p.cut(runs)
			if !started {
				break
			}
			last = s
			// The others that were cut off stay away.
			p.workers = without(p.workers, s.To.Worker)
			assert.Assert(t, p.starts <= maxCrashesUnderTask+maxStartsAfterCrashes, "%d starts", p.starts)
		}
		state, _ := p.h.m.State("j")
		assert.Equal(t, state, infra.StateRunning)
		before := p.starts
		p.heal(last)
		_, started := p.cut(runs)
		assert.Assert(t, started, "the task does not start after a lost worker has answered, %d starts", before)
	}
}

func without(ids []fleet.WorkerID, id fleet.WorkerID) []fleet.WorkerID {
	var others []fleet.WorkerID
	for _, o := range ids {
		if o != id {
			others = append(others, o)
		}
	}
	return others
}

// Guards against a job that waits for ever for workers that are gone: a task that was lost soon after each start is given up, and
// one that was lost later starts again.
func TestWaitForGoneWorkersEnds(t *testing.T) {
	for _, runs := range []time.Duration{0, 2 * time.Second} {
		p := newCutPlan(t, "a", "b", "c", "d", "e", "f", "g", "h")
		for {
			s, started := p.cut(runs)
			if !started {
				break
			}
			p.workers = without(p.workers, s.To.Worker)
		}
		waited := p.starts
		for range 700 {
			p.reportIdle()
			p.h.advance(50 * time.Millisecond)
			p.starts += len(p.h.answerStarts())
		}
		state, _ := p.h.m.State("j")
		isRecent := runs == 0
		assert.Equal(t, state == infra.StateFailed, isRecent)
		assert.Equal(t, p.starts > waited, !isRecent)
	}
}

// Guards against an uncounted crash (BUDGET): its scheduler was lost between the crash and the return of the worker, under its own
// ID or under another one at its address.
func TestCrashIsCountedByTheNextScheduler(t *testing.T) {
	for _, isOther := range []bool{false, true} {
		j := singleStepJob("j", smallStep(1))
		former, record := silenceAfterStart(t, j)
		former.refuse("a")
		if saved := former.savedRecord("j"); saved != nil {
			record = saved
		}
		assert.Equal(t, crashesIn(record), 0)
		h := newHarness(t, flow.Restored{Jobs: []flow.StoredJob{{Job: j, Record: record}}, Term: 2})
		returned := newPoolWorker("a")
		if isOther {
			returned = newPoolWorker("z")
			returned.Address = "a:1"
		}
		returned.StartedAt = 2
		h.step(flow.WorkerListed{Worker: returned})
		h.reportTwice(returned.ID, infra.Report{StartedAt: 2})
		h.advance(100 * time.Millisecond)
		record = h.savedRecord("j")
		assert.Equal(t, crashesIn(record), 1)
		assert.Equal(t, len(record.Occurrences[0].Steps[0].Tasks[0].Lost), 0)
	}
}

// Guards against a sound job that is shown as failed (LOST): starts that were not sent, because their workers had just crashed, counted as
// runs under which these workers had crashed.
func TestStartThatWasNotSentIsNoLostRun(t *testing.T) {
	a := newPoolWorker("a")
	a.StartedAt = 1
	h := newHarness(t, flow.Restored{Term: 1}, a)
	h.report("a", infra.Report{StartedAt: 1})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.advance(50 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 1)
	refused := &infra.NotSentError{Worker: "a", ConnRefused: true}
	h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: refused})
	h.step(flow.StartAnswered{Worker: "a", Order: starts[0].Order, Err: refused})
	h.advance(50 * time.Millisecond)
	h.reportTwice("a", infra.Report{StartedAt: 2})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, h.m.Counts().Crashes, int64(0))
	assert.Equal(t, h.savedCrashes("j"), 0)
}

// Guards against both sides at once: workers that are cut off with refused connections fail no job (LOST), and hide no task that
// crashes its workers (BUDGET).
func TestCrashingTasksBesideCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(6, 20).Draw(t, "workers"))
		sim.logTo(t)
		scheduleCrashes(t, sim)
		span := time.Duration(rapid.IntRange(1500, 6500).Draw(t, "cut_span")) * time.Millisecond
		for n := range rapid.IntRange(1, 4).Draw(t, "cuts") {
			sim.after(span*time.Duration(n)+time.Second, func() {
				for range 1 + len(sim.workerIDs)/6 {
					id := sim.workerIDs[sim.rng.IntN(len(sim.workerIDs))]
					sim.partition(id, span*9/10)
					sim.workers[id].refusesConns = true
				}
			})
		}
		sim.run(20*time.Second + settleTime)
		sim.crashes.check(sim)
		assert.Assert(t, len(sim.violations) == 0, "%q", sim.violations)
		for _, id := range sim.jobIDs {
			state, found := sim.leader.m.State(id)
			assert.Assert(t, found && state.Final(), "job %s has not ended, it is %s", id, state)
			if state == infra.StateFailed {
				assert.Assert(t, sim.crashes.mayFail(sim.jobs[id]), "job %s failed without cause", id)
			}
		}
	})
}
