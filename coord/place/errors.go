package place

import (
	"fmt"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// TooLargeError reports a size that no known worker can hold even when idle.
type TooLargeError struct {
	Need fleet.Resources
	// Largest is the largest amount of each kind that any worker has, not necessarily the same worker.
	Largest fleet.Resources
	Workers int
}

// Error names the size and the largest amounts.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("no worker can ever hold %v: largest of %d workers is %v", e.Need, e.Workers, e.Largest)
}

// NoWorkersError reports that no worker is known yet, so that nothing can be said about sizes.
type NoWorkersError struct{}

// Error says that no worker is known.
func (e *NoWorkersError) Error() string { return "no worker is known" }

// NoRoomError reports that no worker can take a task now, with the number of workers that each cause excludes.
type NoRoomError struct {
	Task    plat.TaskRef
	Need    fleet.Resources
	Workers int
	// Unavailable counts workers that are leaving or gone.
	Unavailable int
	// Avoided counts workers that the task has failed on.
	Avoided int
	// Probation counts workers that may run only one task at a time and run one.
	Probation int
	// Disturbing counts workers whose urgent tasks are predicted to be slowed too much.
	Interference int
	// Unmeasured counts workers that run tasks of unknown true size, which may need the memory that seems free.
	Unmeasured int
	// MilliCPU, Memory and Accelerators count workers that lack the resource; one worker may count in several.
	MilliCPU     int
	Memory       int
	Accelerators int
}

// Error names the task, its size and the counts.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("task %s attempt %d: no room for %v on %d workers: %d unavailable, %d avoided, %d on probation, "+
		"%d disturbed, %d with unmeasured tasks, %d lack processors, %d lack memory, %d lack accelerators", e.Task.Task, e.Task.Attempt, e.Need, e.Workers,
		e.Unavailable, e.Avoided, e.Probation, e.Interference, e.Unmeasured, e.MilliCPU, e.Memory, e.Accelerators)
}
