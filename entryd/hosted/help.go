package hosted

import (
	"context"
	"errors"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/infra"
	"lovagefork.example/coord/wire"
	"lovagefork.example/entryd/peers"
)

// viaPeers lets a peer make a change durable; the scheduler is asked first because it renews its lease all the time.
func (i *Intake) viaPeers(ctx context.Context, ask wire.Ask) error {
	candidates := i.peers()
	if seat, known := i.seat(); known {
		for n, peer := range candidates {
			if peer == seat.EntryHost {
				candidates[0], candidates[n] = candidates[n], candidates[0]
			}
		}
	}
	const most = 2
	for _, peer := range candidates[:min(most, len(candidates))] {
		reply, err := i.call(ctx, peer, ask, helpTimeout)
		if err != nil {
			var link *peers.LinkError
			if errors.As(err, &link) && link.NotSent {
				continue
			}
			return &infra.UnclearError{Reason: err.Error()}
		}
		switch reply.Status {
		case wire.ReplyOK:
			return nil
		case wire.ReplyNone:
			return &infra.NoJobError{Job: ask.Job}
		case wire.ReplyUnclear:
			return &infra.UnclearError{Reason: reply.Reason}
		case wire.ReplyNotRun:
		}
	}
	return &infra.NotRunError{Reason: "no peer reaches the store", RetryAfter: retryAfter}
}

func (i *Intake) call(ctx context.Context, peer fleet.EntryHostID, ask wire.Ask, limit time.Duration) (wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if until, ok := ctx.Deadline(); ok {
		ask.RemainingMS = time.Until(until).Milliseconds()
	}
	answer, err := i.mesh.Call(ctx, peer, ask)
	if err != nil {
		return wire.Reply{}, err
	}
	reply, ok := answer.(wire.Reply)
	if !ok {
		return wire.Reply{Status: wire.ReplyNotRun, Reason: "peer does not answer such calls"}, nil
	}
	return reply, nil
}

// Answer handles the calls of peers.
func (i *Intake) Answer(ctx context.Context, _ fleet.EntryHostID, m wire.Message) wire.Message {
	ask, ok := m.(wire.Ask)
	if !ok {
		return nil
	}
	if ask.RemainingMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ask.RemainingMS)*time.Millisecond)
		defer cancel()
	}
	switch ask.Kind {
	case wire.AskNotice, wire.AskCancelNotice:
		i.takeNotice(ask)
		return wire.Ack{}
	case wire.AskOver:
		if i.group.Supersede(ask.Token) {
			return wire.Reply{Status: wire.ReplyOK}
		}
		return wire.Reply{Status: wire.ReplyNotRun, Reason: "the reign is being ended"}
	case wire.AskState, wire.AskPending, wire.AskOverview, wire.AskWorkers, wire.AskJob:
		reply, asked := i.answerLocally(ctx, ask)
		if !asked {
			return wire.Reply{Status: wire.ReplyNotRun, Reason: "this process is not the scheduler"}
		}
		return reply
	case wire.AskStore, wire.AskCancel:
		return i.storeForPeer(ctx, ask)
	default:
		return wire.Reply{Status: wire.ReplyNotRun, Reason: "unknown question"}
	}
}

func (i *Intake) storeForPeer(ctx context.Context, ask wire.Ask) wire.Reply {
	if !i.health.reachable() {
		return wire.Reply{Status: wire.ReplyNotRun, Reason: "the store is out of reach here too"}
	}
	err := i.write(ctx, ask)
	var none *infra.NoJobError
	switch {
	case err == nil:
		kind := wire.AskNotice
		if ask.Kind == wire.AskCancel {
			kind = wire.AskCancelNotice
		}
		i.notify(wire.Ask{Kind: kind, Job: ask.Job, Queue: ask.Queue, Data: ask.Data})
		return wire.Reply{Status: wire.ReplyOK}
	case errors.As(err, &none):
		return wire.Reply{Status: wire.ReplyNone}
	case notRun(err):
		return wire.Reply{Status: wire.ReplyNotRun, Reason: err.Error()}
	default:
		return wire.Reply{Status: wire.ReplyUnclear, Reason: err.Error()}
	}
}
