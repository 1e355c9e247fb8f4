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
func play(t *testing.T, p plan.Plan) stand.Report {
	t.Helper()
	dir := t.TempDir()
	report, err := stand.Run(t.Context(), p, program, dir)
	assert.NilError(t, err)
	for _, v := range report.Violations {
		t.Errorf("%s", v)
	}
	assert.Assert(t, report.Starts > 0 && report.Jobs["completed"] > 0, "nothing ran: %+v", report)
	if !t.Failed() {
		return report
	}
	kept, err := os.MkdirTemp("", "soak-failed")
	assert.NilError(t, err)
	assert.NilError(t, os.CopyFS(kept, os.DirFS(dir)))
	t.Logf("the logs and observations are in %s", kept)
	return report
}

// playKept plays the plans that a pattern of file names matches.
func playKept(t *testing.T, pattern string) {
	t.Helper()
	files, err := filepath.Glob(pattern)
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

// Guards against the faults that earlier soaks have found; each plan names its own.
func TestKeptPlans(t *testing.T) {
	t.Parallel()
	playKept(t, "../plans/*.json")
}

// Guards against long-running tasks of workers that are lost for good, which stay down because schedulers are lost too.
func TestKeptPlansOfLostHosts(t *testing.T) {
	t.Parallel()
	playKept(t, "../plans/lost/*.json")
}

// Guards against calls that were meant for a former life of a worker and act on the next one, which is cut off soon after its
// return.
func TestKeptPlansOfFormerLives(t *testing.T) {
	t.Parallel()
	playKept(t, "../plans/former-life/restart-then-cut-short.json")
}

// Guards against the same beside calls that are carried out seconds late.
func TestKeptPlansOfFormerLivesBesideLateOrders(t *testing.T) {
	t.Parallel()
	playKept(t, "../plans/former-life/restart-beside-late-orders-short.json")
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

// Guards against faults that miss and count as hits, by which soaks are blind: kills of a scheduler that is gone, faults of
// draining workers while none drains, notices that do not reach the store; and against workers that return without the faults
// that their machine is in.
func TestHitsAreCounted(t *testing.T) {
	t.Parallel()
	p := plan.Plan{
		Name: "hits", Seed: 1, Hosts: 3, Workers: 12, LoadMS: 13000, JobsPerSecond: 3, MinTasks: 10, MaxTasks: 12, MaxWorkMS: 600,
		Faults: []plan.Fault{
			{Kind: plan.WorkersSilent, AtMS: 500, ForMS: 300, Count: 2, Among: plan.WorkerDrain},
			{Kind: plan.HostKill, AtMS: 1000, Count: 1, OnLeader: true},
			{Kind: plan.HostKill, AtMS: 1100, Count: 1, OnLeader: true},
			{Kind: plan.WorkersRefuse, AtMS: 4000, ForMS: 3000, Count: 2, CutsStore: true},
			{Kind: plan.WorkerDrain, AtMS: 4200, ForMS: 500, Count: 2, Among: plan.WorkersRefuse},
			{Kind: plan.WorkersSilent, AtMS: 5500, ForMS: 500, Count: 2, Among: plan.WorkersRefuse},
			{Kind: plan.WorkerDrain, AtMS: 7500, ForMS: 3000, Count: 3},
			{Kind: plan.WorkersOneWay, AtMS: 9000, ForMS: 2000, Count: 5, Among: plan.WorkerDrain},
			{Kind: plan.WorkerCrash, AtMS: 9500, ForMS: 1500, Count: 2},
			{Kind: plan.WorkersSilent, AtMS: 10000, ForMS: 3000, Count: 2, Among: plan.WorkerCrash},
		},
	}
	report := play(t, p)
	assert.DeepEqual(t, report.Hits, []stand.Hits{
		{Kind: plan.HostKill, Of: "scheduler", Faults: 2, Missed: 1, Aimed: 2, Struck: 1},
		{Kind: plan.WorkerCrash, Faults: 1, Aimed: 2, Struck: 2},
		{Kind: plan.WorkerDrain, Faults: 1, Aimed: 3, Struck: 3},
		{Kind: plan.WorkerDrain, Of: "workers_refuse", Faults: 1, Missed: 1, Aimed: 2},
		{Kind: plan.WorkersOneWay, Of: "workers_drain", Faults: 1, Aimed: 5, Struck: 3},
		{Kind: plan.WorkersRefuse, Faults: 1, Aimed: 2, Struck: 2},
		{Kind: plan.WorkersSilent, Of: "workers_crash", Faults: 1, Aimed: 2, Struck: 2},
		{Kind: plan.WorkersSilent, Of: "workers_drain", Faults: 1, Missed: 1, Aimed: 2},
		{Kind: plan.WorkersSilent, Of: "workers_refuse", Faults: 1, Missed: 1, Aimed: 2},
	})
	assert.Assert(t, report.Elections >= 2, "%d elections", report.Elections)
	assert.Equal(t, report.Hits[0].String(), "host_kill of scheduler 1/2 (1 of 2 faults missed)")
	jobs := 0
	for _, n := range report.Jobs {
		jobs += n
	}
	assert.Assert(t, report.Starts >= 7*jobs, "%d starts of %d jobs", report.Starts, jobs)
}

// Guards against faults that miss workers soon after their return, and against dark workers that do not return.
func TestDarkWorkersReturn(t *testing.T) {
	t.Parallel()
	p := plan.Plan{
		Name: "dark-workers", Seed: 1, Hosts: 1, Workers: 6, LoadMS: 6000, JobsPerSecond: 2, MaxWorkMS: 600,
		Faults: []plan.Fault{
			{Kind: plan.WorkerCrash, AtMS: 1000, ForMS: 600, Count: 2, Silent: true},
			{Kind: plan.WorkersSilent, AtMS: 2100, ForMS: 300, Count: 3, Among: plan.WorkerCrash, CutsStore: true},
			{Kind: plan.WorkerCrash, AtMS: 2900, ForMS: 600, Count: 1, Among: plan.WorkerCrash, Silent: true},
			{Kind: plan.WorkersSilent, AtMS: 5700, ForMS: 300, Count: 1, Among: plan.WorkerCrash},
		},
	}
	report := play(t, p)
	assert.DeepEqual(t, report.Hits, []stand.Hits{
		{Kind: plan.WorkerCrash, Faults: 1, Aimed: 2, Struck: 2},
		{Kind: plan.WorkerCrash, Of: "workers_crash", Faults: 1, Aimed: 1, Struck: 1},
		{Kind: plan.WorkersSilent, Of: "workers_crash", Faults: 2, Missed: 1, Aimed: 4, Struck: 2},
	})
}

// Guards against hosts and workers that count as lost and return, against losses that leave nobody to serve callers, and against
// plans without long-running jobs to lose.
func TestLossesAreForGood(t *testing.T) {
	t.Parallel()
	p := plan.Plan{
		Name: "losses", Seed: 1, Hosts: 3, Workers: 8, LoadMS: 11000, JobsPerSecond: 2, MaxWorkMS: 600, LastingJobs: 2,
		Faults: []plan.Fault{
			{Kind: plan.HostLoss, AtMS: 500, ForMS: 700, Count: 1, OnLeader: true},
			{Kind: plan.HostLoss, AtMS: 4500, Count: 5},
			{Kind: plan.WorkerLoss, AtMS: 9000, Count: 3},
			{Kind: plan.WorkerLoss, AtMS: 9500, Count: 3},
		},
	}
	report := play(t, p)
	assert.DeepEqual(t, report.Hits, []stand.Hits{
		{Kind: plan.HostLoss, Faults: 1, Aimed: 5, Struck: 2},
		{Kind: plan.HostLoss, Of: "scheduler", Faults: 1, Aimed: 1, Struck: 1},
		{Kind: plan.WorkerLoss, Faults: 2, Aimed: 6, Struck: 4},
	})
	assert.Assert(t, report.Jobs["cancelled"] >= 2, "%v", report.Jobs)
}

// Guards against links without an effect on real processes, and against settings that do not name them.
func TestLinksLimitStarts(t *testing.T) {
	t.Parallel()
	p := plan.Plan{
		Name: "links", Seed: 1, Hosts: 1, Workers: 12, LoadMS: 3000, JobsPerSecond: 8, MinTasks: 10, MaxTasks: 12, MaxWorkMS: 600, SpecBytes: 2400,
		HostGroups: []plan.HostGroup{{Count: 1, LinkMbps: 1, MilliCPU: 192}},
	}
	report := play(t, p)
	assert.Assert(t, report.FirstStarts.Count >= 100, "%+v", report.FirstStarts)
	assert.Equal(t, len(report.Leaderships), 1)
	assert.Equal(t, report.Leaderships[0].LinkMbps, 1.0)
	// 125,000 bytes carry 52 specs.
	for _, count := range report.Leaderships[0].StartsPerSecond {
		assert.Assert(t, count <= 56, "%v", report.Leaderships[0].StartsPerSecond)
	}
}

// Guards against hosts that answer while they are dark, and against killed ones that return too early.
func TestDarkAndKilledHosts(t *testing.T) {
	t.Parallel()
	p := plan.Plan{
		Name: "dark", Seed: 1, Hosts: 3, Workers: 8, LoadMS: 15000, JobsPerSecond: 2, MaxWorkMS: 600,
		HostGroups: []plan.HostGroup{{Count: 1}, {Count: 2}},
		Faults: []plan.Fault{
			{Kind: plan.HostDark, AtMS: 1000, ForMS: 4000, Count: 1, OnLeader: true},
			{Kind: plan.HostKill, AtMS: 11000, ForMS: 3000, Count: 3},
		},
	}
	report := play(t, p)
	assert.DeepEqual(t, report.Hits, []stand.Hits{
		{Kind: plan.HostDark, Of: "scheduler", Faults: 1, Aimed: 1, Struck: 1},
		{Kind: plan.HostKill, Faults: 1, Aimed: 3, Struck: 3},
	})
	assert.Equal(t, report.Elections, 3)
	last := report.Leaderships[2].At - report.LoadBegan
	assert.Assert(t, last >= 14*time.Second, "%v", last)
}
