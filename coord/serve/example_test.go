package serve_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/grant"
	"lovagefork.example/coord/serve"
)

func ExampleMachine_Step() {
	now := time.Unix(0, 0)
	self := grant.Member{Host: "e1", Zone: "a"}
	m := serve.New(serve.Config{
		Self: self, Boot: "boot-1", Roster: []grant.Member{self}, Random: rand.New(rand.NewPCG(1, 2)),
	}, now)
	m.Step(now, serve.FleetObserved{Workers: []fleet.Worker{
		{ID: "w1", Zone: "a", State: fleet.HostLive, Slots: 8, Connections: 64},
	}})
	now = now.Add(time.Minute)
	m.Step(now, serve.Tick{})
	for _, effect := range m.Step(now, serve.Arrived{Request: serve.Request{
		ID: 1, Service: "acme/quotes", Customer: "acme", Class: fleet.Urgent, Deadline: now.Add(time.Second),
	}}) {
		if send, ok := effect.(serve.Send); ok {
			fmt.Println("send to", send.Worker.ID)
		}
	}
	// Output: send to w1
}
