package jobs_test

import (
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/jobs"
	"lovagefork.example/coord/ledger"
	"lovagefork.example/coord/place"
)

func ExampleMachine_Step() {
	now := time.Unix(0, 0)
	size := fleet.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}
	m := jobs.New("a/0", 1, place.New(place.Spread{}))
	m.SetPermit(jobs.Permit{Write: true, Renew: true})
	capacities := map[fleet.PartitionID][]fleet.Resources{"a/0": {size}}
	queue := []jobs.Event{
		jobs.WorkerListed{Worker: fleet.Worker{ID: "w1", Zone: "a", State: fleet.HostLive, Capacity: size, AgentURL: "http://w1"}},
		jobs.Capacities{Workers: capacities},
		jobs.Submit{Call: 1, Spec: ledger.Spec{Job: "j", Customer: "acme", Kind: "report", Tasks: 1, Resources: size, EstimatedMS: 1000}},
	}
	for i := 0; i < 100 && len(queue) > 0; i++ {
		for _, effect := range m.Step(now, queue[0]) {
			switch effect := effect.(type) {
			case jobs.Append:
				queue = append(queue, jobs.Committed{Records: effect.Records})
			case jobs.ReadStatus:
				queue = append(queue, jobs.StatusDone{Worker: effect.Worker.ID, Epoch: effect.Epoch, SentAt: now})
			case jobs.Start:
				fmt.Println("start", effect.Start.Task, "attempt", effect.Start.Attempt, "on", effect.Worker.ID)
				return
			}
		}
		queue = queue[1:]
		if len(queue) == 0 {
			now = now.Add(ledger.TickInterval)
			queue = append(queue, jobs.Tick{})
		}
	}
	// Output: start j/0 attempt 1 on w1
}
