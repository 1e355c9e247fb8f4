package retry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lovagefork.example/coord/retry"
)

func ExampleBackoff_Next() {
	b := retry.NewBackoff(100*time.Millisecond, time.Second, rand.New(rand.NewPCG(1, 2)))
	for _, bound := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond} {
		delay := b.Next()
		fmt.Println(delay >= bound/2 && delay <= bound)
	}
	// Output:
	// true
	// true
}
