// Command soak plays random faults against real entry processes on loopback and checks what callers and workers see.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"lovagefork.example/lovload/chart"
	"lovagefork.example/lovload/tally"
	"lovagefork.example/soak/check"
	"lovagefork.example/soak/plan"
	"lovagefork.example/soak/stand"
)

// Exit codes.
const (
	exitFailed    = 1
	exitUsage     = 2
	exitViolation = 3
)

// maxPrinted limits the violations of a plan that are printed.
const maxPrinted = 20

func main() {
	program, outDir, planFile := "bin/entryd", "out/soak", ""
	var seed uint64
	hosts, workers, seeds, load := 3, 18, 1, 30*time.Second
	flaggy.SetName("soak")
	flaggy.SetDescription("random faults against real entry processes on loopback")
	flaggy.String(&program, "e", "entryd", "entry program under test")
	flaggy.String(&outDir, "o", "out", "directory for the plan, the logs, the observations and the report of each seed")
	flaggy.String(&planFile, "p", "plan", "JSON file with a plan, which replaces the seed")
	flaggy.UInt64(&seed, "s", "seed", "seed of the first plan; drawn from the time if 0")
	flaggy.Int(&seeds, "n", "seeds", "number of consecutive seeds to play")
	flaggy.Duration(&load, "f", "for", "duration of the load of a plan; a play takes longer until all jobs have ended")
	flaggy.Int(&hosts, "", "hosts", "number of entry hosts")
	flaggy.Int(&workers, "", "workers", "number of workers")
	flaggy.Parse()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	plans, err := choosePlans(planFile, seed, seeds, hosts, workers, load)
	if err != nil {
		log.Error("soak: no plan", "error", err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	broken := 0
	for _, p := range plans {
		count, err := playPlan(ctx, p, program, outDir)
		if err != nil {
			log.Error("soak: not played", "plan", p.Name, "error", err)
			os.Exit(exitFailed)
		}
		broken += count
	}
	if broken > 0 {
		os.Exit(exitViolation)
	}
}

// choosePlans returns the plan of a file, or those of consecutive seeds.
func choosePlans(file string, seed uint64, count, hosts, workers int, load time.Duration) ([]plan.Plan, error) {
	if file != "" {
		p, err := plan.Load(file)
		return []plan.Plan{p}, err
	}
	if seed == 0 {
		seed = uint64(time.Now().UnixMilli())
	}
	var plans []plan.Plan
	for i := range uint64(max(0, count)) {
		p := plan.Draw(seed+i, hosts, workers, load)
		if err := p.Validate(p.Name); err != nil {
			return nil, err
		}
		plans = append(plans, p)
	}
	return plans, nil
}

// playPlan plays a plan, writes its results and returns the number of violations.
func playPlan(ctx context.Context, p plan.Plan, program, outDir string) (int, error) {
	dir := filepath.Join(outDir, p.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, err
	}
	if err := p.Save(filepath.Join(dir, "plan.json")); err != nil {
		return 0, err
	}
	report, err := stand.Run(ctx, p, program, dir)
	if err != nil {
		return 0, err
	}
	fmt.Printf("%s: %d faults, %d starts, %d of them of tasks that were done, jobs %v, %d violations in %.0f s\n",
		p.Name, len(p.Faults), report.Starts, report.Repeats, report.Jobs, len(report.Violations), report.Took.Seconds())
	fmt.Printf("  struck: %s; %d schedulers elected\n", hitsText(report.Hits), report.Elections)
	fmt.Printf("  first starts: %s; long-running tasks run again: %s; %d runs lapsed, %d starts not answered, %d stalls of the machine\n",
		waitsText(report.FirstStarts), waitsText(report.Restarts), report.Lapsed, report.Unanswered, report.Stalls)
	for _, l := range report.Leaderships {
		fmt.Printf("  %7.3fs %s, %g Mbit/s, starts by second: %v\n", l.At.Seconds(), l.Host, l.LinkMbps, l.StartsPerSecond)
	}
	for i, v := range report.Violations {
		if i == maxPrinted {
			fmt.Printf("  %d more in report.json\n", len(report.Violations)-i)
			break
		}
		fmt.Println("  " + v.String())
	}
	return len(report.Violations), writeReport(report, dir)
}

// waitsText returns a summary of waits in a few words.
func waitsText(w check.Waits) string {
	return fmt.Sprintf("%d, p50 %.1f s, p95 %.1f s, max %.1f s", w.Count, w.P50.Seconds(), w.P95.Seconds(), w.Max.Seconds())
}

// hitsText returns the counts of all kinds of faults in one line.
func hitsText(all []stand.Hits) string {
	var texts []string
	for _, h := range all {
		texts = append(texts, h.String())
	}
	return strings.Join(texts, ", ")
}

// writeReport writes the report and the timeline, with a line at each fault.
func writeReport(r stand.Report, dir string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), data, 0o644); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(dir, "timeline.csv"))
	if err != nil {
		return err
	}
	if err := errors.Join(tally.WriteCSV(out, r.Timeline), out.Close()); err != nil {
		return err
	}
	var faultTimes []time.Duration
	for _, f := range r.Plan.Faults {
		faultTimes = append(faultTimes, r.LoadBegan+time.Duration(f.AtMS)*time.Millisecond)
	}
	return chart.Write(filepath.Join(dir, "timeline.svg"), r.Plan.Name, r.Timeline, time.Second, faultTimes)
}
