package flow

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

func (m *Machine) cancel(id fleet.JobID) {
	j := m.jobs[id]
	if j == nil {
		m.cancelEarly(id)
		return
	}
	if j.cancelled || j.durableState.Final() {
		return
	}
	j.cancelled = true
	j.durableState = infra.StateCancelled
	m.emit(Log{Text: "job cancelled", Job: id})
	m.stopJob(j, "job cancelled")
}

// earlyCancel is the cancellation of a job that is not known.
type earlyCancel struct {
	job fleet.JobID
	at  time.Time
}

// cancelEarly records the cancellation of a job that is not known: it may follow, or its submission may have been
// prevented by the cancellation.
func (m *Machine) cancelEarly(id fleet.JobID) {
	if _, found := m.earlyCancels[id]; found {
		return
	}
	m.earlyCancels[id] = struct{}{}
	m.earlyCancelQueue = append(m.earlyCancelQueue, earlyCancel{job: id, at: m.now})
}

// expireEarlyCancels deletes the cancellations whose jobs have not followed within the retention time.
func (m *Machine) expireEarlyCancels() {
	for len(m.earlyCancelQueue) > 0 && m.now.Sub(m.earlyCancelQueue[0].at) > m.opts.retention {
		id := m.earlyCancelQueue[0].job
		m.earlyCancelQueue = m.earlyCancelQueue[1:]
		if _, found := m.earlyCancels[id]; found {
			delete(m.earlyCancels, id)
			m.jobsToDelete = append(m.jobsToDelete, id)
		}
	}
}
