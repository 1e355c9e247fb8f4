package peers_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/vnet"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/peers"
)

// node is a mesh with its HTTP server.
type node struct {
	mesh   *peers.Mesh
	server *httptest.Server
}

// linkedPair starts two meshes and waits until they are linked; handler handles the messages that reach the second one.
func linkedPair(t *testing.T, handler peers.Handler) (node, node) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	roster := map[fleet.EntryHostID]string{}
	start := func(id fleet.EntryHostID) node {
		server := httptest.NewUnstartedServer(nil)
		roster[id] = server.Listener.Addr().String()
		mesh := peers.New(wire.Hello{EntryHost: id, Boot: "1", Zone: "a"}, roster, log)
		server.Config.Handler = mesh
		return node{mesh, server}
	}
	first, second := start("e1"), start("e2")
	second.mesh.AddHandler(handler)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, n := range []node{first, second} {
		n.server.Start()
		wg.Go(func() { n.mesh.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		first.server.CloseClientConnections()
		second.server.CloseClientConnections()
		first.server.Close()
		second.server.Close()
	})
	linked := func(poll.LogT) poll.Result {
		if len(first.mesh.LinkedPeers()) == 1 && len(second.mesh.LinkedPeers()) == 1 {
			return poll.Success()
		}
		return poll.Continue("not linked")
	}
	poll.WaitOn(t, linked, poll.WithTimeout(20*time.Second))
	return first, second
}

// echo returns the request ID of a forwarded request in its response.
func echo(_ context.Context, _ fleet.EntryHostID, m wire.Message) wire.Message {
	if forward, ok := m.(wire.ForwardRequest); ok {
		return wire.ForwardResponse{Reason: string(forward.RequestID)}
	}
	return nil
}

// Guards against mixed-up responses of concurrent calls, by which a caller would get the result of another.
func TestResponsesMatchCalls(t *testing.T) {
	first, _ := linkedPair(t, echo)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			id := strconv.Itoa(i)
			response, err := first.mesh.Call(t.Context(), "e2", wire.ForwardRequest{RequestID: fleet.RequestID(id)})
			assert.Check(t, err)
			assert.Check(t, response != nil && response.(wire.ForwardResponse).Reason == id)
		})
	}
	wg.Wait()
}

// Guards against a response that arrives after its call has timed out: it must not become the response of a later call.
func TestLateResponseIsDropped(t *testing.T) {
	release := make(chan struct{})
	first, _ := linkedPair(t, func(ctx context.Context, from fleet.EntryHostID, m wire.Message) wire.Message {
		if m.(wire.ForwardRequest).RequestID == "slow" {
			<-release
		}
		return echo(ctx, from, m)
	})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := first.mesh.Call(ctx, "e2", wire.ForwardRequest{RequestID: "slow"})
	var linkErr *peers.LinkError
	assert.Assert(t, errors.As(err, &linkErr))
	assert.Assert(t, !linkErr.NotSent)
	close(release)
	response, err := first.mesh.Call(t.Context(), "e2", wire.ForwardRequest{RequestID: "next"})
	assert.NilError(t, err)
	assert.Equal(t, response.(wire.ForwardResponse).Reason, "next")
}

// Guards against retrying a call that may have run: if the link breaks after the call was sent, its error must not say
// that it was not sent.
func TestBrokenLinkOutcomeUnknown(t *testing.T) {
	arrived := make(chan struct{})
	first, second := linkedPair(t, func(ctx context.Context, _ fleet.EntryHostID, _ wire.Message) wire.Message {
		close(arrived)
		<-ctx.Done()
		return wire.Ack{}
	})
	failed := make(chan error, 1)
	go func() {
		_, err := first.mesh.Call(t.Context(), "e2", wire.ForwardRequest{})
		failed <- err
	}()
	<-arrived
	// The HTTP server cannot close the hijacked WebSocket connection, so the mesh that accepted it does.
	second.mesh.Close()
	var linkErr *peers.LinkError
	assert.Assert(t, errors.As(<-failed, &linkErr))
	assert.Assert(t, !linkErr.NotSent)

	_, err := first.mesh.Call(t.Context(), "e9", wire.ForwardRequest{})
	assert.Assert(t, errors.As(err, &linkErr))
	assert.Assert(t, linkErr.NotSent)
}

// Guards against a time limit on whole messages. On a link of 2 Mbit/s a response of 1 MB takes 4 s; the link was closed
// after 2 s, because it had not been sent by then and pings waited behind it, and all calls on it failed.
func TestLargeMessageOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := vnet.New(vnet.WithLatency(4 * time.Millisecond))
		roster := map[fleet.EntryHostID]string{"e1": "e1:1", "e2": "e2:1"}
		body := bytes.Repeat([]byte("x"), 1<<20)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		start := func(id fleet.EntryHostID, bitsPerSecond float64) *peers.Mesh {
			host := network.AddHost(bitsPerSecond)
			client := &http.Client{Transport: &http.Transport{DialContext: host.DialContext}}
			mesh := peers.New(wire.Hello{EntryHost: id}, roster, slog.New(slog.NewTextHandler(t.Output(), nil)), peers.WithClient(client, "ws"))
			mesh.AddHandler(func(_ context.Context, _ fleet.EntryHostID, m wire.Message) wire.Message {
				if m.(wire.ForwardRequest).RequestID == "large" {
					return wire.ForwardResponse{Body: body}
				}
				return wire.ForwardResponse{}
			})
			server, listener := &http.Server{Handler: mesh}, host.Listen(roster[id])
			wg.Go(func() { _ = server.Serve(listener) })
			wg.Go(func() { mesh.Run(ctx) })
			t.Cleanup(func() { _ = server.Close() })
			return mesh
		}
		first, second := start("e1", 100e6), start("e2", 2e6)
		t.Cleanup(func() {
			cancel()
			first.Close()
			second.Close()
			network.Close()
			// Time stands still once the test has returned, and writes in progress would never end.
			time.Sleep(time.Minute)
		})
		time.Sleep(time.Second)
		got, err := first.Call(ctx, "e2", wire.ForwardRequest{RequestID: "large"})
		assert.NilError(t, err)
		assert.Equal(t, len(got.(wire.ForwardResponse).Body), len(body))
		_, err = first.Call(ctx, "e2", wire.ForwardRequest{})
		assert.NilError(t, err)
	})
}
