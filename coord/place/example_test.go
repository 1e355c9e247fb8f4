package place_test

import (
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/place"
	"lovagefork.example/coord/plat"
)

func ExampleMachine_Place() {
	now := time.Unix(0, 0)
	m := place.New(place.Spread{})
	size := fleet.Resources{MilliCPU: 4000, MemoryBytes: 8 << 30}
	m.Step(now, place.WorkerUpdated{Worker: fleet.Worker{ID: "w1", State: fleet.HostLive, Capacity: size}})

	for _, id := range []fleet.TaskID{"job/0", "job/1"} {
		decision, err := m.Place(now, place.Task{
			Ref: plat.TaskRef{Task: id, Attempt: 1}, Kind: "report", Class: fleet.Standard, Customer: "acme",
			Resources: fleet.Resources{MilliCPU: 3000, MemoryBytes: 1 << 30},
		})
		fmt.Println(id, decision.Worker, err != nil)
	}
	// Output:
	// job/0 w1 false
	// job/1  true
}
