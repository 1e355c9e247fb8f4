package flow

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
)

// phase is the progress of a task: waiting to be placed, placed on a worker, or done.
type phase uint8

const (
	waiting phase = iota
	active
	done
)

// task is the state of one task of an occurrence.
type task struct {
	phase phase
	// lastRun is the highest run number that any scheduler may have used for the task.
	lastRun infra.Run
	// failedRuns lists the numbers of the failed runs. Runs are recorded by number because their ends can arrive from
	// several workers in any order, and twice after a takeover.
	failedRuns []infra.Run
	// checkpoint is the latest one, and checkpointRun the run that has written it.
	checkpoint    string
	checkpointRun infra.Run
	// avoidWorker is the worker of the last run that did not complete.
	avoidWorker fleet.WorkerID
	// located is set once this scheduler has started the task, or has seen it running after the predecessor's last order.
	// From then on no worker can run it on behalf of a predecessor without being known.
	located bool
	// runs are the runs that may exist on workers.
	runs []*run
	// moves counts how often the task was moved because of its progress.
	moves int
	crashRecord
	// unsavedSeq is the sequence number of the save that makes the last crash and the open run of a trial durable, and
	// crashedAt is the time of that crash.
	unsavedSeq int64
	crashedAt  time.Time
	// trialSince is when the task began to wait for a trial, trialRetryAt when a worker is searched for it again, and
	// reservedUntil the end of the reservation of a worker for it.
	trialSince    time.Time
	trialRetryAt  time.Time
	reservedUntil time.Time
	// verdictDue is set when the next placement has to decide whether the task is given up. awaitLogged is set once the log says
	// that the task waits for lost workers.
	verdictDue  bool
	awaitLogged bool
}

// updateCheckpoint records a reported checkpoint. That of an earlier run, whose end is reported late or again, is older.
func (t *task) updateCheckpoint(number infra.Run, checkpoint string) {
	if checkpoint != "" && number >= t.checkpointRun {
		t.checkpoint, t.checkpointRun = checkpoint, number
	}
}

// step is the state of one step of an occurrence. waiting and done count its tasks in these phases.
type step struct {
	spec    infra.Step
	tasks   taskList
	waiting int
	done    int
	// firstWaiting is a lower bound for the index of the first waiting task.
	firstWaiting int
	// runsPerWorker counts the runs on each worker; nil for a step without MaxPerWorker.
	runsPerWorker map[fleet.WorkerID]int
	// load models the load of a serving step; nil before its first report.
	load *loadModel
	// rate is the usual progress of the tasks in percent per second, estimated from rateSamples measurements.
	rate        float64
	rateSamples int
	// totalRunTime is the sum of the run times of timedRuns runs, which completed at full speed and without
	// interruption.
	totalRunTime time.Duration
	timedRuns    int
	// approval holds the decisions of the policy service; nil before the first call about the step.
	approval *approval
	// crashes counts the workers that crashed under recent runs of the step since one of its runs was sound, and lostWorkers are
	// those that may have.
	crashes     int
	lostWorkers map[fleet.WorkerID]struct{}
	// suspect is the index of the member of a gang with the most crashes.
	suspect int
}

// occurrence is one repetition of a job's steps. openSteps counts the steps that are not complete.
type occurrence struct {
	job       *job
	number    int64
	due       time.Time
	steps     []step
	openSteps int
	// estimate is the result of [Machine.estimateOf] at estimatedAt.
	estimate    estimate
	estimatedAt time.Time
	// runs counts the runs of all tasks that may exist on workers, and idleSince is when the last of them was released.
	runs      int
	idleSince time.Time
	// parts are the groups of tasks whose progress is stored separately; nil unless the job is split.
	parts []part
}

// job is the state of a submitted job.
type job struct {
	spec infra.Job
	// revision is the store revision at which the job was stored; 0 if it is not known, or was at most that of the restored
	// state.
	revision  int64
	arrivedAt time.Time
	// queue is the latest configuration of the job's queue.
	queue     infra.Queue
	cancelled bool
	failed    bool
	// crashed is set once a worker has crashed under a recent run of the job, or a trial of one of its tasks has been recorded.
	crashed bool
	// started is set once a worker has shown that a task of the job has started, see [Machine.noteStarted].
	started     bool
	occurrences map[int64]*occurrence
	// createdOccurrences is the number of the first occurrence that is not created yet. Later ones are known if a worker has
	// reported a run of them.
	createdOccurrences int64
	// completed holds the numbers of the complete occurrences. Those of a job with several ones are not in occurrences any more.
	completed completedSet
	// openOccurrences counts the incomplete occurrences before createdOccurrences, and readySteps their steps that wait for workers.
	openOccurrences int64
	readySteps      int
	// durableState is the state reported to callers.
	durableState infra.State
	dirty        bool
	// dirtySeq is the job's sequence number among the jobs to be saved.
	dirtySeq int64
	// isSplit is set if the progress of the tasks is stored in parts of partTasks tasks, and storedParts counts those in the store.
	isSplit     bool
	partTasks   int
	storedParts int
	finishedAt  time.Time
	// reduceAt is when the stored form of a finished job may be reduced.
	reduceAt time.Time
}

func (j *job) live() bool { return !j.cancelled && !j.failed && !j.complete() }

func (j *job) totalOccurrences() int64 { return max(1, j.spec.Schedule.Count) }

func (j *job) complete() bool { return j.completed.len() == j.totalOccurrences() }

// state returns the current state of the job, which may not be durable yet.
func (j *job) state() infra.State {
	switch {
	case j.cancelled:
		return infra.StateCancelled
	case j.failed:
		return infra.StateFailed
	case j.complete():
		return infra.StateCompleted
	case j.started:
		return infra.StateRunning
	default:
		return infra.StateQueued
	}
}

func (j *job) occurrence(n int64) *occurrence {
	if o := j.occurrences[n]; o != nil {
		return o
	}
	o := &occurrence{job: j, number: n, openSteps: len(j.spec.Steps)}
	o.steps = make([]step, len(j.spec.Steps))
	for i, s := range j.spec.Steps {
		o.steps[i] = step{spec: s, tasks: newTaskList(s.Count), waiting: s.Count}
		if s.MaxPerWorker > 0 {
			o.steps[i].runsPerWorker = make(map[fleet.WorkerID]int)
		}
	}
	if j.isSplit {
		o.addParts()
	}
	j.occurrences[n] = o
	return o
}

// released reports whether all steps that step i depends on are done.
func (o *occurrence) released(i int) bool {
	for _, a := range o.steps[i].spec.After {
		if o.steps[a].done < o.steps[a].tasks.len() {
			return false
		}
	}
	return true
}

// countOpenSteps updates the number of steps that are not complete.
func (o *occurrence) countOpenSteps() {
	o.openSteps = 0
	for i := range o.steps {
		if !o.steps[i].complete() {
			o.openSteps++
		}
	}
}

func (o *occurrence) complete() bool { return o.openSteps == 0 }

func (s *step) complete() bool { return s.done == s.tasks.len() }

// setPhase changes the phase of a task and updates the counts of the step.
func (s *step) setPhase(index int, p phase) {
	t := s.tasks.at(index)
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
		s.firstWaiting = min(s.firstWaiting, index)
	case done:
		s.done++
	case active:
	}
	t.phase = p
}
