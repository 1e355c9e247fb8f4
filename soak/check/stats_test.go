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

// Guards against plays in which tasks wait for long and no other promise is broken.
func TestStartsAreInTime(t *testing.T) {
	t.Parallel()
	for _, limit := range []time.Duration{0, time.Second, 2 * time.Second} {
		c := check.New(check.WithStartLimit(limit))
		c.Step(0, check.WorkerJoined{Worker: "a"})
		c.Step(0, check.Submitted{Job: infra.Job{ID: "j", Steps: []infra.Step{{Count: 1}}}, MaxAttempts: 4})
		c.Step(1500*time.Millisecond, check.WorkerSaw{Event: wkfake.Started{RunID: wkfake.RunID{Worker: "a", Task: infra.TaskID{Job: "j"}, Run: 1}}})
		violations := c.Step(3*time.Second, check.Finished{})
		assert.Equal(t, len(violations), map[time.Duration]int{time.Second: 1}[limit], "%v", violations)
		for _, v := range violations {
			assert.Equal(t, v.Promise, check.Prompt)
		}
	}
}
