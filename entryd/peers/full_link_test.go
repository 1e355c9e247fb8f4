package peers_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/vnet"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/peers"
)

// star is an entry host with a small link and peers with wide ones.
type star struct {
	hub    *peers.Mesh
	leaves []*peers.Mesh
	// downs counts the links of the hub that went down, and received the messages that reached it.
	downs, received atomic.Int64
}

// startStar starts a hub with a link of some Mbit/s, and its peers, and waits until they are linked. They end with the test.
func startStar(t *testing.T, mbits float64, leaves int) *star {
	t.Helper()
	s := &star{}
	network := vnet.New(vnet.WithLatency(4 * time.Millisecond))
	roster := make(map[fleet.EntryHostID]string)
	id := func(n int) fleet.EntryHostID { return fleet.EntryHostID(fmt.Sprintf("e%02d", n)) }
	for n := range leaves + 1 {
		roster[id(n)] = string(id(n)) + ":1"
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var servers []*http.Server
	start := func(n int, mbits float64, known map[fleet.EntryHostID]string) *peers.Mesh {
		host := network.AddHost(mbits * 1e6)
		client := &http.Client{Transport: &http.Transport{DialContext: host.DialContext}}
		mesh := peers.New(
			wire.Hello{EntryHost: id(n)}, known, slog.New(slog.DiscardHandler), peers.WithClient(client, "ws"), peers.WithUnlistedPeers(),
		)
		mesh.AddHandler(func(_ context.Context, _ fleet.EntryHostID, m wire.Message) wire.Message {
			if n == 0 {
				s.received.Add(1)
			}
			if _, isCall := m.(wire.ForwardRequest); isCall {
				return wire.ForwardResponse{}
			}
			return nil
		})
		if n == 0 {
			mesh.OnLinkChange(func(_ fleet.EntryHostID, up bool) {
				if !up {
					s.downs.Add(1)
				}
			})
		}
		server, listener := &http.Server{Handler: mesh}, host.Listen(roster[id(n)])
		servers = append(servers, server)
		wg.Go(func() { _ = server.Serve(listener) })
		wg.Go(func() { mesh.Run(ctx) })
		return mesh
	}
	for n := range leaves {
		s.leaves = append(s.leaves, start(n+1, 1000, nil))
	}
	s.hub = start(0, mbits, roster)
	t.Cleanup(func() {
		cancel()
		s.hub.Close()
		network.Close()
		for _, server := range servers {
			_ = server.Close()
		}
		wg.Wait()
		// Time stands still once the test has returned, and writes in progress would never end.
		time.Sleep(time.Minute)
	})
	time.Sleep(2 * time.Second)
	assert.Equal(t, len(s.hub.LinkedPeers()), leaves)
	return s
}

// notice announces a job with a spec of the usual size.
var notice = wire.HostedRequest{Kind: wire.NotifyJobStored, Job: "j", Data: make([]byte, 2600)}

// Guards against links between hosts that are closed only because the link of a host is full, so that all calls on them fail.
func TestFullLinkStaysUp(t *testing.T) {
	const leaves, mbits, duration, pause = 40, 10, 10 * time.Second, 100 * time.Millisecond
	// The messages are 1.5 times what the link carries.
	perPause := int(1.5 * mbits * 1e6 / 8 * pause.Seconds() / float64(len(notice.Data)))
	for name, send := range map[string]func(s *star, n int){
		"by messages to a host": func(s *star, n int) { _ = s.leaves[n%leaves].Send("e00", notice) },
		"by messages of a host": func(s *star, n int) { _ = s.hub.Send(s.hub.LinkedPeers()[n%len(s.hub.LinkedPeers())], notice) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startStar(t, mbits, leaves)
				sent, slowest, failed := 0, time.Duration(0), 0
				var calls sync.WaitGroup
				var mu sync.Mutex
				for began := time.Now(); time.Since(began) < duration; time.Sleep(pause) {
					for range perPause {
						if len(s.hub.LinkedPeers()) > 0 {
							send(s, sent)
						}
						sent++
					}
					calls.Go(func() {
						asked := time.Now()
						ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
						defer cancel()
						_, err := s.leaves[0].Call(ctx, "e00", wire.ForwardRequest{})
						mu.Lock()
						defer mu.Unlock()
						slowest = max(slowest, time.Since(asked))
						if err != nil {
							failed++
						}
					})
				}
				calls.Wait()
				t.Logf("%d messages sent, %d received by the hub, %d links down, calls: %d failed, the slowest took %v",
					sent, s.received.Load(), s.downs.Load(), failed, slowest)
				assert.Check(t, s.downs.Load() == 0, "%d links went down", s.downs.Load())
			})
		})
	}
}
