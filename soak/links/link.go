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
}

// NewLink returns a link that carries a number of bits per second in each direction.
func NewLink(bitsPerSecond float64) *Link {
	return &Link{upload: lane{bytesPerSecond: bitsPerSecond / 8}, download: lane{bytesPerSecond: bitsPerSecond / 8}}
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
	c.link.upload.pass(n)
	return n, err
}

// Write implements [net.Conn].
func (c *linkedConn) Write(data []byte) (written int, err error) {
	for written < len(data) && err == nil {
		segment := data[written:min(len(data), written+segmentBytes)]
		c.link.download.pass(len(segment))
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

// pass returns when a number of bytes has passed, behind those that were before them.
func (l *lane) pass(count int) {
	if count == 0 {
		return
	}
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(count) / l.bytesPerSecond * float64(time.Second)))
	until := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}
