package check_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/infra"
	"lovagefork.example/platform/wkfake"
	"lovagefork.example/soak/check"
)

// Guards against summaries by which the collapse of a scheduler looks like a good play.
func TestSummaries(t *testing.T) {
	t.Parallel()
	spec := infra.Job{ID: "j", Steps: []infra.Step{{Count: 2, LongRunning: true}}}
	c := check.New()
	run := func(index int, number infra.Run) wkfake.RunID {
		return wkfake.RunID{Worker: "w", Task: infra.TaskID{Job: "j", Index: index}, Run: number}
	}
	for _, step := range []struct {
		at time.Duration
		ev check.Event
	}{
		{0, check.WorkerJoined{Worker: "w"}},
		{time.Second, check.Submitted{Job: spec, MaxAttempts: 4}},
		{2 * time.Second, check.Submitted{Job: spec, MaxAttempts: 4}},
		{3 * time.Second, check.WorkerSaw{Event: wkfake.Started{RunID: run(0, 1)}}},
		{5 * time.Second, check.WorkerSaw{Event: wkfake.Started{RunID: run(1, 1)}}},
		{6 * time.Second, check.WorkerSaw{Event: wkfake.Ended{RunID: run(0, 1), Outcome: infra.OutcomeLeaseExpired}}},
		{7 * time.Second, check.WorkerSaw{Event: wkfake.Ended{RunID: run(1, 1), Outcome: infra.OutcomeStopped}}},
		{9500 * time.Millisecond, check.WorkerSaw{Event: wkfake.Started{RunID: run(0, 2)}}},
		{11 * time.Second, check.WorkerSaw{Event: wkfake.Started{RunID: run(1, 2)}}},
	} {
		c.Step(step.at, step.ev)
	}
	assert.Equal(t, c.FirstStarts(), check.Waits{Count: 2, P50: 2 * time.Second, P95: 2 * time.Second, Max: 4 * time.Second})
	assert.Equal(t, c.Restarts(), check.Waits{Count: 2, P50: 3500 * time.Millisecond, P95: 3500 * time.Millisecond, Max: 4 * time.Second})
	assert.Equal(t, c.Lapsed(), 1)
	assert.DeepEqual(t, c.StartsPerSecond(3*time.Second, 7), []int{1, 0, 1, 0, 0, 0, 1})
	assert.Equal(t, check.New().FirstStarts(), check.Waits{})
}
