package links

import (
	"net"
	"sync"
	"time"
)

const (
	// segmentBytes is the largest part of a transfer that occupies a link at one go.
	segmentBytes = 4 << 10
	// socketBytes is the size of the socket buffers at a link, so that most of what waits for it waits at the sender.
	socketBytes = 32 << 10
)

// Link is the network link of a host, with a bandwidth in each direction that all connections of the host share.
type Link struct {
	upload   lane
	download lane
	delay    time.Duration
}

// LinkOption changes a [Link] under construction.
type LinkOption func(*Link)

// WithDelay sets how long a segment takes besides its time on the link. A connection has one segment on its way at a time.
func WithDelay(d time.Duration) LinkOption { return func(l *Link) { l.delay = d } }

// NewLink returns a link that carries a number of bits per second in each direction.
func NewLink(bitsPerSecond float64, opts ...LinkOption) *Link {
	l := &Link{upload: lane{bytesPerSecond: bitsPerSecond / 8}, download: lane{bytesPerSecond: bitsPerSecond / 8}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Wrap returns a connection to the host behind the link: what is read is the host's upload, and what is written its download.
func (l *Link) Wrap(c net.Conn) net.Conn {
	if tcp, isTCP := c.(*net.TCPConn); isTCP {
		// The buffers of a connection that is closed already do not matter.
		_ = tcp.SetReadBuffer(socketBytes)
		_ = tcp.SetWriteBuffer(socketBytes)
	}
	return &linkedConn{Conn: c, link: l}
}

// linkedConn is a connection to the host behind a link.
type linkedConn struct {
	net.Conn
	link *Link
}

// Read implements [net.Conn].
func (c *linkedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data[:min(len(data), segmentBytes)])
	if n > 0 {
		time.Sleep(time.Until(c.link.upload.reserve(n).Add(c.link.delay)))
	}
	return n, err
}

// Write implements [net.Conn].
func (c *linkedConn) Write(data []byte) (written int, err error) {
	for written < len(data) && err == nil {
		segment := data[written:min(len(data), written+segmentBytes)]
		time.Sleep(time.Until(c.link.download.reserve(len(segment)).Add(c.link.delay)))
		var n int
		n, err = c.Conn.Write(segment)
		written += n
	}
	return written, err
}

// lane is one direction of a link. Connections take turns on it, a segment at a time.
type lane struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time
}

// reserve returns when a number of bytes will have passed, behind those that were before them.
func (l *lane) reserve(count int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(count) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt
}
