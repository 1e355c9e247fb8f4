package stand_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/soak/plan"
	"lovagefork.example/soak/stand"
)

// program is the entry program under test.
var program string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "entryd")
	if out, err := exec.Command("go", "build", "-o", program, "lovagefork.example/entryd").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build entryd: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// play plays a plan and fails the test for each broken promise.
func play(t *testing.T, p plan.Plan) {
	t.Helper()
	dir := t.TempDir()
	report, err := stand.Run(t.Context(), p, program, dir)
	assert.NilError(t, err)
	for _, v := range report.Violations {
		t.Errorf("%s", v)
	}
	assert.Assert(t, report.Starts > 0 && report.Jobs["completed"] > 0, "nothing ran: %+v", report)
	if !t.Failed() {
		return
	}
	kept, err := os.MkdirTemp("", "soak-failed")
	assert.NilError(t, err)
	assert.NilError(t, os.CopyFS(kept, os.DirFS(dir)))
	t.Logf("the logs and observations are in %s", kept)
}

// Guards against the faults that earlier soaks have found; each plan names its own.
func TestKeptPlans(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("../plans/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		p, err := plan.Load(file)
		assert.NilError(t, err)
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			play(t, p)
		})
	}
}

// Guards against faults of several kinds that overlap, by two plans that are the same in each run.
func TestDrawnPlans(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		p := plan.Draw(seed, 3, 12, 20*time.Second)
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			play(t, p)
		})
	}
}
