package place

import (
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/plat"
	"lovagefork.example/coord/sets"
)

// Task is one attempt that needs a worker; Avoid lists the workers that the task has failed on.
type Task struct {
	Ref       plat.TaskRef
	Kind      string
	Class     fleet.Class
	Customer  fleet.CustomerID
	Resources fleet.Resources
	Avoid     sets.Set[fleet.WorkerID]
}

// Decision is where a task runs.
//
// If Evict is not empty, each attempt in it must have ended before the task starts. Evict may name attempts whose
// eviction an earlier decision already asked for.
type Decision struct {
	Worker fleet.WorkerID
	Reason string
	Evict  []plat.TaskRef
}

// held is a reservation and what is known of the attempt that it is for.
type reservation struct {
	task     Task
	kind     kindID
	host     *host
	decision Decision
	// size is what the reservation holds: the larger of the declared and of the observed size.
	size fleet.Resources
	// observed is the decaying maximum of the sizes seen in reports, at seenAt; load is the newest of them.
	observed fleet.Resources
	observedAt   time.Time
	usage     fleet.Resources
	measured bool
	// reservedAt and startedAt bound the reports that can include the attempt; startedAt is zero until it is known.
	reservedAt time.Time
	startedAt  time.Time
	// pending is set while the reservation waits for evictions to end.
	pending  bool
	evicting bool
	throttlePermille int
	slowdown float64
}
