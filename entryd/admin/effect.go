package admin

import (
	"context"
	"time"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/store"
	"lovagefork.example/coord/wire"
)

// perform executes effects in order; a.mu must be held. Each store call runs in its own goroutine.
func (a *Admin) perform(effects []config.Effect) {
	var applied []config.VersionedDocument
	for _, e := range effects {
		switch e := e.(type) {
		case config.RunTxn:
			a.startStoreCall(txnTimeout, func(ctx context.Context) config.Event {
				result, err := a.store.Txn(ctx, e.Txn)
				return config.TxnDone{Token: e.Token, Result: result, Err: err}
			})
		case config.ReadHead:
			a.startStoreCall(readTimeout, func(ctx context.Context) config.Event {
				result, err := a.store.Range(ctx, e.Get)
				return config.HeadRead{Result: result, Err: err}
			})
		case config.ReadPage:
			a.startStoreCall(readTimeout, func(ctx context.Context) config.Event {
				result, err := a.store.Range(ctx, e.Get)
				return config.PageRead{Result: result, Err: err}
			})
		case config.StartWatch:
			a.startWatch(e)
		case config.SendDocs:
			a.send(e.To, wire.ConfigDoc{Documents: e.Documents})
		case config.SendState:
			a.send(e.To, wire.ConfigState(e.State))
		case config.DocApplied:
			applied = append(applied, e.Doc)
			a.logApplied(e)
		case config.DecodeFailed:
			a.log.Error("config: stored value ignored", "error", e.Err)
		case config.ProposalFinished:
			a.finishProposal(e)
		}
	}
	a.publish(applied)
}

func (a *Admin) logApplied(e config.DocApplied) {
	v := e.Doc
	a.log.Info("config: applied", "customer", v.Document.Customer, "revision", v.Revision,
		"change_id", v.Document.ChangeID, "sequence", v.Sequence, "source", e.Source)
}

// startStoreCall runs a store call in a goroutine and applies the event that it returns; a.mu must be held.
func (a *Admin) startStoreCall(timeout time.Duration, run func(context.Context) config.Event) {
	if a.closed {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	a.storeCalls.Go(func() {
		defer cancel()
		a.step(run(ctx))
	})
}

// startWatch replaces the running watch; a.mu must be held.
func (a *Admin) startWatch(e config.StartWatch) {
	if a.closed {
		return
	}
	a.stopWatch()
	ctx, cancel := context.WithCancel(a.ctx)
	a.stopWatch = cancel
	a.storeCalls.Go(func() {
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
	if err := a.peers.Send(to, m); err != nil {
		a.log.Debug("config: message dropped", "peer", to, "error", err)
	}
}

// finishProposal passes an outcome to the caller of propose; a.mu must be held.
func (a *Admin) finishProposal(e config.ProposalFinished) {
	if outcome := a.pendingProposals[e.Token]; outcome != nil {
		outcome <- e.Outcome
	}
	delete(a.pendingProposals, e.Token)
}
