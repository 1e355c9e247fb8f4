// Command entryd is the entry daemon of lovagefork.
package main

import (
	"fmt"
	"os"

	"lovagefork.example/entryd/daemon"
	"lovagefork.example/entryd/setup"
)

// exitSettings is the exit code for settings that are not allowed.
const exitSettings = 2

func main() {
	settings, err := setup.Parse(os.Args[1:], os.Environ())
	if err != nil {
		fmt.Fprintln(os.Stderr, "entryd:", err)
		os.Exit(exitSettings)
	}
	daemon.New(settings, os.Stderr).Run()
}
