package flow

import (
	"time"

	"lovagefork.example/coord/infra"
)

const (
	// reductionDelay is the pause before a finished job is examined for its reduction, in which most of its runs are stopped.
	reductionDelay = time.Second
	// minReductions is the number of jobs in a batch that are reduced however many others are to be saved.
	minReductions = 2
	// deleteEntries is the number of entries in a transaction that delete a job: the job, its cancellation and its record.
	deleteEntries = 3
)

// Finished returns the stored form of a finished job. It has no steps, which are most of what a successor would have to read;
// its key still keeps a repeated submission from being a new job.
func Finished(j infra.Job) infra.Job {
	j.Spec, j.Steps = "", nil
	return j
}

// IsFinished reports whether a stored job is a result of [Finished].
func IsFinished(j infra.Job) bool { return len(j.Steps) == 0 }

// awaitReduction plans the reduction of a finished job in the store.
func (m *Machine) awaitReduction(j *job) {
	if IsFinished(j.spec) {
		return
	}
	j.reduceAt = m.now.Add(reductionDelay)
	m.jobsToReduce = append(m.jobsToReduce, j)
}

// isReductionDue reports whether the jobs to reduce fill a batch. Fewer of them wait for a batch with room.
func (m *Machine) isReductionDue() bool {
	return len(m.jobsToReduce) >= maxBatchJobs && len(m.unreconciledWorkers) == 0 && !m.now.Before(m.jobsToReduce[maxBatchJobs-1].reduceAt)
}

// reduceFinished returns the finished forms of up to n jobs whose reduction is due. The steps of a job with a run that is left, or
// that a worker of a predecessor may report, tell a successor how much of its worker the run holds.
func (m *Machine) reduceFinished(n int) []infra.Job {
	var reduced []infra.Job
	for len(reduced) < n && len(m.jobsToReduce) > 0 && !m.now.Before(m.jobsToReduce[0].reduceAt) {
		j := m.jobsToReduce[0]
		m.jobsToReduce = m.jobsToReduce[1:]
		switch {
		case m.jobs[j.spec.ID] != j:
			// Its deletion must come last.
		case j.dirty || !j.durableState.Final() || len(m.runsOf(j)) > 0 || len(m.unreconciledWorkers) > 0:
			m.awaitReduction(j)
		default:
			reduced = append(reduced, Finished(j.spec))
		}
	}
	return reduced
}
