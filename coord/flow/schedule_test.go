package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// early is a successor whose clock is 11 s or more behind that of its predecessor: a worker reports a run of the occurrence 1 of
// a job with three, of which the first is due in 11 s and the others 4 s apart.
type early struct {
	*harness
	job  infra.Job
	task infra.TaskID
}

func newEarly(t *testing.T, report infra.Report) *early {
	e := &early{task: infra.TaskID{Job: "j", Occurrence: 1}, job: singleStepJob("j", smallStep(2))}
	e.job.Schedule = infra.Schedule{Count: 3, Start: time.Unix(1011, 0).UnixMilli(), Interval: 4 * time.Second}
	e.takeOver(t, flow.StoredJob{Job: e.job}, time.Unix(1000, 0))
	e.reportTwice("a", report)
	return e
}

// takeOver elects a scheduler at a time.
func (e *early) takeOver(t *testing.T, stored flow.StoredJob, at time.Time) {
	e.harness = newHarness(t, flow.Restored{
		Jobs: []flow.StoredJob{stored}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: 1,
	}, newPoolWorker("a"))
	if d := at.Sub(e.now); d > 0 {
		e.advance(d)
	}
}

func (e *early) ended(number int64, outcome infra.Outcome) infra.EndedRun {
	return infra.EndedRun{Number: number, Task: e.task, Run: 1, Outcome: outcome}
}

// startsUntil returns the tasks that start up to a time, with the time of their start.
func (e *early) startsUntil(at time.Time) map[infra.TaskID]time.Time {
	started := make(map[infra.TaskID]time.Time)
	for e.now.Before(at) {
		e.advance(100 * time.Millisecond)
		for _, s := range e.answerStarts() {
			started[s.Order.Task] = e.now
		}
	}
	return started
}

func (e *early) assertStartsWhenDue(t *testing.T) {
	t.Helper()
	started := e.startsUntil(time.Unix(1022, 0))
	_, again := started[e.task]
	assert.Assert(t, !again, "the task that is done was started again")
	assert.Equal(t, len(started), 5)
	for id, at := range started {
		due := time.UnixMilli(e.job.Schedule.Start).Add(time.Duration(id.Occurrence) * e.job.Schedule.Interval)
		assert.Assert(t, !at.Before(due) && at.Before(due.Add(300*time.Millisecond)), "%+v, due at %v, was started at %v", id, due, at)
	}
}

// Guards against a second run of a task that is done (TWICE): the end of an occurrence that was due in more than 10 s was
// acknowledged and dropped. The tasks beside it must not start before they are due (ORDER).
func TestEndOfOccurrenceFarAheadIsKept(t *testing.T) {
	t.Run("by the scheduler", func(t *testing.T) {
		e := newEarly(t, infra.Report{})
		assert.Equal(t, e.acknowledged("a", infra.Report{Ended: []infra.EndedRun{e.ended(1, infra.OutcomeDone)}}), int64(1))
		e.assertStartsWhenDue(t)
	})
	t.Run("by its successor", func(t *testing.T) {
		e := newEarly(t, infra.Report{})
		e.report("a", infra.Report{Ended: []infra.EndedRun{e.ended(1, infra.OutcomeDone)}})
		e.advance(50 * time.Millisecond)
		var stored *flow.Record
		for _, effect := range e.effects {
			if s, isSave := effect.(flow.Save); isSave && len(s.Jobs) > 0 {
				stored = &s.Jobs[len(s.Jobs)-1].Record
			}
		}
		assert.Assert(t, stored != nil)
		e.takeOver(t, flow.StoredJob{Job: e.job, Record: stored}, time.Unix(1002, 0))
		e.reportTwice("a", infra.Report{})
		e.assertStartsWhenDue(t)
	})
}

// The run of an occurrence that was due in more than 10 s was stopped. If it fails, its task must not start again before it is
// due (ORDER).
func TestRunOfOccurrenceFarAheadIsAdopted(t *testing.T) {
	e := newEarly(t, infra.Report{Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j", Occurrence: 1}, Run: 1, Progress: 10}}})
	assert.Equal(t, len(e.stops()), 0)
	e.report("a", infra.Report{Ended: []infra.EndedRun{e.ended(1, infra.OutcomeFailed)}})
	started := e.startsUntil(time.Unix(1022, 0))
	assert.Equal(t, len(started), 6)
	assert.Assert(t, !started[e.task].Before(time.Unix(1015, 0)))
}

// A job whose later occurrence is done first is complete once the others are.
func TestJobWithEarlyOccurrenceCompletes(t *testing.T) {
	e := newEarly(t, infra.Report{})
	n := int64(1)
	ended := []infra.EndedRun{e.ended(n, infra.OutcomeDone)}
	e.report("a", infra.Report{Ended: ended})
	for e.now.Before(time.Unix(1024, 0)) {
		e.advance(100 * time.Millisecond)
		for _, s := range e.answerStarts() {
			n++
			ended = append(ended, infra.EndedRun{Number: n, Task: s.Order.Task, Run: s.Order.Run, Outcome: infra.OutcomeDone})
		}
		e.report("a", infra.Report{Ended: ended})
		state, _ := e.m.State("j")
		assert.Assert(t, n == 6 || state != infra.StateCompleted, "completed at %v, after %d ends", e.now, n)
	}
	state, _ := e.m.State("j")
	assert.Equal(t, state, infra.StateCompleted)
	assert.Equal(t, n, int64(6))
}

// Guards against a scheduler that ends itself: a run of a task of a complete occurrence is left on a worker, and its end is reported last.
func TestEndOfLastRunOfCompleteOccurrence(t *testing.T) {
	for _, outcome := range []infra.Outcome{infra.OutcomeDone, infra.OutcomeFailed, infra.OutcomeStopped} {
		j := singleStepJob("j", smallStep(1))
		j.Schedule = infra.Schedule{Count: 2, Start: time.Unix(999, 0).UnixMilli(), Interval: time.Hour}
		h := newHarness(t, flow.Restored{
			Jobs: []flow.StoredJob{{Job: j}}, Term: 1,
			Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}, {Worker: "b", Address: "b:1"}},
		}, newPoolWorker("a"), newPoolWorker("b"))
		task := infra.TaskID{Job: "j"}
		h.report("a", infra.Report{Running: []infra.ActiveRun{{Task: task, Run: 2}}})
		h.report("b", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: task, Run: 1, Outcome: infra.OutcomeDone}}})
		h.advance(100 * time.Millisecond)
		h.report("a", infra.Report{Ended: []infra.EndedRun{{Number: 1, Task: task, Run: 2, Outcome: outcome}}})
		h.advance(100 * time.Millisecond)
		// A third run is reported although the occurrence is forgotten.
		h.report("b", infra.Report{Running: []infra.ActiveRun{{Task: task, Run: 3}}})
		h.advance(100 * time.Millisecond)
		assert.Assert(t, len(h.stops()) > 0)
		state, _ := h.m.State("j")
		assert.Equal(t, state, infra.StateRunning)
	}
}
