package infra

import (
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
)

// Step is a set of equal tasks of a job.
type Step struct {
	Count    int             `cbor:"count"`
	Size     fleet.Resources `cbor:"size"`
	Estimate time.Duration   `cbor:"estimate"`
	// After lists the earlier steps whose tasks must all be done first.
	After []int `cbor:"after,omitempty"`
	// Checkpoints means that a stopped task can resume from its last checkpoint.
	Checkpoints bool `cbor:"checkpoints,omitempty"`
	// Gang means that the tasks work only while all of them run.
	Gang     bool `cbor:"gang,omitempty"`
	SameRack bool `cbor:"same_rack,omitempty"`
	// Label is a label that the worker must have.
	Label string `cbor:"label,omitempty"`
	// DataRack is the rack where the input lies; the tasks are slower elsewhere.
	DataRack string `cbor:"data_rack,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker; 0 means no bound.
	MaxPerWorker int `cbor:"max_per_worker,omitempty"`
	// Speculative allows copies of a task in parallel.
	Speculative bool `cbor:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `cbor:"long_running,omitempty"`
	Image       string `cbor:"image,omitempty"`
	// TailTarget bounds the tail latency of a serving task.
	TailTarget time.Duration `cbor:"tail_target,omitempty"`
	// Filler tasks use processor time that the other tasks of the worker leave unused; it is not reserved for them.
	Filler bool `cbor:"filler,omitempty"`
	// MayMiss is how many tasks of a long-running step may be down at a time through the scheduler's own actions; 0 means no bound.
	MaxUnavailable int `cbor:"may_miss,omitempty"`
}

// Reserved returns what a worker must keep free for one task of the step.
func (s Step) Reserved() fleet.Resources {
	if s.Filler {
		return fleet.Resources{MemoryBytes: s.Size.MemoryBytes, Accelerators: s.Size.Accelerators}
	}
	return s.Size
}

// Schedule repeats the steps of a job; the first occurrence is due at Start in Unix milliseconds.
type Schedule struct {
	Count    int64         `cbor:"count"`
	Start    int64         `cbor:"start"`
	Interval time.Duration `cbor:"interval"`
}

// Job is what a caller submits to a queue.
type Job struct {
	ID       fleet.JobID `cbor:"id"`
	Queue    string      `cbor:"queue"`
	Spec     string      `cbor:"spec"`
	Steps    []Step      `cbor:"steps"`
	Schedule Schedule    `cbor:"schedule"`
	// MaxAttempts and Service are those of the queue when the job was accepted; they hold if the queue is no longer
	// configured.
	MaxAttempts int    `cbor:"max_attempts,omitempty"`
	Service     string `cbor:"service,omitempty"`
	// Submitted is when an entry process accepted the job, in Unix milliseconds.
	Submitted int64 `cbor:"submitted"`
}

// InvalidJobError reports a job that can never run.
type InvalidJobError struct {
	Job    fleet.JobID
	Reason string
}

// Error names the job and the reason.
func (e *InvalidJobError) Error() string { return fmt.Sprintf("job %s: %s", e.Job, e.Reason) }

// Limits of a job.
const (
	// MaxSpecBytes is the longest spec that the platform hands on.
	MaxSpecBytes = 4000
	// MaxTasks bounds the tasks of one occurrence, so that one job cannot fill the scheduler's memory.
	MaxTasks = 20000
)

// Validate returns an [*InvalidJobError] for a job that can never run on any worker.
func (j Job) Validate() error {
	if len(j.Steps) == 0 {
		return &InvalidJobError{Job: j.ID, Reason: "no steps"}
	}
	if len(j.Spec) > MaxSpecBytes {
		return &InvalidJobError{Job: j.ID, Reason: "spec too long"}
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Count <= 0 || s.Size.MilliCPU < 0 || s.Size.MemoryBytes < 0 || s.Size.Accelerators < 0 {
			return &InvalidJobError{Job: j.ID, Reason: fmt.Sprintf("step %d: bad count or size", i)}
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return &InvalidJobError{Job: j.ID, Reason: fmt.Sprintf("step %d: depends on step %d, which is not an earlier one", i, a)}
			}
		}
		tasks += s.Count
	}
	if tasks > MaxTasks {
		return &InvalidJobError{Job: j.ID, Reason: fmt.Sprintf("%d tasks, at most %d are allowed", tasks, MaxTasks)}
	}
	return nil
}

// State is the state of a job as callers see it.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether a job in this state has nothing left to do.
func (s State) Final() bool { return s == StateCompleted || s == StateFailed || s == StateCancelled }
