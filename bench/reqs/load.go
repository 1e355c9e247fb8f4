package reqs

import (
	"slices"
	"time"

	"lovagefork.example/bench/table"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/serve"
)

// stream is one customer's requests of one class; rate gives requests a second at a time after the start.
type stream struct {
	class    fleet.Class
	customer fleet.CustomerID
	rate     func(time.Duration) float64
}

// arrivals runs a stream; idle streams are looked at again after a while.
func (w *simulation) scheduleArrivals(s stream, start time.Time) {
	rate := s.rate(w.loop.Now().Sub(start))
	if rate <= 0 {
		w.loop.After(50*time.Millisecond, func() { w.scheduleArrivals(s, start) })
		return
	}
	gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	if gap > 50*time.Millisecond {
		// The rate may change before the next arrival; the exponential distribution has no memory.
		w.loop.After(50*time.Millisecond, func() { w.scheduleArrivals(s, start) })
		return
	}
	w.loop.After(gap, func() {
		w.newRequest(s)
		w.scheduleArrivals(s, start)
	})
}

// arrive brings a request through the load balancer, which spreads callers evenly over the entry hosts.
func (w *simulation) newRequest(s stream) {
	now := w.loop.Now()
	c := &call{class: s.class, customer: s.customer, arrivedAt: now, deadline: now.Add(deadlines[s.class])}
	w.calls = append(w.calls, c)
	e := w.entries[w.random.IntN(len(w.entries))]
	if e.dead {
		c.done, c.rejectReason = true, "entry host dead"
		return
	}
	w.lastID++
	e.calls[w.lastID] = c
	w.step(e, serve.Arrived{Request: serve.Request{
		ID: w.lastID, Service: service, Customer: s.customer, Class: s.class, Deadline: c.deadline,
	}})
}

// loseZone stops all servers and entry hosts of a zone; the load balancer and the host list notice later.
func (w *simulation) failZone(lost fleet.AvailabilityZone) {
	for _, s := range w.serverList {
		s.dead = s.dead || s.Zone == lost
	}
	var alive []*entryHost
	for _, e := range w.entries {
		e.dead = e.dead || e.Zone == lost
		if !e.dead {
			alive = append(alive, e)
		}
	}
	w.loop.After(balancerDelay, func() { w.entries = alive })
	w.loop.After(hostListDelay, func() {
		var listed []fleet.Worker
		for _, s := range w.serverList {
			if !s.dead {
				listed = append(listed, s.Worker)
			}
		}
		for _, e := range alive {
			w.step(e, serve.FleetObserved{Workers: listed})
		}
	})
}

// summary is what the requests of a selection got.
type summary struct {
	offered, inTime int
	latencies       []float64
}

// summarize counts a request without an answer in time at its full deadline, so that failures show in the tail.
func summarize(calls []*call, keep func(*call) bool) summary {
	var s summary
	for _, c := range calls {
		if !keep(c) {
			continue
		}
		s.offered++
		if c.inTime {
			s.inTime++
			s.latencies = append(s.latencies, float64(c.latency)/float64(time.Millisecond))
		} else {
			s.latencies = append(s.latencies, float64(deadlines[c.class])/float64(time.Millisecond))
		}
	}
	slices.Sort(s.latencies)
	return s
}

func (s summary) quantile(q float64) float64 { return table.Quantile(s.latencies, q) }

func (s summary) inTimePercent() float64 {
	if s.offered == 0 {
		return 100
	}
	return 100 * float64(s.inTime) / float64(s.offered)
}
