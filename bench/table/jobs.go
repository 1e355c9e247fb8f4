package table

import "sync"

// Job is a run of one variant with one seed. Run returns the values by metric name.
type Job struct {
	Group, Variant string
	Run            func() map[string]float64
}

// RunJobs runs the jobs, at most parallel of them concurrently, and adds their values to the table in the order of the
// jobs. It returns the values of each job, including those of metrics that the table lacks.
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
