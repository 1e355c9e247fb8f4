// Package leader elects one entry process as the scheduler through a lease in the store, and runs the scheduler there
// while the lease is held.
package leader
