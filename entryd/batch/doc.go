// Package batch runs the batch jobs of an entry process: it keeps the session in the store, claims and recovers
// partitions, commits their ledgers, schedules jobs and service replicas on workers, and serves the HTTP API for jobs.
package batch
