package vnet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// segmentBytes is the largest part of a transfer that occupies a link at one go.
	segmentBytes = 4 << 10
	// windowSegments limits the segments of a connection that are sent and not received yet.
	windowSegments = 16
)

// Network connects hosts.
type Network struct {
	latency time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[net.Conn]struct{}
	closed    bool
	pumps     sync.WaitGroup
}

// Option changes a [Network] under construction.
type Option func(*Network)

// WithLatency sets how long a byte takes from one host to another, besides the time on their links.
func WithLatency(d time.Duration) Option { return func(n *Network) { n.latency = d } }

// New returns a network without hosts.
func New(opts ...Option) *Network {
	n := &Network{listeners: make(map[string]*listener), conns: make(map[net.Conn]struct{})}
	for _, opt := range opts {
		opt(n)
	}
	return n
}

// Close closes all connections and waits until the network's goroutines have ended.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	for c := range n.conns {
		_ = c.Close()
	}
	n.mu.Unlock()
	n.pumps.Wait()
}

// Host is an endpoint of a [Network].
type Host struct {
	network  *Network
	upload   *link
	download *link
}

// AddHost adds a host whose link carries a number of bits per second in each direction.
func (n *Network) AddHost(bitsPerSecond float64) *Host {
	return &Host{network: n, upload: &link{bytesPerSecond: bitsPerSecond / 8}, download: &link{bytesPerSecond: bitsPerSecond / 8}}
}

// Listen accepts connections at an address, which is an arbitrary name.
func (h *Host) Listen(address string) net.Listener {
	l := &listener{host: h, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.network.listeners[address] = l
	return l
}

// DialContext connects to an address. It has the signature of [net.Dialer.DialContext]; the network is ignored.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	h.network.mu.Lock()
	l := h.network.listeners[address]
	h.network.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "vnet", Err: syscall.ECONNREFUSED}
	}
	client, server := h.network.connect(h, l.host)
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		_ = client.Close()
		return nil, &net.OpError{Op: "dial", Net: "vnet", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		_ = client.Close()
		return nil, &net.OpError{Op: "dial", Net: "vnet", Err: ctx.Err()}
	}
}

// connect returns the two ends of a connection.
func (n *Network) connect(client, server *Host) (net.Conn, net.Conn) {
	clientEnd, clientNear := net.Pipe()
	serverEnd, serverNear := net.Pipe()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = clientEnd.Close()
		_ = serverEnd.Close()
	}
	n.conns[clientNear] = struct{}{}
	n.conns[serverNear] = struct{}{}
	n.pump(clientNear, serverNear, client.upload, server.download)
	n.pump(serverNear, clientNear, server.upload, client.download)
	return clientEnd, serverEnd
}

// segment is a part of a transfer between two links.
type segment struct {
	data   []byte
	arrive time.Time
}

// pump carries bytes from one end of a connection to the other until one of them is closed.
func (n *Network) pump(from, to net.Conn, upload, download *link) {
	segments := make(chan segment, windowSegments)
	n.pumps.Go(func() {
		defer close(segments)
		for {
			data := make([]byte, segmentBytes)
			count, err := from.Read(data)
			if err != nil {
				return
			}
			upload.pass(count)
			segments <- segment{data: data[:count], arrive: time.Now().Add(n.latency)}
		}
	})
	n.pumps.Go(func() {
		for s := range segments {
			time.Sleep(time.Until(s.arrive))
			download.pass(len(s.data))
			if _, err := to.Write(s.data); err != nil {
				break
			}
		}
		n.drop(from, to)
		for range segments {
			// The sender must not block.
			continue
		}
	})
}

// drop closes a connection.
func (n *Network) drop(ends ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range ends {
		_ = c.Close()
		delete(n.conns, c)
	}
}

// link is one direction of a host's link. Connections take turns on it, a segment at a time.
type link struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time
}

// pass returns when a number of bytes has passed the link, behind those that were before them.
func (l *link) pass(count int) {
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(count) / l.bytesPerSecond * float64(time.Second)))
	until := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// listener implements [net.Listener].
type listener struct {
	host     *Host
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements [net.Listener].
func (l *listener) Addr() net.Addr { return address(l.address) }

// address implements [net.Addr].
type address string

// Network implements [net.Addr].
func (address) Network() string { return "vnet" }

// String implements [net.Addr].
func (a address) String() string { return string(a) }
