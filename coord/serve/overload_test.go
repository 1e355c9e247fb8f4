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

// demandFlow identifies the requests of one customer in one class.
type demandFlow struct {
	customer fleet.CustomerID
	class    fleet.Class
}

// demand is the load of each flow as a part of the capacity. It is below the minimum shares of the classes, so that
// every flow is entitled to all of its demand.
var demand = map[fleet.Class]float64{fleet.Urgent: 0.10, fleet.Standard: 0.03, fleet.Deferrable: 0.014}

const (
	workerCount    = 4
	slotsPerWorker = 8
	serviceTime    = 50 * time.Millisecond
	capacity       = workerCount * slotsPerWorker * float64(time.Second/serviceTime)
)

type results struct {
	sent, succeeded int
	latencies       []time.Duration
}

// p99 returns the 99th percentile of the latencies.
func (r *results) p99() time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[len(r.latencies)*99/100]
}

func (r *results) successRate() float64 { return float64(r.succeeded) / float64(max(1, r.sent)) }

type timedCall struct {
	at time.Time
	do func()
}

type timerHeap []timedCall

func (q timerHeap) Len() int           { return len(q) }
func (q timerHeap) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q timerHeap) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *timerHeap) Push(x any)        { *q = append(*q, x.(timedCall)) }
func (q *timerHeap) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// load drives one machine with open-loop arrivals and completes each attempt after a random service time.
type load struct {
	now     time.Time
	random  *rand.Rand
	machine *serve.Machine
	timers  timerHeap
	nextID  uint64
	pending map[uint64]func(serve.Response)
	results map[demandFlow]*results
}

func newLoad(seed uint64, opts ...serve.Option) *load {
	l := &load{
		now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 1)), pending: make(map[uint64]func(serve.Response)),
	}
	self := grant.Member{Host: "e", Zone: "a"}
	l.machine = serve.New(serve.Config{Self: self, Roster: []grant.Member{self}, Random: l.random}, l.now, opts...)
	var workers []fleet.Worker
	for i := range workerCount {
		workers = append(workers, fleet.Worker{
			ID: fleet.WorkerID(fmt.Sprint("w", i)), Zone: "a", State: fleet.HostLive, Slots: slotsPerWorker, Connections: 64,
		})
	}
	l.step(serve.FleetObserved{Workers: workers})
	l.every(tick, func() { l.step(serve.Tick{}) })
	l.run(6 * time.Second)
	return l
}

func (l *load) after(d time.Duration, do func()) { heap.Push(&l.timers, timedCall{l.now.Add(d), do}) }

func (l *load) every(d time.Duration, do func()) {
	l.after(d, func() {
		do()
		l.every(d, do)
	})
}

func (l *load) run(d time.Duration) {
	end := l.now.Add(d)
	for len(l.timers) > 0 && !l.timers[0].at.After(end) {
		next := heap.Pop(&l.timers).(timedCall)
		l.now = next.at
		next.do()
	}
	l.now = end
}

func (l *load) step(ev serve.Event) {
	for _, e := range l.machine.Step(l.now, ev) {
		switch e := e.(type) {
		case serve.Send:
			latency := serviceTime/2 + time.Duration(l.random.Int64N(int64(serviceTime)))
			l.after(latency, func() {
				l.step(serve.AttemptEnded{ID: e.Request.ID, Attempt: e.Attempt, Status: 200, Latency: latency})
			})
		case serve.Response:
			if done := l.pending[e.ID]; done != nil {
				delete(l.pending, e.ID)
				done(e)
			}
		}
	}
}

// startArrivals sends requests of a flow as a Poisson process until the returned function is called.
func (l *load) startArrivals(f demandFlow, perSecond float64) (stop func()) {
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

func (l *load) request(f demandFlow) {
	t := l.results[f]
	if t == nil {
		t = &results{}
		l.results[f] = t
	}
	l.nextID++
	t.sent++
	arrivedAt := l.now
	l.pending[l.nextID] = func(a serve.Response) {
		if a.Outcome == serve.OutcomeRan {
			t.succeeded++
			t.latencies = append(t.latencies, l.now.Sub(arrivedAt))
		}
	}
	l.step(serve.Arrived{Request: serve.Request{
		ID: l.nextID, Service: fleet.NewServiceID(f.customer, f.class.String()), Customer: f.customer, Class: f.class,
		Deadline: l.now.Add(2 * time.Second),
	}})
}

// measure returns the results of the requests that arrive during d.
func (l *load) measure(d time.Duration) map[demandFlow]*results {
	l.results = make(map[demandFlow]*results)
	l.run(d)
	measured := l.results
	l.results = make(map[demandFlow]*results)
	l.run(2 * time.Second)
	return measured
}

func (l *load) startBaseLoad() {
	l.results = make(map[demandFlow]*results)
	for _, customer := range []fleet.CustomerID{"a", "b", "c"} {
		for _, class := range fleet.Classes {
			l.startArrivals(demandFlow{customer, class}, demand[class]*capacity)
		}
	}
}

// An overload by one customer in one class must not reduce the service of any other flow whose demand is within its
// share. After the overload, every flow must recover.
func TestOverloadKeepsShareOfOtherFlows(t *testing.T) {
	for _, class := range []fleet.Class{fleet.Deferrable, fleet.Urgent} {
		for _, factor := range []float64{2, 5, 20} {
			t.Run(fmt.Sprintf("%s %gx", class, factor), func(t *testing.T) {
				l := newLoad(1)
				l.startBaseLoad()
				before := l.measure(8 * time.Second)
				overloadingFlow := demandFlow{"a", class}
				stop := l.startArrivals(overloadingFlow, factor*capacity)
				l.run(time.Second)
				during := l.measure(8 * time.Second)
				stop()
				l.run(time.Second)
				after := l.measure(8 * time.Second)
				for f, old := range before {
					got, later := during[f], after[f]
					t.Logf("%s %-10s success rate %.3f %.3f %.3f, p99 %4d %4d %4d ms", f.customer, f.class,
						old.successRate(), got.successRate(), later.successRate(),
						old.p99().Milliseconds(), got.p99().Milliseconds(), later.p99().Milliseconds())
				}
				for f, got := range during {
					later := after[f]
					assert.Assert(t, later.successRate() > 0.99, "success rate of %v has not recovered", f)
					assert.Assert(t, f == overloadingFlow || got.successRate() > 0.95, "%v got less than its share", f)
					if f.class == fleet.Urgent && f != overloadingFlow {
						assert.Assert(t, got.p99() < 300*time.Millisecond, "99th percentile of %v is %v", f, got.p99())
					}
				}
			})
		}
	}
}
