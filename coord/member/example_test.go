package member_test

import (
	"fmt"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/member"
	"lovagefork.example/coord/plat"
)

func ExampleMachine_Workers() {
	now := time.Unix(0, 0)
	m := member.New()
	for _, state := range []fleet.HostState{fleet.HostLive, fleet.HostLeaving} {
		now = now.Add(time.Second)
		m.Step(now, member.HostsListed{SentAt: now, List: plat.HostList{Hosts: []fleet.Worker{{ID: "w1", State: state}}}})
		for _, status := range m.Workers() {
			fmt.Println(status.Worker.ID, status.Worker.State, status.Reason)
		}
	}
	// Output:
	// w1 live listed as live
	// w1 leaving marked as leaving
}
