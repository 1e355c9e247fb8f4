package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit is less than the 120 s that a case may take.
const timeLimit = 110 * time.Second

// trial is the deployment of one case.
type trial struct {
	record  *recorder
	history *history
	store   *store
	workers []*worker
	entries []*entry
	command []string
	client  *client
	// trouble is false if the case plays without the disruption.
	trouble bool
}

// verdict lists how the rule was broken; it is empty if the rule held.
type verdict []string

// cases are the cases by name. Each returns an error if it could not run.
var cases = map[string]struct {
	workers int
	play    func(*trial) (verdict, error)
}{
	"images":  {workers: 6, play: playImages},
	"timed":   {workers: 2, play: playTimed},
	"backlog": {workers: 2, play: playBacklog},
	"drained": {workers: 16, play: playDrained},
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "directory for the logs of the entry processes; a temporary one if empty")
	flag.Parse()
	os.Exit(run(*name, *root, *out, *logs))
}

func run(name, root, out, logs string) int {
	c, found := cases[name]
	if !found {
		fmt.Println("not run: no such case:", name)
		return exitNotRun
	}
	record, err := newRecorder(out)
	if err != nil {
		fmt.Println("not run:", err)
		return exitNotRun
	}
	dir := logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Println("not run:", err)
			return exitNotRun
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	t := &trial{record: record, history: &history{}, store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	defer t.stop()
	// A case that takes too long, or is ended from outside, still ends its processes.
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-ended:
		case <-time.After(timeLimit):
		}
		fmt.Println("not run: ended before the case was over")
		t.stop()
		os.Exit(exitNotRun)
	}()
	if err := t.start(c.workers, root, dir); err != nil {
		fmt.Println("not run:", err)
		return exitNotRun
	}
	broken, err := c.play(t)
	switch {
	case err != nil:
		record.add("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			record.add("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
		return exitBroken
	}
	record.add("held")
	fmt.Println("held")
	return exitHeld
}

// start brings up the store with a configuration, the workers and three entry processes.
func (t *trial) start(workers int, root, dir string) error {
	t.store.put("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "batch", "host": queueHost, "prefix": queuePrefix, "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0,
			"service": service, "max_attempts": 4, "stretch_factor": 2,
		}},
		"services": []any{map[string]any{"name": service, "enforces_capacity": false}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	for n := range workers {
		w, err := newWorker(fmt.Sprintf("w%d", n), "127.0.0.1:0", t.store, t.record, t.history)
		if err != nil {
			return err
		}
		t.workers = append(t.workers, w)
	}
	command, err := deployCommand(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	command[0] = filepath.Join(root, command[0])
	t.command = command
	for n := range 3 {
		e, err := newEntry(n, dir, t.store, t.record)
		if err != nil {
			return err
		}
		if err := e.start(command); err != nil {
			return err
		}
		t.entries = append(t.entries, e)
	}
	for _, e := range t.entries {
		if !e.awaitReady(10 * time.Second) {
			return errors.New(e.name + " is not ready")
		}
	}
	t.client = newClient(t.entries, t.record)
	// The scheduler is elected and has heard from all workers.
	time.Sleep(4 * time.Second)
	return nil
}

// stop ends all processes that this trial started.
func (t *trial) stop() {
	for _, e := range t.entries {
		e.close()
	}
}
