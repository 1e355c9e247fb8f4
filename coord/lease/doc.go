// Package lease implements the state machine for the store session of an entry process and for the partitions that the
// process owns under that session. The package does no I/O: [Machine.Step] maps events to effects.
package lease
