package flow_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

const (
	// slowClock is the rate of the slowest clock of a worker.
	slowClock = 0.98
	// longestDelay exceeds the time for which a call without an answer may still be carried out.
	longestDelay = 13 * time.Second
	// longestRun is how long a run lasts at most after the last call that its worker has accepted.
	longestRun = maxTaskLease * 100 / 98
	// formerToken is the token under which the scheduler of a [livesHarness] was elected.
	formerToken infra.Token = 7
)

// life is one life of a worker, with a slow clock. It carries out whatever call reaches it.
type life struct {
	startedAt int64
	began     time.Time
	token     infra.Token
	leaseEnd  int64
	stopped   map[infra.TaskID]infra.Run
	running   []infra.ActiveRun
	ended     []infra.EndedRun
	endCount  int64
}

func newLife(startedAt int64, began time.Time) *life {
	return &life{startedAt: startedAt, began: began, stopped: make(map[infra.TaskID]infra.Run)}
}

func (l *life) clock(now time.Time) int64 {
	return 1 + int64(slowClock*float64(now.Sub(l.began).Milliseconds()))
}

func (l *life) accept(now time.Time, token infra.Token, deadline int64) bool {
	if token < l.token {
		return false
	}
	l.token = token
	l.leaseEnd = max(l.leaseEnd, min(deadline, l.clock(now)+maxTaskLease.Milliseconds()))
	return true
}

// start carries out a start, and reports whether the task runs.
func (l *life) start(now time.Time, o infra.StartOrder) bool {
	if !l.accept(now, o.Token, o.Deadline) || o.Run <= l.stopped[o.Task] || l.clock(now) > o.Deadline {
		return false
	}
	l.running = append(l.running, infra.ActiveRun{Task: o.Task, Run: o.Run})
	return true
}

// stop carries out a stop, and reports whether it was accepted.
func (l *life) stop(now time.Time, o infra.StopOrder) bool {
	if !l.accept(now, o.Token, 0) {
		return false
	}
	l.stopped[o.Task] = max(l.stopped[o.Task], o.Run)
	l.end(o.Task, infra.OutcomeStopped)
	return true
}

// renew carries out a renewal, and reports whether it was accepted.
func (l *life) renew(now time.Time, o infra.RenewOrder) bool {
	if !l.accept(now, o.Token, o.Deadline) {
		return false
	}
	l.ended = slices.DeleteFunc(l.ended, func(e infra.EndedRun) bool { return e.Number <= o.AckedEnd })
	return true
}

// end ends the run of a task.
func (l *life) end(task infra.TaskID, outcome infra.Outcome) {
	for n, r := range l.running {
		if r.Task == task {
			l.running = slices.Delete(l.running, n, n+1)
			l.endCount++
			l.ended = append(l.ended, infra.EndedRun{Number: l.endCount, Task: task, Run: r.Run, Outcome: outcome})
			return
		}
	}
}

func (l *life) report(now time.Time) infra.Report {
	return infra.Report{StartedAt: l.startedAt, Clock: l.clock(now), Running: slices.Clone(l.running), Ended: slices.Clone(l.ended)}
}

// lastsUntil returns when all runs have ended if nothing more reaches the life.
func (l *life) lastsUntil() time.Time {
	return l.began.Add(time.Duration(float64(l.leaseEnd)/slowClock) * time.Millisecond)
}

// sentStart is a start and the time at which it was sent.
type sentStart struct {
	flow.Start
	at time.Time
}

// livesHarness delivers calls to the present lives of the workers. A worker without one is silent.
type livesHarness struct {
	*harness
	// roster is the last one that was stored.
	roster []flow.RosterEntry
	lives  map[fleet.WorkerID]*life
	due    []dueEvent
	begun  []sentStart
	// answered holds the last run of each task whose start was answered.
	answered map[infra.TaskID]infra.Run
	renews   []flow.Renew
}

// dueEvent is an event that happens at a time.
type dueEvent struct {
	at time.Time
	do func()
}

// newLivesHarness returns a scheduler with the worker a, whose life began long ago.
func newLivesHarness(t *testing.T, opts ...flow.Option) *livesHarness {
	a := newPoolWorker("a")
	a.StartedAt = 5
	opts = append([]flow.Option{flow.WithTaskLease(grantedLease), flow.WithLeadershipTimeout(leadershipTimeout)}, opts...)
	h := &livesHarness{harness: newHarnessOf(t, flow.New(formerToken, opts...), flow.Restored{}, a), lives: make(map[fleet.WorkerID]*life), answered: make(map[infra.TaskID]infra.Run)}
	h.lives["a"] = newLife(5, h.now.Add(-time.Hour))
	h.elapse(1500 * time.Millisecond)
	return h
}

// later lets something happen after a while.
func (h *livesHarness) later(d time.Duration, do func()) {
	h.due = append(h.due, dueEvent{at: h.now.Add(d), do: do})
}

// elapse lets time pass.
func (h *livesHarness) elapse(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.advance(25 * time.Millisecond)
		due := slices.Clone(h.due)
		h.due = slices.DeleteFunc(h.due, func(e dueEvent) bool { return !e.at.After(h.now) })
		for _, e := range due {
			if !e.at.After(h.now) {
				e.do()
			}
		}
		for len(h.effects) > 0 {
			effects := h.effects
			h.effects = nil
			for _, e := range effects {
				h.deliver(e)
			}
		}
	}
}

// deliver carries out an effect on the present life of its worker.
func (h *livesHarness) deliver(e flow.Effect) {
	switch e := e.(type) {
	case flow.Save:
		if e.Roster != nil {
			h.roster = e.Roster
		}
	case flow.Renew:
		h.renews = append(h.renews, e)
		h.renew(e)
	case flow.Start:
		h.begun = append(h.begun, sentStart{Start: e, at: h.now})
		answer := func(err error) { h.settleStart(e, err) }
		switch l := h.lives[e.To.Worker]; {
		case l == nil && e.Via != "":
			h.later(relayTimeout, func() { answer(&flow.RelayError{Relay: e.Via}) })
		case l == nil:
			h.later(orderTimeout, func() { answer(&infra.NoAnswerError{Worker: e.To.Worker}) })
		case l.start(h.now, e.Order):
			answer(nil)
		default:
			answer(&infra.RefusedError{Worker: e.To.Worker, Reason: infra.ReasonSuperseded, Clock: l.clock(h.now)})
		}
	case flow.Stop:
		answer := func(err error) {
			h.step(flow.StopAnswered{Worker: e.To.Worker, Order: e.Order, Clock: h.clockOf(e.To.Worker), Err: err})
		}
		switch l := h.lives[e.To.Worker]; {
		case l == nil:
			h.later(orderTimeout, func() { answer(&infra.NoAnswerError{Worker: e.To.Worker}) })
		case l.stop(h.now, e.Order):
			answer(nil)
		default:
			answer(&infra.RefusedError{Worker: e.To.Worker, Reason: infra.ReasonFenced, Clock: l.clock(h.now)})
		}
	default:
	}
}

// settleStart answers a start unless that was done before, and reports whether the scheduler resigns.
func (h *livesHarness) settleStart(e flow.Start, err error) bool {
	if h.answered[e.Order.Task] >= e.Order.Run {
		return false
	}
	h.answered[e.Order.Task] = e.Order.Run
	known := len(h.effects)
	h.step(flow.StartAnswered{Worker: e.To.Worker, Via: e.Via, Order: e.Order, Clock: h.clockOf(e.To.Worker), Err: err})
	return slices.ContainsFunc(h.effects[known:], func(e flow.Effect) bool {
		_, ok := e.(flow.Resign)
		return ok
	})
}

func (h *livesHarness) clockOf(id fleet.WorkerID) int64 {
	if l := h.lives[id]; l != nil {
		return l.clock(h.now)
	}
	return 0
}

// renew carries out a renewal, which waits for an end.
func (h *livesHarness) renew(e flow.Renew) {
	id := e.To.Worker
	unanswered := func() {
		h.step(flow.RenewFailed{Worker: id, Sequence: e.Sequence, Order: e.Order, Err: &infra.NoAnswerError{Worker: id}})
	}
	l := h.lives[id]
	switch {
	case l == nil:
		h.later(renewTimeout+e.Order.Wait, unanswered)
		return
	case !l.renew(h.now, e.Order):
		h.step(flow.RenewFailed{Worker: id, Sequence: e.Sequence, Order: e.Order, Err: &infra.RefusedError{Worker: id, Reason: infra.ReasonFenced}})
		return
	}
	wait := e.Order.Wait
	if len(l.ended) > 0 {
		wait = 0
	}
	h.later(wait+10*time.Millisecond, func() {
		if h.lives[id] != l {
			h.later(renewTimeout, unanswered)
			return
		}
		h.step(flow.RenewAnswered{Worker: id, Sequence: e.Sequence, Order: e.Order, Report: l.report(h.now)})
	})
}

// list registers a worker.
func (h *livesHarness) list(id string, startedAt int64) {
	w := newPoolWorker(id)
	w.StartedAt = startedAt
	h.step(flow.WorkerListed{Worker: w})
}

// addSpare adds the worker b, which has room for everything.
func (h *livesHarness) addSpare() {
	h.lives["b"] = newLife(5, h.now.Add(-time.Hour))
	h.list("b", 5)
}

// submitLasting submits a job with one task, which runs until it is stopped.
func (h *livesHarness) submitLasting(id string) infra.TaskID {
	h.step(flow.Submitted{Job: singleStepJob(id, lastingStep(1, 1000))})
	return infra.TaskID{Job: fleet.JobID(id)}
}

// startsOf returns the starts of a task so far.
func (h *livesHarness) startsOf(task infra.TaskID) []sentStart {
	var starts []sentStart
	for _, s := range h.begun {
		if s.Order.Task == task {
			starts = append(starts, s)
		}
	}
	return starts
}

// startOnSilentWorker silences the worker a, to which a start of the task is sent before the scheduler notices.
func (h *livesHarness) startOnSilentWorker() sentStart {
	h.lives["a"] = nil
	task := h.submitLasting("j")
	h.elapse(50 * time.Millisecond)
	starts := h.startsOf(task)
	assert.Equal(h.t, len(starts), 1)
	return starts[0]
}

// lastRenewalOf returns the last renewal of a worker.
func (h *livesHarness) lastRenewalOf(id fleet.WorkerID) infra.RenewOrder {
	for _, e := range slices.Backward(h.renews) {
		if e.To.Worker == id {
			return e.Order
		}
	}
	h.t.Fatalf("%s was not renewed", id)
	return infra.RenewOrder{}
}

// acknowledgement returns the last renewal of the worker a that acknowledges an end.
func (h *livesHarness) acknowledgement() infra.RenewOrder {
	for _, e := range slices.Backward(h.renews) {
		if e.To.Worker == "a" && e.Order.AckedEnd > 0 {
			return e.Order
		}
	}
	h.t.Fatal("no end was acknowledged")
	return infra.RenewOrder{}
}

// checkNextStart lets time pass, and checks that the task of a start does not run elsewhere before a time, but does in the end.
func (h *livesHarness) checkNextStart(s sentStart, earliest time.Time) {
	h.t.Helper()
	h.elapse(earliest.Add(10 * time.Second).Sub(h.now))
	starts := h.startsOf(s.Order.Task)
	assert.Assert(h.t, len(starts) > 1, "the task does not run elsewhere")
	assert.Assert(h.t, !starts[1].at.Before(earliest), "the task runs elsewhere after %v, and may run on the worker until %v after its start",
		starts[1].at.Sub(s.at), earliest.Sub(s.at))
}

// Guards against a lease that a start of the former life has set: its deadline is far ahead of the clock of the next life, which
// grants its longest lease, while the scheduler counted its own shorter ones (TWICE).
func TestStartThatNextLifeCarriesOutSetsItsLongestLease(t *testing.T) {
	h := newLivesHarness(t)
	s := h.startOnSilentWorker()
	h.elapse(150 * time.Millisecond)
	next := newLife(6, h.now.Add(-50*time.Millisecond))
	assert.Assert(t, next.start(h.now, s.Order))
	h.lives["a"] = next
	h.elapse(500 * time.Millisecond)
	h.lives["a"] = nil
	assert.Assert(t, h.lastRenewalOf("a").Deadline < 10_000, "the scheduler knows the next life")
	h.addSpare()
	h.checkNextStart(s, next.lastsUntil())
}

// Guards against the same where the next life answers nothing and does not register: the scheduler went by the lease and the clock
// of the former life (TWICE).
func TestStartThatSilentNextLifeCarriesOutIsAwaited(t *testing.T) {
	h := newLivesHarness(t)
	s := h.startOnSilentWorker()
	h.addSpare()
	h.elapse(orderTimeout - 50*time.Millisecond)
	next := newLife(6, h.now.Add(-300*time.Millisecond))
	assert.Assert(t, next.start(h.now, s.Order))
	h.checkNextStart(s, next.lastsUntil())
}

// Guards against the same where the next life answers the start and is cut off before it has answered any renewal: only the clock of
// the answer shows the restart (TWICE).
func TestStartThatNextLifeAnswersSetsItsLongestLease(t *testing.T) {
	h := newLivesHarness(t)
	s := h.startOnSilentWorker()
	h.addSpare()
	h.elapse(orderTimeout - 75*time.Millisecond)
	next := newLife(6, h.now.Add(-50*time.Millisecond))
	h.lives["a"] = next
	assert.Assert(t, next.start(h.now, s.Order))
	assert.Assert(t, !h.settleStart(s.Start, nil))
	h.lives["a"] = nil
	// A late renewal may prolong the lease.
	h.checkNextStart(s, s.at.Add(longestDelay+longestRun))
}

// Guards against a late start that the next life carries out seconds after it was sent, before any call has reached that life: the
// task was started elsewhere when the lease of the former life had expired (TWICE).
func TestLateStartAfterAnnouncedRestartIsAwaited(t *testing.T) {
	h := newLivesHarness(t)
	s := h.startOnSilentWorker()
	h.addSpare()
	h.elapse(200 * time.Millisecond)
	h.list("a", 6)
	h.checkNextStart(s, s.at.Add(longestDelay+longestRun))
}

// Guards against a late renewal of the former life that prolongs the lease of the next one (TWICE).
func TestLateRenewalDoesNotProlongNextLease(t *testing.T) {
	h := newLivesHarness(t)
	former := h.lastRenewalOf("a")
	assert.Assert(t, former.Deadline > 0)
	next := newLife(6, h.now)
	h.lives["a"] = next
	h.list("a", 6)
	h.elapse(3 * time.Second)
	task := h.submitLasting("j")
	h.elapse(500 * time.Millisecond)
	starts := h.startsOf(task)
	assert.Equal(t, len(starts), 1)
	h.lives["a"] = nil
	h.addSpare()
	h.elapse(4 * time.Second)
	next.renew(h.now, former)
	h.checkNextStart(starts[0], next.lastsUntil())
}

// Guards against a renewal for the former life that is on its way when its worker restarts: it acknowledged an end of the next life
// by its number, so that the task was started again (TWICE).
func TestLateRenewalDoesNotAcknowledgeEndsOfNextLife(t *testing.T) {
	h := newLivesHarness(t)
	first := h.submitLasting("first")
	h.elapse(500 * time.Millisecond)
	assert.Equal(t, len(h.startsOf(first)), 1)
	h.lives["a"].end(first, infra.OutcomeDone)
	h.elapse(1500 * time.Millisecond)
	former := h.acknowledgement()

	next := newLife(6, h.now)
	h.lives["a"] = next
	h.list("a", 6)
	h.elapse(3 * time.Second)
	second := infra.TaskID{Job: "second"}
	h.step(flow.Submitted{Job: singleStepJob("second", smallStep(1))})
	h.elapse(500 * time.Millisecond)
	assert.Equal(t, len(h.startsOf(second)), 1)
	next.end(second, infra.OutcomeDone)
	next.renew(h.now, former)
	h.elapse(10 * time.Second)
	assert.Equal(t, len(h.startsOf(second)), 1, "the task is started again although it was done")
}

// Guards against a late start whose task was released, because the life then rejected it: the life after that has seen no stop and
// carried the start out, while the task ran elsewhere (TWICE).
func TestLateStartOfReleasedTaskIsRejectedAfterAnotherRestart(t *testing.T) {
	h := newLivesHarness(t)
	s := h.startOnSilentWorker()
	h.addSpare()
	h.elapse(300 * time.Millisecond)
	h.lives["a"] = newLife(6, h.now)
	h.list("a", 6)
	h.elapse(3 * time.Second)
	assert.Equal(t, len(h.startsOf(s.Order.Task)), 2, "the task was not released")
	h.lives["a"] = newLife(7, h.now)
	h.list("a", 7)
	h.elapse(4 * time.Second)
	assert.Assert(t, !h.lives["a"].start(h.now, s.Order), "the start is carried out while the task runs elsewhere")
}

// Guards against a start that a relay sends to a worker in the moment of its restart (TWICE).
func TestRelayedStartThatSilentNextLifeCarriesOutIsAwaited(t *testing.T) {
	for _, isAnnounced := range []bool{false, true} {
		h := newLivesHarness(t, flow.WithLink(1_000_000))
		h.step(smallRelays("e1"))
		h.lives["a"] = nil
		h.step(flow.Submitted{Job: specJob("j", smallStep(2))})
		h.elapse(25 * time.Millisecond)
		assert.Equal(t, len(h.begun), 2)
		s := h.begun[1]
		assert.Equal(t, s.Via, fleet.EntryHostID("e1"))
		h.addSpare()
		h.elapse(200 * time.Millisecond)
		earliest := s.at.Add(relayTimeout + longestRun)
		if isAnnounced {
			h.list("a", 6)
			earliest = s.at.Add(longestDelay + longestRun)
		}
		h.checkNextStart(s, earliest)
	}
}

// Guards against the end of a leadership by a start that its worker refuses because a later call of the same scheduler, for the
// next life, has overtaken it. The task of the start must run then.
func TestRefusalOfOvertakenStartEndsNoLeadership(t *testing.T) {
	h := newLivesHarness(t)
	s := h.startOnSilentWorker()
	h.step(flow.RenewFailed{Worker: "a", Sequence: h.seq["a"], Err: &infra.NoAnswerError{Worker: "a"}})
	next := newLife(6, h.now)
	h.lives["a"] = next
	h.elapse(orderTimeout - 75*time.Millisecond)
	assert.Assert(t, next.token > 0, "no call has reached the next life")
	assert.Assert(t, next.token > s.Order.Token, "the start was not overtaken")
	fenced := &infra.RefusedError{Worker: "a", Reason: infra.ReasonFenced, Clock: next.clock(h.now)}
	assert.Assert(t, !h.settleStart(s.Start, fenced), "the scheduler resigns")
	h.list("a", 6)
	h.elapse(3 * time.Second)
	starts := h.startsOf(s.Order.Task)
	assert.Equal(t, len(starts), 2, "the task does not run")
	assert.Equal(t, starts[1].Order.Token, next.token)
}

// Guards against a scheduler that goes on after a worker has refused an order with the token that the scheduler uses for it: only
// another scheduler can have a higher one (TWICE).
func TestRefusalOfPresentTokenEndsLeadership(t *testing.T) {
	h := newLivesHarness(t)
	h.lives["a"] = nil
	h.elapse(3 * time.Second)
	next := newLife(6, h.now)
	h.lives["a"] = next
	h.list("a", 6)
	h.elapse(2 * time.Second)
	present := next.token
	next.token = present + 100
	task := h.submitLasting("j")
	h.advance(50 * time.Millisecond)
	for _, s := range h.harness.starts() {
		assert.Equal(t, s.Order.Task, task)
		assert.Equal(t, s.Order.Token, present)
		assert.Assert(t, h.settleStart(s, &infra.RefusedError{Worker: "a", Reason: infra.ReasonFenced, Clock: next.clock(h.now)}))
		return
	}
	t.Fatal("the task was not started")
}

// Guards against a longer wait for the runs that a silent worker has listed, whether its restart is announced or not: they end with
// their lease (LOST).
func TestListedRunsOfSilentWorkerAreAwaitedForTheirLease(t *testing.T) {
	const leaseWait = 5300 * time.Millisecond
	for _, isAnnounced := range []bool{false, true} {
		h := newLivesHarness(t)
		task := h.submitLasting("j")
		h.elapse(2500 * time.Millisecond)
		assert.Equal(t, len(h.startsOf(task)), 1)
		h.lives["a"] = nil
		silent := h.now
		h.addSpare()
		h.elapse(time.Second)
		if isAnnounced {
			h.list("a", 6)
		}
		h.elapse(10 * time.Second)
		starts := h.startsOf(task)
		assert.Equal(t, len(starts), 2)
		assert.Assert(t, !starts[1].at.After(silent.Add(leaseWait)), "the task runs again %v after its worker fell silent", starts[1].at.Sub(silent))
	}
}

// awaitedFor returns for how long a successor awaits the worker a of a roster entry after its predecessor has stopped. The worker
// is registered by the life listed unless that is 0, and answers as the life present unless that is nil.
func awaitedFor(t *testing.T, e flow.RosterEntry, listed int64, present *life) time.Duration {
	m := flow.New(formerToken, flow.WithTaskLease(grantedLease), flow.WithLeadershipTimeout(leadershipTimeout))
	h := &livesHarness{
		harness: newHarnessOf(t, m, flow.Restored{Term: 1, Roster: []flow.RosterEntry{e}}), lives: make(map[fleet.WorkerID]*life),
		answered: make(map[infra.TaskID]infra.Run),
	}
	if present != nil {
		present.began = h.now.Add(-time.Second)
		h.lives["a"] = present
	}
	if listed > 0 {
		h.list("a", listed)
	}
	h.step(flow.PredecessorStopped{})
	stopped := h.now
	for h.m.AwaitedWorkers() > 0 && h.now.Sub(stopped) < time.Minute {
		h.elapse(25 * time.Millisecond)
	}
	return h.now.Sub(stopped)
}

// Guards against a successor that awaits a silent worker for the leases of its predecessor, although the worker has restarted since
// it answered last: a late start of the predecessor can still begin in the life that nobody has heard of (TWICE). Without a
// sign of a restart a successor must not wait longer than the leases last (LOST).
func TestSuccessorAwaitsSilentWorkerThatRestarted(t *testing.T) {
	const leaseWait = 5300 * time.Millisecond
	entry := flow.RosterEntry{Worker: "a", Address: "a:1", StartedAt: 5}
	restarted := entry
	restarted.Restarted = true
	for _, c := range []struct {
		name              string
		entry             flow.RosterEntry
		listed            int64
		present           *life
		shortest, longest time.Duration
	}{
		{"no sign", entry, 5, nil, grantedLease, leaseWait},
		{"not listed", entry, 0, nil, grantedLease, leaseWait},
		{"later life listed", entry, 6, nil, longestDelay + longestRun, time.Minute - 1},
		{"later life in the roster", restarted, 0, nil, longestDelay + longestRun, time.Minute - 1},
		{"both", restarted, 6, nil, longestDelay + longestRun, time.Minute - 1},
		{"later life answers", restarted, 6, newLife(6, time.Time{}), 0, 3 * time.Second},
		{"later life answers unheard of", entry, 0, newLife(6, time.Time{}), 0, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			wait := awaitedFor(t, c.entry, c.listed, c.present)
			assert.Assert(t, wait >= c.shortest, "the worker is awaited for %v only", wait)
			assert.Assert(t, wait <= c.longest+50*time.Millisecond, "the worker is awaited for %v", wait)
		})
	}
}

// Guards against a successor that cannot know of a restart which its predecessor knew of: the registration of a worker that is cut
// off expires (TWICE).
func TestRosterSaysWhichLifeHasAnswered(t *testing.T) {
	h := newLivesHarness(t)
	entry := func() flow.RosterEntry {
		assert.Equal(t, len(h.roster), 1)
		return h.roster[0]
	}
	assert.Equal(t, entry().StartedAt, int64(5))
	assert.Assert(t, !entry().Restarted)
	s := h.startOnSilentWorker()
	h.elapse(200 * time.Millisecond)
	h.list("a", 6)
	h.elapse(200 * time.Millisecond)
	assert.Equal(t, entry().StartedAt, int64(5))
	assert.Assert(t, entry().Restarted, "the roster does not say that a later life has registered")
	h.step(flow.WorkerUnlisted{Worker: "a"})
	h.elapse(6 * time.Second)
	assert.Assert(t, entry().Restarted, "the roster forgets the later life while its runs may go on")
	h.lives["a"] = newLife(6, h.now)
	h.list("a", 6)
	h.elapse(2 * time.Second)
	assert.Equal(t, entry().StartedAt, int64(6))
	assert.Assert(t, !entry().Restarted, "the later life has answered")
	assert.Assert(t, !h.lives["a"].start(h.now, s.Order))
}

// startTwoOnSilentWorker silences the worker a after one of its ends was acknowledged, and sends it two starts, of which the next life
// answers the first one. It returns that life and the starts.
func (h *livesHarness) startTwoOnSilentWorker() (*life, []sentStart) {
	first := h.submitLasting("first")
	h.elapse(500 * time.Millisecond)
	h.lives["a"].end(first, infra.OutcomeDone)
	h.elapse(1500 * time.Millisecond)
	h.acknowledgement()
	h.lives["a"] = nil
	known := len(h.begun)
	h.step(flow.Submitted{Job: singleStepJob("second", smallStep(2))})
	h.elapse(orderTimeout - 100*time.Millisecond)
	starts := h.begun[known:]
	assert.Equal(h.t, len(starts), 2)
	next := newLife(6, h.now.Add(-50*time.Millisecond))
	h.lives["a"] = next
	assert.Assert(h.t, next.start(h.now, starts[0].Order))
	assert.Assert(h.t, !h.settleStart(starts[0].Start, nil))
	return next, starts
}

// Guards against a renewal that is sent after a start was answered by the clock of another life, and still acknowledges the ends of
// the former one: the end of the start was lost, and its task was started again (TWICE).
func TestRenewalAfterAnswerOfNextLifeAcknowledgesNoEnds(t *testing.T) {
	h := newLivesHarness(t)
	next, starts := h.startTwoOnSilentWorker()
	next.end(starts[0].Order.Task, infra.OutcomeDone)
	h.elapse(time.Second)
	h.list("a", 6)
	h.elapse(10 * time.Second)
	assert.Equal(t, len(h.startsOf(starts[0].Order.Task)), 1, "the task is started again although it was done")
}

// Guards against the same where the start has no answer: the renewal that asks at once whether it was carried out acknowledged the end
// of the next life by the number of one of the former life (TWICE).
func TestRenewalAfterUnansweredStartAcknowledgesNoEnds(t *testing.T) {
	h := newLivesHarness(t)
	first := h.submitLasting("first")
	h.elapse(500 * time.Millisecond)
	h.lives["a"].end(first, infra.OutcomeDone)
	h.elapse(1500 * time.Millisecond)
	h.acknowledgement()
	h.lives["a"] = nil
	second := infra.TaskID{Job: "second"}
	h.step(flow.Submitted{Job: singleStepJob("second", smallStep(1))})
	h.elapse(orderTimeout - 100*time.Millisecond)
	starts := h.startsOf(second)
	assert.Equal(t, len(starts), 1)
	next := newLife(6, h.now.Add(-50*time.Millisecond))
	h.lives["a"] = next
	assert.Assert(t, next.start(h.now, starts[0].Order))
	next.end(second, infra.OutcomeDone)
	h.elapse(time.Second)
	h.list("a", 6)
	h.elapse(10 * time.Second)
	assert.Equal(t, len(h.startsOf(second)), 1, "the task is started again although it was done")
}

// Guards against a late start after the next life has answered another one: the clock of that answer is a sign of a restart as much
// as a registration is (TWICE).
func TestLateStartAfterAnswerOfNextLifeIsAwaited(t *testing.T) {
	h := newLivesHarness(t)
	_, starts := h.startTwoOnSilentWorker()
	h.lives["a"] = nil
	h.addSpare()
	h.checkNextStart(starts[1], starts[1].at.Add(longestDelay+longestRun))
}

// Guards against a renewal that the next life carries out: it is on its way for longer than a start, and prolongs the lease of a start
// that was sent after it (TWICE).
func TestRenewalThatNextLifeCarriesOutIsAwaited(t *testing.T) {
	h := newLivesHarness(t)
	h.addSpare()
	h.lives["b"] = nil
	known := len(h.renews)
	for !slices.ContainsFunc(h.renews[known:], func(e flow.Renew) bool { return e.To.Worker == "a" && e.Order.Deadline > 0 }) {
		h.elapse(25 * time.Millisecond)
	}
	renewal, sent := h.lastRenewalOf("a"), h.now
	s := h.startOnSilentWorker()
	assert.Equal(t, s.To.Worker, fleet.WorkerID("a"))
	h.lives["b"] = newLife(5, h.now.Add(-time.Hour))
	h.elapse(orderTimeout - 75*time.Millisecond)
	next := newLife(6, h.now.Add(-300*time.Millisecond))
	assert.Assert(t, next.start(h.now, s.Order))
	h.elapse(sent.Add(renewTimeout - 25*time.Millisecond).Sub(h.now))
	assert.Assert(t, next.renew(h.now, renewal))
	h.checkNextStart(s, next.lastsUntil())
}
