package admin

import (
	"context"
	"time"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
)

// perform carries out effects in order; the caller holds the lock. Store calls run in goroutines of their own.
func (a *Admin) perform(effects []config.Effect) {
	var applied []config.VersionedDocument
	for _, e := range effects {
		switch e := e.(type) {
		case config.RunTxn:
			a.call(txnTimeout, func(ctx context.Context) config.Event {
				result, err := a.store.Txn(ctx, e.Txn)
				return config.TxnDone{Token: e.Token, Result: result, Err: err}
			})
		case config.ReadHead:
			a.call(readTimeout, func(ctx context.Context) config.Event {
				result, err := a.store.Range(ctx, e.Get)
				return config.HeadRead{Result: result, Err: err}
			})
		case config.ReadPage:
			a.call(readTimeout, func(ctx context.Context) config.Event {
				result, err := a.store.Range(ctx, e.Get)
				return config.PageRead{Result: result, Err: err}
			})
		case config.StartWatch:
			a.watch(e)
		case config.SendDocs:
			a.send(e.To, wire.ConfigDoc{Documents: e.Documents})
		case config.SendState:
			a.send(e.To, wire.ConfigState(e.State))
		case config.DocApplied:
			applied = append(applied, e.Versioned)
			a.logApplied(e)
		case config.DecodeFailed:
			a.log.Error("config: stored value ignored", "error", e.Err)
		case config.ProposalFinished:
			a.answer(e)
		}
	}
	a.publish(applied)
}

func (a *Admin) logApplied(e config.DocApplied) {
	v := e.Versioned
	a.log.Info("config: applied", "customer", v.Document.Customer, "revision", v.Revision,
		"change_id", v.Document.ChangeID, "sequence", v.Sequence, "source", e.Source)
}

func (a *Admin) call(timeout time.Duration, run func(context.Context) config.Event) {
	if a.closed {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	a.running.Go(func() {
		defer cancel()
		a.step(run(ctx))
	})
}

func (a *Admin) watch(e config.StartWatch) {
	if a.closed {
		return
	}
	a.stopWatch()
	ctx, cancel := context.WithCancel(a.ctx)
	a.stopWatch = cancel
	a.running.Go(func() {
		defer cancel()
		err := a.store.Watch(ctx, e.Prefix, e.After, func(revision store.Revision, changes []store.Change) {
			a.step(config.WatchChanged{WatchID: e.WatchID, Revision: revision, Changes: changes})
		})
		if ctx.Err() == nil {
			a.log.Warn("config: watch ended", "error", err)
		}
		a.step(config.WatchEnded{WatchID: e.WatchID, Err: err})
	})
}

func (a *Admin) send(to fleet.EntryHostID, m wire.Message) {
	if err := a.links.Send(to, m); err != nil {
		a.log.Debug("config: message dropped", "peer", to, "error", err)
	}
}

func (a *Admin) answer(e config.ProposalFinished) {
	if waiting := a.waiting[e.Token]; waiting != nil {
		waiting <- e.Outcome
	}
	delete(a.waiting, e.Token)
}
