// Package plan describes a soak: its deployment, its load and the faults with their times. A plan is drawn from a seed or read
// from a file.
package plan
