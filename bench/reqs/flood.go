package reqs

import (
	"fmt"
	"time"

	"lovagefork.example/bench/table"
	"lovagefork.example/coord/admit"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/serve"
)

// Times of a run of the overload experiment.
const (
	floodMean   = 200 * time.Millisecond
	beforeFlood = 3 * time.Second
	floodTime   = 5 * time.Second
	afterFlood  = 8 * time.Second
	// window is the resolution of the time to recover.
	window = 500 * time.Millisecond
	// normalLoad is the part of the capacity that is asked for outside the flood, in equal parts by class and customer.
	normalLoad = 0.6
)

// flooder sends the flood; victim is the other customer.
const (
	flooder = fleet.CustomerID("flooder")
	victim  = fleet.CustomerID("other")
)

func floodVariants() []variant {
	policy := func(p admit.Policy) func(Site, int) []serve.Option {
		return always(serve.WithAdmit(admit.WithPolicy(p)))
	}
	return []variant{
		{"fair with floors", always()},
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

// flood is one overload: a class asked for at a multiple of the capacity.
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
	w := newWorld(site, floodMean, seed, func(i int) []serve.Option { return v.opts(site, i) })
	w.loop.Run(warmup)
	start := w.loop.Now()
	capacity := site.capacity(floodMean)
	const total = beforeFlood + floodTime + afterFlood
	for _, class := range fleet.Classes {
		for _, customer := range []fleet.CustomerID{flooder, victim} {
			w.arrivals(stream{class, customer, func(t time.Duration) float64 {
				switch {
				case t >= total:
					return 0
				case customer == flooder && class == f.class && phase(t) == 1:
					return f.factor * capacity
				default:
					return normalLoad * capacity / float64(2*len(fleet.Classes))
				}
			}}, start)
		}
	}
	w.loop.Run(total + deadlines[fleet.Deferrable])
	return w.calls, start
}

// phase returns 0 before, 1 during and 2 after the flood.
func phase(t time.Duration) int {
	switch {
	case t < beforeFlood:
		return 0
	case t < beforeFlood+floodTime:
		return 1
	default:
		return 2
	}
}

func floodValues(site Site, calls []*call, start time.Time) map[string]float64 {
	during := func(c *call) bool { return phase(c.at.Sub(start)) == 1 }
	of := func(customer fleet.CustomerID, class fleet.Class) summary {
		return summarize(calls, func(c *call) bool { return during(c) && c.customer == customer && c.class == class })
	}
	part := func(keep func(*call) bool) float64 {
		s := summarize(calls, func(c *call) bool { return during(c) && keep(c) })
		return 100 * float64(s.answered) / (site.capacity(floodMean) * floodTime.Seconds())
	}
	urgent := of(victim, fleet.Urgent)
	return map[string]float64{
		"other: urgent in time %":       urgent.percent(),
		"other: urgent p99 ms":          urgent.quantile(0.99),
		"other: standard in time %":     of(victim, fleet.Standard).percent(),
		"other: deferrable in time %":   of(victim, fleet.Deferrable).percent(),
		"flooder in time % of capacity": part(func(c *call) bool { return c.customer == flooder }),
		"all in time % of capacity":     part(func(*call) bool { return true }),
		"recovers s":                    recovery(calls, start).Seconds(),
	}
}

// recovery returns the time from the end of the flood until 98 % of every later window is answered in time.
func recovery(calls []*call, start time.Time) time.Duration {
	end := beforeFlood + floodTime
	var last time.Duration
	for from := end; from < end+afterFlood; from += window {
		s := summarize(calls, func(c *call) bool { t := c.at.Sub(start); return t >= from && t < from+window })
		if s.percent() < 98 {
			last = from + window - end
		}
	}
	return last
}

func detailValues(calls []*call, start time.Time, customer fleet.CustomerID, class fleet.Class) map[string]float64 {
	values := map[string]float64{}
	for i, name := range []string{"before", "during", "after"} {
		s := summarize(calls, func(c *call) bool {
			return c.customer == customer && c.class == class && phase(c.at.Sub(start)) == i
		})
		values["in time % "+name] = s.percent()
		values["p99 ms "+name] = s.quantile(0.99)
	}
	return values
}

// Floods compares admission policies in an overload of the least urgent and of the most urgent class.
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
						addDetail(values, calls, start)
						return values
					}})
				}
			}
		}
	}
	results := t.RunJobs(jobs, parallel)
	for i, j := range jobs {
		for _, class := range fleet.Classes {
			for _, customer := range []fleet.CustomerID{flooder, victim} {
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

func addDetail(values map[string]float64, calls []*call, start time.Time) {
	for _, class := range fleet.Classes {
		for _, customer := range []fleet.CustomerID{flooder, victim} {
			for name, v := range detailValues(calls, start, customer, class) {
				values[detailKey(customer, class)+name] = v
			}
		}
	}
}
