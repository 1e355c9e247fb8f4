package flow

import (
	"fmt"
	"slices"
	"time"
)

// rosterRetryPause is the pause before a rejected roster is stored again.
const rosterRetryPause = time.Second

// saveRejected handles a batch that the store will never accept. Its values are stored one by one, so that the one at fault holds up
// nothing else; what is rejected by itself is given up.
func (m *Machine) saveRejected(ev SaveRejected) {
	if !m.saveInFlight || ev.Batch != m.batch {
		return
	}
	m.saveInFlight = false
	if n := m.inFlight.values(); n > 1 {
		m.emit(Log{Text: "batch rejected", Reason: fmt.Sprintf("%s; its %d values are stored one by one", ev.Reason, n)})
		m.repeatSingly(m.inFlight)
	} else {
		m.giveUpSave(m.inFlight, ev.Reason)
	}
	m.save()
}

// values returns the number of values and deletions in a batch.
func (s *Save) values() int {
	n := len(s.Jobs) + len(s.Parts) + len(s.Delete) + len(s.DeleteParts) + len(s.Finished)
	if s.Roster != nil {
		n++
	}
	if s.Interference != nil {
		n++
	}
	return n
}

// repeatSingly puts the contents of a batch back in front of all others, to be stored one by one.
func (m *Machine) repeatSingly(s Save) {
	m.singleBatches = s.values()
	if s.Roster != nil {
		m.rosterDirty, m.rosterDueAt = true, m.now
	}
	m.interferenceDirty = m.interferenceDirty || s.Interference != nil
	m.jobsToDelete = slices.Concat(s.Delete, m.jobsToDelete)
	for _, key := range s.DeleteParts {
		m.partsToDelete = append(m.partsToDelete, partDeletion{key: key})
	}
	for _, f := range s.Finished {
		if j := m.jobs[f.ID]; j != nil {
			m.jobsToReduce = append(m.jobsToReduce, j)
		}
	}
	var units []dirtyUnit
	for _, u := range m.batchUnits {
		switch {
		case u.part != nil:
			u.part.dirty = true
		case u.seq == 0:
			m.startedJobs = append(m.startedJobs, u.job)
			continue
		default:
			u.job.dirty = true
		}
		units = append(units, u.dirtyUnit)
	}
	m.dirtyUnits = append(units, m.dirtyUnits...)
}

// giveUpSave handles a single value that the store never accepts. A job whose progress cannot be stored fails, because its tasks might
// run again after the next election.
func (m *Machine) giveUpSave(s Save, reason string) {
	if s.Roster != nil {
		m.emit(Log{Text: "roster rejected", Reason: reason})
		m.rosterDirty, m.rosterDueAt = true, m.now.Add(rosterRetryPause)
		return
	}
	if len(m.batchUnits) == 0 {
		m.emit(Log{Text: "value rejected", Reason: reason})
		return
	}
	u := m.batchUnits[0].dirtyUnit
	j := u.job
	if !j.live() {
		m.emit(Log{Text: "progress of a finished job rejected", Job: j.spec.ID, Reason: reason})
		m.savedSeq = max(m.savedSeq, m.batchSeq)
		return
	}
	j.failed = true
	m.emit(Log{Text: "job failed", Job: j.spec.ID, Reason: "its progress cannot be stored: " + reason})
	m.stopJob(j, "job failed")
	if u.seq > 0 {
		// Ends that wait for the rejected value are acknowledged once the state of the job is stored in its place.
		m.dirtyUnits = append([]dirtyUnit{{job: j, seq: u.seq}}, m.dirtyUnits...)
	}
}
