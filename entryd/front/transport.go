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

// transports holds a pool of keep-alive connections for each worker, and one transport for single-use connections.
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
	singleUse := newTransport()
	singleUse.DisableKeepAlives = true
	return &transports{singleUse: singleUse, pools: make(map[fleet.WorkerID]pool)}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            dialGated,
		DisableCompression:     true,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// forWorker returns the connection pool of a worker. If the limit of connections has changed, it replaces the pool.
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

// closeUnavailable closes the pools of workers that are not in the list or not live.
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

// writeGate records whether a byte of a request was written; while none was, it can be closed to prevent any write.
type writeGate struct{ state atomic.Int32 }

const (
	gateUnwritten int32 = iota
	gateWritten
	gateClosed
)

var errGateClosed = errors.New("request was given up before its first byte")

// allowWrite reports whether a write is allowed, and records it.
func (g *writeGate) allowWrite() bool {
	return g.state.Load() == gateWritten || g.state.CompareAndSwap(gateUnwritten, gateWritten)
}

// closeUnwritten closes the gate if nothing was written, and reports whether it did.
func (g *writeGate) closeUnwritten() bool { return g.state.CompareAndSwap(gateUnwritten, gateClosed) }

type writeGateKey struct{}

func contextWithGate(ctx context.Context, g *writeGate) context.Context {
	return context.WithValue(ctx, writeGateKey{}, g)
}

// gatedConn is a connection whose writes fail once its gate is closed.
type gatedConn struct {
	net.Conn
	gate *writeGate
}

// Write writes to the connection, or returns errGateClosed without writing.
func (c gatedConn) Write(b []byte) (int, error) {
	if !c.gate.allowWrite() {
		return 0, errGateClosed
	}
	return c.Conn.Write(b)
}

// dialGated dials a connection that is subject to the gate in ctx, if there is one.
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
