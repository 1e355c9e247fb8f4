package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/place"
)

// The loads on a worker were kept as shares of the capacity of its former listing until its next report. After its
// capacity had shrunk, urgent tasks were placed beside loads that looked half as large as they were.
func TestSharesFollowCapacityOfListing(t *testing.T) {
	m := place.New(place.Interference{})
	now := time.Unix(1000, 0)
	shrunk := worker("w1")
	large := shrunk
	large.Capacity.MilliCPU *= 2
	for _, w := range []fleet.Worker{large, worker("w2"), worker("empty")} {
		m.Step(now, place.WorkerUpdated{Worker: w})
	}
	for id, milliCPU := range map[fleet.WorkerID]int64{"w1": 4000, "w2": 3000} {
		task := place.Task{Ref: ref("old-"+string(id), 1), Kind: "plan", Class: fleet.Standard, Resources: fleet.Resources{MilliCPU: milliCPU}}
		m.Step(now, place.ReservationRestored{Task: task, Worker: id})
	}
	urgent := func(name string) place.Task {
		return place.Task{Ref: ref(name, 1), Kind: "quote", Class: fleet.Urgent, Resources: fleet.Resources{MilliCPU: 1}}
	}
	d, err := m.Place(now, urgent("before"))
	assert.NilError(t, err)
	assert.Equal(t, d.Worker, fleet.WorkerID("empty"))
	m.Step(now, place.WorkerRemoved{ID: "empty"})
	m.Step(now, place.WorkerUpdated{Worker: shrunk})
	d, err = m.Place(now, urgent("after"))
	assert.NilError(t, err)
	assert.Equal(t, d.Worker, fleet.WorkerID("w2"))
}
