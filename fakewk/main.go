// Command fakewk emulates the worker agents and the host list of the platform, for tests and demonstrations.
package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/fakewk/agent"
)

func main() {
	listen, control, zones := "127.0.0.1:7400", "127.0.0.1:7401", "a,b,c"
	perZone, rackSize, cores, memoryGB, accelerators := 4, 2, 64, 250, 0
	slots, connections, backendPort := 8, 64, 7500
	agentURL, backendURL := "", "http://127.0.0.1:{port}"
	listLag, usageLag := 2*time.Second, time.Second
	flaggy.SetName("fakewk")
	flaggy.SetDescription("stand-in for the platform's workers and host list")
	flaggy.String(&listen, "", "listen", "address of the worker agents and the host list")
	flaggy.String(&control, "", "control", "loopback address of the control page")
	flaggy.String(&zones, "", "zones", "availability zones, separated by commas")
	flaggy.Int(&perZone, "", "workers-per-zone", "number of workers in each availability zone")
	flaggy.Int(&rackSize, "", "workers-per-rack", "number of workers in each rack")
	flaggy.Int(&cores, "", "cores", "cores of a worker")
	flaggy.Int(&memoryGB, "", "memory-gb", "memory of a worker in GB")
	flaggy.Int(&accelerators, "", "accelerators", "accelerators of a worker")
	flaggy.Int(&slots, "", "slots", "requests that a worker's backend server takes at a time")
	flaggy.Int(&connections, "", "connections", "connections that a worker's backend server takes")
	flaggy.String(&agentURL, "", "agent-url", "agent URL template, default the listen address; {worker} is replaced")
	flaggy.String(&backendURL, "", "backend-url", "backend server URL template; {worker} and {port} are replaced")
	flaggy.Int(&backendPort, "", "backend-base-port", "{port} of the first worker; each further worker has the next one")
	flaggy.Duration(&listLag, "", "list-lag", "age at which the host list is published again")
	flaggy.Duration(&usageLag, "", "usage-lag", "age at which a usage report is renewed")
	flaggy.Parse()
	if agentURL == "" {
		agentURL = "http://" + listen
	}
	pool := agent.New(agent.Layout{
		Zones: strings.Split(zones, ","), PerZone: perZone, RackSize: rackSize, Slots: slots, Connections: connections,
		Capacity: fleet.Resources{
			MilliCPU: int64(cores) * 1000, MemoryBytes: int64(memoryGB) * 1_000_000_000, Accelerators: int64(accelerators),
		},
		AgentURL: agentURL, BackendURL: backendURL, BackendPort: backendPort, UsageLag: usageLag,
	}, listLag)
	run(pool, listen, control)
}

func run(pool *agent.Pool, listen, control string) {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go pool.Run(ctx)
	for address, handler := range map[string]http.Handler{listen: pool.Handler(), control: pool.Control()} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			log.Error("fakewk: cannot listen", "address", address, "error", err)
			os.Exit(1)
		}
		go func() { _ = http.Serve(l, handler) }()
	}
	log.Info("fakewk: serving", "listen", listen, "control", control)
	<-ctx.Done()
}
