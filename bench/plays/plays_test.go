package plays_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lovagefork.example/bench/plays"
)

// standIn is a bench that writes a report with a worth of the seed divided by 100. It fails for seed 13.
const standIn = `#!/bin/sh
[ "$1" = build ] && exit 0
[ "$5" = 13 ] && echo "no such day" && exit 2
cat >"$7" <<JSON
{"G": 0.$5, "fault": null, "short": [], "breaks": {"HARM": ["a", "b"]}, "classes": [{"name": "urgent", "worth": 0.5}],
 "hints": ["8 jobs; 200 runs: 150 done, 10 failed, 40 stopped, 0 lapsed", "17 orders on pace; over their target, for 9 s in all"]}
JSON
`

func writeStandIn(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "bench")
	assert.NilError(t, os.WriteFile(path, []byte(standIn), 0o755))
	return path
}

func TestPlaysAreSummarized(t *testing.T) {
	plan := plays.Plan{Bench: writeStandIn(t), Repository: t.TempDir(), Sites: []string{"north.toml"}, Days: []string{"trouble-1"}, Seeds: "20-22", Parallel: 2}
	results, err := plan.Run()
	assert.NilError(t, err)
	assert.Equal(t, len(results), 3)
	assert.DeepEqual(t, results[0], plays.Result{
		Site: "north", Day: "trouble-1", Seed: 20, Worth: 0.2, ByClass: map[string]float64{"urgent": 0.5}, Broken: map[string]int{"HARM": 2},
		Runs: 200, Stopped: 40, Throttles: 17, LateS: 9,
	})
	saved := filepath.Join(t.TempDir(), "results")
	assert.NilError(t, plays.Save(saved, results))
	loaded, err := plays.Load(saved)
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded, results)

	var out strings.Builder
	assert.NilError(t, plays.Summarize(&out, results))
	assert.Assert(t, strings.Contains(out.String(), "| north | days with faults | 3 | 0.210 | 0.006 | urgent 0.500 | 20.0 % | 17 | 9 | 3 |"), out.String())
}

func TestFailedPlayIsReportedAndOthersAreKept(t *testing.T) {
	plan := plays.Plan{Bench: writeStandIn(t), Repository: t.TempDir(), Sites: []string{"north.toml"}, Days: []string{"quiet-1"}, Seeds: "12-14", Parallel: 1}
	results, err := plan.Run()
	var failed *plays.PlayError
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, failed.Seed, 13)
	assert.Assert(t, strings.Contains(failed.Output, "no such day"))
	assert.Equal(t, len(results), 2)
}

func TestBadPlansAreRefused(t *testing.T) {
	for field, plan := range map[string]plays.Plan{
		"seeds":      {Bench: "b", Sites: []string{"s"}, Days: []string{"d"}, Seeds: "24-21", Parallel: 1},
		"fleetbench": {Sites: []string{"s"}, Days: []string{"d"}, Seeds: "1", Parallel: 1},
		"site, day":  {Bench: "b", Seeds: "1", Parallel: 1},
		"parallel":   {Bench: "b", Sites: []string{"s"}, Days: []string{"d"}, Seeds: "1"},
	} {
		_, err := plan.Run()
		var refused *plays.PlanError
		assert.Assert(t, errors.As(err, &refused), field)
		assert.Equal(t, refused.Field, field)
	}
}

func TestOnlyPlaysOfBothSidesArePaired(t *testing.T) {
	before := []plays.Result{{Site: "north", Day: "scale-1", Seed: 1, Worth: 0.5}, {Site: "north", Day: "scale-1", Seed: 2, Worth: 0.6}}
	after := []plays.Result{{Site: "north", Day: "scale-1", Seed: 2, Worth: 0.8}, {Site: "north", Day: "scale-1", Seed: 3, Worth: 0.1}}
	var out strings.Builder
	assert.NilError(t, plays.Compare(&out, before, after))
	assert.Assert(t, strings.Contains(out.String(), "| north | scale-1 | 1 | 0.600 | 0.800 | +0.200 | 0.000 |"), out.String())
}
