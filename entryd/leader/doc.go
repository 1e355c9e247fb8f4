// Package leader elects the scheduler through a lease of the store and runs it while the lease lasts.
package leader
