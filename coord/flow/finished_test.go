package flow_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

var completedRecord = flow.Record{State: infra.StateCompleted, Completed: 1}

// finishedForms returns the jobs that batches have replaced by their finished forms, and forgets the effects so far.
func (h *harness) finishedForms() []infra.Job {
	var forms []infra.Job
	for _, e := range h.effects {
		if e, ok := e.(flow.Save); ok {
			forms = append(forms, e.Finished...)
		}
	}
	h.effects = nil
	return forms
}

// Finished jobs were stored with all of their steps for three times the time for which their state is shown. A successor had to
// read them all before it scheduled anything, and stored their progress again before that of its own runs.
func TestFinishedJobsAreStoredWithoutSteps(t *testing.T) {
	const count = 30
	var restored flow.Restored
	for n := range count {
		j := singleStepJob(fmt.Sprintf("j%02d", n), smallStep(1))
		j.Spec = "spec"
		restored.Jobs = append(restored.Jobs, flow.StoredJob{Job: j, Record: &completedRecord})
	}
	h := newHarness(t, restored)
	h.advance(500 * time.Millisecond)
	for _, e := range h.effects {
		if s, ok := e.(flow.Save); ok {
			assert.Equal(t, len(s.Jobs), 0, "stored again")
		}
	}
	h.advance(2 * time.Second)
	forms := h.finishedForms()
	assert.Equal(t, len(forms), 24)
	assert.Equal(t, forms[0].ID, fleet.JobID("j00"))
	assert.Equal(t, forms[0].Spec, "")
	assert.Equal(t, len(forms[0].Steps), 0)
	// The others wait for a batch with room.
	h.step(flow.Submitted{Job: singleStepJob("new", smallStep(1))})
	h.step(flow.CancelRequested{Job: "new"})
	h.advance(50 * time.Millisecond)
	assert.Equal(t, len(h.finishedForms()), count-24)
	h.advance(time.Minute)
	for _, j := range h.finishedForms() {
		assert.Equal(t, j.ID, fleet.JobID("new"))
	}
}

// The steps of a job with a run that is left say how much of its worker the run holds.
func TestJobWithARunKeepsItsSteps(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(1))})
	h.advance(300 * time.Millisecond)
	started := h.answerStarts()
	assert.Equal(t, len(started), 1)
	running := infra.Report{Running: []infra.ActiveRun{{Task: started[0].Order.Task, Run: started[0].Order.Run, Progress: 1}}}
	h.report("a", running)
	h.step(flow.CancelRequested{Job: "j"})
	next := 0
	for range 60 {
		h.advance(500 * time.Millisecond)
		h.report("a", running)
		// Another job is stored, so that each batch has room.
		id := fmt.Sprintf("other%d", next)
		next++
		h.step(flow.Submitted{Job: singleStepJob(id, infra.Step{Count: 1, Size: fleet.Resources{MilliCPU: 1 << 40}})})
		h.step(flow.CancelRequested{Job: fleet.JobID(id)})
	}
	for _, j := range h.finishedForms() {
		assert.Assert(t, j.ID != "j", "a run is left")
	}
}

// Batches were full of other jobs on a scheduler behind a slow link, and no job was reduced.
func TestFinishedJobsAreReducedBesideFullBatches(t *testing.T) {
	var restored flow.Restored
	for n := range 10 {
		restored.Jobs = append(restored.Jobs, flow.StoredJob{Job: singleStepJob(fmt.Sprintf("j%02d", n), smallStep(1)), Record: &completedRecord})
	}
	h := newHarness(t, restored)
	h.advance(2 * time.Second)
	for n := range 8 * 24 {
		id := fmt.Sprintf("other%03d", n)
		h.step(flow.Submitted{Job: singleStepJob(id, smallStep(1))})
		h.step(flow.CancelRequested{Job: fleet.JobID(id)})
	}
	h.effects = nil
	h.advance(25 * time.Millisecond)
	for _, e := range h.effects {
		s, ok := e.(flow.Save)
		assert.Assert(t, !ok || len(s.Jobs)+len(s.Finished) <= 27, "a transaction has 32 entries, five of which are others")
	}
	assert.Equal(t, len(h.finishedForms()), 10)
}

// A silent worker may hold a run of a finished job, whose size a successor would not know.
func TestFinishedJobsKeepTheirStepsWhileWorkersAreAwaited(t *testing.T) {
	var restored flow.Restored
	for n := range 30 {
		restored.Jobs = append(restored.Jobs, flow.StoredJob{Job: singleStepJob(fmt.Sprintf("j%02d", n), smallStep(1)), Record: &completedRecord})
	}
	restored.Roster, restored.Term = []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, 1
	h := newHarness(t, restored, newPoolWorker("a"))
	h.advance(4 * time.Second)
	assert.Equal(t, len(h.finishedForms()), 0)
	h.reportTwice("a", infra.Report{})
	h.advance(4 * time.Second)
	assert.Assert(t, len(h.finishedForms()) > 0)
}

// The watch, or a repeated submission, delivers the finished form of a job that the scheduler has dropped. It must not be taken
// for a new job.
func TestFinishedFormIsNoNewJob(t *testing.T) {
	j := singleStepJob("j", smallStep(1))
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"))
	h.report("a", infra.Report{})
	h.step(flow.Submitted{Job: flow.Finished(j), Revision: 10})
	h.advance(time.Second)
	_, known := h.m.State("j")
	assert.Assert(t, !known)
	assert.Equal(t, len(h.starts()), 0)
	// A successor shows its state, and stops what may run of it.
	h = newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: flow.Finished(j), Record: &completedRecord}}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, newPoolWorker("a"))
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateCompleted)
	h.step(flow.Submitted{Job: j})
	h.reportTwice("a", infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1}}})
	h.advance(time.Second)
	stops := 0
	for _, e := range h.effects {
		if _, ok := e.(flow.Stop); ok {
			stops++
		}
	}
	assert.Assert(t, stops > 0)
	assert.Equal(t, len(h.starts()), 0)
}

// A job that was cancelled after its end was stored was shown as completed, and after a takeover as cancelled.
func TestCompletedJobStaysCompletedAfterTakeover(t *testing.T) {
	h := newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1)), Record: &completedRecord, Cancelled: true}}, Term: 1,
	})
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateCompleted)
}

// Jobs without steps counted as jobs without work. After a takeover the mean work of their queue was close to zero, so that its
// jobs earned the highest credit and went before those of other queues.
func TestFinishedFormsDoNotCountAsWork(t *testing.T) {
	step := infra.Step{Count: 1, Size: fleet.Resources{MilliCPU: 10000, MemoryBytes: 1 << 30}}
	newJob := func(id, queue string, estimate time.Duration) infra.Job {
		step.Estimate = estimate
		return infra.Job{ID: fleet.JobID(id), Queue: queue, Steps: []infra.Step{step}}
	}
	restored := flow.Restored{Jobs: []flow.StoredJob{{Job: newJob("long", "old", time.Second)}, {Job: newJob("short", "new", 900*time.Millisecond)}}}
	for n := range 100 {
		j := newJob(fmt.Sprintf("j%02d", n), "old", time.Second)
		restored.Jobs = append(restored.Jobs, flow.StoredJob{Job: flow.Finished(j), Record: &completedRecord})
	}
	h := newHarness(t, restored, newPoolWorker("a"))
	catalog := testCatalog()
	catalog.Version = 2
	old, fresh := catalog.Queues[0], catalog.Queues[0]
	old.Name, fresh.Name = "old", "new"
	catalog.Queues = append(catalog.Queues, old, fresh)
	h.step(flow.Configured{Catalog: catalog})
	h.advance(200 * time.Millisecond)
	h.report("a", infra.Report{})
	h.advance(200 * time.Millisecond)
	started := h.starts()
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].Order.Task.Job, fleet.JobID("short"))
}
