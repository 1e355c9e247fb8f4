package flow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// An entry of another writer that looks like a worker was stored in the roster, so that each successor waited for it for
// 13 s before it started the tasks of its predecessor.
func TestWorkerThatNeverAnsweredIsNotInRoster(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("a"), newPoolWorker("stranger"))
	h.report("a", infra.Report{})
	for range 8 {
		h.renewalFails("stranger")
		h.advance(500 * time.Millisecond)
		h.report("a", infra.Report{})
	}
	assert.DeepEqual(t, h.lastRoster(), []flow.RosterEntry{{Worker: "a", Address: "a:1", RenewedBefore: 1}})
}

// Entries of another writer that look like workers were called four times a second each.
func TestWorkerThatNeverAnsweredIsCalledRarely(t *testing.T) {
	h := newHarness(t, flow.Restored{}, newPoolWorker("stranger"))
	calls := int64(0)
	for range 400 {
		if h.seq["stranger"] > calls {
			calls = h.seq["stranger"]
			h.renewalFails("stranger")
		}
		h.advance(25 * time.Millisecond)
	}
	assert.Assert(t, calls >= 5 && calls <= 9, "%d calls in 10 s", calls)
}

// runningWorker returns a scheduler with a task that runs on the worker a, and the row of its reports. The worker b is free.
func runningWorker(t *testing.T) (*harness, infra.Worker, infra.Report) {
	a := newPoolWorker("a")
	a.StartedAt = 5
	h := newHarness(t, flow.Restored{Jobs: []flow.StoredJob{{Job: singleStepJob("j", smallStep(1))}}}, a)
	h.report("a", infra.Report{StartedAt: 5})
	h.advance(50 * time.Millisecond)
	started := h.starts()
	assert.Equal(t, len(started), 1)
	order := started[0].Order
	report := infra.Report{StartedAt: 5, Running: []infra.ActiveRun{{Task: order.Task, Run: order.Run, Progress: 10}}}
	h.report("a", report)
	h.step(flow.WorkerListed{Worker: newPoolWorker("b")})
	h.report("b", infra.Report{})
	h.advance(50 * time.Millisecond)
	return h, a, report
}

// lastRenewal returns the last [flow.Renew] of a worker.
func (h *harness) lastRenewal(id fleet.WorkerID) flow.Renew {
	var last flow.Renew
	for _, e := range h.effects {
		if r, ok := e.(flow.Renew); ok && r.To.Worker == id {
			last = r
		}
	}
	return last
}

// misdirected fails the latest [flow.Renew] of a worker because another worker listens at its address.
func (h *harness) misdirected(id fleet.WorkerID) {
	h.step(flow.RenewFailed{Worker: id, Sequence: h.seq[id], Err: &infra.RefusedError{Worker: id, Reason: infra.ReasonInstance}})
}

// An entry of another writer under the key of a live worker led its renewals to another address, and the answer of the
// worker there ended its runs, which started again elsewhere.
func TestRegistrationWithAnotherAddressIsIgnored(t *testing.T) {
	h, a, report := runningWorker(t)
	other := a
	other.Address = "b:1"
	h.step(flow.WorkerListed{Worker: other})
	h.report("a", report)
	h.advance(200 * time.Millisecond)
	assert.Equal(t, h.lastRenewal("a").To.HostPort, "a:1")
	assert.Equal(t, len(h.starts()), 0)
}

// An entry of another writer with a later start time was taken for a restart, and the tasks of the worker started again
// while they were still running.
func TestAnnouncedRestartIsNotConfirmed(t *testing.T) {
	for name, address := range map[string]string{"same address": "a:1", "address of another worker": "b:1"} {
		t.Run(name, func(t *testing.T) {
			h, a, report := runningWorker(t)
			odd := a
			odd.StartedAt, odd.Address = 99, address
			h.step(flow.WorkerListed{Worker: odd})
			renewal := h.lastRenewal("a")
			assert.Equal(t, renewal.To.HostPort, address)
			// The token is that after the one of the orders before, see TestNextLifeFencesCallsForTheFormerOne.
			assert.DeepEqual(t, renewal.Order, infra.RenewOrder{Token: 8})
			if address == "a:1" {
				h.report("a", report)
			} else {
				h.misdirected("a")
				h.advance(300 * time.Millisecond)
				h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: &infra.NotSentError{Worker: "a", ConnRefused: true}})
				h.advance(300 * time.Millisecond)
				h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: &infra.NotSentError{Worker: "a", ConnRefused: true}})
			}
			h.advance(300 * time.Millisecond)
			h.step(flow.WorkerListed{Worker: a})
			h.advance(300 * time.Millisecond)
			assert.Equal(t, h.lastRenewal("a").To.HostPort, "a:1")
			h.report("a", report)
			assert.Equal(t, len(h.starts()), 0)
			assert.Equal(t, h.m.Workers()[0].UnusableReason, "")
		})
	}
}

// The tasks of a worker that has restarted must not wait for the end of their lease.
func TestAnnouncedRestartIsConfirmed(t *testing.T) {
	h, a, _ := runningWorker(t)
	a.StartedAt, a.Address = 99, "a:2"
	h.step(flow.WorkerListed{Worker: a})
	assert.Equal(t, h.lastRenewal("a").To.HostPort, "a:2")
	for range 10 {
		h.report("a", infra.Report{StartedAt: 99})
		h.report("b", infra.Report{})
		h.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(h.starts()), 1)
	assert.Equal(t, h.m.Workers()[0].UnusableReason, "")
}

// A renewal after a failed one acknowledged ends by their numbers, although another life of the worker, whose ends are numbered
// from 1 again, may answer it. Its ends were then forgotten before any scheduler had seen them.
func TestEndsOfAnotherLifeAreNotAcknowledged(t *testing.T) {
	a := newPoolWorker("a")
	a.StartedAt = 5000
	h := newHarness(t, flow.Restored{}, a)
	h.report("a", infra.Report{StartedAt: 5000})
	h.step(flow.Submitted{Job: singleStepJob("j", smallStep(3))})
	h.advance(50 * time.Millisecond)
	var ended []infra.EndedRun
	for n, s := range h.answerStarts() {
		ended = append(ended, infra.EndedRun{Number: int64(n + 1), Task: s.Order.Task, Run: s.Order.Run, Outcome: infra.OutcomeDone})
	}
	report := infra.Report{StartedAt: 5000, Ended: ended}
	assert.Equal(t, h.acknowledged("a", report), int64(3))
	h.renewalFails("a")
	h.advance(300 * time.Millisecond)
	assert.Equal(t, h.lastRenewal("a").Order.AckedEnd, int64(0))
	assert.Equal(t, h.acknowledged("a", infra.Report{StartedAt: 5000}), int64(3))
}

// A worker that refused connections and whose address another worker then had counted as crashed twice, so that a sound job was
// given up earlier (LOST).
func TestWorkerWhoseAddressIsTakenCrashedOnce(t *testing.T) {
	h, _, _ := runningWorker(t)
	for range 2 {
		h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: &infra.NotSentError{Worker: "a", ConnRefused: true}})
		h.advance(300 * time.Millisecond)
	}
	h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: &infra.RefusedError{Worker: "a", Reason: infra.ReasonInstance}})
	assert.Equal(t, h.m.Counts().Crashes, int64(1))
}

// Guards against a worker that takes no task any more because its host's clock was set back before it started again at another
// address: its registrations looked like those of a former life, and only its former address was called.
func TestRestartAtAnotherAddressWithEarlierStart(t *testing.T) {
	h, a, _ := runningWorker(t)
	a.StartedAt, a.Address = 3, "a:2"
	h.step(flow.WorkerListed{Worker: a})
	assert.Equal(t, h.lastRenewal("a").To.HostPort, "a:1", "the worker still answers there")
	h.refuse("a")
	h.step(flow.WorkerListed{Worker: a})
	assert.Equal(t, h.lastRenewal("a").To.HostPort, "a:2")
	h.report("a", infra.Report{StartedAt: 3})
	h.advance(100 * time.Millisecond)
	h.report("a", infra.Report{StartedAt: 3})
	assert.Equal(t, h.unusableReason("a"), "")
}

// A registration of a former life of a silent worker must not keep its present life out of use.
func TestRegistrationOfFormerLifeOfSilentWorker(t *testing.T) {
	h, a, report := runningWorker(t)
	h.renewalFails("a")
	former := a
	former.StartedAt, former.Address = 3, "a:0"
	h.step(flow.WorkerListed{Worker: former})
	h.renewalFails("a")
	h.step(flow.WorkerListed{Worker: a})
	h.advance(500 * time.Millisecond)
	assert.Equal(t, h.lastRenewal("a").To.HostPort, "a:1")
	h.report("a", report)
	assert.Equal(t, h.unusableReason("a"), "")
}
