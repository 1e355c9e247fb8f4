package table

import "sync"

// Job is one run of a variant with one seed; Run returns its values by metric.
type Job struct {
	Group, Variant string
	Run            func() map[string]float64
}

// Fill runs the jobs, at most parallel at a time, and adds their values in the order of the jobs; it returns
// all values of each job.
func (t *Table) RunJobs(jobs []Job, parallel int) []map[string]float64 {
	results := make([]map[string]float64, len(jobs))
	slots := make(chan struct{}, parallel)
	var wait sync.WaitGroup
	for i, j := range jobs {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = j.Run()
		})
	}
	wait.Wait()
	for i, j := range jobs {
		for _, m := range t.Metrics {
			if v, ok := results[i][m.Name]; ok {
				t.Add(j.Group, j.Variant, m.Name, v)
			}
		}
	}
	return results
}
