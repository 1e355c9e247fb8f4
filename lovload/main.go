// Command lovload runs load and failure experiments against entry processes on loopback.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"lovagefork.example/lovload/chart"
	"lovagefork.example/lovload/drive"
	"lovagefork.example/lovload/plan"
	"lovagefork.example/lovload/tally"
)

// Exit codes.
const (
	exitFailed    = 1
	exitUsage     = 2
	exitViolation = 3
)

func main() {
	file, out, basePort := "", "", 0
	flaggy.SetName("lovload")
	flaggy.SetDescription("load and failure experiments against entry processes on loopback")
	flaggy.AddPositionalValue(&file, "plan", 1, true, "JSON file with the experiment")
	flaggy.String(&out, "o", "out", "directory for timeline.csv, timeline.svg and summary.json; none if empty")
	flaggy.Int(&basePort, "p", "base-port", "first port of the set under test, which {base+N} in the plan counts from")
	flaggy.Parse()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	p, err := plan.Load(file, basePort)
	if err != nil {
		log.Error("lovload: plan refused", "error", err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	violations, err := run(ctx, p, out, log)
	if err != nil {
		log.Error("lovload: experiment failed", "error", err)
		os.Exit(exitFailed)
	}
	if violations > 0 {
		os.Exit(exitViolation)
	}
}

type summary struct {
	Plan     string          `json:"plan"`
	Seed     uint64          `json:"seed"`
	Streams  []tally.Summary `json:"streams"`
	Jobs     map[string]int  `json:"job_states,omitempty"`
	Verified drive.VerifyResult   `json:"verified"`
}

func run(ctx context.Context, p plan.Plan, out string, log *slog.Logger) (violations int, err error) {
	d := drive.New(p, strconv.FormatInt(time.Now().UnixMilli(), 36), log)
	d.Run(ctx)
	s := summary{Plan: p.Name, Seed: p.Seed, Streams: d.Tally.Summaries(), Jobs: d.JobStates(ctx)}
	verified, verifyErr := d.Verify(ctx)
	s.Verified = verified
	for _, stream := range s.Streams {
		violations += stream.Outcomes[tally.OutcomeWrongAnswer]
	}
	violations += verified.Violations
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return violations, err
	}
	fmt.Println(string(data))
	if verifyErr != nil {
		return violations, verifyErr
	}
	if out == "" {
		return violations, nil
	}
	return violations, write(p, d, out, data)
}

func write(p plan.Plan, d *drive.Driver, out string, data []byte) error {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(out, "summary.json"), data, 0o644); err != nil {
		return err
	}
	interval := time.Duration(p.IntervalMS) * time.Millisecond
	points := d.Tally.Timeline(interval)
	csvFile, err := os.Create(filepath.Join(out, "timeline.csv"))
	if err != nil {
		return err
	}
	if err := tally.WriteCSV(csvFile, points); err != nil {
		_ = csvFile.Close()
		return err
	}
	if err := csvFile.Close(); err != nil {
		return err
	}
	var marks []time.Duration
	for _, f := range p.Faults {
		marks = append(marks, time.Duration(f.AtMS)*time.Millisecond)
	}
	return chart.Write(filepath.Join(out, "timeline.svg"), p.Name, points, interval, marks)
}
