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

// Error reports a certificate or key file that cannot be used; the key itself is never part of it.
type Error struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *Error) Error() string { return fmt.Sprintf("keys: %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Pair is a certificate with its key, read again when a file changes.
type Pair struct {
	certificate, key string
	log              *slog.Logger

	mu       sync.Mutex
	loaded   *tls.Certificate
	modified [2]time.Time
	checked  time.Time
	now      func() time.Time
}

// recheckInterval bounds how often handshakes look at the files.
const recheckInterval = 10 * time.Second

// Load reads a pair of PEM files, or returns an [*Error].
func Load(certificate, key string, log *slog.Logger, opts ...Option) (*Pair, error) {
	p := &Pair{certificate: certificate, key: key, log: log, now: time.Now}
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

// Option changes a [Pair] under construction.
type Option func(*Pair)

// WithClock sets the clock that paces the checks for changed files.
func WithClock(now func() time.Time) Option {
	return func(p *Pair) { p.now = now }
}

func (p *Pair) modTimes() ([2]time.Time, error) {
	var times [2]time.Time
	for i, file := range []string{p.certificate, p.key} {
		info, err := os.Stat(file)
		if err != nil {
			return times, &Error{File: file, Cause: err}
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

func (p *Pair) load(modified [2]time.Time) error {
	certificate, err := tls.LoadX509KeyPair(p.certificate, p.key)
	if err != nil {
		return &Error{File: p.certificate, Cause: err}
	}
	p.loaded, p.modified, p.checked = &certificate, modified, p.now()
	return nil
}

// Current returns the latest usable certificate; a broken replacement is logged and the former one is kept.
func (p *Pair) Certificate() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now().Sub(p.checked) < recheckInterval {
		return p.loaded
	}
	p.checked = p.now()
	modified, err := p.modTimes()
	if err == nil && modified != p.modified {
		err = p.load(modified)
	}
	if err != nil {
		p.log.Warn("keys: replacement refused, former certificate kept", "error", err)
	}
	return p.loaded
}

// Server returns a configuration for listeners towards callers.
func (p *Pair) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.Certificate(), nil },
	}
}

// Peers holds the configurations of links between entry processes, where each side proves its certificate.
type PeerConfigs struct {
	Server *tls.Config
	Client *tls.Config
}

// Mutual returns the configurations of links whose two sides must show a certificate signed by the authorities in caFile.
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
