package route_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/route"
)

func ExampleMachine_Eligible() {
	now := time.Unix(0, 0)
	m := route.New("a", rand.New(rand.NewPCG(1, 2)))
	m.Step(now, route.Observed{Workers: []fleet.Worker{
		{ID: "w1", Zone: "a", State: fleet.HostLive},
		{ID: "w2", Zone: "a", State: fleet.HostLeaving},
	}})
	fmt.Println(m.Eligible(now, "w1"), m.Eligible(now, "w2"))
	// Output: true false
}
