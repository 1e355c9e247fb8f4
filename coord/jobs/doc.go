// Package jobs reduces the life cycle of the jobs, tasks and attempts of one partition, including service replicas.
//
// State changes only when its record is durable: a decision appends records, and [Committed] applies them. The fields
// that a later owner cannot know, such as lease times, are kept apart from the recorded state.
package jobs
