package links

import (
	"net"
	"sync"
	"time"
)

// Mode is what happens to the connections of a [Listener].
type Mode interface{ mode() }

// Open lets all connections work.
type Open struct{}

// Refused resets all connections and refuses new ones.
type Refused struct{}

// Reset resets all connections, and new ones once they are accepted.
type Reset struct{}

// Silent holds back the bytes of both directions until the mode ends.
type Silent struct{}

// OneWay lets requests through and holds back what the server sends until the mode ends.
type OneWay struct{}

// Delayed delays the bytes that the server receives.
type Delayed struct{ Delay time.Duration }

func (Open) mode()    {}
func (Refused) mode() {}
func (Reset) mode()   {}
func (Silent) mode()  {}
func (OneWay) mode()  {}
func (Delayed) mode() {}

// Strongest returns the mode among some that lets the least through; it is [Open] if there is none.
func Strongest(modes ...Mode) Mode {
	var strongest Mode = Open{}
	for _, m := range modes {
		if strength(m) > strength(strongest) || isLonger(m, strongest) {
			strongest = m
		}
	}
	return strongest
}

// strength orders the modes by what they keep from passing.
func strength(m Mode) int {
	switch m.(type) {
	case Delayed:
		return 1
	case OneWay:
		return 2
	case Silent:
		return 3
	case Reset:
		return 4
	case Refused:
		return 5
	}
	return 0
}

// isLonger reports whether both modes delay, and the first one for longer.
func isLonger(a, b Mode) bool {
	first, isDelay := a.(Delayed)
	second, areDelays := b.(Delayed)
	return isDelay && areDelays && first.Delay > second.Delay
}

// Listener is a TCP listener with a [Mode].
type Listener struct {
	address string
	// linkOf returns the link of the host at an address, or nil.
	linkOf func(remote net.Addr) *Link

	mu sync.Mutex
	// inner is nil while new connections are refused.
	inner    net.Listener
	mode     Mode
	conns    map[*conn]struct{}
	changed  chan struct{}
	isClosed bool
}

var _ net.Listener = (*Listener)(nil)

// Option changes a [Listener] under construction.
type Option func(*Listener)

// WithLinks lets connections share the links of the hosts that they come from. A host without a link has unlimited bandwidth.
func WithLinks(linkOf func(remote net.Addr) *Link) Option {
	return func(l *Listener) { l.linkOf = linkOf }
}

// Listen listens at a TCP address.
func Listen(address string, opts ...Option) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Listener{
		address: inner.Addr().String(), inner: inner, mode: Open{}, conns: make(map[*conn]struct{}), changed: make(chan struct{}),
		linkOf: func(net.Addr) *Link { return nil },
	}
	for _, opt := range opts {
		opt(l)
	}
	return l, nil
}

// SetMode changes what happens to the connections. It fails if the address cannot be listened at again.
func (l *Listener) SetMode(m Mode) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return nil
	}
	l.mode = m
	close(l.changed)
	l.changed = make(chan struct{})
	switch m.(type) {
	case Refused:
		l.closeInner()
		l.resetAll()
		return nil
	case Reset:
		l.resetAll()
	}
	if l.inner != nil {
		return nil
	}
	inner, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.inner = inner
	return nil
}

// Mode returns what happens to the connections.
func (l *Listener) Mode() Mode {
	_, mode, _, _ := l.state()
	return mode
}

func (l *Listener) closeInner() {
	if l.inner != nil {
		// Its only error is that it is closed already.
		_ = l.inner.Close()
		l.inner = nil
	}
}

// resetAll ends all connections with a reset instead of an orderly end.
func (l *Listener) resetAll() {
	for c := range l.conns {
		c.reset()
		delete(l.conns, c)
	}
}

// state returns the listener, the mode and a channel that is closed when the mode changes.
func (l *Listener) state() (net.Listener, Mode, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner, l.mode, l.changed, l.isClosed
}

// Accept implements [net.Listener].
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, _, changed, isClosed := l.state()
		if isClosed {
			return nil, net.ErrClosed
		}
		if inner == nil {
			<-changed
			continue
		}
		accepted, err := inner.Accept()
		if err != nil {
			if current, _, _, isClosed := l.state(); isClosed || current != inner {
				continue
			}
			return nil, err
		}
		if c := l.admit(accepted); c != nil {
			return c, nil
		}
	}
}

// admit returns a connection with the listener's mode, or nil if the mode resets it.
func (l *Listener) admit(accepted net.Conn) net.Conn {
	c := &conn{Conn: accepted, socket: accepted, listener: l, done: make(chan struct{})}
	if link := l.linkOf(accepted.RemoteAddr()); link != nil {
		c.Conn = link.Wrap(accepted)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.mode.(type) {
	case Refused, Reset:
		c.reset()
		return nil
	}
	l.conns[c] = struct{}{}
	return c
}

// Close implements [net.Listener].
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isClosed {
		l.isClosed = true
		l.closeInner()
		close(l.changed)
		l.changed = make(chan struct{})
	}
	return nil
}

// Addr implements [net.Listener].
func (l *Listener) Addr() net.Addr {
	address, err := net.ResolveTCPAddr("tcp", l.address)
	if err != nil {
		panic(err)
	}
	return address
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	// socket is the connection without its link.
	socket   net.Conn
	listener *Listener
	once     sync.Once
	done     chan struct{}
}

func (c *conn) reset() {
	if tcp, isTCP := c.socket.(*net.TCPConn); isTCP {
		// Without lingering, closing a connection resets it. A connection that is closed already needs no reset.
		_ = tcp.SetLinger(0)
	}
	c.once.Do(func() { close(c.done) })
	_ = c.Conn.Close()
}

// Close implements [net.Conn].
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// Read implements [net.Conn].
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.hold(func(m Mode) (time.Duration, bool) {
		switch m := m.(type) {
		case Silent:
			return 0, true
		case Delayed:
			return m.Delay, false
		}
		return 0, false
	})
	return n, err
}

// Write implements [net.Conn].
func (c *conn) Write(data []byte) (int, error) {
	c.hold(func(m Mode) (time.Duration, bool) {
		switch m.(type) {
		case Silent, OneWay:
			return 0, true
		}
		return 0, false
	})
	return c.Conn.Write(data)
}

// hold waits while the mode withholds bytes, and for its delay.
func (c *conn) hold(effect func(Mode) (delay time.Duration, withholds bool)) {
	for {
		_, mode, changed, _ := c.listener.state()
		delay, withholds := effect(mode)
		if !withholds {
			time.Sleep(delay)
			return
		}
		select {
		case <-changed:
		case <-c.done:
			return
		}
	}
}
