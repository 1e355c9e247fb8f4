package plays

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"lovagefork.example/bench/table"
)

// Plan says what to play. Bench is the path of the bench, Repository that of the checkout to play, and Seeds a range
// such as 21-24. Parallel is the number of plays at a time. Reason is recorded in the journal of the bench.
type Plan struct {
	Bench      string
	Repository string
	Sites      []string
	Days       []string
	Seeds      string
	Parallel   int
	Reason     string
	// ChargeProcessorTime counts the processor time that a play takes. Results are then less repeatable.
	ChargeProcessorTime bool
}

// PlanError reports a plan that cannot be played.
type PlanError struct{ Field, Reason string }

func (e *PlanError) Error() string { return e.Field + ": " + e.Reason }

// PlayError reports a play that the bench could not carry out, with the end of its output.
type PlayError struct {
	Site, Day string
	Seed      int
	Output    string
	Err       error
}

func (e *PlayError) Error() string {
	return fmt.Sprintf("%s %s, seed %d: %v: %s", e.Site, e.Day, e.Seed, e.Err, e.Output)
}

func (e *PlayError) Unwrap() error { return e.Err }

func (p Plan) seeds() ([]int, error) {
	first, last, isRange := strings.Cut(p.Seeds, "-")
	if !isRange {
		last = first
	}
	from, err := strconv.Atoi(first)
	if err != nil {
		return nil, &PlanError{"seeds", strconv.Quote(p.Seeds) + " is neither a number nor a range"}
	}
	to, err := strconv.Atoi(last)
	if err != nil || to < from {
		return nil, &PlanError{"seeds", strconv.Quote(p.Seeds) + " is neither a number nor a range"}
	}
	var seeds []int
	for s := from; s <= to; s++ {
		seeds = append(seeds, s)
	}
	return seeds, nil
}

// Run plays every day of every site with every seed. Plays that fail are missing in the results and are reported in the
// error.
func (p Plan) Run() ([]Result, error) {
	seeds, err := p.seeds()
	switch {
	case err != nil:
		return nil, err
	case p.Bench == "":
		return nil, &PlanError{"fleetbench", "the path of the bench is needed"}
	case len(p.Sites) == 0 || len(p.Days) == 0:
		return nil, &PlanError{"site, day", "at least one of each is needed"}
	case p.Parallel < 1:
		return nil, &PlanError{"parallel", "at least one play at a time is needed"}
	}
	bench, err := filepath.Abs(p.Bench)
	if err != nil {
		return nil, fmt.Errorf("path of the bench: %w", err)
	}
	if err := p.command(bench, "build").Run(); err != nil {
		return nil, fmt.Errorf("building %s: %w", p.Repository, err)
	}
	reports, err := os.MkdirTemp("", "plays")
	if err != nil {
		return nil, fmt.Errorf("directory for reports: %w", err)
	}
	defer func() { _ = os.RemoveAll(reports) }()

	var results []Result
	for _, site := range p.Sites {
		for _, day := range p.Days {
			for _, seed := range seeds {
				results = append(results, Result{Site: site, Day: day, Seed: seed})
			}
		}
	}
	failures := make([]error, len(results))
	table.Parallel(len(results), p.Parallel, func(i int) {
		failures[i] = p.play(bench, filepath.Join(reports, strconv.Itoa(i)), &results[i])
	})
	var played []Result
	for i := range results {
		if failures[i] == nil {
			results[i].Site = strings.TrimSuffix(filepath.Base(results[i].Site), ".toml")
			played = append(played, results[i])
		}
	}
	return played, errors.Join(failures...)
}

func (p Plan) command(bench string, args ...string) *exec.Cmd {
	c := exec.Command(bench, args...)
	c.Dir = p.Repository
	return c
}

// maxOutput limits the output of a failed play that is reported, in bytes.
const maxOutput = 2000

func (p Plan) play(bench, reportPath string, r *Result) error {
	site, err := filepath.Abs(r.Site)
	if err != nil {
		return fmt.Errorf("path of the site: %w", err)
	}
	args := []string{"run", site, r.Day, "--seed", strconv.Itoa(r.Seed), "--report", reportPath, "--jobs", "1"}
	if !p.ChargeProcessorTime {
		args = append(args, "--no-cpu")
	}
	if p.Reason != "" {
		args = append(args, "--why", p.Reason)
	}
	out, err := p.command(bench, args...).CombinedOutput()
	if _, statErr := os.Stat(reportPath); statErr != nil {
		out = out[max(0, len(out)-maxOutput):]
		return &PlayError{r.Site, r.Day, r.Seed, string(out), errors.Join(err, statErr)}
	}
	return readReport(reportPath, r)
}

// Save writes results as JSON lines.
func Save(path string, results []Result) error {
	var lines strings.Builder
	enc := json.NewEncoder(&lines)
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return fmt.Errorf("encoding results: %w", err)
		}
	}
	if err := os.WriteFile(path, []byte(lines.String()), 0o644); err != nil {
		return fmt.Errorf("saving results: %w", err)
	}
	return nil
}

// Load reads results that [Save] has written.
func Load(path string) ([]Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("loading results: %w", err)
	}
	defer func() { _ = f.Close() }()
	var results []Result
	dec := json.NewDecoder(f)
	for {
		var r Result
		err := dec.Decode(&r)
		if errors.Is(err, io.EOF) {
			return results, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: result %d: %w", path, len(results)+1, err)
		}
		results = append(results, r)
	}
}
