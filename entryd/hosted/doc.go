// Package hosted is an entry process on a platform that gives it a store, workers and callers: every process takes jobs,
// and one of them is the scheduler.
package hosted
