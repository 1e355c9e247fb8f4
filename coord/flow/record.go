package flow

import (
	"maps"
	"slices"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// Record is the durable progress of a job. That of the tasks of a large job is in its [Part] values.
type Record struct {
	State       infra.State        `cbor:"state"`
	Occurrences []OccurrenceRecord `cbor:"occurrences,omitempty"`
	// Completed counts the complete occurrences. Those without an entry in Occurrences have the lowest numbers.
	Completed int64 `cbor:"closed,omitempty"`
}

// OccurrenceRecord is the durable progress of an occurrence that is not complete, or says that some are complete.
type OccurrenceRecord struct {
	Number    int64 `cbor:"number"`
	Completed bool  `cbor:"closed,omitempty"`
	// Count is the number of complete occurrences from Number on; 0 stands for 1.
	Count int64        `cbor:"count,omitempty"`
	Steps []StepRecord `cbor:"steps,omitempty"`
}

// StepRecord is the durable progress of a step; Done has a bit for each task.
type StepRecord struct {
	Done  []byte       `cbor:"done,omitempty"`
	Tasks []TaskRecord `cbor:"tasks,omitempty"`
}

// TaskRecord is the durable progress of a task that is not done.
type TaskRecord struct {
	Index int       `cbor:"index"`
	Run   infra.Run `cbor:"run,omitempty"`
	// Failed lists the numbers of the failed runs.
	Failed []infra.Run `cbor:"failed,omitempty"`
	// Checkpoint was written by the run CheckpointRun.
	Checkpoint    string    `cbor:"checkpoint,omitempty"`
	CheckpointRun infra.Run `cbor:"checkpoint_run,omitempty"`
	// Crashes counts the workers that crashed under recent runs of the task, CrashedOn is the last of them, and Confirmed
	// counts those that are known to have started it just before. Losses counts the workers that crashed under any run.
	Crashes   int            `cbor:"crashes,omitempty"`
	Confirmed int            `cbor:"confirmed,omitempty"`
	CrashedOn fleet.WorkerID `cbor:"crashed_on,omitempty"`
	Losses    int            `cbor:"losses,omitempty"`
	// OpenRunOn is the worker that may have crashed under a run of the task, and OpenRunWorkerStartedAt the start time of
	// that incarnation. A later one shows the crash.
	OpenRunOn              fleet.WorkerID `cbor:"open_run_on,omitempty"`
	OpenRunWorkerStartedAt int64          `cbor:"open_run_worker_started_at,omitempty"`
	// Lost are the runs on workers that have not answered since.
	Lost []LostRunRecord `cbor:"lost,omitempty"`
}

// LostRunRecord is a run that may have ended in a crash of its worker. The worker had started at a time in Unix milliseconds, and
// answered at an address.
type LostRunRecord struct {
	Worker    fleet.WorkerID `cbor:"worker"`
	StartedAt int64          `cbor:"started_at,omitempty"`
	Address   string         `cbor:"address,omitempty"`
	Run       infra.Run      `cbor:"run,omitempty"`
	// Existed is set if the run is known to have existed, and Suspect if it was recent. Confirmed and Isolated say what a crash would
	// be: one soon after a confirmed start, and one in a trial.
	Existed   bool `cbor:"existed,omitempty"`
	Suspect   bool `cbor:"suspect,omitempty"`
	Confirmed bool `cbor:"confirmed,omitempty"`
	Isolated  bool `cbor:"isolated,omitempty"`
}

// existedOnLostWorker reports whether a run of the task has existed on a worker that was lost.
func (r *TaskRecord) existedOnLostWorker() bool {
	return slices.ContainsFunc(r.Lost, func(l LostRunRecord) bool { return l.Existed })
}

// hasProgress reports whether a task that is not done has progress that a successor has to know. Run numbers up to maxRun are below
// those of any successor.
func (t *task) hasProgress(maxRun infra.Run) bool {
	return t.lastRun > maxRun || len(t.failedRuns) > 0 || t.checkpoint != "" || t.crashes > 0 || t.confirmed > 0 || t.losses > 0 ||
		t.openRun != openRun{} || len(t.lost) > 0
}

// record returns the durable form of a job's progress. A job in a final state is represented by its state alone, and a task without
// progress by nothing. Run numbers up to maxRun are those that any successor exceeds.
func (j *job) record(maxRun infra.Run) Record {
	r := Record{State: j.state(), Completed: j.completed.len()}
	if r.State.Final() {
		return r
	}
	for _, c := range j.completed.later() {
		r.Occurrences = append(r.Occurrences, OccurrenceRecord{Number: c.first, Completed: true, Count: c.count})
	}
	if j.isSplit {
		return r
	}
	for _, n := range slices.Sorted(maps.Keys(j.occurrences)) {
		if !j.completed.contains(n) {
			r.Occurrences = append(r.Occurrences, j.occurrences[n].record(maxRun))
		}
	}
	return r
}

func (o *occurrence) record(maxRun infra.Run) OccurrenceRecord {
	r := OccurrenceRecord{Number: o.number, Steps: make([]StepRecord, len(o.steps))}
	for i := range o.steps {
		r.Steps[i] = o.steps[i].record(maxRun)
	}
	return r
}

// record returns the durable form of a step. A run number up to maxRun need not be stored.
func (s *step) record(maxRun infra.Run) StepRecord {
	var r StepRecord
	for i, t := range s.tasks.allocated() {
		r.Done, r.Tasks = t.addTo(r.Done, r.Tasks, i, s.tasks.len(), maxRun)
	}
	return r
}

// addTo adds the progress of the nth of a number of tasks to the durable form of these tasks.
func (t *task) addTo(finished []byte, tasks []TaskRecord, n, count int, maxRun infra.Run) ([]byte, []TaskRecord) {
	switch {
	case t.phase == done:
		if finished == nil {
			finished = make([]byte, (count+7)/8)
		}
		finished[n/8] |= 1 << (n % 8)
	case t.hasProgress(maxRun):
		r := TaskRecord{
			Index: n, Run: t.lastRun, Failed: slices.Clone(t.failedRuns),
			Crashes: t.crashes, Confirmed: t.confirmed, CrashedOn: t.crashedOn, Losses: t.losses,
			OpenRunOn: t.openRun.worker, OpenRunWorkerStartedAt: t.openRun.startedAt,
		}
		for _, l := range t.lost {
			r.Lost = append(r.Lost, LostRunRecord{
				Worker: l.worker, StartedAt: l.startedAt, Address: l.address, Run: l.number,
				Existed: l.existed, Suspect: l.suspect, Confirmed: l.confirmed, Isolated: l.isolated,
			})
		}
		if len(t.checkpoint) <= maxStoredCheckpoint {
			r.Checkpoint, r.CheckpointRun = t.checkpoint, t.checkpointRun
		}
		tasks = append(tasks, r)
	}
	return finished, tasks
}

// isSet reports whether the nth bit is set.
func isSet(bits []byte, n int) bool { return n/8 < len(bits) && bits[n/8]&(1<<(n%8)) != 0 }

// restore applies the durable progress of a job.
func (j *job) restore(r *Record) {
	j.cancelled = r.State == infra.StateCancelled
	j.failed = r.State == infra.StateFailed
	j.durableState = r.State
	if r.State == infra.StateCompleted {
		j.completed = completedSet{first: j.totalOccurrences()}
		return
	}
	unlisted := r.Completed
	for _, o := range r.Occurrences {
		if o.Completed {
			unlisted -= max(1, o.Count)
		}
	}
	j.completed = completedSet{first: max(0, unlisted)}
	j.started = r.State == infra.StateRunning
	for _, o := range r.Occurrences {
		if o.Completed {
			for n := o.Number; n < o.Number+max(1, o.Count); n++ {
				j.completed.add(n)
			}
			continue
		}
		restored := j.occurrence(o.Number)
		restored.restore(o)
		if restored.complete() {
			j.completed.add(o.Number)
		}
	}
	j.createdOccurrences = j.completed.first
	for j.occurrences[j.createdOccurrences] != nil && !j.completed.contains(j.createdOccurrences) {
		j.openOccurrences++
		j.createdOccurrences++
	}
}

func (o *occurrence) restore(r OccurrenceRecord) {
	for i := range min(len(r.Steps), len(o.steps)) {
		o.steps[i].restore(r.Steps[i])
		o.job.crashed = o.job.crashed || slices.ContainsFunc(r.Steps[i].Tasks, func(t TaskRecord) bool { return t.hasCrashed() })
	}
	o.countOpenSteps()
}

func (s *step) restore(r StepRecord) {
	for i := range s.tasks.len() {
		if isSet(r.Done, i) {
			s.setPhase(i, done)
		}
	}
	for _, record := range r.Tasks {
		if record.Index >= 0 && record.Index < s.tasks.len() {
			s.tasks.at(record.Index).restore(record)
			s.crashesChanged(record.Index)
		}
	}
}

// hasCrashed reports whether a worker has crashed under a task, or may have.
func (r *TaskRecord) hasCrashed() bool { return r.Crashes > 0 || r.Losses > 0 || len(r.Lost) > 0 }

func (t *task) restore(r TaskRecord) {
	t.lastRun, t.failedRuns = r.Run, r.Failed
	t.checkpoint, t.checkpointRun = r.Checkpoint, r.CheckpointRun
	t.crashRecord = crashRecord{
		crashes: r.Crashes, confirmed: r.Confirmed, crashedOn: r.CrashedOn, losses: r.Losses,
		openRun: openRun{worker: r.OpenRunOn, startedAt: r.OpenRunWorkerStartedAt},
	}
	for _, l := range r.Lost {
		t.lost = append(t.lost, lostRun{
			openRun: openRun{worker: l.Worker, startedAt: l.StartedAt}, address: l.Address, number: l.Run,
			existed: l.Existed, suspect: l.Suspect, confirmed: l.Confirmed, isolated: l.Isolated,
		})
	}
}

// Estimated sizes of the durable forms in bytes, without their texts.
const (
	taskRecordBytes  = 96
	runNumberBytes   = 9
	occurrenceBytes  = 40
	smallRecordBytes = 32
	lostRunBytes     = 96
)

// size estimates the size of a record in the store in bytes.
func (r *Record) size() int {
	size := smallRecordBytes
	for _, o := range r.Occurrences {
		size += occurrenceBytes
		for _, s := range o.Steps {
			size += sizeOfTasks(s.Done, s.Tasks)
		}
	}
	return size
}

// size estimates the size of a part in the store in bytes.
func (r *Part) size() int { return sizeOfTasks(r.Done, r.Tasks) }

func sizeOfTasks(finished []byte, tasks []TaskRecord) int {
	size := smallRecordBytes + len(finished)
	for _, t := range tasks {
		size += taskRecordBytes + runNumberBytes*len(t.Failed) + len(t.Checkpoint) + len(t.CrashedOn) + len(t.OpenRunOn)
		for _, l := range t.Lost {
			size += lostRunBytes + len(l.Worker) + len(l.Address)
		}
	}
	return size
}
