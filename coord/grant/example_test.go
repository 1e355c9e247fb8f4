package grant_test

import (
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
)

func ExampleShareOf() {
	roster := []grant.Member{{Host: "e1", Zone: "a"}, {Host: "e2", Zone: "a"}, {Host: "e3", Zone: "b"}}
	worker := fleet.Worker{ID: "w1", Zone: "a", Slots: 8, Connections: 64}
	for _, member := range roster {
		fmt.Println(member.Host, grant.ShareOf(roster, member.Host, worker).Slots)
	}
	// Output:
	// e1 4
	// e2 4
	// e3 0
}

func ExampleMachine_Step() {
	start := time.Unix(0, 0)
	roster := []grant.Member{{Host: "e1", Zone: "a"}}
	m := grant.New("e1", "boot-1", roster, start)
	m.Step(start, grant.WorkersObserved{Workers: []fleet.Worker{{ID: "w1", Zone: "a", Slots: 1, Connections: 8}}})

	// The own share opens once loans of a former process at this address have ended.
	now := start.Add(time.Minute)
	for ticket := range uint64(2) {
		switch m.Step(now, grant.Acquire{Ticket: ticket, Worker: "w1", Until: now.Add(time.Second)})[0].(type) {
		case grant.Acquired:
			fmt.Println("taken")
		case grant.NoSlot:
			fmt.Println("full")
		}
	}
	// Output:
	// taken
	// full
}
