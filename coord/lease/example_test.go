package lease_test

import (
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/lease"
)

func ExampleMachine_Valid() {
	now := time.Unix(0, 0)
	m := lease.New(lease.Member{EntryHost: "e1", Boot: "boot-1", Zone: "a"}, []fleet.PartitionID{"a/0"})
	m.Step(now, lease.Tick{})

	// The session is valid for TTL-DriftMargin from the time at which the grant request was sent.
	m.Step(now.Add(time.Second), lease.Granted{ID: 7, SentAt: now})
	for _, age := range []time.Duration{8 * time.Second, 9 * time.Second} {
		fmt.Println(age, m.Valid(now.Add(age)))
	}
	// Output:
	// 8s true
	// 9s false
}
