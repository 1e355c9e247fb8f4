package check_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/infra"
	"lovagefork.example/platform/wkfake"
	"lovagefork.example/soak/check"
)

// ticked adds the ticks of a time to observations.
func ticked(until float64, observations []observation) []observation {
	out := slices.Clone(observations)
	for at := 0.05; at <= until; at += 0.1 {
		out = append(out, observation{at, check.Ticked{}})
	}
	slices.SortStableFunc(out, func(a, b observation) int { return int(1000*a.at) - int(1000*b.at) })
	return out
}

// Guards against long-running tasks that stay down after a loss while nobody notices, and against alarms where the rule allows it:
// without room, beside faults, before a task's turn and after its job has ended.
func TestLongRunningTasksRunAgain(t *testing.T) {
	t.Parallel()
	size := func(milliCPU int64) infra.Job {
		return oneStep(func(j *infra.Job) { j.Steps[0].LongRunning, j.Steps[0].Size.MilliCPU = true, milliCPU })
	}
	lasting := size(1000)
	change := func(do func(*infra.Step)) infra.Job {
		j := size(1000)
		do(&j.Steps[0])
		return j
	}
	second := size(1000)
	second.Steps = append([]infra.Step{{Count: 1}}, second.Steps...)
	second.Steps[1].After = []int{0}
	scheduled := size(1000)
	scheduled.Schedule = infra.Schedule{Count: 1, Start: time.Now().Add(time.Hour).UnixMilli()}
	lost := []observation{{2, started("a", 0, 1)}, {3, gone("a")}}
	after := func(more ...observation) []observation { return append(slices.Clone(lost), more...) }
	fault := check.FaultBegan{}
	tests := []struct {
		name         string
		job          infra.Job
		observations []observation
		until        float64
		want         int
	}{
		{"a worker is lost", lasting, lost, 12.2, 1},
		{"a worker is lost, up to the bound", lasting, lost, 11.9, 0},
		{"a violation counts once", lasting, lost, 60, 1},
		{"each time that it is down counts", lasting, after(observation{15, started("b", 0, 2)}, observation{20, ended("b", 2, infra.OutcomeStopped)}), 40, 2},
		{"it runs again", lasting, after(observation{11, started("b", 0, 2)}), 60, 0},
		{"it never runs", lasting, nil, 10.2, 1},
		{"it never runs, up to the bound", lasting, nil, 9.9, 0},
		{"one of two runs", change(func(s *infra.Step) { s.Count = 2 }), []observation{{2, started("a", 0, 1)}}, 60, 1},
		{"it is done", lasting, []observation{{2, started("a", 0, 1)}, {3, ended("a", 1, infra.OutcomeDone)}}, 60, 0},

		{"there is room for one only", size(3000), lost, 60, 0},
		{"the other worker drains", lasting, after(observation{4, check.WorkerSaw{Event: wkfake.Draining{Worker: "b"}}}), 60, 0},
		{"no worker has the label", change(func(s *infra.Step) { s.Label = "x" }), lost, 60, 0},
		{"a worker has the label", change(func(s *infra.Step) { s.Label = "b" }), lost, 60, 1},
		{"one on each worker", change(func(s *infra.Step) { s.MaxPerWorker = 1 }), lost, 60, 0},
		{"two on each worker", change(func(s *infra.Step) { s.MaxPerWorker = 2 }), lost, 60, 1},
		{
			"the room comes late", size(3000),
			after(observation{30, check.WorkerJoined{Worker: "c", Capacity: capacity}}), 32.9, 0,
		},
		{
			"the room has come", size(3000),
			after(observation{30, check.WorkerJoined{Worker: "c", Capacity: capacity}}), 33.2, 1,
		},

		{"a fault is in force", lasting, after(observation{3, fault}), 60, 0},
		{"a planned fault is in force", lasting, after(observation{3, check.FaultBegan{IsPlanned: true}}), 60, 0},
		{"a fault has ended, up to the calm", lasting, after(observation{3, fault}, observation{10, check.FaultEnded{}}), 16.9, 0},
		{"a fault has ended", lasting, after(observation{3, fault}, observation{10, check.FaultEnded{}}), 17.2, 1},
		{"losses at a moment", lasting, after(observation{3, fault}, observation{3, check.FaultEnded{}}), 12.2, 1},
		{"a process starts, up to the calm", lasting, after(observation{10, check.HostStarted{Host: "h"}}), 16.9, 0},
		{"a process starts", lasting, after(observation{10, check.HostStarted{Host: "h"}}), 17.2, 1},

		{"the caller cancels", lasting, after(observation{4, check.CancelSent{Job: "j"}}), 60, 0},
		{
			"it has failed under two crashes", lasting,
			after(observation{4, started("b", 0, 2)}, observation{5, gone("b")},
				observation{5, check.WorkerJoined{Worker: "c", Capacity: capacity}},
				observation{14.5, check.StateSeen{Job: "j", State: infra.StateFailed}}), 60, 0,
		},
		{
			"it has not failed under two crashes", lasting,
			after(observation{4, started("b", 0, 2)}, observation{5, gone("b")}, observation{5, check.WorkerJoined{Worker: "c", Capacity: capacity}}), 60, 1,
		},
		{"the step before is not done", second, nil, 60, 0},
		{
			"the step before is done", second,
			[]observation{{2, started("a", 0, 1)}, {20, ended("a", 1, infra.OutcomeDone)}},
			29.2, 1,
		},
		{
			"the step before is done, up to the bound", second,
			[]observation{{2, started("a", 0, 1)}, {20, ended("a", 1, infra.OutcomeDone)}},
			28.9, 0,
		},
		{"it is not due", scheduled, nil, 60, 0},
		{"another job", oneStep(nil), lost, 60, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			all := append(accepted(test.job), test.observations...)
			all[1].ev = check.WorkerJoined{Worker: "b", Capacity: capacity, Labels: []string{"b"}}
			broken := observe(ticked(test.until, all))
			assert.Equal(t, len(broken), test.want, "%v", broken)
			for _, p := range broken {
				assert.Equal(t, p, check.Restarted)
			}
		})
	}
}
