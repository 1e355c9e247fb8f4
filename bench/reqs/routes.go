package reqs

import (
	"fmt"
	"time"

	"lovagefork.example/bench/table"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/route"
	"lovagefork.example/coord/serve"
)

// routeMean is the mean service time, and routeTime the measured time of a run.
const (
	routeMean = 100 * time.Millisecond
	routeTime = 6 * time.Second
)

// condition is what goes wrong in a run of the routing experiment.
type condition struct {
	name   string
	faults faults
	begin  func(w *world)
}

func conditions() []condition {
	return []condition{
		{"all well", faults{}, func(*world) {}},
		{"one slow server", faults{}, func(w *world) { w.order[0].slow = 10 }},
		{"zone lost", faults{}, func(w *world) {
			w.loop.After(routeTime/5, func() { w.loseZone(zone(0)) })
		}},
		{"jitter and 1 % loss", faults{jitter: 1, loss: 0.01}, func(*world) {}},
	}
}

type variant struct {
	name string
	opts func(site Site, i int) []serve.Option
}

func always(opts ...serve.Option) func(Site, int) []serve.Option {
	return func(Site, int) []serve.Option { return opts }
}

func routeVariants() []variant {
	return []variant{
		{"two choices, borrow", always(serve.WithOverflow(serve.BorrowFirst{}))},
		{"two choices, forward", always(serve.WithOverflow(serve.ForwardOnly{}))},
		{"two choices, wait", always(serve.WithOverflow(serve.WaitOnly{}))},
		{"random, forward", always(serve.WithRoute(route.WithPolicy(route.Random{})))},
		{"round robin, forward", always(serve.WithRoute(route.WithPolicy(route.RoundRobin{})))},
		{"fixed split, wait", func(s Site, i int) []serve.Option {
			split := route.FixedSplit{Part: i, Parts: s.entries}
			return []serve.Option{serve.WithRoute(route.WithPolicy(split)), serve.WithOverflow(serve.WaitOnly{})}
		}},
	}
}

var routeMetrics = []table.Metric{
	{Name: "p99 ms"},
	{Name: "p50 ms"},
	{Name: "p99.9 ms"},
	{Name: "in time %", Digits: 2},
	{Name: "beyond slots"},
}

func runRoutes(site Site, c condition, load float64, v variant, seed uint64) map[string]float64 {
	w := newWorld(site, routeMean, seed, func(i int) []serve.Option { return v.opts(site, i) })
	w.faults = c.faults
	w.loop.Run(warmup)
	start := w.loop.Now()
	c.begin(w)
	rate := load * site.capacity(routeMean)
	w.arrivals(stream{fleet.Urgent, "a", func(t time.Duration) float64 {
		if t >= routeTime {
			return 0
		}
		return rate
	}}, start)
	w.loop.Run(routeTime + deadlines[fleet.Urgent])
	// The first second fills the queues and the estimates.
	s := summarize(w.calls, func(c *call) bool { return c.at.Sub(start) > time.Second })
	return map[string]float64{
		"p50 ms": s.quantile(0.5), "p99 ms": s.quantile(0.99), "p99.9 ms": s.quantile(0.999),
		"in time %": s.percent(), "beyond slots": float64(w.excess),
	}
}

// Loads are the parts of the capacity that the routing experiment asks for.
var Loads = []float64{0.5, 0.8, 0.95}

// Routes compares the selection of servers and the handling of requests without a free slot.
func CompareRouting(n, parallel int, loads ...float64) []*table.Table {
	t := &table.Table{Title: "Routing", Metrics: routeMetrics, Baseline: "fixed split, wait"}
	var jobs []table.Job
	for _, site := range Sites() {
		for _, c := range conditions() {
			for _, load := range loads {
				for _, v := range routeVariants() {
					for seed := range n {
						jobs = append(jobs, table.Job{
							Group: fmt.Sprintf("%s, %s, %.0f %%", site.Name, c.name, 100*load), Variant: v.name,
							Run: func() map[string]float64 { return runRoutes(site, c, load, v, uint64(seed+1)) },
						})
					}
				}
			}
		}
	}
	t.RunJobs(jobs, parallel)
	return []*table.Table{t}
}
