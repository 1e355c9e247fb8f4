// Command entryd runs the entry daemon of lovagefork.
package main

import (
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"lovagefork.example/coord/infra"
	"lovagefork.example/entryd/daemon"
	"lovagefork.example/entryd/hosted"
	"lovagefork.example/entryd/setup"
	"lovagefork.example/entryd/stats"
	"lovagefork.example/platform"
)

// exitSettings is the exit code for invalid settings.
const exitSettings = 2

// hostedCommand is the first argument that selects the mode hosted by the users' platform: the daemon then takes its
// settings from the platform's file instead of from flags.
const hostedCommand = "hosted"

func main() {
	if len(os.Args) > 1 && os.Args[1] == hostedCommand {
		runHosted()
		return
	}
	settings, err := setup.Parse(os.Args[1:], os.Environ())
	if err != nil {
		fail(err)
	}
	daemon.New(settings, os.Stderr).Run()
}

func runHosted() {
	// SIGHUP must not end the process, neither before the settings are read nor while it stops.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	read := func() (infra.Settings, error) { return platform.ReadSettings(platform.SettingsPath()) }
	settings, err := read()
	if err != nil {
		fail(err)
	}
	var machines infra.Machines
	if settings.MachinesAddr != "" {
		machines = platform.NewMachines(settings.MachinesAddr)
	}
	traffic := stats.NewTraffic()
	hosted.New(hosted.Platform{
		Machines: machines,
		Settings: settings,
		Reload:   read,
		Hangups:  hangups,
		Traffic:  traffic,
		Store:    platform.NewStore(settings.StoreAddr, platform.WithStoreTraffic(traffic.Add)),
		Agents:   platform.NewAgents(platform.WithAgentsTraffic(traffic.Add), platform.WithSourceIP(settings.IP), platform.WithLink(settings.LinkBitsPerSecond)),
		Policy:   platform.NewPolicyService(settings.PolicyAddr),
		Format:   platform.Format{},
		Ingress: func(jobs infra.Jobs, log *slog.Logger) http.Handler {
			return platform.NewIngress(jobs, log)
		},
		Readiness: platform.NewReadinessHandler,
	}, os.Stdout).Run()
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "entryd:", err)
	os.Exit(exitSettings)
}
