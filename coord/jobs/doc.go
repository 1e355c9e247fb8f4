// Package jobs implements the state machine for the jobs, tasks and attempts of one partition, including service
// replicas.
//
// Recorded state changes only after its record is durable: a decision emits [Append], and [Committed] applies the
// records. Fields that are not recorded, such as lease times, are kept apart, because a new owner starts without them.
package jobs
