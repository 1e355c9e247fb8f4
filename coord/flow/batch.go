package flow

// expire forgets finished jobs after the retention.
func (m *Machine) expire() {
	for len(m.finished) > 0 && m.now.Sub(m.finished[0].savedAt) > m.opts.retain {
		j := m.finished[0]
		m.finished = m.finished[1:]
		if j.dirty || len(m.runsOf(j)) > 0 {
			j.savedAt = m.now
			m.finished = append(m.finished, j)
			continue
		}
		delete(m.jobs, j.spec.ID)
		m.forget = append(m.forget, j.spec.ID)
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

// save starts a durable batch unless one is on its way.
func (m *Machine) save() {
	if m.inFlight || (len(m.dirty) == 0 && len(m.forget) == 0 && !m.rosterDirty && !m.learntDirty) {
		return
	}
	m.batch++
	s := Save{Batch: m.batch}
	n := min(len(m.dirty), maxBatch)
	m.inBatch, m.inRoster = m.inBatch[:0], m.inRoster[:0]
	for _, j := range m.dirty[:n] {
		j.dirty = false
		record := j.record()
		s.Jobs = append(s.Jobs, JobRecord{Job: j.spec.ID, Record: record})
		m.inBatch = append(m.inBatch, batchJob{job: j, state: record.State, seq: j.dirtySeq})
	}
	m.dirty = append([]*job(nil), m.dirty[n:]...)
	if n == 0 {
		k := min(len(m.forget), maxBatch/3)
		s.Delete = append(s.Delete, m.forget[:k]...)
		m.forget = m.forget[k:]
	}
	if m.rosterDirty {
		m.rosterDirty = false
		s.Roster = make([]RosterEntry, 0, len(m.roster))
		for _, w := range m.order {
			if address, found := m.roster[w.ID]; found {
				s.Roster = append(s.Roster, RosterEntry{Worker: w.ID, Address: address, Draining: w.Draining})
				m.inRoster = append(m.inRoster, w.ID)
			}
		}
	}
	if m.learntDirty {
		m.learntDirty, m.learntAt = false, m.now
		s.Interference = m.imageRecords()
	}
	m.inFlight = true
	m.emit(s)
}

// saved lets the ends of a durable batch be forgotten by the workers and shows final states to callers.
func (m *Machine) saved(batch int64) {
	if !m.inFlight || batch != m.batch {
		return
	}
	m.inFlight = false
	for _, b := range m.inBatch {
		if !b.job.durable.Final() {
			b.job.durable = b.state
		}
		m.savedSeq = max(m.savedSeq, b.seq)
	}
	for _, id := range m.inRoster {
		if w := m.workers[id]; w != nil && !w.enrolled {
			w.enrolled = true
			m.placeNext = true
		}
	}
	for _, w := range m.order {
		if w.unsaved == 0 || w.unsaved > m.savedSeq {
			continue
		}
		w.unsaved = 0
		w.durable = w.seen
		if !w.holding {
			m.hold(w)
		}
	}
	m.save()
}
