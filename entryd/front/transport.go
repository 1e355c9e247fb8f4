package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lovagefork.example/coord/fleet"
)

const (
	dialTimeout            = 2 * time.Second
	idleConnTimeout        = 30 * time.Second
	maxResponseHeaderBytes = 1 << 20
)

// transports holds one connection pool a worker for its kept connections, and one transport for single-use ones.
type transports struct {
	singleUse *http.Transport

	mu    sync.Mutex
	pools map[fleet.WorkerID]pool
}

type pool struct {
	transport   *http.Transport
	connections int
}

func newTransports() *transports {
	single := newTransport()
	single.DisableKeepAlives = true
	return &transports{singleUse: single, pools: make(map[fleet.WorkerID]pool)}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            dialGated,
		DisableCompression:     true,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// of returns the connection pool of a worker with at most the given number of connections.
func (t *transports) forWorker(id fleet.WorkerID, connections int) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[id]
	if ok && p.connections == connections {
		return p.transport
	}
	if ok {
		p.transport.CloseIdleConnections()
	}
	transport := newTransport()
	transport.MaxConnsPerHost = connections
	transport.MaxIdleConnsPerHost = connections
	t.pools[id] = pool{transport: transport, connections: connections}
	return transport
}

// keep closes the pools of workers that are gone or leaving.
func (t *transports) closeUnavailable(workers []fleet.Worker) {
	live := make(map[fleet.WorkerID]bool, len(workers))
	for _, w := range workers {
		live[w.ID] = w.State == fleet.HostLive
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.pools {
		if !live[id] {
			p.transport.CloseIdleConnections()
			delete(t.pools, id)
		}
	}
}

func (t *transports) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.singleUse.CloseIdleConnections()
	for _, p := range t.pools {
		p.transport.CloseIdleConnections()
	}
}

// gate tells whether a byte of a request was written, and can close so that none will be.
type writeGate struct{ state atomic.Int32 }

const (
	gateUnwritten int32 = iota
	gateWritten
	gateClosed
)

var errGateClosed = errors.New("request was given up before its first byte")

// pass records a write and reports whether it may happen.
func (g *writeGate) allowWrite() bool {
	return g.state.Load() == gateWritten || g.state.CompareAndSwap(gateUnwritten, gateWritten)
}

// shut reports whether nothing was written, and makes sure that nothing will be.
func (g *writeGate) closeUnwritten() bool { return g.state.CompareAndSwap(gateUnwritten, gateClosed) }

type writeGateKey struct{}

func contextWithGate(ctx context.Context, g *writeGate) context.Context {
	return context.WithValue(ctx, writeGateKey{}, g)
}

// gatedConn passes the first write only while the request is not given up.
type gatedConn struct {
	net.Conn
	gate *writeGate
}

// Write fails if the request was given up before.
func (c gatedConn) Write(b []byte) (int, error) {
	if !c.gate.allowWrite() {
		return 0, errGateClosed
	}
	return c.Conn.Write(b)
}

func dialGated(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if g, ok := ctx.Value(writeGateKey{}).(*writeGate); ok {
		return gatedConn{Conn: conn, gate: g}, nil
	}
	return conn, nil
}
