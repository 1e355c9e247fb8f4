package keys_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/entryd/keys"
)

// writePair writes a self-signed certificate and its key into dir and returns both file names.
func writePair(t *testing.T, dir, name string, serial int64) (string, string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	certFile, keyFile := filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")
	assert.NilError(t, os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	assert.NilError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	return certFile, keyFile
}

// Guards against rotated certificates that take effect only after a restart, and against an invalid new file that
// replaces the working certificate.
func TestCertificateAfterRotation(t *testing.T) {
	dir := t.TempDir()
	now := time.Now()
	cert, key := writePair(t, dir, "p", 1)
	p, err := keys.Load(cert, key, slog.New(slog.DiscardHandler), keys.WithClock(func() time.Time { return now }))
	assert.NilError(t, err)
	first := p.Certificate()

	writePair(t, dir, "p", 2)
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(cert, later, later))
	assert.Equal(t, p.Certificate(), first)
	now = now.Add(11 * time.Second)
	second := p.Certificate()
	assert.Assert(t, second != first)

	assert.NilError(t, os.WriteFile(key, []byte("broken"), 0o600))
	now = now.Add(11 * time.Second)
	assert.Equal(t, p.Certificate(), second)
}

// Guards against links to a peer whose certificate is not signed by the configured CA: it could grant itself capacity.
func TestMutualTLSRejectsUntrustedPeer(t *testing.T) {
	dir := t.TempDir()
	log := slog.New(slog.DiscardHandler)
	cert, key := writePair(t, dir, "own", 1)
	trusted, err := keys.Load(cert, key, log)
	assert.NilError(t, err)
	trustedConfigs, err := keys.MutualTLS(trusted, cert)
	assert.NilError(t, err)
	untrustedCert, untrustedKey := writePair(t, dir, "foreign", 2)
	untrusted, err := keys.Load(untrustedCert, untrustedKey, log)
	assert.NilError(t, err)
	untrustedConfigs, err := keys.MutualTLS(untrusted, cert)
	assert.NilError(t, err)

	assert.NilError(t, handshake(t, trustedConfigs.Server, trustedConfigs.Client))
	assert.Assert(t, handshake(t, trustedConfigs.Server, untrustedConfigs.Client) != nil)
}

// handshake returns the server's error from a TLS handshake with the client.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	result := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			result <- err
			return
		}
		defer func() { _ = conn.Close() }()
		result <- conn.(*tls.Conn).Handshake()
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err == nil {
		defer func() { _ = conn.Close() }()
	}
	return <-result
}
