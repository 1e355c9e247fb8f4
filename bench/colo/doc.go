// Package colo compares placement policies on colocated services and batch work in virtual time.
//
// It drives [place.Machine] with simulated workers. The machine sees declared sizes and reports, but not the true sizes
// of tasks and the slowdowns between task kinds.
package colo
