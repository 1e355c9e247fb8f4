package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gorilla/mux"

	"lovagefork.example/entryd/keys"
	"lovagefork.example/entryd/peers"
	"lovagefork.example/entryd/setup"
)

// Limits of the listeners towards callers and peers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// ListenError reports an address that the daemon cannot listen on.
type ListenError struct {
	Flag    string
	Address string
	Cause   error
}

// Error names the flag, the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("--%s: cannot listen on %s: %v", e.Flag, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// server is an HTTP server with its listener.
type server struct {
	flag    string
	address string
	http    *http.Server
	log     *slog.Logger
}

func newServer(flag, address string, handler http.Handler, tlsConfig *tls.Config, log *slog.Logger) *server {
	return &server{
		flag: flag, address: address, log: log,
		http: &http.Server{
			Handler:           handler,
			TLSConfig:         tlsConfig,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		},
	}
}

// start listens at once, so that a second process on the same address fails before it uses the address's share of slots.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return &ListenError{Flag: s.flag, Address: s.address, Cause: err}
	}
	if s.http.TLSConfig != nil {
		listener = tls.NewListener(listener, s.http.TLSConfig)
	}
	go func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("daemon: listener failed", "address", s.address, "error", err)
		}
	}()
	return nil
}

func (s *server) stop(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// tlsConfigs holds the TLS configurations of the listeners; nil stands for plain TCP.
type tlsConfigs struct {
	callers *tls.Config
	peers   keys.PeerConfigs
}

func newTLS(s setup.Settings, log *slog.Logger) (tlsConfigs, error) {
	var configs tlsConfigs
	if s.CertFile != "" {
		pair, err := keys.Load(s.CertFile, s.KeyFile, log)
		if err != nil {
			return configs, err
		}
		configs.callers = pair.ServerConfig()
	}
	if s.PeerCertFile == "" {
		return configs, nil
	}
	pair, err := keys.Load(s.PeerCertFile, s.PeerKeyFile, log)
	if err != nil {
		return configs, err
	}
	configs.peers, err = keys.MutualTLS(pair, s.PeerCAFile)
	return configs, err
}

func newPeerServer(s setup.Settings, mesh *peers.Mesh, configs tlsConfigs, log *slog.Logger) *server {
	r := mux.NewRouter()
	r.Handle("/peer/v1", mesh).Methods(http.MethodGet)
	return newServer("peer-listen", s.PeerListen, r, configs.peers.Server, log)
}

// newDebugServer serves the Go profiler, which must not be reachable for callers.
func newDebugServer(s setup.Settings, log *slog.Logger) *server {
	r := mux.NewRouter()
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)
	r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	return newServer("debug-listen", s.DebugListen, r, nil, log)
}
