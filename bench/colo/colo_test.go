package colo_test

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/bench/colo"
)

// Guards against figures that do not repeat: a map order or a shared random source that leaks into a run.
func TestCompareRepeats(t *testing.T) {
	var first, second bytes.Buffer
	for _, out := range []*bytes.Buffer{&first, &second} {
		for _, table := range colo.Compare(1, 4, 5*time.Minute) {
			assert.NilError(t, table.CSV(out))
		}
	}
	assert.Equal(t, first.String(), second.String())
}
