package reqs_test

import (
	"bytes"
	"encoding/csv"
	"testing"

	"gotest.tools/v3/assert"

	"lovagefork.example/bench/reqs"
)

// Guards against figures that do not repeat, and against a world in which a server gets requests beyond its slots.
func TestRoutesRepeatWithinSlots(t *testing.T) {
	var first, second bytes.Buffer
	for _, out := range []*bytes.Buffer{&first, &second} {
		for _, table := range reqs.CompareRouting(1, 4, 0.05) {
			assert.NilError(t, table.CSV(out))
		}
	}
	assert.Equal(t, first.String(), second.String())
	lines, err := csv.NewReader(&first).ReadAll()
	assert.NilError(t, err)
	for _, line := range lines {
		if line[3] == "beyond slots" {
			assert.Equal(t, line[5], "0", "%s: %s", line[1], line[2])
		}
	}
}
