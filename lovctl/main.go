// Command lovctl lets operators configure services, run batch jobs and inspect the scheduler of lovagefork.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"lovagefork.example/lovctl/cmds"
)

// version is set at build time.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(cmds.Run(ctx, version, os.Args[1:], cmds.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
}
