package serve_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/serve"
)

// flow is the demand of one customer in one class, in thousandths of the capacity.
type flow struct {
	customer fleet.CustomerID
	class    fleet.Class
}

// demand stays below the floors of the classes, so that every flow is entitled to all it asks for.
var demand = map[fleet.Class]float64{fleet.Urgent: 0.10, fleet.Standard: 0.03, fleet.Deferrable: 0.014}

const (
	loadWorkers = 4
	loadSlots   = 8
	serviceTime = 50 * time.Millisecond
	capacity    = loadWorkers * loadSlots * float64(time.Second/serviceTime)
)

type tally struct {
	sent, ran int
	latencies []time.Duration
}

// p99 returns the 99th percentile of the latencies.
func (t *tally) p99() time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	slices.Sort(t.latencies)
	return t.latencies[len(t.latencies)*99/100]
}

func (t *tally) part() float64 { return float64(t.ran) / float64(max(1, t.sent)) }

type timed struct {
	at time.Time
	do func()
}

type queue []timed

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(timed)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// load drives one machine with open arrivals and answers each attempt after its service time.
type load struct {
	now     time.Time
	random  *rand.Rand
	machine *serve.Machine
	queue   queue
	nextID  uint64
	pending map[uint64]func(serve.Response)
	tallies map[flow]*tally
}

func newLoad(seed uint64, opts ...serve.Option) *load {
	l := &load{
		now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 1)), pending: make(map[uint64]func(serve.Response)),
	}
	self := grant.Member{Host: "e", Zone: "a"}
	l.machine = serve.New(serve.Config{Self: self, Roster: []grant.Member{self}, Random: l.random}, l.now, opts...)
	var workers []fleet.Worker
	for i := range loadWorkers {
		workers = append(workers, fleet.Worker{
			ID: fleet.WorkerID(fmt.Sprint("w", i)), Zone: "a", State: fleet.HostLive, Slots: loadSlots, Connections: 64,
		})
	}
	l.step(serve.FleetObserved{Workers: workers})
	l.every(tick, func() { l.step(serve.Tick{}) })
	l.run(6 * time.Second)
	return l
}

func (l *load) after(d time.Duration, do func()) { heap.Push(&l.queue, timed{l.now.Add(d), do}) }

func (l *load) every(d time.Duration, do func()) {
	l.after(d, func() {
		do()
		l.every(d, do)
	})
}

func (l *load) run(d time.Duration) {
	end := l.now.Add(d)
	for len(l.queue) > 0 && !l.queue[0].at.After(end) {
		next := heap.Pop(&l.queue).(timed)
		l.now = next.at
		next.do()
	}
	l.now = end
}

func (l *load) step(ev serve.Event) {
	for _, e := range l.machine.Step(l.now, ev) {
		switch e := e.(type) {
		case serve.Send:
			took := serviceTime/2 + time.Duration(l.random.Int64N(int64(serviceTime)))
			l.after(took, func() {
				l.step(serve.AttemptEnded{ID: e.Request.ID, Attempt: e.Attempt, Status: 200, Latency: took})
			})
		case serve.Response:
			if done := l.pending[e.ID]; done != nil {
				delete(l.pending, e.ID)
				done(e)
			}
		}
	}
}

// arrivals sends requests of a flow at a rate until the returned function is called.
func (l *load) arrivals(f flow, perSecond float64) (stop func()) {
	stopped := false
	var next func()
	next = func() {
		if stopped {
			return
		}
		l.request(f)
		l.after(time.Duration(l.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	l.after(time.Duration(l.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	return func() { stopped = true }
}

func (l *load) request(f flow) {
	t := l.tallies[f]
	if t == nil {
		t = &tally{}
		l.tallies[f] = t
	}
	l.nextID++
	t.sent++
	arrived := l.now
	l.pending[l.nextID] = func(a serve.Response) {
		if a.Outcome == serve.Ran {
			t.ran++
			t.latencies = append(t.latencies, l.now.Sub(arrived))
		}
	}
	l.step(serve.Arrived{Request: serve.Request{
		ID: l.nextID, Service: fleet.NewServiceID(f.customer, f.class.String()), Customer: f.customer, Class: f.class,
		Deadline: l.now.Add(2 * time.Second),
	}})
}

// measure counts the requests that arrive during d.
func (l *load) measure(d time.Duration) map[flow]*tally {
	l.tallies = make(map[flow]*tally)
	l.run(d)
	tallies := l.tallies
	l.tallies = make(map[flow]*tally)
	l.run(2 * time.Second)
	return tallies
}

func (l *load) base() {
	l.tallies = make(map[flow]*tally)
	for _, customer := range []fleet.CustomerID{"a", "b", "c"} {
		for _, class := range fleet.Classes {
			l.arrivals(flow{customer, class}, demand[class]*capacity)
		}
	}
}

// An overload by one customer in one class must not take from any other class or customer what is within its share, and
// must leave no trace after it.
func TestOverloadLeavesOthersTheirShare(t *testing.T) {
	for _, class := range []fleet.Class{fleet.Deferrable, fleet.Urgent} {
		for _, factor := range []float64{2, 5, 20} {
			t.Run(fmt.Sprintf("%s %gx", class, factor), func(t *testing.T) {
				l := newLoad(1)
				l.base()
				before := l.measure(8 * time.Second)
				attacker := flow{"a", class}
				stop := l.arrivals(attacker, factor*capacity)
				l.run(time.Second)
				during := l.measure(8 * time.Second)
				stop()
				l.run(time.Second)
				after := l.measure(8 * time.Second)
				for f, old := range before {
					got, later := during[f], after[f]
					t.Logf("%s %-10s ran %.3f %.3f %.3f, p99 %4d %4d %4d ms", f.customer, f.class,
						old.part(), got.part(), later.part(),
						old.p99().Milliseconds(), got.p99().Milliseconds(), later.p99().Milliseconds())
				}
				for f, got := range during {
					later := after[f]
					assert.Assert(t, later.part() > 0.99, "%v has not recovered", f)
					assert.Assert(t, f == attacker || got.part() > 0.95, "%v lost its share", f)
					if f.class == fleet.Urgent && f != attacker {
						assert.Assert(t, got.p99() < 300*time.Millisecond, "urgent %v waits %v", f, got.p99())
					}
				}
			})
		}
	}
}
