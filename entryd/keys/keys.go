package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"
)

// Error reports a certificate or key file that cannot be used. It never contains key material.
type Error struct {
	File  string
	Cause error
}

// Error returns the file name and the cause.
func (e *Error) Error() string { return fmt.Sprintf("keys: %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Pair holds a certificate and its private key, which are reloaded when a file changes.
type Pair struct {
	certFile, keyFile string
	log               *slog.Logger

	mu             sync.Mutex
	cert           *tls.Certificate
	loadedModTimes [2]time.Time
	checkedAt      time.Time
	now            func() time.Time
}

// recheckInterval is the shortest time between two checks for changed files, which TLS handshakes trigger.
const recheckInterval = 10 * time.Second

// Load reads the PEM files of a certificate and its private key. Its error is an [*Error].
func Load(certFile, keyFile string, log *slog.Logger, opts ...Option) (*Pair, error) {
	p := &Pair{certFile: certFile, keyFile: keyFile, log: log, now: time.Now}
	for _, opt := range opts {
		opt(p)
	}
	modified, err := p.modTimes()
	if err != nil {
		return nil, err
	}
	if err := p.load(modified); err != nil {
		return nil, err
	}
	return p, nil
}

// Option configures a [Pair].
type Option func(*Pair)

// WithClock sets the clock that determines when the files are checked for changes.
func WithClock(now func() time.Time) Option {
	return func(p *Pair) { p.now = now }
}

func (p *Pair) modTimes() ([2]time.Time, error) {
	var times [2]time.Time
	for i, file := range []string{p.certFile, p.keyFile} {
		info, err := os.Stat(file)
		if err != nil {
			return times, &Error{File: file, Cause: err}
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

func (p *Pair) load(modified [2]time.Time) error {
	cert, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return &Error{File: p.certFile, Cause: err}
	}
	p.cert, p.loadedModTimes, p.checkedAt = &cert, modified, p.now()
	return nil
}

// Certificate returns the current certificate. At intervals of at least recheckInterval it checks the files and reloads
// them after a change; a failed reload is logged and the previous certificate stays in use.
func (p *Pair) Certificate() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now().Sub(p.checkedAt) < recheckInterval {
		return p.cert
	}
	p.checkedAt = p.now()
	modified, err := p.modTimes()
	if err == nil && modified != p.loadedModTimes {
		err = p.load(modified)
	}
	if err != nil {
		p.log.Warn("keys: reloading the certificate failed, keeping the previous one", "error", err)
	}
	return p.cert
}

// ServerConfig returns the configuration of a server that requires no client certificate.
func (p *Pair) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.Certificate(), nil },
	}
}

// PeerConfigs holds the mutual TLS configurations of links between entry processes, for either end of a link.
type PeerConfigs struct {
	Server *tls.Config
	Client *tls.Config
}

// MutualTLS returns configurations with which both sides must present a certificate signed by a CA in caFile. Its error
// is an [*Error].
func MutualTLS(p *Pair, caFile string) (PeerConfigs, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return PeerConfigs{}, &Error{File: caFile, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return PeerConfigs{}, &Error{File: caFile, Cause: fmt.Errorf("no PEM certificate found")}
	}
	server := p.ServerConfig()
	server.MinVersion = tls.VersionTLS13
	server.ClientAuth = tls.RequireAndVerifyClientCert
	server.ClientCAs = pool
	client := &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.Certificate(), nil },
	}
	return PeerConfigs{Server: server, Client: client}, nil
}
