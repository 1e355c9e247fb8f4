package daemon

import (
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gorilla/mux"

	"lovagefork.example/entryd/drain"
	"lovagefork.example/entryd/keys"
	"lovagefork.example/entryd/peers"
	"lovagefork.example/entryd/setup"
)

// Limits of all HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// ListenError reports that the daemon cannot listen on the address given by a flag.
type ListenError struct {
	Flag    string
	Address string
	Cause   error
}

// Error returns the flag, the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("--%s: cannot listen on %s: %v", e.Flag, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// server is an HTTP server with the address and the flag of its listener.
type server struct {
	flag    string
	address string
	http    *http.Server
	log     *slog.Logger
	// connections is nil if the server needs no graceful shutdown.
	connections *drain.Connections
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

// start opens the listener before it returns, so that a second process on the same address fails before it uses the
// slots that belong to this address. Requests are served in the background.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return &ListenError{Flag: s.flag, Address: s.address, Cause: err}
	}
	if s.connections != nil {
		listener = s.connections.Attach(s.http, listener.(*net.TCPListener))
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

// tlsConfigs holds the TLS configurations of the listeners and of outgoing peer links; nil means plain TCP.
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

// newDebugServer returns the server of the Go profiler. The profiler has a listener of its own, because callers must
// not reach it.
func newDebugServer(s setup.Settings, log *slog.Logger) *server {
	r := mux.NewRouter()
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)
	r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	return newServer("debug-listen", s.DebugListen, r, nil, log)
}
