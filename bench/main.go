// Command bench compares policies with baselines and measures capacity in virtual time, and plays days on an external
// bench.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/integrii/flaggy"

	"lovagefork.example/bench/colo"
	"lovagefork.example/bench/plays"
	"lovagefork.example/bench/reqs"
	"lovagefork.example/bench/slope"
	"lovagefork.example/bench/table"
)

// defaultSeeds is small enough for a full comparison to take less than five minutes on five cores.
const defaultSeeds = 3

type options struct {
	seeds    int
	parallel int
	only     string
	metrics  []string
	csv      bool
	svg      string

	plan    plays.Plan
	out     string
	against string
}

func main() {
	s := options{seeds: defaultSeeds, parallel: max(runtime.NumCPU()/2, 1)}
	flaggy.SetName("bench")
	flaggy.SetDescription("compares policies with baselines and measures capacity, in virtual time")
	policies := flaggy.NewSubcommand("policies")
	policies.Description = "compare policies with baselines"
	policies.Int(&s.seeds, "n", "seeds", "number of seeds")
	policies.Int(&s.parallel, "p", "parallel", "runs at a time")
	policies.String(&s.only, "o", "only", "run only this experiment: placement, routing or overload")
	policies.StringSlice(&s.metrics, "m", "metric", "write only this metric, with variants as columns; may be repeated")
	policies.Bool(&s.csv, "c", "csv", "write CSV instead of Markdown")
	policies.String(&s.svg, "s", "svg", "also write an SVG plot of each table into this directory")
	flaggy.AttachSubcommand(policies, 1)
	capacity := flaggy.NewSubcommand("capacity")
	capacity.Description = "measure processor time, memory and bytes of the parts at several sizes"
	capacity.Bool(&s.csv, "c", "csv", "write CSV instead of Markdown")
	flaggy.AttachSubcommand(capacity, 1)
	days := s.addPlays()
	flaggy.Parse()
	var err error
	switch {
	case policies.Used:
		err = comparePolicies(s)
	case capacity.Used && s.csv:
		err = slope.CSV(os.Stdout, slope.Measure())
	case capacity.Used:
		err = slope.Markdown(os.Stdout, slope.Measure())
	case days.Used:
		err = playDays(s)
	default:
		flaggy.ShowHelpAndExit("a subcommand is needed")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// addPlays adds the subcommand that plays days on an external bench.
func (s *options) addPlays() *flaggy.Subcommand {
	s.plan = plays.Plan{Repository: ".", Seeds: "21-24", Parallel: s.parallel}
	c := flaggy.NewSubcommand("plays")
	c.Description = "play days of fault injection on an external bench, and summarize or pair them"
	c.String(&s.plan.Bench, "b", "fleetbench", "path of the bench")
	c.String(&s.plan.Repository, "r", "repository", "checkout to play")
	c.StringSlice(&s.plan.Sites, "", "site", "site file; may be repeated")
	c.StringSlice(&s.plan.Days, "d", "day", "name of a day; may be repeated")
	c.String(&s.plan.Seeds, "n", "seeds", "a seed or a range of seeds")
	c.Int(&s.plan.Parallel, "p", "parallel", "plays at a time")
	c.String(&s.plan.Reason, "w", "why", "reason, for the journal of the bench")
	c.Bool(&s.plan.ChargeProcessorTime, "c", "cpu", "charge processor time")
	c.String(&s.out, "o", "out", "save the results in this file")
	c.String(&s.against, "a", "against", "also compare with the results in this file")
	flaggy.AttachSubcommand(c, 1)
	return c
}

func playDays(s options) error {
	results, playErr := s.plan.Run()
	if s.out != "" {
		if err := plays.Save(s.out, results); err != nil {
			return errors.Join(playErr, err)
		}
	}
	if err := plays.Summarize(os.Stdout, results); err != nil {
		return errors.Join(playErr, err)
	}
	if s.against == "" {
		return playErr
	}
	before, err := plays.Load(s.against)
	if err != nil {
		return errors.Join(playErr, err)
	}
	return errors.Join(playErr, plays.Compare(os.Stdout, before, results))
}

func comparePolicies(s options) error {
	experiments := []struct {
		name string
		run  func(seeds, parallel int) []*table.Table
	}{
		{"routing", func(n, parallel int) []*table.Table { return reqs.CompareRouting(n, parallel, reqs.Loads...) }},
		{"overload", reqs.CompareAdmission},
		{"placement", func(n, parallel int) []*table.Table { return colo.Compare(n, parallel, colo.DefaultHorizon) }},
	}
	for _, e := range experiments {
		if s.only != "" && s.only != e.name {
			continue
		}
		for _, t := range e.run(s.seeds, s.parallel) {
			if err := write(t, s); err != nil {
				return err
			}
		}
	}
	return nil
}

func write(t *table.Table, s options) error {
	if s.svg != "" {
		if err := plot(t, s.svg); err != nil {
			return err
		}
	}
	if s.csv {
		return t.CSV(os.Stdout)
	}
	if len(s.metrics) == 0 {
		return t.Markdown(os.Stdout)
	}
	for _, m := range s.metrics {
		if err := t.Pivot(os.Stdout, m); err != nil {
			return err
		}
	}
	return nil
}

func plot(t *table.Table, directory string) error {
	name := strings.ReplaceAll(strings.ToLower(t.Title), " ", "-") + ".svg"
	f, err := os.Create(filepath.Join(directory, name))
	if err != nil {
		return err
	}
	if err := t.SVG(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
