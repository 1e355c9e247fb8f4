package flow

import (
	"slices"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// phase is where a task stands.
type phase uint8

const (
	waiting phase = iota
	active
	done
)

// task is one task of one occurrence.
type task struct {
	phase phase
	// lastRun is the highest run number that any scheduler may have used.
	lastRun infra.Run
	// failed are the runs that ended as failed. The ends of several workers can become known in any order, also a second
	// time after a takeover.
	failed []infra.Run
	saved  string
	// avoid is the worker of the last run that did not complete.
	avoid fleet.WorkerID
	// runs are the runs that may be present at workers.
	runs []*run
	// moves counts how often the task was moved because of its progress.
	moves int
}

// step is one step of one occurrence.
type step struct {
	spec    infra.Step
	tasks   []task
	waiting int
	done    int
	// next is the lowest index that may be waiting.
	next int
	// perWorker counts the present runs by worker, for steps with a bound.
	perWorker map[fleet.WorkerID]int
	// pulse follows the load of a serving step; nil before its first report.
	pulse *pulse
	// rate is the usual progress of the step's tasks in percent a second, from as many measurements.
	rate     float64
	measured int
	// took is the time of as many runs as timed, which were done without interruption at full speed.
	took  time.Duration
	timed int
	// approval is nil before the policy service was asked about the step.
	approval *approval
}

// occurrence is one repetition of a job's steps.
type occurrence struct {
	job    *job
	number int64
	due    time.Time
	steps  []step
	open   int
}

// job is a job and its progress.
type job struct {
	spec infra.Job
	// fresh jobs were accepted after this scheduler was elected, so no former one can have started them.
	fresh   bool
	arrived time.Time
	// queue is the job's queue as last configured.
	queue       infra.Queue
	cancelled   bool
	failed      bool
	begun       bool
	occurrences map[int64]*occurrence
	created     int64
	closed      int64
	// durable is the state that callers are shown.
	durable infra.State
	dirty   bool
	// dirtySeq is the place of the job among those to be saved.
	dirtySeq int64
	savedAt  time.Time
}

func (j *job) live() bool { return !j.cancelled && !j.failed && !j.complete() }

func (j *job) total() int64 { return max(1, j.spec.Schedule.Count) }

func (j *job) complete() bool { return j.closed == j.total() }

// state is the state that the scheduler believes, durable or not.
func (j *job) state() infra.State {
	switch {
	case j.cancelled:
		return infra.StateCancelled
	case j.failed:
		return infra.StateFailed
	case j.complete():
		return infra.StateCompleted
	case j.begun:
		return infra.StateRunning
	default:
		return infra.StateQueued
	}
}

func (j *job) occurrence(n int64) *occurrence {
	if o := j.occurrences[n]; o != nil {
		return o
	}
	o := &occurrence{job: j, number: n, open: len(j.spec.Steps)}
	o.steps = make([]step, len(j.spec.Steps))
	for i, s := range j.spec.Steps {
		o.steps[i] = step{spec: s, tasks: make([]task, s.Count), waiting: s.Count}
		if s.MaxPerWorker > 0 {
			o.steps[i].perWorker = make(map[fleet.WorkerID]int)
		}
	}
	j.occurrences[n] = o
	return o
}

// released reports whether all steps that step i depends on are done.
func (o *occurrence) released(i int) bool {
	for _, a := range o.steps[i].spec.After {
		if o.steps[a].done < len(o.steps[a].tasks) {
			return false
		}
	}
	return true
}

// countOpen counts the steps that are not complete.
func (o *occurrence) countOpen() {
	o.open = 0
	for i := range o.steps {
		if !o.steps[i].complete() {
			o.open++
		}
	}
}

func (s *step) complete() bool { return s.done == len(s.tasks) }

// setPhase keeps the counts of the step.
func (s *step) setPhase(index int, p phase) {
	t := &s.tasks[index]
	if t.phase == p {
		return
	}
	switch t.phase {
	case waiting:
		s.waiting--
	case done:
		s.done--
	case active:
	}
	switch p {
	case waiting:
		s.waiting++
		s.next = min(s.next, index)
	case done:
		s.done++
	case active:
	}
	t.phase = p
}

// Record is the durable progress of a job.
type Record struct {
	State       infra.State        `cbor:"state"`
	Occurrences []OccurrenceRecord `cbor:"occurrences,omitempty"`
	// Closed counts the occurrences that are complete; those without an entry are the lowest numbers.
	Completed int64 `cbor:"closed,omitempty"`
}

// OccurrenceRecord is the durable progress of an occurrence that is not complete.
type OccurrenceRecord struct {
	Number    int64        `cbor:"number"`
	Completed bool         `cbor:"closed,omitempty"`
	Steps     []StepRecord `cbor:"steps,omitempty"`
}

// StepRecord is the durable progress of a step; Done has a bit for each task.
type StepRecord struct {
	Done  []byte       `cbor:"done,omitempty"`
	Tasks []TaskRecord `cbor:"tasks,omitempty"`
}

// TaskRecord is what is known of a task that is not done.
type TaskRecord struct {
	Index int       `cbor:"index"`
	Run   infra.Run `cbor:"run,omitempty"`
	// Failed are the runs that ended as failed.
	Failed     []infra.Run `cbor:"failed,omitempty"`
	Checkpoint string      `cbor:"checkpoint,omitempty"`
}

// record returns the progress of a job; a job in a final state needs no more than that state.
func (j *job) record() Record {
	r := Record{State: j.state(), Completed: j.closed}
	if r.State.Final() {
		return r
	}
	for n := range j.created {
		o := j.occurrences[n]
		if o == nil {
			continue
		}
		if o.open == 0 {
			r.Occurrences = append(r.Occurrences, OccurrenceRecord{Number: n, Completed: true})
			continue
		}
		r.Occurrences = append(r.Occurrences, o.record())
	}
	return r
}

func (o *occurrence) record() OccurrenceRecord {
	r := OccurrenceRecord{Number: o.number, Steps: make([]StepRecord, len(o.steps))}
	for i := range o.steps {
		r.Steps[i] = o.steps[i].record()
	}
	return r
}

func (s *step) record() StepRecord {
	var r StepRecord
	for i := range s.tasks {
		t := &s.tasks[i]
		switch {
		case t.phase == done:
			if r.Done == nil {
				r.Done = make([]byte, (len(s.tasks)+7)/8)
			}
			r.Done[i/8] |= 1 << (i % 8)
		case t.lastRun > 0:
			r.Tasks = append(r.Tasks, TaskRecord{Index: i, Run: t.lastRun, Failed: slices.Clone(t.failed), Checkpoint: t.saved})
		}
	}
	return r
}

// restore takes up the durable progress of a job.
func (j *job) restore(r *Record) {
	j.cancelled = r.State == infra.StateCancelled
	j.failed = r.State == infra.StateFailed
	j.durable = r.State
	if r.State == infra.StateCompleted {
		j.closed = j.total()
		return
	}
	for _, or := range r.Occurrences {
		o := j.occurrence(or.Number)
		j.created = max(j.created, or.Number+1)
		o.restore(or)
		j.begun = true
	}
}

func (o *occurrence) restore(r OccurrenceRecord) {
	if r.Completed {
		for i := range o.steps {
			for t := range o.steps[i].tasks {
				o.steps[i].setPhase(t, done)
			}
		}
	}
	for i := range min(len(r.Steps), len(o.steps)) {
		o.steps[i].restore(r.Steps[i])
	}
	o.countOpen()
	if o.open == 0 {
		o.job.closed++
	}
}

func (s *step) restore(r StepRecord) {
	for i := range s.tasks {
		if i/8 < len(r.Done) && r.Done[i/8]&(1<<(i%8)) != 0 {
			s.setPhase(i, done)
		}
	}
	for _, t := range r.Tasks {
		if t.Index >= 0 && t.Index < len(s.tasks) {
			known := &s.tasks[t.Index]
			known.lastRun, known.failed, known.saved = t.Run, t.Failed, t.Checkpoint
		}
	}
}
