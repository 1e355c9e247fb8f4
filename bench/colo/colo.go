package colo

import (
	"time"

	"lovagefork.example/bench/table"
	"lovagefork.example/coord/place"
)

// Variant is a policy with its options under a name.
type Variant struct {
	Name   string
	policy place.Policy
	opts   []place.Option
}

// Variants returns what is compared.
func Variants() []Variant {
	return []Variant{
		{"first fit, declared", place.FirstFit{}, []place.Option{place.WithDeclaredSizes()}},
		{"spread, declared", place.Spread{}, []place.Option{place.WithDeclaredSizes()}},
		{"first fit", place.FirstFit{}, nil},
		{"spread", place.Spread{}, nil},
		{"interference, no mitigation", place.Interference{}, []place.Option{place.WithMitigation(false)}},
		{"interference", place.Interference{}, nil},
		{"interference, limit 1.35", place.Interference{}, []place.Option{place.WithSlowdownLimit(1.35)}},
	}
}

// Compare runs every variant in every case for a time with seeds 1 to n, at most parallel runs at a time.
func Compare(n, parallel int, horizon time.Duration) []*table.Table {
	t := &table.Table{Title: "Placement", Metrics: metrics, Baseline: "spread"}
	var jobs []table.Job
	for _, site := range Sites() {
		for _, sc := range Scenarios() {
			for _, v := range Variants() {
				for seed := range n {
					jobs = append(jobs, table.Job{
						Group: site.Name + ", " + sc.Name, Variant: v.Name,
						Run: func() map[string]float64 {
							s := newRun(site, sc, v, uint64(seed+1), horizon).simulate()
							return s.values()
						},
					})
				}
			}
		}
	}
	t.RunJobs(jobs, parallel)
	return []*table.Table{t}
}
