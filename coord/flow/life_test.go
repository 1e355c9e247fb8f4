package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// leaseFromArrival is how long a run lasts after the arrival of the call that grants the longest lease, on a slow clock.
const leaseFromArrival = 6 * time.Second * 100 / 98

// twoWorkers returns a scheduler with two workers that grants leases of 5 s, and the start of a task on one of them.
func twoWorkers(t *testing.T) (*harness, flow.Start) {
	workers := []infra.Worker{newPoolWorker("a"), newPoolWorker("b")}
	for i := range workers {
		workers[i].StartedAt = 5
	}
	h := newHarnessOf(t, flow.New(7, flow.WithTaskLease(5*time.Second)), flow.Restored{}, workers...)
	h.report("a", infra.Report{StartedAt: 5})
	h.report("b", infra.Report{StartedAt: 5})
	h.step(flow.Submitted{Job: singleStepJob("job", smallStep(1))})
	h.advance(50 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 1)
	return h, starts[0]
}

// awaitStart lets a worker be silent while all others report, and returns how long it takes until a task starts.
func (h *harness) awaitStart(silent flow.Start) time.Duration {
	began := h.now
	for h.now.Sub(began) < 30*time.Second {
		for _, w := range h.m.Workers() {
			if w.Worker == silent.To.Worker {
				h.renewalFails(w.Worker)
				continue
			}
			h.report(w.Worker, infra.Report{StartedAt: 5})
		}
		h.advance(50 * time.Millisecond)
		if len(h.starts()) > 0 {
			break
		}
	}
	return h.now.Sub(began)
}

// noAnswer lets a start go unanswered.
func (h *harness) noAnswer(s flow.Start) {
	h.step(flow.StartAnswered{Worker: s.To.Worker, Order: s.Order, Err: &infra.NoAnswerError{Worker: s.To.Worker}})
}

// A start that reached the next life of its worker ran there under the longest lease, while the scheduler waited for that of the former
// life, by its clock (TWICE).
func TestUnlistedStartMayRunInTheNextLife(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(*harness, flow.Start)
		least  time.Duration
	}{
		"answered":              {func(h *harness, s flow.Start) { h.answerStart(s, h.now.UnixMilli()) }, leaseFromArrival},
		"answered, other clock": {func(h *harness, s flow.Start) { h.answerStart(s, 30) }, leaseFromArrival + 12*time.Second},
		"silent":                {func(h *harness, s flow.Start) { h.noAnswer(s) }, leaseFromArrival},
	} {
		t.Run(name, func(t *testing.T) {
			h, start := twoWorkers(t)
			h.advance(flow.OrderTimeout)
			c.answer(h, start)
			waited := h.awaitStart(start)
			assert.Assert(t, waited >= c.least-50*time.Millisecond && waited < c.least+2*time.Second, "waited for %v", waited)
		})
	}
}

// The same if the worker has announced the restart: a call without an answer may still be carried out 12 s after it was sent.
func TestUnlistedStartMayBeCarriedOutLateByTheNextLife(t *testing.T) {
	const longestDelay = 12 * time.Second
	h, start := twoWorkers(t)
	h.advance(flow.OrderTimeout)
	h.noAnswer(start)
	restarted := newPoolWorker(string(start.To.Worker))
	restarted.StartedAt = 6
	h.step(flow.WorkerListed{Worker: restarted})
	waited := h.awaitStart(start)
	least := longestDelay + leaseFromArrival - flow.OrderTimeout
	assert.Assert(t, waited >= least && waited < least+2*time.Second, "waited for %v", waited)
}

// The lease of a new life counted from the first renewal that granted one. A call for the former life had granted the longest one
// before, and what ran in the new life outlasted the wait for it (TWICE).
func TestLeaseOfANewLifeIsTheLongestOne(t *testing.T) {
	h, start := twoWorkers(t)
	h.answerStart(start, 30)
	running := infra.Report{StartedAt: 6, Running: []infra.ActiveRun{{Task: start.Order.Task, Run: start.Order.Run}}}
	h.report(start.To.Worker, running)
	h.advance(25 * time.Millisecond)
	h.report(start.To.Worker, running)
	h.effects = nil
	waited := h.awaitStart(start)
	assert.Assert(t, waited >= leaseFromArrival-50*time.Millisecond && waited < leaseFromArrival+500*time.Millisecond, "waited for %v", waited)
}

// A successor waited for the leases of a silent worker as if no later life of it could carry out calls of the former scheduler, up to
// 12 s late and under the longest lease (TWICE).
func TestSuccessorAwaitsLateCallsOnRestartedWorkers(t *testing.T) {
	const latest = 12*time.Second + leaseFromArrival
	entry := flow.RosterEntry{Worker: "a", Address: "a:1", RenewedBefore: 1, StartedAt: 5}
	restarted := entry
	restarted.Restarted = true
	for name, c := range map[string]struct {
		entry      flow.RosterEntry
		registered int64
		isAwaited  bool
	}{
		"same life":             {entry, 5, false},
		"registration":          {entry, 6, true},
		"entry of the roster":   {restarted, 5, true},
		"removed registration":  {restarted, 0, true},
		"earlier, life unknown": {flow.RosterEntry{Worker: "a", Address: "a:1", RenewedBefore: 1}, 6, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := newPoolWorker("a")
			a.StartedAt = c.registered
			workers := []infra.Worker{newPoolWorker("b")}
			if c.registered > 0 {
				workers = append(workers, a)
			}
			h := newHarness(t, flow.Restored{Term: 1, Roster: []flow.RosterEntry{c.entry}}, workers...)
			h.step(flow.PredecessorStopped{})
			stopped := h.now
			for h.m.AwaitedWorkers() > 0 {
				h.renewalFails("a")
				h.advance(100 * time.Millisecond)
			}
			waited := h.now.Sub(stopped)
			if c.isAwaited {
				assert.Assert(t, waited > latest && waited < latest+5*time.Second, "waited for %v", waited)
			} else {
				assert.Assert(t, waited < 7*time.Second, "waited for %v", waited)
			}
		})
	}
}

// The successor of a scheduler that had heard of a restart did not know of it once the registration had been removed.
func TestRosterTellsOfRestartsWithoutAnAnswer(t *testing.T) {
	h, _ := twoWorkers(t)
	a := newPoolWorker("a")
	a.StartedAt = 6
	h.step(flow.WorkerListed{Worker: a})
	h.renewalFails("a")
	h.advance(200 * time.Millisecond)
	assert.DeepEqual(t, h.lastRoster()[0], flow.RosterEntry{Worker: "a", Address: "a:1", RenewedBefore: 1, StartedAt: 5, Restarted: true})
	for range 3 {
		h.report("a", infra.Report{StartedAt: 6})
		h.advance(200 * time.Millisecond)
	}
	assert.DeepEqual(t, h.lastRoster()[0], flow.RosterEntry{Worker: "a", Address: "a:1", RenewedBefore: 1, StartedAt: 6})
}
