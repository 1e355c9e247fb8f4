package place

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
	"lovagefork.example/coord/sets"
)

// Task is an attempt to be placed; Avoid lists the workers on which the task has failed. A task is a suspect if a worker
// crashed while it ran it. Two suspects do not share a worker, so that another crash shows which of them is the cause.
type Task struct {
	Ref       plat.TaskRef
	Kind      string
	Class     fleet.Class
	Customer  fleet.CustomerID
	Resources fleet.Resources
	Avoid     sets.Set[fleet.WorkerID]
	Suspect   bool
}

// Decision is the worker chosen for a task.
//
// If Evict is not empty, each attempt in it must end before the task starts. Evict may include attempts that an earlier
// decision already evicts.
type Decision struct {
	Worker fleet.WorkerID
	Reason string
	Evict  []plat.TaskRef
}

// reservation holds the resources of an attempt on a worker and the measurements of the attempt.
type reservation struct {
	task     Task
	kind     kindID
	host     *host
	decision Decision
	// size is the reserved amount: the larger of the declared and the observed size.
	size fleet.Resources
	// observedSize is the decaying maximum of the sizes in reports, as of observedAt; usage is the newest of them.
	// measured is set once there is one.
	observedSize fleet.Resources
	observedAt   time.Time
	usage        fleet.Resources
	measured     bool
	// startedAt is zero until the start of the attempt is known; reports measured earlier do not include its usage.
	reservedAt time.Time
	startedAt  time.Time
	// pending is set while the reservation waits for evictions to end; evicting is set once the eviction of the attempt
	// itself was requested.
	pending  bool
	evicting bool
	// throttlePermille is the current limit, and slowdown the moving average of the measured slowdown factor.
	throttlePermille int
	slowdown         float64
}
