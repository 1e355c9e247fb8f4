// Package flow implements the scheduler as a reducer: it turns events from the store, the workers and the clock into
// orders for workers and writes to the store. It places the tasks of jobs, which are made of dependent steps, on
// workers whose tasks run under leases. One elected scheduler at a time decides all placements.
package flow
