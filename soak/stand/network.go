package stand

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"

	"lovagefork.example/soak/links"
)

// network is a part of the loopback network that one soak has for itself, 127.a.b.0/24.
type network struct {
	a, b int
	lock net.Listener
}

// The last octets of the addresses of the first host, of all workers, of the store, and of the lock of a network.
const (
	firstHost   = 1
	workersHost = 251
	storeHost   = 252
	lockHost    = 253
)

// The ports are below those of outgoing connections, which may take a port while nothing listens there. Each worker and each
// host's view of the store has one of its own.
const (
	lockPort        = 21000
	frontPort       = 21001
	readyPort       = 21002
	peerPort        = 21003
	firstWorkerPort = 22000
	firstStorePort  = 24000
)

// maxNetworks is the number of networks that are tried; a runs from firstNetwork on, and b over all 250 values.
const (
	maxNetworks  = 100 * networksPerA
	networksPerA = 250
	firstNetwork = 10
)

// NoNetworkError reports that no part of the loopback network is free.
type NoNetworkError struct{ Tried int }

// Error returns how many were tried.
func (e *NoNetworkError) Error() string {
	return fmt.Sprintf("none of %d loopback networks is free", e.Tried)
}

// reserveNetwork returns a network that no other soak on this machine uses until it is released.
func reserveNetwork() (*network, error) {
	for i := range maxNetworks {
		n := (os.Getpid() + i) % maxNetworks
		found := &network{a: firstNetwork + n/networksPerA, b: 1 + n%networksPerA}
		var err error
		if found.lock, err = net.Listen("tcp", found.address(lockHost, lockPort)); err == nil {
			return found, nil
		}
	}
	return nil, &NoNetworkError{Tried: maxNetworks}
}

// release allows other soaks to use the network.
func (n *network) release() error { return n.lock.Close() }

// hostLinks are the links of the hosts that have a limited bandwidth, by the address of the host.
type hostLinks struct {
	mu   sync.Mutex
	byIP map[string]*links.Link
}

func (h *hostLinks) add(ip string, link *links.Link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byIP[ip] = link
}

// of returns the link of the host at an address; nil if its bandwidth is unlimited.
func (h *hostLinks) of(address net.Addr) *links.Link {
	tcp, isTCP := address.(*net.TCPAddr)
	if !isTCP {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byIP[tcp.IP.String()]
}

// dial connects to a host through its link.
func (h *hostLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if link := h.of(conn.RemoteAddr()); link != nil {
		return link.Wrap(conn), nil
	}
	return conn, nil
}

func (n *network) ip(host int) string { return fmt.Sprintf("127.%d.%d.%d", n.a, n.b, host) }

func (n *network) address(host, port int) string { return fmt.Sprintf("%s:%d", n.ip(host), port) }
