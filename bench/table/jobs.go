package table

import "sync"

// Job is a run of one variant with one seed. Run returns the values by metric name.
type Job struct {
	Group, Variant string
	Run            func() map[string]float64
}

// Parallel calls run for each index below count, at most parallel of them concurrently, and waits for all.
func Parallel(count, parallel int, run func(i int)) {
	slots := make(chan struct{}, parallel)
	var wait sync.WaitGroup
	for i := range count {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			run(i)
		})
	}
	wait.Wait()
}

// RunJobs runs the jobs, at most parallel of them concurrently, and adds their values to the table in the order of the
// jobs. It returns the values of each job, including those of metrics that the table lacks.
func (t *Table) RunJobs(jobs []Job, parallel int) []map[string]float64 {
	results := make([]map[string]float64, len(jobs))
	Parallel(len(jobs), parallel, func(i int) { results[i] = jobs[i].Run() })
	for i, j := range jobs {
		for _, m := range t.Metrics {
			if v, ok := results[i][m.Name]; ok {
				t.Add(j.Group, j.Variant, m.Name, v)
			}
		}
	}
	return results
}
