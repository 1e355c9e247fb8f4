package leader

import (
	"context"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// errLeadershipEnded returns the error for an order that was not sent because leadership has ended.
func errLeadershipEnded(id fleet.WorkerID) error {
	return &infra.NotSentError{Worker: id, Cause: context.Canceled}
}

func (l *loop) renewLeases(ctx context.Context, e flow.Renew) {
	if !l.leadership.Valid() {
		l.post(flow.RenewFailed{Worker: e.To.Worker, Sequence: e.Sequence, Order: e.Order, Err: errLeadershipEnded(e.To.Worker)})
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, e.Order.Wait+renewTimeoutMargin)
	defer cancel()
	report, err := l.agents.Renew(callCtx, e.To, e.Order)
	if err != nil {
		l.post(flow.RenewFailed{Worker: e.To.Worker, Sequence: e.Sequence, Order: e.Order, Err: err})
		return
	}
	l.post(flow.RenewAnswered{Worker: e.To.Worker, Sequence: e.Sequence, Order: e.Order, Report: report})
}

func (l *loop) startTask(ctx context.Context, e flow.Start) {
	answer := flow.StartAnswered{Worker: e.To.Worker, Via: e.Via, Order: e.Order}
	if !l.leadership.Valid() {
		answer.Err = errLeadershipEnded(e.To.Worker)
		l.post(answer)
		return
	}
	began := time.Now()
	if e.Via != "" {
		answer.Clock, answer.Err = l.relays.Start(ctx, e.Via, e.To, e.Order)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, l.orderTimeout)
		defer cancel()
		answer.Clock, answer.Err = l.agents.Start(callCtx, e.To, e.Order)
	}
	l.startLatency.UpdateSince(began)
	l.post(answer)
}

func (l *loop) stopTask(ctx context.Context, e flow.Stop) {
	if !l.leadership.Valid() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, l.orderTimeout)
	defer cancel()
	clock, err := l.agents.Stop(callCtx, e.To, e.Order)
	l.post(flow.StopAnswered{Worker: e.To.Worker, Order: e.Order, Clock: clock, Err: err})
}

func (l *loop) throttleTask(ctx context.Context, e flow.Throttle) {
	if !l.leadership.Valid() {
		l.post(flow.ThrottleAnswered{Worker: e.To.Worker, Order: e.Order, Err: errLeadershipEnded(e.To.Worker)})
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, l.orderTimeout)
	defer cancel()
	err := l.agents.Throttle(callCtx, e.To, e.Order)
	l.post(flow.ThrottleAnswered{Worker: e.To.Worker, Order: e.Order, Err: err})
}

// approvalTimeout bounds a call of the policy service, whose duration grows with the number of workers and which
// handles one call at a time.
const approvalTimeout = 5 * time.Second

func (l *loop) requestApproval(ctx context.Context, e flow.RequestApproval) {
	callCtx, cancel := context.WithTimeout(ctx, approvalTimeout)
	defer cancel()
	sent := Now()
	approval, err := l.policy.Approve(callCtx, e.Step, e.Workers)
	l.post(flow.ApprovalAnswered{Step: e.Step, Workers: e.Workers, Sent: sent, Approval: approval, Err: err})
}
