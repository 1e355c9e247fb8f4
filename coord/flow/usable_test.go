package flow_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// restartingWorker is a worker that starts again under its ID, and what the scheduler's store says about it.
type restartingWorker struct {
	*harness
	present infra.Worker
	former  []infra.Worker
	running []infra.ActiveRun
	ended   []infra.EndedRun
	// sent are the starts that the scheduler has sent, of which each may be carried out late.
	sent []infra.StartOrder
	jobs int
}

func (r *restartingWorker) submit() {
	r.jobs++
	step := smallStep(2)
	step.Size.MilliCPU = 4000
	r.step(flow.Submitted{Job: singleStepJob(fmt.Sprintf("j%03d", r.jobs), step)})
}

// restart begins another life. Its start time is earlier if the clock of the worker's host was set back, but not that of another
// life.
func (r *restartingWorker) restart(address string, startedAt int64) {
	r.former = append(r.former, r.present)
	for slices.ContainsFunc(r.former, func(f infra.Worker) bool { return f.StartedAt == startedAt }) {
		startedAt++
	}
	r.present.StartedAt, r.present.Address = startedAt, address
	r.running, r.ended = nil, nil
}

// carryOut begins a run unless it is there or has ended.
func (r *restartingWorker) carryOut(o infra.StartOrder) {
	for _, row := range r.running {
		if row.Task == o.Task {
			return
		}
	}
	for _, e := range r.ended {
		if e.Task == o.Task && e.Run >= o.Run {
			return
		}
	}
	r.running = append(r.running, infra.ActiveRun{Task: o.Task, Run: o.Run, Progress: 5})
}

func (r *restartingWorker) end(i int, outcome infra.Outcome) {
	row := r.running[i]
	r.running = append(append([]infra.ActiveRun(nil), r.running[:i]...), r.running[i+1:]...)
	r.ended = append(r.ended, infra.EndedRun{Number: int64(len(r.ended) + 1), Task: row.Task, Run: row.Run, Outcome: outcome})
}

// answerRenewal answers the last renewal from the address to which it was sent.
func (r *restartingWorker) answerRenewal(to string) {
	if to != r.present.Address {
		r.step(flow.RenewFailed{Worker: "a", Sequence: r.seq["a"], Err: &infra.NotSentError{Worker: "a", ConnRefused: true}})
		return
	}
	r.report("a", infra.Report{StartedAt: r.present.StartedAt, Running: r.running, Ended: r.ended})
}

// handle carries out the orders of the scheduler; answers reports whether the worker answers its starts and stops.
func (r *restartingWorker) handle(answers bool) {
	effects := r.effects
	r.effects = nil
	for i := range r.running {
		r.running[i].Progress = min(95, r.running[i].Progress+5)
	}
	to := ""
	for _, e := range effects {
		switch e := e.(type) {
		case flow.Renew:
			to = e.To.HostPort
		case flow.LookUpJobs:
			r.step(flow.JobsLookedUp(e))
		case flow.Start:
			r.sent = append(r.sent, e.Order)
			if !answers || e.To.HostPort != r.present.Address {
				r.step(flow.StartAnswered{Worker: "a", Order: e.Order, Err: &infra.NoAnswerError{Worker: "a"}})
				continue
			}
			r.carryOut(e.Order)
			r.step(flow.StartAnswered{Worker: "a", Order: e.Order, Clock: r.now.UnixMilli()})
		case flow.Stop:
			if !answers || e.To.HostPort != r.present.Address {
				r.step(flow.StopAnswered{Worker: "a", Order: e.Order, Err: &infra.NoAnswerError{Worker: "a"}})
				continue
			}
			for i, row := range r.running {
				if row.Task == e.Order.Task && row.Run <= e.Order.Run {
					r.end(i, infra.OutcomeStopped)
					break
				}
			}
			r.step(flow.StopAnswered{Worker: "a", Order: e.Order, Clock: r.now.UnixMilli()})
		default:
		}
	}
	if to != "" {
		r.answerRenewal(to)
	}
}

// Guards against a worker that takes no task any more after an order of restarts, registrations, silence and late orders, although
// it answers and renews its registration.
func TestWorkerIsUsableAfterRestarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a := newPoolWorker("a")
		a.StartedAt = 1000
		r := &restartingWorker{harness: newHarness(t, flow.Restored{}, a), present: a}
		setBack := rapid.Bool().Draw(rt, "clock set back")
		moves := rapid.Bool().Draw(rt, "moves")
		for range rapid.IntRange(1, 25).Draw(rt, "events") {
			switch event := rapid.IntRange(0, 9).Draw(rt, "event"); event {
			case 0:
				startedAt, address := r.present.StartedAt+int64(rapid.IntRange(1, 9).Draw(rt, "later")), r.present.Address
				if setBack && rapid.Bool().Draw(rt, "set back") {
					startedAt -= 20
				}
				if moves && rapid.Bool().Draw(rt, "moved") {
					address = fmt.Sprintf("a:%d", len(r.former)+2)
				}
				r.restart(address, startedAt)
			case 1:
				r.step(flow.WorkerListed{Worker: r.present})
			case 2:
				if len(r.former) > 0 {
					r.step(flow.WorkerListed{Worker: rapid.SampledFrom(r.former).Draw(rt, "former")})
				}
			case 3:
				r.step(flow.WorkerUnlisted{Worker: "a"})
			case 4:
				r.submit()
			case 5:
				r.step(flow.RenewFailed{Worker: "a", Sequence: r.seq["a"], Err: &infra.NoAnswerError{Worker: "a"}})
			case 6:
				if len(r.sent) > 0 {
					r.carryOut(rapid.SampledFrom(r.sent).Draw(rt, "late"))
				}
			case 7:
				r.carryOut(infra.StartOrder{Task: infra.TaskID{Job: fleet.JobID(rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "unknown"))}, Run: 3})
			default:
				r.handle(rapid.Bool().Draw(rt, "answers"))
			}
			r.advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "pause")) * 25 * time.Millisecond)
		}
		for n := range 400 {
			if n%20 == 0 {
				r.step(flow.WorkerListed{Worker: r.present})
			}
			r.handle(true)
			if len(r.running) > 0 && r.running[0].Progress == 95 {
				r.end(0, infra.OutcomeDone)
			}
			r.advance(50 * time.Millisecond)
		}
		views := r.m.Workers()
		assert.Assert(rt, len(views) == 1 && views[0].UnusableReason == "", strings.TrimSpace(fmt.Sprintf("%+v", views)))
	})
}
