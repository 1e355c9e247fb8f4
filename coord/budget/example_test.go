package budget_test

import (
	"fmt"
	"time"

	"lovagefork.example/coord/budget"
)

func ExampleMachine_Share() {
	start := time.Unix(0, 0)
	m := budget.New(budget.Rates{Writes: 300, Reads: 1500}, 6)

	// A process without a session is limited to its part of the reserved rates.
	fmt.Println(m.Share(start).Writes < 300/6)
	// Output: true
}
