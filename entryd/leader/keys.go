package leader

import (
	"strings"

	"lovagefork.example/coord/fleet"
)

// Keys of the system in the store.
const (
	// groupPrefix starts the keys that every entry process watches.
	groupPrefix = "lovagefork/group/"
	leaderKey   = groupPrefix + "leader"
	termKey     = groupPrefix + "term"
	hostPrefix  = groupPrefix + "host/"

	// inputPrefix starts what entry processes store for the scheduler: jobs and cancellations.
	inputPrefix  = "lovagefork/input/"
	cancelSuffix = "/cancel"

	// recordPrefix starts the progress that the scheduler stores.
	recordPrefix = "lovagefork/record/"
	// sequenceKey orders the batches of progress.
	sequenceKey = "lovagefork/sequence"
	// rosterKey holds the workers on which tasks may run.
	rosterKey = "lovagefork/roster"
	// wavePrefix starts the progress of waves of upkeep.
	wavePrefix = "lovagefork/wave/"
	// learntKey holds what was learnt of the interference of images.
	interferenceKey = "lovagefork/learnt"
)

// JobKey is where a job is stored.
func JobKey(id fleet.JobID) string { return inputPrefix + string(id) }

// CancelKey is where the cancellation of a job is stored.
func CancelKey(id fleet.JobID) string { return inputPrefix + string(id) + cancelSuffix }

// RecordKey is where the progress of a job is stored.
func RecordKey(id fleet.JobID) string { return recordPrefix + string(id) }

// parseInput returns the job of an input key and whether it is a cancellation.
func parseInput(key string) (fleet.JobID, bool) {
	id, cancelled := strings.CutSuffix(strings.TrimPrefix(key, inputPrefix), cancelSuffix)
	return fleet.JobID(id), cancelled
}
