package admit_test

import (
	"fmt"
	"time"

	"lovagefork.example/coord/admit"
	"lovagefork.example/coord/fleet"
)

func ExampleMachine_Next() {
	now := time.Unix(0, 0)
	m := admit.New()
	for id, class := range []fleet.Class{fleet.Deferrable, fleet.Urgent} {
		m.Step(now, admit.Push{Item: admit.Item{
			ID: uint64(id), Class: class, Customer: "acme", Deadline: now.Add(time.Second), Cost: time.Millisecond,
		}})
	}
	item, ok := m.Next(now, func(admit.Item) bool { return true })
	fmt.Println(item.Class, ok)
	// Output: urgent true
}
