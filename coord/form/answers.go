package form

import (
	"lovagefork.example/coord/fleet"
)

// Answers is one customer's completed questionnaire.
//
// The names of the types in this file are part of the error text for a JSON value of the wrong type.
type Answers struct {
	Customer fleet.CustomerID `json:"customer"`
	// Urgent lists the services whose requests must be served, and the batch work whose tasks must start, without delay.
	Urgent []string `json:"urgent"`
	// MayWait lists the services and batch work that may wait until capacity is idle.
	MayWait []string `json:"may_wait"`
	// NeverTwice lists the services whose requests, and the batch work whose tasks, must run at most once.
	NeverTwice []string  `json:"never_twice"`
	Services   []Service `json:"services"`
	Batch      []Batch   `json:"batch"`
	Quota      Quota     `json:"quota"`
}

// Service is one long-running service; DeadlineMS is the time limit of a request in milliseconds.
type Service struct {
	Name       string `json:"name"`
	Replicas   int    `json:"replicas"`
	DeadlineMS int64  `json:"deadline_ms"`
	Size       Size   `json:"size"`
}

// Batch is one kind of batch work; a MaxAttempts of zero means [DefaultMaxAttempts].
type Batch struct {
	Name        string `json:"name"`
	Size        Size   `json:"size"`
	MaxAttempts int    `json:"max_attempts"`
}

// Size is the amount of resources that one replica or task uses, in thousandths of a core, MiB and whole accelerators.
type Size struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMiB    int64 `json:"memory_mib"`
	Accelerators int64 `json:"accelerators"`
}

// Quota limits the resources and tasks that the customer uses at a time, and its request rate. Zero means no limit, and
// a zero weight means 1.
type Quota struct {
	Size
	RunningTasks      int     `json:"running_tasks"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	Weight            int     `json:"weight"`
}

// Resources converts the size to the units of the scheduler.
func (s Size) Resources() fleet.Resources {
	return fleet.Resources{MilliCPU: s.MilliCPU, MemoryBytes: s.MemoryMiB << 20, Accelerators: s.Accelerators}
}
