package flow

import (
	"time"

	"lovagefork.example/coord/infra"
)

// expire deletes finished jobs after the retention time. A job with unsaved changes or remaining runs is kept longer.
func (m *Machine) expire() {
	for len(m.finishedJobs) > 0 && m.now.Sub(m.finishedJobs[0].finishedAt) > m.opts.retention {
		j := m.finishedJobs[0]
		m.finishedJobs = m.finishedJobs[1:]
		if j.dirty || j.storedParts > 0 || len(m.runsOf(j)) > 0 {
			j.finishedAt = m.now
			m.finishedJobs = append(m.finishedJobs, j)
			continue
		}
		delete(m.jobs, j.spec.ID)
		m.jobsToDelete = append(m.jobsToDelete, j.spec.ID)
	}
}

func (m *Machine) runsOf(j *job) []*run {
	var all []*run
	for _, o := range j.occurrences {
		for i := range o.steps {
			for _, t := range o.steps[i].tasks.allocated() {
				all = append(all, t.runs...)
			}
		}
	}
	return all
}

// UnsavedJobs returns the number of jobs whose progress is not durable yet. A large job counts for each of its parts.
func (m *Machine) UnsavedJobs() int {
	count := len(m.dirtyUnits)
	if m.saveInFlight {
		count += len(m.batchUnits)
	}
	return count
}

// save starts a durable batch unless one is in flight or there is nothing to save.
func (m *Machine) save() {
	isRosterDue := m.rosterDirty && !m.now.Before(m.rosterDueAt)
	isDue := len(m.dirtyUnits) > 0 || len(m.jobsToDelete) > 0 || isRosterDue || m.interferenceDirty || m.isReductionDue() || m.isRoomDue()
	if m.saveInFlight || !isDue {
		return
	}
	m.batch++
	s := Save{Batch: m.batch}
	m.batchUnits, m.batchRoster, m.batchSeq, m.batchHasRoster = m.batchUnits[:0], m.batchRoster[:0], 0, false
	m.fillBatch(&s, isRosterDue)
	if s.values() == 0 {
		m.savedSeq = max(m.savedSeq, m.batchSeq)
		return
	}
	m.saveInFlight, m.inFlight = true, s
	m.emit(s)
}

// fillBatch moves what is to be stored into a batch. While the values of a rejected batch are stored one by one, it takes one.
func (m *Machine) fillBatch(s *Save, isRosterDue bool) {
	if m.singleBatches > 0 {
		m.singleBatches--
		m.fillSingle(s, isRosterDue)
		return
	}
	m.addDirtyUnits(s, maxBatchJobs)
	m.addStarted(s, maxBatchJobs)
	m.addPartDeletions(s, maxBatchJobs)
	if s.values() == 0 {
		m.addJobDeletions(s, maxBatchJobs/deleteEntries)
	}
	room := maxBatchJobs - len(m.batchUnits) - len(s.DeleteParts) - deleteEntries*len(s.Delete)
	s.Finished = m.reduceFinished(max(minReductions, room))
	if isRosterDue {
		m.addStoredRoster(s)
	}
	if m.interferenceDirty {
		m.addInterference(s)
	}
}

// fillSingle moves the first of what is to be stored into a batch, the roster before all others.
func (m *Machine) fillSingle(s *Save, isRosterDue bool) {
	if isRosterDue {
		m.addStoredRoster(s)
		return
	}
	for _, add := range []func(){
		func() { m.addDirtyUnits(s, 1) },
		func() { m.addStarted(s, 1) },
		func() { m.addPartDeletions(s, 1) },
		func() { m.addJobDeletions(s, 1) },
		func() { s.Finished = m.reduceFinished(1) },
	} {
		if add(); s.values() > 0 {
			return
		}
	}
	if m.interferenceDirty {
		m.addInterference(s)
	}
}

// addStarted adds the records of started jobs to a batch, up to a number of units in all.
func (m *Machine) addStarted(s *Save, n int) {
	for _, j := range m.takeStarted(n - len(m.batchUnits)) {
		m.addRecord(s, j, j.record(firstRun(m.term+1)), 0)
	}
}

// addPartDeletions adds deletions of parts to a batch, up to a number of units and deletions in all.
func (m *Machine) addPartDeletions(s *Save, n int) {
	s.DeleteParts = m.takePartDeletions(n - len(m.batchUnits))
	m.roomDueAt = time.Time{}
	if len(m.startedJobs)+len(m.partsToDelete) > 0 {
		m.awaitRoom()
	}
}

// addJobDeletions adds up to n deletions of jobs to a batch.
func (m *Machine) addJobDeletions(s *Save, n int) {
	k := min(len(m.jobsToDelete), n)
	s.Delete = append(s.Delete, m.jobsToDelete[:k]...)
	m.jobsToDelete = m.jobsToDelete[k:]
}

// addInterference adds the interference models to a batch.
func (m *Machine) addInterference(s *Save) {
	m.interferenceDirty, m.interferenceSavedAt = false, m.now
	s.Interference = m.interferenceRecords()
}

// addStoredRoster adds the roster to a batch.
func (m *Machine) addStoredRoster(s *Save) {
	m.rosterDirty, m.batchHasRoster = false, true
	if len(m.unreconciledWorkers) > 0 {
		m.rosterDueAt = m.now.Add(rosterSaveInterval)
	}
	s.Roster = make([]RosterEntry, 0, len(m.roster))
	for _, w := range m.workersByID {
		if e, found := m.roster[w.ID]; found {
			s.Roster = append(s.Roster, e)
		}
	}
	m.batchRoster = append(m.batchRoster, s.Roster...)
}

// addDirtyUnits moves up to n dirty units into a batch, the oldest first, as far as their size allows.
func (m *Machine) addDirtyUnits(s *Save, n int) {
	maxRun, size, taken := firstRun(m.term+1), 0, 0
	for _, u := range m.dirtyUnits {
		if len(m.batchUnits) == n {
			break
		}
		var added bool
		if added, size = m.addUnit(s, u, maxRun, size); !added {
			break
		}
		m.batchSeq = max(m.batchSeq, u.seq)
		taken++
	}
	m.dirtyUnits = append([]dirtyUnit(nil), m.dirtyUnits[taken:]...)
}

// addUnit adds a dirty unit to a batch of a size, and returns false if it would exceed maxBatchBytes, and the new size. One that is not
// dirty any more has been stored since it was listed.
func (m *Machine) addUnit(s *Save, u dirtyUnit, maxRun infra.Run, size int) (bool, int) {
	exceeds := func(more int) bool { return len(m.batchUnits) > 0 && size+more > maxBatchBytes }
	if p := u.part; p != nil {
		if !p.dirty {
			return true, size
		}
		r := p.record(maxRun)
		if exceeds(r.size()) {
			return false, size
		}
		if p.dirty = false; !p.isStored {
			p.isStored = true
			u.job.storedParts++
		}
		p.batch = m.batch
		s.Parts = append(s.Parts, PartRecord{Key: p.key(), Part: r})
		m.batchUnits = append(m.batchUnits, batchUnit{dirtyUnit: u})
		return true, size + r.size()
	}
	if !u.job.dirty {
		return true, size
	}
	r := u.job.record(maxRun)
	if exceeds(r.size()) {
		return false, size
	}
	u.job.dirty = false
	m.addRecord(s, u.job, r, u.seq)
	return true, size + r.size()
}

// addRecord adds the record of a job to a batch, which makes the changes up to a sequence number durable.
func (m *Machine) addRecord(s *Save, j *job, r Record, seq int64) {
	s.Jobs = append(s.Jobs, JobRecord{Job: j.spec.ID, Record: r})
	m.batchUnits = append(m.batchUnits, batchUnit{dirtyUnit: dirtyUnit{job: j, seq: seq}, state: r.State})
}

// saved completes a batch: it publishes the saved job states, enables workers that are now in the stored roster, and
// acknowledges the durable ends to their workers.
func (m *Machine) saved(ev Saved) {
	if !m.saveInFlight || ev.Batch != m.batch {
		return
	}
	m.maxToken = max(m.maxToken, infra.Token(ev.Revision))
	m.saveInFlight = false
	m.savedSeq = max(m.savedSeq, m.batchSeq)
	for _, b := range m.batchUnits {
		if b.part == nil && !b.job.durableState.Final() {
			b.job.durableState = b.state
		}
		if b.job.crashed {
			m.searchAgain()
		}
	}
	for _, e := range m.batchRoster {
		if w := m.workers[e.Worker]; w != nil && !w.inStoredRoster && m.roster[w.ID] == e && e.RenewedBefore > m.term {
			w.inStoredRoster = true
			m.searchAgain()
			hasLease := !m.restored && w.isLeaseKnown
			if !w.renewalInFlight && !w.hasUnsavedEnds() && !hasLease {
				m.sendRenewal(w)
			}
		}
	}
	if m.batchHasRoster {
		m.storedRoster = witnessIDs(m.batchRoster)
	}
	for _, w := range m.workersByID {
		if len(w.unsavedEnds) > 0 && m.confirmEnds(w) && !w.renewalInFlight {
			m.sendRenewal(w)
		}
	}
	m.save()
}

// unsavedEnd says that the save with a sequence number makes the ends of a worker up to a number durable.
type unsavedEnd struct{ number, seq int64 }

// awaitSave notes that the ends reported up to now are durable once all present changes are.
func (m *Machine) awaitSave(w *worker) {
	w.unsavedEnds = append(w.unsavedEnds, unsavedEnd{number: w.seenEnd, seq: m.dirtySeq})
}

// confirmEnds notes which reported ends of a worker are durable, and reports whether all are.
func (m *Machine) confirmEnds(w *worker) bool {
	for w.heldEnds == 0 && len(w.unsavedEnds) > 0 && w.unsavedEnds[0].seq <= m.savedSeq {
		w.durableEnd = w.unsavedEnds[0].number
		w.unsavedEnds = w.unsavedEnds[1:]
	}
	return !w.hasUnsavedEnds()
}

// hasUnsavedEnds reports whether a reported end of the worker is not durable yet.
func (w *worker) hasUnsavedEnds() bool { return len(w.unsavedEnds) > 0 || w.heldEnds > 0 }
