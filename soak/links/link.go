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
	// streamPause is the pause after which bytes belong to another stream.
	streamPause = 5 * time.Millisecond
)

// Link is the network link of a host, with a bandwidth in each direction that all connections of the host share.
type Link struct {
	upload   lane
	download lane
	delay    time.Duration
}

// LinkOption changes a [Link] under construction.
type LinkOption func(*Link)

// WithDelay sets how long bytes take besides their time on the link. It is charged once for a stream without pauses.
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
	// readAt and wroteAt are the ends of the last read and the last write.
	readAt  time.Time
	wroteAt time.Time
}

// Read implements [net.Conn].
func (c *linkedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data[:min(len(data), segmentBytes)])
	if n > 0 {
		c.link.await(&c.link.upload, n, time.Since(c.readAt) > streamPause)
		c.readAt = time.Now()
	}
	return n, err
}

// Write implements [net.Conn].
func (c *linkedConn) Write(data []byte) (written int, err error) {
	for written < len(data) && err == nil {
		segment := data[written:min(len(data), written+segmentBytes)]
		c.link.await(&c.link.download, len(segment), time.Since(c.wroteAt) > streamPause)
		var n int
		n, err = c.Conn.Write(segment)
		written += n
		c.wroteAt = time.Now()
	}
	return written, err
}

// await returns when a number of bytes has passed a direction of the link; those that begin a stream have the delay too.
func (l *Link) await(direction *lane, count int, isFirst bool) {
	at := direction.reserve(count)
	if isFirst {
		at = at.Add(l.delay)
	}
	time.Sleep(time.Until(at))
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
