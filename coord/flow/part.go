package flow

import (
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

const (
	// defaultPartTasks is the number of tasks in a [Part] without [WithPartTasks].
	defaultPartTasks = 256
	// maxStoredCheckpoint is the length above which a checkpoint is not stored. Only a task that no worker lists starts anew then.
	maxStoredCheckpoint = 1024
)

// PartKey identifies a part of the progress of a job: the tasks of an occurrence in groups of equal size, counted over its steps.
type PartKey struct {
	Job        fleet.JobID
	Occurrence int64
	Index      int
}

// Part is the durable progress of a group of tasks of an occurrence that is not complete. Done has a bit for each task, and the indexes
// of Tasks count from the first one of the group.
type Part struct {
	Done  []byte       `cbor:"done,omitempty"`
	Tasks []TaskRecord `cbor:"tasks,omitempty"`
}

// PartRecord is a part of the progress of a job that is stored beside the job's [Record].
type PartRecord struct {
	Key  PartKey
	Part Part
}

// part is the state of a [Part] in the store.
type part struct {
	occ   *occurrence
	index int
	dirty bool
	seq   int64
	// isStored is set while the store may hold the part, and batch is the last batch with it.
	isStored bool
	batch    int64
}

// partDeletion is a part to be deleted from the store; part is nil if it belongs to no known occurrence.
type partDeletion struct {
	key  PartKey
	part *part
}

func (p *part) key() PartKey {
	return PartKey{Job: p.occ.job.spec.ID, Occurrence: p.occ.number, Index: p.index}
}

// isSplit reports whether the progress of a job's tasks is stored in parts, so that neither a value nor a write grows with the tasks
// of the job.
func (m *Machine) isSplit(spec infra.Job) bool {
	limit := int64(m.opts.partTasks)
	tasks := spec.Tasks()
	return tasks > limit || max(1, spec.Schedule.Count) > limit/max(1, tasks)
}

// addParts prepares the parts of an occurrence of a split job.
func (o *occurrence) addParts() {
	tasks, size := int(o.job.spec.Tasks()), o.job.partTasks
	o.parts = make([]part, (tasks+size-1)/size)
	for i := range o.parts {
		o.parts[i] = part{occ: o, index: i}
	}
}

// partOf returns the part with a task.
func (o *occurrence) partOf(step, index int) *part {
	for i := range step {
		index += o.steps[i].tasks.len()
	}
	return &o.parts[index/o.job.partTasks]
}

// eachTask calls f for each task of a part, with the index of the task in the part.
func (p *part) eachTask(f func(n int, s *step, index int)) {
	size := p.occ.job.partTasks
	first, n := p.index*size, 0
	for i := range p.occ.steps {
		s := &p.occ.steps[i]
		for index := min(first, s.tasks.len()); index < s.tasks.len() && n < size; index++ {
			f(n, s, index)
			n++
		}
		first = max(0, first-s.tasks.len())
	}
}

func (p *part) record(maxRun infra.Run) Part {
	var r Part
	p.eachTask(func(n int, s *step, index int) {
		r.Done, r.Tasks = s.tasks.peek(index).addTo(r.Done, r.Tasks, n, p.occ.job.partTasks, maxRun)
	})
	return r
}

func (p *part) restore(r Part) {
	tasks := make(map[int]TaskRecord, len(r.Tasks))
	for _, t := range r.Tasks {
		tasks[t.Index] = t
	}
	p.eachTask(func(n int, s *step, index int) {
		if isSet(r.Done, n) {
			s.setPhase(index, done)
		}
		if t, found := tasks[n]; found {
			s.tasks.at(index).restore(t)
			s.crashesChanged(index)
			p.occ.job.crashed = p.occ.job.crashed || t.hasCrashed()
		}
	})
}

// restoreParts applies the stored parts of a job after its record.
func (m *Machine) restoreParts(j *job, parts []PartRecord) {
	var complete []*occurrence
	for _, r := range parts {
		n := r.Key.Occurrence
		if !j.isSplit || !j.live() || j.completed.contains(n) || n < 0 || n >= j.totalOccurrences() {
			m.deletePart(partDeletion{key: r.Key})
			continue
		}
		o := j.occurrence(n)
		if r.Key.Index < 0 || r.Key.Index >= len(o.parts) {
			m.deletePart(partDeletion{key: r.Key})
			continue
		}
		p := &o.parts[r.Key.Index]
		p.isStored = true
		j.storedParts++
		p.restore(r.Part)
		if r.Part.hasStarted() {
			// The record that says so may not be stored yet.
			m.noteStarted(j.spec.ID)
		}
		o.countOpenSteps()
		if o.complete() {
			complete = append(complete, o)
		}
	}
	for _, o := range complete {
		// The end of the last task was stored with the part, and the record was not.
		j.completed.add(o.number)
		m.markDirty(j)
		m.deleteParts(o)
		m.dropCompleted(o)
	}
}

// hasStarted reports whether the progress shows that a task has started.
func (r *Part) hasStarted() bool {
	return len(r.Done) > 0 || slices.ContainsFunc(r.Tasks, func(t TaskRecord) bool {
		return len(t.Failed) > 0 || t.Checkpoint != "" || t.Losses > 0 || t.existedOnLostWorker()
	})
}

// splitRecord marks the parts of a job dirty whose record, written by an earlier version, holds the progress of all tasks.
func (m *Machine) splitRecord(j *job) {
	if !j.isSplit || !j.live() {
		return
	}
	for _, o := range j.occurrences {
		for i := range o.parts {
			p := &o.parts[i]
			if r := p.record(firstRun(m.term + 1)); len(r.Done) > 0 || len(r.Tasks) > 0 {
				m.markPartDirty(p)
			}
		}
	}
}

// markTaskDirty requests that the progress of a task is saved, and returns the sequence number of that save.
func (m *Machine) markTaskDirty(id infra.TaskID) int64 {
	j := m.jobs[id.Job]
	o := j.occurrences[id.Occurrence]
	if o == nil || o.parts == nil || !j.live() || j.completed.contains(id.Occurrence) {
		m.markDirty(j)
		return j.dirtySeq
	}
	p := o.partOf(id.Step, id.Index)
	m.markPartDirty(p)
	return p.seq
}

func (m *Machine) markPartDirty(p *part) {
	if p.dirty {
		return
	}
	m.dirtySeq++
	p.dirty, p.seq = true, m.dirtySeq
	m.dirtyUnits = append(m.dirtyUnits, dirtyUnit{job: p.occ.job, part: p, seq: p.seq})
}

// deleteParts requests that the stored parts of an occurrence are deleted that no successor needs.
func (m *Machine) deleteParts(o *occurrence) {
	for i := range o.parts {
		if p := &o.parts[i]; p.isStored || p.dirty {
			m.deletePart(partDeletion{key: p.key(), part: p})
		}
	}
}

func (m *Machine) deletePart(d partDeletion) {
	m.awaitRoom()
	m.partsToDelete = append(m.partsToDelete, d)
}

// takePartDeletions returns up to n parts to delete. A part is kept until what replaces it is durable, or in the same batch.
func (m *Machine) takePartDeletions(n int) []PartKey {
	var taken []PartKey
	var kept []partDeletion
	for i, d := range m.partsToDelete {
		if len(taken) == n {
			kept = append(kept, m.partsToDelete[i:]...)
			break
		}
		switch {
		case d.part == nil:
		case d.part.dirty || d.part.batch == m.batch || d.part.occ.job.dirty:
			kept = append(kept, d)
			continue
		case !d.part.isStored:
			continue
		default:
			d.part.isStored = false
			d.part.occ.job.storedParts--
		}
		taken = append(taken, d.key)
	}
	m.partsToDelete = kept
	return taken
}

// awaitRoom notes that something waits for a batch with room, for roomDelay at most.
func (m *Machine) awaitRoom() {
	if m.roomDueAt.IsZero() {
		m.roomDueAt = m.now.Add(roomDelay)
	}
}

// roomDelay is how long what is not urgent waits for a batch with room. Callers see a job as queued until its start is stored.
const roomDelay = 500 * time.Millisecond

// isRoomDue reports whether a batch is due for what waits for one with room.
func (m *Machine) isRoomDue() bool {
	waiting := len(m.startedJobs) + len(m.partsToDelete)
	return waiting >= maxBatchJobs || waiting > 0 && !m.now.Before(m.roomDueAt)
}
