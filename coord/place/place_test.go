package place_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/place"
	"lovagefork.example/coord/plat"
	"lovagefork.example/coord/sets"
)

var capacity = fleet.Resources{MilliCPU: 8000, MemoryBytes: 16 << 30, Accelerators: 2}

func worker(id fleet.WorkerID) fleet.Worker {
	return fleet.Worker{ID: id, Zone: "a", Rack: "r", State: fleet.HostLive, Capacity: capacity}
}

func ref(task string, attempt fleet.Attempt) plat.TaskRef {
	return plat.TaskRef{Task: fleet.TaskID(task), Attempt: attempt}
}

// attempt is the expected state of one attempt, tracked independently of the machine.
type attempt struct {
	task    place.Task
	worker  fleet.WorkerID
	waits   []plat.TaskRef
	running bool
	evicted bool
}

// harness drives a machine with random events and tracks the expected reservations.
type harness struct {
	m        *place.Machine
	now      time.Time
	attempts map[plat.TaskRef]*attempt
	reports  []place.Report
	workers  []fleet.WorkerID
	next     int
}

func (h *harness) refs(match func(*attempt) bool) []plat.TaskRef {
	var refs []plat.TaskRef
	for r, a := range h.attempts {
		if match(a) {
			refs = append(refs, r)
		}
	}
	slices.SortFunc(refs, func(a, b plat.TaskRef) int { return int(a.Attempt) - int(b.Attempt) })
	return refs
}

func (h *harness) sum(id fleet.WorkerID, match func(*attempt) bool) fleet.Resources {
	var sum fleet.Resources
	for _, a := range h.attempts {
		if a.worker == id && match(a) {
			sum = sum.Add(a.task.Resources)
		}
	}
	return sum
}

func (h *harness) step(ev place.Event) {
	h.now = h.now.Add(time.Second)
	for _, e := range h.m.Step(h.now, ev) {
		if e, ok := e.(place.Evict); ok {
			h.attempts[e.TaskRef].evicted = true
		}
	}
}

func (h *harness) place(t *rapid.T) {
	h.next++
	task := place.Task{
		Ref:   ref(fmt.Sprintf("j%d/0", h.next), fleet.Attempt(h.next)),
		Kind:  rapid.SampledFrom([]string{"quote", "plan", "count"}).Draw(t, "kind"),
		Class: rapid.SampledFrom(fleet.Classes[:]).Draw(t, "class"),
		Resources: fleet.Resources{
			MilliCPU:     rapid.Int64Range(1, 5000).Draw(t, "cpu"),
			MemoryBytes:  rapid.Int64Range(1, 10<<30).Draw(t, "memory"),
			Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators"),
		},
		Avoid: sets.Of(rapid.SampledFrom([]fleet.WorkerID{"w1", "none", "other"}).Draw(t, "avoid")),
	}
	d, err := h.m.Place(h.now, task)
	if err != nil {
		return
	}
	assert.Assert(t, len(d.Evict) == 0 || task.Class == fleet.Urgent)
	if len(d.Evict) == 0 {
		assert.Assert(t, h.m.Used(d.Worker).Fits(capacity), "capacity of %s exceeded", d.Worker)
	}
	for _, r := range d.Evict {
		assert.Assert(t, h.attempts[r].evicted || h.attempts[r].task.Class == fleet.Deferrable)
		h.attempts[r].evicted = true
	}
	h.attempts[task.Ref] = &attempt{task: task, worker: d.Worker, waits: d.Evict}
	again, err := h.m.Place(h.now, task)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, d)
}

func (h *harness) start(t *rapid.T) {
	waiting := h.refs(func(a *attempt) bool { return !a.running })
	if len(waiting) == 0 {
		return
	}
	r := rapid.SampledFrom(waiting).Draw(t, "start")
	a := h.attempts[r]
	for _, e := range a.waits {
		if _, ok := h.attempts[e]; ok {
			return
		}
	}
	assert.Assert(t, h.m.Ready(r) || !h.m.Used(a.worker).Fits(capacity))
	a.running = true
	h.step(place.Started{TaskRef: r, Worker: a.worker})
}

func (h *harness) end(t *rapid.T) {
	all := h.refs(func(*attempt) bool { return true })
	if len(all) == 0 {
		return
	}
	r := rapid.SampledFrom(all).Draw(t, "end")
	ended := place.Ended{TaskRef: r, Worker: h.attempts[r].worker}
	delete(h.attempts, r)
	elsewhere := ended
	elsewhere.Worker = "unknown"
	used := h.m.Used(ended.Worker)
	h.step(elsewhere)
	assert.Equal(t, h.m.Used(ended.Worker), used)
	h.step(ended)
	h.step(ended)
}

func (h *harness) report(t *rapid.T) {
	id := rapid.SampledFrom(h.workers).Draw(t, "worker")
	r := place.Report{Worker: id, MeasuredAt: h.now.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "lag")) * time.Second)}
	factor := rapid.Float64Range(0, 10).Draw(t, "wrong")
	sum := h.sum(id, func(a *attempt) bool { return a.running })
	r.Usage = fleet.Resources{
		MilliCPU:     int64(factor * float64(sum.MilliCPU)),
		MemoryBytes:  int64(factor * float64(sum.MemoryBytes)),
		Accelerators: sum.Accelerators,
	}
	for _, x := range h.refs(func(a *attempt) bool { return a.running && a.worker == id }) {
		slowdown := rapid.IntRange(1000, 3000).Draw(t, "slowdown")
		r.Tasks = append(r.Tasks, plat.TaskStatus{TaskRef: x, State: plat.TaskRunning, SlowdownPermille: slowdown})
	}
	h.reports = append(h.reports, r)
	if rapid.Bool().Draw(t, "at once") {
		h.step(r)
	}
}

func (h *harness) deliver(t *rapid.T) {
	if len(h.reports) > 0 {
		h.step(rapid.SampledFrom(h.reports).Draw(t, "report"))
	}
}

func (h *harness) churn(t *rapid.T) {
	id := rapid.SampledFrom(h.workers).Draw(t, "worker")
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		h.step(place.WorkerRemoved{ID: id})
	case 1:
		h.step(place.WorkerUpdated{Worker: worker(id).WithState(fleet.HostLeaving)})
	default:
		h.step(place.WorkerUpdated{Worker: worker(id)})
	}
}

func (h *harness) outcome(t *rapid.T) {
	running := h.refs(func(a *attempt) bool { return a.running })
	if len(running) == 0 {
		return
	}
	r := rapid.SampledFrom(running).Draw(t, "outcome")
	if rapid.Bool().Draw(t, "success") {
		h.step(place.Succeeded{TaskRef: r, Worker: h.attempts[r].worker})
	} else {
		h.step(place.Failed{TaskRef: r, Worker: h.attempts[r].worker})
	}
}

func (h *harness) tick(t *rapid.T) {
	h.now = h.now.Add(time.Duration(rapid.IntRange(1, 900_000).Draw(t, "ms")) * time.Millisecond)
	h.step(place.Tick{})
}

func (h *harness) check(t *rapid.T) {
	for _, id := range h.workers {
		running := h.sum(id, func(a *attempt) bool { return a.running })
		assert.Assert(t, running.Fits(capacity), "worker %s runs %v of %v", id, running, capacity)
		kept := h.sum(id, func(a *attempt) bool { return !a.evicted })
		assert.Assert(t, kept.Fits(capacity), "worker %s has reserved %v of %v", id, kept, capacity)
		all := h.sum(id, func(*attempt) bool { return true })
		assert.Assert(t, all.Fits(h.m.Used(id)), "worker %s has reservations of %v, machine reports %v", id, all, h.m.Used(id))
		if all.IsZero() {
			assert.Assert(t, h.m.Used(id).IsZero(), "worker %s is idle, machine reports %v", id, h.m.Used(id))
		}
	}
}

// Guards against reservations beyond the capacity of a worker and against reservations that are never released. Reports
// are wrong, late, repeated or reordered, workers join and leave, and evictions take time.
func TestReservationsStayWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]place.Policy{place.FirstFit{}, place.Spread{}, place.Interference{}}).Draw(t, "policy")
		h := &harness{
			m:        place.New(policy),
			now:      time.Unix(1000, 0),
			attempts: map[plat.TaskRef]*attempt{},
			workers:  []fleet.WorkerID{"w1", "w2"},
		}
		for _, id := range h.workers {
			h.step(place.WorkerUpdated{Worker: worker(id)})
		}
		t.Repeat(map[string]func(*rapid.T){
			"place": h.place, "place2": h.place, "place3": h.place, "start": h.start, "start2": h.start, "end": h.end, "report": h.report, "deliver": h.deliver,
			"churn": h.churn, "outcome": h.outcome, "tick": h.tick, "": h.check,
		})
	})
}

func size(milliCPU int64) fleet.Resources {
	return fleet.Resources{MilliCPU: milliCPU, MemoryBytes: 1 << 28}
}

func mustPlace(t *testing.T, m *place.Machine, now time.Time, task place.Task) place.Decision {
	t.Helper()
	d, err := m.Place(now, task)
	assert.NilError(t, err)
	return d
}

// Guards against a change of the reserved size by a report that was measured before a start, repeated or reordered.
func TestOutdatedReportsAreIgnored(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	m := place.New(place.FirstFit{})
	m.Step(start, place.WorkerUpdated{Worker: worker("w")})
	first, second := ref("j/0", 1), ref("j/1", 1)
	mustPlace(t, m, start, place.Task{Ref: first, Kind: "a", Resources: size(1000)})
	m.Step(at(1), place.Started{TaskRef: first, Worker: "w"})
	running := []plat.TaskStatus{{TaskRef: first, State: plat.TaskRunning}, {TaskRef: second, State: plat.TaskRunning}}
	m.Step(at(3), place.Report{Worker: "w", MeasuredAt: at(2), Usage: size(4000), Tasks: running[:1]})
	mustPlace(t, m, at(4), place.Task{Ref: second, Kind: "b", Resources: size(1500)})
	reserved := m.Used("w")
	assert.Equal(t, reserved.MilliCPU, int64(5500))
	for _, r := range []place.Report{
		{MeasuredAt: at(1), Usage: size(8000), Tasks: running[:1]},
		{MeasuredAt: at(2), Usage: size(8000), Tasks: running[:1]},
		{MeasuredAt: at(3), Usage: size(4000), Tasks: running},
	} {
		r.Worker = "w"
		m.Step(at(6), place.Started{TaskRef: second, Worker: "w"})
		m.Step(at(6), r)
		assert.Assert(t, reserved.Fits(m.Used("w")))
		assert.Assert(t, m.Used("w").MilliCPU <= reserved.MilliCPU, "measured at %v", r.MeasuredAt.Sub(start))
	}
}

// Guards against an overloaded worker when the declared size of a kind is far too small and further tasks of it
// are placed there.
func TestObservedSizeIsReserved(t *testing.T) {
	now := time.Unix(1000, 0)
	m := place.New(place.FirstFit{})
	m.Step(now, place.WorkerUpdated{Worker: worker("w")})
	r := ref("j/0", 1)
	mustPlace(t, m, now, place.Task{Ref: r, Kind: "k", Class: fleet.Urgent, Resources: size(700)})
	m.Step(now, place.Started{TaskRef: r, Worker: "w"})
	for range 20 {
		now = now.Add(time.Second)
		running := []plat.TaskStatus{{TaskRef: r, State: plat.TaskRunning, SlowdownPermille: 1000}}
		m.Step(now, place.Report{Worker: "w", MeasuredAt: now, Usage: size(7000), Tasks: running})
	}
	_, err := m.Place(now, place.Task{Ref: ref("j/1", 1), Kind: "other", Resources: size(2000)})
	assert.ErrorType(t, err, (*place.NoRoomError)(nil))
	m.Step(now, place.Ended{TaskRef: r, Worker: "w"})
	mustPlace(t, m, now, place.Task{Ref: ref("j/2", 1), Kind: "k", Resources: size(700)})
	assert.Assert(t, m.Used("w").MilliCPU > 5000, "reserved %v for a kind that uses 7000m", m.Used("w"))
}

// Guards against overcommitted memory before the first report: several tasks of a new kind, whose true size is ten
// times the declared size, start on one worker at the same time.
func TestUnmeasuredTasksDoNotShareWorker(t *testing.T) {
	now := time.Unix(1000, 0)
	m := place.New(place.Spread{})
	m.Step(now, place.WorkerUpdated{Worker: worker("w")})
	task := func(i int) place.Task {
		large := fleet.Resources{MilliCPU: 100, MemoryBytes: 1 << 30}
		return place.Task{Ref: ref(fmt.Sprintf("j/%d", i), 1), Kind: "k", Class: fleet.Standard, Resources: large}
	}
	mustPlace(t, m, now, task(0))
	m.Step(now, place.Started{TaskRef: task(0).Ref, Worker: "w"})
	_, err := m.Place(now, task(1))
	var full *place.NoRoomError
	assert.Assert(t, errors.As(err, &full), "%v", err)
	assert.Equal(t, full.Unmeasured, 1)
	for range 3 {
		now = now.Add(time.Second)
		m.Step(now, place.Report{
			Worker: "w", MeasuredAt: now, Usage: fleet.Resources{MilliCPU: 100, MemoryBytes: 1 << 30},
			Tasks: []plat.TaskStatus{{TaskRef: task(0).Ref, State: plat.TaskRunning}},
		})
	}
	mustPlace(t, m, now, task(1))
	mustPlace(t, m, now, task(2))
}

// Guards against a faulty worker that attracts all tasks because each fails on it immediately and frees its room, and
// against attributing the failures of a faulty job to its workers.
func TestProbation(t *testing.T) {
	now := time.Unix(1000, 0)
	failed := func(job string, worker fleet.WorkerID) place.Failed {
		return place.Failed{TaskRef: ref(job+"/0", 1), Worker: worker}
	}
	for _, c := range []struct {
		name   string
		events []place.Event
		on     bool
		cause  place.FailureCause
	}{
		{"three jobs", []place.Event{failed("a", "w1"), failed("b", "w1"), failed("c", "w1")}, true, place.CauseWorker},
		{"one job", []place.Event{failed("a", "w1"), failed("a", "w1"), failed("a", "w1")}, false, place.CauseUnknown},
		{"success between", []place.Event{
			failed("a", "w1"), failed("b", "w1"), place.Succeeded{TaskRef: ref("d/0", 1), Worker: "w1"}, failed("c", "w1"),
		}, false, place.CauseUnknown},
		{"job fails elsewhere later", []place.Event{
			failed("a", "w1"), failed("b", "w1"), failed("c", "w1"), failed("a", "w2"), failed("a", "w3"),
		}, false, place.CauseJob},
		{"each job failed on one other worker", []place.Event{
			failed("a", "w1"), failed("a", "w2"), failed("b", "w1"), failed("b", "w3"), failed("c", "w1"),
		}, true, place.CauseWorker},
		{"job succeeds elsewhere", []place.Event{
			failed("a", "w1"), failed("b", "w1"), failed("c", "w1"), failed("a", "w2"), failed("a", "w3"),
			place.Succeeded{TaskRef: ref("a/1", 1), Worker: "w2"},
			failed("d", "w1"),
		}, true, place.CauseWorker},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := place.New(place.FirstFit{})
			for _, id := range []fleet.WorkerID{"w1", "w2", "w3"} {
				m.Step(now, place.WorkerUpdated{Worker: worker(id)})
			}
			for _, ev := range c.events {
				m.Step(now, ev)
			}
			assert.Equal(t, m.OnProbation("w1"), c.on)
			assert.Equal(t, m.FailureCause("a/0", "w1"), c.cause)
			d := mustPlace(t, m, now, place.Task{Ref: ref("x/0", 1), Kind: "k", Resources: size(100)})
			assert.Equal(t, d.Worker == "w1", !c.on, "worker on probation was preferred")
		})
	}
}

// Guards against placing a kind beside an urgent kind that it slows, against an eviction before the task is throttled,
// and against an eviction while no other worker is better.
func TestInterferenceIsLearnedAndThrottledBeforeEviction(t *testing.T) {
	now := time.Unix(1000, 0)
	m := place.New(place.Interference{})
	m.Step(now, place.WorkerUpdated{Worker: worker("w1")})
	quote, noisy := ref("q/0", 1), ref("n/0", 1)
	mustPlace(t, m, now, place.Task{Ref: quote, Kind: "quote", Class: fleet.Urgent, Resources: size(1000)})
	mustPlace(t, m, now, place.Task{Ref: noisy, Kind: "noisy", Class: fleet.Deferrable, Resources: size(4000)})
	m.Step(now, place.Started{TaskRef: quote, Worker: "w1"})
	m.Step(now, place.Started{TaskRef: noisy, Worker: "w1"})
	var permilles []int
	evicted := false
	for i := range 100 {
		now = now.Add(2 * time.Second)
		if i == 50 {
			assert.Assert(t, !evicted, "evicted although no other worker is better")
			m.Step(now, place.WorkerUpdated{Worker: worker("w2")})
		}
		for _, e := range m.Step(now, place.Report{
			Worker: "w1", MeasuredAt: now.Add(-time.Second), Usage: size(5000),
			Tasks: []plat.TaskStatus{
				{TaskRef: quote, State: plat.TaskRunning, SlowdownPermille: 2500},
				{TaskRef: noisy, State: plat.TaskRunning, SlowdownPermille: 1000},
			},
		}) {
			switch e := e.(type) {
			case place.Throttle:
				assert.Assert(t, !evicted)
				permilles = append(permilles, e.Permille)
			case place.Evict:
				assert.Assert(t, !evicted, "evicted twice")
				assert.Equal(t, e.TaskRef, noisy)
				evicted = true
			}
		}
	}
	assert.DeepEqual(t, permilles, []int{500, 250})
	assert.Assert(t, evicted)
	d := mustPlace(t, m, now, place.Task{Ref: ref("n/1", 1), Kind: "noisy", Class: fleet.Deferrable, Resources: size(1000)})
	assert.Equal(t, d.Worker, fleet.WorkerID("w2"))
}
