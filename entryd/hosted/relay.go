package hosted

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/leader"
)

// maxRelayedStarts limits the starts that a relay handles at a time. A scheduler has 128 without an answer at most.
const maxRelayedStarts = 256

// Relay sends starts for the scheduler on another entry host, whose link may be full.
type Relay struct {
	agents  infra.Agents
	current func() (leader.Leader, bool)
	specs   *specCache
	timeout time.Duration
	process uint64
	log     *slog.Logger
	slots   chan struct{}
	sent    metrics.Counter
}

// NewRelay returns a relay that reads specs through an intake and sends starts on a link with a bandwidth, 0 if that is unknown.
func NewRelay(i *Intake, agents infra.Agents, bitsPerSecond int64, r metrics.Registry, log *slog.Logger) *Relay {
	return &Relay{
		agents: agents, current: i.currentLeader, specs: i.specs, timeout: leader.OrderTimeout(bitsPerSecond), process: rand.Uint64(), log: log,
		slots: make(chan struct{}, maxRelayedStarts), sent: metrics.GetOrRegisterCounter("relay.starts.total", r),
	}
}

// HandleMessage handles a [wire.RelayedStart] and a [wire.RequestRelayClock]. It returns nil for any other message.
func (r *Relay) HandleMessage(ctx context.Context, from fleet.EntryHostID, m wire.Message) wire.Message {
	switch m := m.(type) {
	case wire.HostedRequest:
		if m.Kind != wire.RequestRelayClock {
			return nil
		}
		data, err := cbor.Marshal(wire.RelayClock{Process: r.process, Clock: leader.Now().UnixMilli()})
		if err != nil {
			return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: err.Error()}
		}
		return wire.HostedResponse{Status: wire.ResponseOK, Data: data}
	case wire.RelayedStart:
		resp := r.start(ctx, m)
		if resp.Outcome != wire.RelayAccepted {
			r.log.Info("relay: start failed", "scheduler", from, "job", m.Job, "run", m.Run, "worker", m.Worker, "outcome", resp.Outcome, "reason", cmp.Or(resp.Reason, string(resp.Refusal)))
		}
		return resp
	default:
		return nil
	}
}

func (r *Relay) start(ctx context.Context, m wire.RelayedStart) wire.RelayedStartResponse {
	if m.Process != r.process {
		return wire.RelayedStartResponse{Outcome: wire.RelayRestarted}
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		return wire.RelayedStartResponse{Outcome: wire.RelayBusy}
	}
	if outcome := r.check(m); outcome != "" {
		return wire.RelayedStartResponse{Outcome: outcome}
	}
	readCtx, cancel := context.WithTimeout(ctx, time.UnixMilli(m.Until).Sub(leader.Now()))
	defer cancel()
	spec, err := r.specs.get(readCtx, m.Job, m.SpecSum)
	if err != nil {
		return wire.RelayedStartResponse{Outcome: wire.RelayNoSpec, Reason: err.Error()}
	}
	// The process may have been suspended since.
	if outcome := r.check(m); outcome != "" {
		return wire.RelayedStartResponse{Outcome: outcome}
	}
	// The start is sent even if the link to the scheduler breaks, whose order it is.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.timeout)
	defer cancel()
	r.sent.Inc(1)
	clock, err := r.agents.Start(callCtx, infra.AgentAddress{Worker: m.Worker, HostPort: m.Address}, infra.StartOrder{
		Task: infra.TaskID{Job: m.Job, Occurrence: m.Occurrence, Step: m.Step, Index: m.Index},
		Run:  m.Run, Spec: spec, Checkpoint: m.Checkpoint, Ticket: m.Ticket, Deadline: m.Deadline, Token: m.Token,
	})
	return relayResponse(clock, err)
}

// check returns why a start must not be sent, or an empty string.
func (r *Relay) check(m wire.RelayedStart) wire.RelayOutcome {
	if elected, known := r.current(); known && elected.Token > m.Token {
		return wire.RelayFenced
	}
	if leader.Now().UnixMilli() > m.Until {
		return wire.RelayLate
	}
	return ""
}

func relayResponse(clock int64, err error) wire.RelayedStartResponse {
	var refused *infra.RefusedError
	var unsent *infra.NotSentError
	switch {
	case err == nil:
		return wire.RelayedStartResponse{Outcome: wire.RelayAccepted, Clock: clock}
	case errors.As(err, &refused):
		return wire.RelayedStartResponse{Outcome: wire.RelayRefused, Refusal: refused.Reason, Clock: refused.Clock}
	case errors.As(err, &unsent):
		return wire.RelayedStartResponse{Outcome: wire.RelayNoConnection, Reason: err.Error()}
	default:
		return wire.RelayedStartResponse{Outcome: wire.RelayNoAnswer, Reason: err.Error()}
	}
}
