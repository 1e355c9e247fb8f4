package leader

import (
	"fmt"
	"strconv"
	"strings"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
)

// Keys and key prefixes of the system in the store.
const (
	// groupPrefix contains the leader and the registered entry processes; every entry process watches it.
	groupPrefix = "lovagefork/group/"
	leaderKey   = groupPrefix + "leader"
	termKey     = groupPrefix + "term"
	hostPrefix  = groupPrefix + "host/"

	// inputPrefix contains the jobs and cancellations that entry processes store for the scheduler.
	inputPrefix  = "lovagefork/input/"
	cancelSuffix = "/cancel"

	// recordPrefix contains the progress of each job and its parts, written by the scheduler.
	recordPrefix = "lovagefork/record/"
	// sequenceKey holds the ID of the last saved batch; each save is conditional on its revision.
	sequenceKey = "lovagefork/sequence"
	// rosterKey holds the set of workers on which tasks may run.
	rosterKey = "lovagefork/roster"
	// wavePrefix contains the progress of each maintenance wave.
	wavePrefix = "lovagefork/wave/"
	// interferenceKey holds the learned interference models.
	interferenceKey = "lovagefork/learnt"
)

// JobKey returns the key of a job.
func JobKey(id fleet.JobID) string { return inputPrefix + string(id) }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id fleet.JobID) string { return inputPrefix + string(id) + cancelSuffix }

// RecordKey returns the key of a job's progress.
func RecordKey(id fleet.JobID) string { return recordPrefix + string(id) }

// PartKey returns the key of a part of a job's progress, which is below that of the job's record.
func PartKey(k flow.PartKey) string {
	return fmt.Sprintf("%s/%d/%d", RecordKey(k.Job), k.Occurrence, k.Index)
}

// parsePart returns the part with a key, and false if the key is that of a record.
func parsePart(key string) (flow.PartKey, bool) {
	fields := strings.Split(strings.TrimPrefix(key, recordPrefix), "/")
	if len(fields) != 3 {
		return flow.PartKey{}, false
	}
	occurrence, err := strconv.ParseInt(fields[1], 10, 64)
	index, indexErr := strconv.Atoi(fields[2])
	return flow.PartKey{Job: fleet.JobID(fields[0]), Occurrence: occurrence, Index: index}, err == nil && indexErr == nil
}

// parseInput returns the job ID in a key below inputPrefix, and whether the key is that of a cancellation.
func parseInput(key string) (fleet.JobID, bool) {
	id, cancelled := strings.CutSuffix(strings.TrimPrefix(key, inputPrefix), cancelSuffix)
	return fleet.JobID(id), cancelled
}
