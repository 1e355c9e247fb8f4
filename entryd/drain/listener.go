package drain

import (
	"net"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// listener is a TCP listener that can stop listening before it is closed.
type listener struct {
	*net.TCPListener

	stopped   atomic.Bool
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
	conn, err := l.TCPListener.Accept()
	if err == nil {
		return conn, nil
	}
	if !l.stopped.Load() {
		return nil, err
	}
	l.markEmpty()
	<-l.end
	return nil, net.ErrClosed
}

// Close closes the listener.
func (l *listener) Close() error {
	l.markEnd()
	return l.TCPListener.Close()
}

// stop refuses connections from now on. Closing the socket instead would leave it listening until a blocked Accept has
// returned.
func (l *listener) stop() error {
	l.stopped.Store(true)
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { _ = unix.Shutdown(int(fd), unix.SHUT_RD) })
}
