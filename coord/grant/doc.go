// Package grant implements the state machine that divides the slots and connections of workers among the entry
// processes. Each entry process has a fixed share of a worker and can lend unused slots of it to its peers for a short
// time.
package grant
