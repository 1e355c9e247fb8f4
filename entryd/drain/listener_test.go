package drain_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/entryd/drain"
)

// point is a place where a slow server is held.
type point string

const (
	beforeAccept point = "connection not accepted"
	requestRead  point = "request read"
	idleUnread   point = "idle, next request not read"
	idleRead     point = "idle, next request read"
)

// slowServer is a server that waits at one point until it is released.
type slowServer struct {
	at       point
	reached  chan struct{}
	released chan struct{}
	// idle gets a message when a connection has become idle.
	idle chan struct{}
}

func (s *slowServer) hold(p point) {
	if p != s.at {
		return
	}
	select {
	case s.reached <- struct{}{}:
	default:
	}
	<-s.released
}

type slowListener struct {
	net.Listener
	server *slowServer
}

func (l slowListener) Accept() (net.Conn, error) {
	l.server.hold(beforeAccept)
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, server: l.server}, nil
}

type slowConn struct {
	net.Conn
	server *slowServer
	isIdle bool
}

func (c *slowConn) NetConn() net.Conn { return c.Conn }

func (c *slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isIdle && n > 0 {
		c.server.hold(idleRead)
	}
	return n, err
}

// track calls next before it holds the goroutine of a connection in its new state.
func (s *slowServer) track(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		next(conn, state)
		switch state {
		case http.StateActive:
			s.hold(requestRead)
		case http.StateIdle:
			if wrapper, ok := conn.(*tls.Conn); ok {
				conn = wrapper.NetConn()
			}
			conn.(*slowConn).isIdle = true
			select {
			case s.idle <- struct{}{}:
			default:
			}
			s.hold(idleUnread)
		}
	}
}

type client struct {
	net.Conn
	responses *bufio.Reader
}

func dial(t *testing.T, address string, config *tls.Config) client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	if config != nil {
		conn = tls.Client(conn, config)
	}
	return client{Conn: conn, responses: bufio.NewReader(conn)}
}

func (c client) send(t *testing.T) {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n\r\nhi")
	assert.NilError(t, err)
}

// receive reads a response and reports whether it ends its connection.
func (c client) receive(t *testing.T) bool {
	t.Helper()
	resp, err := http.ReadResponse(c.responses, nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.Close
}

// Guards against requests that a graceful shutdown breaks because they have been sent and the server is not that far.
func TestShutdownOfSlowServer(t *testing.T) {
	for _, at := range []point{beforeAccept, requestRead, idleUnread, idleRead} {
		t.Run(string(at), func(t *testing.T) { testShutdown(t, at, nil) })
	}
}

// Guards the same over TLS. A connection that is not accepted has no handshake, so that its caller cannot send.
func TestShutdownOfSlowServerOverTLS(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	for _, at := range []point{requestRead, idleUnread, idleRead} {
		t.Run(string(at), func(t *testing.T) {
			testShutdown(t, at, &tls.Config{Certificates: certified.TLS.Certificates, InsecureSkipVerify: true})
		})
	}
}

func testShutdown(t *testing.T, at point, config *tls.Config) {
	slow := &slowServer{at: at, reached: make(chan struct{}, 1), released: make(chan struct{}), idle: make(chan struct{}, 1)}
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})}
	var conns drain.Connections
	var listener net.Listener = slowListener{Listener: conns.Attach(server, tcp.(*net.TCPListener)), server: slow}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	server.ConnState = slow.track(server.ConnState)
	served, stopped := make(chan error, 1), make(chan error, 1)
	go func() { served <- server.Serve(listener) }()

	c := dial(t, tcp.Addr().String(), config)
	if at == beforeAccept {
		<-slow.reached
	}
	c.send(t)
	if at == idleUnread || at == idleRead {
		assert.Assert(t, !c.receive(t))
		<-slow.idle
		c.send(t)
	}
	if at != beforeAccept {
		<-slow.reached
	}
	go func() { stopped <- conns.Shutdown(context.Background(), server) }()
	time.Sleep(50 * time.Millisecond)
	close(slow.released)
	assert.Assert(t, c.receive(t))
	assert.NilError(t, <-stopped)
	assert.Equal(t, <-served, http.ErrServerClosed)
	_, err = net.Dial("tcp", tcp.Addr().String())
	assert.ErrorContains(t, err, "refused")
}
