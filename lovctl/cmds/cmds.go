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

// Exit codes of lovctl.
const (
	ExitDone           = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitRefused        = 3
	ExitConflict       = 4
	ExitNotFound       = 5
	ExitUnavailable    = 6
	ExitOutcomeUnknown = 7
	ExitAborted        = 8
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

// defaultEntry is the address that is used if neither --entry nor LOVCTL_ENTRY is given: an entry process on the same
// host.
const defaultEntry = "127.0.0.1:7100"

// Streams holds the standard input, output and error of the command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// UsageError reports invalid or inconsistent arguments.
type UsageError struct {
	Reason string
}

// Error returns the reason with the prefix "usage: ".
func (e *UsageError) Error() string { return "usage: " + e.Reason }

// errAborted reports that the operator declined the change or interrupted the command.
var errAborted = errors.New("stopped by the operator; nothing was changed")

// errNotFound reports a name that a successful response does not contain.
var errNotFound = errors.New("not found")

// app holds the streams, settings and client that all subcommands share.
type app struct {
	Streams
	ctx     context.Context
	entries []string
	json    bool
	timeout time.Duration
	client  *entry.Client
	actions []action
}

// action binds a subcommand to the function that runs it.
type action struct {
	command *flaggy.Subcommand
	run     func() error
}

// Run parses args, which exclude the program name, runs the selected subcommand and returns the exit code.
//
// Usage errors that the argument parser detects, --help and --version exit the process with [ExitUsage] or [ExitDone].
func Run(ctx context.Context, version string, args []string, streams Streams) int {
	a := &app{Streams: streams, ctx: ctx, timeout: 8 * time.Second}
	parser := a.parser(version)
	if err := parser.ParseArgs(args); err != nil {
		return a.reportError(&UsageError{Reason: err.Error()})
	}
	i := slices.IndexFunc(a.actions, func(c action) bool { return c.command.Used })
	if i < 0 {
		parser.ShowHelpAndExit("A subcommand is missing.")
	}
	a.client = entry.New(a.entryAddresses(), a.timeout)
	return a.reportError(a.actions[i].run())
}

func (a *app) parser(version string) *flaggy.Parser {
	p := flaggy.NewParser("lovctl")
	p.Version = version
	p.Description = "Configures services, runs batch jobs, and shows the scheduler of lovagefork."
	p.AdditionalHelpAppend = helpAppend
	p.StringSlice(&a.entries, "e", "entry", "Address ip:port or URL of an entry process; repeat the flag for failover in the given order.")
	p.Bool(&a.json, "j", "json", "Print responses as JSON.")
	p.Duration(&a.timeout, "t", "timeout", "Time limit of the call to one entry process.")
	p.AttachSubcommand(a.configCommands(), 1)
	p.AttachSubcommand(a.serviceCommands(), 1)
	p.AttachSubcommand(a.jobCommands(), 1)
	p.AttachSubcommand(a.schedulerCommands(), 1)
	return p
}

// group returns a subcommand that only contains other subcommands.
func group(name, description string, commands ...*flaggy.Subcommand) *flaggy.Subcommand {
	g := flaggy.NewSubcommand(name)
	g.Description = description
	for _, c := range commands {
		g.AttachSubcommand(c, 1)
	}
	return g
}

// command returns a subcommand and registers the function that runs it.
func (a *app) command(name, description string, run func() error) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	a.actions = append(a.actions, action{command: c, run: run})
	return c
}

// entryAddresses returns the addresses of --entry, else those of LOVCTL_ENTRY, else [defaultEntry].
func (a *app) entryAddresses() []string {
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

// get sends a GET request to the first entry process that responds. With --json it prints the response and returns
// done, otherwise it decodes the response into the given value.
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

// messagef prints a line for the operator to standard error.
func (a *app) messagef(format string, args ...any) {
	_, _ = fmt.Fprintf(a.Err, format+"\n", args...)
}

// reportError prints an error and returns its exit code; nil gives [ExitDone] and prints nothing.
func (a *app) reportError(err error) int {
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
	a.messagef("lovctl: %v", err)
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
