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

// writeViaPeers has a peer write a change to the store. It calls the scheduler first, because the scheduler renews
// its lease continuously and is therefore the most likely to reach the store.
func (i *Intake) writeViaPeers(ctx context.Context, req wire.HostedRequest) error {
	candidates := i.peers()
	if elected, known := i.currentLeader(); known {
		for n, peer := range candidates {
			if peer == elected.EntryHost {
				candidates[0], candidates[n] = candidates[n], candidates[0]
			}
		}
	}
	const maxPeers = 2
	for _, peer := range candidates[:min(maxPeers, len(candidates))] {
		resp, err := i.call(ctx, peer, req, peerWriteTimeout)
		if err != nil {
			var linkErr *peers.LinkError
			if errors.As(err, &linkErr) && linkErr.NotSent {
				continue
			}
			return &infra.OutcomeUnknownError{Reason: err.Error()}
		}
		switch resp.Status {
		case wire.ResponseOK:
			return nil
		case wire.ResponseNoJob:
			return &infra.JobNotFoundError{Job: req.Job}
		case wire.ResponseCancelled:
			return &infra.JobCancelledError{Job: req.Job}
		case wire.ResponseInvalid:
			return &infra.InvalidJobError{Job: req.Job, Reason: resp.Reason}
		case wire.ResponseOutcomeUnknown:
			return &infra.OutcomeUnknownError{Reason: resp.Reason}
		case wire.ResponseNotRun:
		}
	}
	return &infra.NotRunError{Reason: "no peer reaches the store", RetryAfter: retryAfter}
}

// call sends a request to a peer, with the time left until its deadline, and returns the response.
func (i *Intake) call(ctx context.Context, peer fleet.EntryHostID, req wire.HostedRequest, timeout time.Duration) (wire.HostedResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		req.RemainingMS = time.Until(deadline).Milliseconds()
	}
	got, err := i.mesh.Call(ctx, peer, req)
	if err != nil {
		return wire.HostedResponse{}, err
	}
	resp, ok := got.(wire.HostedResponse)
	if !ok {
		return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: "peer does not answer such calls"}, nil
	}
	return resp, nil
}

// HandleMessage handles a peer's [wire.HostedRequest]. It returns nil for any other message.
func (i *Intake) HandleMessage(ctx context.Context, _ fleet.EntryHostID, m wire.Message) wire.Message {
	req, ok := m.(wire.HostedRequest)
	if !ok {
		return nil
	}
	if req.RemainingMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.RemainingMS)*time.Millisecond)
		defer cancel()
	}
	switch req.Kind {
	case wire.NotifyJobStored, wire.NotifyCancellationStored:
		i.handleNotification(req)
		return wire.Ack{}
	case wire.RequestSupersede:
		if idle, stopped := i.group.Supersede(req.Token); stopped {
			return wire.HostedResponse{Status: wire.ResponseOK, IdleMS: idle.Milliseconds()}
		}
		return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: "the reign is being ended"}
	case wire.RequestEligible:
		if err := i.group.Eligible(ctx, req.Token); err != nil {
			return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: err.Error()}
		}
		return wire.HostedResponse{Status: wire.ResponseOK}
	case wire.RequestJobState, wire.RequestPendingCount, wire.RequestOverview, wire.RequestWorkers, wire.RequestJobDetails:
		resp, answered := i.queryLocalScheduler(ctx, req)
		if !answered {
			return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: "this process is not the scheduler"}
		}
		return resp
	case wire.RequestStoreJob, wire.RequestStoreCancellation:
		return i.writeForPeer(ctx, req)
	default:
		return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: "unknown question"}
	}
}

// writeForPeer writes a change to the store for a peer that cannot reach it, and notifies the scheduler.
func (i *Intake) writeForPeer(ctx context.Context, req wire.HostedRequest) wire.HostedResponse {
	if !i.health.reachable() {
		return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: "the store is out of reach here too"}
	}
	stored, err := i.write(ctx, req)
	var notFound *infra.JobNotFoundError
	var cancelled *infra.JobCancelledError
	var invalid *infra.InvalidJobError
	switch {
	case err == nil:
		i.notifyScheduler(notification(req, stored))
		return wire.HostedResponse{Status: wire.ResponseOK}
	case errors.As(err, &notFound):
		return wire.HostedResponse{Status: wire.ResponseNoJob}
	case errors.As(err, &cancelled):
		return wire.HostedResponse{Status: wire.ResponseCancelled}
	case errors.As(err, &invalid):
		return wire.HostedResponse{Status: wire.ResponseInvalid, Reason: invalid.Reason}
	case isNotRun(err):
		return wire.HostedResponse{Status: wire.ResponseNotRun, Reason: err.Error()}
	default:
		return wire.HostedResponse{Status: wire.ResponseOutcomeUnknown, Reason: err.Error()}
	}
}
