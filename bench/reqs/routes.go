package reqs

import (
	"fmt"
	"time"

	"lovagefork.example/bench/table"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/route"
	"lovagefork.example/coord/serve"
)

// Mean service time and measured duration of a run of the routing experiment.
const (
	routeServiceTime = 100 * time.Millisecond
	routeDuration    = 6 * time.Second
)

// condition is a set of faults in a run of the routing experiment. apply is called at the start of the measurement.
type condition struct {
	name   string
	faults linkFaults
	apply  func(sim *simulation)
}

func conditions() []condition {
	return []condition{
		{"all well", linkFaults{}, func(*simulation) {}},
		{"one slow server", linkFaults{}, func(sim *simulation) { sim.serverList[0].slowdown = 10 }},
		{"zone lost", linkFaults{}, func(sim *simulation) {
			sim.loop.After(routeDuration/5, func() { sim.failZone(zoneName(0)) })
		}},
		{"jitter and 1 % loss", linkFaults{jitter: 1, loss: 0.01}, func(*simulation) {}},
	}
}

type variant struct {
	name string
	opts func(site Site, i int) []serve.Option
}

func fixedOptions(opts ...serve.Option) func(Site, int) []serve.Option {
	return func(Site, int) []serve.Option { return opts }
}

func routeVariants() []variant {
	return []variant{
		{"two choices, borrow", fixedOptions(serve.WithOverflow(serve.BorrowFirst{}))},
		{"two choices, forward", fixedOptions(serve.WithOverflow(serve.ForwardOnly{}))},
		{"two choices, wait", fixedOptions(serve.WithOverflow(serve.WaitOnly{}))},
		{"random, forward", fixedOptions(serve.WithRoute(route.WithPolicy(route.Random{})))},
		{"round robin, forward", fixedOptions(serve.WithRoute(route.WithPolicy(route.RoundRobin{})))},
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
	sim := newSimulation(site, routeServiceTime, seed, func(i int) []serve.Option { return v.opts(site, i) })
	sim.faults = c.faults
	sim.loop.Run(warmupTime)
	start := sim.loop.Now()
	c.apply(sim)
	rate := load * site.capacity(routeServiceTime)
	sim.scheduleArrivals(stream{fleet.Urgent, "a", func(t time.Duration) float64 {
		if t >= routeDuration {
			return 0
		}
		return rate
	}}, start)
	sim.loop.Run(routeDuration + deadlines[fleet.Urgent])
	// The first second is excluded because queues and latency estimates are still building up.
	s := summarize(sim.calls, func(c *call) bool { return c.arrivedAt.Sub(start) > time.Second })
	return map[string]float64{
		"p50 ms": s.quantile(0.5), "p99 ms": s.quantile(0.99), "p99.9 ms": s.quantile(0.999),
		"in time %": s.inTimePercent(), "beyond slots": float64(sim.requestsBeyondSlots),
	}
}

// Loads are the offered loads of the routing experiment as fractions of the capacity.
var Loads = []float64{0.5, 0.8, 0.95}

// CompareRouting compares policies for the selection of a backend server and for requests without a free slot. It runs
// seeds 1 to n, at most parallel runs concurrently.
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
