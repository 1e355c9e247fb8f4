package flow

import (
	"time"

	"lovagefork.example/coord/infra"
)

// createDueOccurrences creates the occurrences of a job that are due.
func (m *Machine) createDueOccurrences(j *job) {
	if m.wall.IsZero() || !j.live() {
		return
	}
	for j.createdOccurrences < j.totalOccurrences() {
		if m.untilDue(j, j.createdOccurrences) > 0 {
			return
		}
		m.createNextOccurrence(j)
	}
	delete(m.scheduledJobs, j.spec.ID)
}

// maxClockLead is how far the wall clock of a predecessor may be ahead of that of this scheduler.
const maxClockLead = 10 * time.Second

// createReportedOccurrence creates the occurrence of a run that a worker reports. A predecessor whose clock is ahead has
// created it before it is due here. If it is ahead by more than maxClockLead, no task of the occurrence starts until it is due.
func (m *Machine) createReportedOccurrence(id infra.TaskID) {
	j := m.scheduledJobs[id.Job]
	if j == nil || m.wall.IsZero() || id.Occurrence < j.createdOccurrences || id.Occurrence >= j.totalOccurrences() {
		return
	}
	if m.untilDue(j, id.Occurrence) > maxClockLead {
		j.occurrence(id.Occurrence).raiseRunNumbers(firstRun(m.term))
		m.markDirty(j)
		return
	}
	for j.createdOccurrences <= id.Occurrence {
		m.createNextOccurrence(j)
	}
}

// untilDue returns the time until an occurrence of a scheduled job is due.
func (m *Machine) untilDue(j *job, n int64) time.Duration {
	return time.UnixMilli(j.spec.Schedule.Start).Add(time.Duration(n) * j.spec.Schedule.Interval).Sub(m.wallNow())
}

func (m *Machine) createNextOccurrence(j *job) {
	o := j.occurrence(j.createdOccurrences)
	o.due = m.now.Add(m.untilDue(j, o.number))
	o.raiseRunNumbers(firstRun(m.term))
	j.createdOccurrences++
	m.markDirty(j)
	m.updateReady(o)
}

func (m *Machine) wallNow() time.Time { return m.wall.Add(m.now.Sub(m.wallAt)) }
