package colo_test

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/bench/colo"
)

// The results must depend on the seed only: the iteration order of a map or a random source shared by concurrent runs
// would change them.
func TestCompareRepeats(t *testing.T) {
	var first, second bytes.Buffer
	for _, out := range []*bytes.Buffer{&first, &second} {
		for _, table := range colo.Compare(1, 4, 5*time.Minute) {
			assert.NilError(t, table.CSV(out))
		}
	}
	assert.Equal(t, first.String(), second.String())
}
