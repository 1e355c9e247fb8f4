package reqs

import (
	"slices"
	"time"

	"lovagefork.example/bench/table"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/serve"
)

// stream is the request stream of one customer and class. rate returns the requests per second at a time after the
// start.
type stream struct {
	class    fleet.Class
	customer fleet.CustomerID
	rate     func(time.Duration) float64
}

// scheduleArrivals generates the requests of a stream as a Poisson process with a time-dependent rate. It checks the
// rate at least every 50 ms.
func (sim *simulation) scheduleArrivals(s stream, start time.Time) {
	rate := s.rate(sim.loop.Now().Sub(start))
	if rate <= 0 {
		sim.loop.After(50*time.Millisecond, func() { sim.scheduleArrivals(s, start) })
		return
	}
	gap := time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second))
	if gap > 50*time.Millisecond {
		// The rate can change before the next arrival. Drawing a new gap is correct because the exponential
		// distribution is memoryless.
		sim.loop.After(50*time.Millisecond, func() { sim.scheduleArrivals(s, start) })
		return
	}
	sim.loop.After(gap, func() {
		sim.newRequest(s)
		sim.scheduleArrivals(s, start)
	})
}

// newRequest sends a request to a random entry host, as a load balancer does that distributes callers evenly.
func (sim *simulation) newRequest(s stream) {
	now := sim.loop.Now()
	c := &call{class: s.class, customer: s.customer, arrivedAt: now, deadline: now.Add(deadlines[s.class])}
	sim.calls = append(sim.calls, c)
	e := sim.entryHosts[sim.rng.IntN(len(sim.entryHosts))]
	if e.dead {
		c.done, c.rejectReason = true, "entry host dead"
		return
	}
	sim.lastID++
	e.calls[sim.lastID] = c
	sim.step(e, serve.Arrived{Request: serve.Request{
		ID: sim.lastID, Service: service, Customer: s.customer, Class: s.class, Deadline: c.deadline,
	}})
}

// failZone stops all backend servers and entry hosts of a zone. The load balancer and the host list drop them after
// their delays.
func (sim *simulation) failZone(lost fleet.AvailabilityZone) {
	for _, s := range sim.serverList {
		s.dead = s.dead || s.Zone == lost
	}
	var alive []*entryHost
	for _, e := range sim.entryHosts {
		e.dead = e.dead || e.Zone == lost
		if !e.dead {
			alive = append(alive, e)
		}
	}
	sim.loop.After(balancerDelay, func() { sim.entryHosts = alive })
	sim.loop.After(hostListDelay, func() {
		var listed []fleet.Worker
		for _, s := range sim.serverList {
			if !s.dead {
				listed = append(listed, s.Worker)
			}
		}
		for _, e := range alive {
			sim.step(e, serve.FleetObserved{Workers: listed})
		}
	})
}

// summary holds the results of selected requests: inTimeCount is the number answered in time, and latencies are sorted
// and in milliseconds.
type summary struct {
	offeredCount, inTimeCount int
	latencies                 []float64
}

// summarize computes the summary of the calls for which keep returns true. A request that is not answered in time
// counts with its full deadline as latency, so that failures raise the high quantiles.
func summarize(calls []*call, keep func(*call) bool) summary {
	var s summary
	for _, c := range calls {
		if !keep(c) {
			continue
		}
		s.offeredCount++
		if c.inTime {
			s.inTimeCount++
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
	if s.offeredCount == 0 {
		return 100
	}
	return 100 * float64(s.inTimeCount) / float64(s.offeredCount)
}
