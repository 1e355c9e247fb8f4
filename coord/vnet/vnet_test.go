package vnet_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/vnet"
)

// receive accepts transfers at an address and returns how long each one took from now.
func receive(t *testing.T, l net.Listener, transfers int) <-chan time.Duration {
	t.Helper()
	started := time.Now()
	took := make(chan time.Duration, transfers)
	for range transfers {
		go func() {
			c, err := l.Accept()
			assert.Check(t, err)
			_, err = io.Copy(io.Discard, c)
			assert.Check(t, err)
			took <- time.Since(started)
		}()
	}
	return took
}

// Guards against a network that carries bytes faster than its links, on which no transfer would ever be late.
func TestLinksLimitTransfers(t *testing.T) {
	for _, c := range []struct {
		name      string
		transfers int
		want      time.Duration
	}{
		{"one transfer has the whole link", 1, 810 * time.Millisecond},
		{"transfers share the link of their receiver", 3, 2410 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := vnet.New(vnet.WithLatency(4 * time.Millisecond))
				defer n.Close()
				l := n.AddHost(10e6).Listen("receiver")
				took := receive(t, l, c.transfers)
				var wg sync.WaitGroup
				for range c.transfers {
					wg.Go(func() {
						conn, err := n.AddHost(1e9).DialContext(t.Context(), "tcp", "receiver")
						assert.Check(t, err)
						_, err = conn.Write(make([]byte, 1e6))
						assert.Check(t, err)
						assert.Check(t, conn.Close())
					})
				}
				wg.Wait()
				slowest := time.Duration(0)
				for range c.transfers {
					slowest = max(slowest, <-took)
				}
				assert.Assert(t, slowest > c.want-10*time.Millisecond && slowest < c.want+10*time.Millisecond, "took %s", slowest)
			})
		})
	}
}

// Guards against a dial that blocks where a real network would refuse it or give up.
func TestDialFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := vnet.New()
		defer n.Close()
		h := n.AddHost(1e6)
		_, err := h.DialContext(t.Context(), "tcp", "nobody")
		assert.ErrorContains(t, err, "refused")
		n.AddHost(1e6).Listen("busy")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = h.DialContext(ctx, "tcp", "busy")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
