package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// silenceAfterStart starts the only task of a job on the first incarnation of worker a, which does not answer from then on. It
// returns the scheduler and the job's last record.
func silenceAfterStart(t *testing.T, j infra.Job) (*harness, *flow.Record) {
	a := newPoolWorker("a")
	a.StartedAt = 1
	h := newHarness(t, flow.Restored{Term: 1}, a)
	h.report("a", infra.Report{StartedAt: 1})
	h.step(flow.Submitted{Job: j})
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.answerStarts()), 1)
	h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: &infra.NoAnswerError{Worker: "a"}})
	h.advance(300 * time.Millisecond)
	record := h.savedRecord("j")
	assert.Assert(t, record != nil)
	return h, record
}

// Guards against starts beyond the limit of a task that crashes its workers (BUDGET): the crash of a worker that its scheduler
// had found unreachable, but not yet crashed, was not counted after a takeover. A worker that was only cut off does not count.
func TestCrashOfUnreachableWorkerOutlivesItsScheduler(t *testing.T) {
	running := []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: 10}}
	for _, c := range []struct {
		name   string
		report infra.Report
		want   int
	}{
		{"the worker has restarted", infra.Report{StartedAt: 2}, 1},
		{"the worker was cut off", infra.Report{StartedAt: 1, Running: running}, 0},
		{"the run has ended", infra.Report{StartedAt: 1}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := singleStepJob("j", smallStep(1))
			_, record := silenceAfterStart(t, j)
			for term := int64(2); term < 4; term++ {
				h := newHarness(t, flow.Restored{
					Jobs: []flow.StoredJob{{Job: j, Record: record}}, Roster: []flow.RosterEntry{{Worker: "a", Address: "a:1"}}, Term: term,
				})
				report := c.report
				if term == 3 {
					// A later crash has other causes.
					report = infra.Report{StartedAt: 3}
				}
				h.reportTwice("a", report)
				h.advance(100 * time.Millisecond)
				if saved := h.savedRecord("j"); saved != nil {
					record = saved
				}
				assert.Equal(t, crashesIn(record), c.want, "term %d", term)
			}
		})
	}
}

// A worker that is reachable again has not crashed, and must not be taken for a crashed one by a successor.
func TestReturnOfUnreachableWorkerIsRecorded(t *testing.T) {
	h, record := silenceAfterStart(t, singleStepJob("j", smallStep(1)))
	open := func() string {
		tasks := record.Occurrences[0].Steps[0].Tasks
		if len(tasks) == 0 {
			return ""
		}
		assert.Equal(t, tasks[0].OpenRunOn, fleet.WorkerID(""))
		if len(tasks[0].Lost) == 0 {
			return ""
		}
		return string(tasks[0].Lost[0].Worker)
	}
	assert.Equal(t, open(), "a")
	h.report("a", infra.Report{StartedAt: 1, Running: []infra.ActiveRun{{Task: infra.TaskID{Job: "j"}, Run: 1, Progress: 10}}})
	h.advance(100 * time.Millisecond)
	record = h.savedRecord("j")
	assert.Equal(t, open(), "")
}
