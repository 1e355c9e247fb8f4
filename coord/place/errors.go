package place

import (
	"fmt"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
)

// TooLargeError reports a size that exceeds the capacity of every known worker.
type TooLargeError struct {
	Need fleet.Resources
	// Largest holds, for each resource, the largest capacity of any worker; they may belong to different workers.
	Largest fleet.Resources
	Workers int
}

// Error returns a message with the size and the largest capacities.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("no worker can ever hold %v: largest of %d workers is %v", e.Need, e.Workers, e.Largest)
}

// NoWorkersError reports that no worker is known yet, so that sizes cannot be checked.
type NoWorkersError struct{}

// Error returns a fixed message.
func (e *NoWorkersError) Error() string { return "no worker is known" }

// NoRoomError reports that no worker has room for a task now, with the number of workers that each cause excludes.
type NoRoomError struct {
	Task    plat.TaskRef
	Need    fleet.Resources
	Workers int
	// Unavailable counts workers that are not live or no longer on the host list.
	Unavailable int
	// Avoided counts workers in [Task.Avoid].
	Avoided int
	// Probation counts workers on probation that already run a task; such a worker runs one task at a time.
	Probation int
	// Suspects counts workers that already run a suspect, if the task is one.
	Suspects int
	// Interference counts workers whose urgent tasks are predicted to exceed the slowdown limit.
	Interference int
	// Unmeasured counts workers that run tasks without measured size, which may need the memory that appears free.
	Unmeasured int
	// MilliCPU, Memory and Accelerators count workers that lack the resource; a worker may be counted in several.
	MilliCPU     int
	Memory       int
	Accelerators int
}

// Error returns a message with the task, its size and the counts.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("task %s attempt %d: no room for %v on %d workers: %d unavailable, %d avoided, %d on probation, "+
		"%d with another suspect, %d disturbed, %d with unmeasured tasks, %d lack processors, %d lack memory, %d lack accelerators", e.Task.Task, e.Task.Attempt, e.Need, e.Workers,
		e.Unavailable, e.Avoided, e.Probation, e.Suspects, e.Interference, e.Unmeasured, e.MilliCPU, e.Memory, e.Accelerators)
}
