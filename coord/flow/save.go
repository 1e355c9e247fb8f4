package flow

import "lovagefork.example/coord/infra"

// expire deletes finished jobs after the retention time. A job with unsaved changes or remaining runs is kept longer.
func (m *Machine) expire() {
	for len(m.finishedJobs) > 0 && m.now.Sub(m.finishedJobs[0].finishedAt) > m.opts.retention {
		j := m.finishedJobs[0]
		m.finishedJobs = m.finishedJobs[1:]
		if j.dirty || len(m.runsOf(j)) > 0 {
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
			for t := range o.steps[i].tasks {
				all = append(all, o.steps[i].tasks[t].runs...)
			}
		}
	}
	return all
}

// UnsavedJobs returns the number of jobs whose progress is not durable yet.
func (m *Machine) UnsavedJobs() int {
	count := len(m.dirtyJobs)
	if m.saveInFlight {
		count += len(m.batchJobs)
	}
	return count
}

// save starts a durable batch unless one is in flight or there is nothing to save.
func (m *Machine) save() {
	isRosterDue := m.rosterDirty && !m.now.Before(m.rosterDueAt)
	if m.saveInFlight || (len(m.dirtyJobs) == 0 && len(m.jobsToDelete) == 0 && !isRosterDue && !m.interferenceDirty && !m.isReductionDue() && !m.isStartedDue()) {
		return
	}
	m.batch++
	s := Save{Batch: m.batch}
	n := min(len(m.dirtyJobs), maxBatchJobs)
	m.batchJobs, m.batchRoster = m.batchJobs[:0], m.batchRoster[:0]
	for _, j := range m.dirtyJobs[:n] {
		j.dirty = false
		m.addToBatch(&s, j, j.dirtySeq)
	}
	m.dirtyJobs = append([]*job(nil), m.dirtyJobs[n:]...)
	for _, j := range m.takeStarted(maxBatchJobs - n) {
		m.addToBatch(&s, j, 0)
	}
	n = len(s.Jobs)
	if n == 0 {
		k := min(len(m.jobsToDelete), maxBatchJobs/deleteEntries)
		s.Delete = append(s.Delete, m.jobsToDelete[:k]...)
		m.jobsToDelete = m.jobsToDelete[k:]
	}
	s.Finished = m.reduceFinished(max(minReductions, maxBatchJobs-n-deleteEntries*len(s.Delete)))
	m.batchHasRoster = isRosterDue
	if isRosterDue {
		m.rosterDirty = false
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
	if m.interferenceDirty {
		m.interferenceDirty, m.interferenceSavedAt = false, m.now
		s.Interference = m.interferenceRecords()
	}
	m.saveInFlight = true
	m.emit(s)
}

// addToBatch adds the record of a job to a batch, which makes the changes up to a sequence number durable.
func (m *Machine) addToBatch(s *Save, j *job, seq int64) {
	record := j.record(firstRun(m.term + 1))
	s.Jobs = append(s.Jobs, JobRecord{Job: j.spec.ID, Record: record})
	m.batchJobs = append(m.batchJobs, batchJob{job: j, state: record.State, seq: seq})
}

// saved completes a batch: it publishes the saved job states, enables workers that are now in the stored roster, and
// acknowledges the durable ends to their workers.
func (m *Machine) saved(ev Saved) {
	if !m.saveInFlight || ev.Batch != m.batch {
		return
	}
	m.maxToken = max(m.maxToken, infra.Token(ev.Revision))
	m.saveInFlight = false
	for _, b := range m.batchJobs {
		if !b.job.durableState.Final() {
			b.job.durableState = b.state
		}
		m.savedSeq = max(m.savedSeq, b.seq)
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
