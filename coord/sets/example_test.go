package sets_test

import (
	"fmt"

	"lovagefork.example/coord/sets"
)

func ExampleSet_With() {
	before := sets.Of("a")
	after := before.With("b")
	fmt.Println(sets.Sorted(before), sets.Sorted(after))
	// Output: [a] [a b]
}
