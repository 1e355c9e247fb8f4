package links_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/soak/links"
)

// pair returns the two ends of a connection; the first one is that of the host behind the link.
func pair(t *testing.T, link *links.Link) (host, other net.Conn) {
	t.Helper()
	listener, err := links.Listen("127.0.0.1:0", links.WithLinks(func(net.Addr) *links.Link { return link }))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	host, err = net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = host.Close() })
	other, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = other.Close() })
	return host, other
}

// transfer sends a number of bytes and returns how long it took until all were received.
func transfer(t *testing.T, from, to net.Conn, count int) time.Duration {
	t.Helper()
	began := time.Now()
	sent := make(chan error, 1)
	go func() {
		_, err := from.Write(make([]byte, count))
		sent <- err
	}()
	_, err := io.CopyN(io.Discard, to, int64(count))
	assert.NilError(t, err)
	assert.NilError(t, <-sent)
	return time.Since(began)
}

// Guards against links that carry more or less than their bandwidth, and directions that hold each other up.
func TestLinkHasBandwidth(t *testing.T) {
	t.Parallel()
	link := links.NewLink(8e6)
	host, other := pair(t, link)
	const count = 500_000
	var transfers sync.WaitGroup
	for _, ends := range [][2]net.Conn{{host, other}, {other, host}} {
		transfers.Go(func() {
			took := transfer(t, ends[0], ends[1], count)
			assert.Check(t, took >= 450*time.Millisecond && took < 900*time.Millisecond, "%v", took)
		})
	}
	transfers.Wait()
}

// Guards against links whose delay occupies them, or does not reach both directions.
func TestLinkHasDelay(t *testing.T) {
	t.Parallel()
	const delay = 100 * time.Millisecond
	link := links.NewLink(8e6, links.WithDelay(delay))
	var transfers sync.WaitGroup
	for range 5 {
		host, other := pair(t, link)
		transfers.Go(func() {
			took := transfer(t, host, other, 1000) + transfer(t, other, host, 1000)
			assert.Check(t, took >= 2*delay && took < 4*delay, "%v", took)
		})
	}
	transfers.Wait()
	// A long transfer has the delay once.
	host, other := pair(t, link)
	for _, took := range []time.Duration{transfer(t, host, other, 100_000), transfer(t, other, host, 100_000)} {
		assert.Check(t, took >= delay && took < 4*delay, "%v", took)
	}
}

// Guards against connections that have a link each, and against a connection that keeps others from theirs.
func TestConnectionsShareLink(t *testing.T) {
	t.Parallel()
	link := links.NewLink(8e6)
	const conns, count = 4, 150_000
	host, other := pair(t, link)
	var transfers sync.WaitGroup
	began := time.Now()
	for range conns {
		from, to := pair(t, link)
		transfers.Go(func() { transfer(t, from, to, count) })
	}
	time.Sleep(100 * time.Millisecond)
	// A short message waits for a segment of each of the others, not for their transfers.
	took := transfer(t, host, other, 100)
	assert.Check(t, took < 200*time.Millisecond, "%v", took)
	transfers.Wait()
	all := time.Since(began)
	assert.Check(t, all >= 540*time.Millisecond && all < time.Second, "%v", all)
}
