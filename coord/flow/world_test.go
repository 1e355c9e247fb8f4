package flow_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// world plays schedulers against workers and a store in virtual time, and notes every promise that is broken.
type world struct {
	rng     *rand.Rand
	now     time.Time
	queue   timers
	seq     int
	workers map[fleet.WorkerID]*fakeWorker
	order   []fleet.WorkerID
	jobs    map[fleet.JobID]*worldJob
	ids     []fleet.JobID
	catalog *infra.Catalog

	records map[fleet.JobID]flow.Record
	roster  []flow.RosterEntry
	learnt  []flow.InterferenceRecord
	term    int64
	token   infra.Token
	leader  *owner
	// storeDown keeps saves from being carried out.
	storeDown bool
	// lost is the share of orders without an answer, half of which are carried out late.
	lost   float64
	broken []string
	starts int
	// trace is told of every effect, for tests that are looked into.
	trace func(*owner, flow.Event, flow.Effect)
}

type worldJob struct {
	spec      infra.Job
	known     bool
	cancelled time.Time
	poison    map[int]bool
	done      map[infra.TaskID]bool
	noted     map[infra.TaskID]time.Time
	failures  map[infra.TaskID][]*failure
	begins    map[infra.TaskID][]time.Time
}

// failure is a run that failed, and whether a scheduler has taken note of it.
type failure struct {
	at    time.Time
	noted bool
}

// owner is one scheduler, which goes on for a while after another was elected if it is cut off from the store.
type owner struct {
	m     *flow.Machine
	token infra.Token
	alive bool
	// silent owners are cut off from the store.
	silent bool
	// lives are the lives of the workers that the owner knows of, which its orders name.
	lives map[fleet.WorkerID]int64
}

type timer struct {
	at  time.Time
	seq int
	do  func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

const (
	maxHold  = 6 * time.Second
	stopTime = 200 * time.Millisecond
	horizon  = 6800 * time.Millisecond
)

type fakeRun struct {
	number infra.Run
	spec   infra.Step
	ends   time.Time
	fails  bool
	stops  bool
	saved  string
	began  time.Time
	alive  bool
}

type fakeWorker struct {
	w         *world
	info      infra.Worker
	up        bool
	reachable bool
	born      time.Time
	rate      float64
	token     infra.Token
	lease     int64
	runs      map[infra.TaskID]*fakeRun
	ended     []infra.EndedRun
	ends      int64
	highest   map[infra.TaskID]infra.Run
	waiting   []*hold
	failures  map[int64]*failure
	// drains is when the worker told that it leaves; it takes no start later than drainTime after it.
	drains time.Time
	// voided is the last end before a lease lapsed.
	voided int64
}

type hold struct {
	o     *owner
	seq   int64
	order infra.RenewOrder
	until time.Time
}

func newWorld(seed uint64, workers int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		workers: make(map[fleet.WorkerID]*fakeWorker), jobs: make(map[fleet.JobID]*worldJob), records: make(map[fleet.JobID]flow.Record),
		catalog: &infra.Catalog{
			Version: 1,
			Queues: []infra.Queue{
				{Name: "urgent", Service: "pool", Priority: 0, MaxAttempts: 3, StretchFactor: 2, TargetLatency: time.Second},
				{Name: "batch", Service: "pool", Priority: 2, MaxAttempts: 4, StretchFactor: 2, TargetLatency: time.Second},
			},
			Services: []infra.Service{{Name: "pool"}},
		},
	}
	for i := range workers {
		w.addWorker(fleet.WorkerID(fmt.Sprintf("w%02d", i)))
	}
	return w
}

func (w *world) addWorker(id fleet.WorkerID) {
	f := &fakeWorker{w: w, up: true, reachable: true, rate: 0.98 + 0.02*w.rng.Float64()}
	f.info = infra.Worker{
		ID: id, Address: string(id) + ":1", Service: "pool", Zone: "z", Labels: []string{"a", "r" + string(id[len(id)-1:])},
		Capacity: fleet.Resources{MilliCPU: 8000, MemoryBytes: 8 << 30},
	}
	f.reset()
	w.workers[id] = f
	w.order = append(w.order, id)
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, timer{at: w.now.Add(d), seq: w.seq, do: do})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		t := heap.Pop(&w.queue).(timer)
		w.now = t.at
		t.do()
	}
	w.now = end
}

func (w *world) breach(format string, args ...any) {
	if len(w.broken) < 10 {
		w.broken = append(w.broken, w.now.Sub(time.Unix(1000, 0)).String()+" "+fmt.Sprintf(format, args...))
	}
}

// elect starts a new scheduler from what the store holds; the former one goes on if it only lost the store.
func (w *world) elect(cut bool) {
	old := w.leader
	if old != nil {
		if cut {
			old.silent = true
			w.after(horizon-time.Second, func() { old.alive = false })
		} else {
			old.alive = false
		}
	}
	w.token += infra.Token(1 + w.rng.IntN(5))
	o := &owner{lives: make(map[fleet.WorkerID]int64), token: w.token, alive: true, m: flow.New(w.token, flow.WithTaskLease(maxHold), flow.WithLeadershipTimeout(horizon))}
	w.leader = o
	restored := flow.Restored{Term: w.term, Roster: append([]flow.RosterEntry(nil), w.roster...), Interference: w.learnt}
	w.term++
	for _, id := range w.ids {
		j := w.jobs[id]
		stored := flow.StoredJob{Job: j.spec, Cancelled: !j.cancelled.IsZero()}
		if r, found := w.records[id]; found {
			stored.Record = &r
		}
		j.known = true
		restored.Jobs = append(restored.Jobs, stored)
	}
	w.step(o, flow.Tick{Wall: w.now})
	w.step(o, restored)
	w.step(o, flow.Configured{Catalog: w.catalog})
	for _, id := range w.order {
		if f := w.workers[id]; f.up {
			w.step(o, flow.WorkerListed{Worker: f.describe()})
		}
	}
	w.after(10*time.Millisecond, func() { w.tick(o) })
	if old != nil && w.rng.IntN(2) == 0 {
		// The former scheduler's entry host tells that its reign is over, which also ends it.
		w.after(time.Duration(10+w.rng.IntN(2000))*time.Millisecond, func() {
			old.alive = false
			w.step(o, flow.PredecessorStopped{})
		})
	}
}

func (w *world) tick(o *owner) {
	if !o.alive {
		return
	}
	w.step(o, flow.Tick{Wall: w.now, LeaseUnconfirmed: o.silent})
	w.after(20*time.Millisecond, func() { w.tick(o) })
}

func (w *world) step(o *owner, ev flow.Event) {
	if !o.alive {
		return
	}
	switch ev := ev.(type) {
	case flow.HoldAnswered:
		o.lives[ev.Worker] = ev.Report.StartedAt
	case flow.WorkerListed:
		o.lives[ev.Worker.ID] = ev.Worker.StartedAt
	default:
	}
	for _, e := range o.m.Step(w.now, ev) {
		if w.trace != nil {
			w.trace(o, ev, e)
		}
		switch e := e.(type) {
		case flow.Hold:
			w.send(o, e.To.Worker, false, func(f *fakeWorker) { f.hold(o, e.Sequence, e.Order) },
				func(err error) flow.Event {
					return flow.HoldFailed{Worker: e.To.Worker, Sequence: e.Sequence, Order: e.Order, Err: err}
				})
		case flow.Start:
			w.send(o, e.To.Worker, true, func(f *fakeWorker) { f.start(o, e.Order) },
				func(err error) flow.Event { return flow.StartAnswered{Worker: e.To.Worker, Order: e.Order, Err: err} })
		case flow.Stop:
			w.send(o, e.To.Worker, true, func(f *fakeWorker) { f.stop(o, e.Order) },
				func(err error) flow.Event { return flow.StopAnswered{Worker: e.To.Worker, Order: e.Order, Err: err} })
		case flow.Save:
			w.save(o, e)
		case flow.Resign:
			o.alive = false
			if o == w.leader {
				w.breach("the newest scheduler resigned")
			}
		}
	}
}

func (w *world) delay() time.Duration { return time.Duration(1+w.rng.IntN(9)) * time.Millisecond }

// send carries an order to a worker; some get no answer and are carried out late or never.
func (w *world) send(o *owner, id fleet.WorkerID, losable bool, carry func(*fakeWorker), fail func(error) flow.Event) {
	f := w.workers[id]
	if losable && w.rng.Float64() < w.lost {
		w.after(900*time.Millisecond, func() { w.step(o, fail(&infra.NoAnswerError{Worker: id})) })
		if w.rng.IntN(2) == 0 {
			// An order names the life of the worker that it is meant for, so that a later life rejects it.
			born := f.born
			w.after(time.Duration(2000+w.rng.IntN(10000))*time.Millisecond, func() {
				if f.up && f.born == born {
					f.late(carry)
				}
			})
		}
		return
	}
	life := o.lives[id]
	w.after(w.delay(), func() {
		switch {
		case !f.reachable:
			w.after(1500*time.Millisecond, func() { w.step(o, fail(&infra.NoAnswerError{Worker: id})) })
		case !f.up:
			w.step(o, fail(&infra.NotSentError{Worker: id, ConnRefused: true}))
		case losable && life != f.born.UnixMilli():
			w.step(o, fail(&infra.RefusedError{Worker: id, Reason: infra.ReasonInstance}))
		default:
			carry(f)
		}
	})
}

// save makes a batch durable if its scheduler is still the newest one.
func (w *world) save(o *owner, s flow.Save) {
	w.after(w.delay(), func() {
		if !o.alive {
			return
		}
		if w.storeDown || o.silent {
			w.after(100*time.Millisecond, func() { w.save(o, s) })
			return
		}
		if o != w.leader {
			o.alive = false
			return
		}
		for _, r := range s.Jobs {
			w.records[r.Job] = r.Record
		}
		if s.Roster != nil {
			w.roster = s.Roster
		}
		if s.Interference != nil {
			w.learnt = s.Interference
		}
		w.step(o, flow.Saved{Batch: s.Batch})
	})
}

func (w *world) submit(j infra.Job, poison ...int) {
	wj := &worldJob{
		spec: j, poison: make(map[int]bool), done: make(map[infra.TaskID]bool), noted: make(map[infra.TaskID]time.Time),
		failures: make(map[infra.TaskID][]*failure), begins: make(map[infra.TaskID][]time.Time),
	}
	for _, p := range poison {
		wj.poison[p] = true
	}
	w.jobs[j.ID] = wj
	w.ids = append(w.ids, j.ID)
	w.tell(flow.Submitted{Job: j})
}

func (w *world) cancel(id fleet.JobID) {
	w.jobs[id].cancelled = w.now
	w.tell(flow.CancelRequested{Job: id})
}

// tell passes on what the store holds to the scheduler that reaches the store.
func (w *world) tell(ev flow.Event) {
	o := w.leader
	w.after(w.delay(), func() {
		if o == w.leader {
			w.step(o, ev)
		}
	})
}

func (f *fakeWorker) reset() {
	f.born = f.w.now
	f.token, f.lease, f.ends, f.voided = 0, 0, 0, 0
	f.drains, f.info.Draining, f.info.Remaining = time.Time{}, false, 0
	f.runs, f.highest = make(map[infra.TaskID]*fakeRun), make(map[infra.TaskID]infra.Run)
	f.ended, f.waiting, f.failures = nil, nil, make(map[int64]*failure)
}

func (f *fakeWorker) describe() infra.Worker {
	info := f.info
	info.StartedAt = f.born.UnixMilli()
	return info
}

func (f *fakeWorker) clock() int64 {
	return 1 + int64(f.rate*float64(f.w.now.Sub(f.born).Milliseconds()))
}

// reply answers an order; an answer that is lost shows as one that has not come in time.
func (f *fakeWorker) reply(o *owner, ev flow.Event) {
	w := f.w
	w.after(w.delay(), func() {
		if f.reachable {
			w.step(o, ev)
			return
		}
		w.after(answerTime, func() { w.step(o, f.unanswered(ev)) })
	})
}

// answerTime is how long a scheduler waits for an answer.
const answerTime = 1500 * time.Millisecond

func (f *fakeWorker) unanswered(ev flow.Event) flow.Event {
	err := &infra.NoAnswerError{Worker: f.info.ID}
	switch ev := ev.(type) {
	case flow.HoldAnswered:
		return flow.HoldFailed{Worker: ev.Worker, Sequence: ev.Sequence, Order: ev.Order, Err: err}
	case flow.StartAnswered:
		ev.Err = err
		return ev
	case flow.StopAnswered:
		ev.Err = err
		return ev
	default:
		return ev
	}
}

// late carries out an order whose answer nobody hears.
func (f *fakeWorker) late(carry func(*fakeWorker)) {
	was := f.reachable
	f.reachable = true
	carry(f)
	f.reachable = was
}

func (f *fakeWorker) fence(token infra.Token) bool {
	if token < f.token {
		return false
	}
	f.token = token
	return true
}

func (f *fakeWorker) refuse(reason infra.RefusalReason) error {
	return &infra.RefusedError{Worker: f.info.ID, Reason: reason, Clock: f.clock()}
}

func (f *fakeWorker) extend(deadline int64) {
	deadline = min(deadline, f.clock()+maxHold.Milliseconds())
	if deadline <= f.lease {
		return
	}
	f.lease = deadline
	wait := time.Duration(float64(deadline-f.clock())/f.rate)*time.Millisecond + 2*time.Millisecond
	born := f.born
	f.w.after(wait, func() {
		if f.up && f.born == born && f.clock() >= f.lease {
			// Ends that were not taken note of before the lease lapsed do not count, even if they are later.
			f.failures = make(map[int64]*failure)
			f.voided = f.ends
			for id := range f.runs {
				f.finish(id, infra.OutcomeLeaseExpired)
			}
		}
	})
}

func (f *fakeWorker) start(o *owner, s infra.StartOrder) {
	answer := func(err error) {
		f.reply(o, flow.StartAnswered{Worker: f.info.ID, Order: s, Clock: f.clock(), Err: err})
	}
	if !f.fence(s.Token) {
		answer(f.refuse(infra.ReasonFenced))
		return
	}
	f.extend(s.Deadline)
	if r := f.runs[s.Task]; r != nil && r.number == s.Run {
		answer(nil)
		return
	}
	if s.Run <= f.highest[s.Task] {
		answer(f.refuse(infra.ReasonSuperseded))
		return
	}
	if f.clock() > s.Deadline {
		answer(f.refuse(infra.ReasonExpired))
		return
	}
	f.begin(s)
	answer(nil)
}

// begin starts a run and checks every promise about starts.
func (f *fakeWorker) begin(s infra.StartOrder) {
	w := f.w
	w.starts++
	j := w.jobs[s.Task.Job]
	spec := j.spec.Steps[s.Task.Step]
	w.checkStart(f, j, s, spec)
	length := time.Duration(float64(spec.Estimate) * (0.7 + 0.6*w.rng.Float64()))
	r := &fakeRun{number: s.Run, spec: spec, began: w.now, ends: w.now.Add(length), alive: true}
	r.fails = j.poison[s.Task.Step]
	f.runs[s.Task] = r
	f.highest[s.Task] = s.Run - 1
	if spec.LongRunning {
		return
	}
	outcome := infra.OutcomeDone
	if r.fails {
		outcome = infra.OutcomeFailed
	}
	born := f.born
	w.after(length, func() {
		if f.up && f.born == born && f.runs[s.Task] == r && !r.stops {
			f.finish(s.Task, outcome)
		}
	})
}

func (w *world) checkStart(f *fakeWorker, j *worldJob, s infra.StartOrder, spec infra.Step) {
	if !j.cancelled.IsZero() && w.now.Sub(j.cancelled) > 3*time.Second && w.lost == 0 {
		w.breach("%v started %v after its cancellation", s.Task, w.now.Sub(j.cancelled))
	}
	for _, before := range spec.After {
		for i := range j.spec.Steps[before].Count {
			if !j.done[infra.TaskID{Job: s.Task.Job, Step: before, Index: i}] {
				w.breach("%v started before step %d was done", s.Task, before)
			}
		}
	}
	if at, noted := j.noted[s.Task]; noted && w.now.Sub(at) > time.Second && !spec.Speculative {
		w.breach("%v started after its end was noted", s.Task)
	}
	if !f.drains.IsZero() && w.now.Sub(f.drains) > drainTime && w.lost == 0 {
		w.breach("%v started on %s %v after it told that it leaves", s.Task, f.info.ID, w.now.Sub(f.drains))
	}
	j.begins[s.Task] = append(j.begins[s.Task], w.now)
	used := spec.Reserved()
	same := 1
	for id, r := range f.runs {
		used = used.Add(r.spec.Reserved())
		if id.Job == s.Task.Job && id.Step == s.Task.Step {
			same++
		}
	}
	if !used.Fits(f.info.Capacity) {
		w.breach("%v on %s makes %v of %v", s.Task, f.info.ID, used, f.info.Capacity)
	}
	if spec.MaxPerWorker > 0 && same > spec.MaxPerWorker {
		w.breach("%v is the %d. of its step on %s", s.Task, same, f.info.ID)
	}
	for _, id := range w.order {
		other := w.workers[id]
		if r := other.runs[s.Task]; other.up && r != nil && !spec.Speculative {
			w.breach("%v run %d starts on %s while run %d is on %s (token %d)", s.Task, s.Run, f.info.ID, r.number, id, s.Token)
		}
	}
}

func (f *fakeWorker) finish(id infra.TaskID, how infra.Outcome) {
	r := f.runs[id]
	delete(f.runs, id)
	f.highest[id] = max(f.highest[id], r.number)
	f.ends++
	f.ended = append(f.ended, infra.EndedRun{Number: f.ends, Task: id, Run: r.number, Outcome: how, Checkpoint: r.saved})
	j := f.w.jobs[id.Job]
	switch how {
	case infra.OutcomeDone:
		j.done[id] = true
	case infra.OutcomeFailed:
		j.failures[id] = append(j.failures[id], &failure{at: f.w.now})
		f.failures[f.ends] = j.failures[id][len(j.failures[id])-1]
	default:
	}
	// Holds can overtake each other, so that several wait; each is answered.
	waiting := f.waiting
	f.waiting = nil
	for _, h := range waiting {
		f.report(h)
	}
}

func (f *fakeWorker) stop(o *owner, s infra.StopOrder) {
	if !f.fence(s.Token) {
		f.reply(o, flow.StopAnswered{Worker: f.info.ID, Order: s, Clock: f.clock(), Err: f.refuse(infra.ReasonFenced)})
		return
	}
	f.highest[s.Task] = max(f.highest[s.Task], s.Run)
	if r := f.runs[s.Task]; r != nil && r.number <= s.Run && !r.stops {
		r.stops = true
		born := f.born
		f.w.after(time.Duration(f.w.rng.Int64N(int64(stopTime))), func() {
			if f.up && f.born == born && f.runs[s.Task] == r {
				f.finish(s.Task, infra.OutcomeStopped)
			}
		})
	}
	f.reply(o, flow.StopAnswered{Worker: f.info.ID, Order: s, Clock: f.clock()})
}

func (f *fakeWorker) hold(o *owner, seq int64, s infra.RenewOrder) {
	if !f.fence(s.Token) {
		f.reply(o, flow.HoldFailed{Worker: f.info.ID, Sequence: seq, Order: s, Err: f.refuse(infra.ReasonFenced)})
		return
	}
	if s.Deadline > 0 {
		f.extend(s.Deadline)
	}
	for len(f.ended) > 0 && f.ended[0].Number <= s.AckedEnd {
		e := f.ended[0]
		if e.Outcome == infra.OutcomeDone && e.Number > f.voided {
			f.w.jobs[e.Task.Job].noted[e.Task] = f.w.now
		}
		if end := f.failures[e.Number]; end != nil {
			end.noted = true
		}
		f.ended = f.ended[1:]
	}
	h := &hold{o: o, seq: seq, order: s, until: f.w.now.Add(s.Wait)}
	if len(f.ended) > 0 || s.Wait == 0 {
		f.report(h)
		return
	}
	f.waiting = append(f.waiting, h)
	born := f.born
	f.w.after(s.Wait, func() {
		if at := slices.Index(f.waiting, h); f.up && f.born == born && at >= 0 {
			f.waiting = slices.Delete(f.waiting, at, at+1)
			f.report(h)
		}
	})
}

func (f *fakeWorker) report(h *hold) {
	r := infra.Report{Clock: f.clock(), StartedAt: f.born.UnixMilli(), Ended: append([]infra.EndedRun(nil), f.ended...)}
	for id, run := range f.runs {
		percent := int(100 * f.w.now.Sub(run.began) / max(1, run.ends.Sub(run.began)))
		r.Running = append(r.Running, infra.ActiveRun{Task: id, Run: run.number, Checkpoint: run.saved, Progress: min(99, percent)})
	}
	f.reply(h.o, flow.HoldAnswered{Worker: f.info.ID, Sequence: h.seq, Order: h.order, Report: r})
}

// checkAttempts finds starts after as many failed runs as a queue allows, of those that were taken note of.
func (w *world) checkAttempts() {
	for _, id := range w.ids {
		j := w.jobs[id]
		q, _ := w.catalog.Queue(j.spec.Queue)
		for task, failures := range j.failures {
			noted := 0
			for _, f := range failures {
				if !f.noted {
					continue
				}
				if noted++; noted < q.MaxAttempts {
					continue
				}
				for _, at := range j.begins[task] {
					if at.After(f.at) && !j.spec.Steps[task.Step].LongRunning {
						w.breach("%v started at %v after %d failed runs", task, at, noted)
					}
				}
			}
		}
	}
}

// crash ends everything on a worker; it is listed for three more heartbeats and comes back after a while.
func (w *world) crash(id fleet.WorkerID, back time.Duration, dark bool) {
	f := w.workers[id]
	if !f.up {
		return
	}
	f.up = false
	f.runs = make(map[infra.TaskID]*fakeRun)
	waiting := f.waiting
	f.waiting = nil
	for _, h := range waiting {
		w.after(answerTime, func() {
			w.step(h.o, flow.HoldFailed{Worker: id, Sequence: h.seq, Order: h.order, Err: &infra.NoAnswerError{Worker: id}})
		})
	}
	if dark {
		f.reachable = false
	}
	w.after(3300*time.Millisecond, func() {
		if !f.up {
			w.tell(flow.WorkerUnlisted{Worker: id})
		}
	})
	w.after(back, func() {
		f.up, f.reachable = true, true
		f.reset()
		w.tell(flow.WorkerListed{Worker: f.describe()})
	})
}

// drainTime is how long after its notice a draining worker may still be given tasks.
const drainTime = 2 * time.Second

// drain lets a worker tell that it leaves, and leave; it is back a while later as another life.
func (w *world) drain(id fleet.WorkerID, stays time.Duration) {
	f := w.workers[id]
	if !f.up || !f.reachable || !f.drains.IsZero() {
		return
	}
	f.drains, f.info.Draining, f.info.Remaining = w.now, true, stays
	w.tell(flow.WorkerListed{Worker: f.describe()})
	born := f.born
	w.after(stays, func() {
		if f.born == born {
			w.crash(id, 5*time.Second, false)
		}
	})
}

// replace loses a worker for good and adds another one, with no scheduler having been told.
func (w *world) replace(id fleet.WorkerID) {
	f := w.workers[id]
	if !f.up {
		return
	}
	w.crash(id, 24*time.Hour, true)
	w.addWorker(id + "x")
	w.tell(flow.WorkerListed{Worker: w.workers[id+"x"].describe()})
}

// kill ends the scheduler; another one is elected after a while.
func (w *world) kill(d time.Duration) {
	o := w.leader
	o.alive = false
	w.after(d, func() {
		if o == w.leader {
			w.elect(false)
		}
	})
}

// cut partitions a worker from all schedulers; it runs on.
func (w *world) cut(id fleet.WorkerID, d time.Duration) {
	f := w.workers[id]
	if !f.up || !f.reachable {
		return
	}
	f.reachable = false
	born := f.born
	w.after(3300*time.Millisecond, func() {
		if !f.reachable && f.born == born {
			w.tell(flow.WorkerUnlisted{Worker: id})
		}
	})
	w.after(d, func() {
		if f.born == born {
			f.reachable = true
			w.tell(flow.WorkerListed{Worker: f.describe()})
		}
	})
}
