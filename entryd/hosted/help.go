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
func (i *Intake) viaPeers(ctx context.Context, ask wire.HostedRequest) error {
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
			return &infra.OutcomeUnknownError{Reason: err.Error()}
		}
		switch reply.Status {
		case wire.ResponseOK:
			return nil
		case wire.ResponseNoJob:
			return &infra.JobNotFoundError{Job: ask.Job}
		case wire.ResponseOutcomeUnknown:
			return &infra.OutcomeUnknownError{Reason: reply.Reason}
		case wire.ResponseNotRun:
		}
	}
	return &infra.NotRunError{Reason: "no peer reaches the store", RetryAfter: retryAfter}
}

func (i *Intake) call(ctx context.Context, peer fleet.EntryHostID, ask wire.HostedRequest, limit time.Duration) (wire.HostedResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if until, ok := ctx.Deadline(); ok {
		ask.RemainingMS = time.Until(until).Milliseconds()
	}
	answer, err := i.mesh.Call(ctx, peer, ask)
	if err != nil {
		return wire.HostedResponse{}, err
	}
	reply, ok := answer.(wire.HostedResponse)
	if !ok {
		return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: "peer does not answer such calls"}, nil
	}
	return reply, nil
}

// Answer handles the calls of peers.
func (i *Intake) HandleMessage(ctx context.Context, _ fleet.EntryHostID, m wire.Message) wire.Message {
	ask, ok := m.(wire.HostedRequest)
	if !ok {
		return nil
	}
	if ask.RemainingMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ask.RemainingMS)*time.Millisecond)
		defer cancel()
	}
	switch ask.Kind {
	case wire.NotifyJobStored, wire.NotifyCancellationStored:
		i.takeNotice(ask)
		return wire.Ack{}
	case wire.RequestSupersede:
		if i.group.Supersede(ask.Token) {
			return wire.HostedResponse{Status: wire.ResponseOK}
		}
		return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: "the reign is being ended"}
	case wire.RequestJobState, wire.RequestPendingCount, wire.RequestOverview, wire.RequestWorkers, wire.RequestJobDetails:
		reply, asked := i.answerLocally(ctx, ask)
		if !asked {
			return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: "this process is not the scheduler"}
		}
		return reply
	case wire.RequestStoreJob, wire.RequestStoreCancellation:
		return i.storeForPeer(ctx, ask)
	default:
		return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: "unknown question"}
	}
}

func (i *Intake) storeForPeer(ctx context.Context, ask wire.HostedRequest) wire.HostedResponse {
	if !i.health.reachable() {
		return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: "the store is out of reach here too"}
	}
	err := i.write(ctx, ask)
	var none *infra.JobNotFoundError
	switch {
	case err == nil:
		kind := wire.NotifyJobStored
		if ask.Kind == wire.RequestStoreCancellation {
			kind = wire.NotifyCancellationStored
		}
		i.notify(wire.HostedRequest{Kind: kind, Job: ask.Job, Queue: ask.Queue, Data: ask.Data})
		return wire.HostedResponse{Status: wire.ResponseOK}
	case errors.As(err, &none):
		return wire.HostedResponse{Status: wire.ResponseNoJob}
	case notRun(err):
		return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: err.Error()}
	default:
		return wire.HostedResponse{Status: wire.ResponseOutcomeUnknown, Reason: err.Error()}
	}
}
