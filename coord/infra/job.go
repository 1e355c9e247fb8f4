package infra

import (
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
)

// Step is a set of identical tasks of a job.
type Step struct {
	Count int `cbor:"count"`
	// Size is the amount of resources that one task needs, and Estimate its expected run time.
	Size     fleet.Resources `cbor:"size"`
	Estimate time.Duration   `cbor:"estimate"`
	// After lists the indexes of the earlier steps that must be complete before this one starts.
	After []int `cbor:"after,omitempty"`
	// Checkpoints means that tasks write checkpoints, so that a stopped task can resume from its last one.
	Checkpoints bool `cbor:"checkpoints,omitempty"`
	// Gang means that the tasks make progress only while all of them run.
	Gang bool `cbor:"gang,omitempty"`
	// SameRack means that the tasks of a gang are placed in one rack if there is room in one.
	SameRack bool `cbor:"same_rack,omitempty"`
	// Label is a label that the worker must have, unless empty.
	Label string `cbor:"label,omitempty"`
	// DataRack is the rack that stores the input; tasks run slower in other racks.
	DataRack string `cbor:"data_rack,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence on one worker; 0 means no limit.
	MaxPerWorker int `cbor:"max_per_worker,omitempty"`
	// Speculative allows speculative execution: several runs of one task in parallel.
	Speculative bool `cbor:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `cbor:"long_running,omitempty"`
	Image       string `cbor:"image,omitempty"`
	// TailTarget is the tail latency that a serving task should not exceed.
	TailTarget time.Duration `cbor:"tail_target,omitempty"`
	// Filler tasks use the processor time that other tasks of the worker leave idle; none is reserved for them.
	Filler bool `cbor:"filler,omitempty"`
	// MaxUnavailable limits how many tasks of a long-running step may be down at once through the scheduler's own
	// actions, such as evacuations; 0 means no limit.
	MaxUnavailable int `cbor:"may_miss,omitempty"`
}

// Reserved returns the resources that a worker must have free for one task of the step.
func (s Step) Reserved() fleet.Resources {
	if s.Filler {
		return fleet.Resources{MemoryBytes: s.Size.MemoryBytes, Accelerators: s.Size.Accelerators}
	}
	return s.Size
}

// Schedule runs the steps of a job Count times, once per Interval. The first occurrence is due at Start, in Unix
// milliseconds.
type Schedule struct {
	Count    int64         `cbor:"count"`
	Start    int64         `cbor:"start"`
	Interval time.Duration `cbor:"interval"`
}

// Job is a job as a caller submits it to a queue.
type Job struct {
	ID       fleet.JobID `cbor:"id"`
	Queue    string      `cbor:"queue"`
	Spec     string      `cbor:"spec"`
	Steps    []Step      `cbor:"steps"`
	Schedule Schedule    `cbor:"schedule"`
	// MaxAttempts and Service are copied from the queue when the job is accepted, and HasPolicy is set if the queue has an approval
	// policy then. They apply if the queue is later removed from the configuration.
	MaxAttempts int    `cbor:"max_attempts,omitempty"`
	Service     string `cbor:"service,omitempty"`
	HasPolicy   bool   `cbor:"has_policy,omitempty"`
	// Submitted is the time at which an entry process accepted the job, in Unix milliseconds.
	Submitted int64 `cbor:"submitted"`
}

// InvalidJobError reports a job that can never run.
type InvalidJobError struct {
	Job    fleet.JobID
	Reason string
}

// Error includes the job ID and the reason.
func (e *InvalidJobError) Error() string { return fmt.Sprintf("job %s: %s", e.Job, e.Reason) }

// Limits on the size of a job.
const (
	// MaxSpecBytes is the maximum length of a spec that the platform passes to workers.
	MaxSpecBytes = 4000
	// MaxTasks limits the tasks of one occurrence, so that a single job cannot exhaust the scheduler's memory.
	MaxTasks = 20000
)

// Tasks returns the number of tasks of one occurrence.
func (j Job) Tasks() int64 {
	tasks := int64(0)
	for _, s := range j.Steps {
		tasks += int64(s.Count)
	}
	return tasks
}

// Validate returns an [*InvalidJobError] if the job is malformed or too large.
func (j Job) Validate() error {
	if len(j.Steps) == 0 {
		return &InvalidJobError{Job: j.ID, Reason: "no steps"}
	}
	if len(j.Spec) > MaxSpecBytes {
		return &InvalidJobError{Job: j.ID, Reason: "spec too long"}
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Count <= 0 || s.Count > MaxTasks || s.Size.MilliCPU < 0 || s.Size.MemoryBytes < 0 || s.Size.Accelerators < 0 {
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

// State is the state of a job as reported to callers.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state is terminal.
func (s State) Final() bool { return s == StateCompleted || s == StateFailed || s == StateCancelled }
