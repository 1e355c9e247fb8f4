package flow

import (
	"math"
	"time"

	"lovagefork.example/coord/infra"
)

const (
	// maxReadySteps is the number of steps of a scheduled job that wait for workers above which no occurrence is created. More steps
	// cannot start between two sweeps.
	maxReadySteps = 128
	// maxOpenOccurrences and maxOpenTasks limit the incomplete occurrences of a job and their tasks, and with them the memory and the
	// record that a job takes. One occurrence may always be open.
	maxOpenOccurrences = 16384
	maxOpenTasks       = 100_000
)

// createDueOccurrences creates the occurrences of a job that are due, the oldest first, as far as [Machine.mayCreate] allows. The others
// follow once tasks of the earlier ones have started or ended.
func (m *Machine) createDueOccurrences(j *job) {
	if m.wall.IsZero() || !j.live() {
		return
	}
	for j.createdOccurrences < j.totalOccurrences() {
		if m.untilDue(j, j.createdOccurrences) > 0 || !m.mayCreate(j) {
			return
		}
		m.createNextOccurrence(j)
	}
	delete(m.scheduledJobs, j.spec.ID)
}

// mayCreate reports whether another occurrence of a job may be created now.
func (m *Machine) mayCreate(j *job) bool {
	return j.openOccurrences == 0 ||
		j.readySteps < maxReadySteps && j.openOccurrences < maxOpenOccurrences && int64(j.openOccurrences+1)*j.spec.Tasks() <= maxOpenTasks
}

// maxClockLead is how far the wall clock of a predecessor may be ahead of that of this scheduler.
const maxClockLead = 10 * time.Second

// createReportedOccurrence creates the occurrence of a run that a worker reports. A predecessor whose clock is ahead has
// created it before it is due here. If it is ahead by more than maxClockLead, or too many earlier ones are open, no task of the
// occurrence starts until its turn has come.
func (m *Machine) createReportedOccurrence(id infra.TaskID) {
	j := m.scheduledJobs[id.Job]
	if j == nil || m.wall.IsZero() || id.Occurrence < j.createdOccurrences || id.Occurrence >= j.totalOccurrences() {
		return
	}
	if m.untilDue(j, id.Occurrence) <= maxClockLead {
		for j.createdOccurrences <= id.Occurrence && m.mayCreate(j) {
			m.createNextOccurrence(j)
		}
	}
	if id.Occurrence >= j.createdOccurrences && !j.completed.contains(id.Occurrence) && len(j.occurrences) < 2*maxOpenOccurrences {
		j.occurrence(id.Occurrence).raiseRunNumbers(firstRun(m.term))
	}
}

// untilDue returns the time until an occurrence of a scheduled job is due, which is limited to that of a [time.Duration].
func (m *Machine) untilDue(j *job, n int64) time.Duration {
	interval := j.spec.Schedule.Interval
	if interval > 0 && n > int64(math.MaxInt64/interval) {
		return math.MaxInt64
	}
	return time.UnixMilli(j.spec.Schedule.Start).Add(time.Duration(n) * interval).Sub(m.wallNow())
}

func (m *Machine) createNextOccurrence(j *job) {
	n := j.createdOccurrences
	j.createdOccurrences++
	if j.completed.contains(n) {
		return
	}
	j.openOccurrences++
	o := j.occurrence(n)
	o.due = m.now.Add(m.untilDue(j, n))
	o.raiseRunNumbers(firstRun(m.term))
	m.updateReady(o)
}

// heldBackOccurrences returns the number of due occurrences of a scheduled job that are not created yet.
func (m *Machine) heldBackOccurrences(j *job) int64 {
	overdue := -m.untilDue(j, j.createdOccurrences)
	left := j.totalOccurrences() - j.createdOccurrences
	switch {
	case overdue < 0 || left <= 0:
		return 0
	case j.spec.Schedule.Interval <= 0:
		return left
	}
	return min(left, 1+int64(overdue/j.spec.Schedule.Interval))
}

// dropCompleted forgets a complete occurrence of a scheduled job once no run of it is left. Its number remains.
func (m *Machine) dropCompleted(o *occurrence) {
	if j := o.job; j.totalOccurrences() > 1 && o.runs == 0 && j.completed.contains(o.number) {
		delete(j.occurrences, o.number)
	}
}

func (m *Machine) wallNow() time.Time { return m.wall.Add(m.now.Sub(m.wallAt)) }
