// Package hosted implements the entry process for a platform that provides the store, the workers and the callers.
// Every process accepts jobs, and one of them is elected as the scheduler.
package hosted
