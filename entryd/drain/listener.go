package drain

import (
	"net"
	"os"
	"sync"

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
	conn, err := l.TCPListener.Accept()
	if err == nil {
		return conn, nil
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

// stop refuses connections from now on and keeps the waiting ones for Accept.
func (l *listener) stop() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var fds []int
	err = raw.Control(func(fd uintptr) { fds = stopListening(int(fd)) })
	for _, fd := range fds {
		if c, err := newConn(fd); err == nil {
			l.waiting = append(l.waiting, c)
		}
	}
	return err
}

// stopListening returns the waiting connections of a listening socket and shuts it down. Closing it instead would leave it
// listening until a blocked Accept has returned.
func stopListening(fd int) (waiting []int) {
	for {
		c, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			waiting = append(waiting, c)
		case unix.EINTR, unix.ECONNABORTED:
		default:
			_ = unix.Shutdown(fd, unix.SHUT_RD)
			return waiting
		}
	}
}

func newConn(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "")
	defer func() { _ = file.Close() }()
	return net.FileConn(file)
}
