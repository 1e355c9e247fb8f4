package leader

import (
	"context"
	"time"

	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/infra"
)

// errOver answers an order that was not sent because the reign is over.
func errOver(id fleet.WorkerID) error {
	return &infra.NotSentError{Worker: id, Cause: context.Canceled}
}

func (l *loop) hold(ctx context.Context, e flow.Hold) {
	if !l.reign.Valid() {
		l.post(flow.HoldFailed{Worker: e.To.Worker, Sequence: e.Sequence, Order: e.Order, Err: errOver(e.To.Worker)})
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, e.Order.Wait+holdSlack)
	defer cancel()
	report, err := l.agents.Renew(callCtx, e.To, e.Order)
	if err != nil {
		l.post(flow.HoldFailed{Worker: e.To.Worker, Sequence: e.Sequence, Order: e.Order, Err: err})
		return
	}
	l.post(flow.HoldAnswered{Worker: e.To.Worker, Sequence: e.Sequence, Order: e.Order, Report: report})
}

func (l *loop) start(ctx context.Context, e flow.Start) {
	if !l.reign.Valid() {
		l.post(flow.StartAnswered{Worker: e.To.Worker, Order: e.Order, Err: errOver(e.To.Worker)})
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	began := time.Now()
	clock, err := l.agents.Start(callCtx, e.To, e.Order)
	l.starts.UpdateSince(began)
	l.post(flow.StartAnswered{Worker: e.To.Worker, Order: e.Order, Clock: clock, Err: err})
}

func (l *loop) stop(ctx context.Context, e flow.Stop) {
	if !l.reign.Valid() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	clock, err := l.agents.Stop(callCtx, e.To, e.Order)
	l.post(flow.StopAnswered{Worker: e.To.Worker, Order: e.Order, Clock: clock, Err: err})
}

func (l *loop) pace(ctx context.Context, e flow.Pace) {
	if !l.reign.Valid() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := l.agents.Throttle(callCtx, e.To, e.Order)
	l.post(flow.PaceAnswered{Worker: e.To.Worker, Order: e.Order, Err: err})
}

// adviceTimeout bounds a call of the policy service, which takes its time for each worker and handles one call at a time.
const adviceTimeout = 5 * time.Second

func (l *loop) advise(ctx context.Context, e flow.Advise) {
	callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	sent := Now()
	approval, err := l.advice.Approve(callCtx, e.Step, e.Workers)
	l.post(flow.AdviseAnswered{Step: e.Step, Workers: e.Workers, Sent: sent, Approval: approval, Err: err})
}
