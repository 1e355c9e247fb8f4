// Command fakebe emulates the backend servers of the platform's workers, for tests and demonstrations.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"

	"lovagefork.example/fakebe/besrv"
)

func main() {
	host, control, zones := "127.0.0.1", "127.0.0.1:7402", "a,b,c"
	basePort, perZone := 7500, 4
	var seed uint64 = 1
	flaggy.SetName("fakebe")
	flaggy.SetDescription("stand-in for the backend servers of the platform's workers")
	flaggy.String(&host, "", "host", "IP number of all listeners")
	flaggy.Int(&basePort, "", "base-port", "port of the first worker; each further worker has the next one")
	flaggy.String(&control, "", "control", "loopback address of the control page")
	flaggy.String(&zones, "", "zones", "availability zones, separated by commas, as for fakewk")
	flaggy.Int(&perZone, "", "workers-per-zone", "number of workers in each availability zone, as for fakewk")
	flaggy.UInt64(&seed, "", "seed", "seed of the random faults")
	flaggy.Parse()
	var workers []string
	for _, zone := range strings.Split(zones, ",") {
		for i := range perZone {
			workers = append(workers, fmt.Sprintf("%s-w%d", zone, i))
		}
	}
	pool := besrv.New(workers, seed)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for i, worker := range workers {
		serve(log, net.JoinHostPort(host, strconv.Itoa(basePort+i)), pool.Server(worker))
	}
	serve(log, control, &http.Server{Handler: pool.Control()})
	log.Info("fakebe: serving", "servers", len(workers), "base_port", basePort, "control", control)
	<-ctx.Done()
}

func serve(log *slog.Logger, address string, s *http.Server) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		log.Error("fakebe: cannot listen", "address", address, "error", err)
		os.Exit(1)
	}
	go func() { _ = s.Serve(l) }()
}
