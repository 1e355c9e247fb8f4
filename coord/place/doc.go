// Package place decides which worker runs a task, which tasks are throttled, and which are checkpointed and moved.
//
// A reservation is taken when [Machine.Place] returns and is given back only by [Ended]. Reports, throttles and
// eviction decisions never give resources back.
package place
