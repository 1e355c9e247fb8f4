// Command fakekv serves an in-memory key-value store with the etcd v3 JSON interface, for tests and demonstrations.
package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"lovagefork.example/fakekv/kvsrv"
)

func main() {
	listen, control := "127.0.0.1:7379", "127.0.0.1:7380"
	flaggy.SetName("fakekv")
	flaggy.SetDescription("in-memory stand-in for the platform's key-value store")
	flaggy.String(&listen, "", "listen", "address of the store interface")
	flaggy.String(&control, "", "control", "loopback address of the control page")
	flaggy.Parse()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	srv := kvsrv.New()
	go srv.Run(ctx)
	for address, handler := range map[string]http.Handler{listen: srv, control: srv.Control()} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			log.Error("fakekv: cannot listen", "address", address, "error", err)
			os.Exit(1)
		}
		go func() { _ = http.Serve(l, handler) }()
	}
	log.Info("fakekv: serving", "listen", listen, "control", control)
	<-ctx.Done()
}
