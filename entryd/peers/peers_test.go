package peers_test

import (
	"context"
	"errors"
	"log/slog"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/peers"
)

// node is a mesh with its listener.
type node struct {
	mesh   *peers.Mesh
	server *httptest.Server
}

// pair returns two linked meshes; answer handles the calls that reach the second one.
func pair(t *testing.T, answer peers.Handler) (node, node) {
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
	second.mesh.AddHandler(answer)
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

func echo(_ context.Context, _ fleet.EntryHostID, m wire.Message) wire.Message {
	if forward, ok := m.(wire.ForwardRequest); ok {
		return wire.ForwardResponse{Reason: string(forward.RequestID)}
	}
	return nil
}

// An answer that reaches another call would hand a caller somebody else's result.
func TestCallsGetTheirOwnAnswers(t *testing.T) {
	first, _ := pair(t, echo)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			id := strconv.Itoa(i)
			answer, err := first.mesh.Call(t.Context(), "e2", wire.ForwardRequest{RequestID: fleet.RequestID(id)})
			assert.Check(t, err)
			assert.Check(t, answer != nil && answer.(wire.ForwardResponse).Reason == id)
		})
	}
	wg.Wait()
}

// An answer after its call's timeout must not be taken for the answer of the next call.
func TestLateAnswerIsDropped(t *testing.T) {
	release := make(chan struct{})
	first, _ := pair(t, func(ctx context.Context, from fleet.EntryHostID, m wire.Message) wire.Message {
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
	answer, err := first.mesh.Call(t.Context(), "e2", wire.ForwardRequest{RequestID: "next"})
	assert.NilError(t, err)
	assert.Equal(t, answer.(wire.ForwardResponse).Reason, "next")
}

// A call that was on its way when the link broke may have been carried out, and must not be reported as not sent.
func TestBrokenLinkIsUnclear(t *testing.T) {
	arrived := make(chan struct{})
	first, second := pair(t, func(ctx context.Context, _ fleet.EntryHostID, _ wire.Message) wire.Message {
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
	// The WebSocket connection is hijacked, so the test ends it from the side that accepted it.
	second.mesh.Close()
	var linkErr *peers.LinkError
	assert.Assert(t, errors.As(<-failed, &linkErr))
	assert.Assert(t, !linkErr.NotSent)

	_, err := first.mesh.Call(t.Context(), "e9", wire.ForwardRequest{})
	assert.Assert(t, errors.As(err, &linkErr))
	assert.Assert(t, linkErr.NotSent)
}
