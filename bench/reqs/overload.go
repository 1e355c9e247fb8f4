package reqs

import (
	"fmt"
	"time"

	"lovagefork.example/bench/table"
	"lovagefork.example/coord/admit"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/serve"
)

// Mean service time and durations of the overload experiment.
const (
	floodServiceTime = 200 * time.Millisecond
	beforeFlood      = 3 * time.Second
	floodDuration    = 5 * time.Second
	afterFlood       = 8 * time.Second
	// recoveryWindow is the resolution of the recovery time.
	recoveryWindow = 500 * time.Millisecond
	// normalLoad is the offered load without the flood as a fraction of the capacity, in equal parts by class and
	// customer.
	normalLoad = 0.6
)

// The two customers: floodingCustomer sends the flood, and the requests of otherCustomer suffer from it.
const (
	floodingCustomer = fleet.CustomerID("flooder")
	otherCustomer    = fleet.CustomerID("other")
)

func floodVariants() []variant {
	policy := func(p admit.Policy) func(Site, int) []serve.Option {
		return fixedOptions(serve.WithAdmit(admit.WithPolicy(p)))
	}
	return []variant{
		{"fair with floors", fixedOptions()},
		{"priority", policy(admit.Priority{})},
		{"fifo", policy(admit.FIFO{})},
	}
}

var floodMetrics = []table.Metric{
	{Name: "other: urgent in time %", Digits: 1},
	{Name: "other: urgent p99 ms"},
	{Name: "other: standard in time %", Digits: 1},
	{Name: "other: deferrable in time %", Digits: 1},
	{Name: "flooder in time % of capacity", Digits: 1},
	{Name: "all in time % of capacity", Digits: 1},
	{Name: "recovers s", Digits: 1},
}

var detailMetrics = []table.Metric{
	{Name: "in time % before", Digits: 1},
	{Name: "in time % during", Digits: 1},
	{Name: "in time % after", Digits: 1},
	{Name: "p99 ms before"},
	{Name: "p99 ms during"},
	{Name: "p99 ms after"},
}

// flood is an overload by requests of one class at a multiple of the capacity.
type flood struct {
	class  fleet.Class
	factor float64
}

func floods() []flood {
	var all []flood
	for _, class := range []fleet.Class{fleet.Deferrable, fleet.Urgent} {
		for _, factor := range []float64{2, 5, 20} {
			all = append(all, flood{class, factor})
		}
	}
	return all
}

func runFlood(site Site, f flood, v variant, seed uint64) ([]*call, time.Time) {
	sim := newSimulation(site, floodServiceTime, seed, func(i int) []serve.Option { return v.opts(site, i) })
	sim.loop.Run(warmupTime)
	start := sim.loop.Now()
	capacity := site.capacity(floodServiceTime)
	const total = beforeFlood + floodDuration + afterFlood
	for _, class := range fleet.Classes {
		for _, customer := range []fleet.CustomerID{floodingCustomer, otherCustomer} {
			sim.scheduleArrivals(stream{class, customer, func(t time.Duration) float64 {
				switch {
				case t >= total:
					return 0
				case customer == floodingCustomer && class == f.class && phase(t) == 1:
					return f.factor * capacity
				default:
					return normalLoad * capacity / float64(2*len(fleet.Classes))
				}
			}}, start)
		}
	}
	sim.loop.Run(total + deadlines[fleet.Deferrable])
	return sim.calls, start
}

// phase returns 0 before, 1 during and 2 after the flood, for a time since the start.
func phase(t time.Duration) int {
	switch {
	case t < beforeFlood:
		return 0
	case t < beforeFlood+floodDuration:
		return 1
	default:
		return 2
	}
}

func floodValues(site Site, calls []*call, start time.Time) map[string]float64 {
	during := func(c *call) bool { return phase(c.arrivedAt.Sub(start)) == 1 }
	summaryOf := func(customer fleet.CustomerID, class fleet.Class) summary {
		return summarize(calls, func(c *call) bool { return during(c) && c.customer == customer && c.class == class })
	}
	percentOfCapacity := func(keep func(*call) bool) float64 {
		s := summarize(calls, func(c *call) bool { return during(c) && keep(c) })
		return 100 * float64(s.inTimeCount) / (site.capacity(floodServiceTime) * floodDuration.Seconds())
	}
	urgent := summaryOf(otherCustomer, fleet.Urgent)
	return map[string]float64{
		"other: urgent in time %":       urgent.inTimePercent(),
		"other: urgent p99 ms":          urgent.quantile(0.99),
		"other: standard in time %":     summaryOf(otherCustomer, fleet.Standard).inTimePercent(),
		"other: deferrable in time %":   summaryOf(otherCustomer, fleet.Deferrable).inTimePercent(),
		"flooder in time % of capacity": percentOfCapacity(func(c *call) bool { return c.customer == floodingCustomer }),
		"all in time % of capacity":     percentOfCapacity(func(*call) bool { return true }),
		"recovers s":                    recovery(calls, start).Seconds(),
	}
}

// recovery returns the time from the end of the flood to the first window from which on at least 98 % of the requests
// of every window are answered in time.
func recovery(calls []*call, start time.Time) time.Duration {
	end := beforeFlood + floodDuration
	var last time.Duration
	for from := end; from < end+afterFlood; from += recoveryWindow {
		s := summarize(calls, func(c *call) bool { t := c.arrivedAt.Sub(start); return t >= from && t < from+recoveryWindow })
		if s.inTimePercent() < 98 {
			last = from + recoveryWindow - end
		}
	}
	return last
}

func detailValues(calls []*call, start time.Time, customer fleet.CustomerID, class fleet.Class) map[string]float64 {
	values := map[string]float64{}
	for i, name := range []string{"before", "during", "after"} {
		s := summarize(calls, func(c *call) bool {
			return c.customer == customer && c.class == class && phase(c.arrivedAt.Sub(start)) == i
		})
		values["in time % "+name] = s.inTimePercent()
		values["p99 ms "+name] = s.quantile(0.99)
	}
	return values
}

// CompareAdmission compares admission policies under overload by the least urgent and by the most urgent class. It runs
// seeds 1 to n, at most parallel runs concurrently.
func CompareAdmission(n, parallel int) []*table.Table {
	t := &table.Table{Title: "Overload", Metrics: floodMetrics, Baseline: "fifo"}
	detail := &table.Table{Title: "Overload by class and customer", Metrics: detailMetrics, Baseline: "fifo"}
	var jobs []table.Job
	for _, site := range Sites() {
		for _, f := range floods() {
			for _, v := range floodVariants() {
				for seed := range n {
					group := fmt.Sprintf("%s, %s ×%.0f", site.Name, f.class, f.factor)
					jobs = append(jobs, table.Job{Group: group, Variant: v.name, Run: func() map[string]float64 {
						calls, start := runFlood(site, f, v, uint64(seed+1))
						values := floodValues(site, calls, start)
						addDetailValues(values, calls, start)
						return values
					}})
				}
			}
		}
	}
	results := t.RunJobs(jobs, parallel)
	for i, j := range jobs {
		for _, class := range fleet.Classes {
			for _, customer := range []fleet.CustomerID{floodingCustomer, otherCustomer} {
				for _, m := range detailMetrics {
					detail.Add(j.Group+", "+detailKey(customer, class), j.Variant, m.Name, results[i][detailKey(customer, class)+m.Name])
				}
			}
		}
	}
	return []*table.Table{t, detail}
}

func detailKey(customer fleet.CustomerID, class fleet.Class) string {
	return string(customer) + " " + class.String()
}

func addDetailValues(values map[string]float64, calls []*call, start time.Time) {
	for _, class := range fleet.Classes {
		for _, customer := range []fleet.CustomerID{floodingCustomer, otherCustomer} {
			for name, v := range detailValues(calls, start, customer, class) {
				values[detailKey(customer, class)+name] = v
			}
		}
	}
}
