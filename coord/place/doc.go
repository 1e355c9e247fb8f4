// Package place decides which worker runs a task, which tasks are throttled, and which are checkpointed and moved.
//
// [Machine.Place] reserves resources on a worker, and only [Ended] releases them. Reports, throttles and eviction
// decisions never release a reservation.
package place
