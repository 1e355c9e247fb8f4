package flow_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// specBytes is the size of the specs in these tests. A start with one is 4,600 bytes by the estimate of the scheduler.
const specBytes = 3400

// newLinkHarness returns a scheduler on a link, with workers that have room for many tasks.
func newLinkHarness(t *testing.T, bitsPerSecond int64) *harness {
	var workers []infra.Worker
	for n := range 8 {
		w := newPoolWorker(fmt.Sprintf("w%d", n))
		w.Capacity = fleet.Resources{MilliCPU: 1000_000, MemoryBytes: 2000 << 30}
		workers = append(workers, w)
	}
	h := newHarnessOf(t, flow.New(7, flow.WithLink(bitsPerSecond)), flow.Restored{}, workers...)
	for _, w := range workers {
		h.report(w.ID, infra.Report{})
	}
	return h
}

func specJob(id string, s infra.Step) infra.Job {
	j := singleStepJob(id, s)
	j.Spec = strings.Repeat("s", specBytes)
	return j
}

func (h *harness) answer(starts []flow.Start) {
	for _, s := range starts {
		h.step(flow.StartAnswered{Worker: s.To.Worker, Order: s.Order, Clock: h.now.UnixMilli()})
	}
}

// A start carries the spec of its job, so that 128 of them occupy a link of 10 Mbit/s for 0.4 s. Answers came later than the
// time-out then, and stops and renewals waited behind the starts.
func TestStartsOnTheirWayFitTheLink(t *testing.T) {
	for _, c := range []struct {
		bitsPerSecond int64
		starts        int
	}{
		{2_000_000, 5},
		{10_000_000, 27},
		{200_000_000, 128},
		{0, 128},
	} {
		h := newLinkHarness(t, c.bitsPerSecond)
		h.step(flow.Submitted{Job: specJob("j", smallStep(400))})
		h.advance(75 * time.Millisecond)
		starts := h.starts()
		assert.Equal(t, len(starts), c.starts, "%d bit/s", c.bitsPerSecond)
		state, _ := h.m.State("j")
		assert.Equal(t, state, infra.StateQueued, "no worker has answered")
		h.answer(starts[:2])
		h.advance(25 * time.Millisecond)
		assert.Equal(t, len(h.starts()), 2, "%d bit/s: starts after two answers", c.bitsPerSecond)
		h.advance(startedTime)
		state, _ = h.m.State("j")
		assert.Equal(t, state, infra.StateRunning)
	}
}

// Workers that do not answer must not keep the starts of others from a link; but starts that all wait for the link must not be
// followed by more of them.
func TestUnansweredStartsFreeTheLink(t *testing.T) {
	h := newLinkHarness(t, 2_000_000)
	h.step(flow.Submitted{Job: specJob("j", smallStep(400))})
	h.advance(75 * time.Millisecond)
	starts := h.starts()
	assert.Equal(t, len(starts), 5)
	h.advance(500 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	h.answer(starts[4:])
	h.advance(25 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 5)
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0)
	noAnswer := &infra.NoAnswerError{Worker: starts[0].To.Worker}
	h.step(flow.StartAnswered{Worker: starts[0].To.Worker, Order: starts[0].Order, Err: noAnswer})
	h.advance(25 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 0, "the start did not count any more")
}

// The tasks of a gang start together, whatever the size of the window; and tasks that are ranked below it must not keep it
// from an empty link for ever.
func TestGangLargerThanTheWindowStarts(t *testing.T) {
	h := newLinkHarness(t, 2_000_000)
	gang := smallStep(20)
	gang.Gang = true
	h.step(flow.Submitted{Job: specJob("a", smallStep(3))})
	h.advance(50 * time.Millisecond)
	first := h.starts()
	assert.Equal(t, len(first), 3)
	h.step(flow.Submitted{Job: specJob("b", gang)})
	h.advance(100 * time.Millisecond)
	for n := range 4 {
		h.step(flow.Submitted{Job: specJob(fmt.Sprintf("c%d", n), smallStep(50))})
	}
	assert.Equal(t, len(h.starts()), 0)
	h.answer(first)
	h.advance(25 * time.Millisecond)
	started := 0
	for range 40 {
		starts := h.starts()
		for _, s := range starts {
			if s.Order.Task.Job == "b" {
				started++
			}
		}
		assert.Assert(t, started == 0 || started == 20)
		h.answer(starts)
		h.advance(25 * time.Millisecond)
	}
	assert.Equal(t, started, 20)
}

// Whatever answers, in whatever order and how late: the starts of the last 0.1 s are never more than a window, and every task
// starts once the workers answer.
func TestStartsNeverExceedTheLink(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bitsPerSecond := rapid.SampledFrom([]int64{1_000_000, 2_000_000, 10_000_000}).Draw(rt, "link")
		window := bitsPerSecond / 8 / 10
		h := newLinkHarness(t, bitsPerSecond)
		const tasks = 60
		h.step(flow.Submitted{Job: specJob("j", smallStep(tasks))})
		var open []flow.Start
		begun := make(map[infra.TaskID]bool)
		for range 40 {
			h.advance(25 * time.Millisecond)
			starts := h.starts()
			size := 0
			for _, s := range starts {
				size += len(s.Order.Spec)
				begun[s.Order.Task] = true
			}
			assert.Assert(rt, int64(size) <= max(window, specBytes))
			open = append(open, starts...)
			n := min(len(open), rapid.IntRange(0, 8).Draw(rt, "answers"))
			for _, s := range open[:n] {
				ev := flow.StartAnswered{Worker: s.To.Worker, Order: s.Order, Clock: h.now.UnixMilli()}
				if rapid.IntRange(0, 9).Draw(rt, "fails") == 0 {
					ev.Err = &infra.RefusedError{Worker: s.To.Worker, Reason: infra.ReasonNoRoom}
				}
				h.step(ev)
			}
			open = open[n:]
		}
		for range 400 {
			h.answer(open)
			h.advance(25 * time.Millisecond)
			open = h.starts()
			for _, s := range open {
				begun[s.Order.Task] = true
			}
		}
		assert.Equal(rt, len(begun), tasks)
		assert.Equal(rt, h.m.LinkUse().OnWay, int64(0))
	})
}

// An order may wait for the link behind other starts. A time-out that does not know that takes it for unanswered.
func TestMaxLinkDelay(t *testing.T) {
	assert.Equal(t, flow.MaxLinkDelay(0), time.Duration(0))
	assert.Equal(t, flow.MaxLinkDelay(10_000_000), 200*time.Millisecond)
	assert.Assert(t, flow.MaxLinkDelay(200_000_000) < 50*time.Millisecond)
}

// Guards against starts that time out behind others of the same worker: they share a few connections to it.
func TestStartsOfOneWorkerAreLimited(t *testing.T) {
	w := newPoolWorker("w0")
	w.Capacity = fleet.Resources{MilliCPU: 1000_000, MemoryBytes: 2000 << 30}
	h := newHarnessOf(t, flow.New(7), flow.Restored{}, w)
	h.report(w.ID, infra.Report{})
	h.step(flow.Submitted{Job: specJob("j", smallStep(100))})
	h.advance(75 * time.Millisecond)
	started := h.starts()
	assert.Equal(t, len(started), 32)
	for len(started) > 0 {
		h.answer(started[:1])
		h.advance(25 * time.Millisecond)
		started = append(started[1:], h.starts()...)
		assert.Assert(t, len(started) <= 32)
	}
	state, _ := h.m.State("j")
	assert.Equal(t, state, infra.StateRunning)
	assert.Equal(t, h.m.Counts().Starts, int64(100))
}

// Guards against starts that time out on a thin link because the first worker that answers gets all that the link carries (LOST): they
// wait for its few connections and for the link.
func TestStartsOfOneWorkerOnThinLinkAreLimited(t *testing.T) {
	w := newPoolWorker("w0")
	w.Capacity = fleet.Resources{MilliCPU: 1000_000, MemoryBytes: 2000 << 30}
	h := newHarnessOf(t, flow.New(7, flow.WithLink(10_000_000)), flow.Restored{}, w)
	h.report(w.ID, infra.Report{})
	h.step(flow.Submitted{Job: specJob("j", smallStep(100))})
	h.advance(75 * time.Millisecond)
	assert.Equal(t, len(h.starts()), 16)
}
