package drain

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// listener is a TCP listener that can stop listening before it is closed, and still returns the connections that wait in
// the kernel's queue then. The kernel resets these when a [net.TCPListener] is closed.
type listener struct {
	*net.TCPListener

	mu        sync.Mutex
	stopped   bool
	waiting   []net.Conn
	markEmpty func()
	markEnd   func()
	// empty is closed when Accept is called again after the last connection. Then the server has tracked all of them.
	empty, end <-chan struct{}
}

func newListener(l *net.TCPListener) *listener {
	empty, end := make(chan struct{}), make(chan struct{})
	return &listener{
		TCPListener: l, empty: empty, end: end,
		markEmpty: sync.OnceFunc(func() { close(empty) }), markEnd: sync.OnceFunc(func() { close(end) }),
	}
}

// Accept waits for the next connection. When it has returned the last one after stop, it waits for Close.
func (l *listener) Accept() (net.Conn, error) {
	tcp, err := l.AcceptTCP()
	if err == nil {
		return &conn{TCPConn: tcp}, nil
	}
	next, stopped := l.nextWaiting()
	if !stopped {
		return nil, err
	}
	if next != nil {
		return next, nil
	}
	l.markEmpty()
	<-l.end
	return nil, net.ErrClosed
}

func (l *listener) nextWaiting() (next net.Conn, stopped bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) > 0 {
		next, l.waiting = l.waiting[0], l.waiting[1:]
	}
	return next, l.stopped
}

// Close closes the listener.
func (l *listener) Close() error {
	l.markEnd()
	return l.TCPListener.Close()
}

// stop refuses connections from now on and keeps the waiting ones for Accept. If err is set, it may go on listening; lost says
// which of the waiting ones could not be kept.
func (l *listener) stop() (lost, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var fds []int
	var stopErr error
	err = raw.Control(func(fd uintptr) { fds, stopErr = stopListening(int(fd)) })
	for _, fd := range fds {
		c, connErr := newConn(fd)
		if connErr != nil {
			lost = errors.Join(lost, connErr)
			continue
		}
		l.waiting = append(l.waiting, c)
	}
	return lost, errors.Join(err, stopErr)
}

// stopListening returns the waiting connections of a listening socket and shuts it down. Closing it instead would leave it
// listening until a blocked Accept has returned.
func stopListening(fd int) (waiting []int, err error) {
	for {
		c, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			waiting = append(waiting, c)
		case unix.EINTR, unix.ECONNABORTED:
		default:
			return waiting, unix.Shutdown(fd, unix.SHUT_RD)
		}
	}
}

// conn is a TCP connection that records whether the server has read from it since it last wrote to it.
type conn struct {
	*net.TCPConn
	wasRead atomic.Bool
}

func newConn(fd int) (*conn, error) {
	file := os.NewFile(uintptr(fd), "")
	defer func() { _ = file.Close() }()
	c, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return &conn{TCPConn: c.(*net.TCPConn)}, nil
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.wasRead.Store(true)
	}
	return n, err
}

// Write writes to the connection. What is read after the last write of a response belongs to the next request, even if it
// is read before the server has noted that the connection is idle.
func (c *conn) Write(b []byte) (int, error) {
	c.wasRead.Store(false)
	return c.TCPConn.Write(b)
}

// hasInput reports whether bytes have arrived since the last write.
func (c *conn) hasInput() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	_ = raw.Control(func(fd uintptr) {
		n, _, _ = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n > 0 || c.wasRead.Load()
}

// unwrap returns the conn below TLS or other wrappers, or nil if there is none.
func unwrap(c net.Conn) *conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			tcp, _ := c.(*conn)
			return tcp
		}
		c = wrapper.NetConn()
	}
}
