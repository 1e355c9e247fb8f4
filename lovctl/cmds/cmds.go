package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"lovagefork.example/lovctl/entry"
	"lovagefork.example/lovctl/show"
)

// Exit codes of the command.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitConflict    = 4
	ExitNotFound     = 5
	ExitUnavailable = 6
	ExitOutcomeUnknown     = 7
	ExitAborted     = 8
)

const helpAppend = `
Exit codes:
  0  done
  1  other failure, such as a file that cannot be read
  2  wrong usage
  3  refused: an answer or a field is not allowed
  4  conflict: another operator was first, or the state does not allow it
  5  no such customer, service or job
  6  not run: no entry process could carry it out
  7  outcome unknown: repeat it with the same change or job id
  8  stopped by the operator

Environment:
  LOVCTL_ENTRY  addresses of entry processes, separated by commas, if --entry is not given`

// defaultEntry is the address of an entry process on the same host.
const defaultEntry = "127.0.0.1:7100"

// Streams are the terminal or files that the command reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// UsageError reports arguments that do not fit together.
type UsageError struct {
	Reason string
}

// Error returns the reason.
func (e *UsageError) Error() string { return "usage: " + e.Reason }

// errAborted reports that the operator declined.
var errAborted = errors.New("stopped by the operator; nothing was changed")

// errMissing reports a name that an otherwise successful answer does not contain.
var errMissing = errors.New("not found")

// app holds the settings that all subcommands share.
type app struct {
	Streams
	ctx     context.Context
	entries []string
	json    bool
	timeout time.Duration
	client  *entry.Client
	actions []action
}

type action struct {
	command *flaggy.Subcommand
	run     func() error
}

// Run carries out one invocation with the arguments after the program's name, and returns its exit code.
//
// For wrong usage, --help and --version it ends the process itself with [ExitUsage] or [ExitDone].
func Run(ctx context.Context, version string, args []string, streams Streams) int {
	a := &app{Streams: streams, ctx: ctx, timeout: 8 * time.Second}
	parser := a.parser(version)
	if err := parser.ParseArgs(args); err != nil {
		return a.report(&UsageError{Reason: err.Error()})
	}
	i := slices.IndexFunc(a.actions, func(c action) bool { return c.command.Used })
	if i < 0 {
		parser.ShowHelpAndExit("A subcommand is missing.")
	}
	a.client = entry.New(a.addresses(), a.timeout)
	return a.report(a.actions[i].run())
}

func (a *app) parser(version string) *flaggy.Parser {
	p := flaggy.NewParser("lovctl")
	p.Version = version
	p.Description = "Configures services, runs batch jobs, and shows the scheduler of lovagefork."
	p.AdditionalHelpAppend = helpAppend
	p.StringSlice(&a.entries, "e", "entry", "Address ip:port or URL of an entry process; repeat it for failover, in the order given.")
	p.Bool(&a.json, "j", "json", "Print answers as JSON.")
	p.Duration(&a.timeout, "t", "timeout", "Time limit of the call at one entry process.")
	p.AttachSubcommand(a.configCommands(), 1)
	p.AttachSubcommand(a.serviceCommands(), 1)
	p.AttachSubcommand(a.jobCommands(), 1)
	p.AttachSubcommand(a.schedulerCommands(), 1)
	return p
}

// group adds subcommands to one that only holds them.
func group(name, description string, commands ...*flaggy.Subcommand) *flaggy.Subcommand {
	g := flaggy.NewSubcommand(name)
	g.Description = description
	for _, c := range commands {
		g.AttachSubcommand(c, 1)
	}
	return g
}

// command defines a subcommand that runs the given function.
func (a *app) command(name, description string, run func() error) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	a.actions = append(a.actions, action{command: c, run: run})
	return c
}

func (a *app) addresses() []string {
	if len(a.entries) == 0 {
		a.entries = []string{os.Getenv("LOVCTL_ENTRY")}
	}
	var all []string
	for _, e := range a.entries {
		for address := range strings.SplitSeq(e, ",") {
			if address = strings.TrimSpace(address); address != "" {
				all = append(all, address)
			}
		}
	}
	if len(all) == 0 {
		return []string{defaultEntry}
	}
	return all
}

// get reads from any entry process; for JSON output it prints the answer and returns done.
func (a *app) get(path string, into any) (done bool, err error) {
	data, err := a.client.Call(a.ctx, entry.RetryAlways, http.MethodGet, path, nil)
	if err != nil {
		return false, err
	}
	if a.json {
		show.JSON(a.Out, data)
		return true, nil
	}
	return false, json.Unmarshal(data, into)
}

func (a *app) say(format string, args ...any) {
	_, _ = fmt.Fprintf(a.Err, format+"\n", args...)
}

// report prints an error and returns its exit code.
func (a *app) report(err error) int {
	if err == nil {
		return ExitDone
	}
	code := exitCode(err)
	if a.json {
		data, _ := json.Marshal(struct {
			Error string `json:"error"`
			Exit  int    `json:"exit"`
		}{err.Error(), code})
		show.JSON(a.Err, data)
		return code
	}
	a.say("lovctl: %v", err)
	return code
}

func (a *app) printJSON(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	show.JSON(a.Out, data)
	return nil
}
