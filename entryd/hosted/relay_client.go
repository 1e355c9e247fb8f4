package hosted

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/leader"
	"lovagefork.example/entryd/peers"
)

const (
	// relayTimeout limits a relayed start: [flow.RelayBudget], the longest time-out of an order and the way back.
	relayTimeout = 1200 * time.Millisecond
	// maxClockAge is the age from which the clock of a relay is asked for again, and relayClockTimeout limits that.
	maxClockAge       = 2 * time.Second
	relayClockTimeout = 500 * time.Millisecond
	// maxRelayClockDrift is the largest drift of a relay's clock that is allowed for.
	maxRelayClockDrift = 0.01
	// maxRelayCandidates limits the peers that are asked for their clock.
	maxRelayCandidates = 2 * flow.MaxRelays
)

// relayOutcomeError reports why a relay has not sent a start.
type relayOutcomeError struct{ outcome wire.RelayOutcome }

// Error returns the outcome.
func (e *relayOutcomeError) Error() string { return fmt.Sprintf("outcome %q", e.outcome) }

// RelayClient implements [leader.Relays] with the peers of a mesh.
type RelayClient struct {
	mesh     *peers.Mesh
	hosts    func() []leader.Host
	registry metrics.Registry

	mu     sync.Mutex
	clocks map[fleet.EntryHostID]clockReading
}

// clockReading is the clock of a relay's process, read before at.
type clockReading struct {
	wire.RelayClock
	at time.Time
}

// lowerBound returns a time in milliseconds that the clock has reached.
func (c clockReading) lowerBound(now time.Time) int64 {
	return c.Clock + time.Duration(float64(now.Sub(c.at))*(1-maxRelayClockDrift)).Milliseconds()
}

var _ leader.Relays = (*RelayClient)(nil)

// NewRelayClient returns a client of the relays among the peers of a mesh; hosts returns the registered entry hosts.
func NewRelayClient(mesh *peers.Mesh, hosts func() []leader.Host, r metrics.Registry) *RelayClient {
	return &RelayClient{mesh: mesh, hosts: hosts, registry: r, clocks: make(map[fleet.EntryHostID]clockReading)}
}

// Available implements [leader.Relays]: the relays are the registered hosts with a link that have told their clock.
func (c *RelayClient) Available(ctx context.Context) []flow.Relay {
	linked := c.mesh.LinkedPeers()
	hosts := slices.DeleteFunc(c.hosts(), func(h leader.Host) bool { return !slices.Contains(linked, h.ID) })
	slices.SortStableFunc(hosts, func(a, b leader.Host) int {
		return cmp.Compare(b.Capacity.LinkBitsPerSecond, a.Capacity.LinkBitsPerSecond)
	})
	hosts = hosts[:min(maxRelayCandidates, len(hosts))]
	var asked sync.WaitGroup
	for _, h := range hosts {
		if r, found := c.clock(h.ID); !found || leader.Now().Sub(r.at) > maxClockAge {
			asked.Go(func() { c.readClock(ctx, h.ID) })
		}
	}
	asked.Wait()
	var out []flow.Relay
	for _, h := range hosts {
		if _, found := c.clock(h.ID); found {
			out = append(out, flow.Relay{EntryHost: h.ID, LinkBitsPerSecond: h.Capacity.LinkBitsPerSecond})
		}
	}
	return out
}

func (c *RelayClient) clock(host fleet.EntryHostID) (clockReading, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, found := c.clocks[host]
	return r, found
}

// readClock asks a peer for its clock, and forgets the last one if it does not answer.
func (c *RelayClient) readClock(ctx context.Context, host fleet.EntryHostID) {
	ctx, cancel := context.WithTimeout(ctx, relayClockTimeout)
	defer cancel()
	var reading clockReading
	got, err := c.mesh.Call(ctx, host, wire.HostedRequest{Kind: wire.RequestRelayClock})
	resp, ok := got.(wire.HostedResponse)
	ok = ok && err == nil && resp.Status == wire.ResponseOK && cbor.Unmarshal(resp.Data, &reading.RelayClock) == nil
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok {
		delete(c.clocks, host)
		return
	}
	reading.at = leader.Now()
	c.clocks[host] = reading
}

// Start implements [leader.Relays].
func (c *RelayClient) Start(ctx context.Context, via fleet.EntryHostID, to infra.AgentAddress, o infra.StartOrder) (int64, error) {
	reading, found := c.clock(via)
	if !found {
		return 0, c.failed(&flow.RelayError{Relay: via, NotSent: true, Cause: &relayOutcomeError{wire.RelayRestarted}}, "no_clock")
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	got, err := c.mesh.Call(ctx, via, wire.RelayedStart{
		Process: reading.Process, Until: reading.lowerBound(leader.Now()) + flow.RelayBudget.Milliseconds(), Worker: to.Worker, Address: to.HostPort,
		Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: o.Task.Step, Index: o.Task.Index, Run: o.Run,
		SpecSum: wire.SpecSum(o.Spec), Checkpoint: o.Checkpoint, Ticket: o.Ticket, Deadline: o.Deadline, Token: o.Token,
	})
	var linkErr *peers.LinkError
	switch resp, ok := got.(wire.RelayedStartResponse); {
	case errors.As(err, &linkErr) && linkErr.NotSent:
		return 0, c.failed(&flow.RelayError{Relay: via, NotSent: true, Cause: err}, "no_link")
	case err != nil:
		return 0, c.failed(&flow.RelayError{Relay: via, Cause: err}, "silent")
	case ok:
		return resp.Clock, c.startError(via, to.Worker, resp)
	}
	return 0, c.failed(&flow.RelayError{Relay: via, Cause: errors.New("unexpected response")}, "response")
}

// startError translates the response of a relay to the error of a start.
func (c *RelayClient) startError(via fleet.EntryHostID, worker fleet.WorkerID, resp wire.RelayedStartResponse) error {
	switch resp.Outcome {
	case wire.RelayAccepted:
		return nil
	case wire.RelayRefused:
		return &infra.RefusedError{Worker: worker, Reason: resp.Refusal, Clock: resp.Clock}
	case wire.RelayNoConnection:
		return c.failed(&infra.NotSentError{Worker: worker, Cause: errors.New(resp.Reason)}, string(resp.Outcome))
	case wire.RelayNoAnswer:
		return c.failed(&infra.NoAnswerError{Worker: worker, Cause: errors.New(resp.Reason)}, string(resp.Outcome))
	case wire.RelayFenced, wire.RelayLate, wire.RelayBusy, wire.RelayNoSpec, wire.RelayRestarted:
		return c.failed(&flow.RelayError{Relay: via, NotSent: true, Cause: &relayOutcomeError{resp.Outcome}}, string(resp.Outcome))
	default:
		return c.failed(&flow.RelayError{Relay: via, Cause: &relayOutcomeError{resp.Outcome}}, "response")
	}
}

// failed counts a failure by its cause, and returns it.
func (c *RelayClient) failed(err error, cause string) error {
	metrics.GetOrRegisterCounter("scheduler.relay_failures_"+cause+".total", c.registry).Inc(1)
	return err
}
